//! Ports to external systems: request and response heads, the control store, and the duties of the lease
//! holder.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use beamwall_engine_limits::{LimitNotice, RestNotice};
use beamwall_model::{InstanceName, ServiceName, StoreRevision, TenantName, ZoneName};
use beamwall_policy::TrafficPolicy;
use beamwall_rollout::{OrderId, RolloutOrder, Verdict};
use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode};
use quick_error::quick_error;
use tokio::sync::watch;

use crate::directory::Backend;
use crate::usage::WindowCounts;

/// Shared parts of one prompt that are considered; a prompt usually has fewer than ten.
pub const MAX_SHARED_PARTS: usize = 64;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of this part and all parts before it.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt as described by the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Total number of tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
    /// The parts in order; the last one belongs only to this request or session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The parts that other requests may share, at most [`MAX_SHARED_PARTS`].
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().take(MAX_SHARED_PARTS).map(|part| part.id)
    }
}

/// Data read from the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's identifier of this try of the request.
    pub request_id: Option<String>,
    /// Time after which the caller gives up.
    pub caller_timeout: Option<Duration>,
    /// The API key.
    pub key: Option<String>,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// The last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The caller's identifier of the try that brought the stream's first event, when it resumes a stream.
    pub resumes: Option<String>,
    /// The mark of a request that a peer delegates to this node. A caller may have set it.
    pub delegation: Option<DelegationMark>,
}

/// What a node tells the peer to which it delegates a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelegationMark {
    /// The token by which the peer recognizes it.
    pub token: u64,
    /// Whether another node has earned the request's fraction of a retry.
    pub has_earned: bool,
}

/// Data that the gateway sets in the head of a forwarded request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardHead<'a> {
    /// The only back end instance that may execute the request.
    pub instance: &'a InstanceName,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// The tenant that sent the request.
    pub tenant: Option<&'a TenantName>,
    /// Rank among the back end's requests; 0 is the most urgent.
    pub rank: u8,
    /// The last event that was delivered, when a stream is continued.
    pub last_event: Option<u64>,
    /// The memory from which a run is continued, when it was moved.
    pub memory: Option<&'a MemorySource>,
}

/// The memory of a run that was stopped, at the engine that ran it and as a copy at another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemorySource {
    /// Address of the engine that ran it.
    pub engine: SocketAddr,
    /// The handle by which both engines know it. It serves once.
    pub handle: String,
}

/// An order to copy the memory of a run to another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveRequest<'a> {
    /// Identifier of the request that runs.
    pub request_id: &'a str,
    /// Address of the engine that receives the copy.
    pub target: SocketAddr,
    /// Whether the run stops first. Otherwise it goes on, and what it adds must be copied later.
    pub stops_run: bool,
}

/// An engine's reply to an order to copy memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveReply {
    /// The copy is complete.
    Copied {
        /// The handle of the copy.
        handle: String,
    },
    /// No such run: it has ended.
    RunEnded,
    /// Another order for the same run is being carried out.
    Busy,
    /// The copy can't be made. If the run was stopped, its memory can be used at the source by this handle.
    Refused {
        /// The handle; `None` if the run goes on.
        handle: Option<String>,
    },
    /// The reply can't be understood.
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// Data read from the head of a back end's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that this is a response to.
    pub request_id: Option<String>,
    /// Whether it was signed by a back end.
    pub is_signed: bool,
    /// Whether it proves that the request was not executed.
    pub proves_not_run: bool,
    /// What it says about the requests that its back end takes.
    pub limit: LimitNotice,
    /// The rejections a second at which its back end terminates, if it says that there are any.
    pub brittleness: LimitNotice,
    /// Whether it says that its back end leaves.
    pub is_leaving: bool,
    /// How long its back end, which rejected the request, wants nothing from this node.
    pub rest: RestNotice,
    /// How often the peer that refused a delegated request had sent it to back ends, if it says so.
    pub sent_by_peer: Option<u32>,
}

