//! Simulated machine suspensions and process stalls for tests, kept per thread.
//!
//! A simulated suspension advances the clock that includes suspension and leaves the monotonic clock
//! unchanged. A simulated stall sets the process clock back by its duration.

use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static STALLED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Simulates that the process was stalled for `duration` until now. Advancing the monotonic clock by the same
/// time is up to the test.
pub fn simulate_stall(duration: Duration) {
    STALLED.set(STALLED.get() + duration);
}

/// Returns the total of the stalls simulated on this thread.
pub(crate) fn simulated_stall() -> Duration {
    STALLED.get()
}

/// Simulates that the machine was suspended for `duration` until now.
pub fn simulate_suspension(duration: Duration) {
    SUSPENDED.set(SUSPENDED.get() + duration);
}

/// Returns the total of the suspensions simulated on this thread.
pub(crate) fn simulated_suspension() -> Duration {
    SUSPENDED.get()
}
