//! How long a stream waits for its first events before another engine is looked for.

use std::time::Duration;

use beamwall_clock::running;
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;

/// Part of the objective that a first event may take before a silent engine is left, in hundredths.
const FIRST_EVENT_PERCENT: u32 = 100;
/// Multiple of the expected time after which a silent engine is left.
const EXPECTED_TIME_MULTIPLE: u32 = 3;
/// The same where this node has no other stream at the engine: its silence to one request says little.
const UNCONFIRMED_SILENCE_PERCENT: u32 = 300;
/// Time between two looks at whether an engine is still silent.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// How long a stream waits for its first events: without end where it may not move or the engine
/// sends to others, else until it is well past the time expected.
pub(super) struct FirstEventWait<'a> {
    forwarder: &'a Forwarder,
    backend: &'a BackendId,
    can_fail_over: bool,
    /// By the clock that counts while this process runs, as all times here.
    soft_deadline: Instant,
    /// When it is left also without a sign that it is dead.
    hard_deadline: Instant,
}

impl<'a> FirstEventWait<'a> {
    /// The patience with one chosen engine.
    pub(super) fn new(
        forwarder: &'a Forwarder,
        call: &Call,
        choice: &'a Choice,
        attempts: &Attempts,
    ) -> Self {
        let objective = Duration::from_millis(call.route.objective_ms);
        let now = running::now();
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

    /// Returns when the engine shall be left for another.
    pub(super) async fn expired(&self) {
        if !self.can_fail_over {
            return std::future::pending().await;
        }
        running::sleep(self.soft_deadline.saturating_duration_since(running::now())).await;
        while self.responded_recently() || !self.is_silence_confirmed() {
            running::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the engine's silence tells something: it is not listed any more, it owes events to other
    /// streams of this node, or it has been silent for very long.
    fn is_silence_confirmed(&self) -> bool {
        let is_unlisted = self.forwarder.directory.load().get(self.backend).is_none();
        let owes_events = self.forwarder.knowledge.loads.answering(self.backend) > 0;
        is_unlisted || owes_events || running::now() >= self.hard_deadline
    }

    fn responded_recently(&self) -> bool {
        self.forwarder.knowledge.health.is_heard(self.backend, running::now())
    }
}
