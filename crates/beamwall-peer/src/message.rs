//! Messages between nodes.
//!
//! Fields are tagged, so a newer node may add fields and an older one ignores them. Tags are never
//! reused.

use prost::{Message, Oneof};

use crate::claim_message::{ClaimAnswer, ClaimRequest};
use crate::gateway_message::{
    DelegationOffer, DelegationRequest, DirectoryAnswer, DirectoryRequest, GatewayHeartbeat, PermitReply,
    PermitRequest, PolicyAnswer, PolicyRequest, UsageAnswer, UsageRequest, VersionUpdate, ZoneSummary,
};
use crate::placement_message::{PlacementReply, PlacementRequest};
use crate::quarantine_message::{QuarantineRequest, QuarantineUpdate};
use crate::stream_origin_message::{
    StoredVersionsUpdate, StreamOriginReply, StreamOriginRequest, StreamOriginUpdate,
};

/// The envelope of every message: the sender, its state and the body.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// Incarnation of the sender, which rises at each start and each refuted suspicion.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address at which the sender listens for peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Settings revision in force at the sender; 0 if none.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Digest of the sender's resolved settings.
    #[prost(uint64, tag = "6")]
    pub digest: u64,
    /// Whether the sender serves callers.
    #[prost(bool, tag = "7")]
    pub ready: bool,
    /// Whether the sender is draining.
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// Number of the request if this message expects a reply; 0 otherwise.
    #[prost(uint64, tag = "9")]
    pub question: u64,
    /// Number of the request to which this message replies; 0 if it is not a reply.
    #[prost(uint64, tag = "10")]
    pub answers: u64,
    /// Capacity of the sender's network link in Mbit/s; 0 if unknown.
    #[prost(uint32, tag = "11")]
    pub link_mbps: u32,
    /// Whether the sender's calls to the store fail.
    #[prost(bool, tag = "12")]
    pub store_lost: bool,
    /// Body of the message.
    #[prost(
        oneof = "Body",
        tags = "20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 60"
    )]
    pub body: Option<Body>,
}

/// Message bodies by kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Periodic heartbeat with piggybacked updates.
    #[prost(message, tag = "20")]
    Heartbeat(Heartbeat),
    /// Requests that the receiver probe another node.
    #[prost(message, tag = "21")]
    ProbeRequest(ProbeRequest),
    /// Requests the receiver's settings tree.
    #[prost(message, tag = "22")]
    TreeRequest(TreeRequest),
    /// A complete settings tree.
    #[prost(message, tag = "23")]
    TreeWhole(TreeSnapshot),
    /// One committed settings edit.
    #[prost(message, tag = "24")]
    TreeChange(TreeChange),
    /// Hands a request over to the receiver.
    #[prost(message, tag = "25")]
    Handover(Handover),
    /// Reply to a handover.
    #[prost(message, tag = "26")]
    HandoverAnswer(HandoverAnswer),
    /// Asks whether the receiver holds a request.
    #[prost(message, tag = "27")]
    RequestQuery(RequestQuery),
    /// Reply to a request query.
    #[prost(message, tag = "28")]
    RequestFound(RequestQueryAnswer),
    /// Requests a change of a claim from the owner of its shard.
    #[prost(message, tag = "29")]
    ClaimRequest(ClaimRequest),
    /// Reply of the shard's owner to a claim request.
    #[prost(message, tag = "30")]
    ClaimAnswer(ClaimAnswer),
    /// Several committed settings edits.
    #[prost(message, tag = "31")]
    TreeChanges(TreeChanges),
    /// Periodic heartbeat of a gateway.
    #[prost(message, tag = "40")]
    GatewayBeat(GatewayHeartbeat),
    /// Requests the policy changes that the sender lacks from a gateway.
    #[prost(message, tag = "41")]
    PolicyRequest(PolicyRequest),
    /// Policy changes.
    #[prost(message, tag = "42")]
    PolicyAnswer(PolicyAnswer),
    /// Requests the list of back ends, or its changes, from a gateway.
    #[prost(message, tag = "43")]
    DirectoryRequest(DirectoryRequest),
    /// The list of back ends or its changes.
    #[prost(message, tag = "44")]
    DirectoryAnswer(DirectoryAnswer),
    /// Summary of the gateways of one zone, sent to another zone.
    #[prost(message, tag = "45")]
    ZoneSummary(ZoneSummary),
    /// Requests an engine from the gateway that places model requests.
    #[prost(message, tag = "46")]
    PlacementRequest(PlacementRequest),
    /// Reply with the chosen engine.
    #[prost(message, tag = "47")]
    PlacementReply(PlacementReply),
    /// Versions that a gateway has just adopted.
    #[prost(message, tag = "48")]
    VersionNews(VersionUpdate),
    /// Requests the usage known to a gateway.
    #[prost(message, tag = "49")]
    UsageRequest(UsageRequest),
    /// Reply with the usage known to a gateway.
    #[prost(message, tag = "50")]
    UsageKnown(UsageAnswer),
    /// Evidence about requests during which back ends terminated.
    #[prost(message, tag = "51")]
    QuarantineNews(QuarantineUpdate),
    /// Requests all such evidence from a gateway.
    #[prost(message, tag = "52")]
    QuarantineRequest(QuarantineRequest),
    /// Requests a permit to send one request to an engine that names a limit.
    #[prost(message, tag = "53")]
    PermitRequest(PermitRequest),
    /// Reply to a permit request.
    #[prost(message, tag = "54")]
    PermitReply(PermitReply),
    /// Asks whether a gateway takes requests for engines that the sender can't reach.
    #[prost(message, tag = "55")]
    DelegationRequest(DelegationRequest),
    /// Reply to a delegation request.
    #[prost(message, tag = "56")]
    DelegationOffer(DelegationOffer),
    /// Versions that began streams, for gateways that hold them.
    #[prost(message, tag = "57")]
    StreamOriginUpdate(StreamOriginUpdate),
    /// Asks which version began a stream.
    #[prost(message, tag = "58")]
    StreamOriginRequest(StreamOriginRequest),
    /// Reply with the version that began a stream.
    #[prost(message, tag = "59")]
    StreamOriginReply(StreamOriginReply),
    /// Software versions that the control store holds.
    #[prost(message, tag = "60")]
    StoredVersions(StoredVersionsUpdate),
}

