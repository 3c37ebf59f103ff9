//! The `Rollout` aggregate: one order from its start to its verdict, run by the node that holds the
//! lease.

use std::time::Duration;

use tokio::time::Instant;

use crate::bounds::Bounds;
use crate::detector::{Detector, Finding};
use crate::evidence::Evidence;
use crate::order::RolloutOrder;
use crate::schedule::{self, Traffic};
use crate::stage::{Stage, Verdict};

/// Minimum number of active back ends of the new version: a single back end says little about the
/// version.
const MIN_ACTIVE_BACK_ENDS: usize = 5;
/// Back ends of the new version, as a fraction of the old version's, that are needed before the new
/// version receives all requests. The new version may be faster, and back ends that start in the
/// meantime are ordered.
const MIN_CAPACITY_RATIO: f64 = 0.7;
/// Answers of the new version that are needed before it receives all requests ahead of the order's end.
const MIN_ANSWERS: u64 = 10;
/// Time after the order's end for which a version that receives all requests waits for those still
/// running at the old one.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of bad answers that starts the time limit for rolling back a bad version.
const BAD_ANSWER_LIMIT: u64 = 50;
/// Fraction of that time limit after which a probable finding is sufficient; the rest is for notifying
/// all nodes.
const DECISION_FRACTION: f64 = 0.4;
/// Weight of the latest measurement in the smoothed request rate.
const RATE_SMOOTHING: f64 = 0.3;

/// Number of back ends of both versions, and the load on the old one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCapacity {
    /// Back ends of the new version that accept requests.
    pub new: usize,
    /// Back ends of other versions.
    pub old: usize,
    /// Requests running on the back ends of other versions.
    pub running_at_old: u64,
}

/// The state of one rollout.
#[derive(Debug, Clone)]
pub struct Rollout {
    order: RolloutOrder,
    bounds: Bounds,
    started_at: Instant,
    detector: Detector,
    per_second: Option<f64>,
    last_count: Option<(Instant, u64)>,
    /// When the number of bad answers of the new version reached the limit.
    bad_answer_limit_reached: Option<Instant>,
    stage: Stage,
    verdict: Verdict,
    finding: Option<Finding>,
}

impl Rollout {
    /// Starts the rollout of an order that was placed at `began`.
    pub fn new(order: RolloutOrder, bounds: Bounds, started_at: Instant) -> Self {
        Self {
            order,
            bounds,
            started_at,
            detector: Detector::default(),
            per_second: None,
            last_count: None,
            bad_answer_limit_reached: None,
            stage: Stage::NONE,
            verdict: Verdict::Running,
            finding: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The verdict so far.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The stage that all nodes apply now.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Why the version was found bad; `None` if it was not.
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }

    /// Time until the order's end.
    pub fn time_left(&self, now: Instant) -> Duration {
        (self.started_at + self.order.interval).saturating_duration_since(now)
    }

    /// Applies a verdict that another node reached.
    pub fn apply_verdict(&mut self, verdict: Verdict) {
        self.verdict = self.verdict.max(verdict);
        if self.verdict == Verdict::RolledBack {
            self.stage = Stage::NONE;
        }
    }

    /// Evaluates the evidence so far and updates the stage and the verdict.
    pub fn evaluate(&mut self, evidence: &Evidence, capacity: VersionCapacity, now: Instant) -> Verdict {
        if self.verdict.is_final() {
            return self.verdict;
        }
        self.finding =
            self.detector.evaluate(evidence).or_else(|| self.probable_finding_near_deadline(evidence, now));
        self.update_rate(evidence, now);
        let time_left = self.time_left(now);
        let is_past_end = time_left.is_zero();
        // A version without back ends cannot receive the traffic by the order's end.
        if self.finding.is_some() || is_past_end && !self.stage.takes_all() && capacity.new == 0 {
            self.apply_verdict(Verdict::RolledBack);
            return self.verdict;
        }
        self.stage = self.next_stage(evidence, capacity, time_left);
        if self.stage.takes_all() {
            self.detector.start_acceptance();
        }
        if self.is_complete(capacity, now) {
            self.verdict = Verdict::Succeeded;
        }
        self.verdict
    }

    /// Returns a probable finding once the time for rolling back a bad version runs out.
    fn probable_finding_near_deadline(&mut self, evidence: &Evidence, now: Instant) -> Option<Finding> {
        if evidence.new_bad_answers() < BAD_ANSWER_LIMIT {
            return None;
        }
        let since = *self.bad_answer_limit_reached.get_or_insert(now);
        let is_time = now.duration_since(since) >= self.bounds.rollback.mul_f64(DECISION_FRACTION);
        self.detector.probable_finding().filter(|_| is_time)
    }

    fn update_rate(&mut self, evidence: &Evidence, now: Instant) {
        if let Some((at, requests)) = self.last_count {
            let length = now.duration_since(at).as_secs_f64();
            if length <= 0.0 {
                return;
            }
            let newest = evidence.requests.saturating_sub(requests) as f64 / length;
            let before = self.per_second.unwrap_or(newest);
            self.per_second = Some(before + (newest - before) * RATE_SMOOTHING);
        }
        self.last_count = Some((now, evidence.requests));
    }

    fn next_stage(&self, evidence: &Evidence, capacity: VersionCapacity, time_left: Duration) -> Stage {
        if capacity.old == 0 {
            return Stage { share: 1.0, back_ends: capacity.new, takes_all_in: Some(Duration::ZERO) };
        }
        let Some(per_second) = self.per_second.filter(|_| capacity.new > 0) else { return Stage::NONE };
        if self.stage.takes_all() {
            return self.stage;
        }
        let traffic = Traffic {
            requests: evidence.requests as f64,
            exposed: evidence.exposed as f64,
            per_second,
            time_left,
        };
        let share = schedule::share(&traffic, &self.bounds);
        let proportional = (share * capacity.old as f64).round() as usize;
        let has_enough_capacity = capacity.new as f64 >= MIN_CAPACITY_RATIO * capacity.old as f64;
        let has_enough_answers = evidence.new_answers() >= MIN_ANSWERS || time_left.is_zero();
        let takes_all_in = schedule::takes_all_in(&traffic, &self.bounds);
        Stage {
            share,
            back_ends: proportional.max(MIN_ACTIVE_BACK_ENDS).min(capacity.new),
            takes_all_in: (has_enough_capacity && has_enough_answers).then_some(takes_all_in),
        }
    }

    /// Whether the new version receives all requests, its answers since then show that it is good, and
    /// no requests run at the old version. The old back ends are stopped after that, so a version that
    /// is not yet known to be good completes late rather than being accepted.
    fn is_complete(&self, capacity: VersionCapacity, now: Instant) -> bool {
        if capacity.old == 0 {
            return capacity.new > 0;
        }
        let is_late = now.saturating_duration_since(self.started_at) >= self.order.interval + DRAIN_TIMEOUT;
        let is_drained = capacity.running_at_old == 0 || is_late;
        self.stage.takes_all()
            && capacity.new > 0
            && is_drained
            && self.detector.is_confirmed_good(now > self.started_at + self.order.interval)
    }
}
