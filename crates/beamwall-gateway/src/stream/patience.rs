//! How long a stream waits for its first events before another engine is looked for.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;

/// Part of the objective that a first event may take before a silent engine is left, in hundredths.
const FIRST_EVENT_PERCENT: u32 = 100;
/// Multiple of the expected time after which a silent engine is left.
const EXPECTED_TIMES: u32 = 3;
/// The same where this node has no other stream at the engine: its silence to one request says little.
const UNHEARD_PERCENT: u32 = 300;
/// Time between two looks at whether an engine is still silent.
const LOOK_PERIOD: Duration = Duration::from_millis(400);

/// How long a stream waits for its first events: without end where it may not move or the engine
/// sends to others, else until it is well past the time expected.
pub(super) struct Patience<'a> {
    forwarder: &'a Forwarder,
    backend: &'a BackendId,
    may_move: bool,
    /// By the clock that counts while this process runs, as all times here.
    until: Instant,
    /// When it is left also without a sign that it is dead.
    at_the_latest: Instant,
}

impl<'a> Patience<'a> {
    /// The patience with one chosen engine.
    pub(super) fn new(
        forwarder: &'a Forwarder,
        call: &Call,
        choice: &'a Choice,
        attempts: &Attempts,
    ) -> Self {
        let objective = Duration::from_millis(call.route.objective_ms);
        let now = process_clock::now();
        let expected_ms = choice.expected_ms.unwrap_or(0.0);
        let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0) * EXPECTED_TIMES;
        Self {
            forwarder,
            backend: &choice.backend,
            may_move: call.may_fail_over(attempts.sent + 1),
            until: now + (objective * FIRST_EVENT_PERCENT / 100).max(expected),
            at_the_latest: now + (objective * UNHEARD_PERCENT / 100).max(expected),
        }
    }

    /// Returns when the engine shall be left for another.
    pub(super) async fn ends(&self) {
        if !self.may_move {
            return std::future::pending().await;
        }
        process_clock::sleep(self.until.saturating_duration_since(process_clock::now())).await;
        while self.heard_lately() || !self.is_known_silent() {
            process_clock::sleep(LOOK_PERIOD).await;
        }
    }

    /// Whether the engine's silence tells something: it is not listed any more, it owes events to other
    /// streams of this node, or it has been silent for very long.
    fn is_known_silent(&self) -> bool {
        let is_gone = self.forwarder.directory.load().get(self.backend).is_none();
        let owes_events = self.forwarder.knowledge.loads.answering(self.backend) > 0;
        is_gone || owes_events || process_clock::now() >= self.at_the_latest
    }

    fn heard_lately(&self) -> bool {
        self.forwarder.knowledge.health.is_heard(self.backend, process_clock::now())
    }
}
