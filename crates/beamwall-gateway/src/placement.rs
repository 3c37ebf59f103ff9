//! Placement: one node chooses the engines of model requests for all nodes, in each group of engines another.
//!
//! An engine reads a prompt in a fraction of a second, while nodes tell each other their open work about
//! once a second. Nodes that each choose by what they were told send long prompts to the same engine while
//! others are idle. The node that places the requests of all knows what it placed a moment ago.
//!
//! A placement is advice: a node that gets none in time chooses by itself, from what it was told.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_engine_model::{FirstEventInputs, PrefillWork, SlownessObservation};
use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName};
use tokio::time::Instant;

use crate::placement_groups::EngineGroup;
use crate::ports::Prompt;

/// Nodes that must have failed to reach an engine before it is avoided for all. One alone may be cut off itself.
const CONFIRMING_NODES: usize = 2;
/// Time for which a report of an unreachable engine counts.
const REPORTED_FOR: Duration = Duration::from_millis(500);

/// Times the expected time from which an answer counts as slow: of the usual ones some in 100 take twice as long.
const SLOW_FACTOR: f64 = 2.5;
/// Milliseconds beside: of short answers the way and the wait for a processor are a larger part.
const SLOW_BESIDE_MS: f64 = 20.0;

/// What a request needs of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementQuestion {
    /// The node that sends the request.
    pub sender: NodeId,
    /// The service.
    pub service: ServiceName,
    /// The zone of the node that sends the request.
    pub zone: ZoneName,
    /// The engines among which one is chosen.
    pub group: EngineGroup,
    /// The prompt.
    pub prompt: Prompt,
    /// Engines that it was sent to before.
    pub tried: Vec<BackendId>,
    /// Engines that the sender could not reach a moment ago.
    pub unreachable: Vec<BackendId>,
    /// What the sender observed lately of single engines of the group, and has not reported yet.
    pub observed: Vec<(BackendId, SlownessObservation)>,
    /// Longest pause between two events that keeps its stream in time.
    pub pause_objective_ms: Option<u64>,
    /// Time that its caller still waits.
    pub remaining: Duration,
    /// Expected time to begin, in milliseconds, beyond which another group will be asked: then nothing is placed here.
    pub enough_ms: Option<f64>,
}

impl PlacementQuestion {
    /// Whether a choice is good enough to be placed without asking another group.
    pub fn is_enough(&self, choice: &Choice) -> bool {
        match (self.enough_ms, choice.expected_ms) {
            (Some(enough_ms), Some(expected_ms)) => expected_ms <= enough_ms,
            _ => true,
        }
    }
}

/// The back end of an attempt, and what decided.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The back end.
    pub backend: BackendId,
    /// Cost by which it was chosen, in milliseconds.
    pub cost_ms: f64,
    /// Expected time until it begins to answer, in milliseconds; `None` while nothing is known of the service.
    pub expected_ms: Option<f64>,
    /// Factor by which it takes longer than its service usually does, which is in the expected time.
    pub slowness: f64,
    /// What of the prompt it reads.
    pub reading: PrefillWork,
    /// Tokens of other prompts that it reads before.
    pub tokens_ahead: u64,
    /// Requests open there.
    pub open_requests: u32,
    /// Share of its requests that failed lately, 0 to 1.
    pub failure_share: f64,
    /// Back ends that were compared.
    pub candidates: usize,
    /// The node that chose.
    pub chosen_by: NodeId,
}

impl Choice {
    /// Time that an engine of its service usually takes: the expected time follows what this one did, so a version all of whose
    /// engines are slow would seem to be as fast as is expected of it.
    fn usual_ms(&self) -> Option<f64> {
        Some(self.expected_ms? / self.slowness)
    }

    /// Whether an answer that began after `took_ms` took several times as long as is usual in its service.
    pub fn is_slow(&self, took_ms: f64) -> bool {
        self.usual_ms().is_some_and(|usual_ms| took_ms > usual_ms * SLOW_FACTOR + SLOW_BESIDE_MS)
    }

