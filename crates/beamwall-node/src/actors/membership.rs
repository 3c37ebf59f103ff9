//! Owner of the membership.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::{PeerAlive, PeerDead, PeerSuspect, PeersAlive};
use beamwall_model::{NodeId, ZoneName};
use beamwall_peer::message::MemberUpdate;
use beamwall_peer::{Envelope, Member, MemberState, Membership, MembershipChange, Target};
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::time::Instant;

use crate::shared::MembershipView;

/// Peers that are told one by one when they become members within a heartbeat period; of more the number is told.
const TOLD_ONE_BY_ONE: usize = 3;

/// Owner of the membership.
#[derive(Actor)]
pub struct MembershipActor {
    membership: Membership,
    view: Arc<ArcSwap<MembershipView>>,
    /// Peers that became members in the heartbeat period that runs.
    joined: Vec<MembershipChange>,
    /// Time for which this process had stood still at the last tick.
    stood_still: Duration,
}

impl MembershipActor {
    /// An owner that publishes to `view`.
    pub fn new(membership: Membership, view: Arc<ArcSwap<MembershipView>>) -> Self {
        let actor = Self { membership, view, joined: Vec::new(), stood_still: process_clock::stall_time() };
        actor.publish();
        actor
    }

    fn publish(&self) {
        let members = self.membership.members().cloned().collect();
        let is_relay = self.membership.is_relay();
        let relays_elsewhere = if is_relay { self.membership.remote_relays() } else { Vec::new() };
        self.view.store(Arc::new(MembershipView {
            incarnation: self.membership.incarnation(),
            members,
            is_relay,
            relays_elsewhere,
            zone_size: self.membership.zone_size(),
        }));
    }

    /// Logs peers that fell silent, and keeps those that became members until the period ends.
    fn note(&mut self, changes: &[MembershipChange]) {
        for change in changes {
            let peer = change.node.to_string();
            let zone = change.zone.to_string();
            match change.state {
                MemberState::Alive => self.joined.push(change.clone()),
                MemberState::Suspect => emit(&PeerSuspect { peer, zone }),
                MemberState::Dead | MemberState::Left => emit(&PeerDead { peer, zone }),
            }
        }
    }
}

/// Logs the peers that became members within a heartbeat period.
fn log_joined(joined: &[MembershipChange]) {
    if joined.len() > TOLD_ONE_BY_ONE {
        let zones: BTreeSet<&ZoneName> = joined.iter().map(|change| &change.zone).collect();
        emit(&PeersAlive { peers: joined.len().to_string(), zones: zones.len().to_string() });
        return;
    }
    for change in joined {
        emit(&PeerAlive { peer: change.node.to_string(), zone: change.zone.to_string() });
    }
}

/// What others decide by; the time of the last message is not part of it.
fn standing(member: &Member) -> (MemberState, u64, u64, bool, bool, bool) {
    let Member { state, incarnation, revision, ready, draining, store_lost, .. } = *member;
    (state, incarnation, revision, ready, draining, store_lost)
}

/// A message came from a peer, with what it tells of others.
pub struct Hear {
    /// The message without its body.
    pub envelope: Envelope,
    /// What it tells of others.
    pub members: Vec<MemberUpdate>,
    /// Members that it knows, where it says so.
    pub knows: Option<usize>,
}

/// What to answer to the sender at once; often nothing.
#[derive(Debug, Default, kameo::Reply)]
pub struct Introduction(pub Vec<MemberUpdate>);

impl Message<Hear> for MembershipActor {
    type Reply = Introduction;

    async fn handle(&mut self, message: Hear, _: &mut Context<Self, Self::Reply>) -> Introduction {
        let now = Instant::now();
        let sender = NodeId::new(&message.envelope.sender);
        let known_process = self.membership.known_process(&message.envelope);
        let before = self.membership.member(&sender).map(standing);
        let mut changes: Vec<MembershipChange> =
            self.membership.record_message(&message.envelope, now).into_iter().collect();
        changes.extend(self.membership.merge(&message.members, now));
        self.note(&changes);
        let after = self.membership.member(&sender).map(standing);
        if !changes.is_empty() || before != after {
            self.publish();
        }
        Introduction(self.membership.immediate_updates(&message.envelope, known_process, message.knows))
    }
}

/// A heartbeat period has passed.
pub struct Tick;

/// What to do in this period.
#[derive(Debug, Default, kameo::Reply)]
pub struct TickResult {
    /// Who gets the heartbeat.
    pub targets: Vec<Target>,
    /// What to tell of others.
    pub updates: Vec<MemberUpdate>,
    /// Who gets everything that is known, if anyone.
    pub sync: Option<(SocketAddr, Vec<MemberUpdate>)>,
    /// Nodes that died.
    pub died: Vec<NodeId>,
    /// Nodes newly suspected, with those who can probe them.
    pub suspected: Vec<(NodeId, SocketAddr, Vec<SocketAddr>)>,
}

impl Message<Tick> for MembershipActor {
    type Reply = TickResult;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) -> TickResult {
        let now = Instant::now();
        let stood_still = process_clock::stall_time();
        self.membership.discount_stall(stood_still.saturating_sub(self.stood_still));
        self.stood_still = stood_still;
        let changes = self.membership.tick(now);
        log_joined(&std::mem::take(&mut self.joined));
        self.note(&changes);
        let in_state = |state| changes.iter().filter(move |change| change.state == state);
        let died = in_state(MemberState::Dead).map(|change| change.node.clone()).collect();
        let suspected = in_state(MemberState::Suspect)
            .filter_map(|change| {
                let address = self.membership.member(&change.node)?.address;
                Some((change.node.clone(), address, self.membership.indirect_probers(&change.node)))
            })
            .collect();
        let sync = self.membership.sync_target().map(|address| (address, self.membership.all_updates()));
        let result = TickResult {
            sync,
            targets: self.membership.targets(now),
            updates: self.membership.updates(),
            died,
            suspected,
        };
        self.publish();
        result
    }
}
