//! The choice of a back end: one small function from candidates to the cheapest.
//!
//! A candidate's cost is the time until it would begin to answer, in milliseconds: what is expected of its service
//! by the learnt model, how much slower than the service it is, the wait for a free slot, the way there, and a
//! surcharge for what its recent answers say.

use std::sync::atomic::{AtomicUsize, Ordering};

use beamwall_engine_model::{FirstEventInputs, PrefillWork, ServiceEstimates};
use beamwall_model::{BackendId, ChoiceStrategy};

use crate::health::HealthView;
use crate::load::OpenLoad;

/// Cost of one open request while nothing is known of the service: only the order that it gives counts.
const UNLEARNT_REQUEST_MS: f64 = 10.0;
/// Wait for a slot while it is not known how long streams take: only the order that it gives counts.
const UNLEARNT_SLOT_MS: f64 = 500.0;
/// Surcharge for another zone: the way there and back, and the price of the bytes.
const OTHER_ZONE_MS: f64 = 4.0;
/// Surcharge for a back end all of whose requests failed lately.
const FAILING_MS: f64 = 2_000.0;
/// Share of failures that is usual and not held against a back end.
const USUAL_FAILURE_SHARE: f64 = 0.25;
/// Surcharge for a back end that could not be reached a moment ago.
const UNREACHABLE_MS: f64 = 5_000.0;
/// Surcharge for a back end whose pauses between events are expected to be twice the objective; in proportion where
/// they are less too long. A stream with such a pause is late from then on, however early it began.
const PAUSES_MS: f64 = 1_000.0;

/// A back end that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub backend: BackendId,
    /// Whether it runs in this node's zone.
    pub same_zone: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Open work of all nodes there.
    pub load: OpenLoad,
    /// What of the request's prompt it would read; `None` for plain calls.
    pub reading: Option<PrefillWork>,
    /// Factor by which it takes longer than its service usually does.
    pub slowness: f64,
    /// How it has fared lately.
    pub health: HealthView,
}

impl Candidate {
    /// What the time to the first event of a model request depends on there.
    fn first_event(&self, reading: PrefillWork) -> FirstEventInputs {
        let running = self.load.requests.min(self.slots);
        FirstEventInputs { prefill: reading, tokens_ahead: self.load.prompt_tokens, running }
    }

    /// Requests that would wait for a slot there, this one included.
    fn waiting(&self) -> u32 {
        (self.load.requests + 1).saturating_sub(self.slots)
    }

    /// Time until it would begin to answer, in milliseconds; `None` while nothing is known of the service.
    pub fn expected_ms(&self, expectation: &Expectation<'_>) -> Option<f64> {
        let estimates = expectation.estimates;
        let answer_ms = match self.reading {
            Some(reading) => estimates.first_event_ms(self.first_event(reading))?,
            None => estimates.plain_call_ms(self.load.requests)?,
        };
        let slot_ms = estimates.stream_ms().unwrap_or(UNLEARNT_SLOT_MS) / f64::from(self.slots.max(1));
        let wait_ms = if self.reading.is_some() { f64::from(self.waiting()) * slot_ms } else { 0.0 };
        Some((answer_ms + wait_ms) * self.slowness)
    }

    /// How much too long its pauses between events are expected to be, as a part of the objective, at most 1.
    fn excess_of_pauses(&self, expectation: &Expectation<'_>) -> f64 {
        let pause_ms = expectation.estimates.event_gap_ms(self.load.requests.min(self.slots));
        match (self.reading, pause_ms, expectation.pause_objective_ms) {
            (Some(_), Some(pause_ms), Some(objective_ms)) => {
                (pause_ms * self.slowness / objective_ms as f64 - 1.0).clamp(0.0, 1.0)
            }
            _ => 0.0,
        }
    }

    /// What stands for the expected time while nothing is known of the service.
    fn unlearnt_ms(&self) -> f64 {
        f64::from(self.load.requests) * UNLEARNT_REQUEST_MS + f64::from(self.waiting()) * UNLEARNT_SLOT_MS
    }
}

/// What is expected of the back ends among which one is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Expectation<'a> {
    /// What the service's back ends do.
    pub estimates: &'a ServiceEstimates,
    /// Longest pause between two events that keeps the request's stream in time.
    pub pause_objective_ms: Option<u64>,
}

/// The cost of a candidate in milliseconds.
pub fn cost_ms(candidate: &Candidate, expectation: &Expectation<'_>) -> f64 {
    let work = candidate.expected_ms(expectation).unwrap_or_else(|| candidate.unlearnt_ms());
    let pauses = candidate.excess_of_pauses(expectation) * PAUSES_MS;
    let way = if candidate.same_zone { 0.0 } else { OTHER_ZONE_MS };
    let failing = (candidate.health.failure_share - USUAL_FAILURE_SHARE).max(0.0) * FAILING_MS;
    let unreachable = if candidate.health.unreachable { UNREACHABLE_MS } else { 0.0 };
    work + pauses + way + failing + unreachable
}

/// The cheapest candidate with its cost; of equal ones the first.
pub fn choose<'a>(
    candidates: &'a [Candidate],
    expectation: &Expectation<'_>,
) -> Option<(&'a Candidate, f64)> {
    let costs = candidates.iter().map(|candidate| (candidate, cost_ms(candidate, expectation)));
    costs.min_by(|left, right| left.1.total_cmp(&right.1))
}

/// Chooses by one strategy.
#[derive(Debug, Default)]
pub struct Chooser {
    strategy: ChoiceStrategy,
    /// Number of the next choice, by which back ends take turns.
    turn: AtomicUsize,
}

impl Chooser {
    /// A chooser by `strategy`.
    pub fn new(strategy: ChoiceStrategy) -> Self {
        Self { strategy, turn: AtomicUsize::default() }
    }

    /// Whether it is a baseline, which compares all back ends and is not placed by another node.
    pub fn is_baseline(&self) -> bool {
        self.strategy != ChoiceStrategy::ExpectedTime
    }

    /// The chosen candidate with its cost.
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
            ChoiceStrategy::RoundRobin => self.next_in_turn(candidates)?,
        };
        Some((chosen, cost_ms(chosen, expectation)))
    }

    fn next_in_turn<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let mut in_order: Vec<&Candidate> = candidates.iter().collect();
        in_order.sort_by(|left, right| left.backend.cmp(&right.backend));
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        in_order.get(turn % in_order.len().max(1)).copied()
    }
}
