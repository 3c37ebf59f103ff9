//! Suspensions on request: the steady clock of this thread's tests goes on, as if it had stood still, and the clock that counts the
//! time asleep jumps.

use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Lets this thread's machine have been suspended for a while, just now.
pub fn suspend_for(duration: Duration) {
    SUSPENDED.set(SUSPENDED.get() + duration);
}

/// Time for which it has been so far.
pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}
