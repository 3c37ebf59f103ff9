//! Fails over from a silent back end: first the right to another attempt and a back end that takes it, then the end of the
//! attempt that runs. Until both are there the request waits on, since late answers are better than none.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::SilentBackendKept;
use beamwall_model::BackendId;

use crate::attempt::AttemptFailure;
use crate::attempts::{Attempts, Missing};
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;

/// Time between two looks for another back end.
const LOOK_PERIOD: Duration = Duration::from_millis(400);

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
pub(crate) async fn next_back_end(
    forwarder: &Forwarder,
    call: &Call,
    attempts: &mut Attempts,
    sent: u32,
    silent: &BackendId,
) -> Choice {
    let mut told = None;
    loop {
        let avoided = forwarder.knowledge.not_taking();
        let missing = match attempts.reserve(forwarder, call, sent, avoided).await {
            Ok(choice) => {
                forwarder.metrics.silent_back_ends.with_label_values(&["left"]).inc();
                return choice;
            }
            Err(missing) => missing,
        };
        if told != Some(missing) {
            told = Some(missing);
            note_kept(forwarder, call, silent, missing);
        }
        process_clock::sleep(LOOK_PERIOD).await;
    }
}

fn note_kept(forwarder: &Forwarder, call: &Call, silent: &BackendId, missing: Missing) {
    forwarder.metrics.silent_back_ends.with_label_values(&[missing.as_str()]).inc();
    emit(&SilentBackendKept {
        request: call.log_id(),
        backend: silent.to_string(),
        missing: missing.as_str().to_owned(),
    });
}
