//! Zone summaries: the gateways of a large deployment exchange sums by zone instead of reports by node.
//!
//! If all nodes reported to each other, the cost of a node's heartbeats would grow with the whole deployment,
//! so only the nodes of a zone do. The relays of a zone sum up the reports they receive and send the summary
//! to one relay of each other zone, in rotation, which forwards it within its own zone. With two relays per
//! zone the loss of one costs every second summary, until membership has chosen another. A summary holds
//! totals, so one that is not forwarded because the relay's link is busy only delays the data.

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

use crate::gateway::exchange::{PeerExchange, REPORTED_WINDOWS};
use crate::gateway::forwarded_loads::ForwardedLoads;
use crate::gateway::heartbeat_wire;
use crate::gateway::placement_router::{LocalNode, PlacementRouter};
use crate::shared::MembershipView;

/// Up to this number of members all nodes report to each other, whatever their zone.
pub(super) const SMALL_DEPLOYMENT_MAX_MEMBERS: usize = 24;
/// Time without a summary after which the nodes of a zone count as unreachable.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Minimum time between two summaries sent because a tenant is near its limit.
const URGENT_SUMMARY_PERIOD: Duration = Duration::from_millis(200);
/// Time after which a summary is forwarded even if the link is busy, so that the zone still counts as
/// reachable.
const FORWARD_WITHIN: Duration = Duration::from_secs(1);
/// Time without a summary after which a zone's open work and demand are dropped.
const DATA_EXPIRES_AFTER: Duration = Duration::from_secs(5);

/// State of the other zones besides the content of their summaries.
#[derive(Debug, Default)]
pub struct RemoteZones {
    known_zones: Mutex<HashMap<ZoneName, RemoteZone>>,
    /// Counts the summaries sent, to rotate among the receiving relays.
    rotation: AtomicUsize,
    /// When this relay last forwarded each zone's summary.
    last_forwarded: Mutex<HashMap<ZoneName, Instant>>,
    /// Whether nodes of other zones have reported their own work since such reports were last dropped.
    has_node_reports: AtomicBool,
    /// Determines the placement node of each group, on a relay.
    placement_router: Mutex<PlacementRouter>,
}

#[derive(Debug, Clone, Copy)]
struct RemoteZone {
    nodes: usize,
    last_summary_at: Instant,
}

impl RemoteZones {
    fn note(&self, zone: ZoneName, relay: String, nodes: usize) {
        let mut known_zones = self.known_zones.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known_zones.insert(zone.clone(), RemoteZone { nodes, last_summary_at: Instant::now() });
        if before.is_none() {
            emit(&ZoneHeard { zone: zone.to_string(), relay, nodes: nodes.to_string() });
        }
    }

    /// Records that a node of another zone has reported its own work.
    pub(super) fn note_node_report(&self) {
        self.has_node_reports.store(true, Ordering::Relaxed);
    }

    /// Whether a zone's summary is forwarded now; `has_room` is whether the link has room for it.
    fn should_forward(&self, zone: &ZoneName, has_room: bool, now: Instant) -> bool {
        let mut last_forwarded = self.last_forwarded.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last_forwarded.get(zone).is_none_or(|at| now.duration_since(*at) >= FORWARD_WITHIN);
        if has_room || is_due {
            last_forwarded.insert(zone.clone(), now);
        }
        has_room || is_due
    }

    /// Nodes of all other zones that their relays can reach, for zones whose summaries arrive.
    pub(super) fn reachable_nodes(&self) -> usize {
        let known_zones = self.known_zones.lock().unwrap_or_else(PoisonError::into_inner);
        known_zones
            .values()
            .filter(|zone| zone.last_summary_at.elapsed() < SUMMARY_TIMEOUT)
            .map(|zone| zone.nodes)
            .sum()
    }

    /// Zones whose summaries have stopped arriving.
    pub(super) fn silent(&self) -> HashSet<ZoneName> {
        let known_zones = self.known_zones.lock().unwrap_or_else(PoisonError::into_inner);
        let expired =
            known_zones.iter().filter(|(_, zone)| zone.last_summary_at.elapsed() >= SUMMARY_TIMEOUT);
        expired.map(|(zone, _)| zone.clone()).collect()
    }

