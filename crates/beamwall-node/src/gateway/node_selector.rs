//! Selects a few nodes of a zone, or a single node of the deployment, to perform a task at the store for the others.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_model::{NodeId, ZoneName, rendezvous};
use beamwall_peer::{Member, MemberState, link_weight};

use tokio::time::Instant;

use crate::gateway::exchange::heartbeat_period;
use crate::gateway::store_status::StoreStatus;
use crate::shared::MembershipView;

/// Time between two checks of the selection.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a peer without eras is remembered; it sends heartbeats more often.
const PEER_WITHOUT_ERAS_TTL: Duration = Duration::from_secs(5);

/// Selects nodes of this zone by weighted rendezvous hash among those that are alive and reach the store. Nodes
/// with a fast network link are selected more often, because they pass on to the others what they receive.
///
/// A node whose calls to the store fail gives its place up to others, and keeps trying in the place that it
/// would have otherwise: it learns only from its own calls that the store answers again.
#[derive(Clone)]
pub struct NodeSelector {
    node: NodeId,
    zone: ZoneName,
    link_mbps: u32,
    members: Arc<ArcSwap<MembershipView>>,
    store_status: Arc<StoreStatus>,
    /// When a list was last reported by a peer that does not name the era of the store.
    peer_without_eras: Arc<Mutex<Option<Instant>>>,
}

impl NodeSelector {
    /// Creates the selector of one node; `members` is its membership view, `store_status` tells whether its calls
    /// to the store are answered.
    pub fn new(
        node: NodeId,
        zone: ZoneName,
        link_mbps: u32,
        members: Arc<ArcSwap<MembershipView>>,
        store_status: Arc<StoreStatus>,
    ) -> Self {
        Self { node, zone, link_mbps, members, store_status, peer_without_eras: Arc::default() }
    }

    /// Whether this node is among the `count` nodes of its zone that perform `task`. Draining nodes are
    /// excluded because they are about to stop.
    pub fn is_selected(&self, task: &str, count: usize) -> bool {
        self.is_selected_among(task, count, |member| member.zone == self.zone)
    }

    /// Whether this node is the only one of the deployment that performs `task`. In a network partition each
    /// side selects its own.
    pub fn is_selected_globally(&self, task: &str) -> bool {
        self.is_selected_among(task, 1, |_| true)
    }

    fn is_selected_among(&self, task: &str, count: usize, is_eligible: impl Fn(&Member) -> bool) -> bool {
        let view = self.members.load();
        let is_lost_here = self.store_status.is_lost();
        let is_candidate = |member: &&Member| {
            member.state == MemberState::Alive && !member.draining && (is_lost_here || !member.store_lost)
        };
        let mut candidates: Vec<(&str, f64)> = view
            .members
            .iter()
            .filter(is_candidate)
            .filter(|member| is_eligible(member))
            .map(|member| (member.node.as_str(), link_weight(member.link_mbps)))
            .collect();
        candidates.push((self.node.as_str(), link_weight(self.link_mbps)));
        rendezvous::choose_weighted(task.as_bytes(), &candidates, count).contains(&self.node.as_str())
    }

    /// Whether any other node is known. A node that has just started knows none, and would select itself for
    /// every task.
    pub fn knows_other_nodes(&self) -> bool {
        !self.members.load().members.is_empty()
    }

    /// Nodes of this zone that may be alive, this one included.
    pub fn zone_nodes(&self) -> usize {
        self.members.load().zone_size.max(1)
    }

    /// Time between two heartbeats of a peer.
    pub fn heartbeat_period(&self) -> Duration {
        heartbeat_period(self.other_nodes_known())
    }

    /// Number of known nodes besides this one.
    pub fn other_nodes_known(&self) -> usize {
        self.members.load().members.len()
    }

    /// Records a peer of an earlier build that does not name the era of the lists that it reports. Such lists may
    /// be of an ended era, so they are not used.
    pub fn note_peer_without_eras(&self) {
        *self.peer_without_eras.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn has_peer_without_eras(&self) -> bool {
        let last = *self.peer_without_eras.lock().unwrap_or_else(PoisonError::into_inner);
        last.is_some_and(|at| at.elapsed() < PEER_WITHOUT_ERAS_TTL)
    }

    /// Whether this node watches a resource of the store for its zone, or for itself since those that are selected
    /// may be peers whose lists it can't use.
    pub fn is_watcher(&self, resource: &str, count: usize) -> bool {
        self.is_selected(resource, count) || self.has_peer_without_eras()
    }

    /// Returns as soon as this node is to watch a resource of the store.
    pub async fn wait_until_watcher(&self, resource: &str, count: usize) {
        while !self.is_watcher(resource, count) {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}
