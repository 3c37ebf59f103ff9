//! Selects the usage window to report next and the time to report it.

use std::time::Duration;

/// Timing of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a window.
    pub window: Duration,
    /// Delay after a window's end until all nodes have sent their counts.
    pub settle_delay: Duration,
    /// Time after a window's end to wait for counts of silent nodes: they may be partitioned and reconnect.
    pub silent_node_wait: Duration,
    /// Time after a window's end from which it is no longer reported.
    pub max_age: Duration,
}

/// Wall-clock time in windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowClock {
    /// Index of the current window.
    pub current: u64,
    /// Time since the current window began.
    pub elapsed: Duration,
}

impl WindowClock {
    /// Returns the time since a window's end; `None` before it.
    pub fn time_since_end(&self, window: u64, length: Duration) -> Option<Duration> {
        let full_windows = u32::try_from(self.current.checked_sub(window + 1)?).unwrap_or(u32::MAX);
        Some(self.elapsed + length.saturating_mul(full_windows))
    }
}

/// Progress of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowProgress {
    /// The last window reported in this term.
    pub reported_through: Option<u64>,
    /// The last window whose counts are fixed in the store.
    pub newest_fixed: Option<u64>,
    /// The first window to report when none is fixed: the oldest open window of an earlier lease holder, or
    /// the window of the process start.
    pub first: u64,
}

impl WindowProgress {
    /// Returns the oldest window whose counts are not fixed: counts from there on must not be lost.
    pub fn first_open(&self) -> u64 {
        let last_done = self.reported_through.max(self.newest_fixed);
        last_done.map_or(self.first, |window| window + 1)
    }

    /// Returns the next window to report if it is due. A new lease holder reports the last fixed window
    /// again, because its predecessor may have failed before reporting it. `is_complete` tells whether no
    /// silent node may still have counts.
    pub fn due(
        &self,
        clock: &WindowClock,
        timing: &UsageTiming,
        is_complete: bool,
        is_fixed: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let next = self.reported_through.map(|window| window + 1).or(self.newest_fixed).unwrap_or(self.first);
        let reportable = timing.max_age.as_millis() / timing.window.as_millis().max(1);
        let oldest = clock.current.saturating_sub(u64::try_from(reportable).unwrap_or(u64::MAX));
        let window = next.max(oldest);
        let time_since_end = clock.time_since_end(window, timing.window)?;
        let is_settled = time_since_end >= timing.silent_node_wait
            || (time_since_end >= timing.settle_delay && is_complete);
        (is_settled || is_fixed(window)).then_some(window)
    }
}
