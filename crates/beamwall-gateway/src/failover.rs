//! Fails over from a silent back end: first the right to another attempt and a back end that takes it, then the end of the
//! attempt that runs. Until both are there the request waits on, since late answers are better than none.

use std::time::Duration;

use beamwall_clock::running;
use beamwall_events::emit;
use beamwall_events::internal_events::SilentBackendKept;
use beamwall_model::BackendId;

use crate::attempt::AttemptFailure;
use crate::attempts::{Attempts, RetryBlocker};
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;

/// Time between two looks for another back end.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// An attempt that is over, with the back end that is reserved for the next one, if any.
pub struct FailedAttempt {
    /// Why it is over.
    pub failure: AttemptFailure,
    /// Where the request goes on.
    pub next: Option<Choice>,
}

impl From<AttemptFailure> for FailedAttempt {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure, next: None }
    }
}

/// Reserves a back end for a request whose attempt at `silent` has given no sign for too long, as soon as there is one; never
/// returns where there is none. `sent`: how often the request has been sent, the attempt that runs included.
pub(crate) async fn reserve_next_back_end(
    forwarder: &Forwarder,
    call: &Call,
    attempts: &mut Attempts,
    sent: u32,
    silent: &BackendId,
) -> Choice {
    let mut last_blocker = None;
    loop {
        let avoided = forwarder.backend_state.unlikely_to_accept();
        let blocker = match attempts.reserve(forwarder, call, sent, avoided).await {
            Ok(choice) => {
                forwarder.metrics.silent_back_ends.with_label_values(&["left"]).inc();
                return choice;
            }
            Err(blocker) => blocker,
        };
        if last_blocker != Some(blocker) {
            last_blocker = Some(blocker);
            report_kept(forwarder, call, silent, blocker);
        }
        running::sleep(RESERVE_RETRY_INTERVAL).await;
    }
}

fn report_kept(forwarder: &Forwarder, call: &Call, silent: &BackendId, blocker: RetryBlocker) {
    forwarder.metrics.silent_back_ends.with_label_values(&[blocker.as_str()]).inc();
    emit(&SilentBackendKept {
        request: call.log_id(),
        backend: silent.to_string(),
        missing: blocker.as_str().to_owned(),
    });
}
