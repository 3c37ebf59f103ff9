//! Messages between gateways.
//!
//! Heartbeats and news tell versions, not contents: whoever lacks a newer policy or list of back ends asks for
//! it, and is told what changed, or all where that is not known any more: of a policy as compressed JSON of the product's own
//! types, of the list of back ends as messages.

use prost::Message;

use crate::message::MemberUpdate;
use crate::rollout_message::RolloutUpdate;

/// Periodic sign of life of a gateway with what the others need to know of it.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayHeartbeat {
    /// What the sender knows of other nodes.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberUpdate>,
    /// Whether the receiver shall answer at once.
    #[prost(bool, tag = "2")]
    pub wants_answer: bool,
    /// Version of the policy in force; 0 for none.
    #[prost(uint64, tag = "3")]
    pub policy_version: u64,
    /// Revision of the list of back ends; 0 for none.
    #[prost(uint64, tag = "4")]
    pub directory_revision: u64,
    /// Digest of the list of back ends.
    #[prost(fixed64, tag = "5")]
    pub directory_digest: u64,
    /// Work of tenants that the sender let pass in this life.
    #[prost(message, repeated, tag = "6")]
    pub quota_uses: Vec<QuotaUse>,
    /// Open work at back ends.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<BackendLoad>,
    /// Number of the sender's life, under which it counts usage.
    #[prost(fixed64, tag = "8")]
    pub life: u64,
    /// Usage counted in this life.
    #[prost(message, repeated, tag = "9")]
    pub usage: Vec<UsageWindow>,
    /// Work that callers ask for at the sender.
    #[prost(message, repeated, tag = "10")]
    pub demands: Vec<ServiceDemand>,
    /// What the sender observed of services' back ends; left out of most heartbeats.
    #[prost(message, repeated, tag = "11")]
    pub models: Vec<ServiceModel>,
    /// What the sender observed lately of single back ends.
    #[prost(message, repeated, tag = "12")]
    pub slowness: Vec<BackendSlowness>,
    /// Members that the sender knows; 0 where it does not say.
    #[prost(uint32, tag = "13")]
    pub members_known: u32,
    /// Rollouts as the sender knows them.
    #[prost(message, optional, tag = "14")]
    pub rollouts: Option<RolloutUpdate>,
    /// Time of day by the sender's own clock, in milliseconds since 1970.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// Digest of what the sender knows of requests under which back ends end; 0 for nothing.
    #[prost(fixed64, tag = "16")]
    pub quarantine_digest: u64,
}

/// What the sender holds, told at once when it is newer than before. With names of usual length it
/// takes 84 bytes; a heartbeat tells the same among much else, too much for each change of a back end.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionUpdate {
    /// Version of the policy in force; 0 for none.
    #[prost(uint64, tag = "1")]
    pub policy_version: u64,
    /// Revision of the list of back ends; 0 for none.
    #[prost(uint64, tag = "2")]
    pub directory_revision: u64,
    /// Digest of the list of back ends.
    #[prost(fixed64, tag = "3")]
    pub directory_digest: u64,
    /// Number of the sender's life, as in heartbeats: the first word of a node that starts is often this one; 0 where it is not told.
    #[prost(uint64, tag = "4")]
    pub life: u64,
}

/// Sums over what the sender observed of a service's back ends.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceModel {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The sums in the order of the engine model's list of numbers.
    #[prost(float, repeated, tag = "2")]
    pub sums: Vec<f32>,
}

/// How much longer than expected one back end took.
#[derive(Clone, PartialEq, Message)]
pub struct BackendSlowness {
    /// Back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Sum of the logarithms of the factors by which requests took longer, each times its weight.
    #[prost(float, tag = "2")]
    pub logarithms: f32,
    /// Sum of the weights.
    #[prost(float, tag = "3")]
    pub weight: f32,
}