/// Reads and writes request and response heads.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;
    /// The headers of a forwarded request: the caller's headers without hop-by-hop headers and the API key,
    /// plus the headers that the gateway sets.
    fn forward_headers(&self, from_caller: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap;
    /// The headers of a request that is delegated to a peer with this mark: the caller's headers without
    /// hop-by-hop headers, and the time left.
    fn delegated_headers(
        &self,
        from_caller: &HeaderMap,
        remaining: Duration,
        mark: DelegationMark,
    ) -> HeaderMap;
    /// The headers of a request that every back end answers and none executes.
    fn probe_headers(&self) -> HeaderMap;
    /// Reads the head of a back end's response.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// The headers of a response to the caller: the back end's headers without hop-by-hop headers.
    fn response_headers(&self, from_backend: &HeaderMap) -> HeaderMap;
    /// The request that orders an engine to copy the memory of a run.
    fn move_request(&self, order: &MoveRequest<'_>) -> Request<Bytes>;
    /// Reads the reply to it.
    fn read_move_reply(&self, status: StatusCode, body: &[u8]) -> MoveReply;
    /// The request that frees the memory of a stopped run, and its copy.
    fn release_request(&self, handle: &str) -> Request<Bytes>;
    /// Marks a response generated by the gateway with the caller's request identifier.
    fn mark_refusal(&self, headers: &mut HeaderMap, request_id: &str);
    /// Tells the peer that delegated a request, in its refusal, how often this node has sent it to back ends.
    fn mark_sent(&self, headers: &mut HeaderMap, sent: u32);
}

/// All back ends at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectorySnapshot {
    /// The store's revision.
    pub revision: StoreRevision,
    /// The back ends.
    pub backends: Vec<Backend>,
}

/// One page of the list of back ends, in the order of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryPage {
    /// The store's revision.
    pub revision: StoreRevision,
    /// The back ends.
    pub backends: Vec<Backend>,
    /// The last entry of this page, to request the next page; `None` on the last page.
    pub last: Option<String>,
    /// Entries that could not be parsed as a back end.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of the list that can't be parsed, for example one written by another program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The entry's name; empty if it can't be read either.
    pub name: String,
    /// Why it can't be parsed.
    pub reason: String,
}

/// Result of a watch over the back ends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchedBackends {
    /// The changes; a back end whose entry can no longer be parsed counts as gone.
    pub changes: DirectoryChanges,
    /// Entries that were written and could not be parsed as a back end.
    pub unreadable: Vec<UnreadableEntry>,
}

/// A change to one back end.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryChange {
    /// A back end was added or changed.
    Changed(Backend),
    /// A back end was removed.
    Gone(InstanceName),
}

impl DirectoryChange {
    /// The instance that changed.
    pub fn instance(&self) -> &InstanceName {
        match self {
            Self::Changed(backend) => &backend.instance,
            Self::Gone(instance) => instance,
        }
    }
}

/// Changes to the back ends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryChanges {
    /// The store's revision after these changes.
    pub revision: StoreRevision,
    /// The changes in order.
    pub changes: Vec<DirectoryChange>,
}

/// A policy and the revision from which to continue watching.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyAnswer {
    /// The store's revision.
    pub revision: StoreRevision,
    /// The newest policy; `None` if there is none or, for a watch, no newer one.
    pub policy: Option<TrafficPolicy>,
}

quick_error! {
    /// Errors of the control store.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ControlStoreError {
        /// The store is unreachable, slow, or rejects this node.
        Unavailable(reason: String) {
            display("store unavailable: {}", reason)
        }
        /// The store no longer has the history since the given revision, or is in a later era than that; the list
        /// must be read again.
        HistoryGone {
            display("the store has forgotten the revision to watch from")
        }
        /// The store's response could not be parsed.
        Unreadable(reason: String) {
            display("unreadable answer from the store: {}", reason)
        }
    }
}

