//! Rejections by brittle engines, as one node knows them.
//!
//! A brittle engine terminates when it has to reject more than a certain number of requests in a second. Once
//! it has rejected one, nodes need permits for it, at a rate that is halved by further rejections and grows
//! while there are none. All nodes together then find the rate that the engine takes with few rejections.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::permits::Allowance;
use crate::rate::RequestRate;

/// Time in which the rate doubles without a rejection.
const DOUBLING_TIME: Duration = Duration::from_secs(1);
/// Time after which an engine that rejected nothing is unlimited again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// Rejections within this time after another one do not reduce the rate further: their requests were sent
/// before it was reduced.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the tolerated rejections that permits may cause at once.
const BURST_FRACTION: f64 = 0.5;

/// The newest rejection of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Rejection {
    /// Rejections a second that the engine tolerates.
    tolerated: RequestRate,
    /// Requests a second that it may get, at the time of the rejection.
    rate: RequestRate,
    at: Instant,
}

impl Rejection {
    fn grown_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.rate.per_second() * age.div_duration_f64(DOUBLING_TIME).exp2()
    }
}

/// A rejection as reported to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectionReport {
    /// The engine.
    pub backend: BackendId,
    /// Rejections a second that it tolerates.
    pub tolerated: RequestRate,
    /// Requests a second that it may get, at the time of the rejection.
    pub rate: RequestRate,
    /// Time since the rejection.
    pub age: Duration,
}

/// The rejections of all brittle engines known to one node.
#[derive(Debug, Default)]
pub struct KnownRejections {
    rejections: Mutex<HashMap<BackendId, Rejection>>,
}

impl KnownRejections {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Rejection>> {
        self.rejections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a brittle engine has rejected a request. Returns whether peers should learn of it at once.
    pub fn note_rejection(&self, backend: &BackendId, tolerated: RequestRate, now: Instant) -> bool {
        let mut rejections = self.lock();
        let Some(known) = rejections.get_mut(backend) else {
            rejections
                .insert(backend.clone(), Rejection { tolerated, rate: lowest_rate(tolerated), at: now });
            return true;
        };
        known.tolerated = tolerated;
        let is_reduced = now.saturating_duration_since(known.at) >= REDUCTION_INTERVAL;
        if is_reduced {
            let lowest = lowest_rate(tolerated);
            known.rate =
                RequestRate::new(known.grown_rate(now) / 2.0).map_or(lowest, |rate| rate.max(lowest));
        }
        known.at = now;
        is_reduced
    }

    /// Records that the response to a request sent at `sent_at` does not call its engine brittle.
    pub fn note_sound(&self, backend: &BackendId, sent_at: Instant) {
        let mut rejections = self.lock();
        if rejections.get(backend).is_some_and(|known| known.at < sent_at) {
            rejections.remove(backend);
        }
    }

    /// Takes over what a peer observed.
    pub fn merge(&self, report: &RejectionReport, now: Instant) {
        let Some(at) = now.checked_sub(report.age) else { return };
        let reported = Rejection { tolerated: report.tolerated, rate: report.rate, at };
        let mut rejections = self.lock();
        let known = rejections.entry(report.backend.clone()).or_insert(reported);
        if known.at < at {
            *known = reported;
        }
    }

    /// Requests that an engine may get; `None`: any, as far as its rejections are concerned.
    pub fn allowance(&self, backend: &BackendId, now: Instant) -> Option<Allowance> {
        let rejections = self.lock();
        let known = rejections.get(backend).filter(|known| is_recent(known, now))?;
        let burst = (known.tolerated.per_second() * BURST_FRACTION).max(1.0);
        Some(Allowance { per_second: known.grown_rate(now), burst })
    }

    /// Engines that rejected requests recently.
    pub fn rejecting(&self, now: Instant) -> Vec<BackendId> {
        let rejections = self.lock();
        let recent = rejections.iter().filter(|(_, known)| is_recent(known, now));
        recent.map(|(backend, _)| backend.clone()).collect()
    }

    /// The recent rejections, to be reported to peers.
    pub fn reports(&self, now: Instant) -> Vec<RejectionReport> {
        let rejections = self.lock();
        let recent = rejections.iter().filter(|(_, known)| is_recent(known, now));
        recent.map(|(backend, known)| report(backend, known, now)).collect()
    }

    /// One engine's newest rejection, to be reported to a peer.
    pub fn report(&self, backend: &BackendId, now: Instant) -> Option<RejectionReport> {
        self.lock().get(backend).map(|known| report(backend, known, now))
    }

    /// Removes engines that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}

/// The rate after the first rejection, and the lowest: what is left of the tolerated rejections beside the
/// burst.
fn lowest_rate(tolerated: RequestRate) -> RequestRate {
    RequestRate::new(tolerated.per_second() * (1.0 - BURST_FRACTION)).unwrap_or(tolerated)
}

fn is_recent(rejection: &Rejection, now: Instant) -> bool {
    now.saturating_duration_since(rejection.at) < FORGOTTEN_AFTER
}

fn report(backend: &BackendId, known: &Rejection, now: Instant) -> RejectionReport {
    RejectionReport {
        backend: backend.clone(),
        tolerated: known.tolerated,
        rate: known.rate,
        age: now.saturating_duration_since(known.at),
    }
}
