//! Which node places in each group of engines.
//!
//! It is found by rendezvous hash among all nodes that live, weighted by their links, so no election is needed: nodes
//! that see different members ask different ones for a while, and each of those places what it is asked for. One that
//! does not answer in time is passed over at once, by a node of the asker's own zone: when a zone is cut off, its nodes
//! agree on one of theirs after the first miss of each.
//!
//! A new placing node knows nothing of what the one before placed. That is worth little: prompts are read within a second,
//! and beginnings that engines keep are found again by the hash that all nodes share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_model::{NodeId, ZoneName, rendezvous};
use beamwall_peer::{Member, MemberState, link_weight};
use tokio::time::Instant;

use crate::shared::MembershipView;

/// The duty by whose hash the nodes are found.
const HASH_KEY: &[u8] = b"placement";
/// Time after a missing answer in which a node is not asked. It doubles with each further miss.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest such time: about as long as membership takes to find a node dead.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// The node that asks.
#[derive(Debug, Clone)]
pub struct LocalNode {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Capacity of its network link in Mbit/s.
    pub link_mbps: u32,
}

/// Who places in a group.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementTarget {
    /// The node that asks.
    Local,
    /// Another node.
    Peer(Box<Member>),
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    length: Duration,
    until: Instant,
}

/// The placing nodes as one node sees them.
#[derive(Debug, Default)]
pub struct PlacementRouter {
    /// The members among whom `first` were found.
    view: Option<Arc<MembershipView>>,
    /// The node that all ask, by group; `None`: the asker.
    primary: HashMap<EngineGroup, Option<Member>>,
    /// Nodes that did not answer.
    paused: HashMap<NodeId, Pause>,
}

impl PlacementRouter {
    /// The node that all ask for a choice in `group`, as long as it answers; `None`: the asker.
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

    /// The node to ask for a choice in `group`.
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

    /// Notes that a node did not answer in time; gives the time for which it is not asked, where that is new.
    pub fn note_miss(&mut self, node: &NodeId, now: Instant) -> Option<Duration> {
        if is_paused(&self.paused, node, now) {
            return None;
        }
        let before = self.paused.get(node).map(|pause| pause.length);
        let length = before.map_or(FIRST_PAUSE, |length| (length * 2).min(LONGEST_PAUSE));
        self.paused.insert(node.clone(), Pause { length, until: now + length });
        Some(length)
    }

    /// Notes that a node answered.
    pub fn note_answer(&mut self, node: &NodeId) {
        self.paused.remove(node);
    }
}

fn is_paused(paused: &HashMap<NodeId, Pause>, node: &NodeId, now: Instant) -> bool {
    paused.get(node).is_some_and(|pause| now < pause.until)
}

/// Whether a member may place for all. Of another zone's only membership tells; one that is not ready says so when
/// it is asked.
fn may_place(member: &Member, local: &LocalNode) -> bool {
    if member.zone == local.zone { member.is_usable() } else { member.state == MemberState::Alive }
}

/// Of these nodes and the asker the one that places in `group`; `None`: the asker. One with a fast network link
/// is chosen more often: all questions and answers pass over it.
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
