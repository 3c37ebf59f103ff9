//! Detects individual back ends that are slower than is usual for their service.
//!
//! A degraded back end still answers, so no request fails. The time of each request is compared with the
//! estimate for any back end of the service. Observations of all nodes are added, and older samples decay, so
//! that a back end that was avoided is tried again.
//!
//! The design targets a fleet of hundreds of nodes that each use a back end once a minute. Single samples
//! therefore count, and each is reported to the node that selects back ends
//! (`EngineModels::take_unreported`). Of 160 back ends of which 24 drop to a quarter of their speed, these 24
//! get less than 4 in 100 requests from 2 s on, and are used again some 8 s after they recover.

use std::collections::HashMap;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::lasting_factors::LastingFactors;

/// Half-life of a sample's weight: a slow engine must be detected within a second or two.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight, in samples, of the prior that a back end is as fast as the others.
const PRIOR_WEIGHT: f64 = 2.0;
/// Weight below which an observation is not sent to all peers: a single slow answer is weak evidence.
const MIN_REPORTED_WEIGHT: f64 = 2.0;
/// Maximum weight of an observation: a back end that recovers is tried again after some seconds, however many
/// samples were slow.
const MAX_WEIGHT: f64 = 4.0;
/// Weight below which a decayed record is ignored.
const MIN_COUNTED_WEIGHT: f64 = 0.05;
/// Mean logarithm of the factor below which an observation is not sent: most back ends are as fast as their
/// service.
const MIN_REPORTED_LOGARITHM: f64 = 0.25;
/// Maximum factor of one sample: a single failing request must not exclude a back end.
const MAX_SAMPLE_FACTOR: f64 = 10.0;

/// Slowness of one back end, as observed by one or more nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlownessObservation {
    /// Weighted sum of the logarithms of the ratio of measured to expected time.
    pub logarithms: f64,
    /// Sum of the weights.
    pub weight: f64,
}

impl SlownessObservation {
    /// Returns whether enough samples show that the back end's speed now differs from its lasting speed,
    /// given as the logarithm of its lasting factor.
    pub(crate) fn is_notable(self, lasting_logarithm: f64) -> bool {
        let deviation = (self.logarithms - lasting_logarithm * self.weight).abs();
        self.weight >= MIN_REPORTED_WEIGHT && deviation >= MIN_REPORTED_LOGARITHM * self.weight
    }

    /// Scales the observation down to the maximum weight.
    pub(crate) fn capped(self) -> Self {
        let scale = (MAX_WEIGHT / self.weight.max(MAX_WEIGHT)).min(1.0);
        Self { logarithms: self.logarithms * scale, weight: self.weight * scale }
    }

    /// Returns the mean ratio of measured to expected time; 1 without samples.
    pub fn mean_ratio(self) -> f64 {
        if self.weight > 0.0 { (self.logarithms / self.weight).exp() } else { 1.0 }
    }

    /// Returns the factor by which the back end is slower than is usual for its service. The prior is the
    /// logarithm of its lasting factor.
    fn factor(self, lasting_logarithm: f64) -> f64 {
        ((self.logarithms + lasting_logarithm * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)).exp()
    }
}

impl AddAssign for SlownessObservation {
    fn add_assign(&mut self, other: Self) {
        self.logarithms += other.logarithms;
        self.weight += other.weight;
    }
}

/// Factors by which individual back ends are slower than is usual for their services: their lasting factors,
/// corrected by what was observed in the last seconds.
#[derive(Debug, Default)]
pub struct SlownessFactors {
    recent: HashMap<BackendId, f64>,
    lasting: Arc<LastingFactors>,
}

impl SlownessFactors {
    /// Combines recent observations with lasting factors.
    pub(crate) fn new(
        observed: impl IntoIterator<Item = (BackendId, SlownessObservation)>,
        lasting: Arc<LastingFactors>,
    ) -> Self {
        let factor = |(backend, observed): (BackendId, SlownessObservation)| {
            let factor = observed.factor(lasting.logarithm(&backend));
            (backend, factor)
        };
        Self { recent: observed.into_iter().map(factor).collect(), lasting }
    }

    /// Returns the factor of one back end now; 1 without observations.
    pub fn for_backend(&self, backend: &BackendId) -> f64 {
        self.recent.get(backend).copied().unwrap_or_else(|| self.lasting.for_backend(backend))
    }

    /// Returns the lasting factors.
    pub fn lasting(&self) -> &LastingFactors {
        &self.lasting
    }
}

/// Returns the part of a weight that remains after some time.
pub(crate) fn remaining_weight(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

#[derive(Debug, Clone, Copy)]
struct Record {
    observed: SlownessObservation,
    updated_at: Instant,
}

impl Record {
    fn decayed_at(&self, now: Instant) -> SlownessObservation {
        let remaining = remaining_weight(now.saturating_duration_since(self.updated_at), HALF_LIFE);
        SlownessObservation {
            logarithms: self.observed.logarithms * remaining,
            weight: self.observed.weight * remaining,
        }
    }
}

/// Returns the logarithm of the ratio of measured to expected time, bounded; `None` if a time is not positive.
pub(crate) fn sample_logarithm(took_ms: f64, expected_ms: f64) -> Option<f64> {
    if took_ms <= 0.0 || expected_ms <= 0.0 {
        return None;
    }
    Some((took_ms / expected_ms).clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR).ln())
}

/// Decaying slowness observations of back ends.
#[derive(Debug, Default)]
pub struct SlownessTracker {
    records: HashMap<BackendId, Record>,
}

impl SlownessTracker {
    /// Records that a request took `took_ms` where `expected_ms` was expected.
    pub fn record_sample(&mut self, backend: &BackendId, took_ms: f64, expected_ms: f64, now: Instant) {
        let Some(logarithm) = sample_logarithm(took_ms, expected_ms) else { return };
        let fresh = Record { observed: SlownessObservation::default(), updated_at: now };
        let record = self.records.entry(backend.clone()).or_insert(fresh);
        let before = record.decayed_at(now);
        let observed =
            SlownessObservation { logarithms: before.logarithms + logarithm, weight: before.weight + 1.0 };
        *record = Record { observed: observed.capped(), updated_at: now };
    }

    /// Replaces all records by the observations of another node.
    pub fn set_observations(
        &mut self,
        observations: impl IntoIterator<Item = (BackendId, SlownessObservation)>,
        now: Instant,
    ) {
        let record = |(backend, observed)| (backend, Record { observed, updated_at: now });
        self.records = observations.into_iter().map(record).collect();
    }

    /// Adds an observation of another node.
    pub fn add(&mut self, backend: BackendId, observed: SlownessObservation, now: Instant) {
        let mut sum = self.records.get(&backend).map(|record| record.decayed_at(now)).unwrap_or_default();
        sum += observed;
        self.records.insert(backend, Record { observed: sum.capped(), updated_at: now });
    }

    /// Returns all observations with their current, decayed weight.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&BackendId, SlownessObservation)> {
        let records = self.records.iter().map(move |(backend, record)| (backend, record.decayed_at(now)));
        records.filter(|(_, observed)| observed.weight >= MIN_COUNTED_WEIGHT)
    }

    /// Removes and returns the observations of back ends that satisfy `among`.
    pub fn take(
        &mut self,
        among: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, SlownessObservation)> {
        let taken = self.records.extract_if(|backend, _| among(backend));
        taken.map(|(backend, record)| (backend, record.decayed_at(now))).collect()
    }

    /// Drops observations of back ends that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.records.retain(|backend, _| is_known(backend));
    }
}
