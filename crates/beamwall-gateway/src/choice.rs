//! Selects a back end: a function from the candidates to the one with the lowest cost.
//!
//! A candidate's cost is the expected time until it would start its response, in milliseconds. It consists of
//! the trained model's estimate for the service, the back end's slowness relative to the service, the wait
//! for a free slot, the network delay, and a penalty for recent failures.

use std::sync::atomic::{AtomicUsize, Ordering};

use beamwall_engine_model::{FirstEventInputs, PrefillWork, ServiceEstimates};
use beamwall_model::{BackendId, ChoiceStrategy};

use crate::health::HealthView;
use crate::load::OpenLoad;

/// Cost of one open request before the service's model is trained. Only the resulting order matters.
const UNTRAINED_REQUEST_MS: f64 = 10.0;
/// Wait for a slot while the usual duration of a stream is unknown. Only the resulting order matters.
const UNTRAINED_SLOT_MS: f64 = 500.0;
/// Penalty for another zone: network round trip and the price of the traffic.
const OTHER_ZONE_MS: f64 = 4.0;
/// Penalty for a back end whose recent requests all failed.
const FAILING_MS: f64 = 2_000.0;
/// Failure share that is normal and not penalised.
const TOLERATED_FAILURE_SHARE: f64 = 0.25;
/// Penalty for a back end that recently could not be reached.
const UNREACHABLE_MS: f64 = 5_000.0;
/// Penalty for a back end whose expected gap between events is twice the objective, scaled down linearly for
/// a smaller excess. A stream with such a gap is late from then on, however early it started.
const GAP_EXCESS_MS: f64 = 1_000.0;

/// A back end that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub backend: BackendId,
    /// Whether it runs in this node's zone.
    pub same_zone: bool,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Open requests of all nodes at this back end.
    pub load: OpenLoad,
    /// Prefill work that the request's prompt would cause there; `None` for plain calls.
    pub prefill: Option<PrefillWork>,
    /// Factor by which it is now slower than its service usually is, lastingly or for the moment.
    pub slowness: f64,
    /// Recent health.
    pub health: HealthView,
}

impl Candidate {
    /// Inputs of the model for the time to the first event at this back end.
    fn first_event(&self, prefill: PrefillWork) -> FirstEventInputs {
        let running = self.load.requests.min(self.slots);
        FirstEventInputs { prefill, tokens_ahead: self.load.prompt_tokens, running }
    }

    /// Number of requests that would wait for a slot, including this one.
    fn waiting(&self) -> u32 {
        (self.load.requests + 1).saturating_sub(self.slots)
    }

    /// Expected time until it would start its response, in milliseconds; `None` while the service's model is
    /// not trained.
    pub fn expected_ms(&self, expectation: &Expectation<'_>) -> Option<f64> {
        let estimates = expectation.estimates;
        let answer_ms = match self.prefill {
            Some(prefill) => estimates.first_event_ms(self.first_event(prefill))?,
            None => estimates.plain_call_ms(self.load.requests)?,
        };
        let slot_ms = estimates.stream_ms().unwrap_or(UNTRAINED_SLOT_MS) / f64::from(self.slots.max(1));
        let wait_ms = if self.prefill.is_some() { f64::from(self.waiting()) * slot_ms } else { 0.0 };
        Some((answer_ms + wait_ms) * self.slowness)
    }

    /// Excess of the expected gap between events over the objective, as a fraction of the objective, at most
    /// 1.
    fn event_gap_excess(&self, expectation: &Expectation<'_>) -> f64 {
        let gap_ms = expectation.estimates.event_gap_ms(self.load.requests.min(self.slots));
        match (self.prefill, gap_ms, expectation.pause_objective_ms) {
            (Some(_), Some(gap_ms), Some(objective_ms)) => {
                (gap_ms * self.slowness / objective_ms as f64 - 1.0).clamp(0.0, 1.0)
            }
            _ => 0.0,
        }
    }

    /// Replaces the expected time while the service's model is not trained.
    fn untrained_ms(&self) -> f64 {
        f64::from(self.load.requests) * UNTRAINED_REQUEST_MS + f64::from(self.waiting()) * UNTRAINED_SLOT_MS
    }
}

/// What the cost of the candidates is computed from.
#[derive(Debug, Clone, Copy)]
pub struct Expectation<'a> {
    /// Estimates for the service's back ends.
    pub estimates: &'a ServiceEstimates,
    /// Longest gap between two events at which the stream meets its objective.
    pub pause_objective_ms: Option<u64>,
}

/// The cost of a candidate in milliseconds.
pub fn cost_ms(candidate: &Candidate, expectation: &Expectation<'_>) -> f64 {
    let expected = candidate.expected_ms(expectation).unwrap_or_else(|| candidate.untrained_ms());
    let gaps = candidate.event_gap_excess(expectation) * GAP_EXCESS_MS;
    let zone_ms = if candidate.same_zone { 0.0 } else { OTHER_ZONE_MS };
    let failing = (candidate.health.failure_share - TOLERATED_FAILURE_SHARE).max(0.0) * FAILING_MS;
    let unreachable = if candidate.health.unreachable { UNREACHABLE_MS } else { 0.0 };
    expected + gaps + zone_ms + failing + unreachable
}

/// The candidate with the lowest cost, and that cost. The first of several equal candidates wins.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    expectation: &Expectation<'_>,
) -> Option<(&'a Candidate, f64)> {
    let costs = candidates.iter().map(|candidate| (candidate, cost_ms(candidate, expectation)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1))
}

/// Chooses by a configured strategy.
#[derive(Debug, Default)]
pub struct Chooser {
    strategy: ChoiceStrategy,
    /// Counter of choices for round-robin.
    turn: AtomicUsize,
}

impl Chooser {
    /// A chooser with the given strategy.
    pub fn new(strategy: ChoiceStrategy) -> Self {
        Self { strategy, turn: AtomicUsize::default() }
    }

    /// Whether the strategy is a baseline, which compares all back ends and does not use placement.
    pub fn is_baseline(&self) -> bool {
        self.strategy != ChoiceStrategy::ExpectedTime
    }

    /// The chosen candidate and its cost.
    pub fn choose<'a>(
        &self,
        candidates: &'a [Candidate],
        expectation: &Expectation<'_>,
    ) -> Option<(&'a Candidate, f64)> {
        let chosen = match self.strategy {
            ChoiceStrategy::ExpectedTime => return choose(candidates, expectation),
            ChoiceStrategy::LeastRequests => {
                candidates.iter().min_by_key(|candidate| candidate.load.requests)?
            }
            ChoiceStrategy::RoundRobin => self.next_round_robin(candidates)?,
        };
        Some((chosen, cost_ms(chosen, expectation)))
    }

    fn next_round_robin<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let mut in_order: Vec<&Candidate> = candidates.iter().collect();
        in_order.sort_by(|left, right| left.backend.cmp(&right.backend));
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        in_order.get(turn % in_order.len().max(1)).copied()
    }
}
