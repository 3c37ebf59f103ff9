//! Messages between gateways.
//!
//! Heartbeats and version updates contain versions only. A gateway that lacks a newer policy or list of back
//! ends requests it and receives the changes, or the complete state if the changes are no longer known: for a
//! policy as compressed JSON of the project's own types, for the list of back ends as messages.

use prost::Message;

use crate::engine_message::{EngineDeparture, EngineLimit, EngineRejection};
use crate::message::MemberUpdate;
use crate::rollout_message::RolloutUpdate;

/// Periodic heartbeat of a gateway with its state.
#[derive(Clone, PartialEq, Message)]
pub struct GatewayHeartbeat {
    /// Other nodes in the view of the sender.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberUpdate>,
    /// Whether the receiver is to reply immediately.
    #[prost(bool, tag = "2")]
    pub wants_answer: bool,
    /// Version of the policy in force; 0 if none.
    #[prost(uint64, tag = "3")]
    pub policy_version: u64,
    /// Revision of the list of back ends; 0 if none.
    #[prost(uint64, tag = "4")]
    pub directory_revision: u64,
    /// Digest of the list of back ends.
    #[prost(fixed64, tag = "5")]
    pub directory_digest: u64,
    /// Work of tenants that the sender admitted in its current generation.
    #[prost(message, repeated, tag = "6")]
    pub quota_uses: Vec<QuotaUse>,
    /// Open work at back ends.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<BackendLoad>,
    /// Generation of the sender, under which it counts usage.
    #[prost(fixed64, tag = "8")]
    pub life: u64,
    /// Usage counted in the current generation.
    #[prost(message, repeated, tag = "9")]
    pub usage: Vec<UsageWindow>,
    /// Demand of callers at the sender.
    #[prost(message, repeated, tag = "10")]
    pub demands: Vec<ServiceDemand>,
    /// Statistics of each service's back ends observed by the sender; left out of most heartbeats.
    #[prost(message, repeated, tag = "11")]
    pub models: Vec<ServiceModel>,
    /// Recent slowness of individual back ends observed by the sender.
    #[prost(message, repeated, tag = "12")]
    pub slowness: Vec<BackendSlowness>,
    /// Number of members that the sender knows; 0 if not reported.
    #[prost(uint32, tag = "13")]
    pub members_known: u32,
    /// Rollouts in the view of the sender.
    #[prost(message, optional, tag = "14")]
    pub rollouts: Option<RolloutUpdate>,
    /// Time of day by the sender's clock, in milliseconds since 1970.
    #[prost(uint64, tag = "15")]
    pub time_ms: u64,
    /// Digest of the sender's evidence about requests during which back ends terminated; 0 if it has none.
    #[prost(fixed64, tag = "16")]
    pub quarantine_digest: u64,
    /// Limits of engines that the sender observed or heard of recently.
    #[prost(message, repeated, tag = "17")]
    pub engine_limits: Vec<EngineLimit>,
    /// Rejections by brittle engines that the sender observed or heard of recently.
    #[prost(message, repeated, tag = "18")]
    pub engine_rejections: Vec<EngineRejection>,
    /// Engines that the sender knows to leave by their own word.
    #[prost(message, repeated, tag = "19")]
    pub engine_departures: Vec<EngineDeparture>,
    /// Era of the store in which it counts `directory_revision`; 0 if not known.
    #[prost(uint64, tag = "20")]
    pub directory_era: u64,
    /// The newest usage window that the sender knows to be sent to the platform.
    #[prost(message, optional, tag = "21")]
    pub sent_window: Option<SentUsageWindow>,
    /// When the store confirmed that the sender's policy is the newest.
    #[prost(message, optional, tag = "22")]
    pub policy_confirmed: Option<StoreConfirmation>,
    /// When the store confirmed that the sender's list of back ends is the newest.
    #[prost(message, optional, tag = "23")]
    pub directory_confirmed: Option<StoreConfirmation>,
    /// When the store confirmed that the sender's rollout orders are the newest.
    #[prost(message, optional, tag = "24")]
    pub orders_confirmed: Option<StoreConfirmation>,
}

