//! Messages between gateways and the one that places model requests for them.

use prost::Message;

use crate::gateway_message::BackendSlowness;

/// Requests an engine from the receiver, which places model requests for all gateways.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementRequest {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of tokens of the complete prompt.
    #[prost(uint32, tag = "2")]
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    #[prost(uint32, tag = "3")]
    pub output_tokens: u32,
    /// Parts of the prompt in order.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PlacementPart>,
    /// Engines to which the request was sent before.
    #[prost(string, repeated, tag = "5")]
    pub tried: Vec<String>,
    /// Engines that the sender recently failed to reach.
    #[prost(string, repeated, tag = "6")]
    pub unreachable: Vec<String>,
    /// Longest interval between two events of the stream that meets its objective, in milliseconds.
    #[prost(uint64, optional, tag = "7")]
    pub pause_objective_ms: Option<u64>,
    /// Time until the caller's timeout, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_ms: u64,
    /// Number of the group of engines from which one is chosen.
    #[prost(uint32, tag = "9")]
    pub group: u32,
    /// Number of groups; 0 and 1 stand for a single group of all engines.
    #[prost(uint32, tag = "10")]
    pub groups: u32,
    /// Expected time until the response starts, in milliseconds, above which the sender queries another
    /// group.
    #[prost(double, optional, tag = "11")]
    pub enough_ms: Option<f64>,
    /// Slowness of individual engines of the group that the sender observed recently and has not reported
    /// yet.
    #[prost(message, repeated, tag = "12")]
    pub observed: Vec<BackendSlowness>,
    /// Software version that the engine must have because it began the request's stream; empty if any.
    #[prost(string, tag = "13")]
    pub stream_version: String,
    /// Tenant that sent the request; empty if none.
    #[prost(string, tag = "14")]
    pub tenant: String,
    /// Rank of the request at its engine; 0 is the most urgent.
    #[prost(uint32, tag = "15")]
    pub rank: u32,
    /// Time within which the response should start, in milliseconds; 0 if not reported.
    #[prost(uint64, tag = "16")]
    pub objective_ms: u64,
    /// Fingerprint of the request, 16 bytes, equal for all tries by its caller; empty if not reported.
    #[prost(bytes = "vec", tag = "17")]
    pub fingerprint: Vec<u8>,
}

/// One part of a prompt.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PlacementPart {
    /// Identifies the text of this part together with all parts before it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Length in tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// The engine chosen for a request, and the values that led to the choice.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementReply {
    /// Chosen engine; empty if none was found.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Cost of the chosen engine in milliseconds, by which engines are compared.
    #[prost(double, tag = "2")]
    pub cost_ms: f64,
    /// Prompt tokens that need prefill there.
    #[prost(uint64, tag = "3")]
    pub unread_tokens: u64,
    /// Open requests at the engine.
    #[prost(uint32, tag = "4")]
    pub open_requests: u32,
    /// Share of the engine's recent requests that failed, 0 to 1.
    #[prost(double, tag = "5")]
    pub failure_share: f64,
    /// Number of engines that were compared.
    #[prost(uint32, tag = "6")]
    pub candidates: u32,
    /// Pairs of a token that needs prefill with an earlier token.
    #[prost(uint64, tag = "7")]
    pub unread_pairs: u64,
    /// Tokens of other prompts ahead in the prefill queue.
    #[prost(uint64, tag = "8")]
    pub tokens_ahead: u64,
    /// Expected time until the response starts, in milliseconds, if known.
    #[prost(double, optional, tag = "9")]
    pub expected_ms: Option<f64>,
    /// Factor by which the engine is slower than usual for its service, already included in the expected
    /// time; 0 if not reported.
    #[prost(double, tag = "10")]
    pub slowness: f64,
    /// Why the group has no capacity for the request; empty if it was not rejected. The engine is empty then.
    #[prost(string, tag = "11")]
    pub rejected: String,
    /// Time after which there will be capacity for a rejected request, in milliseconds.
    #[prost(uint64, tag = "12")]
    pub retry_after_ms: u64,
}
