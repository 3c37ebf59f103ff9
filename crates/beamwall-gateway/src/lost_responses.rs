//! Lost responses by back end, kept until it is known whether the back end terminated.
//!
//! A lost response alone proves little: a faulty back end may close connections without terminating, and the
//! caller's network may fail. A back end's open requests are counted as suspects only once it is known to
//! have terminated.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{BackendId, to_ms};
use beamwall_quarantine::{Fingerprint, OpenSuspect};
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

/// How a response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossKind {
    /// Its connection closed, as at the moment at which a back end terminates.
    Closed,
    /// The back end was silent for too long, which a slow one is as well.
    Silent,
}

/// The loss of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseLoss {
    /// How it was lost.
    pub kind: LossKind,
    /// Time from sending the request until the loss; zero if unknown.
    pub exposure: Duration,
}

/// Lost responses by back end.
#[derive(Debug, Default)]
pub struct LostResponses {
    back_ends: Mutex<HashMap<BackendId, BackendLosses>>,
}

#[derive(Debug, Default)]
struct BackendLosses {
    requests: Vec<LostSuspect>,
    parts: Vec<LostSuspect>,
    closed: Option<LossPeriod>,
    silent: Option<LossPeriod>,
    is_probed: bool,
    has_terminated: bool,
}

/// When responses were lost together in the same way.
#[derive(Debug, Clone, Copy)]
struct LossPeriod {
    first: Instant,
    last: Instant,
}

impl LossPeriod {
    /// Records a further loss, or begins another period.
    fn note(period: &mut Option<Self>, now: Instant) {
        let is_together = |known: &Self| now.saturating_duration_since(known.last) <= LOST_TOGETHER_WITHIN;
        let first = period.filter(is_together).map_or(now, |known| known.first);
        *period = Some(Self { first, last: now });
    }
}

/// A suspect whose responses from a back end were lost.
#[derive(Debug)]
struct LostSuspect {
    suspect: Fingerprint,
    /// When a request with it was first sent to the back end, of those whose responses were lost; `None` if unknown.
    sent_at: Option<Instant>,
    /// When its last response was lost.
    last: Instant,
}

impl BackendLosses {
    fn add(&mut self, suspect: Fingerprint, sent_at: Option<Instant>, now: Instant) {
        let (kept, limit) = match suspect.part() {
            None => (&mut self.requests, MAX_REQUESTS_PER_BACK_END),
            Some(_) => (&mut self.parts, MAX_PARTS_PER_BACK_END),
        };
        kept.retain(|lost| is_remembered(lost.last, now));
        if let Some(known) = kept.iter_mut().find(|other| other.suspect == suspect) {
            known.sent_at = known.sent_at.into_iter().chain(sent_at).min();
            known.last = now;
        } else if kept.len() < limit {
            kept.push(LostSuspect { suspect, sent_at, last: now });
        }
    }

    fn last(&self) -> Option<Instant> {
        self.closed.into_iter().chain(self.silent).map(|period| period.last).max()
    }

    /// When the back end terminated, if it did: a connection that closes tells the moment, silence only that something is wrong.
    fn terminated_at(&self) -> Option<Instant> {
        self.closed.or(self.silent).map(|period| period.first)
    }

    /// Takes the suspects, with the exposures of a back end that terminated.
    fn take_suspects(&mut self) -> Vec<OpenSuspect> {
        let terminated_at = self.terminated_at();
        let to_open = |lost: LostSuspect| {
            let exposure =
                terminated_at.zip(lost.sent_at).map(|(end, sent)| end.saturating_duration_since(sent));
            OpenSuspect { suspect: lost.suspect, exposure_ms: to_ms(exposure.unwrap_or_default()) }
        };
        let requests = std::mem::take(&mut self.requests);
        requests.into_iter().chain(std::mem::take(&mut self.parts)).map(to_open).collect()
    }
}

fn is_remembered(lost_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(lost_at) < LOSS_TTL
}

impl LostResponses {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, BackendLosses>> {
        self.back_ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a back end's response was lost. `suspects`: the request and the shared parts of its prompt.
    pub fn note(
        &self,
        backend: &BackendId,
        suspects: &[Fingerprint],
        loss: ResponseLoss,
        now: Instant,
    ) -> ProbeAction {
        let mut back_ends = self.lock();
        back_ends.retain(|_, lost| lost.last().is_some_and(|last| is_remembered(last, now)));
        if back_ends.len() >= MAX_BACK_ENDS && !back_ends.contains_key(backend) {
            return ProbeAction::Wait;
        }
        let lost = back_ends.entry(backend.clone()).or_default();
        let period = match loss.kind {
            LossKind::Closed => &mut lost.closed,
            LossKind::Silent => &mut lost.silent,
        };
        LossPeriod::note(period, now);
        if lost.has_terminated {
            return ProbeAction::Count;
        }
        let sent_at = now.checked_sub(loss.exposure).filter(|_| !loss.exposure.is_zero());
        suspects.iter().for_each(|suspect| lost.add(*suspect, sent_at, now));
        if std::mem::replace(&mut lost.is_probed, true) { ProbeAction::Wait } else { ProbeAction::Probe }
    }

    /// Time since a back end with lost responses terminated, which is known some time after it did. Zero for one without lost
    /// responses.
    pub fn lost_for(&self, backend: &BackendId, now: Instant) -> Duration {
        let terminated_at = self.lock().get(backend).and_then(BackendLosses::terminated_at);
        terminated_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default()
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
        lost.take_suspects()
    }
}
