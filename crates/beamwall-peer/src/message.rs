//! Messages between nodes.
//!
//! Fields are tagged, so a newer node may add fields and an older one ignores them. Tags are never
//! reused.

use prost::{Message, Oneof};

use crate::gateway_message::{
    DirectoryAnswer, DirectoryRequest, GatewayHeartbeat, PlacementReply, PlacementRequest, PolicyAnswer,
    PolicyRequest, UsageAnswer, UsageRequest, VersionUpdate, ZoneSummary,
};
use crate::quarantine_message::{QuarantineRequest, QuarantineUpdate};

/// Every message: who sends it, what the sender holds, and the body.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// Incarnation of the sender: rises at each start and each refuted suspicion.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address at which the sender listens for peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Settings revision in force at the sender; 0 for none.
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
    /// Number of a question that wants an answer; 0 for none.
    #[prost(uint64, tag = "9")]
    pub question: u64,
    /// Number of the question that this message answers; 0 for none.
    #[prost(uint64, tag = "10")]
    pub answers: u64,
    /// Capacity of the sender's network link in Mbit/s; 0 where it is not known.
    #[prost(uint32, tag = "11")]
    pub link_mbps: u32,
    /// The body.
    #[prost(
        oneof = "Body",
        tags = "20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 52"
    )]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Periodic sign of life with piggybacked news.
    #[prost(message, tag = "20")]
    Heartbeat(Heartbeat),
    /// Asks the receiver to probe another node.
    #[prost(message, tag = "21")]
    ProbeRequest(ProbeRequest),
    /// Asks for the receiver's settings tree.
    #[prost(message, tag = "22")]
    TreeRequest(TreeRequest),
    /// A whole settings tree.
    #[prost(message, tag = "23")]
    TreeWhole(TreeSnapshot),
    /// One committed settings edit.
    #[prost(message, tag = "24")]
    TreeChange(TreeChange),
    /// A request handed to the receiver.
    #[prost(message, tag = "25")]
    Handover(Handover),
    /// Whether a handover was taken.
    #[prost(message, tag = "26")]
    HandoverAnswer(HandoverAnswer),
    /// Asks whether the receiver holds a request.
    #[prost(message, tag = "27")]
    RequestQuery(RequestQuery),
    /// The answer to a query for a request.
    #[prost(message, tag = "28")]
    RequestFound(RequestQueryAnswer),
    /// Asks the owner of a claim shard for a change.
    #[prost(message, tag = "29")]
    ClaimRequest(ClaimRequest),
    /// The owner's decision.
    #[prost(message, tag = "30")]
    ClaimAnswer(ClaimAnswer),
    /// Several committed settings edits.
    #[prost(message, tag = "31")]
    TreeChanges(TreeChanges),
    /// Periodic sign of life of a gateway.
    #[prost(message, tag = "40")]
    GatewayBeat(GatewayHeartbeat),
    /// Asks a gateway what changed in its policy.
    #[prost(message, tag = "41")]
    PolicyRequest(PolicyRequest),
    /// What changed in a policy.
    #[prost(message, tag = "42")]
    PolicyAnswer(PolicyAnswer),
    /// Asks a gateway for its list of back ends.
    #[prost(message, tag = "43")]
    DirectoryRequest(DirectoryRequest),
    /// A whole list of back ends.
    #[prost(message, tag = "44")]
    DirectoryAnswer(DirectoryAnswer),
    /// What the gateways of one zone do, for another zone.
    #[prost(message, tag = "45")]
    ZoneSummary(ZoneSummary),
    /// Asks the gateway that places model requests for an engine.
    #[prost(message, tag = "46")]
    PlacementRequest(PlacementRequest),
    /// The engine that it chose.
    #[prost(message, tag = "47")]
    PlacementReply(PlacementReply),
    /// Versions that a gateway has just taken.
    #[prost(message, tag = "48")]
    VersionNews(VersionUpdate),
    /// Asks a gateway for the usage that it knows.
    #[prost(message, tag = "49")]
    UsageRequest(UsageRequest),
    /// The usage that it knows.
    #[prost(message, tag = "50")]
    UsageKnown(UsageAnswer),
    /// What a gateway knows of requests under which back ends end.
    #[prost(message, tag = "51")]
    QuarantineNews(QuarantineUpdate),
    /// Asks a gateway for all that it knows of them.
    #[prost(message, tag = "52")]
    QuarantineRequest(QuarantineRequest),
}

impl Envelope {
    /// Length of the whole message as sent, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.encoded_len()
    }
}

impl Body {
    /// The kind of message in metrics.
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
        }
    }
}

/// Periodic sign of life with piggybacked news.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// What the sender knows of other nodes.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberUpdate>,
    /// Back ends that the sender polled or heard of lately.
    #[prost(message, repeated, tag = "2")]
    pub backends: Vec<BackendReport>,
    /// Back ends known to be leaving.
    #[prost(message, repeated, tag = "3")]
    pub leaving: Vec<LeavingBackend>,
    /// What tenants want at the sender.
    #[prost(message, repeated, tag = "4")]
    pub demands: Vec<TenantDemand>,
    /// Digest of the machine list that the sender, a reader of its zone, read last; 0 for none.
    #[prost(fixed64, tag = "6")]
    pub machines_digest: u64,
    /// Whether the receiver shall answer at once with a heartbeat.
    #[prost(bool, tag = "5")]
    pub wants_answer: bool,
}

