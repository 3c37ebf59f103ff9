//! Which window of usage is reported next, and when.

use std::time::Duration;

/// Times of reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a window.
    pub window: Duration,
    /// Time after a window's end until all nodes have told their counts.
    pub settle_delay: Duration,
    /// Time after a window's end for which counts of silent nodes are waited for: they may be cut off and come back.
    pub silent_node_wait: Duration,
    /// Time after a window's end after which it is not reported any more.
    pub max_age: Duration,
}

/// The time of day as windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowClock {
    /// The window of now.
    pub current: u64,
    /// How much of it has elapsed.
    pub elapsed: Duration,
}

impl WindowClock {
    /// Time since a window's end; `None` before it.
    pub fn time_since_end(&self, window: u64, length: Duration) -> Option<Duration> {
        let full_windows = u32::try_from(self.current.checked_sub(window + 1)?).unwrap_or(u32::MAX);
        Some(self.elapsed + length.saturating_mul(full_windows))
    }
}

/// How far the windows are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowProgress {
    /// The last window that this tenure reported.
    pub reported_through: Option<u64>,
    /// The last window whose counts are fixed in the store.
    pub newest_fixed: Option<u64>,
    /// The window with which reports begin where none is fixed: an earlier holder's oldest open one, or that of the start.
    pub first: u64,
}

impl WindowProgress {
    /// The oldest window whose counts are not fixed: from here on they must not be lost.
    pub fn first_open(&self) -> u64 {
        let last_done = self.reported_through.max(self.newest_fixed);
        last_done.map_or(self.first, |window| window + 1)
    }

    /// The next window to report if it is due. A new holder repeats the last window that was fixed: its predecessor may not have
    /// reported it. `is_complete` tells whether no node is silent that may still count.
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