/// The eras of the store as this process knows them.
pub trait StoreEras: Send + Sync + 'static {
    /// The newest era known, 0 while none is, and its changes.
    fn era(&self) -> watch::Receiver<u64>;
    /// Learns of an era from a peer.
    fn learn_era_from_peer(&self, era: u64);
}

/// The control store, which holds the operator's settings and the list of back ends.
#[async_trait]
pub trait ControlStore: StoreEras {
    /// Reads the newest policy.
    async fn policy(&self) -> Result<PolicyAnswer, ControlStoreError>;
    /// Waits up to `wait` for a policy newer than `revision`.
    async fn watch_policy(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<PolicyAnswer, ControlStoreError>;
    /// Reads a page of the list of back ends: the first one, or the one after the given entry.
    async fn backends(&self, after: Option<&str>) -> Result<DirectoryPage, ControlStoreError>;
    /// Waits up to `wait` for changes of the back ends after `revision`.
    async fn watch_backends(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<WatchedBackends, ControlStoreError>;
    /// Reads a policy that may be stale by seconds; cheaper for the store.
    async fn recent_policy(&self) -> Result<PolicyAnswer, ControlStoreError>;
    /// Reads a page of a list of back ends that may be stale by seconds; cheaper for the store.
    async fn recent_backends(&self, after: Option<&str>) -> Result<DirectoryPage, ControlStoreError>;
}

/// Rollout orders as listed by the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListedOrders {
    /// The store's revision.
    pub revision: StoreRevision,
    /// The orders that could be parsed.
    pub orders: Vec<ListedOrder>,
}

/// A rollout order in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedOrder {
    /// The order.
    pub order: RolloutOrder,
    /// The store's revision of its last change.
    pub revision: StoreRevision,
    /// The verdict in its status.
    pub verdict: Verdict,
}

/// The store of rollout orders.
#[async_trait]
pub trait RolloutStore: StoreEras {
    /// Reads all orders.
    async fn orders(&self) -> Result<ListedOrders, ControlStoreError>;
    /// Reads orders that may be stale by seconds; cheaper for the store.
    async fn recent_orders(&self) -> Result<ListedOrders, ControlStoreError>;
    /// Waits up to `wait` for a change after `revision`; returns the revision reached and whether anything
    /// changed.
    async fn wait_for_orders(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<(StoreRevision, bool), ControlStoreError>;
    /// Writes an order's status for the operator.
    async fn set_status(&self, order: &OrderId, verdict: Verdict) -> Result<(), ControlStoreError>;
}

/// The number of back ends of one kind that a zone should have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether these back ends may be reclaimed at short notice.
    pub reclaimable: bool,
    /// The number of back ends.
    pub wanted: u32,
}

/// Identifies the duties lease holder on whose behalf a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHolder {
    /// The node that holds the lease.
    pub node: String,
    /// The lease's epoch, which increases with every holder.
    pub epoch: u64,
}

quick_error! {
    /// Errors of duty calls.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DutyError {
        /// The call was rejected because a holder with a higher epoch has already acted, so this node no
        /// longer holds the lease.
        Outdated {
            display("a higher epoch has acted")
        }
        /// No capacity is available at present.
        Exhausted {
            display("none can be had there now")
        }
        /// No response, or a temporary refusal; the call may still be carried out later.
        Unanswered(reason: String) {
            display("no answer: {}", reason)
        }
    }
}

/// Calls made by the duties lease holder on behalf of all nodes.
#[async_trait]
pub trait DutyPort: Send + Sync + 'static {
    /// Reports the requests of one usage window.
    async fn report_usage(&self, holder: &DutyHolder, counts: &WindowCounts) -> Result<(), DutyError>;
    /// Sets the number of back ends of one kind in a zone.
    async fn order_capacity(&self, holder: &DutyHolder, order: &CapacityOrder) -> Result<(), DutyError>;
}
