//! Messages between gateways about the versions that began streams.

use prost::Message;

/// Origins of streams that the sender began or continues, for gateways that hold them.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOriginUpdate {
    /// Names of services and versions, to which the origins refer by index.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// The origins.
    #[prost(message, repeated, tag = "2")]
    pub origins: Vec<StreamOriginEntry>,
    /// Whether the recipient is to write the origins to the control store.
    #[prost(bool, tag = "3")]
    pub is_to_be_stored: bool,
}

/// Software versions that the control store holds.
#[derive(Clone, PartialEq, Message)]
pub struct StoredVersionsUpdate {
    /// The era of the store.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// The versions by service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<StoredServiceVersions>,
}

/// The versions of one service that the control store holds.
#[derive(Clone, PartialEq, Message)]
pub struct StoredServiceVersions {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its versions.
    #[prost(string, repeated, tag = "2")]
    pub versions: Vec<String>,
}

/// The origin of one stream, about 26 bytes when encoded.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOriginEntry {
    /// Key of the stream, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub stream: Vec<u8>,
    /// Index of the service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// Index of the version's name.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Time for which the origin is kept, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub valid_for_ms: u32,
}

/// Asks for the origin of a stream, and for the versions that the engines of a service have had lately.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOriginRequest {
    /// Key of the stream, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub stream: Vec<u8>,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Time within which the versions are asked for, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span_ms: u64,
}

/// Reply to a request for an origin.
#[derive(Clone, PartialEq, Message)]
pub struct StreamOriginReply {
    /// The stream's service; empty if the sender does not hold its origin.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version that began the stream.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time since the sender recorded the origin, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The only version that the service's engines have had within the time asked for; empty if the sender
    /// does not know that there was only one.
    #[prost(string, tag = "4")]
    pub only_version: String,
    /// Whether the service's engines have had several versions within that time.
    #[prost(bool, tag = "5")]
    pub has_several_versions: bool,
}
