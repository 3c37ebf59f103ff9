//! Detects a version that is worse than the old one by comparing concurrent answers of both.
//!
//! A sequential test on sums of log-likelihood ratios that restart at zero (CUSUM, Page 1954), which
//! detects a version that turns bad late as fast as one that is bad from the start. Each evaluation
//! compares the answers since the previous one with the old version's share of bad answers at that time,
//! so a disruption that affects both versions does not count against either. The test runs for each
//! route and for all routes together, against a small and a large degradation. Outlier back ends count
//! for neither version, since single back ends fail in any version.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

use crate::evidence::Evidence;
use crate::history::History;
use crate::likelihood::{self, Answers};

/// Increases of the share of bad answers that are tested for: a slight and a severe one.
const DEGRADATIONS: [f64; 2] = [0.05, 0.5];
/// Log-likelihood ratio from which a version counts as bad.
const REJECT_THRESHOLD: f64 = 9.0;
/// Log-likelihood ratios below which a version counts as good, before and after the end of the order. A
/// late rollout loses nothing by taking longer, and a completed one cannot be rolled back.
const ACCEPT_THRESHOLD: f64 = -5.0;
const LATE_ACCEPT_THRESHOLD: f64 = -7.0;
/// Share of a service's answers below which a route need not be shown to be good.
const MIN_ROUTE_SHARE: f64 = 0.03;

/// Why a version was found bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The route on which the degradation was found; `None` if it was found over all routes.
    pub route: Option<String>,
    /// Number of answers of the new version that the finding is based on.
    pub answers: u64,
    /// Number of bad answers among them.
    pub bad: u64,
    /// The old version's share of bad answers in the same period, 0 to 1.
    pub old_share: f64,
}

/// The log-likelihood sum for one degradation on one route, or on all routes.
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

    /// The sum against the version. Each back end is weighted by the probability that it is not an
    /// outlier.
    fn evidence_against(&self, version: &History) -> f64 {
        self.by_back_end.iter().map(|(id, ratio)| ratio * version.soundness(id)).sum()
    }

    /// The sum that decides whether the version is good. It leaves out only back ends that are certainly
    /// outliers: a slight degradation shows as single bad answers on each back end.
    fn acceptance_score(&self, version: &History) -> f64 {
        let kept = self.by_back_end.iter().filter(|(id, _)| !version.is_outlier(id));
        kept.map(|(_, ratio)| ratio).sum()
    }

    /// Restarts the sum when there is no evidence against the version.
    fn reset_unless_positive(&mut self) {
        if self.total() <= 0.0 {
            *self = Self::default();
        }
    }
}

/// Evaluates the answers of one rollout.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    old: History,
    new: History,
    sums: Sums,
    /// Sums that never restart, counted since the new version receives all requests.
    acceptance_sums: Option<Sums>,
}

/// Sums by route (`None` for all routes) and index of the degradation.
type Sums = BTreeMap<(Option<String>, usize), Sum>;

impl Detector {
    /// Evaluates the counts so far; returns a finding against the new version, if there is one.
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
            let against_overall = likelihood::ratio(answers, self.old.usual_share(route), *degradation);
            for scope in [Some(route.to_owned()), None] {
                let key = (scope, number);
                if let Some(sums) = &mut self.acceptance_sums {
                    sums.entry(key.clone()).or_default().add(id, answers, against_overall);
                }
                self.sums.entry(key).or_default().add(id, answers, against);
            }
        }
    }

    /// Starts to collect the evidence for accepting the version, which now receives all requests.
    pub fn start_acceptance(&mut self) {
        self.acceptance_sums.get_or_insert_with(Sums::new);
    }

    /// Whether the answers since then show that the version is good: against the slight degradation over
    /// all routes, and against the severe one on each route that matters. Only outlier back ends are
    /// left out, since a slight degradation shows on few of the others.
    pub fn is_confirmed_good(&self, is_late: bool) -> bool {
        let Some(sums) = &self.acceptance_sums else { return false };
        let (slight, severe) = (0, DEGRADATIONS.len() - 1);
        let threshold = if is_late { LATE_ACCEPT_THRESHOLD } else { ACCEPT_THRESHOLD };
        let is_good = |key: (Option<String>, usize)| {
            sums.get(&key).is_some_and(|sum| sum.acceptance_score(&self.new) <= threshold)
        };
        let min_answers = MIN_ROUTE_SHARE * self.old.answers(None);
        let mut routes = self.old.routes().filter(|route| self.old.answers(Some(route)) >= min_answers);
        is_good((None, slight)) && routes.all(|route| is_good((Some(route.clone()), severe)))
    }

    /// Returns why the version is probably worse: the evidence is not conclusive, but over all routes a
    /// degradation is more likely than not.
    pub fn probable_finding(&self) -> Option<Finding> {
        let key = (None, 0);
        let sum = self.acceptance_sums.as_ref().unwrap_or(&self.sums).get(&key)?;
        (sum.evidence_against(&self.new) > 0.0).then(|| self.finding(&key.0, sum))
    }

    fn conclusive_finding(&self) -> Option<Finding> {
        let conclusive =
            self.sums.iter().find(|(_, sum)| sum.evidence_against(&self.new) >= REJECT_THRESHOLD);
        conclusive.map(|((route, _), sum)| self.finding(route, sum))
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
