//! The `Membership` aggregate: who is alive, whom to send heartbeats to, and what to tell of others.
//!
//! Within a zone every node hears every other up to [`FULL_MESH_LIMIT`] members; beyond that each
//! sends to a few random ones and news travels piggybacked. Between zones only two relays a pair
//! speak. A silent node is suspected first, probed through others, and declared dead only after a
//! further wait; a node that learns of its own suspicion refutes it with a higher incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beamwall_model::{NodeId, ZoneName, rendezvous};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::member::{Member, MemberState};
use crate::message::{Envelope, MemberUpdate};

/// Zone size up to which every member hears every other directly.
pub const FULL_MESH_LIMIT: usize = 16;
/// Random members of a larger zone that get each heartbeat.
const GOSSIP_FANOUT: usize = 4;
/// Relays of a zone that speak with the relays of other zones.
pub const RELAYS_PER_ZONE: usize = 2;
/// Times a changed member is told to others.
const TELL_TIMES: u32 = 12;
/// Members told in one heartbeat.
const UPDATES_PER_HEARTBEAT: usize = 24;

/// The times of failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Time between heartbeats.
    pub period: Duration,
    /// Silence after which a node is suspected.
    pub suspect_after: Duration,
    /// Suspicion after which a node is dead.
    pub dead_after: Duration,
    /// Time after which a dead node is forgotten.
    pub forget_after: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1_500),
            dead_after: Duration::from_millis(2_500),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// A change of a member's state, to be logged and acted on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipChange {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its new state.
    pub state: MemberState,
}

/// All that one node knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: NodeId,
    zone: ZoneName,
    incarnation: u64,
    timing: MembershipTiming,
    members: BTreeMap<NodeId, Member>,
    untold: BTreeMap<NodeId, u32>,
    told_cursor: usize,
}

