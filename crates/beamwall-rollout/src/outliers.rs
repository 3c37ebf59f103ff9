//! Finds the back ends that fail much more often than the others of their version.
//!
//! Single back ends crash or break in any version. Their answers say nothing about the version, so they
//! must affect neither the usual share of bad answers nor the evidence against a version.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::likelihood::{self, Answers, MAX_BAD_SHARE, MIN_BAD_SHARE};

/// Share of bad answers assumed for an outlier, in addition to the usual share.
const OUTLIER_BAD_SHARE: f64 = 0.3;
/// Prior probability that a back end is an outlier.
const OUTLIER_PRIOR: f64 = 0.1;
/// Largest number of outliers, as a constant plus a fraction of all back ends. Failures of more back
/// ends than that are attributed to the version.
const MAX_OUTLIERS: (f64, f64) = (2.0, 0.2);
/// Largest fraction of a version's back ends that may be outliers, if there are few back ends.
const MAX_OUTLIER_FRACTION: f64 = 0.4;

/// Probability of being an outlier, 0 to 1, by back end.
pub type OutlierProbabilities = BTreeMap<BackendId, f64>;

/// Computes for each back end the probability that it is an outlier, rather than as bad as the others of
/// its version.
pub fn detect(answers: &BTreeMap<&BackendId, Answers>) -> OutlierProbabilities {
    let limit = max_outliers(answers.len());
    let usual = usual_share(answers, limit);
    let mut scored: Vec<(f64, &BackendId)> = answers
        .iter()
        .map(|(id, answers)| (likelihood::ratio(*answers, usual, OUTLIER_BAD_SHARE), *id))
        .collect();
    scored.sort_by(|left, right| right.0.total_cmp(&left.0));
    scored.into_iter().take(limit).map(|(ratio, id)| (id.clone(), probability(ratio))).collect()
}

/// Largest number of outliers among `count` back ends.
fn max_outliers(count: usize) -> usize {
    let count = count as f64;
    let (constant, fraction) = MAX_OUTLIERS;
    (MAX_OUTLIER_FRACTION * count).min(constant + fraction * count) as usize
}

/// Converts a log-likelihood ratio to the probability of being an outlier.
fn probability(ratio: f64) -> f64 {
    let odds = OUTLIER_PRIOR / (1.0 - OUTLIER_PRIOR) * ratio.exp();
    if odds.is_finite() { odds / (1.0 + odds) } else { 1.0 }
}

/// Share of bad answers over all back ends except the `left_out` worst.
fn usual_share(answers: &BTreeMap<&BackendId, Answers>, left_out: usize) -> f64 {
    let mut worst_first: Vec<Answers> = answers.values().copied().collect();
    worst_first.sort_by(|left, right| right.share().total_cmp(&left.share()));
    let mut rest = Answers::default();
    worst_first.iter().skip(left_out).for_each(|one| rest.add(*one));
    rest.share().clamp(MIN_BAD_SHARE, MAX_BAD_SHARE / 2.0)
}
