//! The planned stop of this node, as far as callers' requests are concerned.
//!
//! While the balancer still sends callers here, requests are taken as before. Afterwards some still arrive, on
//! connections that were open before: they are taken as long as the time left covers theirs. What can't be answered
//! before the process ends must not reach an engine: it may not be repeated, and nobody would be told what became of it.

use std::sync::OnceLock;

use tokio::time::Instant;

/// Whether this node stops, and until when it answers.
#[derive(Debug, Default)]
pub struct PlannedStop {
    last_answer_at: OnceLock<Instant>,
}

impl PlannedStop {
    /// The balancer sends no callers any more, and the last answers are given at this time. A second stop changes
    /// nothing.
    pub fn begin(&self, last_answer_at: Instant) {
        let _ = self.last_answer_at.set(last_answer_at);
    }

    /// Whether a request that may take until `deadline` is certain to be answered before this node ends.
    pub fn leaves_time_until(&self, deadline: Instant) -> bool {
        self.last_answer_at.get().is_none_or(|last_answer_at| deadline <= *last_answer_at)
    }
}
