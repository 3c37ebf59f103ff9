//! Lasting speed of individual back ends, kept apart from their slowness at the moment.
//!
//! A record is the median logarithm of measured over expected time, where the expected time is that of a back
//! end of speed 1. The samples are some time apart, however many requests a back end answers: a slow spell of
//! a busy one yields many slow samples at once, but few of those that are kept. The median ignores them, and
//! follows a back end that has changed for good once half of the samples are new.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::slowness::remaining_weight;

/// Half-life of a record's weight without new samples: a back end that was slow for long and is avoided since
/// is tried again after some 100 s.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(60);
/// Half-life of a record relative to a newer one of the same back end by another node.
const OUTDATED_HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of samples kept.
const MAX_SAMPLES: usize = 24;
/// Age of samples that are dropped when a new one is added.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(300);
/// Minimum time between two samples: a back end that is slow for several seconds and then avoided does not
/// yield enough of them to change the median.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two of the first samples: long enough that most of them lie outside a slow spell.
const FIRST_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of first samples.
const FIRST_SAMPLES: usize = 8;
/// Weight below which a record does not tell the speed: the first few samples may be of a slow spell.
const MIN_KNOWN_WEIGHT: f64 = 7.5;
/// Deviation from the prior, as a logarithm times the weight, that a record must show to count: the median of
/// few samples has a large error.
const MIN_WEIGHTED_DEVIATION: f64 = 3.0;
/// Weight, in samples, of the prior that a back end is as fast as others of its kind.
const PRIOR_WEIGHT: f64 = 1.0;
/// Maximum absolute logarithm of a received record: a factor of 10.
const MAX_LOGARITHM: f64 = std::f64::consts::LN_10;

/// Samples of one back end's lasting speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LastingObservation {
    /// Weighted sum of the logarithms of the ratio of measured time to that of a back end of speed 1.
    pub logarithms: f64,
    /// Sum of the weights.
    pub weight: f64,
}

impl LastingObservation {
    /// Adds one sample.
    pub(crate) fn add_sample(&mut self, logarithm: f64) {
        self.logarithms += logarithm;
        self.weight += 1.0;
    }

    /// Returns the mean logarithm; `None` without usable samples.
    fn mean(self) -> Option<f64> {
        let mean = self.logarithms / self.weight;
        (self.weight > 0.0 && mean.is_finite()).then(|| mean.clamp(-MAX_LOGARITHM, MAX_LOGARITHM))
    }
}

/// Samples of one back end, some time apart.
#[derive(Debug, Clone, Default)]
struct Samples {
    newest_last: VecDeque<(Instant, f64)>,
}

impl Samples {
    /// Adds a sample and returns whether it is kept.
    fn add(&mut self, logarithm: f64, now: Instant) -> bool {
        let is_first = self.newest_last.len() < FIRST_SAMPLES;
        let interval = if is_first { FIRST_SAMPLE_INTERVAL } else { SAMPLE_INTERVAL };
        let is_due = |(at, _): &(Instant, f64)| now.saturating_duration_since(*at) >= interval;
        if !self.newest_last.back().is_none_or(is_due) {
            return false;
        }
        self.newest_last.retain(|(at, _)| now.saturating_duration_since(*at) <= MAX_SAMPLE_AGE);
        if self.newest_last.len() == MAX_SAMPLES {
            self.newest_last.pop_front();
        }
        self.newest_last.push_back((now, logarithm));
        true
    }

    fn median(&self) -> f64 {
        median(self.newest_last.iter().map(|(_, logarithm)| *logarithm).collect())
    }
}

/// Returns the median; 0 without numbers. Of two middle numbers it is the one nearer to 0: half of the samples
/// do not suffice to show a deviation.
pub(crate) fn median(mut numbers: Vec<f64>) -> f64 {
    numbers.sort_by(f64::total_cmp);
    let lower = numbers.len().saturating_sub(1) / 2;
    let middle = numbers.iter().skip(lower).take(2 - numbers.len() % 2);
    middle.copied().min_by(|left, right| left.abs().total_cmp(&right.abs())).unwrap_or(0.0)
}

/// What is known of one back end's lasting speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LastingRecord {
    /// Median of the logarithms.
    pub(crate) median: f64,
    /// Number of samples.
    weight: f64,
    updated_at: Instant,
}

impl LastingRecord {
    fn new(median: f64, weight: f64, now: Instant) -> Self {
        Self { median, weight: weight.min(MAX_SAMPLES as f64), updated_at: now }
    }

    /// Returns the weight after the time without samples.
    fn weight_at(&self, now: Instant) -> f64 {
        self.weight * remaining_weight(now.saturating_duration_since(self.updated_at), IDLE_HALF_LIFE)
    }