/// When the store confirmed that what a node holds of a resource is the newest.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StoreConfirmation {
    /// Era of the store; 0 if it names none.
    #[prost(uint64, tag = "1")]
    pub era: u64,
    /// Revision of the store within the era.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Time since then in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Versions that the sender holds, sent immediately when they are newer than before. With names of usual
/// length, the message takes 84 bytes. A heartbeat contains the same versions, but is too large to be sent on
/// each change of a back end.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct VersionUpdate {
    /// Version of the policy in force; 0 if none.
    #[prost(uint64, tag = "1")]
    pub policy_version: u64,
    /// Revision of the list of back ends; 0 if none.
    #[prost(uint64, tag = "2")]
    pub directory_revision: u64,
    /// Digest of the list of back ends.
    #[prost(fixed64, tag = "3")]
    pub directory_digest: u64,
    /// Generation of the sender, as in heartbeats; 0 if not reported. It is included because this message is
    /// often the first that a starting node sends.
    #[prost(uint64, tag = "4")]
    pub life: u64,
    /// Era of the store in which it counts `directory_revision`; 0 if not known.
    #[prost(uint64, tag = "5")]
    pub directory_era: u64,
    /// When the store confirmed that the sender's policy is the newest.
    #[prost(message, optional, tag = "6")]
    pub policy_confirmed: Option<StoreConfirmation>,
    /// When the store confirmed that the sender's list of back ends is the newest.
    #[prost(message, optional, tag = "7")]
    pub directory_confirmed: Option<StoreConfirmation>,
}

/// Sums of the observations of a service's back ends by the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceModel {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The sums, in the order of the engine model's list of numbers.
    #[prost(float, repeated, tag = "2")]
    pub sums: Vec<f32>,
}

/// Slowness of one back end relative to the expected times.
#[derive(Clone, PartialEq, Message)]
pub struct BackendSlowness {
    /// Back end.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// Weighted sum of the logarithms of the factors by which requests took longer than expected.
    #[prost(float, tag = "2")]
    pub logarithms: f32,
    /// Sum of the weights.
    #[prost(float, tag = "3")]
    pub weight: f32,
    /// Weighted sum of the logarithms of the factors by which it lastingly takes longer than its service.
    #[prost(float, tag = "4")]
    pub lasting_logarithms: f32,
    /// Sum of their weights; 0 if nothing is told of its lasting speed.
    #[prost(float, tag = "5")]
    pub lasting_weight: f32,
}

/// Summary of the gateways of one zone, computed by one of its relays for the other zones. The relay that
/// receives it forwards it unchanged to the gateways of its own zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneSummary {
    /// Zone that is summarized.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Relay that computed the summary.
    #[prost(string, tag = "2")]
    pub relay: String,
    /// Generation of the relay, during which it summed the quota uses.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Number of gateways of the zone from which the relay receives heartbeats, itself included.
    #[prost(uint32, tag = "4")]
    pub nodes_heard: u32,
    /// Work of tenants admitted by these gateways during the relay's generation.
    #[prost(message, repeated, tag = "5")]
    pub quota_uses: Vec<QuotaUse>,
    /// Open work of these gateways at back ends.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<BackendLoad>,
    /// Usage counted by these gateways.
    #[prost(message, repeated, tag = "7")]
    pub usage: Vec<UsageWindow>,
    /// Demand of callers at these gateways.
    #[prost(message, repeated, tag = "8")]
    pub demands: Vec<ServiceDemand>,
    /// Statistics of each service's back ends observed by these gateways; left out of most summaries.
    #[prost(message, repeated, tag = "9")]
    pub models: Vec<ServiceModel>,
    /// Recent slowness of individual back ends observed by these gateways.
    #[prost(message, repeated, tag = "10")]
    pub slowness: Vec<BackendSlowness>,
    /// Rollouts in the view of these gateways.
    #[prost(message, optional, tag = "11")]
    pub rollouts: Option<RolloutUpdate>,
    /// Digest of the relay's evidence about requests during which back ends terminated; 0 if it has none.
    #[prost(fixed64, tag = "12")]
    pub quarantine_digest: u64,
    /// Hashes of the gateway generations whose usage is included, 4 bytes each, in ascending order; empty if
    /// not reported.
    #[prost(fixed32, repeated, tag = "13")]
    pub usage_lives: Vec<u32>,
    /// Limits of engines that the relay observed or heard of recently.
    #[prost(message, repeated, tag = "14")]
    pub engine_limits: Vec<EngineLimit>,
    /// Rejections by brittle engines that the relay observed or heard of recently.
    #[prost(message, repeated, tag = "15")]
    pub engine_rejections: Vec<EngineRejection>,
    /// Engines that the relay knows to leave by their own word.
    #[prost(message, repeated, tag = "16")]
    pub engine_departures: Vec<EngineDeparture>,
    /// The newest usage window that the relay knows to be sent to the platform.
    #[prost(message, optional, tag = "17")]
    pub sent_window: Option<SentUsageWindow>,
}