    fn remove_expired(&self) -> Vec<ZoneName> {
        let mut known_zones = self.known_zones.lock().unwrap_or_else(PoisonError::into_inner);
        known_zones
            .extract_if(|_, zone| zone.last_summary_at.elapsed() >= DATA_EXPIRES_AFTER)
            .map(|(zone, _)| zone)
            .collect()
    }
}

impl PeerExchange {
    /// Whether the deployment is large enough to use zone summaries.
    pub(super) fn is_large_deployment(&self) -> bool {
        self.members.load().members.len() + 1 > SMALL_DEPLOYMENT_MAX_MEMBERS
    }

    /// Members of this zone that may be alive.
    pub(super) fn zone_members<'a>(&'a self, members: &'a [Member]) -> impl Iterator<Item = &'a Member> {
        members.iter().filter(|member| member.zone == self.zone && member.state <= MemberState::Suspect)
    }

    /// Sends this zone's summary to one relay of each other zone, if this node is a relay, and drops the data
    /// of zones that have fallen silent.
    pub(super) fn send_zone_summaries(&self, targets: &[Target]) {
        if !self.is_large_deployment() {
            return;
        }
        self.forget_remote_nodes();
        for zone in self.zones.remove_expired() {
            emit(&ZoneSilent { zone: zone.to_string() });
            self.forget_reporter(&Reporter::Zone(zone));
        }
        if self.members.load().is_relay {
            let message = self.envelope(Body::ZoneSummary(self.zone_summary()));
            for address in self.receiving_relays(targets) {
                self.network.send(address, &message);
            }
        }
    }

    /// Sends the next summary at once if this node is a relay, since a tenant of this zone is near its limit.
    pub(super) fn send_urgent_summary(&self) {
        let is_relay = self.is_large_deployment() && self.members.load().is_relay;
        if is_relay && self.urgent_summary_throttle.admit(URGENT_SUMMARY_PERIOD) {
            self.heartbeat_trigger.notify_one();
        }
    }

    /// One relay per other zone, in rotation, among those that are probed anyway.
    fn receiving_relays(&self, targets: &[Target]) -> Vec<SocketAddr> {
        let rotation = self.zones.rotation.fetch_add(1, Ordering::Relaxed);
        let view = self.members.load();
        let mut by_zone: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for member in view.members.iter().filter(|member| member.zone != self.zone) {
            let is_target = targets.iter().any(|target| target.address == member.address);
            if is_target && member.state == MemberState::Alive {
                by_zone.entry(&member.zone).or_default().push(member.address);
            }
        }
        by_zone.values().map(|relays| relays[rotation % relays.len()]).collect()
    }

    fn zone_summary(&self) -> ZoneSummary {
        let forwarder = &self.gateway.forwarder;
        let loads = forwarder.backend_state.loads.sum_of_nodes();
        let (models, slowness) = self.observations_of_zone();
        let usage = forwarder.usage.sum_of_nodes(REPORTED_WINDOWS);
        ZoneSummary {
            zone: self.zone.to_string(),
            relay: self.node.to_string(),
            life: self.generation,
            nodes_heard: u32::try_from(self.reachable_direct_nodes()).unwrap_or(u32::MAX),
            quota_uses: heartbeat_wire::encode_quota_uses(self.gateway.quotas.sum_of_nodes()),
            loads: heartbeat_wire::encode_loads(loads.into_iter().collect()),
            usage: heartbeat_wire::encode_usage(usage.windows),
            demands: heartbeat_wire::encode_demands(forwarder.demand.sum_of_nodes()),
            models,
            slowness,
            rollouts: self.zone_rollout_update(),
            quarantine_digest: self.quarantine_digest(),
            usage_lives: usage.generations.as_slice().to_vec(),
            engine_limits: heartbeat_wire::encode_engine_limits(&forwarder.gate.reports()),
            engine_rejections: heartbeat_wire::encode_rejections(&forwarder.gate.rejection_reports()),
            engine_departures: heartbeat_wire::encode_departures(
                &forwarder.gate.availability.departure_reports(),
            ),
            sent_window: heartbeat_wire::encode_sent_window(self.reported_usage.newest()),
        }
    }