    /// What the time to the first event of a model request depends on there.
    pub fn first_event(&self) -> FirstEventInputs {
        FirstEventInputs {
            prefill: self.reading,
            tokens_ahead: self.tokens_ahead,
            running: self.open_requests,
        }
    }
}

/// What came of asking for a placement.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAnswer {
    /// An engine was chosen.
    Chosen(Choice),
    /// This node places requests itself.
    PlaceHere,
    /// No answer came in time, or no engine was found.
    Unanswered,
}

/// Asks the node that places requests.
#[async_trait]
pub trait PlacementPort: Send + Sync + 'static {
    /// Asks for an engine.
    async fn place(&self, question: &PlacementQuestion) -> PlacementAnswer;
}

/// Time within which nodes tell the requests that were placed for them, in the mean. Until then only the node that
/// placed them knows.
const TOLD_WITHIN: Duration = Duration::from_millis(600);

/// What this node placed at one engine.
#[derive(Debug, Clone)]
struct ReadingQueue {
    /// When it will have read the prompts, one after another.
    end: Instant,
    /// When the last ones were placed.
    placed: VecDeque<Instant>,
}

/// What this node placed at each engine.
#[derive(Debug, Default)]
pub struct ReadingQueues {
    queues: Mutex<HashMap<BackendId, ReadingQueue>>,
}

impl ReadingQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, ReadingQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests placed at an engine of which the nodes that send them have not told yet.
    pub fn untold(&self, backend: &BackendId, now: Instant) -> u32 {
        let queues = self.lock();
        let is_untold = |placed: &&Instant| now.saturating_duration_since(**placed) < TOLD_WITHIN;
        queues.get(backend).map_or(0, |queue| queue.placed.iter().filter(is_untold).count() as u32)
    }

    /// Time for which an engine still reads, in milliseconds.
    pub fn left_ms(&self, backend: &BackendId, now: Instant) -> f64 {
        let end = self.lock().get(backend).map_or(now, |queue| queue.end);
        end.saturating_duration_since(now).as_secs_f64() * 1_000.0
    }

    /// Notes a prompt that was placed and takes `reading_ms` to read.
    pub fn add(&self, backend: &BackendId, reading_ms: f64, now: Instant) {
        let reading = Duration::from_secs_f64(reading_ms.max(0.0) / 1_000.0);
        let mut queues = self.lock();
        let idle = || ReadingQueue { end: now, placed: VecDeque::new() };
        let queue = queues.entry(backend.clone()).or_insert_with(idle);
        queue.end = queue.end.max(now) + reading;
        queue.placed.retain(|placed| now.saturating_duration_since(*placed) < TOLD_WITHIN);
        queue.placed.push_back(now);
    }

    /// Forgets back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}

/// Engines that nodes could not reach. A crashed engine has nothing to read, so it would be chosen first for
/// every node until each had found out by itself.
#[derive(Debug, Default)]
pub struct UnreachableReports {
    reports: Mutex<HashMap<BackendId, HashMap<NodeId, Instant>>>,
}

impl UnreachableReports {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, HashMap<NodeId, Instant>>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what a node could not reach.
    pub fn note(&self, sender: &NodeId, unreachable: &[BackendId], now: Instant) {
        let mut reports = self.lock();
        for backend in unreachable {
            reports.entry(backend.clone()).or_default().insert(sender.clone(), now);
        }
    }

    /// Whether several nodes could not reach an engine a moment ago.
    pub fn is_confirmed(&self, backend: &BackendId, now: Instant) -> bool {
        let reports = self.lock();
        let Some(senders) = reports.get(backend) else { return false };
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < REPORTED_FOR;
        senders.values().filter(is_recent).count() >= CONFIRMING_NODES
    }

    /// Forgets back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}
