//! The `Membership` aggregate: the state of each known node, the targets of heartbeats, and the member
//! updates to send.
//!
//! In a zone of up to [`FULL_MESH_LIMIT`] members, every node sends heartbeats to every other. In a larger
//! zone, each node probes a few members in turn, which reply, and member updates are piggybacked on these
//! messages. Between two zones, only the relays exchange heartbeats: two nodes of each zone, chosen among
//! those on the fastest links. A node becomes suspect when a probe of it has been unanswered for some time.
//! Other members then probe it, too, and it is declared dead only after a further delay. A node that learns
//! that it is suspect refutes this with a higher incarnation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beamwall_model::{NodeId, ZoneName, rendezvous};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::member::{Member, MemberState, link_weight};
use crate::message::{Envelope, MemberUpdate};

/// Zone size up to which every member sends heartbeats to every other.
pub const FULL_MESH_LIMIT: usize = 16;
/// Members of a larger zone to which a new probe is sent in each period.
const PROBES_PER_PERIOD: usize = 2;
/// Maximum number of unanswered probes repeated in each period.
const REPEATED_PROBES_PER_PERIOD: usize = 16;
/// Dead members probed in each period, so that the two sides of a healed partition reconnect.
const DEAD_PROBES_PER_PERIOD: usize = 3;
/// Number of members asked to probe a suspect.
const INDIRECT_PROBERS: usize = 4;
/// Periods between two full member lists that a node sends, each to one other node.
const SYNC_PERIODS: u64 = 60;
/// Unchanged members included in each heartbeat in a large zone whose heartbeats reach only a few nodes.
const REFRESHES_PER_HEARTBEAT: usize = 4;
/// Number of relays of each zone, which exchange messages with the relays of other zones.
pub const RELAYS_PER_ZONE: usize = 2;
/// Number of heartbeat rounds that include a changed member.
const TRANSMISSIONS_PER_UPDATE: u32 = 8;
/// Like [`TRANSMISSIONS_PER_UPDATE`], where each heartbeat reaches the whole zone.
const BROADCAST_TRANSMISSIONS_PER_UPDATE: u32 = 2;
/// Maximum number of member updates in one heartbeat.
const UPDATES_PER_HEARTBEAT: usize = 24;
/// Rise of a node's incarnation from which its process must have been restarted: incarnations begin at the
/// start time in milliseconds, and a refuted suspicion, which takes seconds, raises them by one.
const MIN_RISE_AT_RESTART: u64 = 100;
/// Number of seeds that introduce members to a restarted node.
const INTRODUCING_SEEDS: usize = 3;

/// Timing of failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTiming {
    /// Interval between heartbeats.
    pub period: Duration,
    /// Time for which a probed node may stay silent before it becomes suspect.
    pub suspect_after: Duration,
    /// Time in the suspect state after which a node is declared dead.
    pub dead_after: Duration,
    /// Time after which a dead node is removed.
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

/// The process of a sender that this node knew before a message of it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownProcess {
    /// The sender was not known.
    None,
    /// One that ran before the process that sent the message.
    Earlier,
    /// The one that sent the message.
    Current,
}

/// One node's view of all other nodes.
#[derive(Debug)]
pub struct Membership {
    own: NodeId,
    zone: ZoneName,
    link_mbps: u32,
    /// Whether this node is one of the seeds that introduce members to restarted nodes.
    is_introducing_seed: bool,
    /// Whether heartbeats are sent to all nodes of the zone.
    broadcasts: bool,
    incarnation: u64,
    timing: MembershipTiming,
    members: BTreeMap<NodeId, Member>,
    /// Incarnation with which each member last sent a message here that decided whether it is introduced.
    /// Other nodes may report a higher one before a restarted member sends its first message.
    decided_incarnations: BTreeMap<NodeId, u64>,
    pending_updates: BTreeMap<NodeId, u32>,
    refresh_cursor: usize,
    /// Members from which no message has arrived since they were probed, with the time of the first such
    /// probe.
    unanswered_probes: BTreeMap<NodeId, Instant>,
    probe_cursor: usize,
    periods: u64,
}

/// A recipient of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address.
    pub address: SocketAddr,
    /// Whether the recipient is asked to reply, because it does not send heartbeats to this node on its own.
    pub wants_answer: bool,
}

impl Membership {
    /// Creates the view of a node without known members. `incarnation` must be higher than that of any
    /// earlier process of this node.
    pub fn new(own: NodeId, zone: ZoneName, incarnation: u64, timing: MembershipTiming) -> Self {
        Self {
            own,
            zone,
            link_mbps: 0,
            is_introducing_seed: false,
            broadcasts: false,
            incarnation,
            timing,
            members: BTreeMap::new(),
            decided_incarnations: BTreeMap::new(),
            pending_updates: BTreeMap::new(),
            refresh_cursor: 0,
            unanswered_probes: BTreeMap::new(),
            probe_cursor: 0,
            periods: 0,
        }
    }

