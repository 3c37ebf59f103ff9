//! Finds a version that is worse than the old one, from answers of both at the same time.
//!
//! A sequential test by sums of log-likelihood ratios that begin anew at zero (CUSUM, Page 1954): so it finds a version that
//! turns bad late as fast as one that is bad from the start. Each look compares the answers since the last one with the old
//! version's share of bad answers at that time, so trouble that strikes both condemns neither. It is done for each route and
//! for all routes together, against a small and a large worsening. Of the new version's back ends those that speak most
//! against it are left out, some: single back ends break in any version.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::{AnswerCounts, Evidence};

/// Worsenings, as shares of all answers, that are looked for: a slight one and a plain one.
const WORSENINGS: [f64; 2] = [0.05, 0.5];
/// Largest share of bad answers that is thought possible.
const LARGEST_SHARE: f64 = 0.95;
/// Least share of bad answers that any version is thought to have.
const LEAST_SHARE: f64 = 0.01;
/// Logarithm of the likelihood ratio from which a version counts as bad.
const CERTAIN: f64 = 9.0;
/// Largest part of the new version's back ends that is left out, where there are few.
const LEFT_OUT_OF_FEW: f64 = 0.4;
/// Back ends left out, and the part of all beside: a tenth may be in trouble at once. With more, slight worsening would hide.
const LEFT_OUT: (f64, f64) = (2.0, 0.1);
/// Weight of the old version's earlier answers at each look: what it does now counts.
const REMEMBERED: f64 = 0.8;
/// Answers as which the assumption about the old version counts, and the bad ones among them: of a route of which little is
/// known, only much that is bad says anything.
const ASSUMED: (f64, f64) = (8.0, 1.0);
/// Logarithm of the likelihood ratio below which a version counts as good.
const CERTAINLY_GOOD: f64 = -5.0;
/// Part of a service's answers below which a route need not have shown that it is good.
const SMALL_ROUTE: f64 = 0.03;

/// Why a version is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The route on which it showed; `None` where it showed over all.
    pub route: Option<String>,
    /// Answers of the new version that it rests on.
    pub answers: u64,
    /// The bad ones among them.
    pub bad: u64,
    /// Share of bad answers of the old version at the same time, 0 to 1.
    pub old_share: f64,
}

/// The answers of the old version on one route.
#[derive(Debug, Clone, Copy, Default)]
struct OldShare {
    whole: Weighted,
    /// The same, the earlier ones with less weight.
    recent: Weighted,
}

/// Answers with weights.
#[derive(Debug, Clone, Copy, Default)]
struct Weighted {
    answers: f64,
    bad: f64,
}

impl Weighted {
    fn add(&mut self, counts: AnswerCounts, kept: f64) {
        self.answers = self.answers * kept + counts.answers as f64;
        self.bad = self.bad * kept + counts.bad as f64;
    }

    fn share(self) -> f64 {
        let (answers, bad) = ASSUMED;
        (self.bad + bad) / (self.answers + answers)
    }
}

impl OldShare {
    fn note(&mut self, counts: AnswerCounts) {
        self.whole.add(counts, 1.0);
        self.recent.add(counts, REMEMBERED);
    }

    /// Share of bad answers in all, as far as it is known: what speaks for the new version must be as good as that.
    fn usual_share(&self) -> f64 {
        (self.whole.bad / self.whole.answers.max(1.0)).clamp(LEAST_SHARE, LARGEST_SHARE / 2.0)
    }

    /// Share of bad answers that is usual now: the larger of both, so that neither few recent answers nor trouble that came
    /// a moment ago is held against the new version.
    fn share(self) -> f64 {
        let recent = if self.recent.answers >= ASSUMED.0 { self.recent.share() } else { 0.0 };
        self.whole.share().max(recent).clamp(LEAST_SHARE, LARGEST_SHARE / 2.0)
    }
}

/// The sum against one worsening on one route, or on all.
#[derive(Debug, Clone, Default)]
struct Sum {
    by_back_end: BTreeMap<BackendId, f64>,
    counts: AnswerCounts,
}

impl Sum {
    fn add(&mut self, id: &BackendId, counts: AnswerCounts, ratio: f64) {
        *self.by_back_end.entry(id.clone()).or_default() += ratio;
        self.counts.answers += counts.answers;
        self.counts.bad += counts.bad;
    }

    fn total(&self) -> f64 {
        self.by_back_end.values().sum()
    }

    /// The sum without those that speak most against the version.
    fn without_worst(&self) -> f64 {
        let mut sums: Vec<f64> = self.by_back_end.values().copied().collect();
        sums.sort_by(f64::total_cmp);
        let count = sums.len() as f64;
        let (some, part) = LEFT_OUT;
        let left_out = (LEFT_OUT_OF_FEW * count).min(some + part * count) as usize;
        let kept = sums.len() - left_out;
        sums[..kept].iter().sum()
    }

