//! Answers that were lost, by back end, until it is known whether the back end ended.
//!
//! A lost answer alone tells little: a faulty back end closes connections and lives, a caller's network may break. What the
//! back end had open counts against requests only once it is known to have ended.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_quarantine::Fingerprint;
use tokio::time::Instant;

/// Time for which a lost answer is remembered: a machine that falls silent is taken for dead and starts again within it.
const LOSS_TTL: Duration = Duration::from_secs(10);
/// Back ends of which lost answers are remembered.
const MAX_BACK_ENDS: usize = 512;
/// Lost answers that are remembered of one back end.
const MAX_REQUESTS_PER_BACK_END: usize = 256;

/// What is to be done about a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The back end is known to have ended: the request counts.
    Count,
    /// Find out whether the back end lives.
    Probe,
    /// That is being found out.
    Wait,
}

/// Lost answers by back end.
#[derive(Debug, Default)]
pub struct LostResponses {
    back_ends: Mutex<HashMap<BackendId, BackendLosses>>,
}

#[derive(Debug)]
struct BackendLosses {
    requests: Vec<Fingerprint>,
    last: Instant,
    is_probed: bool,
    has_ended: bool,
}

impl LostResponses {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, BackendLosses>> {
        self.back_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a back end's answer to a request was lost.
    pub fn note(&self, backend: &BackendId, request: Fingerprint, now: Instant) -> NextStep {
        let mut back_ends = self.lock();
        back_ends.retain(|_, lost| now.saturating_duration_since(lost.last) < LOSS_TTL);
        if back_ends.len() >= MAX_BACK_ENDS && !back_ends.contains_key(backend) {
            return NextStep::Wait;
        }
        let lost = back_ends.entry(backend.clone()).or_insert_with(|| BackendLosses {
            requests: Vec::new(),
            last: now,
            is_probed: false,
            has_ended: false,
        });
        lost.last = now;
        if lost.has_ended {
            return NextStep::Count;
        }
        if lost.requests.len() < MAX_REQUESTS_PER_BACK_END && !lost.requests.contains(&request) {
            lost.requests.push(request);
        }
        if std::mem::replace(&mut lost.is_probed, true) { NextStep::Wait } else { NextStep::Probe }
    }

    /// Whether it is being found out whether a back end lives.
    pub fn is_probed(&self, backend: &BackendId) -> bool {
        self.lock().get(backend).is_some_and(|lost| lost.is_probed)
    }

    /// Notes that the back end was found alive, or that this could not be found out.
    pub fn end_probe(&self, backend: &BackendId) {
        if let Some(lost) = self.lock().get_mut(backend) {
            lost.is_probed = false;
        }
    }

    /// Notes that a back end has ended; gives the requests of which it had the answers open. Nothing is noted of one that
    /// lost none.
    pub fn end(&self, backend: &BackendId) -> Vec<Fingerprint> {
        let mut back_ends = self.lock();
        let Some(lost) = back_ends.get_mut(backend) else { return Vec::new() };
        lost.has_ended = true;
        std::mem::take(&mut lost.requests)
    }
}