    /// Sets the capacity of this node's network link in Mbit/s.
    pub fn with_link(self, link_mbps: u32) -> Self {
        Self { link_mbps, ..self }
    }

    /// Makes this node introduce members to restarted nodes if `address`, its own, is one of the first of
    /// `seeds`, which all nodes contact at their start. Only a few do, since any number of nodes may be seeds.
    pub fn with_seeds(self, seeds: &[SocketAddr], address: SocketAddr) -> Self {
        let is_introducing_seed = seeds.iter().take(INTRODUCING_SEEDS).any(|seed| *seed == address);
        Self { is_introducing_seed, ..self }
    }

    /// Sends heartbeats to all nodes of the zone. Since all nodes of the zone do so, each receives heartbeats
    /// directly from all others.
    pub fn with_broadcast(self) -> Self {
        Self { broadcasts: true, ..self }
    }

    /// Returns whether heartbeats are broadcast in a zone so large that redundant member updates are left
    /// out.
    fn broadcasts_to_large_zone(&self) -> bool {
        self.broadcasts && self.zone_size() > FULL_MESH_LIMIT
    }

    /// Returns this node's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns all known members, without this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member of this name.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns the process of a message's sender that is known before the message is recorded.
    pub fn known_process(&self, envelope: &Envelope) -> KnownProcess {
        let sender = NodeId::new(&envelope.sender);
        let Some(member) = self.members.get(&sender) else { return KnownProcess::None };
        let known = self.decided_incarnations.get(&sender).copied().unwrap_or(member.incarnation);
        let is_restarted = envelope.incarnation >= known.saturating_add(MIN_RISE_AT_RESTART);
        if is_restarted { KnownProcess::Earlier } else { KnownProcess::Current }
    }