/// What one node knows of another.
#[derive(Clone, PartialEq, Message)]
pub struct MemberUpdate {
    /// Name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Address for peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// State: 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Capacity of its network link in Mbit/s; 0 where it is not known.
    #[prost(uint32, tag = "6")]
    pub link_mbps: u32,
}

/// A back end as polled.
#[derive(Clone, PartialEq, Message)]
pub struct BackendReport {
    /// Name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Node that polled it.
    #[prost(string, tag = "2")]
    pub observer: String,
    /// Number of the poll at that node; newer is larger.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether it answered.
    #[prost(bool, tag = "4")]
    pub up: bool,
    /// Running requests.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// Waiting requests.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    #[prost(uint32, tag = "7")]
    pub queued_tokens: u32,
    /// Prompt tokens computed a second.
    #[prost(uint32, tag = "8")]
    pub prefill_tokens_per_second: u32,
    /// Whether it says that it is leaving.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Model loaded.
    #[prost(string, tag = "10")]
    pub model: String,
    /// Version loaded.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// A back end that is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingBackend {
    /// Name.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// How it was learned: `notice`, `list`, `tree` or `engine`.
    #[prost(string, tag = "2")]
    pub source: String,
    /// Milliseconds from sending until the back end stops; absent when it stops only once idle.
    #[prost(uint64, optional, tag = "3")]
    pub remaining_ms: Option<u64>,
}

/// What a tenant wants at one node.
#[derive(Clone, PartialEq, Message)]
pub struct TenantDemand {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Tokens asked for a second.
    #[prost(uint64, tag = "2")]
    pub tokens_per_second: u64,
    /// Plain calls asked for a second.
    #[prost(uint64, tag = "3")]
    pub calls_per_second: u64,
}

/// Asks the receiver to probe another node.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    /// Node to probe.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its address.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Asks for the receiver's settings tree, or for the edits that the sender lacks.
#[derive(Clone, PartialEq, Message)]
pub struct TreeRequest {
    /// Revision in force at the sender; 0 for none.
    #[prost(uint64, tag = "1")]
    pub have_revision: u64,
}

/// Several committed settings edits, each on top of the one before.
#[derive(Clone, PartialEq, Message)]
pub struct TreeChanges {
    /// The edits.
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

/// A whole settings tree.
#[derive(Clone, PartialEq, Message)]
pub struct TreeSnapshot {
    /// Revision; 0 when the sender holds none.
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

/// A model request moved to another node with all that is needed to continue it.
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
    /// Session key; empty for none.
    #[prost(string, tag = "5")]
    pub session: String,
    /// Class.
    #[prost(string, tag = "6")]
    pub class: String,
    /// Most tokens wanted.
    #[prost(uint32, tag = "7")]
    pub max_tokens: u32,
    /// Tokens generated so far; all of them were delivered or will be replayed.
    #[prost(string, repeated, tag = "8")]
    pub generated: Vec<String>,
    /// Whether the caller asked in chat form.
    #[prost(bool, tag = "9")]
    pub chat: bool,
    /// Milliseconds left until the request's deadline.
    #[prost(uint64, tag = "10")]
    pub remaining_ms: u64,
}

/// Whether a handover was taken.
#[derive(Clone, PartialEq, Message)]
pub struct HandoverAnswer {
    /// Whether the receiver now holds the request.
    #[prost(bool, tag = "1")]
    pub taken: bool,
}

/// Asks whether the receiver holds a request.
#[derive(Clone, PartialEq, Message)]
pub struct RequestQuery {
    /// Request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Tenant that asks; another tenant's request is not found.
    #[prost(string, tag = "2")]
    pub tenant: String,
}

/// The answer to a query for a request.
#[derive(Clone, PartialEq, Message)]
pub struct RequestQueryAnswer {
    /// Whether the sender holds it.
    #[prost(bool, tag = "1")]
    pub found: bool,
    /// Address at which the sender serves callers.
    #[prost(string, tag = "2")]
    pub callers: String,
}

/// What is asked of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimRequestKind {
    /// Take the claim.
    Take = 0,
    /// Record the answer.
    Complete = 1,
    /// Give the claim up.
    Release = 2,
}

/// Asks the owner of a claim shard for a change.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// What is asked.
    #[prost(enumeration = "ClaimRequestKind", tag = "1")]
    pub kind: i32,
    /// Key with its scope.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Attempt that asks.
    #[prost(string, tag = "3")]
    pub attempt: String,
    /// Digest of the call, for a take.
    #[prost(string, tag = "4")]
    pub call: String,
    /// The answer to record.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<CallAnswer>,
}

/// A recorded answer.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// Status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body; absent when it was too large to keep.
    #[prost(string, optional, tag = "3")]
    pub body: Option<String>,
}

/// How a change of a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimResult {
    /// The claim is the asker's, or the change was made.
    Granted = 0,
    /// The call has run before; the answer is given.
    Replay = 1,
    /// Another attempt holds the claim.
    Taken = 2,
    /// The key was used for another call.
    OtherCall = 3,
    /// The shard is full.
    Full = 4,
    /// Nothing was written.
    NotWritten = 5,
    /// The change may have been written.
    Undecided = 6,
}

/// The owner's decision.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimAnswer {
    /// How it ended.
    #[prost(enumeration = "ClaimResult", tag = "1")]
    pub result: i32,
    /// Why nothing was or may have been written.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// The answer of an earlier run.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<CallAnswer>,
}
