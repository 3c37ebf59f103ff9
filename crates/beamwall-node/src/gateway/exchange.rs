//! Message exchange between gateways: heartbeats with versions, loads, demands and usage, immediate
//! announcements of newer versions, and on request the whole policy or list of back ends.
//!
//! A node that lacks an announced version requests it, so one node that can reach the control store suffices
//! for all nodes that it can reach. While back ends come and go there are many versions a second, so
//! announcements are short, and heartbeats keep their period unless quota usage must be sent at once.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use beamwall_clock::Throttle;
use beamwall_engine_model::Workload;
use beamwall_gateway::ports::StoreEras;
use beamwall_gateway::usage::WindowCounts;
use beamwall_gateway::{Directory, Gateway, Reporter};
use beamwall_model::{NodeId, ServiceName, StoreRevision, TenantName, ZoneName, since_1970_ms};
use beamwall_peer::gateway_message::{GatewayHeartbeat, UsageWindow, VersionUpdate};
use beamwall_peer::message::{MemberUpdate, ProbeRequest};
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_peer::{Body, Envelope, Member, MemberState, MembershipTiming, PeerNetwork, TransferPacer};
use kameo::actor::ActorRef;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::actors::directory::DirectoryActor;
use crate::actors::membership::{Hear, Introduction, MembershipActor, Tick};
use crate::actors::policy::PolicyActor;
use crate::gateway::counter_deltas::CounterDeltas;
use crate::gateway::heartbeat_wire;
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::peer_delegation::PeerDelegation;
use crate::gateway::peer_restarts::PeerRestarts;
use crate::gateway::peer_versions::PeerVersions;
use crate::gateway::policy_sync::PolicyDistribution;
use crate::gateway::readiness::Readiness;
use crate::gateway::reported_usage::ReportedUsage;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::watches::{BACKENDS, POLICY, ROLLOUT_ORDERS};
use crate::gateway::zones::RemoteZones;
use crate::shared::MembershipView;

/// Up to this number of nodes each one sends to all others; beyond it, membership selects the targets.
const FULL_MESH_LIMIT: usize = 128;
/// Time in which a node's own watch may deliver a version before a peer is asked for it.
pub(super) const WATCH_HEAD_START: Duration = Duration::from_millis(60);
/// Usage windows sent in a heartbeat: those whose usage report may still be due.
pub(super) const REPORTED_WINDOWS: usize = 3;
/// Minimum time between two heartbeats.
const MIN_PERIOD: Duration = Duration::from_millis(40);
/// Minimum time between two heartbeats per member.
const MIN_PERIOD_PER_MEMBER: Duration = Duration::from_micros(2_500);
/// Up to this number of nodes heartbeats keep the normal period.
const NORMAL_PERIOD_MAX_NODES: usize = 12;
/// Capacity of the queue of messages to be handled; the queue of messages to be dispatched is separate.
const INBOX_CAPACITY: usize = 4_096;
/// Timeout for a peer's answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum time between two heartbeats of a node that sends them to so many recipients.
pub(super) fn heartbeat_period(recipients: usize) -> Duration {
    let usual = MembershipTiming::default().period;
    if recipients > NORMAL_PERIOD_MAX_NODES { usual * 2 } else { usual }
}

