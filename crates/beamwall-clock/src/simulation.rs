//! Suspensions and standstills on request. Of a suspension the steady clock of this thread's tests knows nothing, and the clock that
//! counts the time asleep jumps. After a standstill the clock that counts while the process runs is behind by it.

use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static STALLED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Lets the process of this thread's tests have stood still for a while, just now, while the steady clock went on.
pub fn simulate_stall(duration: Duration) {
    STALLED.set(STALLED.get() + duration);
}

/// Time for which it has done so.
pub(crate) fn simulated_stall() -> Duration {
    STALLED.get()
}

/// Lets this thread's machine have been suspended for a while, just now.
pub fn simulate_suspension(duration: Duration) {
    SUSPENDED.set(SUSPENDED.get() + duration);
}

/// Time for which it has been so far.
pub(crate) fn simulated_suspension() -> Duration {
    SUSPENDED.get()
}
