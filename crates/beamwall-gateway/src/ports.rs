//! Ports to what lies outside the product: heads of requests, the store of decisions, duties.

use std::time::Duration;

use async_trait::async_trait;
use beamwall_model::{InstanceName, ServiceName, TenantName, ZoneName};
use beamwall_policy::TrafficPolicy;
use beamwall_rollout::{OrderId, RolloutOrder, Verdict};
use hyper::{HeaderMap, StatusCode};
use quick_error::quick_error;

use crate::directory::Backend;
use crate::usage::WindowCounts;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text together with all parts before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller says of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub output_tokens: u32,
    /// The parts in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// What the gateway reads in the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's identifier of this try.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The key.
    pub key: Option<String>,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event: Option<u64>,
}

/// What the gateway sets in the head of a forwarded request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardHead<'a> {
    /// The back end that alone may run it.
    pub instance: &'a InstanceName,
    /// Time that is left.
    pub remaining: Duration,
    /// The tenant that sends it.
    pub tenant: Option<&'a TenantName>,
    /// Rank among requests of the back end; 0 is the most urgent.
    pub rank: u8,
    /// The last event that was delivered, when a stream continues.
    pub last_event: Option<u64>,
}

/// What the gateway reads in the head of a back end's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The identifier of the request that it answers.
    pub request_id: Option<String>,
    /// Whether a back end signed it.
    pub is_signed: bool,
    /// Whether it proves that the request did not run.
    pub proves_not_run: bool,
}

/// Reads and writes the heads of requests and answers.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;
    /// The headers of a forwarded request: the caller's, without those of its connection and its
    /// key, with what the gateway sets.
    fn forward_headers(&self, from_caller: &HeaderMap, head: &ForwardHead<'_>) -> HeaderMap;
    /// Reads a back end's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// The headers of an answer to the caller: the back end's, without those of its connection.
    fn answer_headers(&self, from_backend: &HeaderMap) -> HeaderMap;
    /// Marks an answer of the gateway's own with the caller's identifier.
    fn mark_refusal(&self, headers: &mut HeaderMap, request_id: &str);
}

/// All back ends at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectorySnapshot {
    /// The store's revision.
    pub revision: u64,
    /// The back ends.
    pub backends: Vec<Backend>,
}

/// A part of the list of back ends, in the order of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryPage {
    /// The store's revision.
    pub revision: u64,
    /// The back ends.
    pub backends: Vec<Backend>,
    /// The entry after which the next page begins; `None` on the last page.
    pub last: Option<String>,
    /// Entries that name no back end.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry of the list that can't be read, as one that another writer wrote.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Its name; empty where that can't be read either.
    pub name: String,
    /// Why.
    pub reason: String,
}

/// What a watch over the back ends saw.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchedBackends {
    /// The changes; a back end whose entry can't be read any more is gone.
    pub changes: DirectoryChanges,
    /// Entries that were written and name no back end.
    pub unreadable: Vec<UnreadableEntry>,
}

/// One change of the back ends.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryChange {
    /// A back end came or changed.
    Changed(Backend),
    /// A back end is gone.
    Gone(InstanceName),
}

impl DirectoryChange {
    /// The instance.
    pub fn instance(&self) -> &InstanceName {
        match self {
            Self::Changed(backend) => &backend.instance,
            Self::Gone(instance) => instance,
        }
    }
}

/// Changes of the back ends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectoryChanges {
    /// The store's revision after them.
    pub revision: u64,
    /// The changes in order.
    pub changes: Vec<DirectoryChange>,
}

/// A policy as read, and the revision from which to watch on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyAnswer {
    /// The store's revision.
    pub revision: u64,
    /// The newest policy; `None` when there is none or, for a watch, no newer one.
    pub policy: Option<TrafficPolicy>,
}