    /// Whether it says that the version is good. Nothing is left out: else a slight worsening, which shows at few back ends,
    /// would be passed over.
    fn speaks_for(&self) -> bool {
        self.total() <= CERTAINLY_GOOD
    }

    /// Begins anew where nothing speaks against the version.
    fn settle(&mut self) {
        if self.total() <= 0.0 {
            *self = Self::default();
        }
    }
}

/// Watches the answers of one rollout.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    seen: Evidence,
    old: BTreeMap<String, OldShare>,
    sums: Sums,
    /// Sums that never begin anew, since the new version has taken all requests.
    under_all: Option<Sums>,
}

/// The sums by route, or of all, and number of the worsening.
type Sums = BTreeMap<(Option<String>, usize), Sum>;

impl Detector {
    /// Looks at all that was counted so far; gives what is found against the new version.
    pub fn look(&mut self, evidence: &Evidence) -> Option<Finding> {
        for (route, counts) in &evidence.old {
            let before = self.seen.old.get(route).copied().unwrap_or_default();
            self.old.entry(route.clone()).or_default().note(since(*counts, before));
        }
        for ((route, id), counts) in &evidence.new {
            let before = self.seen.new.get(&(route.clone(), id.clone())).copied().unwrap_or_default();
            self.weigh(route, id, since(*counts, before));
        }
        self.seen = evidence.clone();
        self.sums.values_mut().for_each(Sum::settle);
        self.found()
    }

    fn weigh(&mut self, route: &str, id: &BackendId, counts: AnswerCounts) {
        if counts.answers == 0 {
            return;
        }
        let old = self.old.get(route).copied().unwrap_or_default();
        for (number, worsening) in WORSENINGS.iter().enumerate() {
            let against = ratio(counts, old.share(), *worsening);
            let with_usual = ratio(counts, old.usual_share(), *worsening);
            for of in [Some(route.to_owned()), None] {
                let key = (of, number);
                if let Some(sums) = &mut self.under_all {
                    sums.entry(key.clone()).or_default().add(id, counts, with_usual);
                }
                self.sums.entry(key).or_default().add(id, counts, against);
            }
        }
    }

    /// Counts from now on what speaks for the version, which takes all requests.
    pub fn note_takes_all(&mut self) {
        self.under_all.get_or_insert_with(Sums::new);
    }

    /// Whether the answers since then say that the version is good: against the slight worsening over all routes, and against
    /// the plain one on each that matters.
    pub fn speaks_for(&self) -> bool {
        let Some(sums) = &self.under_all else { return false };
        let (slight, plain) = (0, WORSENINGS.len() - 1);
        let is_good = |key: (Option<String>, usize)| sums.get(&key).is_some_and(Sum::speaks_for);
        let answers: f64 = self.old.values().map(|old| old.whole.answers).sum();
        let matters = |old: &OldShare| old.whole.answers >= SMALL_ROUTE * answers;
        let mut routes = self.old.iter().filter(|(_, old)| matters(old)).map(|(route, _)| route.clone());
        is_good((None, slight)) && routes.all(|route| is_good((Some(route), plain)))
    }

    /// Why the version is worse where that is not certain, but more likely than not over all routes.
    pub fn suspicion(&self) -> Option<Finding> {
        let key = (None, 0);
        let sum = self.under_all.as_ref().unwrap_or(&self.sums).get(&key)?;
        (sum.without_worst() > 0.0).then(|| self.finding(&key.0, sum))
    }

    fn found(&self) -> Option<Finding> {
        let certain = self.sums.iter().find(|(_, sum)| sum.without_worst() >= CERTAIN);
        certain.map(|((route, _), sum)| self.finding(route, sum))
    }

    fn finding(&self, route: &Option<String>, sum: &Sum) -> Finding {
        let old = |route: &String| self.old.get(route).copied().unwrap_or_default().share();
        let shares: Vec<f64> = match route {
            Some(route) => vec![old(route)],
            None => self.old.values().map(|old| old.share()).collect(),
        };
        let old_share = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        Finding { route: route.clone(), answers: sum.counts.answers, bad: sum.counts.bad, old_share }
    }
}

/// Logarithm of how much more likely the answers are where `worsening` is added to the `usual` share of bad ones.
fn ratio(counts: AnswerCounts, usual: f64, worsening: f64) -> f64 {
    let worse = (usual + worsening).min(LARGEST_SHARE);
    let good = (counts.answers - counts.bad) as f64;
    counts.bad as f64 * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}

fn since(now: AnswerCounts, before: AnswerCounts) -> AnswerCounts {
    AnswerCounts {
        answers: now.answers.saturating_sub(before.answers),
        bad: now.bad.saturating_sub(before.bad),
    }
}
