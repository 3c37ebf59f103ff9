//! Which single back ends are slower than their service usually is.
//!
//! A back end that has quietly turned slow still answers, so nothing fails. Each time that a request took is
//! compared with the time expected of any back end of the service. What the nodes observed is added, and older
//! samples count less and less, so that a back end that was avoided is tried again.
//!
//! The load that this answers: a fleet of hundreds of nodes that each see a back end once a minute. So single samples
//! count, and each is told to who chooses (`EngineModels::take_unreported`). Of 160 back ends of which 24 fall to a quarter
//! of their speed, these get less than 4 in 100 requests from 2 s on, and are used again some 8 s after they are well.

use std::collections::HashMap;
use std::ops::AddAssign;
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

/// Time after which a sample counts half: an engine that turns slow must be known within a second or two.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of the assumption that a back end is as fast as the others, in samples.
const PRIOR_WEIGHT: f64 = 2.0;
/// Samples below which nothing is told to all: a single slow answer says little.
const MIN_REPORTED_WEIGHT: f64 = 2.0;
/// Samples beyond which further ones say no more: a back end that is well again is tried after some seconds, however
/// many samples said that it was slow.
const MAX_WEIGHT: f64 = 4.0;
/// Samples below which a record has faded.
const MIN_COUNTED_WEIGHT: f64 = 0.05;
/// Logarithm of the factor below which nothing is told: most back ends are as fast as their service.
const MIN_REPORTED_LOGARITHM: f64 = 0.25;
/// Largest factor by which one sample may differ: a single broken request must not condemn a back end.
const MAX_SAMPLE_FACTOR: f64 = 10.0;

/// What a node observed of one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlownessObservation {
    /// Sum of the logarithms of the factors by which requests took longer than expected, each times its weight.
    pub logarithms: f64,
    /// Sum of the weights.
    pub weight: f64,
}

impl SlownessObservation {
    /// Whether enough samples say that the back end is not as fast as its service.
    pub(crate) fn is_notable(self) -> bool {
        self.weight >= MIN_REPORTED_WEIGHT && self.logarithms.abs() >= MIN_REPORTED_LOGARITHM * self.weight
    }

    /// The same with no more than the most samples that count.
    pub(crate) fn capped(self) -> Self {
        let scale = (MAX_WEIGHT / self.weight.max(MAX_WEIGHT)).min(1.0);
        Self { logarithms: self.logarithms * scale, weight: self.weight * scale }
    }

    /// The factor by which the back end takes longer than its service usually does.
    pub fn factor(self) -> f64 {
        (self.logarithms / (self.weight + PRIOR_WEIGHT)).exp()
    }
}

impl AddAssign for SlownessObservation {
    fn add_assign(&mut self, other: Self) {
        self.logarithms += other.logarithms;
        self.weight += other.weight;
    }
}

/// The factors by which single back ends take longer than their services usually do.
#[derive(Debug, Default)]
pub struct SlownessFactors(HashMap<BackendId, f64>);

impl SlownessFactors {
    /// The factor of one back end; 1 where nothing was observed of it.
    pub fn for_backend(&self, backend: &BackendId) -> f64 {
        self.0.get(backend).copied().unwrap_or(1.0)
    }
}

impl FromIterator<(BackendId, SlownessObservation)> for SlownessFactors {
    fn from_iter<I: IntoIterator<Item = (BackendId, SlownessObservation)>>(observed: I) -> Self {
        Self(observed.into_iter().map(|(backend, observed)| (backend, observed.factor())).collect())
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    observed: SlownessObservation,
    updated_at: Instant,
}

impl Record {
    fn decayed_at(&self, now: Instant) -> SlownessObservation {
        let half_lives =
            now.saturating_duration_since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let remaining = 0.5_f64.powf(half_lives);
        SlownessObservation {
            logarithms: self.observed.logarithms * remaining,
            weight: self.observed.weight * remaining,
        }
    }
}

/// What was observed of each back end, by whoever reported it.
#[derive(Debug, Default)]
pub struct SlownessTracker {
    records: HashMap<BackendId, Record>,
}

impl SlownessTracker {
    /// Notes that a request took `took_ms` where `expected_ms` was expected.
    pub fn record_sample(&mut self, backend: &BackendId, took_ms: f64, expected_ms: f64, now: Instant) {
        if took_ms <= 0.0 || expected_ms <= 0.0 {
            return;
        }
        let factor = (took_ms / expected_ms).clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
        let fresh = Record { observed: SlownessObservation::default(), updated_at: now };
        let record = self.records.entry(backend.clone()).or_insert(fresh);
        let before = record.decayed_at(now);
        let observed =
            SlownessObservation { logarithms: before.logarithms + factor.ln(), weight: before.weight + 1.0 };
        *record = Record { observed: observed.capped(), updated_at: now };
    }

    /// Replaces what somebody else observed.
    pub fn set_observations(
        &mut self,
        observations: impl IntoIterator<Item = (BackendId, SlownessObservation)>,
        now: Instant,
    ) {
        let record = |(backend, observed)| (backend, Record { observed, updated_at: now });
        self.records = observations.into_iter().map(record).collect();
    }

    /// Adds what somebody else observed.
    pub fn add(&mut self, backend: BackendId, observed: SlownessObservation, now: Instant) {
        let mut sum = self.records.get(&backend).map(|record| record.decayed_at(now)).unwrap_or_default();
        sum += observed;
        self.records.insert(backend, Record { observed: sum.capped(), updated_at: now });
    }

    /// What was observed, as it counts now.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (&BackendId, SlownessObservation)> {
        let records = self.records.iter().map(move |(backend, record)| (backend, record.decayed_at(now)));
        records.filter(|(_, observed)| observed.weight >= MIN_COUNTED_WEIGHT)
    }

    /// Takes out what was observed of back ends that are `among` those asked for.
    pub fn take(
        &mut self,
        among: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, SlownessObservation)> {
        let taken = self.records.extract_if(|backend, _| among(backend));
        taken.map(|(backend, record)| (backend, record.decayed_at(now))).collect()
    }

    /// Forgets back ends that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.records.retain(|backend, _| is_known(backend));
    }
}
