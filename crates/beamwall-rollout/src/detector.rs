//! Finds a version that is worse than the old one, from answers of both at the same time.
//!
//! A sequential test by sums of log-likelihood ratios that begin anew at zero (CUSUM, Page 1954): so it finds a version that
//! turns bad late as fast as one that is bad from the start. Each look compares the answers since the last one with the old
//! version's share of bad answers at that time, so trouble that strikes both condemns neither. It is done for each route and
//! for all routes together, against a small and a large worsening. Back ends in trouble of their own say nothing of either
//! version: single ones break in any.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::Evidence;
use crate::history::History;
use crate::likelihood::{self, Answers};

/// Worsenings, as shares of all answers, that are looked for: a slight one and a plain one.
const DEGRADATIONS: [f64; 2] = [0.05, 0.5];
/// Logarithm of the likelihood ratio from which a version counts as bad.
const REJECT_THRESHOLD: f64 = 9.0;
/// Logarithms of the likelihood ratio below which a version counts as good: until its order's end, and after it. A late version
/// loses nothing by being later, and one that is taken can't be taken back.
const ACCEPT_THRESHOLD: f64 = -5.0;
const LATE_ACCEPT_THRESHOLD: f64 = -7.0;
/// Part of a service's answers below which a route need not have shown that it is good.
const MIN_ROUTE_SHARE: f64 = 0.03;

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

/// The sum against one worsening on one route, or on all.
#[derive(Debug, Clone, Default)]
struct Sum {
    by_back_end: BTreeMap<BackendId, f64>,
    answers: Answers,
}

impl Sum {
    fn add(&mut self, id: &BackendId, answers: Answers, ratio: f64) {
        *self.by_back_end.entry(id.clone()).or_default() += ratio;
        self.answers.add(answers);
    }

    fn total(&self) -> f64 {
        self.by_back_end.values().sum()
    }

    /// The sum against the version. Each back end counts as far as it is likely to be sound.
    fn evidence_against(&self, version: &History) -> f64 {
        self.by_back_end.iter().map(|(id, ratio)| ratio * version.soundness(id)).sum()
    }

    /// The sum by which the version is held for good. Only back ends that are certainly in trouble are left out: a slight
    /// worsening shows by single bad answers at each.
    fn acceptance_score(&self, version: &History) -> f64 {
        let kept = self.by_back_end.iter().filter(|(id, _)| !version.is_outlier(id));
        kept.map(|(_, ratio)| ratio).sum()
    }

    /// Begins anew where nothing speaks against the version.
    fn reset_unless_positive(&mut self) {
        if self.total() <= 0.0 {
            *self = Self::default();
        }
    }
}

/// Watches the answers of one rollout.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    old: History,
    new: History,
    sums: Sums,
    /// Sums that never begin anew, since the new version has taken all requests.
    acceptance_sums: Option<Sums>,
}

/// The sums by route, or of all, and number of the worsening.
type Sums = BTreeMap<(Option<String>, usize), Sum>;

impl Detector {
    /// Looks at all that was counted so far; gives what is found against the new version.
    pub fn evaluate(&mut self, evidence: &Evidence) -> Option<Finding> {
        self.old.update_counts(&evidence.old);
        for (route, id, answers) in self.new.update_counts(&evidence.new) {
            self.update_sums(&route, &id, answers);
        }
        self.sums.values_mut().for_each(Sum::reset_unless_positive);
        self.conclusive_finding()
    }

    fn update_sums(&mut self, route: &str, id: &BackendId, answers: Answers) {
        for (number, degradation) in DEGRADATIONS.iter().enumerate() {
            let against = likelihood::ratio(answers, self.old.share_now(route), *degradation);
            let with_usual = likelihood::ratio(answers, self.old.usual_share(route), *degradation);
            for of in [Some(route.to_owned()), None] {
                let key = (of, number);
                if let Some(sums) = &mut self.acceptance_sums {
                    sums.entry(key.clone()).or_default().add(id, answers, with_usual);
                }
                self.sums.entry(key).or_default().add(id, answers, against);
            }
        }
    }

    /// Counts from now on what speaks for the version, which takes all requests.
    pub fn start_acceptance(&mut self) {
        self.acceptance_sums.get_or_insert_with(Sums::new);
    }

    /// Whether the answers since then say that the version is good: against the slight worsening over all routes, and against
    /// the plain one on each that matters. Only back ends in trouble are left out: a slight worsening shows at few of the others.
    pub fn is_confirmed_good(&self, is_late: bool) -> bool {
        let Some(sums) = &self.acceptance_sums else { return false };
        let (slight, plain) = (0, DEGRADATIONS.len() - 1);
        let good = if is_late { LATE_ACCEPT_THRESHOLD } else { ACCEPT_THRESHOLD };
        let is_good = |key: (Option<String>, usize)| {
            sums.get(&key).is_some_and(|sum| sum.acceptance_score(&self.new) <= good)
        };
        let least = MIN_ROUTE_SHARE * self.old.answers(None);
        let mut routes = self.old.routes().filter(|route| self.old.answers(Some(route)) >= least);
        is_good((None, slight)) && routes.all(|route| is_good((Some(route.clone()), plain)))
    }

    /// Why the version is worse where that is not certain, but more likely than not over all routes.
    pub fn probable_finding(&self) -> Option<Finding> {
        let key = (None, 0);
        let sum = self.acceptance_sums.as_ref().unwrap_or(&self.sums).get(&key)?;
        (sum.evidence_against(&self.new) > 0.0).then(|| self.finding(&key.0, sum))
    }

    fn conclusive_finding(&self) -> Option<Finding> {
        let certain = self.sums.iter().find(|(_, sum)| sum.evidence_against(&self.new) >= REJECT_THRESHOLD);
        certain.map(|((route, _), sum)| self.finding(route, sum))
    }

    fn finding(&self, route: &Option<String>, sum: &Sum) -> Finding {
        let routes: Vec<&String> = match route {
            Some(route) => vec![route],
            None => self.old.routes().collect(),
        };
        let shares = routes.iter().map(|route| self.old.share_now(route));
        let old_share = shares.sum::<f64>() / routes.len().max(1) as f64;
        Finding {
            route: route.clone(),
            answers: sum.answers.all as u64,
            bad: sum.answers.bad as u64,
            old_share,
        }
    }
}
