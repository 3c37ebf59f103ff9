//! Lost responses by back end, kept until it is known whether the back end terminated.
//!
//! A lost response alone proves little: a faulty back end may close connections without terminating, and the
//! caller's network may fail. A back end's open requests are counted as suspects only once it is known to
//! have terminated.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_quarantine::OpenSuspect;
use tokio::time::Instant;

/// Time for which a lost response is kept. A machine that goes silent is detected as dead and restarted
/// within this time.
const LOSS_TTL: Duration = Duration::from_secs(10);
/// Longest pause between responses that are lost together.
const LOST_TOGETHER_WITHIN: Duration = Duration::from_secs(1);
/// Maximum number of back ends for which lost responses are kept.
const MAX_BACK_ENDS: usize = 512;
/// Maximum number of lost responses kept per back end.
const MAX_REQUESTS_PER_BACK_END: usize = 256;
/// Maximum number of parts of their prompts kept per back end.
const MAX_PARTS_PER_BACK_END: usize = 256;

/// Action that a lost response requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAction {
    /// The back end is known to have terminated: count the request.
    Count,
    /// Probe whether the back end is alive.
    Probe,
    /// A probe is already running.
    Wait,
}

/// Lost responses by back end.
#[derive(Debug, Default)]
pub struct LostResponses {
    back_ends: Mutex<HashMap<BackendId, BackendLosses>>,
}

#[derive(Debug)]
struct BackendLosses {
    requests: Vec<OpenSuspect>,
    parts: Vec<OpenSuspect>,
    /// When the first of the responses was lost that were lost together last.
    since: Instant,
    last: Instant,
    is_probed: bool,
    has_terminated: bool,
}

impl BackendLosses {
    fn add(&mut self, open: OpenSuspect) {
        let (kept, limit) = match open.suspect.part() {
            None => (&mut self.requests, MAX_REQUESTS_PER_BACK_END),
            Some(_) => (&mut self.parts, MAX_PARTS_PER_BACK_END),
        };
        if let Some(known) = kept.iter_mut().find(|other| other.suspect == open.suspect) {
            known.exposure_ms = known.exposure_ms.max(open.exposure_ms);
        } else if kept.len() < limit {
            kept.push(open);
        }
    }
}

impl LostResponses {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, BackendLosses>> {
        self.back_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a back end's response was lost. `suspects`: the request and the shared parts of its prompt.
    pub fn note(&self, backend: &BackendId, suspects: &[OpenSuspect], now: Instant) -> ProbeAction {
        let mut back_ends = self.lock();
        back_ends.retain(|_, lost| now.saturating_duration_since(lost.last) < LOSS_TTL);
        if back_ends.len() >= MAX_BACK_ENDS && !back_ends.contains_key(backend) {
            return ProbeAction::Wait;
        }
        let lost = back_ends.entry(backend.clone()).or_insert_with(|| BackendLosses {
            requests: Vec::new(),
            parts: Vec::new(),
            since: now,
            last: now,
            is_probed: false,
            has_terminated: false,
        });
        if now.saturating_duration_since(lost.last) > LOST_TOGETHER_WITHIN {
            lost.since = now;
        }
        lost.last = now;
        if lost.has_terminated {
            return ProbeAction::Count;
        }
        suspects.iter().for_each(|suspect| lost.add(*suspect));
        if std::mem::replace(&mut lost.is_probed, true) { ProbeAction::Wait } else { ProbeAction::Probe }
    }

    /// Time for which a back end's responses have been lost: it is known to have terminated some time after it did. Zero
    /// for a back end without lost responses.
    pub fn lost_for(&self, backend: &BackendId, now: Instant) -> Duration {
        let back_ends = self.lock();
        back_ends.get(backend).map(|lost| now.saturating_duration_since(lost.since)).unwrap_or_default()
    }

    /// Whether a back end is currently probed.
    pub fn is_probed(&self, backend: &BackendId) -> bool {
        self.lock().get(backend).is_some_and(|lost| lost.is_probed)
    }

    /// Records that a probe found the back end alive or was inconclusive.
    pub fn finish_probe(&self, backend: &BackendId) {
        if let Some(lost) = self.lock().get_mut(backend) {
            lost.is_probed = false;
        }
    }

    /// Records that a back end terminated; returns the suspects of the responses that were lost there. Nothing is
    /// recorded for a back end without lost responses.
    pub fn mark_terminated(&self, backend: &BackendId) -> Vec<OpenSuspect> {
        let mut back_ends = self.lock();
        let Some(lost) = back_ends.get_mut(backend) else { return Vec::new() };
        lost.has_terminated = true;
        let mut suspects = std::mem::take(&mut lost.requests);
        suspects.append(&mut lost.parts);
        suspects
    }
}