/// What the gateways of one zone do, summed by one of its relays for the other zones. The relay that
/// gets it passes it on, unchanged, to the gateways of its own zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneSummary {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The relay that summed.
    #[prost(string, tag = "2")]
    pub relay: String,
    /// Number of the relay's life, during which it summed quota uses.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Gateways of the zone that the relay hears, itself included.
    #[prost(uint32, tag = "4")]
    pub nodes_heard: u32,
    /// Work of tenants that they let pass during the relay's life.
    #[prost(message, repeated, tag = "5")]
    pub quota_uses: Vec<QuotaUse>,
    /// Their open work at back ends.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<BackendLoad>,
    /// Usage that they counted.
    #[prost(message, repeated, tag = "7")]
    pub usage: Vec<UsageWindow>,
    /// Work that callers ask for at them.
    #[prost(message, repeated, tag = "8")]
    pub demands: Vec<ServiceDemand>,
    /// What they observed of services' back ends; left out of most sums.
    #[prost(message, repeated, tag = "9")]
    pub models: Vec<ServiceModel>,
    /// What they observed lately of single back ends.
    #[prost(message, repeated, tag = "10")]
    pub slowness: Vec<BackendSlowness>,
    /// Rollouts as they know them.
    #[prost(message, optional, tag = "11")]
    pub rollouts: Option<RolloutUpdate>,
    /// Digest of what the relay knows of requests under which back ends end; 0 for nothing.
    #[prost(fixed64, tag = "12")]
    pub quarantine_digest: u64,
}

/// Work that callers ask for at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceDemand {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests a second.
    #[prost(float, tag = "3")]
    pub requests: f32,
    /// Prompt tokens a second that must be read.
    #[prost(float, tag = "4")]
    pub tokens: f32,
    /// Pairs of such a token with one before it, a second.
    #[prost(float, tag = "5")]
    pub pairs: f32,
    /// Events a second that are streamed.
    #[prost(float, tag = "6")]
    pub events: f32,
}

/// Work of a tenant that the sender let pass.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaUse {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Work since the sender's start.
    #[prost(double, tag = "2")]
    pub passed: f64,
}

/// Open work of the sender at one back end.
#[derive(Clone, PartialEq, Message)]
pub struct BackendLoad {
    /// Back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Open requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens of those that have not begun to answer.
    #[prost(uint64, tag = "3")]
    pub prompt_tokens: u64,
}

/// Usage of one window.
#[derive(Clone, PartialEq, Message)]
pub struct UsageWindow {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Requests by tenant.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<UsageCount>,
}

/// Requests of one tenant.
#[derive(Clone, PartialEq, Message)]
pub struct UsageCount {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Requests that began to run.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// Asks for the usage that the receiver knows.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UsageRequest {}

/// Usage by life of a gateway, also of lives that have ended.
#[derive(Clone, PartialEq, Message)]
pub struct UsageAnswer {
    /// The lives.
    #[prost(message, repeated, tag = "1")]
    pub lives: Vec<GenerationUsage>,
}

/// Usage that one life of a gateway counted.
#[derive(Clone, PartialEq, Message)]
pub struct GenerationUsage {
    /// Name of the gateway.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Number of the life.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// What it counted.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<UsageWindow>,
}

/// Asks what changed in the policy since the version that the sender holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PolicyRequest {
    /// Version that the sender holds; 0 for none.
    #[prost(uint64, tag = "1")]
    pub held_version: u64,
    /// Digest of that version.
    #[prost(fixed64, tag = "2")]
    pub held_digest: u64,
}

/// What changed since the version that the asker holds, or when to ask again.
#[derive(Clone, PartialEq, Message)]
pub struct PolicyAnswer {
    /// The change as compressed JSON; empty while none can be told.
    #[prost(bytes = "vec", tag = "2")]
    pub change: Vec<u8>,
    /// While other large answers take the sender's link: milliseconds until it may be asked again.
    #[prost(uint32, tag = "3")]
    pub busy_for_ms: u32,
}

/// Asks what changed in the list of back ends since the revision that the sender holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DirectoryRequest {
    /// Revision that the sender holds; 0 for none.
    #[prost(uint64, tag = "1")]
    pub held_revision: u64,
    /// Whether the sender reads lists with names sent once. Builds that tell lists as JSON only don't say so.
    #[prost(bool, tag = "2")]
    pub reads_names: bool,
}

