//! Messages between gateways about requests during which back ends terminated.

use prost::{Enumeration, Message};

/// Evidence that the sender observed, or all evidence that it holds.
#[derive(Clone, PartialEq, Message)]
pub struct QuarantineUpdate {
    /// Terminations of back ends.
    #[prost(message, repeated, tag = "1")]
    pub endings: Vec<TerminationMessage>,
    /// Requests that completed.
    #[prost(message, repeated, tag = "2")]
    pub completions: Vec<CompletionMessage>,
    /// Trials granted to held requests.
    #[prost(message, repeated, tag = "3")]
    pub trials: Vec<TrialMessage>,
    /// How long the back ends that terminated had been running the requests.
    #[prost(message, repeated, tag = "4")]
    pub exposures: Vec<ExposuresMessage>,
}

/// Requests all evidence that the receiver holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct QuarantineRequest {}

/// The termination of a back end.
#[derive(Clone, PartialEq, Message)]
pub struct TerminationMessage {
    /// The back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// When the back end terminated, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Fingerprints of the requests that were open there, 16 bytes each, concatenated.
    #[prost(bytes = "vec", tag = "3")]
    pub open: Vec<u8>,
    /// The back end's software version; empty if unknown. Earlier releases tell none.
    #[prost(string, tag = "4")]
    pub version: String,
}

/// How long a back end that terminated had been running requests.
#[derive(Clone, PartialEq, Message)]
pub struct ExposuresMessage {
    /// The back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Fingerprints of the requests, 16 bytes each, concatenated.
    #[prost(bytes = "vec", tag = "2")]
    pub requests: Vec<u8>,
    /// Its exposure to each of them, in milliseconds.
    #[prost(uint64, repeated, tag = "3")]
    pub exposure_ms: Vec<u64>,
}

/// Why terminations up to a time do not count against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum CompletionKind {
    /// The request completed. Earlier releases tell nothing else.
    Completed = 0,
    /// A back end that terminated had been writing the response for a shorter time than another one has.
    Writing = 1,
    /// A back end that terminated had been running the request for a shorter time than another one has.
    Running = 2,
    /// One of these, at an earlier time.
    Recorded = 3,
}

/// The completion of a request, or what shows as well that terminations have another cause. Earlier releases take both for a
/// completion.
#[derive(Clone, PartialEq, Message)]
pub struct CompletionMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Terminations up to this time, in milliseconds since 1970, do not count.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Why they do not.
    #[prost(enumeration = "CompletionKind", tag = "3")]
    pub kind: i32,
    /// Time for which a back end has survived the request, in milliseconds; 0 where it completed.
    #[prost(uint64, tag = "4")]
    pub survived_ms: u64,
    /// The back end's software version: terminations of others count on. Empty if unknown. Earlier releases tell none, and
    /// read a completion as one that concerns all versions.
    #[prost(string, tag = "5")]
    pub version: String,
}

/// A trial granted to a held request.
#[derive(Clone, PartialEq, Message)]
pub struct TrialMessage {
    /// The request's fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// The number of the trial, from 1.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// When the trial was granted, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub at_ms: u64,
}
