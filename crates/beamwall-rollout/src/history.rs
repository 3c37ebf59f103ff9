//! What was counted of one version so far, by route and back end: all of it, and lately.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::CountsByBackEnd;
use crate::likelihood::{Answers, LARGEST_SHARE, LEAST_SHARE};
use crate::trouble::{self, Troubles};

/// Weight of earlier answers at each look: what a version does now counts.
const REMEMBERED: f64 = 0.8;
/// Answers as which the assumption about a version counts, and the bad ones among them: of a route of which little is known,
/// only much that is bad says anything.
const ASSUMED: Answers = Answers { all: 8.0, bad: 1.0 };
/// Soundness below which a back end counts as in trouble.
const UNSOUND: f64 = 0.15;

/// The answers of one back end on one route, or of several together.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    whole: Answers,
    /// The same, the earlier ones with less weight.
    recent: Answers,
}

/// The answers of one version.
#[derive(Debug, Clone, Default)]
pub struct History {
    seen: CountsByBackEnd,
    counted: BTreeMap<String, BTreeMap<BackendId, Counted>>,
    troubles: Troubles,
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
    fn of(sound: Counted) -> Self {
        let recent = if sound.recent.all >= ASSUMED.all { with_assumption(sound.recent) } else { 0.0 };
        Self { usual: possible(sound.whole.share()), now: possible(with_assumption(sound.whole).max(recent)) }
    }
}

impl History {
    /// Takes all that was counted until now; gives what is new.
    pub fn take(&mut self, counts: &CountsByBackEnd) -> Vec<(String, BackendId, Answers)> {
        let mut news = Vec::new();
        for ((route, id), now) in counts {
            let before = self.seen.get(&(route.clone(), id.clone())).copied().unwrap_or_default();
            let new = Answers::from(now.since(before));
            let counted = self.counted.entry(route.clone()).or_default().entry(id.clone()).or_default();
            counted.whole.add(new);
            counted.recent = counted.recent.times(REMEMBERED);
            counted.recent.add(new);
            if new.all > 0.0 {
                news.push((route.clone(), id.clone(), new));
            }
        }
        self.seen = counts.clone();
        self.find_trouble();
        self.find_shares();
        news
    }

    /// Finds the back ends in trouble. They fail whatever the route, so it is judged over all: from the whole time, and lately.
    fn find_trouble(&mut self) {
        let mut whole: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        let mut recent: BTreeMap<&BackendId, Answers> = BTreeMap::new();
        for (id, counted) in self.counted.values().flatten() {
            whole.entry(id).or_default().add(counted.whole);
            recent.entry(id).or_default().add(counted.recent);
        }
        self.troubles = trouble::judge(&whole);
        for (id, now) in trouble::judge(&recent) {
            let known = self.troubles.entry(id).or_default();
            *known = known.max(now);
        }
    }

    /// Works out the shares of all routes, once for all back ends that are compared with them.
    fn find_shares(&mut self) {
        let shares = self.counted.keys().map(|route| (route.clone(), Shares::of(self.sound(route))));
        self.shares = shares.collect();
    }

    fn shares(&self, route: &str) -> Shares {
        self.shares.get(route).copied().unwrap_or_else(|| Shares::of(Counted::default()))
    }

    /// How likely it is that a back end is as good as the others, 0 to 1.
    pub fn soundness(&self, id: &BackendId) -> f64 {
        1.0 - self.troubles.get(id).copied().unwrap_or_default()
    }

    /// Whether a back end is certainly in trouble.
    pub fn is_in_trouble(&self, id: &BackendId) -> bool {
        self.soundness(id) < UNSOUND
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
    fn sound(&self, route: &str) -> Counted {
        let mut sum = Counted::default();
        let counted = self.counted.get(route).into_iter().flatten();
        for (_, one) in counted.filter(|(id, _)| !self.is_in_trouble(id)) {
            sum.whole.add(one.whole);
            sum.recent.add(one.recent);
        }
        sum
    }
}

/// The nearest share that is thought possible of a version that serves.
fn possible(share: f64) -> f64 {
    share.clamp(LEAST_SHARE, LARGEST_SHARE / 2.0)
}

fn with_assumption(answers: Answers) -> f64 {
    let mut sum = ASSUMED;
    sum.add(answers);
    sum.share()
}
