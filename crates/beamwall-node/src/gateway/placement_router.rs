//! Selects the placement node of each group of engines.
//!
//! The placement node is found by rendezvous hash among all live nodes, weighted by their links, so no
//! election is needed: nodes with different membership views ask different placement nodes for a while, and
//! each of those places the requests that it receives. A placement node that does not answer in time is
//! replaced at once by a node of the sender's own zone: when a zone is cut off, its nodes agree on one of
//! their own after the first missed answer of each.
//!
//! A new placement node knows nothing of its predecessor's placements. This costs little: prompts are
//! prefilled within a second, and cached prefixes are found again by the hash that all nodes share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_model::{NodeId, ZoneName, rendezvous};
use beamwall_peer::{Member, MemberState, link_weight};
use tokio::time::Instant;

use crate::shared::MembershipView;

/// Key of the rendezvous hash for placement.
const HASH_KEY: &[u8] = b"placement";
/// Time for which a node is not asked after a missed answer. It doubles with each further miss.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest such time: about as long as membership takes to declare a node dead.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// The node that sends the placement request.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Capacity of its network link in Mbit/s.
    pub link_mbps: u32,
}

/// The node that places the requests of a group.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementTarget {
    /// The sending node itself.
    Local,
    /// Another node.
    Peer(Box<Member>),
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    length: Duration,
    until: Instant,
}

/// The placement nodes as seen by one node.
#[derive(Debug, Default)]
pub struct PlacementRouter {
    /// The membership view from which `primary` was computed.
    view: Option<Arc<MembershipView>>,
    /// The placement node of each group; `None`: the sending node.
    primary: HashMap<EngineGroup, Option<Member>>,
    /// Nodes that missed answers.
    paused: HashMap<NodeId, Pause>,
}

impl PlacementRouter {
    /// Returns the placement node of `group` that is used as long as it answers; `None`: the sending node.
    pub fn primary(
        &mut self,
        local: &LocalNode,
        view: &Arc<MembershipView>,
        group: EngineGroup,
    ) -> &Option<Member> {
        if !self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view)) {
            self.primary.clear();
            self.view = Some(view.clone());
        }
        self.primary.entry(group).or_insert_with(|| {
            let nodes = view.members.iter().filter(|member| may_place(member, local));
            choose_by_hash(local, nodes, group)
        })
    }

    /// Returns the node to which a placement request for `group` is sent.
    pub fn select_target(
        &mut self,
        local: &LocalNode,
        view: &Arc<MembershipView>,
        group: EngineGroup,
        now: Instant,
    ) -> PlacementTarget {
        let primary = self.primary(local, view, group).clone();
        let chosen = match primary {
            Some(member) if is_paused(&self.paused, &member.node, now) => {
                let same_zone = view.members.iter().filter(|member| {
                    member.zone == local.zone
                        && member.is_usable()
                        && !is_paused(&self.paused, &member.node, now)
                });
                choose_by_hash(local, same_zone, group)
            }
            primary => primary,
        };
        chosen.map_or(PlacementTarget::Local, |member| PlacementTarget::Peer(Box::new(member)))
    }

    /// Records that a node did not answer in time; returns how long it is not asked, or `None` if it was
    /// paused already.
    pub fn note_miss(&mut self, node: &NodeId, now: Instant) -> Option<Duration> {
        if is_paused(&self.paused, node, now) {
            return None;
        }
        let before = self.paused.get(node).map(|pause| pause.length);
        let length = before.map_or(FIRST_PAUSE, |length| (length * 2).min(LONGEST_PAUSE));
        self.paused.insert(node.clone(), Pause { length, until: now + length });
        Some(length)
    }

    /// Records that a node answered.
    pub fn note_answer(&mut self, node: &NodeId) {
        self.paused.remove(node);
    }
}

fn is_paused(paused: &HashMap<NodeId, Pause>, node: &NodeId, now: Instant) -> bool {
    paused.get(node).is_some_and(|pause| now < pause.until)
}

/// Whether a member may be a placement node. For other zones only the state from membership is known; a node
/// there that is not ready says so when it is asked.
fn may_place(member: &Member, local: &LocalNode) -> bool {
    if member.zone == local.zone { member.is_usable() } else { member.state == MemberState::Alive }
}

/// Selects the placement node of `group` among `nodes` and the sending node; `None`: the sending node. Nodes
/// with a fast network link are selected more often, because all requests and answers pass over it.
fn choose_by_hash<'a>(
    local: &LocalNode,
    nodes: impl Iterator<Item = &'a Member>,
    group: EngineGroup,
) -> Option<Member> {
    let nodes: Vec<&Member> = nodes.collect();
    let mut candidates: Vec<(&str, f64)> =
        nodes.iter().map(|member| (member.node.as_str(), link_weight(member.link_mbps))).collect();
    candidates.push((local.node.as_str(), link_weight(local.link_mbps)));
    let key = [HASH_KEY, &group.number.to_be_bytes()].concat();
    let chosen = rendezvous::choose_weighted(&key, &candidates, 1).into_iter().next()?;
    nodes.into_iter().find(|member| member.node.as_str() == chosen).cloned()
}