quick_error! {
    /// Why the store of decisions gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ControlStoreError {
        /// The store is away, slow, or turns this node away.
        Unavailable(reason: String) {
            display("store unavailable: {}", reason)
        }
        /// The history from the revision named is gone: list again.
        HistoryGone {
            display("the store has forgotten the revision to watch from")
        }
        /// The store answered in a way that this client does not know.
        Unreadable(reason: String) {
            display("unreadable answer from the store: {}", reason)
        }
    }
}

/// The store that holds the operator's decisions and the list of back ends.
#[async_trait]
pub trait ControlStore: Send + Sync + 'static {
    /// Reads the newest policy.
    async fn policy(&self) -> Result<PolicyAnswer, ControlStoreError>;
    /// Waits up to `wait` for a policy newer than `revision`.
    async fn watch_policy(&self, revision: u64, wait: Duration) -> Result<PolicyAnswer, ControlStoreError>;
    /// Reads a page of the list of back ends: the first, or that after an entry.
    async fn backends(&self, after: Option<&str>) -> Result<DirectoryPage, ControlStoreError>;
    /// Waits up to `wait` for changes of the back ends after `revision`.
    async fn watch_backends(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchedBackends, ControlStoreError>;
    /// Reads a policy that may be seconds old, at a lower price.
    async fn recent_policy(&self) -> Result<PolicyAnswer, ControlStoreError>;
    /// Reads a page of a list of back ends that may be seconds old, at a lower price.
    async fn recent_backends(&self, after: Option<&str>) -> Result<DirectoryPage, ControlStoreError>;
}

/// The orders to move traffic to other versions, as the store holds them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListedOrders {
    /// The store's revision.
    pub revision: u64,
    /// The orders that can be read.
    pub orders: Vec<ListedOrder>,
}

/// One order in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedOrder {
    /// The order.
    pub order: RolloutOrder,
    /// The store's revision of its last change.
    pub revision: u64,
    /// What its status says.
    pub verdict: Verdict,
}

/// The store of orders to move traffic to other versions.
#[async_trait]
pub trait RolloutStore: Send + Sync + 'static {
    /// Reads all orders.
    async fn orders(&self) -> Result<ListedOrders, ControlStoreError>;
    /// Reads orders that may be seconds old, at a lower price.
    async fn recent_orders(&self) -> Result<ListedOrders, ControlStoreError>;
    /// Waits up to `wait` for a change after `revision`; gives the revision reached and whether anything changed.
    async fn wait_for_orders(&self, revision: u64, wait: Duration) -> Result<(u64, bool), ControlStoreError>;
    /// Tells the operator how far an order has come.
    async fn set_status(&self, order: &OrderId, verdict: Verdict) -> Result<(), ControlStoreError>;
}

/// How many back ends of one kind a zone shall hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Whether the back ends may be taken away at short notice.
    pub reclaimable: bool,
    /// How many.
    pub wanted: u32,
}

/// The right under which a duty is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyHolder {
    /// The node that holds the lease.
    pub node: String,
    /// The lease's epoch: rises with every holder.
    pub epoch: u64,
}

quick_error! {
    /// Why a duty call failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DutyError {
        /// A higher epoch has acted: this node is not the holder any more.
        Outdated {
            display("a higher epoch has acted")
        }
        /// It can't be had now.
        Exhausted {
            display("none can be had there now")
        }
        /// No answer, or a refusal for now: the call may be carried out later.
        Unanswered(reason: String) {
            display("no answer: {}", reason)
        }
    }
}

/// Calls that one node at a time makes for all.
#[async_trait]
pub trait DutyPort: Send + Sync + 'static {
    /// Reports the requests of one window.
    async fn report_usage(&self, holder: &DutyHolder, counts: &WindowCounts) -> Result<(), DutyError>;
    /// Sets the number of back ends of one kind in a zone.
    async fn order_capacity(&self, holder: &DutyHolder, order: &CapacityOrder) -> Result<(), DutyError>;
}
