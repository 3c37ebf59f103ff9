//! Time during which this process ran.
//!
//! A process that was stopped, or got no processor, finds when it goes on that its own timers have run out while what others sent lies
//! unread. Measured by the steady clock the others were silent. So evidence against others is measured by a clock that counts
//! only while this process runs; what must not outlast a term is measured in [`BootInstant`](crate::BootInstant)s, which count all time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two looks of the watch: each wakes the process.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks up to which the process is taken to have run: timers are a little late also where nothing is wrong.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// What the watches of this process have seen.
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
    /// Time since the last look in which the process did not run.
    fn current_stall(&self) -> Duration {
        let since_poll = self.last_poll.map_or(Duration::ZERO, |poll| poll.elapsed());
        since_poll.saturating_sub(STALL_THRESHOLD)
    }

    fn record_poll(&mut self) {
        self.total_stall += self.current_stall();
        self.last_poll = Some(std::time::Instant::now());
    }
}

/// Counts one watch until it is dropped. Without any, all time counts as time in which the process ran.
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

/// Watches until the task is ended how late this process's timers are; `report` is told after each look by how much.
pub async fn monitor(mut report: impl FnMut(Duration)) {
    let _guard = MonitorGuard::new();
    loop {
        let due = std::time::Instant::now() + POLL_INTERVAL;
        tokio::time::sleep(POLL_INTERVAL).await;
        lock().record_poll();
        report(due.elapsed());
    }
}

/// Time for which this process has stood still since it started, as far as a watch could tell.
pub fn stall_time() -> Duration {
    let state = lock();
    let total_stall = state.total_stall + state.current_stall();
    #[cfg(feature = "simulation")]
    return total_stall + crate::simulation::simulated_stall();
    #[cfg(not(feature = "simulation"))]
    total_stall
}

/// Now by the clock that counts only while this process runs. Compared only with other times of this clock, never used for a timer.
pub fn now() -> Instant {
    let now = Instant::now();
    now.checked_sub(stall_time()).unwrap_or(now)
}

/// Waits for a while in which this process runs.
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
