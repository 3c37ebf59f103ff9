//! Decides how long a stream waits for its first events before it fails over to another engine.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;

/// Percentage of the latency objective after which a silent engine may be abandoned.
const FIRST_EVENT_PERCENT: u32 = 100;
/// Multiple of the expected time before which a silent engine is not abandoned.
const EXPECTED_TIME_MULTIPLE: u32 = 3;
/// Percentage of the objective if nothing else confirms the silence: this node has no other stream open at
/// the engine, and the silence of a single request says little.
const UNCONFIRMED_SILENCE_PERCENT: u32 = 300;
/// Interval at which a silent engine is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The wait for the first events of a stream. It is unlimited if the request may not fail over or the engine
/// still sends to other requests; otherwise it ends well after the expected time.
pub(super) struct FirstEventWait<'a> {
    forwarder: &'a Forwarder,
    backend: &'a BackendId,
    can_fail_over: bool,
    /// Time after which an engine confirmed to be silent is abandoned. As all times here, it is read from the
    /// clock that counts only while this process runs.
    soft_deadline: Instant,
    /// Time after which the engine is abandoned without confirmation that it is dead.
    hard_deadline: Instant,
}

impl<'a> FirstEventWait<'a> {
    pub(super) fn new(
        forwarder: &'a Forwarder,
        call: &Call,
        choice: &'a Choice,
        attempts: &Attempts,
    ) -> Self {
        let objective = Duration::from_millis(call.route.objective_ms);
        let now = process_clock::now();
        let expected_ms = choice.expected_ms.unwrap_or(0.0);
        let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0) * EXPECTED_TIME_MULTIPLE;
        Self {
            forwarder,
            backend: &choice.backend,
            can_fail_over: call.may_fail_over(attempts.sent + 1),
            soft_deadline: now + (objective * FIRST_EVENT_PERCENT / 100).max(expected),
            hard_deadline: now + (objective * UNCONFIRMED_SILENCE_PERCENT / 100).max(expected),
        }
    }

    /// Completes when the request should fail over to another engine.
    pub(super) async fn expired(&self) {
        if !self.can_fail_over {
            return std::future::pending().await;
        }
        process_clock::sleep(self.soft_deadline.saturating_duration_since(process_clock::now())).await;
        while self.responded_recently() || !self.is_silence_confirmed() {
            process_clock::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the engine's silence is significant: the engine is no longer listed, other streams of this
    /// node are waiting for its events, or the hard deadline has passed.
    fn is_silence_confirmed(&self) -> bool {
        let is_unlisted = self.forwarder.directory.load().get(self.backend).is_none();
        let owes_events = self.forwarder.backend_state.loads.responding_requests(self.backend) > 0;
        is_unlisted || owes_events || process_clock::now() >= self.hard_deadline
    }

    fn responded_recently(&self) -> bool {
        self.forwarder.backend_state.health.is_responsive(self.backend, process_clock::now())
    }
}
