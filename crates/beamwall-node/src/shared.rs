//! What the tasks and handlers of one node share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_config::edit::Change;
use beamwall_config::{ConfigTree, KeyIndex, OperatorKey, ProcessSettings, ResolvedTree, TreePath};
use beamwall_model::{NodeId, TenantName, rendezvous};
use beamwall_peer::membership::{FULL_MESH_LIMIT, RELAYS_PER_ZONE};
use beamwall_peer::{Envelope, Member, MemberState, PeerNetwork};
use beamwall_request::async_record::AsyncRecords;
use beamwall_request::{ClaimLedger, Dispatcher, RequestRegistry};
use beamwall_routing::TenantLimits;
use beamwall_routing::tenant_limit::Demand;
use beamwall_store::{CloudClient, LeaseState, ObjectStore};
use kameo::actor::ActorRef;
use tokio::sync::{Notify, watch};

use crate::actors::fleet::{FleetActor, Tell};
use crate::actors::membership::MembershipActor;
use crate::actors::tree::TreeActor;
use crate::metrics::NodeMetrics;
use crate::tasks::quarantine::NodeQuarantine;
use crate::tree_store::TreeStore;

/// The settings in force.
#[derive(Debug, Clone, Default)]
pub struct ActiveTree {
    /// Their revision; 0 before the first.
    pub revision: u64,
    /// The documents.
    pub tree: ConfigTree,
    /// The resolved values.
    pub resolved: ResolvedTree,
    /// The last changes, each on top of the one before, for peers that lack them.
    pub recent: Vec<Arc<RecentChange>>,
}

/// One change of the revision in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecentChange {
    /// The revision before.
    pub base_revision: u64,
    /// The revision after.
    pub revision: u64,
    /// The changed documents.
    pub changes: Vec<Change>,
}

/// The other nodes as known now.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    /// This node's incarnation.
    pub incarnation: u64,
    /// Everyone known.
    pub members: Vec<Member>,
    /// Whether this node speaks with other zones.
    pub is_relay: bool,
    /// Addresses of the relays of other zones, where this node is a relay.
    pub relays_elsewhere: Vec<SocketAddr>,
    /// Nodes of this zone, this one included.
    pub zone_size: usize,
}

/// Heartbeats that carry a report in a zone where each reaches a few members only.
const LARGE_ZONE_TELLS: u8 = 3;

impl MembershipView {
    /// How often to tell a report of an own poll.
    pub fn tell_polled(&self) -> Tell {
        Tell::Times(if self.zone_size > FULL_MESH_LIMIT { LARGE_ZONE_TELLS } else { 1 })
    }

    /// How often to tell a report that a peer told. In a large zone everyone passes news on; in a
    /// small one the relays do where not every node is a relay.
    pub fn tell_learned(&self) -> Tell {
        if self.zone_size > FULL_MESH_LIMIT {
            Tell::Times(LARGE_ZONE_TELLS)
        } else if self.is_relay && self.zone_size > RELAYS_PER_ZONE {
            Tell::Times(1)
        } else {
            Tell::No
        }
    }
    /// Names of nodes that are alive, this one included.
    pub fn alive_with(&self, own: &NodeId) -> Vec<NodeId> {
        let alive = self.members.iter().filter(|member| member.state == beamwall_peer::MemberState::Alive);
        alive.map(|member| member.node.clone()).chain(std::iter::once(own.clone())).collect()
    }
}

