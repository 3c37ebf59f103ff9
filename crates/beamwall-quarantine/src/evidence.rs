//! What nodes saw of requests and the ends of back ends, as they tell it to each other.
//!
//! All of it only grows, and the same news heard twice or in another order gives the same book, so nodes may pass it on freely.
//! Times are milliseconds since 1970 by the clock that most nodes agree on, so that they mean the same at all of them.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::fingerprint::Fingerprint;
use crate::suspect::Suspect;

/// A back end that ended without having announced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The back end, which is one life of an engine.
    pub backend: BackendId,
    /// When it ended.
    pub at_ms: u64,
    /// Requests that were sent to it and had not been answered whole.
    pub open: Vec<Fingerprint>,
}

/// A request that a back end ran to an end, and lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// The request.
    pub request: Fingerprint,
    /// When it was answered whole.
    pub at_ms: u64,
}

/// A trial of a request that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The request.
    pub request: Fingerprint,
    /// The number of this trial, from 1.
    pub number: u32,
    /// When it was granted.
    pub at_ms: u64,
}

/// News of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Back ends that ended.
    pub endings: Vec<Termination>,
    /// Requests that ran to an end.
    pub completions: Vec<Completion>,
    /// Trials.
    pub trials: Vec<Trial>,
}

impl Evidence {
    /// All that is known of some requests.
    pub fn from_suspects<'a>(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> Self {
        let mut endings: BTreeMap<(&BackendId, u64), Vec<Fingerprint>> = BTreeMap::new();
        let mut evidence = Self::default();
        for (request, suspect) in suspects {
            for (backend, at_ms) in &suspect.endings {
                endings.entry((backend, *at_ms)).or_default().push(*request);
            }
            if suspect.completed_ms > 0 {
                evidence.completions.push(Completion { request: *request, at_ms: suspect.completed_ms });
            }
            if suspect.trials > 0 {
                let trial = Trial { request: *request, number: suspect.trials, at_ms: suspect.trial_ms };
                evidence.trials.push(trial);
            }
        }
        let ending = |((backend, at_ms), open): ((&BackendId, u64), _)| Termination {
            backend: backend.clone(),
            at_ms,
            open,
        };
        evidence.endings = endings.into_iter().map(ending).collect();
        evidence
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.endings.is_empty() && self.completions.is_empty() && self.trials.is_empty()
    }

    /// Adds other news.
    pub fn extend(&mut self, other: Evidence) {
        self.endings.extend(other.endings);
        self.completions.extend(other.completions);
        self.trials.extend(other.trials);
    }
}
