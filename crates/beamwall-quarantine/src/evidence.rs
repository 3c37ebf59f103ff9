//! Observations about requests and back end terminations that nodes exchange.
//!
//! Evidence only grows, and merging it is idempotent and commutative, so nodes may forward it freely.
//! Times are in milliseconds since 1970 by the clock that most nodes agree on, so they are comparable
//! between nodes.

use std::collections::BTreeMap;

use beamwall_model::{BackendId, EngineVersion};

use crate::fingerprint::Fingerprint;
use crate::suspect::Suspect;

/// An unannounced termination of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The back end; an engine that restarts becomes a new back end.
    pub backend: BackendId,
    /// Its software version, if known.
    pub version: Option<EngineVersion>,
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
    /// Exposure of the back end to it: time in milliseconds from sending the request until its response was lost; 0 if
    /// unknown. Of several requests, the longest counts.
    pub exposure_ms: u64,
}

impl OpenSuspect {
    /// A suspect of which nobody tells how long the back end ran it.
    pub fn of_unknown_exposure(suspect: Fingerprint) -> Self {
        Self { suspect, exposure_ms: 0 }
    }
}

/// A back end that has run a suspect for some time and runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// It has been writing the response for this time, in milliseconds, so it has begun to run the suspect.
    Writing(u64),
    /// The request was sent to it this time ago, in milliseconds, and nothing shows whether it has begun.
    Running(u64),
}

impl Survival {
    /// The time for which the back end has survived the suspect, in milliseconds.
    pub fn time_ms(self) -> u64 {
        match self {
            Self::Writing(time_ms) | Self::Running(time_ms) => time_ms,
        }
    }
}

/// How long a back end that terminated had been running suspects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndExposures {
    /// The back end.
    pub backend: BackendId,
    /// The suspects with a known exposure.
    pub suspects: Vec<OpenSuspect>,
}

/// A request that a back end completed without terminating, or that one has survived for so long that terminations have
/// another cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The request.
    pub request: Fingerprint,
    /// The software version of that back end: terminations of back ends of other versions count on. `None`: unknown, so that
    /// none counts on.
    pub version: Option<EngineVersion>,
    /// The terminations up to this time do not count.
    pub at_ms: u64,
    /// Why they do not.
    pub basis: CompletionBasis,
}

/// Why terminations do not count against a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionBasis {
    /// A back end completed the request, or a whole answer on the part.
    Completed,
    /// A back end survived the suspect for longer than those that terminated.
    Survived(Survival),
    /// One of these, at an earlier time; nothing more is remembered.
    Recorded,
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

/// A back end that terminated, when it did, and its version, as one suspect tells them.
type TerminationKey<'a> = (&'a BackendId, u64, Option<&'a EngineVersion>);

/// A set of observations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Terminations of back ends.
    pub endings: Vec<Termination>,
    /// Completed requests.
    pub completions: Vec<Completion>,
    /// Trials of held requests.
    pub trials: Vec<Trial>,
    /// Exposures of the back ends in `endings` to the suspects, as far as they are known.
    pub exposures: Vec<BackEndExposures>,
}

impl Evidence {
    /// Collects the evidence about the given suspects.
    pub fn from_suspects<'a>(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> Self {
        let mut terminations: BTreeMap<TerminationKey<'a>, Vec<Fingerprint>> = BTreeMap::new();
        let mut exposures: BTreeMap<&BackendId, Vec<OpenSuspect>> = BTreeMap::new();
        let mut evidence = Self::default();
        for (request, suspect) in suspects {
            for (backend, at_ms) in &suspect.endings {
                let key = (backend, *at_ms, suspect.versions.get(backend));
                terminations.entry(key).or_default().push(*request);
            }
            for (backend, exposure_ms) in &suspect.exposures_ms {
                let exposed = OpenSuspect { suspect: *request, exposure_ms: *exposure_ms };
                exposures.entry(backend).or_default().push(exposed);
            }
            let recorded = |version: Option<EngineVersion>, at_ms: u64| Completion {
                request: *request,
                version,
                at_ms,
                basis: CompletionBasis::Recorded,
            };
            if suspect.completed_ms > 0 {
                evidence.completions.push(recorded(None, suspect.completed_ms));
            }
            let by_version = suspect.completed_by_version_ms.iter();
            evidence
                .completions
                .extend(by_version.map(|(version, at_ms)| recorded(Some(version.clone()), *at_ms)));
            if suspect.trials > 0 {
                let trial = Trial { request: *request, number: suspect.trials, at_ms: suspect.trial_ms };
                evidence.trials.push(trial);
            }
        }
        let to_termination = |((backend, at_ms, version), open): (TerminationKey<'a>, _)| Termination {
            backend: backend.clone(),
            version: version.cloned(),
            at_ms,
            open,
        };
        evidence.endings = terminations.into_iter().map(to_termination).collect();
        let to_exposures =
            |(backend, suspects): (&BackendId, _)| BackEndExposures { backend: backend.clone(), suspects };
        evidence.exposures = exposures.into_iter().map(to_exposures).collect();
        evidence
    }

    /// Whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.endings.is_empty()
            && self.completions.is_empty()
            && self.trials.is_empty()
            && self.exposures.is_empty()
    }

    /// Appends further evidence.
    pub fn extend(&mut self, other: Evidence) {
        self.endings.extend(other.endings);
        self.completions.extend(other.completions);
        self.trials.extend(other.trials);
        self.exposures.extend(other.exposures);
    }
}
