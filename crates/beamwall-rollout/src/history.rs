//! Accumulated and recent answer counts of one version, by route and back end.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::CountsByBackEnd;
use crate::likelihood::{Answers, MAX_BAD_SHARE, MIN_BAD_SHARE};
use crate::outliers::{self, OutlierProbabilities};

/// Weight of earlier answers at each evaluation. Recent counts decay so that they show the current
/// behaviour of the version.
const RECENT_DECAY: f64 = 0.8;
/// Prior of a version's share of bad answers, as a number of answers and bad answers. On a route with
/// few answers, only a high share of bad ones is significant.
const PRIOR: Answers = Answers { all: 8.0, bad: 1.0 };
/// Soundness below which a back end counts as an outlier.
const OUTLIER_SOUNDNESS: f64 = 0.15;

/// The answers of one back end on one route, or a sum of several.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerTotals {
    overall: Answers,
    /// The same answers, with less weight on earlier ones.
    recent: Answers,
}

/// The answers of one version.
#[derive(Debug, Clone, Default)]
pub struct History {
    previous: CountsByBackEnd,
    totals: BTreeMap<String, BTreeMap<BackendId, AnswerTotals>>,
    outlier_probabilities: OutlierProbabilities,
    shares: BTreeMap<String, Shares>,
}

/// Shares of bad answers on one route, over all back ends that are not outliers.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// The share over the whole time.
    usual: f64,
    /// The larger of the overall and the recent share.
    now: f64,
}

impl Shares {
    fn of(sound_totals: AnswerTotals) -> Self {
        let recent =
            if sound_totals.recent.all >= PRIOR.all { share_with_prior(sound_totals.recent) } else { 0.0 };
        Self {
            usual: clamp_share(sound_totals.overall.share()),
            now: clamp_share(share_with_prior(sound_totals.overall).max(recent)),
        }
    }
}

impl History {
    /// Takes the counts so far; returns the answers that were added since the last call.
    pub fn update_counts(&mut self, counts: &CountsByBackEnd) -> Vec<(String, BackendId, Answers)> {
        let mut added = Vec::new();
        for ((route, id), now) in counts {
            let before = self.previous.get(&(route.clone(), id.clone())).copied().unwrap_or_default();
            let new = Answers::from(now.since(before));
            let totals = self.totals.entry(route.clone()).or_default().entry(id.clone()).or_default();
            totals.overall.add(new);
            totals.recent = totals.recent.scaled(RECENT_DECAY);
            totals.recent.add(new);
            if new.all > 0.0 {
                added.push((route.clone(), id.clone(), new));
            }
        }
        self.previous = counts.clone();
        self.update_outliers();
        self.update_shares();
        added
    }

    /// Updates the outlier probabilities. A faulty back end fails on all routes, so they are computed
    /// over all routes, from the whole time and from the recent answers.
    fn update_outliers(&mut self) {
        let mut overall: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        let mut recent: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        for (id, totals) in self.totals.values().flatten() {
            overall.entry(id).or_default().add(totals.overall);
            recent.entry(id).or_default().add(totals.recent);
        }
        self.outlier_probabilities = outliers::detect(&overall);
        for (id, now) in outliers::detect(&recent) {
            let known = self.outlier_probabilities.entry(id).or_default();
            *known = known.max(now);
        }
    }

    /// Computes the shares of all routes once, for all back ends that are compared with them.
    fn update_shares(&mut self) {
        let shares =
            self.totals.keys().map(|route| (route.clone(), Shares::of(self.sum_without_outliers(route))));
        self.shares = shares.collect();
    }

    fn shares(&self, route: &str) -> Shares {
        self.shares.get(route).copied().unwrap_or_else(|| Shares::of(AnswerTotals::default()))
    }

    /// Probability that a back end is not an outlier, 0 to 1.
    pub fn soundness(&self, id: &BackendId) -> f64 {
        1.0 - self.outlier_probabilities.get(id).copied().unwrap_or_default()
    }

    /// Whether a back end is certainly an outlier.
    pub fn is_outlier(&self, id: &BackendId) -> bool {
        self.soundness(id) < OUTLIER_SOUNDNESS
    }

    /// The routes with answers of this version.
    pub fn routes(&self) -> impl Iterator<Item = &String> {
        self.totals.keys()
    }

    /// Number of answers on a route, or on all routes if it is `None`.
    pub fn answers(&self, route: Option<&str>) -> f64 {
        let routes = self.totals.iter().filter(|(name, _)| route.is_none_or(|route| *name == route));
        routes.flat_map(|(_, totals)| totals.values()).map(|totals| totals.overall.all).sum()
    }

    /// Share of bad answers on a route over the whole time. A new version must be as good as this to be
    /// accepted.
    pub fn usual_share(&self, route: &str) -> f64 {
        self.shares(route).usual
    }

    /// Current share of bad answers on a route: the larger of the overall and the recent share, so that
    /// neither a small number of recent answers nor a disruption that has just begun counts against the
    /// other version.
    pub fn share_now(&self, route: &str) -> f64 {
        self.shares(route).now
    }

    /// Sums the answers on a route over the back ends that are not outliers.
    fn sum_without_outliers(&self, route: &str) -> AnswerTotals {
        let mut sum = AnswerTotals::default();
        let totals = self.totals.get(route).into_iter().flatten();
        for (_, one) in totals.filter(|(id, _)| !self.is_outlier(id)) {
            sum.overall.add(one.overall);
            sum.recent.add(one.recent);
        }
        sum
    }
}

/// Clamps a share to the range that is plausible for a version in service.
fn clamp_share(share: f64) -> f64 {
    share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE / 2.0)
}

fn share_with_prior(answers: Answers) -> f64 {
    let mut sum = PRIOR;
    sum.add(answers);
    sum.share()
}
