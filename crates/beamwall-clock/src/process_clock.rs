//! A clock that excludes the time during which this process was stalled.
//!
//! A process that was stopped or got no CPU time resumes with its own timers expired while messages from
//! peers are still unread. By the monotonic clock, the peers were silent. Evidence against peers is therefore
//! measured by this clock, which advances only while the process runs. Leases and other limits that must not
//! be exceeded are measured in [`BootInstant`](crate::BootInstant)s, which include all time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Interval at which a monitor records that the process runs; each poll wakes the process.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two polls that does not count as a stall: timers fire slightly late in normal
/// operation, too.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Stalls recorded by the monitors of this process.
#[derive(Debug)]
struct StallState {
    monitors: usize,
    last_poll: Option<std::time::Instant>,
    total_stall: Duration,
}

static STALL_STATE: Mutex<StallState> =
    Mutex::new(StallState { monitors: 0, last_poll: None, total_stall: Duration::ZERO });

fn lock() -> MutexGuard<'static, StallState> {
    STALL_STATE.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StallState {
    /// Returns the part of the time since the last poll that counts as a stall.
    fn current_stall(&self) -> Duration {
        let since_poll = self.last_poll.map_or(Duration::ZERO, |poll| poll.elapsed());
        since_poll.saturating_sub(STALL_THRESHOLD)
    }

    fn record_poll(&mut self) {
        self.total_stall += self.current_stall();
        self.last_poll = Some(std::time::Instant::now());
    }
}

/// Registers a monitor until dropped. While no monitor is registered, no stalls are recorded.
struct MonitorGuard;

impl MonitorGuard {
    fn new() -> Self {
        let mut state = lock();
        state.monitors += 1;
        state.record_poll();
        Self
    }
}

impl Drop for MonitorGuard {
    fn drop(&mut self) {
        let mut state = lock();
        state.monitors -= 1;
        if state.monitors == 0 {
            state.record_poll();
            state.last_poll = None;
        }
    }
}

/// Records at a fixed interval that the process runs, until the task is aborted, and passes the delay of each
/// timer to `report`.
pub async fn monitor(mut report: impl FnMut(Duration)) {
    let _guard = MonitorGuard::new();
    loop {
        let due = std::time::Instant::now() + POLL_INTERVAL;
        tokio::time::sleep(POLL_INTERVAL).await;
        lock().record_poll();
        report(due.elapsed());
    }
}

/// Returns the total time for which this process was stalled while a monitor was running.
pub fn stall_time() -> Duration {
    let state = lock();
    let total_stall = state.total_stall + state.current_stall();
    #[cfg(feature = "simulation")]
    return total_stall + crate::simulation::simulated_stall();
    #[cfg(not(feature = "simulation"))]
    total_stall
}

/// Returns the current time on this clock. Comparable only with other readings of this clock; must not be
/// used as the deadline of a timer.
pub fn now() -> Instant {
    let now = Instant::now();
    now.checked_sub(stall_time()).unwrap_or(now)
}

/// Sleeps until this process has run for `duration`.
pub async fn sleep(duration: Duration) {
    let deadline = now() + duration;
    loop {
        let remaining = deadline.saturating_duration_since(now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining).await;
    }
}