impl Membership {
    /// A node that knows nobody. `incarnation` must be larger than in any earlier life.
    pub fn new(own: NodeId, zone: ZoneName, incarnation: u64, timing: MembershipTiming) -> Self {
        Self {
            own,
            zone,
            incarnation,
            timing,
            members: BTreeMap::new(),
            untold: BTreeMap::new(),
            told_cursor: 0,
        }
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Everyone known, this node left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One member.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Notes that a message came directly from its sender.
    pub fn hear(&mut self, envelope: &Envelope, now: Instant) -> Option<MembershipChange> {
        let address: SocketAddr = envelope.address.parse().ok()?;
        let node = NodeId::new(&envelope.sender);
        if node == self.own {
            return None;
        }
        let known = self.members.get(&node);
        if known.is_some_and(|member| member.incarnation > envelope.incarnation) {
            return None;
        }
        let was = known.map(|member| (member.state, member.incarnation));
        let is_new_life = was.is_none_or(|(_, incarnation)| incarnation < envelope.incarnation);
        if was.is_some_and(|(state, _)| state >= MemberState::Dead) && !is_new_life {
            return self.hear_again_after_death(&node, envelope, now);
        }
        let since =
            known.map_or(now, |member| if member.state == MemberState::Alive { member.since } else { now });
        let member = Member {
            node: node.clone(),
            zone: ZoneName::new(&envelope.zone),
            address,
            incarnation: envelope.incarnation,
            state: MemberState::Alive,
            since,
            heard: Some(now),
            revision: envelope.revision,
            digest: envelope.digest,
            ready: envelope.ready,
            draining: envelope.draining,
        };
        let changed = is_new_life || was.is_some_and(|(state, _)| state != MemberState::Alive);
        self.members.insert(node.clone(), member);
        changed.then(|| self.note_change(&node)).flatten()
    }

    /// A node declared dead that still speaks under its old incarnation: it must learn of its death
    /// first and come back with a higher one, so that everyone takes it back.
    fn hear_again_after_death(
        &mut self,
        node: &NodeId,
        envelope: &Envelope,
        now: Instant,
    ) -> Option<MembershipChange> {
        let member = self.members.get_mut(node)?;
        member.heard = Some(now);
        member.revision = envelope.revision;
        self.untold.insert(node.clone(), TELL_TIMES);
        None
    }

    /// Takes what a peer tells of others.
    pub fn merge(&mut self, updates: &[MemberUpdate], now: Instant) -> Vec<MembershipChange> {
        updates.iter().filter_map(|update| self.merge_one(update, now)).collect()
    }

    fn merge_one(&mut self, update: &MemberUpdate, now: Instant) -> Option<MembershipChange> {
        let node = NodeId::new(&update.node);
        let state = MemberState::from_number(update.state);
        if node == self.own {
            self.refute(update.incarnation, state);
            return None;
        }
        let address: SocketAddr = update.address.parse().ok()?;
        match self.members.get_mut(&node) {
            Some(member) => {
                let newer = (update.incarnation, state) > (member.incarnation, member.state);
                if !newer {
                    return None;
                }
                let changed = member.state != state;
                member.incarnation = update.incarnation;
                member.address = address;
                member.state = state;
                member.since = now;
                changed.then(|| self.note_change(&node)).flatten()
            }
            None if state >= MemberState::Dead => None,
            None => {
                self.members.insert(node.clone(), new_member(node.clone(), update, address, state, now));
                self.note_change(&node)
            }
        }
    }

    fn refute(&mut self, incarnation: u64, state: MemberState) {
        if state != MemberState::Alive && incarnation >= self.incarnation {
            self.incarnation = incarnation + 1;
        }
    }

    fn note_change(&mut self, node: &NodeId) -> Option<MembershipChange> {
        let member = self.members.get(node)?;
        self.untold.insert(node.clone(), TELL_TIMES);
        Some(MembershipChange { node: node.clone(), zone: member.zone.clone(), state: member.state })
    }

    /// Advances suspicion and death. A node suspects only members that it should hear directly.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let expected = self.expected_to_speak();
        let timing = self.timing;
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let next = match member.state {
                MemberState::Alive if expected.contains(&member.node) => {
                    let silent = now.duration_since(member.heard.unwrap_or(member.since).max(member.since));
                    (silent >= timing.suspect_after).then_some(MemberState::Suspect)
                }
                MemberState::Suspect => {
                    (now.duration_since(member.since) >= timing.dead_after).then_some(MemberState::Dead)
                }
                _ => None,
            };
            if let Some(state) = next {
                member.state = state;
                member.since = now;
                changed.push(member.node.clone());
            }
        }
        let forget = |member: &Member| {
            member.state >= MemberState::Dead && now.duration_since(member.since) >= timing.forget_after
        };
        self.members.retain(|_, member| !forget(member));
        changed.iter().filter_map(|node| self.note_change(node)).collect()
    }

    /// Members whose heartbeats reach this node directly often enough to judge their silence.
    fn expected_to_speak(&self) -> Vec<NodeId> {
        let mut expected = Vec::new();
        if self.zone_size() <= FULL_MESH_LIMIT {
            expected.extend(self.in_zone().map(|member| member.node.clone()));
        } else {
            let heard = self.in_zone().filter(|member| member.heard.is_some());
            expected.extend(heard.map(|member| member.node.clone()));
        }
        if self.is_relay() {
            expected.extend(self.other_relays().into_iter().map(|member| member.node.clone()));
        }
        expected
    }

    fn in_zone(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.zone == self.zone && member.state <= MemberState::Suspect)
    }

    fn zone_size(&self) -> usize {
        self.in_zone().count() + 1
    }

    /// Whether this node speaks with other zones.
    pub fn is_relay(&self) -> bool {
        let mut names: Vec<&str> = self
            .in_zone()
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| member.node.as_str())
            .collect();
        names.push(self.own.as_str());
        let relays = rendezvous::choose(self.zone.as_str().as_bytes(), &names, RELAYS_PER_ZONE, |name| name);
        relays.iter().any(|name| **name == self.own.as_str())
    }

    fn other_relays(&self) -> Vec<&Member> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<&Member>> = BTreeMap::new();
        let others = self.members.values().filter(|member| member.zone != self.zone);
        for member in others.filter(|member| member.state <= MemberState::Suspect) {
            by_zone.entry(&member.zone).or_default().push(member);
        }
        let mut relays = Vec::new();
        for (zone, members) in &by_zone {
            let key = zone.as_str().as_bytes();
            let chosen = rendezvous::choose(key, members, RELAYS_PER_ZONE, |member| member.node.as_str());
            relays.extend(chosen.into_iter().copied());
        }
        relays
    }

    /// Addresses that get this period's heartbeat. Dead members are tried now and then, so that
    /// two sides of a mended cut find each other again.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let zone: Vec<&Member> = self.in_zone().collect();
        let mut targets: Vec<SocketAddr> = if zone.len() < FULL_MESH_LIMIT {
            zone.iter().map(|member| member.address).collect()
        } else {
            zone.sample(&mut rand::rng(), GOSSIP_FANOUT).map(|member| member.address).collect()
        };
        if self.is_relay() {
            targets.extend(self.other_relays().iter().map(|member| member.address));
        }
        let dead: Vec<&Member> =
            self.members.values().filter(|member| member.state == MemberState::Dead).collect();
        targets.extend(dead.choose(&mut rand::rng()).map(|member| member.address));
        targets
    }

    /// Addresses of other members of the zone that can probe `node` for this one.
    pub fn probers(&self, node: &NodeId) -> Vec<SocketAddr> {
        let others = self.members.values().filter(|member| {
            &member.node != node && member.state == MemberState::Alive && member.heard.is_some()
        });
        others.take(GOSSIP_FANOUT).map(|member| member.address).collect()
    }

    /// What to tell others: changes first, then everyone in turn.
    pub fn updates(&mut self) -> Vec<MemberUpdate> {
        let mut chosen: Vec<NodeId> = self.untold.keys().take(UPDATES_PER_HEARTBEAT).cloned().collect();
        for node in &chosen {
            let left = self.untold.get(node).copied().unwrap_or(0);
            if left <= 1 {
                self.untold.remove(node);
            } else {
                self.untold.insert(node.clone(), left - 1);
            }
        }
        let room = UPDATES_PER_HEARTBEAT.saturating_sub(chosen.len()).min(GOSSIP_FANOUT);
        let names: Vec<&NodeId> = self.members.keys().collect();
        for offset in 0..room.min(names.len()) {
            chosen.push(names[(self.told_cursor + offset) % names.len()].clone());
        }
        self.told_cursor = self.told_cursor.wrapping_add(room) % names.len().max(1);
        chosen.iter().filter_map(|node| self.members.get(node)).map(to_update).collect()
    }
}

fn new_member(
    node: NodeId,
    update: &MemberUpdate,
    address: SocketAddr,
    state: MemberState,
    now: Instant,
) -> Member {
    Member {
        node,
        zone: ZoneName::new(&update.zone),
        address,
        incarnation: update.incarnation,
        state,
        since: now,
        heard: None,
        revision: 0,
        digest: 0,
        ready: false,
        draining: false,
    }
}

fn to_update(member: &Member) -> MemberUpdate {
    MemberUpdate {
        node: member.node.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.incarnation,
        state: member.state.number(),
    }
}