/// What the tasks and handlers of one node share.
pub struct Shared {
    /// The process settings.
    pub settings: ProcessSettings,
    /// Requests.
    pub dispatcher: Arc<Dispatcher>,
    /// Requests under which back ends end.
    pub quarantine: NodeQuarantine,
    /// Requests held.
    pub registry: RequestRegistry,
    /// Tenant limits.
    pub limits: TenantLimits,
    /// Claims.
    pub ledger: ClaimLedger,
    /// Records of asynchronous requests.
    pub records: AsyncRecords,
    /// The object API.
    pub store: ObjectStore,
    /// The settings tree in the object API.
    pub tree_store: TreeStore,
    /// The cloud API.
    pub cloud: CloudClient,
    /// Sessions with peers.
    pub network: Arc<PeerNetwork>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// The settings in force.
    pub tree: Arc<ArcSwap<ActiveTree>>,
    /// The other nodes.
    pub members: Arc<ArcSwap<MembershipView>>,
    /// Owner of the settings tree.
    pub tree_actor: ActorRef<TreeActor>,
    /// Owner of the membership.
    pub membership_actor: ActorRef<MembershipActor>,
    /// Owner of the fleet.
    pub fleet_actor: ActorRef<FleetActor>,
    /// Wakes the heartbeat before its period ends, to spread urgent news.
    pub urgent: Notify,
    /// Set once the node has learned the newest revision that it can reach.
    pub caught_up: AtomicBool,
    /// Set when the node drains.
    pub draining: AtomicBool,
    /// Turns true when the listeners shall close.
    pub stopping: watch::Sender<bool>,
    /// Demands that this node last reported.
    pub own_demands: Mutex<HashMap<TenantName, Demand>>,
    /// Demands reported by other nodes.
    pub peer_demands: Mutex<BTreeMap<NodeId, HashMap<TenantName, Demand>>>,
    /// Leases that this node contends for, by name.
    pub leases: Mutex<BTreeMap<String, watch::Receiver<LeaseState>>>,
    /// Operator keys of the process settings.
    pub bootstrap_operators: KeyIndex<OperatorKey>,
    /// Addresses that got the last heartbeat.
    pub targets: ArcSwap<Vec<SocketAddr>>,
    /// Digest of the machine list read last; 0 before the first.
    pub machines_digest: AtomicU64,
    /// Digest of the machine list that a reader of the zone told last; 0 before the first.
    pub peer_machines_digest: AtomicU64,
    /// Set while a peer is asked for settings.
    pub fetching_tree: AtomicBool,
    /// Highest revision heard of from anyone.
    pub highest_revision: AtomicU64,
}

/// Locks a mutex; a panic elsewhere does not make its content unusable.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Operator keys of the process settings, bound to the whole tree.
pub fn bootstrap_operators(settings: &ProcessSettings) -> KeyIndex<OperatorKey> {
    let mut index = KeyIndex::default();
    for digest in &settings.operator_keys {
        index.insert(*digest, OperatorKey { subtree: TreePath::root(), may_edit: true });
    }
    index
}

impl Shared {
    /// Whether the node may serve callers.
    pub fn is_ready(&self) -> bool {
        let current = self.tree.load().revision >= self.highest_revision.load(Ordering::Relaxed);
        let caught_up = self.caught_up.load(Ordering::Relaxed);
        if !caught_up || self.is_draining() {
            return false;
        }
        // Once ready, a node that lags behind a fresh edit by a moment stays ready.
        current || self.tree.load().revision > 0
    }

    /// Whether the node drains.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether this node is one of `count` that the zone's live nodes choose for a duty.
    pub fn is_chosen_in_zone(&self, duty: &[u8], count: usize) -> bool {
        self.is_chosen_among(duty, count, |member| member.zone == self.settings.zone)
    }

    /// Whether this node is one of `count` that all live nodes choose for a duty.
    pub fn is_chosen(&self, duty: &[u8], count: usize) -> bool {
        self.is_chosen_among(duty, count, |_| true)
    }

    fn is_chosen_among(&self, duty: &[u8], count: usize, counts: impl Fn(&Member) -> bool) -> bool {
        let members = self.members.load();
        let own = &self.settings.node;
        let candidates =
            members.members.iter().filter(|member| member.state == MemberState::Alive && counts(member));
        let nodes: Vec<NodeId> =
            candidates.map(|member| member.node.clone()).chain(std::iter::once(own.clone())).collect();
        rendezvous::choose(duty, &nodes, count, NodeId::as_str).into_iter().any(|node| node == own)
    }

    /// A message from this node.
    pub fn envelope(&self, body: beamwall_peer::Body) -> Envelope {
        let tree = self.tree.load();
        Envelope {
            sender: self.settings.node.to_string(),
            incarnation: self.members.load().incarnation,
            zone: self.settings.zone.to_string(),
            address: self.settings.peers.to_string(),
            revision: tree.revision,
            digest: tree.resolved.digest,
            ready: self.is_ready(),
            draining: self.is_draining(),
            question: 0,
            answers: 0,
            // Only gateways choose by it.
            link_mbps: 0,
            store_lost: false,
            body: Some(body),
        }
    }

    /// Notes a revision that somebody holds.
    pub fn note_revision(&self, revision: u64) {
        self.highest_revision.fetch_max(revision, Ordering::Relaxed);
    }

    /// Time limit of one control call.
    pub fn control_limit(&self) -> Duration {
        self.settings.platform_timeout
    }
}
