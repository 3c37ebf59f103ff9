//! How the gateways of a large deployment know of other zones: by sums, not node by node.
//!
//! Where all nodes told each other, the cost of a node's heartbeats would grow with the whole deployment.
//! So only the nodes of a zone do. The relays of a zone sum what they hear, send the sum to one relay of
//! each other zone, in turn, and that one passes it on to its own zone. With two relays a zone the loss
//! of one costs every second sum, until membership has chosen another. A sum holds totals, so one that is not passed on
//! because the relay's link is taken loses nothing but freshness.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{ZoneHeard, ZoneSilent};
use beamwall_gateway::Reporter;
use beamwall_model::{NodeId, ServiceName, ZoneName};
use beamwall_peer::gateway_message::{BackendLoad, ZoneSummary};
use beamwall_peer::{Body, Envelope, Member, MemberState, Target};
use tokio::time::Instant;

use crate::gateway::beat;
use crate::gateway::exchange::{Exchange, TOLD_WINDOWS};
use crate::gateway::loads_to_pass_on::LoadsToPassOn;
use crate::gateway::placers::{Asker, Placers};
use crate::shared::MembershipView;

/// Members up to which all nodes tell each other, whatever their zone.
pub(super) const SMALL_DEPLOYMENT: usize = 24;
/// Time without a sum after which a zone's nodes count as not heard.
const HEARD_WITHIN: Duration = Duration::from_millis(2_500);
/// Time after which a zone's sum is passed on although the link is taken, so that the zone is heard.
const PASSED_ON_WITHIN: Duration = Duration::from_secs(1);
/// Time without a sum after which a zone's open work and demand are not counted any more.
const BELIEVED_FOR: Duration = Duration::from_secs(5);

/// What is known of the other zones beside their sums.
#[derive(Debug, Default)]
pub struct HeardZones {
    heard: Mutex<HashMap<ZoneName, HeardZone>>,
    /// Number of the next sum, by which the receiving relays take turns.
    turn: AtomicUsize,
    /// When this relay last passed on a zone's sum.
    passed_on: Mutex<HashMap<ZoneName, Instant>>,
    /// Whether zones have been known by sums since the start.
    by_sums: AtomicBool,
    /// Who places in each group, for a relay.
    placers: Mutex<Placers>,
}

#[derive(Debug, Clone, Copy)]
struct HeardZone {
    nodes: usize,
    at: Instant,
}

impl HeardZones {
    fn note(&self, zone: ZoneName, relay: String, nodes: usize) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let before = heard.insert(zone.clone(), HeardZone { nodes, at: Instant::now() });
        if before.is_none() {
            emit(&ZoneHeard { zone: zone.to_string(), relay, nodes: nodes.to_string() });
        }
    }

    /// Whether a zone's sum is passed on, where `has_room` tells whether the link has room for it.
    fn take_turn_to_pass_on(&self, zone: &ZoneName, has_room: bool, now: Instant) -> bool {
        let mut passed_on = self.passed_on.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = passed_on.get(zone).is_none_or(|at| now.duration_since(*at) >= PASSED_ON_WITHIN);
        if has_room || is_due {
            passed_on.insert(zone.clone(), now);
        }
        has_room || is_due
    }

    /// Nodes of all other zones that are heard by relays that are heard.
    pub(super) fn nodes_heard(&self) -> usize {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.values().filter(|zone| zone.at.elapsed() < HEARD_WITHIN).map(|zone| zone.nodes).sum()
    }

    /// Zones that were heard and have fallen silent.
    pub(super) fn silent(&self) -> HashSet<ZoneName> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let silent = heard.iter().filter(|(_, zone)| zone.at.elapsed() >= HEARD_WITHIN);
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    fn take_silent(&self) -> Vec<ZoneName> {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.extract_if(|_, zone| zone.at.elapsed() >= BELIEVED_FOR).map(|(zone, _)| zone).collect()
    }
}

impl Exchange {
    /// Whether other zones are known by sums.
    pub(super) fn is_large(&self) -> bool {
        self.members.load().members.len() + 1 > SMALL_DEPLOYMENT
    }

    /// Members of this zone that may live.
    pub(super) fn zone_members<'a>(&'a self, members: &'a [Member]) -> impl Iterator<Item = &'a Member> {
        members.iter().filter(|member| member.zone == self.zone && member.state <= MemberState::Suspect)
    }

    /// Sends this zone's sum to one relay of each other zone, if this node is a relay, and forgets zones
    /// that have fallen silent.
    pub(super) fn exchange_zone_sums(&self, targets: &[Target]) {
        if !self.is_large() {
            return;
        }
        self.forget_nodes_of_other_zones();
        for zone in self.zones.take_silent() {
            emit(&ZoneSilent { zone: zone.to_string() });
            self.forget_work_of(&Reporter::Zone(zone));
        }
        if self.members.load().is_relay {
            let sum = self.envelope(Body::ZoneSummary(self.sum_zone()));
            for address in self.receiving_relays(targets) {
                self.network.send(address, &sum);
            }
        }
    }

    /// Of the relays of other zones that are probed anyway, one a zone, by turns.
    fn receiving_relays(&self, targets: &[Target]) -> Vec<SocketAddr> {
        let turn = self.zones.turn.fetch_add(1, Ordering::Relaxed);
        let view = self.members.load();
        let mut by_zone: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for member in view.members.iter().filter(|member| member.zone != self.zone) {
            let is_target = targets.iter().any(|target| target.address == member.address);
            if is_target && member.state == MemberState::Alive {
                by_zone.entry(&member.zone).or_default().push(member.address);
            }
        }
        by_zone.values().map(|relays| relays[turn % relays.len()]).collect()
    }

