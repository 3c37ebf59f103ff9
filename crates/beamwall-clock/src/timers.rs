//! Timers that go on while the machine is suspended, within a look.

use std::future::Future;
use std::time::Duration;

use crate::Moment;

/// Time between two looks at the clock: a timer that ends while the machine sleeps ends this long after it wakes at most. Short
/// enough for callers that wait, long enough to cost nothing beside what an open request costs.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Waits for a while that counts the time asleep.
pub async fn sleep(duration: Duration) {
    let end = Moment::now() + duration;
    loop {
        let left = end.duration_since(Moment::now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LOOK_PERIOD)).await;
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
