//! Fails over from a silent back end. A further attempt and a back end for it are reserved first, and only
//! then is the current attempt cancelled. Until both are available the request keeps waiting, since a late
//! response is better than none.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::SilentBackendKept;
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::attempts::{Attempts, RetryBlocker};
use crate::forward::{Call, Forwarder, PermittedChoice};

/// Interval between tries to reserve another back end.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A failed attempt and the back end reserved for the next one, if any.
pub struct FailedAttempt {
    /// Why the attempt failed.
    pub failure: AttemptFailure,
    /// The back end of the next attempt.
    pub next: Option<PermittedChoice>,
}

impl FailedAttempt {
    /// The same, with the exposure of the back end to a request that was sent at this time, by the process clock.
    pub(crate) fn with_exposure_since(mut self, sent_at: Instant) -> Self {
        self.failure.exposure = process_clock::now().duration_since(sent_at);
        self
    }
}

impl From<AttemptFailure> for FailedAttempt {
    fn from(failure: AttemptFailure) -> Self {
        Self { failure, next: None }
    }
}

/// Reserves another back end for a request whose attempt at `silent` has produced no data for too long.
/// Retries until one is available and never returns if there is none. `sent` is the number of times the
/// request was sent, including the current attempt.
pub(crate) async fn reserve_next_back_end(
    forwarder: &Forwarder,
    call: &Call,
    attempts: &mut Attempts,
    sent: u32,
    silent: &BackendId,
) -> PermittedChoice {
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
        process_clock::sleep(RESERVE_RETRY_INTERVAL).await;
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
