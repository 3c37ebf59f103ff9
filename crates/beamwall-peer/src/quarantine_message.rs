//! What gateways tell each other of requests under which back ends end.

use prost::Message;

/// What the sender saw, or all that it knows.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineUpdate {
    /// Back ends that ended.
    #[prost(message, repeated, tag = "1")]
    pub endings: Vec<TerminationMessage>,
    /// Requests that ran to an end.
    #[prost(message, repeated, tag = "2")]
    pub completions: Vec<CompletionMessage>,
    /// Trials of held requests.
    #[prost(message, repeated, tag = "3")]
    pub trials: Vec<TrialMessage>,
}

/// Asks for all that the receiver knows.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct QuarantineRequest {}

/// A back end that ended.
#[derive(Clone, PartialEq, Message)]
pub struct TerminationMessage {
    /// The back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// When it ended, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Fingerprints of the requests that it had open, 16 bytes each, one after another.
    #[prost(bytes = "vec", tag = "3")]
    pub open: Vec<u8>,
}

/// A request that ran to an end.
#[derive(Clone, PartialEq, Message)]
pub struct CompletionMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// When, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
}

/// A trial of a held request.
#[derive(Clone, PartialEq, Message)]
pub struct TrialMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the trial, from 1.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// When it was granted, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}
