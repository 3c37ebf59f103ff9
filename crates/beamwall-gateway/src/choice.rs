//! The choice of a back end: one small function from candidates to the cheapest.
//!
//! A candidate's cost is the time until it would begin to answer, in milliseconds: what lies ahead
//! of the request, what of its prompt must be read, the way there, and a surcharge for what its
//! recent answers say.

use std::sync::atomic::{AtomicUsize, Ordering};

use beamwall_model::{BackendId, ChoiceStrategy};

use crate::health::HealthView;
use crate::load::OpenLoad;

/// Prompt tokens that an engine reads in a millisecond when nothing else runs.
pub(crate) const PROMPT_TOKENS_PER_MS: f64 = 32.0;
/// Tokens that take as long to read as a million pairs of a prompt's token with one before it take to compare.
const TOKENS_PER_MILLION_PAIRS: u64 = 38;
/// Time that the running requests add to the start of another at a model engine whose slots are all taken;
/// in proportion where fewer are.
const ALL_SLOTS_MS: f64 = 256.0;
/// Time of one request at a plain back end.
const PLAIN_REQUEST_MS: f64 = 15.0;
/// Surcharge for another zone: the way there and back, and the price of the bytes.
const OTHER_ZONE_MS: f64 = 4.0;
/// Surcharge for a back end all of whose requests failed lately.
const FAILING_MS: f64 = 2_000.0;
/// Share of failures that is usual and not held against a back end.
const USUAL_FAILURE_SHARE: f64 = 0.25;
/// Surcharge for a back end that could not be reached a moment ago.
const UNREACHABLE_MS: f64 = 5_000.0;
/// Surcharge for a back end whose slots are all taken.
const FULL_MS: f64 = 500.0;

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
    /// How long it would read the request's prompt, in tokens of a short one ([`reading_tokens`]); `None` for plain
    /// calls.
    pub unread_tokens: Option<u64>,
    /// How it has fared lately.
    pub health: HealthView,
}

/// How long the rest of a prompt takes to read, in tokens of a short prompt: each token is compared with all
/// before it, so the later ones of a long prompt take longer.
pub fn reading_tokens(kept: u64, unread: u64) -> u64 {
    let pairs = unread * (kept + unread / 2);
    unread + pairs * TOKENS_PER_MILLION_PAIRS / 1_000_000
}

/// The expected time in milliseconds until a candidate begins to answer.
pub fn cost_ms(candidate: &Candidate) -> f64 {
    let requests = f64::from(candidate.load.requests);
    let slots = f64::from(candidate.slots.max(1));
    let work = match candidate.unread_tokens {
        Some(unread) => {
            let tokens = candidate.load.prompt_tokens + unread;
            tokens as f64 / PROMPT_TOKENS_PER_MS + requests / slots * ALL_SLOTS_MS
        }
        None => requests / slots * PLAIN_REQUEST_MS,
    };
    let full = if candidate.load.requests >= candidate.slots { FULL_MS } else { 0.0 };
    let way = if candidate.same_zone { 0.0 } else { OTHER_ZONE_MS };
    let failing = (candidate.health.failure_share - USUAL_FAILURE_SHARE).max(0.0) * FAILING_MS;
    let unreachable = if candidate.health.unreachable { UNREACHABLE_MS } else { 0.0 };
    work + full + way + failing + unreachable
}

/// The cheapest candidate with its cost; of equal ones the first.
pub fn choose(candidates: &[Candidate]) -> Option<(&Candidate, f64)> {
    let costs = candidates.iter().map(|candidate| (candidate, cost_ms(candidate)));
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

    /// The chosen candidate with its expected time.
    pub fn choose<'a>(&self, candidates: &'a [Candidate]) -> Option<(&'a Candidate, f64)> {
        let chosen = match self.strategy {
            ChoiceStrategy::ExpectedTime => return choose(candidates),
            ChoiceStrategy::LeastRequests => {
                candidates.iter().min_by_key(|candidate| candidate.load.requests)?
            }
            ChoiceStrategy::RoundRobin => self.next_in_turn(candidates)?,
        };
        Some((chosen, cost_ms(chosen)))
    }

    fn next_in_turn<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let mut in_order: Vec<&Candidate> = candidates.iter().collect();
        in_order.sort_by(|left, right| left.backend.cmp(&right.backend));
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        in_order.get(turn % in_order.len().max(1)).copied()
    }
}
