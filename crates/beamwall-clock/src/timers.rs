//! Timers that include machine suspension, to within one poll interval.

use std::future::Future;
use std::time::Duration;

use crate::BootInstant;

/// Interval at which a timer reads the clock. A timer that expires while the machine is suspended fires at
/// most this long after the machine resumes. The delay is short for a waiting caller, and the cost of polling
/// is negligible compared with that of an open request.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Sleeps for `duration`, including time during which the machine is suspended.
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

/// Returns the output of `future`, or `None` if it does not complete within `duration`, which includes time
/// during which the machine is suspended.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep(duration) => None,
    }
}