    /// Returns the record as it is told to peers, or `None` if it rests on few samples.
    pub(crate) fn to_report(self, now: Instant) -> Option<LastingObservation> {
        let is_known = self.weight_at(now) >= MIN_KNOWN_WEIGHT;
        is_known.then_some(LastingObservation { logarithms: self.median * self.weight, weight: self.weight })
    }
}

/// Samples of the lasting speeds of back ends at one node.
#[derive(Debug, Default)]
pub struct LastingSpeedTracker {
    samples: HashMap<BackendId, Samples>,
    records: LastingRecords,
}

impl LastingSpeedTracker {
    /// Records what was observed of a back end. Several samples that arrive together count as one.
    pub fn record(&mut self, backend: &BackendId, observed: LastingObservation, now: Instant) {
        let Some(mean) = observed.mean() else { return };
        let samples = self.samples.entry(backend.clone()).or_default();
        if samples.add(mean, now) {
            let record = LastingRecord::new(samples.median(), samples.newest_last.len() as f64, now);
            self.records.by_backend.insert(backend.clone(), record);
        }
    }

    /// Drops samples of back ends that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.samples.retain(|backend, _| is_known(backend));
        self.records.retain(is_known);
    }

    pub(crate) fn records(&self) -> &LastingRecords {
        &self.records
    }
}

/// Records of the lasting speeds of back ends, from one source.
#[derive(Debug, Default)]
pub(crate) struct LastingRecords {
    by_backend: HashMap<BackendId, LastingRecord>,
}

impl LastingRecords {
    /// Replaces a record by the one that another node told. One that was told before keeps its age.
    pub(crate) fn set(&mut self, backend: &BackendId, told: LastingObservation, now: Instant) {
        let Some(median) = told.mean() else { return };
        let received = LastingRecord::new(median, told.weight, now);
        let is_known = |known: &LastingRecord| known.median == median && known.weight == received.weight;
        if !self.by_backend.get(backend).is_some_and(is_known) {
            self.by_backend.insert(backend.clone(), received);
        }
    }

    /// Adds other records, except where those held are newer.
    pub(crate) fn absorb(&mut self, other: Self) {
        for (backend, record) in other.by_backend {
            let known = self.by_backend.entry(backend).or_insert(record);
            if known.updated_at < record.updated_at {
                *known = record;
            }
        }
    }

    /// Drops records of back ends that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.by_backend.retain(|backend, _| is_known(backend));
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&BackendId, &LastingRecord)> {
        self.by_backend.iter()
    }
}

/// What several nodes know of one back end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MergedRecord {
    pub(crate) logarithm: f64,
    pub(crate) weight: f64,
    newest: Instant,
}

impl MergedRecord {
    /// Returns whether there are enough samples to tell the speed.
    pub(crate) fn is_known(self) -> bool {
        self.weight >= MIN_KNOWN_WEIGHT
    }

    /// Returns the logarithm of the factor, drawn towards the `prior` while there are few samples. The prior holds
    /// while the deviation from it may be noise.
    pub(crate) fn with_prior(self, prior: f64) -> f64 {
        if (self.logarithm - prior).abs() * self.weight < MIN_WEIGHTED_DEVIATION {
            return prior;
        }
        (self.logarithm * self.weight + prior * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }

    /// Returns the record as it is told to other zones.
    pub(crate) fn to_report(self) -> Option<LastingObservation> {
        let is_known = self.is_known();
        is_known
            .then_some(LastingObservation { logarithms: self.logarithm * self.weight, weight: self.weight })
    }

    fn add(&mut self, record: &LastingRecord, now: Instant) {
        let outdated = |newest: Instant, updated_at: Instant| {
            remaining_weight(newest.saturating_duration_since(updated_at), OUTDATED_HALF_LIFE)
        };
        let newest = self.newest.max(record.updated_at);
        let known = self.weight * outdated(newest, self.newest);
        let added = record.weight_at(now) * outdated(newest, record.updated_at);
        let sum = known + added;
        if sum > 0.0 {
            self.logarithm = (self.logarithm * known + record.median * added) / sum;
        }
        self.weight = sum.min(MAX_SAMPLES as f64);
        self.newest = newest;
    }
}

/// Merges the records of several sources. A record counts less the older it is than the newest one of its
/// back end: its node no longer selects that back end.
pub(crate) fn merge<'a>(
    sources: impl Iterator<Item = &'a LastingRecords>,
    now: Instant,
) -> HashMap<BackendId, MergedRecord> {
    let mut merged: HashMap<BackendId, MergedRecord> = HashMap::new();
    for (backend, record) in sources.flat_map(LastingRecords::iter) {
        let empty = MergedRecord { logarithm: 0.0, weight: 0.0, newest: record.updated_at };
        merged.entry(backend.clone()).or_insert(empty).add(record, now);
    }
    merged
}