impl Envelope {
    /// Returns the encoded length of the message in bytes.
    pub fn size_bytes(&self) -> usize {
        self.encoded_len()
    }
}

impl Body {
    /// Returns the kind of message as named in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) | Self::GatewayBeat(_) => "heartbeat",
            Self::ProbeRequest(_) => "probe",
            Self::TreeRequest(_) | Self::TreeWhole(_) | Self::TreeChange(_) | Self::TreeChanges(_) => {
                "settings"
            }
            Self::Handover(_) | Self::HandoverAnswer(_) => "handover",
            Self::RequestQuery(_) | Self::RequestFound(_) => "request",
            Self::ClaimRequest(_) | Self::ClaimAnswer(_) => "claim",
            Self::PolicyRequest(_) | Self::PolicyAnswer(_) => "policy",
            Self::DirectoryRequest(_) | Self::DirectoryAnswer(_) => "back_ends",
            Self::ZoneSummary(_) => "zone_sum",
            Self::VersionNews(_) => "versions",
            Self::UsageRequest(_) | Self::UsageKnown(_) => "usage",
            Self::QuarantineNews(_) | Self::QuarantineRequest(_) => "quarantine",
            Self::PlacementRequest(_) | Self::PlacementReply(_) => "placement",
            Self::PermitRequest(_) | Self::PermitReply(_) => "permit",
            Self::DelegationRequest(_) | Self::DelegationOffer(_) => "delegation",
            Self::StreamOriginUpdate(_)
            | Self::StreamOriginRequest(_)
            | Self::StreamOriginReply(_)
            | Self::StoredVersions(_) => "stream_origin",
        }
    }
}

/// Periodic heartbeat with piggybacked updates.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Other nodes in the view of the sender.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberUpdate>,
    /// Back ends that the sender polled or received reports of recently.
    #[prost(message, repeated, tag = "2")]
    pub backends: Vec<BackendReport>,
    /// Back ends known to be leaving.
    #[prost(message, repeated, tag = "3")]
    pub leaving: Vec<LeavingBackend>,
    /// Demand of tenants at the sender.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<TenantDemand>,
    /// Digest of the machine list that the sender last read, if it reads the list for its zone; 0 if none.
    #[prost(fixed64, tag = "6")]
    pub machines_digest: u64,
    /// Whether the receiver is to reply immediately with a heartbeat.
    #[prost(bool, tag = "5")]
    pub wants_answer: bool,
}

