//! The `Membership` aggregate: who is alive, whom to send heartbeats to, and what to tell of others.
//!
//! Within a zone every node sends to every other up to [`FULL_MESH_LIMIT`] members; beyond that each
//! probes a few in turn, which answer, and news travels piggybacked. Between zones only two relays a
//! pair speak, chosen among the nodes on the fastest links. A node is suspected when a probe of it has
//! stayed unanswered for a while, probed through others, and declared dead only after a further wait; a
//! node that learns of its own suspicion refutes it with a higher incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beamwall_model::{NodeId, ZoneName, rendezvous};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::member::{Member, MemberState, link_weight};
use crate::message::{Envelope, MemberUpdate};

/// Zone size up to which every member hears every other directly.
pub const FULL_MESH_LIMIT: usize = 16;
/// Members of a larger zone that are newly probed in each period.
const PROBES_PER_PERIOD: usize = 2;
/// Unanswered probes that are repeated in each period.
const REPEATED_PROBES_PER_PERIOD: usize = 16;
/// Dead members tried in each period, so that the sides of a mended cut find each other again.
const DEAD_PROBES_PER_PERIOD: usize = 3;
/// Members asked to probe a suspect.
const INDIRECT_PROBERS: usize = 4;
/// Periods between two full lists that a node sends to one other.
const SYNC_PERIODS: u64 = 60;
/// Unchanged members told in one heartbeat in a large zone where it reaches a few nodes.
const REFRESHES_PER_HEARTBEAT: usize = 4;
/// Relays of a zone that speak with the relays of other zones.
pub const RELAYS_PER_ZONE: usize = 2;
/// Times a changed member is told to others.
const TRANSMISSIONS_PER_UPDATE: u32 = 8;
/// The same where each heartbeat reaches the whole zone.
const BROADCAST_TRANSMISSIONS_PER_UPDATE: u32 = 2;
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
    pub remove_after: Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            suspect_after: Duration::from_millis(2_000),
            dead_after: Duration::from_millis(2_500),
            remove_after: Duration::from_secs(600),
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
    link_mbps: u32,
    /// Whether heartbeats go to all nodes of the zone.
    broadcasts: bool,
    incarnation: u64,
    timing: MembershipTiming,
    members: BTreeMap<NodeId, Member>,
    pending_updates: BTreeMap<NodeId, u32>,
    refresh_cursor: usize,
    /// Members probed and not heard since, with the time of the first such probe.
    unanswered_probes: BTreeMap<NodeId, Instant>,
    probe_cursor: usize,
    periods: u64,
}

/// Who gets a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address.
    pub address: SocketAddr,
    /// Whether it shall answer, because it does not send here by itself.
    pub wants_answer: bool,
}

impl Membership {
    /// A node that knows nobody. `incarnation` must be larger than in any earlier life.
    pub fn new(own: NodeId, zone: ZoneName, incarnation: u64, timing: MembershipTiming) -> Self {
        Self {
            own,
            zone,
            link_mbps: 0,
            broadcasts: false,
            incarnation,
            timing,
            members: BTreeMap::new(),
            pending_updates: BTreeMap::new(),
            refresh_cursor: 0,
            unanswered_probes: BTreeMap::new(),
            probe_cursor: 0,
            periods: 0,
        }
    }

    /// The same node, on a network link of `link_mbps` Mbit/s.
    pub fn with_link(self, link_mbps: u32) -> Self {
        Self { link_mbps, ..self }
    }

    /// The same node, whose heartbeats go to all nodes of its zone, so that it hears each of them by itself.
    pub fn with_broadcast(self) -> Self {
        Self { broadcasts: true, ..self }
    }

