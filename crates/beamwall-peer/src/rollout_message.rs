//! Messages between gateways about rollouts: orders, stages and evidence.

use prost::Message;

/// Rollouts in the view of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutUpdate {
    /// Rollout orders.
    #[prost(message, repeated, tag = "1")]
    pub orders: Vec<OrderMessage>,
    /// Current stage of each order.
    #[prost(message, repeated, tag = "2")]
    pub stages: Vec<StageMessage>,
    /// Evidence counted for each order.
    #[prost(message, repeated, tag = "3")]
    pub evidence: Vec<EvidenceMessage>,
}

/// Identifies a rollout order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderIdMessage {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version that is rolled out.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Revision of the store at which the order was created.
    #[prost(uint64, tag = "3")]
    pub made: u64,
}

/// A rollout order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderMessage {
    /// Identifies the order.
    #[prost(message, optional, tag = "1")]
    pub id: Option<OrderIdMessage>,
    /// Time within which the rollout is to be completed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub interval_ms: u64,
    /// Revision of the store at which the order was last read.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since the order was first seen, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Verdict: 0 for none yet, 1 for rolled back, 2 for succeeded.
    #[prost(uint32, tag = "5")]
    pub verdict: u32,
    /// Whether the order was withdrawn.
    #[prost(bool, tag = "6")]
    pub is_withdrawn: bool,
    /// Era of the store in which it counts `revision`; 0 if not known.
    #[prost(uint64, tag = "7")]
    pub era: u64,
}

/// The stage of a rollout order.
#[derive(Clone, PartialEq, Message)]
pub struct StageMessage {
    /// The order.
    #[prost(message, optional, tag = "1")]
    pub id: Option<OrderIdMessage>,
    /// Epoch of the lease under which the stage was decided.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number of the update within that epoch.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Share of requests sent to the new version, 0 to 1.
    #[prost(double, tag = "4")]
    pub share: f64,
    /// Number of back ends among which these requests are divided.
    #[prost(uint64, tag = "5")]
    pub back_ends: u64,
    /// Time from the first sending of this update until the new version receives all requests, in
    /// milliseconds.
    #[prost(uint64, optional, tag = "6")]
    pub takes_all_in_ms: Option<u64>,
    /// Time since the first sending, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// Evidence counted for a rollout order.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceMessage {
    /// The order.
    #[prost(message, optional, tag = "1")]
    pub id: Option<OrderIdMessage>,
    /// Requests to the service.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Requests sent to the new version.
    #[prost(uint64, tag = "3")]
    pub exposed: u64,
    /// Responses of the old version by route, and of the new version by route and back end.
    #[prost(message, repeated, tag = "4")]
    pub answers: Vec<AnswerCountsMessage>,
    /// Responses of the old version by route and back end. Builds that do not know this field read the sums
    /// in `answers`.
    #[prost(message, repeated, tag = "5")]
    pub old_answers: Vec<AnswerCountsMessage>,
    /// Hashes of the node generations whose counts these are, in sums of a zone; empty if they are not told.
    #[prost(fixed32, repeated, tag = "6")]
    pub generations: Vec<u32>,
    /// What the sender knows of node generations that have ended, in heartbeats; `None` from builds that do
    /// not know this field.
    #[prost(message, optional, tag = "7")]
    pub ended: Option<EndedEvidenceMessage>,
}

/// What a node knows of node generations that have ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedEvidenceMessage {
    /// The generations whose counts the sender knows, 8 bytes each: the hash of the generation in the upper
    /// half, the checksum of its counts in the lower one.
    #[prost(fixed64, repeated, tag = "1")]
    pub known: Vec<u64>,
    /// Counts that some receiver lacks.
    #[prost(message, repeated, tag = "2")]
    pub told: Vec<EndedGenerationMessage>,
}

/// Counts of one node generation that has ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedGenerationMessage {
    /// Zone of the node.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Hash of the generation.
    #[prost(fixed32, tag = "2")]
    pub generation: u32,
    /// Requests to the service.
    #[prost(uint64, tag = "3")]
    pub requests: u64,
    /// Requests sent to the new version.
    #[prost(uint64, tag = "4")]
    pub exposed: u64,
    /// Responses of the old version by route and back end.
    #[prost(message, repeated, tag = "5")]
    pub old_answers: Vec<AnswerCountsMessage>,
    /// Responses of the new version by route and back end.
    #[prost(message, repeated, tag = "6")]
    pub new_answers: Vec<AnswerCountsMessage>,
}

/// Number of responses on one route: of one back end, or of all back ends of the old version.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerCountsMessage {
    /// Route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Back end; empty for all back ends of the old version.
    #[prost(string, tag = "2")]
    pub back_end: String,
    /// Responses.
    #[prost(uint64, tag = "3")]
    pub answers: u64,
    /// Bad responses among them.
    #[prost(uint64, tag = "4")]
    pub bad: u64,
}