/// A usage window that was sent to the platform.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SentUsageWindow {
    /// The window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Era of the store in which its counts were fixed.
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

/// Asks whether the receiver takes requests for a service whose engines the sender can't reach.
#[derive(Clone, PartialEq, Message)]
pub struct DelegationRequest {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// Reply to a delegation request.
#[derive(Clone, PartialEq, Message)]
pub struct DelegationOffer {
    /// Whether the sender takes such requests.
    #[prost(bool, tag = "1")]
    pub is_able: bool,
    /// Address at which it takes callers' requests.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Token by which it recognizes a delegated request.
    #[prost(fixed64, tag = "3")]
    pub token: u64,
    /// Requests that it has open at back ends.
    #[prost(uint32, tag = "4")]
    pub open_requests: u32,
    /// Whether it earns no retry for a request for which another node has earned.
    #[prost(bool, tag = "5")]
    pub heeds_earned: bool,
}

/// Requests a permit to send one request to an engine that names a limit, from the engine's permit node.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequest {
    /// Engine.
    #[prost(string, tag = "1")]
    pub backend: String,
    /// The engine's limit as the sender knows it.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<EngineLimit>,
    /// Rank of the request; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// The engine's newest rejection as the sender knows it, if it is brittle.
    #[prost(message, optional, tag = "4")]
    pub rejection: Option<EngineRejection>,
}

/// Reply of the permit node.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PermitReply {
    /// Whether one request may be sent.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// If not granted: milliseconds until the next permit is due.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
}

/// Demand of callers for one service at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceDemand {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests per second.
    #[prost(float, tag = "3")]
    pub requests: f32,
    /// Prompt tokens per second that need prefill.
    #[prost(float, tag = "4")]
    pub tokens: f32,
    /// Pairs of such a token with an earlier token, per second.
    #[prost(float, tag = "5")]
    pub pairs: f32,
    /// Streamed events per second.
    #[prost(float, tag = "6")]
    pub events: f32,
}

/// Work of a tenant admitted by the sender.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaUse {
    /// Tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Work admitted since the sender's start.
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
    /// Prompt tokens of the open requests whose response has not started.
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
    /// Requests whose execution started.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
}

/// Requests the usage known to the receiver.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UsageRequest {
    /// Whether the sender can decode sums of zones. To builds that do not set this field, gateways of other
    /// zones do not reply in a large deployment.
    #[prost(bool, tag = "1")]
    pub reads_zone_sums: bool,
}

/// Usage known to the sender, ended generations included.
#[derive(Clone, PartialEq, Message)]
pub struct UsageAnswer {
    /// Usage of each generation, for gateways that report their own usage to the sender.
    #[prost(message, repeated, tag = "1")]
    pub lives: Vec<GenerationUsage>,
    /// Usage of zones, for gateways of another zone of a large deployment.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneUsage>,
}