/// What changed in the list of back ends, the whole list, or when to ask again.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryAnswer {
    /// The list's revision; 0 for none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The whole list as compressed JSON, for builds that read no other form; empty for all others.
    #[prost(bytes = "vec", tag = "3")]
    pub compressed_json: Vec<u8>,
    /// While other answers take the sender's link: milliseconds until it may be asked again.
    #[prost(uint32, tag = "4")]
    pub busy_for_ms: u32,
    /// Whether these are changes that follow the revision held by the asker; otherwise the whole list.
    #[prost(bool, tag = "5")]
    pub is_change: bool,
    /// Names of services, zones and versions, to which the back ends refer by position.
    #[prost(string, repeated, tag = "6")]
    pub names: Vec<String>,
    /// Back ends that came or changed, or all.
    #[prost(message, repeated, tag = "7")]
    pub listed: Vec<ListedBackend>,
    /// Back ends that are gone.
    #[prost(string, repeated, tag = "8")]
    pub gone: Vec<String>,
}

/// A back end in a list: some 40 bytes.
#[derive(Clone, PartialEq, Message)]
pub struct ListedBackend {
    /// The name by which it is listed.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Position of its service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// Position of its zone's name.
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    /// Where it listens.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Whether it may be taken away at short notice.
    #[prost(bool, tag = "7")]
    pub reclaimable: bool,
    /// When this life of it began, in milliseconds since 1970, where it tells that.
    #[prost(uint64, optional, tag = "8")]
    pub born_ms: Option<u64>,
    /// Position of its version's name.
    #[prost(uint32, tag = "9")]
    pub version: u32,
}

/// Asks the receiver, which places model requests for all gateways, for an engine.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementRequest {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Tokens of the whole prompt.
    #[prost(uint32, tag = "2")]
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    #[prost(uint32, tag = "3")]
    pub output_tokens: u32,
    /// The prompt's parts in order.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<PlacementPart>,
    /// Engines that it was sent to before.
    #[prost(string, repeated, tag = "5")]
    pub tried: Vec<String>,
    /// Engines that the sender could not reach a moment ago.
    #[prost(string, repeated, tag = "6")]
    pub unreachable: Vec<String>,
    /// Longest pause between two events that keeps the stream in time, in milliseconds.
    #[prost(uint64, optional, tag = "7")]
    pub pause_objective_ms: Option<u64>,
    /// Time that the caller still waits, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub remaining_ms: u64,
    /// Number of the group of engines among which one is chosen.
    #[prost(uint32, tag = "9")]
    pub group: u32,
    /// Number of groups; 0 and 1 for all engines.
    #[prost(uint32, tag = "10")]
    pub groups: u32,
    /// Expected time to begin, in milliseconds, beyond which the sender asks another group.
    #[prost(double, optional, tag = "11")]
    pub enough_ms: Option<f64>,
    /// What the sender observed lately of single engines of the group, and has not reported yet.
    #[prost(message, repeated, tag = "12")]
    pub observed: Vec<BackendSlowness>,
}

/// One part of a prompt.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PlacementPart {
    /// Identifies the part's text together with all parts before it.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Its length in tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// The engine chosen for a request, with what decided.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementReply {
    /// The engine; empty when none was found.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Cost by which it was chosen, in milliseconds.
    #[prost(double, tag = "2")]
    pub cost_ms: f64,
    /// Prompt tokens that it has to read.
    #[prost(uint64, tag = "3")]
    pub unread_tokens: u64,
    /// Requests open there.
    #[prost(uint32, tag = "4")]
    pub open_requests: u32,
    /// Share of its requests that failed lately, 0 to 1.
    #[prost(double, tag = "5")]
    pub failure_share: f64,
    /// Engines that were compared.
    #[prost(uint32, tag = "6")]
    pub candidates: u32,
    /// Pairs of an unread token with one before it.
    #[prost(uint64, tag = "7")]
    pub unread_pairs: u64,
    /// Tokens of other prompts that are read before.
    #[prost(uint64, tag = "8")]
    pub tokens_ahead: u64,
    /// Expected time until it begins to answer, in milliseconds, where it is known.
    #[prost(double, optional, tag = "9")]
    pub expected_ms: Option<f64>,
    /// Factor by which the engine takes longer than its service usually does, which is in the expected time; 0 where it is not told.
    #[prost(double, tag = "10")]
    pub slowness: f64,
}
