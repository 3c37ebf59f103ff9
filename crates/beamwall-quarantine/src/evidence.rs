//! Observations about requests and back end terminations that nodes exchange.
//!
//! Evidence only grows, and merging it is idempotent and commutative, so nodes may forward it freely.
//! Times are in milliseconds since 1970 by the clock that most nodes agree on, so they are comparable
//! between nodes.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::fingerprint::Fingerprint;
use crate::suspect::Suspect;

/// An unannounced termination of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The back end; an engine that restarts becomes a new back end.
    pub backend: BackendId,
    /// When it terminated.
    pub at_ms: u64,
    /// Requests that had been sent to it and were not completely answered.
    pub open: Vec<Fingerprint>,
}

/// A suspect whose response from a back end was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenSuspect {
    /// The request, or a part of its prompt.
    pub suspect: Fingerprint,
    /// Exposure: time in milliseconds from the first to the last event that the back end wrote of the response;
    /// 0 if it wrote none. Of several responses, the longest counts.
    pub written_ms: u64,
}

impl OpenSuspect {
    /// A suspect of which the back end wrote nothing.
    pub fn unwritten(suspect: Fingerprint) -> Self {
        Self { suspect, written_ms: 0 }
    }
}

/// A request that a back end completed without terminating.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The request.
    pub request: Fingerprint,
    /// When the request was completely answered.
    pub at_ms: u64,
}

/// A trial of a held request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The request.
    pub request: Fingerprint,
    /// The trial's number, starting at 1.
    pub number: u32,
    /// When it was granted.
    pub at_ms: u64,
}

/// A set of observations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Terminations of back ends.
    pub endings: Vec<Termination>,
    /// Completed requests.
    pub completions: Vec<Completion>,
    /// Trials of held requests.
    pub trials: Vec<Trial>,
}

impl Evidence {
    /// Collects the evidence about the given suspects.
    pub fn from_suspects<'a>(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> Self {
        let mut terminations: BTreeMap<(&BackendId, u64), Vec<Fingerprint>> = BTreeMap::new();
        let mut evidence = Self::default();
        for (request, suspect) in suspects {
            for (backend, at_ms) in &suspect.endings {
                terminations.entry((backend, *at_ms)).or_default().push(*request);
            }
            if suspect.completed_ms > 0 {
                evidence.completions.push(Completion { request: *request, at_ms: suspect.completed_ms });
            }
            if suspect.trials > 0 {
                let trial = Trial { request: *request, number: suspect.trials, at_ms: suspect.trial_ms };
                evidence.trials.push(trial);
            }
        }
        let to_termination = |((backend, at_ms), open): ((&BackendId, u64), _)| Termination {
            backend: backend.clone(),
            at_ms,
            open,
        };
        evidence.endings = terminations.into_iter().map(to_termination).collect();
        evidence
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.endings.is_empty() && self.completions.is_empty() && self.trials.is_empty()
    }

    /// Appends further evidence.
    pub fn extend(&mut self, other: Evidence) {
        self.endings.extend(other.endings);
        self.completions.extend(other.completions);
        self.trials.extend(other.trials);
    }
}