    fn sum_zone(&self) -> ZoneSummary {
        let forwarder = &self.gateway.forwarder;
        let loads = forwarder.backend_state.loads.sum_of_nodes();
        let (models, slowness) = self.observations_of_zone();
        ZoneSummary {
            zone: self.zone.to_string(),
            relay: self.node.to_string(),
            life: self.life,
            nodes_heard: u32::try_from(self.close_nodes_heard()).unwrap_or(u32::MAX),
            quota_uses: beat::encode_quota_uses(self.gateway.quotas.sum_of_nodes()),
            loads: beat::encode_loads(loads.into_iter().collect()),
            usage: beat::encode_usage(forwarder.usage.sum_of_nodes(TOLD_WINDOWS)),
            demands: beat::encode_demands(forwarder.demand.sum_of_nodes()),
            models,
            slowness,
            rollouts: self.rollouts_of_zone(),
            quarantine_digest: self.quarantine_digest(),
        }
    }

    /// Takes another zone's sum; the relay that got it from that zone passes it on in its own.
    pub(super) fn take_zone_sum(&self, envelope: &Envelope, summary: ZoneSummary) {
        let zone = ZoneName::new(&summary.zone);
        if !self.is_large() || zone == self.zone {
            return;
        }
        if envelope.zone != self.zone.as_str() {
            self.pass_on(&zone, &summary);
            self.hear_quarantine_digest(envelope, summary.quarantine_digest);
        }
        let forwarder = &self.gateway.forwarder;
        let reporter = Reporter::Zone(zone.clone());
        forwarder.backend_state.loads.set_peer(&reporter, beat::decode_loads(summary.loads));
        forwarder.demand.set_peer(&reporter, beat::decode_demands(&summary.demands));
        self.take_observations(&reporter, &summary.models, &summary.slowness);
        forwarder.usage.merge_zone(&zone, beat::decode_usage(summary.usage));
        let relay = NodeId::new(&summary.relay);
        let uses = beat::decode_quota_uses(&summary.quota_uses);
        self.gateway.quotas.merge_zone_usage(&zone, &relay, summary.life, uses, Instant::now());
        if let Some(news) = &summary.rollouts {
            self.take_rollouts_of_zone(&zone, news);
        }
        self.zones.note(zone, summary.relay, summary.nodes_heard as usize);
    }

    /// Passes another zone's sum on to the nodes of this one, as often as the link has room for it.
    fn pass_on(&self, zone: &ZoneName, summary: &ZoneSummary) {
        let view = self.members.load_full();
        let members: Vec<&Member> = self.zone_members(&view.members).collect();
        let sorted = self.sort_loads(&summary.loads, &view);
        let to_all = ZoneSummary { loads: sorted.to_all, ..summary.clone() };
        let sum = self.envelope(Body::ZoneSummary(to_all.clone()));
        let now = Instant::now();
        let has_room = self.transfers.admit(sum.size_bytes() * members.len(), now).is_ok();
        if !self.zones.take_turn_to_pass_on(zone, has_room, now) {
            return;
        }
        for member in members {
            match sorted.to_placers.get(&member.node) {
                None => self.network.send(member.address, &sum),
                Some(placed) => {
                    let loads = [to_all.loads.as_slice(), placed].concat();
                    let summary = ZoneSummary { loads, ..to_all.clone() };
                    self.network.send(member.address, &self.envelope(Body::ZoneSummary(summary)));
                }
            }
        }
    }

    fn sort_loads(&self, loads: &[BackendLoad], view: &Arc<MembershipView>) -> LoadsToPassOn {
        let policy = self.gateway.policy.load();
        let is_placed = |service: &ServiceName| {
            policy.policy().services.iter().any(|known| &known.name == service && known.engine.is_some())
        };
        let asker = Asker { node: self.node.clone(), zone: self.zone.clone(), link_mbps: self.link_mbps };
        let mut placers = self.zones.placers.lock().unwrap_or_else(PoisonError::into_inner);
        let placer = |group| placers.first(&asker, view, group).as_ref().map(|member| member.node.clone());
        LoadsToPassOn::sort(loads, &self.directory.load(), is_placed, placer)
    }

    /// Drops what single nodes of other zones told while the deployment seemed small: from now on it is
    /// part of their zones' sums.
    fn forget_nodes_of_other_zones(&self) {
        if self.zones.by_sums.swap(true, Ordering::Relaxed) {
            return;
        }
        for member in self.members.load().members.iter().filter(|member| member.zone != self.zone) {
            self.forget_work_of(&Reporter::Node(member.node.clone()));
            self.gateway.forwarder.usage.remove_node_counts(&member.node);
            self.rollouts().remove_node_evidence(&member.node);
        }
    }

    /// Forgets the open work, the demand and the observations that somebody told.
    pub(super) fn forget_work_of(&self, reporter: &Reporter) {
        self.gateway.forwarder.backend_state.loads.remove_peer(reporter);
        self.gateway.forwarder.demand.remove_peer(reporter);
        self.gateway.forwarder.backend_state.models.remove_peer(reporter);
    }
}
