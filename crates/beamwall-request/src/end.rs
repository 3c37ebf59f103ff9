//! How a model request ended.

use std::time::Duration;

use beamwall_model::Outcome;
use beamwall_quarantine::HeldRequest;

/// The end of a request, as told to its readers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// What is known of it.
    pub outcome: Outcome,
    /// In words, for the caller and the log.
    pub reason: String,
    /// When the caller may come back; `None` when that would not help.
    pub retry_after: Option<Duration>,
}

impl End {
    /// The whole answer was given.
    pub fn completed(reason: impl Into<String>) -> Self {
        Self { outcome: Outcome::Completed, reason: reason.into(), retry_after: None }
    }

    /// It ran nowhere.
    pub fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        Self { outcome: Outcome::NotRun, reason: reason.into(), retry_after: Some(retry_after) }
    }

    /// It ran nowhere, since back ends ended under it before.
    pub fn held(held: HeldRequest) -> Self {
        Self { outcome: Outcome::NotRun, reason: held.reason(), retry_after: held.retry_after }
    }

    /// An engine may have run a part of it.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, reason: reason.into(), retry_after: None }
    }

    /// It continues at another node.
    pub fn interrupted(reason: impl Into<String>) -> Self {
        Self { outcome: Outcome::Interrupted, reason: reason.into(), retry_after: Some(Duration::ZERO) }
    }
}