    /// Applies another zone's summary; the relay that received it from that zone forwards it within its own.
    pub(super) fn handle_zone_summary(&self, envelope: &Envelope, summary: ZoneSummary) {
        let zone = ZoneName::new(&summary.zone);
        if !self.is_large_deployment() || zone == self.zone {
            return;
        }
        if envelope.zone != self.zone.as_str() {
            self.forward_summary(&zone, &summary);
            self.compare_quarantine_digest(envelope, summary.quarantine_digest);
        }
        let forwarder = &self.gateway.forwarder;
        forwarder.gate.merge(&heartbeat_wire::decode_engine_limits(&summary.engine_limits), "zone summary");
        forwarder.gate.merge_rejections(&heartbeat_wire::decode_rejections(&summary.engine_rejections));
        let departures = heartbeat_wire::decode_departures(&summary.engine_departures);
        forwarder.gate.availability.merge_departures(&departures, "zone summary");
        if let Some(sent) = heartbeat_wire::decode_sent_window(summary.sent_window) {
            self.reported_usage.note(sent);
        }
        let reporter = Reporter::Zone(zone.clone());
        forwarder.backend_state.loads.set_peer(&reporter, heartbeat_wire::decode_loads(summary.loads));
        forwarder.demand.set_peer(&reporter, heartbeat_wire::decode_demands(&summary.demands));
        self.apply_observations(&reporter, &summary.models, &summary.slowness);
        forwarder.usage.merge_zone(&zone, heartbeat_wire::decode_sum(summary.usage_lives, summary.usage));
        let relay = NodeId::new(&summary.relay);
        let uses = heartbeat_wire::decode_quota_uses(&summary.quota_uses);
        self.gateway.quotas.merge_zone_usage(&zone, &relay, summary.life, uses, Instant::now());
        if let Some(update) = &summary.rollouts {
            self.apply_zone_rollouts(&zone, update);
        }
        self.zones.note(zone, summary.relay, summary.nodes_heard as usize);
    }

    /// Forwards another zone's summary to the nodes of this zone, as often as the link has room for it.
    fn forward_summary(&self, zone: &ZoneName, summary: &ZoneSummary) {
        let view = self.members.load_full();
        let members: Vec<&Member> = self.zone_members(&view.members).collect();
        let sorted = self.partition_loads(&summary.loads, &view);
        let to_all = ZoneSummary { loads: sorted.to_all, ..summary.clone() };
        let message = self.envelope(Body::ZoneSummary(to_all.clone()));
        let now = Instant::now();
        let has_room = self.transfers.admit(message.size_bytes() * members.len(), now).is_ok();
        if !self.zones.should_forward(zone, has_room, now) {
            return;
        }
        for member in members {
            match sorted.to_placement_nodes.get(&member.node) {
                None => self.network.send(member.address, &message),
                Some(placed) => {
                    let loads = [to_all.loads.as_slice(), placed].concat();
                    let summary = ZoneSummary { loads, ..to_all.clone() };
                    self.network.send(member.address, &self.envelope(Body::ZoneSummary(summary)));
                }
            }
        }
    }

    fn partition_loads(&self, loads: &[BackendLoad], view: &Arc<MembershipView>) -> ForwardedLoads {
        let policy = self.gateway.policy.load();
        let is_placed = |service: &ServiceName| {
            policy.policy().services.iter().any(|known| &known.name == service && known.engine.is_some())
        };
        let local = LocalNode { node: self.node.clone(), zone: self.zone.clone(), link_mbps: self.link_mbps };
        let mut placement_router = self.zones.placement_router.lock().unwrap_or_else(PoisonError::into_inner);
        let placement_node =
            |group| placement_router.primary(&local, view, group).as_ref().map(|member| member.node.clone());
        ForwardedLoads::split_by_receiver(loads, &self.directory.load(), is_placed, placement_node)
    }

    /// Drops the reports of single nodes of other zones from the time when the deployment seemed small: from
    /// now on they are part of their zones' summaries.
    fn forget_remote_nodes(&self) {
        if !self.zones.has_node_reports.swap(false, Ordering::Relaxed) {
            return;
        }
        for member in self.members.load().members.iter().filter(|member| member.zone != self.zone) {
            self.forget_reporter(&Reporter::Node(member.node.clone()));
            self.gateway.forwarder.usage.move_to_zone(&member.node, &member.zone);
            self.rollouts().remove_node_evidence(&member.node);
        }
    }

    /// Drops the open work, demand and observations of a reporter.
    pub(super) fn forget_reporter(&self, reporter: &Reporter) {
        self.gateway.forwarder.backend_state.loads.remove_peer(reporter);
        self.gateway.forwarder.demand.remove_peer(reporter);
        self.gateway.forwarder.backend_state.models.remove_peer(reporter);
    }
}
