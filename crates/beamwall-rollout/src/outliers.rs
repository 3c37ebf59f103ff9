//! Finds the back ends of one version that fare far worse than its others.
//!
//! Single back ends crash or break in any version. What they answer says nothing of their version, so neither the share of bad
//! answers that is usual nor the evidence against a version may rest on them.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::likelihood::{self, Answers, MAX_BAD_SHARE, MIN_BAD_SHARE};

/// Bad answers beside the usual ones, as a share of all, that a back end in trouble is thought to give.
const OUTLIER_BAD_SHARE: f64 = 0.3;
/// Part of a version's back ends that is thought to be in trouble before anything is known of them.
const OUTLIER_PRIOR: f64 = 0.1;
/// Back ends that may be in trouble, and the part of all beside. What more of them do is what their version does.
const MAX_OUTLIERS: (f64, f64) = (2.0, 0.2);
/// Largest part of a version's back ends that may be in trouble, where there are few.
const MAX_OUTLIER_FRACTION: f64 = 0.4;

/// Probabilities of being in trouble, 0 to 1, by back end.
pub type OutlierProbabilities = BTreeMap<BackendId, f64>;

/// How likely it is of each back end that it is in trouble, rather than as bad as the others of its version.
pub fn detect(answers: &BTreeMap<&BackendId, Answers>) -> OutlierProbabilities {
    let most = max_outliers(answers.len());
    let usual = usual_share(answers, most);
    let mut judged: Vec<(f64, &BackendId)> = answers
        .iter()
        .map(|(id, answers)| (likelihood::ratio(*answers, usual, OUTLIER_BAD_SHARE), *id))
        .collect();
    judged.sort_by(|left, right| right.0.total_cmp(&left.0));
    judged.into_iter().take(most).map(|(ratio, id)| (id.clone(), probability(ratio))).collect()
}

/// Back ends of `count` that may be in trouble.
fn max_outliers(count: usize) -> usize {
    let count = count as f64;
    let (some, part) = MAX_OUTLIERS;
    (MAX_OUTLIER_FRACTION * count).min(some + part * count) as usize
}

/// Probability of being in trouble by the logarithm of the likelihood ratio.
fn probability(ratio: f64) -> f64 {
    let odds = OUTLIER_PRIOR / (1.0 - OUTLIER_PRIOR) * ratio.exp();
    if odds.is_finite() { odds / (1.0 + odds) } else { 1.0 }
}

/// Share of bad answers of all but the `left_out` worst.
fn usual_share(answers: &BTreeMap<&BackendId, Answers>, left_out: usize) -> f64 {
    let mut worst_first: Vec<Answers> = answers.values().copied().collect();
    worst_first.sort_by(|left, right| right.share().total_cmp(&left.share()));
    let mut kept = Answers::default();
    worst_first.iter().skip(left_out).for_each(|one| kept.add(*one));
    kept.share().clamp(MIN_BAD_SHARE, MAX_BAD_SHARE / 2.0)
}
