//! Placement: one node chooses the engines of model requests for all nodes, with a different node for each
//! group of engines.
//!
//! An engine prefills a prompt in a fraction of a second, while nodes report their open requests about once a
//! second. Nodes that choose independently by these reports send long prompts to the same engine while others
//! are idle. The placement node knows what it placed a moment ago.
//!
//! A placement is advice: a node that receives none in time chooses by itself, based on its peers' reports.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_admission::{CapacityClaim, Rejection};
use beamwall_engine_model::{EngineObservation, FirstEventInputs, PrefillWork};
use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName, ZoneName};
use tokio::time::Instant;

use crate::placement_groups::EngineGroup;
use crate::ports::Prompt;
pub use crate::prefill_queues::PrefillQueues;

/// Number of nodes that must have failed to reach an engine before all nodes avoid it. A single node may
/// itself be disconnected.
const CONFIRMING_NODES: usize = 2;
/// Time for which a report of an unreachable engine is valid.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Multiple of the expected time above which a response is slow. A few in 100 normal responses take twice the
/// expected time.
const SLOW_FACTOR: f64 = 2.5;
/// Time added to that limit in milliseconds, since network delay and scheduling are a larger part of short
/// responses.
const SLOW_MARGIN_MS: f64 = 20.0;

/// A request for a placement.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementQuery {
    /// The node that sends the model request.
    pub sender: NodeId,
    /// The service.
    pub service: ServiceName,
    /// The zone of the sender.
    pub zone: ZoneName,
    /// The group of engines to choose from.
    pub group: EngineGroup,
    /// The prompt.
    pub prompt: Prompt,
    /// Engines that were already tried.
    pub tried: Vec<BackendId>,
    /// The version that began the stream that goes on, if one does.
    pub stream_version: Option<EngineVersion>,
    /// Engines that the sender recently could not reach.
    pub unreachable: Vec<BackendId>,
    /// Speed of single engines of the group that the sender observed and has not reported yet.
    pub observed: Vec<(BackendId, EngineObservation)>,
    /// Longest gap between two events at which the stream meets its objective.
    pub pause_objective_ms: Option<u64>,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Expected time to the response, in milliseconds, above which the sender will query another group.
    /// Nothing is placed here then.
    pub enough_ms: Option<f64>,
    /// What the request claims of the group's capacity.
    pub claim: CapacityClaim,
}

impl PlacementQuery {
    /// Whether a choice is good enough to be placed without querying another group.
    pub fn is_good_enough(&self, choice: &Choice) -> bool {
        match (self.enough_ms, choice.expected_ms) {
            (Some(enough_ms), Some(expected_ms)) => expected_ms <= enough_ms,
            _ => true,
        }
    }
}

/// The back end of an attempt and the inputs of the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The back end.
    pub backend: BackendId,
    /// Cost of the chosen candidate in milliseconds.
    pub cost_ms: f64,
    /// Expected time until it starts its response, in milliseconds; `None` while the service's model is not
    /// trained.
    pub expected_ms: Option<f64>,
    /// Factor by which it is now slower than its service usually is, lastingly or for the moment; already
    /// included in the expected time.
    pub slowness: f64,
    /// Prefill work of the prompt.
    pub prefill: PrefillWork,
    /// Tokens of other prompts that it prefills first.
    pub tokens_ahead: u64,
    /// Open requests at the back end.
    pub open_requests: u32,
    /// Share of its recent requests that failed, 0 to 1.
    pub failure_share: f64,
    /// Number of candidates compared.
    pub candidates: usize,
    /// The node that made the choice.
    pub chosen_by: NodeId,
}

impl Choice {
    /// Time that engines of the service usually take. The expected time follows this engine's own slowness,
    /// so a version whose engines are all slow would otherwise appear to be as fast as expected.
    pub fn usual_ms(&self) -> Option<f64> {
        Some(self.expected_ms? / self.slowness)
    }

    /// Whether a response that started after `took_ms` took several times as long as is usual for its
    /// service.
    pub fn is_slow(&self, took_ms: f64) -> bool {
        self.usual_ms().is_some_and(|usual_ms| took_ms > usual_ms * SLOW_FACTOR + SLOW_MARGIN_MS)
    }

    /// Inputs of the model for the time to the first event at this back end.
    pub fn first_event(&self) -> FirstEventInputs {
        FirstEventInputs {
            prefill: self.prefill,
            tokens_ahead: self.tokens_ahead,
            running: self.open_requests,
        }
    }
}

/// Result of a placement query.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementOutcome {
    /// An engine was chosen.
    Chosen(Choice),
    /// The group has no capacity for the request now.
    Rejected(Rejection),
    /// This node is the placement node of the group.
    PlaceLocally,
    /// There was no response in time, or no engine was available.
    Unanswered,
}

/// Queries placement nodes.
#[async_trait]
pub trait PlacementPort: Send + Sync + 'static {
    /// Queries the placement node of the query's group for an engine.
    async fn place(&self, question: &PlacementQuery) -> PlacementOutcome;
}

/// Engines that nodes could not reach. A crashed engine has an empty queue, so it would be the first choice
/// for every node until each node had discovered the crash by itself.
#[derive(Debug, Default)]
pub struct UnreachableReports {
    reports: Mutex<HashMap<BackendId, HashMap<NodeId, Instant>>>,
}

impl UnreachableReports {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, HashMap<NodeId, Instant>>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the engines that a node could not reach.
    pub fn note(&self, sender: &NodeId, unreachable: &[BackendId], now: Instant) {
        let mut reports = self.lock();
        for backend in unreachable {
            reports.entry(backend.clone()).or_default().insert(sender.clone(), now);
        }
    }

    /// Whether several nodes recently could not reach an engine.
    pub fn is_confirmed(&self, backend: &BackendId, now: Instant) -> bool {
        let reports = self.lock();
        let Some(senders) = reports.get(backend) else { return false };
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < REPORT_TTL;
        senders.values().filter(is_recent).count() >= CONFIRMING_NODES
    }

    /// Removes back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}
