//! The limits of all engines as one node knows them.
//!
//! Responses overtake one another, and peers report what they saw earlier. Each observation therefore has a
//! time, and the newest wins: a limit counts from the arrival of the response that named it, and its absence
//! from the time at which the request was sent whose response named none.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::rate::RequestRate;

/// Time for which observations are reported to peers. An engine that has a limit is asked more often.
const REPORTED_FOR: Duration = Duration::from_secs(10);

/// The newest observation of one engine.
#[derive(Debug, Clone, Copy)]
struct Observation {
    limit: Option<RequestRate>,
    observed: Instant,
}

/// A limit that began, changed or ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before; `None`: none was known.
    pub before: Option<RequestRate>,
    /// The limit now; `None`: the engine has none any more.
    pub now: Option<RequestRate>,
}

/// An observation as reported to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The engine.
    pub backend: BackendId,
    /// Its limit; `None`: it has none any more.
    pub limit: Option<RequestRate>,
    /// Time since the observation.
    pub age: Duration,
}

/// The limits of all engines known to one node.
#[derive(Debug, Default)]
pub struct KnownLimits {
    observations: Mutex<HashMap<BackendId, Observation>>,
}

impl KnownLimits {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Observation>> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An engine's limit; `None` if it has none.
    pub fn limit(&self, backend: &BackendId) -> Option<RequestRate> {
        self.lock().get(backend)?.limit
    }

    /// Whether an engine has a limit that no response has confirmed for `period`.
    pub fn is_unconfirmed(&self, backend: &BackendId, period: Duration, now: Instant) -> bool {
        let observations = self.lock();
        let limited = observations.get(backend).filter(|observation| observation.limit.is_some());
        limited.is_some_and(|observation| now.saturating_duration_since(observation.observed) >= period)
    }

    /// All engines with a limit.
    pub fn limited(&self) -> Vec<(BackendId, RequestRate)> {
        let limited = |(backend, observation): (&BackendId, &Observation)| {
            observation.limit.map(|limit| (backend.clone(), limit))
        };
        self.lock().iter().filter_map(limited).collect()
    }

    /// Records that a response that has just arrived names a limit.
    pub fn note_limited(&self, backend: &BackendId, limit: RequestRate, now: Instant) -> Option<LimitChange> {
        self.note(backend, Observation { limit: Some(limit), observed: now })
    }

    /// Records that the response to a request sent at `sent_at` names no limit.
    pub fn note_unlimited(&self, backend: &BackendId, sent_at: Instant) -> Option<LimitChange> {
        if !self.lock().contains_key(backend) {
            return None;
        }
        self.note(backend, Observation { limit: None, observed: sent_at })
    }

    /// Takes over what a peer observed.
    pub fn merge(&self, report: &LimitReport, now: Instant) -> Option<LimitChange> {
        let observed = now.checked_sub(report.age)?;
        self.note(&report.backend, Observation { limit: report.limit, observed })
    }

    fn note(&self, backend: &BackendId, newest: Observation) -> Option<LimitChange> {
        let mut observations = self.lock();
        let known = observations.get(backend).copied();
        if known.is_some_and(|known| known.observed >= newest.observed) {
            return None;
        }
        observations.insert(backend.clone(), newest);
        let before = known.and_then(|known| known.limit);
        (before != newest.limit).then_some(LimitChange { before, now: newest.limit })
    }

    /// The recent observations, to be reported to peers. Ended limits are included, so that an earlier
    /// observation of another peer does not revive them.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let age = |observation: &Observation| now.saturating_duration_since(observation.observed);
        let observations = self.lock();
        let recent = observations.iter().filter(|(_, observation)| age(observation) < REPORTED_FOR);
        recent
            .map(|(backend, observation)| LimitReport {
                backend: backend.clone(),
                limit: observation.limit,
                age: age(observation),
            })
            .collect()
    }

    /// One engine's observation, to be reported to a peer.
    pub fn report(&self, backend: &BackendId, now: Instant) -> Option<LimitReport> {
        let Observation { limit, observed } = *self.lock().get(backend)?;
        Some(LimitReport { backend: backend.clone(), limit, age: now.saturating_duration_since(observed) })
    }

    /// Removes engines that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}
