//! Selects a few nodes of a zone, or a single node of the deployment, to perform a task for the others.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_model::{NodeId, ZoneName, rendezvous};
use beamwall_peer::{Member, MemberState, link_weight};

use crate::shared::MembershipView;

/// Time between two checks of the selection.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Selects nodes of this zone by weighted rendezvous hash among those alive. Nodes with a fast network link
/// are selected more often, because they pass on to the others what they receive.
#[derive(Clone)]
pub struct NodeSelector {
    node: NodeId,
    zone: ZoneName,
    link_mbps: u32,
    members: Arc<ArcSwap<MembershipView>>,
}

impl NodeSelector {
    /// Creates the selector of one node; `members` is its membership view.
    pub fn new(node: NodeId, zone: ZoneName, link_mbps: u32, members: Arc<ArcSwap<MembershipView>>) -> Self {
        Self { node, zone, link_mbps, members }
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
        let alive =
            view.members.iter().filter(|member| member.state == MemberState::Alive && !member.draining);
        let mut candidates: Vec<(&str, f64)> = alive
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

    /// Number of known nodes besides this one.
    pub fn other_nodes_known(&self) -> usize {
        self.members.load().members.len()
    }

    /// Returns as soon as this node is selected.
    pub async fn wait_until_selected(&self, task: &str, count: usize) {
        while !self.is_selected(task, count) {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }
}
