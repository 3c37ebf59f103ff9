//! Engines that said in a response that they leave.
//!
//! An engine announces its departure in the list of back ends as well, but that may be unavailable. What the
//! engine says itself holds for the rest of its generation, whatever its entry says: entries are written again
//! while the engine still runs. Nodes report departures to their peers, so that all of them stop using the
//! engine, also those that received its responses through a peer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

/// Time for which a departure is reported to peers after the engine last announced it.
const REPORTED_FOR: Duration = Duration::from_secs(30);
/// Time for which a departure is remembered although the engine is not listed: its entry may expire and be
/// written again while the engine still runs.
const REMEMBERED_FOR: Duration = Duration::from_secs(300);

/// A departure as reported to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartureReport {
    /// The engine.
    pub backend: BackendId,
    /// Time since it last announced the departure.
    pub age: Duration,
}

/// The departures known to one node, with the time at which each was last announced.
#[derive(Debug, Default)]
pub struct KnownDepartures {
    announced: Mutex<HashMap<BackendId, Instant>>,
}

impl KnownDepartures {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Instant>> {
        self.announced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an engine announced its departure at `at`. Returns whether that is news.
    pub fn note(&self, backend: &BackendId, at: Instant) -> bool {
        let mut announced = self.lock();
        match announced.get_mut(backend) {
            Some(last) => {
                *last = at.max(*last);
                false
            }
            None => announced.insert(backend.clone(), at).is_none(),
        }
    }

    /// Takes over what a peer reports. Returns whether that is news.
    pub fn merge(&self, report: &DepartureReport, now: Instant) -> bool {
        let at = now.checked_sub(report.age).filter(|_| report.age < REMEMBERED_FOR);
        at.is_some_and(|at| self.note(&report.backend, at))
    }

    /// Whether an engine announced its departure.
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.lock().contains_key(backend)
    }

    /// All engines that announced their departure.
    pub fn leaving(&self) -> Vec<BackendId> {
        self.lock().keys().cloned().collect()
    }

    /// The recent departures, to be reported to peers.
    pub fn reports(&self, now: Instant) -> Vec<DepartureReport> {
        let announced = self.lock();
        let ages = announced.iter().map(|(backend, at)| (backend, now.saturating_duration_since(*at)));
        let recent = ages.filter(|(_, age)| *age < REPORTED_FOR);
        recent.map(|(backend, age)| DepartureReport { backend: backend.clone(), age }).collect()
    }

    /// Removes engines that are neither listed nor announced their departure recently.
    pub fn retain(&self, is_listed: impl Fn(&BackendId) -> bool, now: Instant) {
        self.lock()
            .retain(|backend, at| is_listed(backend) || now.saturating_duration_since(*at) < REMEMBERED_FOR);
    }
}