/// Message exchange of one gateway with its peers.
pub struct PeerExchange {
    /// This node.
    pub node: NodeId,
    /// The zone of this node.
    pub zone: ZoneName,
    /// Capacity of its network link in Mbit/s.
    pub link_mbps: u32,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Peer addresses to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// Number of nodes assumed until more are known.
    pub expected_nodes: usize,
    /// Generation of this process, under which its usage is counted.
    pub generation: u64,
    /// The peer network.
    pub network: Arc<PeerNetwork>,
    /// The membership protocol.
    pub membership: ActorRef<MembershipActor>,
    /// The last published membership view.
    pub members: Arc<ArcSwap<MembershipView>>,
    /// Policy in effect, quotas, loads and usage.
    pub gateway: Arc<Gateway>,
    /// The list of back ends.
    pub directory: Arc<ArcSwap<Directory>>,
    /// Applies policies.
    pub policy_actor: ActorRef<PolicyActor>,
    /// Applies lists of back ends.
    pub directory_actor: ActorRef<DirectoryActor>,
    /// Whether this node accepts callers.
    pub readiness: Arc<Readiness>,
    /// Selects the nodes that watch the store for their zone.
    pub selector: NodeSelector,
    /// Triggers an immediate heartbeat, for instance to send quota usage.
    pub heartbeat_trigger: Arc<Notify>,
    /// Notified when this node holds a newer policy or list of back ends.
    pub versions_changed: Arc<Notify>,
    /// How recently the store confirmed what this node holds.
    pub freshness: Arc<StoreFreshness>,
    /// Whether this node's calls to the store are answered.
    pub store_status: Arc<StoreStatus>,
    /// When this process started.
    pub started: Instant,
    /// When demand was last measured.
    pub demand_measured_at: Mutex<Instant>,
    /// Limits how often reports of tenants near their limits trigger a zone summary.
    pub urgent_summary_throttle: Throttle,
    /// Limits how often service models are fitted.
    pub model_fit_throttle: Throttle,
    /// Limits how often service statistics are sent.
    pub model_report_throttle: Throttle,
    /// Revisions of the list of back ends that peers hold.
    pub directory_versions: PeerVersions<StoreRevision>,
    /// The eras of the store.
    pub store_eras: Arc<dyn StoreEras>,
    /// Restarts of peers.
    pub peer_restarts: PeerRestarts,
    /// Paces transfers that serve other nodes.
    pub transfers: Arc<TransferPacer>,
    /// Finds peers for requests to engines that this node can't reach, and answers those of peers.
    pub delegation: Arc<PeerDelegation>,
    /// Versions of the policy announced to and by peers.
    pub policies: PolicyDistribution,
    /// State of the other zones of a large deployment.
    pub zones: RemoteZones,
    /// Limits how often peers are asked for quarantine evidence.
    pub quarantine_request_throttle: Throttle,
    /// The newest usage window that was sent to the platform.
    pub reported_usage: ReportedUsage,
    /// Usage already sent to peers in a large deployment.
    pub usage_deltas: Mutex<CounterDeltas<(u64, TenantName)>>,
}

impl PeerExchange {
    /// Requests that this node has open at back ends.
    pub fn open_requests(&self) -> u32 {
        self.gateway.forwarder.backend_state.loads.own().iter().map(|(_, load)| load.requests).sum()
    }

    /// Members whose usage may be incomplete here, because they are silent and may still serve callers. A
    /// machine that refuses connections runs no gateway process any more, so nothing further is counted
    /// there.
    pub fn silent_members(&self) -> usize {
        let may_serve =
            |member: &&Member| member.state != MemberState::Alive && !self.network.is_refused(member.address);
        self.members.load().members.iter().filter(may_serve).count()
    }

    /// Closes the connections to peers.
    pub fn close(&self) {
        self.network.close();
    }