/// Usage summed over gateway generations of one zone.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneUsage {
    /// Zone of the gateways.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Hashes of the generations that are included, in ascending order; empty if unknown.
    #[prost(fixed32, repeated, tag = "2")]
    pub lives: Vec<u32>,
    /// The sums by window.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<UsageWindow>,
}

/// Usage counted by one generation of a gateway.
#[derive(Clone, PartialEq, Message)]
pub struct GenerationUsage {
    /// Name of the gateway.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Generation of the gateway.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Usage counted in this generation.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<UsageWindow>,
}

/// Requests the policy changes since the version that the sender holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PolicyRequest {
    /// Version that the sender holds; 0 if none.
    #[prost(uint64, tag = "1")]
    pub held_version: u64,
    /// Digest of that version.
    #[prost(fixed64, tag = "2")]
    pub held_digest: u64,
}

/// The changes since the version held by the requester, or the time after which to retry.
#[derive(Clone, PartialEq, Message)]
pub struct PolicyAnswer {
    /// The changes as compressed JSON; empty if none can be sent now.
    #[prost(bytes = "vec", tag = "2")]
    pub change: Vec<u8>,
    /// If other large responses occupy the link of the node that replies: milliseconds after which to retry.
    #[prost(uint32, tag = "3")]
    pub busy_for_ms: u32,
}

/// Requests the changes of the list of back ends since the revision that the sender holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DirectoryRequest {
    /// Revision that the sender holds; 0 if none.
    #[prost(uint64, tag = "1")]
    pub held_revision: u64,
    /// Whether the sender can decode lists whose names are sent once. Builds that only know lists as JSON do
    /// not set this field.
    #[prost(bool, tag = "2")]
    pub reads_names: bool,
    /// Era of the store in which it counts `held_revision`; 0 if not known.
    #[prost(uint64, tag = "3")]
    pub held_era: u64,
}

/// The changes of the list of back ends, the complete list, or the time after which to retry.
#[derive(Clone, PartialEq, Message)]
pub struct DirectoryAnswer {
    /// Revision of the list; 0 if none.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The complete list as compressed JSON for builds that cannot decode another form; empty for all others.
    #[prost(bytes = "vec", tag = "3")]
    pub compressed_json: Vec<u8>,
    /// If other responses occupy the link of the node that replies: milliseconds after which to retry.
    #[prost(uint32, tag = "4")]
    pub busy_for_ms: u32,
    /// Whether the message contains changes since the revision held by the requester; otherwise, it contains
    /// the complete list.
    #[prost(bool, tag = "5")]
    pub is_change: bool,
    /// Names of services, zones and versions, to which the back ends refer by index.
    #[prost(string, repeated, tag = "6")]
    pub names: Vec<String>,
    /// Added and changed back ends, or all back ends.
    #[prost(message, repeated, tag = "7")]
    pub listed: Vec<ListedBackend>,
    /// Removed back ends.
    #[prost(string, repeated, tag = "8")]
    pub gone: Vec<String>,
    /// Era of the store in which it counts `revision`; 0 if not known.
    #[prost(uint64, tag = "9")]
    pub era: u64,
}

/// A back end in a list, about 40 bytes when encoded.
#[derive(Clone, PartialEq, Message)]
pub struct ListedBackend {
    /// Instance name under which the back end is listed.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Index of the service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// Index of the zone's name.
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    /// Address at which the back end listens.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Number of requests that the back end processes concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the back end is leaving.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Whether the back end may be reclaimed at short notice.
    #[prost(bool, tag = "7")]
    pub reclaimable: bool,
    /// Start of the back end's current generation in milliseconds since 1970, if it reports that.
    #[prost(uint64, optional, tag = "8")]
    pub born_ms: Option<u64>,
    /// Index of the version's name.
    #[prost(uint32, tag = "9")]
    pub version: u32,
    /// Time left until the back end is gone, in milliseconds when it was announced, if it named one.
    #[prost(uint64, optional, tag = "10")]
    pub leaves_in_ms: Option<u64>,
}
