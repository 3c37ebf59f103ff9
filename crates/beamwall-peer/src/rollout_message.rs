//! What gateways tell each other of rollouts: orders, how far they have come, and what was counted.

use prost::Message;

/// What the sender knows of rollouts.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutUpdate {
    /// The orders.
    #[prost(message, repeated, tag = "1")]
    pub orders: Vec<OrderMessage>,
    /// How far they have come.
    #[prost(message, repeated, tag = "2")]
    pub stages: Vec<StageMessage>,
    /// What was counted.
    #[prost(message, repeated, tag = "3")]
    pub evidence: Vec<EvidenceMessage>,
}

/// Identifies an order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderIdMessage {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version that shall take the traffic.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The store's revision at which it was made.
    #[prost(uint64, tag = "3")]
    pub made: u64,
}

/// An order.
#[derive(Clone, PartialEq, Message)]
pub struct OrderMessage {
    /// Identifies it.
    #[prost(message, optional, tag = "1")]
    pub id: Option<OrderIdMessage>,
    /// Time in which it shall be done, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub interval_ms: u64,
    /// The store's revision at which it was read last.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Time since it was first seen, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// What came of it: 0 nothing yet, 1 rolled back, 2 succeeded.
    #[prost(uint32, tag = "5")]
    pub verdict: u32,
    /// Whether it was taken back.
    #[prost(bool, tag = "6")]
    pub is_withdrawn: bool,
}

/// How far an order has come.
#[derive(Clone, PartialEq, Message)]
pub struct StageMessage {
    /// The order.
    #[prost(message, optional, tag = "1")]
    pub id: Option<OrderIdMessage>,
    /// Epoch of the lease under which it was decided.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of the telling under that epoch.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Share of the requests that go to the new version, 0 to 1.
    #[prost(double, tag = "4")]
    pub share: f64,
    /// Back ends among which they are divided.
    #[prost(uint64, tag = "5")]
    pub back_ends: u64,
    /// Time until the new version takes all, in milliseconds, from when this was told first.
    #[prost(uint64, optional, tag = "6")]
    pub takes_all_in_ms: Option<u64>,
    /// Time since then, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// What was counted of an order.
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
    /// Answers of the old version by route, and of the new one by route and back end.
    #[prost(message, repeated, tag = "4")]
    pub answers: Vec<AnswerCountsMessage>,
    /// Answers of the old version by route and back end. Builds that do not know this field read the sums above.
    #[prost(message, repeated, tag = "5")]
    pub old_answers: Vec<AnswerCountsMessage>,
}

/// Answers on one route: of one back end, or of the old version together.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerCountsMessage {
    /// Route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Back end; empty for all of the old version together.
    #[prost(string, tag = "2")]
    pub back_end: String,
    /// Answers.
    #[prost(uint64, tag = "3")]
    pub answers: u64,
    /// The bad ones among them.
    #[prost(uint64, tag = "4")]
    pub bad: u64,
}