    /// Whether heartbeats go to all nodes of a zone so large that each need not tell all that it knows.
    fn broadcasts_to_large_zone(&self) -> bool {
        self.broadcasts && self.zone_size() > FULL_MESH_LIMIT
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
    pub fn record_message(&mut self, envelope: &Envelope, now: Instant) -> Option<MembershipChange> {
        let address: SocketAddr = envelope.address.parse().ok()?;
        let node = NodeId::new(&envelope.sender);
        if node == self.own {
            return None;
        }
        self.unanswered_probes.remove(&node);
        let known = self.members.get(&node);
        if known.is_some_and(|member| member.incarnation > envelope.incarnation) {
            return None;
        }
        let previous = known.map(|member| (member.state, member.incarnation));
        let is_new_incarnation = previous.is_none_or(|(_, incarnation)| incarnation < envelope.incarnation);
        if previous.is_some_and(|(state, _)| state != MemberState::Alive) && !is_new_incarnation {
            self.record_inactive_sender(&node, envelope, now);
            return None;
        }
        let since = known.filter(|_| !is_new_incarnation).map_or(now, |member| member.since);
        let member = Member {
            node: node.clone(),
            zone: ZoneName::new(&envelope.zone),
            address,
            incarnation: envelope.incarnation,
            state: MemberState::Alive,
            since,
            last_received: Some(now),
            revision: envelope.revision,
            digest: envelope.digest,
            ready: envelope.ready,
            draining: envelope.draining,
            link_mbps: envelope.link_mbps,
        };
        self.members.insert(node.clone(), member);
        is_new_incarnation.then(|| self.record_change(&node)).flatten()
    }

    /// A suspected or dead node that still speaks under its old incarnation must learn what is said
    /// of it and come back with a higher one, so that everyone takes it back.
    fn record_inactive_sender(&mut self, node: &NodeId, envelope: &Envelope, now: Instant) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_received = Some(now);
            member.revision = envelope.revision;
        }
    }

    /// What to answer to a sender at once: everything for one that was not known before, unless it says in a large zone that
    /// it `knows` as many members itself, and what is said of it for one that is suspected or dead.
    pub fn immediate_updates(
        &self,
        sender: &NodeId,
        was_known: bool,
        members_known: Option<usize>,
    ) -> Vec<MemberUpdate> {
        let is_fully_informed = || {
            self.broadcasts_to_large_zone()
                && members_known.is_some_and(|members_known| members_known >= self.members.len())
        };
        match self.members.get(sender) {
            Some(_) if !was_known && !is_fully_informed() => self.all_updates(),
            Some(member) if member.state != MemberState::Alive => vec![to_update(member)],
            _ => Vec::new(),
        }
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
                member.update_link(update.link_mbps);
                let newer = (update.incarnation, state) > (member.incarnation, member.state);
                if !newer {
                    return None;
                }
                let changed = member.state != state;
                member.incarnation = update.incarnation;
                member.address = address;
                member.state = state;
                member.since = now;
                changed.then(|| self.record_change(&node)).flatten()
            }
            None if state >= MemberState::Dead => None,
            None => {
                self.members.insert(node.clone(), new_member(node.clone(), update, address, state, now));
                self.record_change(&node)
            }
        }
    }

    fn refute(&mut self, incarnation: u64, state: MemberState) {
        if state != MemberState::Alive && incarnation >= self.incarnation {
            self.incarnation = incarnation + 1;
        }
    }

    fn record_change(&mut self, node: &NodeId) -> Option<MembershipChange> {
        let member = self.members.get(node)?;
        self.pending_updates.insert(node.clone(), TRANSMISSIONS_PER_UPDATE);
        Some(MembershipChange { node: node.clone(), zone: member.zone.clone(), state: member.state })
    }

    /// Leaves out what others hear anyway. Of 100 nodes that all tell each other, each hears every new member itself and
    /// would be told of it by 99 others, eight times each: 160 KB a second for 100 seconds after a start of 300 nodes.
    /// So there only the relays tell of new members, for the sake of other zones, and who falls silent is told twice.
    fn suppress_redundant_updates(&mut self) {
        if !self.broadcasts_to_large_zone() {
            return;
        }
        let is_relay = self.is_relay();
        let members = &self.members;
        let is_alive =
            |node: &NodeId| members.get(node).is_some_and(|member| member.state == MemberState::Alive);
        self.pending_updates.retain(|node, _| is_relay || !is_alive(node));
        self.pending_updates
            .values_mut()
            .for_each(|remaining| *remaining = (*remaining).min(BROADCAST_TRANSMISSIONS_PER_UPDATE));
    }

    /// Leaves a time in which this node's own process stood still out of the silence of others: what they sent may lie unread.
    pub fn discount_stall(&mut self, stall: Duration) {
        self.unanswered_probes.values_mut().for_each(|since| *since += stall);
        let suspects = self.members.values_mut().filter(|member| member.state == MemberState::Suspect);
        suspects.for_each(|member| member.since += stall);
    }

    /// Advances suspicion and death.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let timing = self.timing;
        let unanswered_probes = &self.unanswered_probes;
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let next = match member.state {
                MemberState::Alive => {
                    let silent = unanswered_probes.get(&member.node).map(|since| now.duration_since(*since));
                    silent.filter(|silent| *silent >= timing.suspect_after).map(|_| MemberState::Suspect)
                }
                MemberState::Suspect => {
                    (now.duration_since(member.since) >= timing.dead_after).then_some(MemberState::Dead)
                }
                MemberState::Dead | MemberState::Left => None,
            };
            if let Some(state) = next {
                member.state = state;
                member.since = now;
                changed.push(member.node.clone());
            }
        }
        let is_expired = |member: &Member| {
            member.state >= MemberState::Dead && now.duration_since(member.since) >= timing.remove_after
        };
        self.members.retain(|_, member| !is_expired(member));
        let members = &self.members;
        self.unanswered_probes
            .retain(|node, _| members.get(node).is_some_and(|member| member.state == MemberState::Alive));
        changed.iter().filter_map(|node| self.record_change(node)).collect()
    }

    fn active_zone_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.zone == self.zone && member.state <= MemberState::Suspect)
    }

    /// Nodes of this zone that are not dead, this one included.
    pub fn zone_size(&self) -> usize {
        self.active_zone_members().count() + 1
    }

    /// Whether this node speaks with other zones.
    pub fn is_relay(&self) -> bool {
        let alive = self.active_zone_members().filter(|member| member.state == MemberState::Alive);
        let mut candidates: Vec<(&str, u32)> =
            alive.map(|member| (member.node.as_str(), member.link_mbps)).collect();
        candidates.push((self.own.as_str(), self.link_mbps));
        choose_relays(&self.zone, &candidates, RELAYS_PER_ZONE).contains(&self.own.as_str())
    }

    /// Addresses of the relays of the other zones.
    pub fn remote_relays(&self) -> Vec<SocketAddr> {
        self.remote_relay_members().into_iter().map(|member| member.address).collect()
    }

    /// The relays of the other zones. Where members have fallen silent, more are tried, so that the
    /// loss of a whole zone is seen in a number of rounds that grows with the logarithm of its size.
    fn remote_relay_members(&self) -> Vec<&Member> {
        let mut by_zone: BTreeMap<&ZoneName, (Vec<&Member>, usize)> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.zone != self.zone) {
            let (candidates, silent) = by_zone.entry(&member.zone).or_default();
            if member.state <= MemberState::Suspect {
                candidates.push(member);
            }
            *silent += usize::from(member.state != MemberState::Alive);
        }
        let mut relays = Vec::new();
        for (zone, (candidates, silent)) in &by_zone {
            let names: Vec<(&str, u32)> =
                candidates.iter().map(|member| (member.node.as_str(), member.link_mbps)).collect();
            let chosen = choose_relays(zone, &names, RELAYS_PER_ZONE + silent);
            let is_chosen = |member: &&&Member| chosen.contains(&member.node.as_str());
            relays.extend(candidates.iter().filter(is_chosen).copied());
        }
        relays
    }

    /// Who gets this period's heartbeat.
    pub fn targets(&mut self, now: Instant) -> Vec<Target> {
        let mut probed: BTreeMap<NodeId, bool> = BTreeMap::new();
        let zone: Vec<NodeId> = self.active_zone_members().map(|member| member.node.clone()).collect();
        if zone.len() < FULL_MESH_LIMIT {
            // Members that count the zone as large do not send here by themselves.
            let is_unresponsive = |node: &NodeId| {
                self.unanswered_probes
                    .get(node)
                    .is_some_and(|since| now.duration_since(*since) > self.timing.period)
            };
            probed.extend(zone.into_iter().map(|node| (node.clone(), is_unresponsive(&node))));
        } else {
            let next_probes =
                (0..PROBES_PER_PERIOD).map(|offset| zone[(self.probe_cursor + offset) % zone.len()].clone());
            probed.extend(next_probes.map(|node| (node, true)));
            self.probe_cursor = (self.probe_cursor + PROBES_PER_PERIOD) % zone.len();
        }
        if self.is_relay() {
            probed.extend(self.remote_relay_members().iter().map(|member| (member.node.clone(), true)));
        }
        // An unanswered probe is repeated until it is answered or its node suspected, also when the
        // node would not be probed otherwise any more.
        let repeated = self.unanswered_probes.keys().take(REPEATED_PROBES_PER_PERIOD).cloned();
        probed.extend(repeated.map(|node| (node, true)));
        self.unanswered_probes.retain(|node, _| probed.contains_key(node));
        for node in probed.keys() {
            self.unanswered_probes.entry(node.clone()).or_insert(now);
        }
        let dead: Vec<&Member> =
            self.members.values().filter(|member| member.state == MemberState::Dead).collect();
        let dead_probes =
            dead.sample(&mut rand::rng(), DEAD_PROBES_PER_PERIOD).map(|member| (member.node.clone(), true));
        let all = probed.into_iter().chain(dead_probes);
        all.filter_map(|(node, wants_answer)| {
            Some(Target { address: self.members.get(&node)?.address, wants_answer })
        })
        .collect()
    }

    /// Addresses of other members that can probe `node` for this one.
    pub fn indirect_probers(&self, node: &NodeId) -> Vec<SocketAddr> {
        let others: Vec<&Member> = self
            .active_zone_members()
            .filter(|member| &member.node != node && member.state == MemberState::Alive)
            .collect();
        others.sample(&mut rand::rng(), INDIRECT_PROBERS).map(|member| member.address).collect()
    }

    /// Who gets the full list in this period, if anyone: a safety net under the news that travels
    /// piggybacked. Nodes take turns.
    pub fn sync_target(&mut self) -> Option<SocketAddr> {
        self.periods += 1;
        let sync_offset = rendezvous::weight(b"sync", self.own.as_str()) % SYNC_PERIODS;
        if self.periods % SYNC_PERIODS != sync_offset {
            return None;
        }
        let alive: Vec<&Member> =
            self.members.values().filter(|member| member.state == MemberState::Alive).collect();
        alive.choose(&mut rand::rng()).map(|member| member.address)
    }

    /// Everything known.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.members.values().map(to_update).collect()
    }

    /// What to tell others: changes first, then everyone in turn.
    pub fn updates(&mut self) -> Vec<MemberUpdate> {
        self.suppress_redundant_updates();
        // What was told least goes first, so that a wave of changes does not hold up the newest.
        let mut pending: Vec<(u32, NodeId)> =
            self.pending_updates.iter().map(|(node, remaining)| (*remaining, node.clone())).collect();
        pending.sort_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
        let mut chosen: Vec<NodeId> =
            pending.into_iter().take(UPDATES_PER_HEARTBEAT).map(|(_, node)| node).collect();
        for node in &chosen {
            let remaining = self.pending_updates.get(node).copied().unwrap_or(0);
            if remaining <= 1 {
                self.pending_updates.remove(node);
            } else {
                self.pending_updates.insert(node.clone(), remaining - 1);
            }
        }
        let reaches_subset = self.zone_size() > FULL_MESH_LIMIT && !self.broadcasts;
        let refreshed = if reaches_subset { REFRESHES_PER_HEARTBEAT } else { 1 };
        let refresh_count = UPDATES_PER_HEARTBEAT.saturating_sub(chosen.len()).min(refreshed);
        let names: Vec<&NodeId> = self.members.keys().collect();
        for offset in 0..refresh_count.min(names.len()) {
            chosen.push(names[(self.refresh_cursor + offset) % names.len()].clone());
        }
        self.refresh_cursor = self.refresh_cursor.wrapping_add(refresh_count) % names.len().max(1);
        chosen.iter().filter_map(|node| self.members.get(node)).map(to_update).collect()
    }
}

/// The names of those that speak for a zone, among `candidates` with their links in Mbit/s. What one zone tells another
/// passes over a relay's link once for each node of its zone, so it takes the place of callers' requests there.
fn choose_relays<'a>(zone: &ZoneName, candidates: &[(&'a str, u32)], count: usize) -> Vec<&'a str> {
    let weighted: Vec<(&str, f64)> =
        candidates.iter().map(|(name, link_mbps)| (*name, link_weight(*link_mbps))).collect();
    rendezvous::choose_weighted(zone.as_str().as_bytes(), &weighted, count)
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
        last_received: None,
        revision: 0,
        digest: 0,
        ready: false,
        draining: false,
        link_mbps: update.link_mbps,
    }
}

fn to_update(member: &Member) -> MemberUpdate {
    MemberUpdate {
        node: member.node.to_string(),
        zone: member.zone.to_string(),
        address: member.address.to_string(),
        incarnation: member.incarnation,
        state: member.state.number(),
        link_mbps: member.link_mbps,
    }
}