/// State of one node in the view of another.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Zone of the node.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Address at which the node listens for peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Incarnation of the node.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// State: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Capacity of the node's network link in Mbit/s; 0 if unknown.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// Result of polling a back end.
#[derive(Clone, PartialEq, Message)]
pub struct BackendReport {
    /// Name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Node that polled the back end.
    #[prost(string, tag = "2")]
    pub observer: String,
    /// Sequence number of the poll at that node; later polls have higher numbers.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the back end responded.
    #[prost(bool, tag = "4")]
    pub up: bool,
    /// Number of running requests.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Prompt tokens waiting for prefill.
    #[prost(uint32, tag = "7")]
    pub queued_tokens: u32,
    /// Prefill throughput in prompt tokens per second.
    #[prost(uint32, tag = "8")]
    pub prefill_tokens_per_second: u32,
    /// Whether the back end reports that it is leaving.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Loaded model.
    #[prost(string, tag = "10")]
    pub model: String,
    /// Loaded version.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// A back end that is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingBackend {
    /// Name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// How the sender learned that the back end is leaving: `notice`, `list`, `tree` or `engine`.
    #[prost(string, tag = "2")]
    pub source: String,
    /// Milliseconds from sending until the back end stops; absent if it stops only once idle.
    #[prost(uint64, optional, tag = "3")]
    pub remaining_ms: Option<u64>,
}

/// Demand of a tenant at one node.
#[derive(Clone, PartialEq, Message)]
pub struct TenantDemand {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requested tokens per second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_second: u64,
    /// Requested plain calls per second.
    #[prost(uint64, tag = "3")]
    pub calls_per_second: u64,
}

/// Requests that the receiver probe another node.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    /// Node to probe.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Address of the node to probe.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Requests the receiver's settings tree, or the edits that the sender lacks.
#[derive(Clone, PartialEq, Message)]
pub struct TreeRequest {
    /// Revision in force at the sender; 0 if none.
    #[prost(uint64, tag = "1")]
    pub have_revision: u64,
}

/// Several committed settings edits, each based on the previous one.
#[derive(Clone, PartialEq, Message)]
pub struct TreeChanges {
    /// Edits in order.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<TreeChange>,
}

/// A document of the settings tree.
#[derive(Clone, PartialEq, Message)]
pub struct TreeDocument {
    /// Path.
    #[prost(string, tag = "1")]
    pub path: String,
    /// TOML text; absent for a deleted node.
    #[prost(string, optional, tag = "2")]
    pub text: Option<String>,
}

/// A complete settings tree.
#[derive(Clone, PartialEq, Message)]
pub struct TreeSnapshot {
    /// Revision; 0 if the sender has no settings.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Documents.
    #[prost(message, repeated, tag = "2")]
    pub documents: Vec<TreeDocument>,
}

/// One committed settings edit.
#[derive(Clone, PartialEq, Message)]
pub struct TreeChange {
    /// Revision before the edit.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
    /// Revision after the edit.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Changed documents.
    #[prost(message, repeated, tag = "3")]
    pub documents: Vec<TreeDocument>,
}

/// A model request handed over to another node, with the state needed to continue it.
#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    /// Request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Tenant.
    #[prost(string, tag = "2")]
    pub tenant: String,
    /// Service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Prompt.
    #[prost(string, tag = "4")]
    pub prompt: String,
    /// Session key; empty if none.
    #[prost(string, tag = "5")]
    pub session: String,
    /// Class of the request.
    #[prost(string, tag = "6")]
    pub class: String,
    /// Maximum number of tokens to generate.
    #[prost(uint32, tag = "7")]
    pub max_tokens: u32,
    /// Tokens generated so far; all of them were delivered or will be replayed.
    #[prost(string, repeated, tag = "8")]
    pub generated: Vec<String>,
    /// Whether the caller used the chat API.
    #[prost(bool, tag = "9")]
    pub chat: bool,
    /// Milliseconds until the request's deadline.
    #[prost(uint64, tag = "10")]
    pub remaining_ms: u64,
}

/// Reply to a handover.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverAnswer {
    /// Whether the node that replies has taken over the request.
    #[prost(bool, tag = "1")]
    pub taken: bool,
}

/// Asks whether the receiver holds a request.
#[derive(Clone, PartialEq, Message)]
pub struct RequestQuery {
    /// Request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Tenant on whose behalf the query is sent; requests of other tenants are not found.
    #[prost(string, tag = "2")]
    pub tenant: String,
}

/// Reply to a request query.
#[derive(Clone, PartialEq, Message)]
pub struct RequestQueryAnswer {
    /// Whether the sender holds the request.
    #[prost(bool, tag = "1")]
    pub found: bool,
    /// Address at which the sender serves callers.
    #[prost(string, tag = "2")]
    pub callers: String,
}