    /// Sends heartbeats, every period and at once when triggered, and version announcements, until the task
    /// is aborted.
    pub async fn send_heartbeats(self: Arc<Self>) {
        let mut last_heartbeat = Instant::now();
        loop {
            let (period, pause) = self.heartbeat_timing();
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(last_heartbeat + period) => {}
                () = self.heartbeat_trigger.notified() => {}
                () = self.versions_changed.notified() => {
                    self.announce_new_versions();
                    tokio::time::sleep(pause).await;
                    continue;
                }
                () = self.freshness.has_news.notified() => {
                    self.announce_versions();
                    tokio::time::sleep(pause).await;
                    continue;
                }
            }
            last_heartbeat = Instant::now();
            self.send_heartbeat().await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the maximum and the minimum time between two heartbeats. Both grow with the number of members,
    /// since each heartbeat goes to all of them. In a large deployment only the members of the zone count.
    pub(super) fn heartbeat_timing(&self) -> (Duration, Duration) {
        let view = self.members.load();
        let recipients = if self.is_large_deployment() { view.zone_size } else { view.members.len() };
        let shortest = MIN_PERIOD_PER_MEMBER * u32::try_from(recipients).unwrap_or(u32::MAX);
        (heartbeat_period(recipients), MIN_PERIOD.max(shortest))
    }

    /// Sends one heartbeat to every target.
    pub async fn send_heartbeat(&self) {
        // The tick publishes when a message last arrived from each member.
        let Ok(tick) = self.membership.ask(Tick).await else { return };
        self.share_limits();
        let quota_uses = heartbeat_wire::encode_quota_uses(self.gateway.quotas.take_report());
        let demands = heartbeat_wire::encode_demands(self.close_demand_period());
        self.gateway.forwarder.gate.discard_foreign_permits();
        self.fit_models();
        self.note_silent_zones();
        self.gateway.forwarder.quarantine.remove_expired();
        self.gateway.forwarder.origins.registry.remove_expired(Instant::now());
        let (models, slowness) = self.own_observations();
        let base = self.heartbeat_with(tick.updates, self.node_rollout_update());
        let usage = if self.is_large_deployment() { self.usage_delta() } else { base.usage };
        let heartbeat = GatewayHeartbeat { quota_uses, demands, models, slowness, usage, ..base };
        let probe =
            self.envelope(Body::GatewayBeat(GatewayHeartbeat { wants_answer: true, ..heartbeat.clone() }));
        let plain = self.envelope(Body::GatewayBeat(heartbeat));
        let probed: HashSet<SocketAddr> =
            tick.targets.iter().filter(|target| target.wants_answer).map(|target| target.address).collect();
        for address in self.targets(tick.targets.iter().map(|target| target.address)) {
            self.network.send(address, if probed.contains(&address) { &probe } else { &plain });
        }
        self.send_zone_summaries(&tick.targets);
        for (node, address, probers) in tick.suspected {
            let body =
                Body::ProbeRequest(ProbeRequest { node: node.to_string(), address: address.to_string() });
            let question = self.envelope(body);
            probers.iter().for_each(|prober| self.network.send(*prober, &question));
        }
        for node in tick.died {
            self.forget_reporter(&Reporter::Node(node));
        }
    }

    /// Usage that peers may not know yet: the full report adds about 600 bytes, by the sizes of its fields,
    /// to each heartbeat to each peer.
    fn usage_delta(&self) -> Vec<UsageWindow> {
        let counted = self.gateway.forwarder.usage.recent(REPORTED_WINDOWS).into_iter().flat_map(|window| {
            window.counts.into_iter().map(move |(tenant, count)| ((window.window, tenant), count))
        });
        let mut deltas = self.usage_deltas.lock().unwrap_or_else(PoisonError::into_inner);
        let mut windows: BTreeMap<u64, WindowCounts> = BTreeMap::new();
        for ((number, tenant), count) in deltas.next_report(counted.collect()) {
            let empty = || WindowCounts { window: number, ..WindowCounts::default() };
            windows.entry(number).or_insert_with(empty).counts.insert(tenant, count);
        }
        heartbeat_wire::encode_usage(windows.into_values().collect())
    }

    fn close_demand_period(&self) -> HashMap<ServiceName, Workload> {
        let mut measured_at = self.demand_measured_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let length = now.duration_since(std::mem::replace(&mut *measured_at, now));
        self.gateway.forwarder.demand.close_period(length)
    }

    /// All live members in a small deployment, those of the zone in a large one; the targets selected by
    /// membership, and seeds that are not members yet.
    pub(super) fn targets(
        &self,
        membership_targets: impl Iterator<Item = SocketAddr>,
    ) -> HashSet<SocketAddr> {
        let view = self.members.load();
        let mut targets: HashSet<SocketAddr> = membership_targets.collect();
        let is_large_deployment = self.is_large_deployment();
        let is_recipient = |member: &&Member| {
            member.state <= MemberState::Suspect && (!is_large_deployment || member.zone == self.zone)
        };
        targets.extend(
            view.members.iter().filter(is_recipient).take(FULL_MESH_LIMIT).map(|member| member.address),
        );
        let is_known = |seed: &&SocketAddr| view.members.iter().any(|member| member.address == **seed);
        targets.extend(self.seeds.iter().filter(|seed| !is_known(seed)));
        targets.remove(&self.address);
        targets
    }

    /// A heartbeat for a single peer. It has no quota usage and no counts of ended generations, which must be
    /// sent to all peers together.
    fn heartbeat_without_quotas(&self, members: Vec<MemberUpdate>) -> GatewayHeartbeat {
        self.heartbeat_with(members, self.node_rollout_update_for_one_peer())
    }

    /// A heartbeat without quota usage, demands and observations.
    fn heartbeat_with(
        &self,
        members: Vec<MemberUpdate>,
        rollouts: Option<RolloutUpdate>,
    ) -> GatewayHeartbeat {
        let directory = self.directory.load();
        let forwarder = &self.gateway.forwarder;
        GatewayHeartbeat {
            members,
            wants_answer: false,
            policy_version: self.gateway.policy.load().version(),
            directory_revision: directory.revision().number,
            directory_era: directory.revision().era,
            directory_digest: directory.digest(),
            quota_uses: Vec::new(),
            demands: Vec::new(),
            models: Vec::new(),
            slowness: Vec::new(),
            loads: heartbeat_wire::encode_loads(forwarder.backend_state.loads.own()),
            life: self.generation,
            usage: heartbeat_wire::encode_usage(forwarder.usage.recent(REPORTED_WINDOWS)),
            members_known: u32::try_from(self.members.load().members.len()).unwrap_or(u32::MAX),
            rollouts,
            time_ms: since_1970_ms(SystemTime::now()),
            quarantine_digest: self.quarantine_digest(),
            engine_limits: heartbeat_wire::encode_engine_limits(&forwarder.gate.reports()),
            engine_rejections: heartbeat_wire::encode_rejections(&forwarder.gate.rejection_reports()),
            engine_departures: heartbeat_wire::encode_departures(
                &forwarder.gate.availability.departure_reports(),
            ),
            sent_window: heartbeat_wire::encode_sent_window(self.reported_usage.newest()),
            policy_confirmed: self.confirmation_of(POLICY),
            directory_confirmed: self.confirmation_of(BACKENDS),
            orders_confirmed: self.confirmation_of(ROLLOUT_ORDERS),
        }
    }

    pub(super) fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            sender: self.node.to_string(),
            incarnation: self.members.load().incarnation,
            zone: self.zone.to_string(),
            address: self.address.to_string(),
            revision: self.gateway.policy.load().version(),
            digest: 0,
            ready: self.readiness.is_ready(),
            draining: self.readiness.is_draining(),
            question: 0,
            answers: 0,
            link_mbps: self.link_mbps,
            store_lost: self.store_status.is_lost(),
            body: Some(body),
        }
    }

    /// Handles messages until the network is closed. Requests for placements, permits and delegations bypass the queue
    /// of other messages: a caller waits for each of them, and a zone sends hundreds of heartbeats a second.
    pub async fn receive(self: Arc<Self>, mut inbox: mpsc::Receiver<Envelope>) {
        let (other_messages, waiting) = mpsc::channel(INBOX_CAPACITY);
        let handling = self.clone().handle_all(waiting);
        let dispatching = async {
            let other_messages = other_messages;
            while let Some(mut envelope) = inbox.recv().await {
                match envelope.body.take() {
                    Some(Body::PlacementRequest(request)) => self.answer_placement(&envelope, request),
                    Some(Body::PermitRequest(request)) => self.answer_permit(&envelope, &request),
                    Some(Body::DelegationRequest(request)) => self.answer_delegation(&envelope, &request),
                    Some(Body::StreamOriginUpdate(update)) => self.merge_stream_origins(&update),
                    Some(Body::StoredVersions(update)) => self.note_stored_versions(&update),
                    Some(Body::StreamOriginRequest(request)) => {
                        self.answer_stream_origin(&envelope, &request);
                    }
                    body => {
                        envelope.body = body;
                        if other_messages.send(envelope).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        tokio::join!(handling, dispatching);
    }

    async fn handle_all(self: Arc<Self>, mut waiting: mpsc::Receiver<Envelope>) {
        while let Some(envelope) = waiting.recv().await {
            self.handle(envelope).await;
        }
    }

    async fn handle(self: &Arc<Self>, mut envelope: Envelope) {
        let body = envelope.body.take();
        self.note_generation(&envelope, body.as_ref());
        let (members, knows) = match &body {
            Some(Body::GatewayBeat(heartbeat)) => {
                (heartbeat.members.clone(), heartbeat.members_known as usize)
            }
            _ => (Vec::new(), 0),
        };
        let receipt = Hear { envelope: envelope.clone(), members, knows: (knows > 0).then_some(knows) };
        if let Ok(Introduction(members)) = self.membership.ask(receipt).await
            && !members.is_empty()
        {
            let introduction = GatewayHeartbeat { members, ..self.heartbeat_without_quotas(Vec::new()) };
            self.reply(&envelope, Body::GatewayBeat(introduction));
        }
        match body {
            Some(Body::GatewayBeat(heartbeat)) => self.handle_heartbeat(&envelope, heartbeat),
            Some(Body::VersionNews(update)) => self.handle_versions(&envelope, update),
            Some(Body::ZoneSummary(summary)) => self.handle_zone_summary(&envelope, summary),
            Some(Body::ProbeRequest(probe)) => self.probe_on_behalf(&probe),
            Some(Body::PolicyRequest(request)) => {
                let answer = self.policies.answer(request, Instant::now());
                self.reply(&envelope, Body::PolicyAnswer(answer));
            }
            Some(Body::QuarantineNews(update)) => self.handle_quarantine_update(&envelope, &update),
            Some(Body::QuarantineRequest(_)) => self.send_all_evidence(&envelope),
            Some(Body::UsageRequest(request)) => self.answer_usage(&envelope, request),
            Some(Body::DirectoryRequest(request)) => {
                self.reply(&envelope, Body::DirectoryAnswer(self.answer_directory(request)));
            }
            _ => {}
        }
    }

    pub(super) fn reply(&self, to: &Envelope, body: Body) {
        if let Ok(address) = to.address.parse() {
            self.network.send(address, &Envelope { answers: to.question, ..self.envelope(body) });
        }
    }

    fn probe_on_behalf(&self, probe: &ProbeRequest) {
        if let Ok(address) = probe.address.parse() {
            let heartbeat =
                GatewayHeartbeat { wants_answer: true, ..self.heartbeat_without_quotas(Vec::new()) };
            self.network.send(address, &self.envelope(Body::GatewayBeat(heartbeat)));
        }
    }

    fn handle_versions(self: &Arc<Self>, envelope: &Envelope, versions: VersionUpdate) {
        let Ok(address) = envelope.address.parse() else { return };
        self.note_policy_version(address, versions.policy_version);
        let directory_revision = StoreRevision::new(versions.directory_era, versions.directory_revision);
        self.note_directory_revision(address, directory_revision, versions.directory_digest);
        self.merge_confirmations(&versions);
    }

    fn handle_heartbeat(self: &Arc<Self>, envelope: &Envelope, incoming_heartbeat: GatewayHeartbeat) {
        if incoming_heartbeat.time_ms > 0 {
            let sender_time = UNIX_EPOCH + Duration::from_millis(incoming_heartbeat.time_ms);
            self.gateway.forwarder.clock.record_peer_time(
                &NodeId::new(&envelope.sender),
                sender_time,
                beamwall_clock::now(),
            );
        }
        if incoming_heartbeat.wants_answer {
            self.reply(envelope, Body::GatewayBeat(self.heartbeat_without_quotas(Vec::new())));
        }
        let versions = VersionUpdate {
            policy_version: incoming_heartbeat.policy_version,
            directory_revision: incoming_heartbeat.directory_revision,
            directory_era: incoming_heartbeat.directory_era,
            directory_digest: incoming_heartbeat.directory_digest,
            life: incoming_heartbeat.life,
            policy_confirmed: incoming_heartbeat.policy_confirmed,
            directory_confirmed: incoming_heartbeat.directory_confirmed,
        };
        self.handle_versions(envelope, versions);
        self.compare_quarantine_digest(envelope, incoming_heartbeat.quarantine_digest);
        let limits = heartbeat_wire::decode_engine_limits(&incoming_heartbeat.engine_limits);
        self.gateway.forwarder.gate.merge(&limits, "heartbeat");
        let rejections = heartbeat_wire::decode_rejections(&incoming_heartbeat.engine_rejections);
        self.gateway.forwarder.gate.merge_rejections(&rejections);
        let departures = heartbeat_wire::decode_departures(&incoming_heartbeat.engine_departures);
        self.gateway.forwarder.gate.availability.merge_departures(&departures, "heartbeat");
        if let Some(sent) = heartbeat_wire::decode_sent_window(incoming_heartbeat.sent_window) {
            self.reported_usage.note(sent);
        }
        // In a large deployment the work of other zones arrives in zone summaries.
        if self.is_direct_peer(envelope) {
            self.apply_node_report(envelope, incoming_heartbeat);
        }
    }

    /// Whether the sender of a message reports its own work to this node.
    pub(super) fn is_direct_peer(&self, envelope: &Envelope) -> bool {
        !self.is_large_deployment() || envelope.zone == self.zone.as_str()
    }

    /// Records the generation in which a direct peer sent a message, if the message contains it. This comes
    /// before the rest of the message is applied: the current members may hold an earlier generation of the
    /// peer, reported by others.
    fn note_generation(&self, envelope: &Envelope, body: Option<&Body>) {
        let generation = match body {
            Some(Body::GatewayBeat(heartbeat)) => heartbeat.life,
            Some(Body::VersionNews(update)) => update.life,
            _ => 0,
        };
        if generation > 0 && self.is_direct_peer(envelope) {
            self.peer_restarts.note(envelope, generation, || self.member(&envelope.sender));
        }
    }

    pub(super) fn member(&self, node: &str) -> Option<Member> {
        self.members.load().members.iter().find(|member| member.node.as_str() == node).cloned()
    }

    /// Applies a node's report of its own work.
    fn apply_node_report(&self, envelope: &Envelope, heartbeat: GatewayHeartbeat) {
        let node = NodeId::new(&envelope.sender);
        if envelope.zone != self.zone.as_str() {
            self.zones.note_node_report();
        }
        if let Some(update) = &heartbeat.rollouts {
            self.apply_node_rollouts(&ZoneName::new(&envelope.zone), &node, heartbeat.life, update);
        }
        self.merge_orders_confirmation(heartbeat.orders_confirmed);
        let reporter = Reporter::Node(node.clone());
        let forwarder = &self.gateway.forwarder;
        forwarder.backend_state.loads.set_peer(&reporter, heartbeat_wire::decode_loads(heartbeat.loads));
        forwarder.usage.merge(&node, heartbeat.life, heartbeat_wire::decode_usage(heartbeat.usage));
        if !heartbeat.demands.is_empty() {
            forwarder.demand.set_peer(&reporter, heartbeat_wire::decode_demands(&heartbeat.demands));
        }
        self.apply_observations(&reporter, &heartbeat.models, &heartbeat.slowness);
        let uses = heartbeat_wire::decode_quota_uses(&heartbeat.quota_uses);
        let is_urgent = self.gateway.quotas.merge_node_usage(&node, heartbeat.life, uses, Instant::now());
        if is_urgent {
            self.send_urgent_summary();
        }
    }
}
