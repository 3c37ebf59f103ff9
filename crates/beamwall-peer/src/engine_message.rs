//! What gateways tell each other of single engines.

use prost::Message;

/// An engine that announced in a response that it leaves.
#[derive(Clone, PartialEq, Message)]
pub struct EngineDeparture {
    /// Engine.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Time since it last announced the departure, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// The requests that one engine takes from all nodes together, as observed by a node.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLimit {
    /// Engine.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Requests a second; 0 if the engine named no limit any more.
    #[prost(double, tag = "2")]
    pub per_second: f64,
    /// Time since the observation, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// The newest rejection by one brittle engine.
#[derive(Clone, PartialEq, Message)]
pub struct EngineRejection {
    /// Engine.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Rejections a second that it tolerates.
    #[prost(double, tag = "2")]
    pub tolerated: f64,
    /// Requests a second that it may get from all nodes together, at the time of the rejection.
    #[prost(double, tag = "3")]
    pub rate: f64,
    /// Time since the rejection, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}
