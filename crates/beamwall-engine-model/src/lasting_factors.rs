//! Factors by which individual back ends lastingly take longer than their service, fitted to all records.
//!
//! The factors of a service are centred: the mean of their logarithms over its listed back ends is 0. The
//! service's estimates are fitted to times divided by the factors, so both have one common scale and neither
//! can drift with the other.

use std::collections::HashMap;

use beamwall_model::{BackendId, ServiceName};

use crate::lasting_speed::{MergedRecord, median};

/// Absolute logarithm below which a back end counts as fast as its service: noise of equal back ends stays
/// below it.
const MIN_NOTABLE_LOGARITHM: f64 = 0.1;
/// Back ends of a kind that must be known before others of that kind are assumed to be like them.
const MIN_KNOWN_OF_KIND: usize = 3;

/// Back ends that are assumed to be alike while nothing is known of one of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackendKind {
    /// The service.
    pub service: ServiceName,
    /// Whether they may be reclaimed at short notice.
    pub reclaimable: bool,
}

/// Range of the factors of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FactorSpread {
    /// Factor of the fastest back end.
    pub min: f64,
    /// Factor in the middle.
    pub median: f64,
    /// Factor of the slowest back end.
    pub max: f64,
}

/// Factors by which back ends lastingly take longer than their service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LastingFactors {
    /// Logarithms of the factors that differ from 1.
    logarithms: HashMap<BackendId, f64>,
}

impl LastingFactors {
    /// Fits the factors of the listed back ends.
    pub(crate) fn fit(
        listed: &HashMap<BackendId, BackendKind>,
        records: &HashMap<BackendId, MergedRecord>,
    ) -> Self {
        let priors = kind_medians(listed, records);
        let mut logarithms: HashMap<BackendId, f64> = HashMap::with_capacity(listed.len());
        let mut sums: HashMap<&ServiceName, (f64, usize)> = HashMap::new();
        for (backend, kind) in listed {
            let prior = priors.get(kind).copied().unwrap_or(0.0);
            let known = records.get(backend).filter(|record| record.is_known());
            let logarithm = known.map_or(prior, |record| record.with_prior(prior));
            let sum = sums.entry(&kind.service).or_default();
            sum.0 += logarithm;
            sum.1 += 1;
            logarithms.insert(backend.clone(), logarithm);
        }
        logarithms.retain(|backend, logarithm| {
            let sum = listed.get(backend).and_then(|kind| sums.get(&kind.service));
            let (total, count) = sum.copied().unwrap_or((0.0, 1));
            *logarithm -= total / count as f64;
            logarithm.abs() >= MIN_NOTABLE_LOGARITHM
        });
        Self { logarithms }
    }

    /// Returns the logarithm of a back end's factor; 0 if it is as fast as its service or not known.
    pub(crate) fn logarithm(&self, backend: &BackendId) -> f64 {
        self.logarithms.get(backend).copied().unwrap_or(0.0)
    }

    /// Returns the factor of a back end; 1 if it is as fast as its service or not known.
    pub fn for_backend(&self, backend: &BackendId) -> f64 {
        self.logarithm(backend).exp()
    }

    /// Returns the mean speed of a set of back ends relative to one of speed 1; 1 for an empty set.
    pub fn mean_speed<'a>(&self, backends: impl IntoIterator<Item = &'a BackendId>) -> f64 {
        let (mut sum, mut count) = (0.0, 0_usize);
        for backend in backends {
            sum += (-self.logarithm(backend)).exp();
            count += 1;
        }
        if count == 0 { 1.0 } else { sum / count as f64 }
    }

    /// Returns the range of the factors of some back ends; `None` without any.
    pub(crate) fn spread<'a>(&self, backends: impl Iterator<Item = &'a BackendId>) -> Option<FactorSpread> {
        let mut factors: Vec<f64> = backends.map(|backend| self.for_backend(backend)).collect();
        factors.sort_by(f64::total_cmp);
        let median = *factors.get(factors.len() / 2)?;
        Some(FactorSpread { min: *factors.first()?, median, max: *factors.last()? })
    }
}

/// Returns the median logarithm of each kind of which at least half of the back ends are known. Unlike the
/// mean, it is the logarithm of most of them when a few differ.
fn kind_medians<'a>(
    listed: &'a HashMap<BackendId, BackendKind>,
    records: &HashMap<BackendId, MergedRecord>,
) -> HashMap<&'a BackendKind, f64> {
    let mut by_kind: HashMap<&BackendKind, (Vec<f64>, usize)> = HashMap::new();
    for (backend, kind) in listed {
        let (known, count) = by_kind.entry(kind).or_default();
        *count += 1;
        known.extend(records.get(backend).filter(|record| record.is_known()).map(|record| record.logarithm));
    }
    by_kind.retain(|_, (known, count)| known.len() >= MIN_KNOWN_OF_KIND && known.len() * 2 >= *count);
    by_kind.into_iter().map(|(kind, (known, _))| (kind, median(known))).collect()
}
