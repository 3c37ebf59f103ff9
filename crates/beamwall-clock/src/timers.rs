//! Timers that go on while the machine is suspended, within a look.

use std::future::Future;
use std::time::Duration;

use crate::BootInstant;

/// Time between two looks at the clock: a timer that ends while the machine sleeps ends this long after it wakes at most. Short
/// enough for callers that wait, long enough to cost nothing beside what an open request costs.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits for a while that counts the time asleep.
pub async fn sleep(duration: Duration) {
    let deadline = BootInstant::now() + duration;
    loop {
        let remaining = deadline.duration_since(BootInstant::now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(POLL_INTERVAL)).await;
    }
}

/// The output of a future; `None` where it does not come within a while that counts the time asleep.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep(duration) => None,
    }
}