    /// Records a message received directly from its sender.
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
            store_lost: envelope.store_lost,
        };
        self.members.insert(node.clone(), member);
        is_new_incarnation.then(|| self.record_change(&node)).flatten()
    }

    /// Records a message of a sender that is suspect, dead or has left, without changing its state. The
    /// sender has to learn of that state and return with a higher incarnation, so that all nodes accept it as
    /// alive again.
    fn record_inactive_sender(&mut self, node: &NodeId, envelope: &Envelope, now: Instant) {
        if let Some(member) = self.members.get_mut(node) {
            member.last_received = Some(now);
            member.revision = envelope.revision;
        }
    }

    /// Returns the updates to send immediately to the sender of a recorded message. A sender that was not
    /// known before gets all members, unless it reports in a large zone with broadcast heartbeats that it
    /// knows at least as many (`members_known`). A sender that was restarted gets them if it is introduced
    /// here. A sender that is not alive in this node's view gets its own state.
    pub fn immediate_updates(
        &mut self,
        envelope: &Envelope,
        known_process: KnownProcess,
        members_known: Option<usize>,
    ) -> Vec<MemberUpdate> {
        let is_introduced = match known_process {
            KnownProcess::None => !self.is_fully_informed(members_known),
            KnownProcess::Earlier => self.introduces_restarted(members_known),
            KnownProcess::Current => false,
        };
        let is_restarted = known_process == KnownProcess::Earlier;
        if is_introduced || members_known.is_some() || !is_restarted {
            self.note_decided(envelope);
        }
        match self.members.get(&NodeId::new(&envelope.sender)) {
            Some(_) if is_introduced => self.all_updates(),
            Some(member) if member.state != MemberState::Alive => vec![to_update(member)],
            _ => Vec::new(),
        }
    }

    fn note_decided(&mut self, envelope: &Envelope) {
        let decided = self.decided_incarnations.entry(NodeId::new(&envelope.sender)).or_default();
        *decided = envelope.incarnation.max(*decided);
    }

    fn is_fully_informed(&self, members_known: Option<usize>) -> bool {
        self.broadcasts_to_large_zone()
            && members_known.is_some_and(|members_known| members_known >= self.members.len())
    }

    /// Whether this node introduces all members to a restarted one. All nodes of its zone still send it
    /// heartbeats and soon receive its own, so of these only the relays do, if it reports that it knows fewer
    /// members. The first seeds, which it contacts at its start, also do if it reports no number.
    fn introduces_restarted(&self, members_known: Option<usize>) -> bool {
        match members_known {
            Some(known) if known >= self.introducible_members() => false,
            Some(_) => self.is_introducing_seed || self.is_relay(),
            None => self.is_introducing_seed,
        }
    }

    /// Number of members that a node adds if they are introduced to it: those that are not dead.
    fn introducible_members(&self) -> usize {
        self.members.values().filter(|member| member.state < MemberState::Dead).count()
    }

    /// Applies member updates received from a peer and returns the resulting changes.
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

    /// Drops pending updates that other nodes do not need, where heartbeats are broadcast in a large zone. Of
    /// 100 nodes that broadcast heartbeats, each receives a message from every new member directly, and 99
    /// others would send it the same update eight times each: 160 KB per second for 100 seconds after a start
    /// of 300 nodes. In such a zone, only the relays send updates of members that are alive, for the sake of
    /// other zones, and updates of members that have fallen silent are sent twice.
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

    /// Excludes a stall of this node's own process from the silence of its peers, whose messages may still be
    /// unread.
    pub fn discount_stall(&mut self, stall: Duration) {
        self.unanswered_probes.values_mut().for_each(|since| *since += stall);
        let suspects = self.members.values_mut().filter(|member| member.state == MemberState::Suspect);
        suspects.for_each(|member| member.since += stall);
    }

    /// Marks members as suspect or dead whose time has run out, removes expired ones and returns the changes.
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
        self.decided_incarnations.retain(|node, _| members.contains_key(node));
        self.unanswered_probes
            .retain(|node, _| members.get(node).is_some_and(|member| member.state == MemberState::Alive));
        changed.iter().filter_map(|node| self.record_change(node)).collect()
    }

    fn active_zone_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.zone == self.zone && member.state <= MemberState::Suspect)
    }

    /// Returns the number of nodes of this zone that are alive or suspect, this one included.
    pub fn zone_size(&self) -> usize {
        self.active_zone_members().count() + 1
    }

    /// Returns whether this node is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        let alive = self.active_zone_members().filter(|member| member.state == MemberState::Alive);
        let mut candidates: Vec<(&str, u32)> =
            alive.map(|member| (member.node.as_str(), member.link_mbps)).collect();
        candidates.push((self.own.as_str(), self.link_mbps));
        choose_relays(&self.zone, &candidates, RELAYS_PER_ZONE).contains(&self.own.as_str())
    }

    /// Returns the addresses of the relays of the other zones.
    pub fn remote_relays(&self) -> Vec<SocketAddr> {
        self.remote_relay_members().into_iter().map(|member| member.address).collect()
    }

    /// Returns the relays of the other zones. For each member of a zone that is not alive, one more node is
    /// included, so that the loss of a whole zone is detected in a number of rounds that is logarithmic in
    /// its size.
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

    /// Returns the recipients of this period's heartbeat and records the probes of those that are not dead.
    pub fn targets(&mut self, now: Instant) -> Vec<Target> {
        let mut probed: BTreeMap<NodeId, bool> = BTreeMap::new();
        let zone: Vec<NodeId> = self.active_zone_members().map(|member| member.node.clone()).collect();
        if zone.len() < FULL_MESH_LIMIT {
            // Members in whose view the zone is large do not send heartbeats here on their own, so an
            // unresponsive one is asked to reply.
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
        // An unanswered probe is repeated until the node replies or becomes suspect, even if the node would
        // no longer be probed otherwise.
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

    /// Returns the addresses of randomly chosen members that can probe `node` on behalf of this one.
    pub fn indirect_probers(&self, node: &NodeId) -> Vec<SocketAddr> {
        let others: Vec<&Member> = self
            .active_zone_members()
            .filter(|member| &member.node != node && member.state == MemberState::Alive)
            .collect();
        others.sample(&mut rand::rng(), INDIRECT_PROBERS).map(|member| member.address).collect()
    }

    /// Returns the recipient of the full member list in this period, if any. Full lists correct what
    /// piggybacked updates have missed. The periods in which nodes send them are spread by the hash of the
    /// node's name.
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

    /// Returns an update for every known member.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.members.values().map(to_update).collect()
    }

    /// Returns the member updates for the next heartbeat: changed members first, then all members in
    /// rotation.
    pub fn updates(&mut self) -> Vec<MemberUpdate> {
        self.suppress_redundant_updates();
        // The updates sent least often go first, so that a burst of changes does not delay the newest.
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

/// Selects the relays of a zone among `candidates`, given with the capacity of their links in Mbit/s. A relay
/// forwards each message from another zone to every node of its own zone, so this traffic competes with
/// callers' requests on the relay's link; fast links are preferred.
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
        store_lost: false,
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
