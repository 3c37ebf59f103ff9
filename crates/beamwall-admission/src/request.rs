//! A request for capacity, with the state of its group of engines.

use std::time::Duration;

use crate::claim::CapacityClaim;

/// A request and what the placement node knows of the engine that would serve it first.
#[derive(Debug, Clone, Copy)]
pub struct CapacityRequest<'a> {
    /// What it claims.
    pub claim: &'a CapacityClaim,
    /// Weight of its tenant in the fair shares.
    pub weight: f64,
    /// Lower confidence bound of the time until its response starts.
    pub expected: Duration,
    /// Part of this time that it waits for prompts ahead of it.
    pub wait: Duration,
    /// Engine time that its prompt takes.
    pub work: Duration,
    /// Engines of the group that accept requests.
    pub engines: u32,
    /// Whether the engine has a free slot and no prompt to prefill.
    pub is_idle: bool,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Whether it is admitted in any case: it continues a stream, or is a retry inside the system.
    pub is_exempt: bool,
}

impl CapacityRequest<'_> {
    /// Time until its response would start if nothing were ahead of it.
    pub fn service_time(&self) -> Duration {
        self.expected.saturating_sub(self.wait)
    }
}
