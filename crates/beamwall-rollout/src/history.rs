//! What was counted of one version so far, by route and back end: all of it, and lately.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::CountsByBackEnd;
use crate::likelihood::{Answers, MAX_BAD_SHARE, MIN_BAD_SHARE};
use crate::outliers::{self, OutlierProbabilities};

/// Weight of earlier answers at each look: what a version does now counts.
const RECENT_DECAY: f64 = 0.8;
/// Answers as which the assumption about a version counts, and the bad ones among them: of a route of which little is known,
/// only much that is bad says anything.
const PRIOR: Answers = Answers { all: 8.0, bad: 1.0 };
/// Soundness below which a back end counts as in trouble.
const OUTLIER_SOUNDNESS: f64 = 0.15;

/// The answers of one back end on one route, or of several together.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTotals {
    whole: Answers,
    /// The same, the earlier ones with less weight.
    recent: Answers,
}

/// The answers of one version.
#[derive(Debug, Clone, Default)]
pub struct History {
    previous: CountsByBackEnd,
    counted: BTreeMap<String, BTreeMap<BackendId, RouteTotals>>,
    outlier_probabilities: OutlierProbabilities,
    shares: BTreeMap<String, Shares>,
}

/// Shares of bad answers on one route, of all back ends that are not in trouble.
#[derive(Debug, Clone, Copy)]
struct Shares {
    /// In all, as far as it is known.
    usual: f64,
    /// In all or lately, whichever is more.
    now: f64,
}

impl Shares {
    fn of(sound: RouteTotals) -> Self {
        let recent = if sound.recent.all >= PRIOR.all { share_with_prior(sound.recent) } else { 0.0 };
        Self {
            usual: clamp_share(sound.whole.share()),
            now: clamp_share(share_with_prior(sound.whole).max(recent)),
        }
    }
}

impl History {
    /// Takes all that was counted until now; gives what is new.
    pub fn update_counts(&mut self, counts: &CountsByBackEnd) -> Vec<(String, BackendId, Answers)> {
        let mut news = Vec::new();
        for ((route, id), now) in counts {
            let before = self.previous.get(&(route.clone(), id.clone())).copied().unwrap_or_default();
            let new = Answers::from(now.since(before));
            let counted = self.counted.entry(route.clone()).or_default().entry(id.clone()).or_default();
            counted.whole.add(new);
            counted.recent = counted.recent.scaled(RECENT_DECAY);
            counted.recent.add(new);
            if new.all > 0.0 {
                news.push((route.clone(), id.clone(), new));
            }
        }
        self.previous = counts.clone();
        self.update_outliers();
        self.update_shares();
        news
    }

    /// Finds the back ends in trouble. They fail whatever the route, so it is judged over all: from the whole time, and lately.
    fn update_outliers(&mut self) {
        let mut whole: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        let mut recent: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        for (id, counted) in self.counted.values().flatten() {
            whole.entry(id).or_default().add(counted.whole);
            recent.entry(id).or_default().add(counted.recent);
        }
        self.outlier_probabilities = outliers::detect(&whole);
        for (id, now) in outliers::detect(&recent) {
            let known = self.outlier_probabilities.entry(id).or_default();
            *known = known.max(now);
        }
    }

    /// Works out the shares of all routes, once for all back ends that are compared with them.
    fn update_shares(&mut self) {
        let shares =
            self.counted.keys().map(|route| (route.clone(), Shares::of(self.sum_without_outliers(route))));
        self.shares = shares.collect();
    }

    fn shares(&self, route: &str) -> Shares {
        self.shares.get(route).copied().unwrap_or_else(|| Shares::of(RouteTotals::default()))
    }

    /// How likely it is that a back end is as good as the others, 0 to 1.
    pub fn soundness(&self, id: &BackendId) -> f64 {
        1.0 - self.outlier_probabilities.get(id).copied().unwrap_or_default()
    }

    /// Whether a back end is certainly in trouble.
    pub fn is_outlier(&self, id: &BackendId) -> bool {
        self.soundness(id) < OUTLIER_SOUNDNESS
    }

    /// The routes on which it answered.
    pub fn routes(&self) -> impl Iterator<Item = &String> {
        self.counted.keys()
    }

    /// Answers on a route, or on all.
    pub fn answers(&self, route: Option<&str>) -> f64 {
        let routes = self.counted.iter().filter(|(name, _)| route.is_none_or(|route| *name == route));
        routes.flat_map(|(_, counted)| counted.values()).map(|counted| counted.whole.all).sum()
    }

    /// Share of bad answers on a route in all, as far as it is known: what speaks for another version must be as good as that.
    pub fn usual_share(&self, route: &str) -> f64 {
        self.shares(route).usual
    }

    /// Share of bad answers on a route that is usual now: the larger of both, so that neither few recent answers nor trouble
    /// that came a moment ago is held against another version.
    pub fn share_now(&self, route: &str) -> f64 {
        self.shares(route).now
    }

    /// What was counted on a route, without the back ends in trouble.
    fn sum_without_outliers(&self, route: &str) -> RouteTotals {
        let mut sum = RouteTotals::default();
        let counted = self.counted.get(route).into_iter().flatten();
        for (_, one) in counted.filter(|(id, _)| !self.is_outlier(id)) {
            sum.whole.add(one.whole);
            sum.recent.add(one.recent);
        }
        sum
    }
}

/// The nearest share that is thought possible of a version that serves.
fn clamp_share(share: f64) -> f64 {
    share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE / 2.0)
}

fn share_with_prior(answers: Answers) -> f64 {
    let mut sum = PRIOR;
    sum.add(answers);
    sum.share()
}
