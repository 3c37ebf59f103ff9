//! Assembly of one gateway node: the only place that knows all its parts.
//!
//! Two watches track policy and back ends in the control store; the peer exchange sends what is in effect
//! here to peers and fetches from them what the store did not deliver; callers are served from snapshots;
//! duties that one node performs for all run under a lease.

mod confirmation_sync;
pub mod counter_deltas;
pub mod directory_sync;
pub mod directory_wire;
pub mod drain;
pub mod duties;
pub mod exchange;
pub mod forwarded_loads;
pub mod gauges;
pub mod heartbeat_wire;
mod known_usage;
pub mod listing;
pub mod node_selector;
pub mod observations;
pub mod peer_delegation;
pub mod peer_origins;
pub mod peer_permits;
pub mod peer_placement;
pub mod peer_restarts;
pub mod peer_versions;
pub mod placement_router;
pub mod placement_wire;
pub mod policy_sync;
pub mod quarantine_sync;
pub mod quarantine_wire;
pub mod readiness;
pub mod reported_usage;
pub mod rollout_wire;
pub mod rollouts;
mod sharing;
pub mod stall_monitor;
pub mod store_freshness;
pub mod store_status;
mod stored_models;
mod stored_objects;
pub mod stored_quarantine;
mod stored_versions;
pub mod stream_origin_wire;
pub mod suspension;
pub mod unreadable_entries;
mod version_announcements;
pub mod watch_turns;
pub mod watches;
pub mod zones;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use beamwall_caller_budget::{BudgetLimits, CallerBudget};
use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::NodeStarted;
use beamwall_gateway::admission_metrics::AdmissionMetrics;
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::choice::Chooser;
use beamwall_gateway::demand::DemandTracker;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::forward::Forwarder;
use beamwall_gateway::group_admission::GroupAdmission;
use beamwall_gateway::metrics::GatewayMetrics;
use beamwall_gateway::ports::{RolloutStore, StoreEras};
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::quota::{QuotaLimiter, Tolerance};
use beamwall_gateway::reachability::EngineReachability;
use beamwall_gateway::reachability_probe;
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_gateway::usage::UsageLedger;
use beamwall_gateway::{
    ControlStore, DelegationPort, Dialect, Directory, DutyPort, EngineGate, Gateway, GatewayHandler,
    OriginPort, PermitPort, PlacementPort, StreamOrigins,
};
use beamwall_http::{Pool, serve, serve_within};
use beamwall_model::since_1970_ms;
use beamwall_pace::PaceTracker;
use beamwall_peer::{Envelope, Membership, MembershipTiming, PeerNetwork, TransferPacer};
use beamwall_policy::{PolicyHistory, PolicyIndex};
use beamwall_quarantine::QuarantineRegistry;
use beamwall_rollout::RolloutRegistry;
use beamwall_store::VersionedObjects;
use kameo::actor::Spawn;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::actors::directory::DirectoryActor;
use crate::actors::membership::MembershipActor;
use crate::actors::policy::PolicyActor;
use crate::error::NodeError;
use crate::gateway::duties::{CapacityMetrics, Duties, DutyMetrics, DutyPorts, StoredKnowledge};
use crate::gateway::exchange::PeerExchange;
use crate::gateway::gauges::GatewayGauges;
use crate::gateway::listing::DirectoryReader;
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::peer_delegation::PeerDelegation;
use crate::gateway::peer_origins::PeerOrigins;
use crate::gateway::peer_permits::PeerPermits;
use crate::gateway::peer_placement::PeerPlacement;
use crate::gateway::peer_restarts::PeerRestarts;
use crate::gateway::peer_versions::PeerVersions;
use crate::gateway::policy_sync::PolicyDistribution;
use crate::gateway::readiness::{Readiness, StatusHandler};
use crate::gateway::rollouts::WatchedOrders;
use crate::gateway::stall_monitor::StallMonitor;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::stored_quarantine::StoredQuarantine;
use crate::gateway::stored_versions::VersionStorage;
use crate::gateway::suspension::SuspensionMonitor;
use crate::gateway::unreadable_entries::UnreadableEntries;
use crate::gateway::watches::{WatchedBackends, WatchedPolicy};
use crate::metrics;
use crate::shared::MembershipView;

/// Timeout for opening a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Fraction of the allowed retries per request that each request earns. Together with the saved fraction,
/// nodes use nine tenths of the allowed retries; the rest is a margin.
const RETRY_RATIO_EARNED: f64 = 0.5;
/// Fraction of the allowed retries per request of the last window that may be saved.
const RETRY_RATIO_SAVED: f64 = 0.4;
/// Fraction of the fixed extra retries that all nodes together use.
const RETRY_EXTRA_USED: f64 = 0.7;
/// Fraction of the tolerated work beyond quotas that all nodes together use.
const QUOTA_SLACK_USED: f64 = 0.5;
/// Fraction of the tolerated share beyond quotas that nodes use continuously. The rest covers what many nodes
/// admit at once before usage reports reach them: with half of it used, a fleet of 295 nodes went 4 in 100
/// beyond what is tolerated.
const QUOTA_OVERAGE_USED: f64 = 0.05;
/// Additional fraction that starting nodes use: all of them may start at once.
const QUOTA_OVERAGE_USED_AT_START: f64 = 0.35;

/// Implementations of the ports to the outside.
pub struct Ports {
    /// Parses and writes the heads of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The control store.
    pub store: Arc<dyn ControlStore>,
    /// The objects that store leases and reports.
    pub objects: Arc<dyn VersionedObjects>,
    /// Calls made by duties; `None` where the deployment has none.
    pub duties: Option<Arc<dyn DutyPort>>,
    /// Rollout orders; `None` where rollouts are disabled.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
    /// Path of the balancer's readiness check.
    pub readiness_path: &'static str,
}

/// One running gateway node.
pub struct GatewayNode {
    readiness: Arc<Readiness>,
    exchange: Arc<PeerExchange>,
    settings: GatewaySettings,
    stopping: watch::Sender<bool>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl GatewayNode {
    /// Opens the listeners and starts every task.
    pub async fn start(settings: GatewaySettings, ports: Ports) -> Result<Self, NodeError> {
        let callers = bind(settings.callers).await?;
        let readiness_listener = bind(settings.readiness).await?;
        let metrics_listener = bind(settings.metrics).await?;
        let (network, inbox) = PeerNetwork::listen(settings.peers)?;
        emit(&NodeStarted {
            node: settings.node.to_string(),
            zone: settings.zone.to_string(),
            callers: settings.callers.to_string(),
            operators: settings.metrics.to_string(),
            peers: settings.peers.to_string(),
        });
        let registry = Registry::new();
        let status = Arc::new(StoreStatus::new(&registry)?);
        let unreadable = Arc::new(UnreadableEntries::new(&registry)?);
        let freshness: Arc<StoreFreshness> = Arc::default();
        let stall_monitor = StallMonitor::new(&registry)?;
        let generation = new_generation();
        let members = Arc::new(ArcSwap::default());
        let placement = Arc::new(PeerPlacement::new(&settings, network.clone(), members.clone()));
        let permits = Box::new(PeerPermits::new(&settings, network.clone(), members.clone()));
        let delegation = Arc::new(PeerDelegation::new(&settings, network.clone(), members.clone()));
        let origins =
            PeerOrigins::new(&settings, network.clone(), members.clone(), status.clone(), freshness.clone());
        let origins = Arc::new(origins);
        let peers = PeerPorts { placement, permits, delegation: delegation.clone(), origins };
        let (quarantine_registry, clock): (Arc<QuarantineRegistry>, Arc<FleetClock>) = Default::default();
        let stored_quarantine =
            StoredQuarantine::new(ports.objects.clone(), quarantine_registry.clone(), clock.clone());
        let stored_quarantine = Arc::new(stored_quarantine);
        let quarantine = QuarantineParts { quarantine_registry, clock, trials: stored_quarantine.clone() };
        let gateway = assemble_gateway(&settings, &ports, &registry, generation, peers, quarantine)?;
        let directory = gateway.forwarder.directory.clone();
        let readiness = Arc::new(Readiness::new(gateway.policy.clone(), directory, status.clone()));
        let links = PeerLinks {
            network,
            members,
            delegation,
            store_eras: ports.store.clone(),
            freshness: freshness.clone(),
        };
        let exchange =
            Arc::new(assemble_exchange(&settings, links, &gateway, &readiness, &status, generation));
        let stopping = watch::channel(false).0;
        let handler = GatewayHandler::new(gateway.clone());
        let budget = gateway.caller_budget.clone();
        let callers = tokio::spawn(serve_within(budget, callers, handler, stopping.subscribe()));
        let capacity_metrics = CapacityMetrics::new(&registry)?;
        let lease_epoch = metrics::gauge(
            "beamwall_gateway_lease_epoch",
            "epoch of the lease on duties while this node holds it, else 0",
            &registry,
        )?;
        let status_handler = Arc::new(StatusHandler {
            readiness: readiness.clone(),
            gauges: GatewayGauges::new(&registry)?,
            registry,
            gateway: gateway.clone(),
            exchange: exchange.clone(),
            readiness_path: ports.readiness_path,
        });
        let selector = exchange.selector.clone();
        let watched_policy = Arc::new(WatchedPolicy {
            store: ports.store.clone(),
            policy: exchange.policy_actor.clone(),
            gateway: gateway.clone(),
        });
        let reader = DirectoryReader {
            store: ports.store.clone(),
            current: exchange.directory.clone(),
            directory_updates: exchange.directory_actor.clone(),
            selector: exchange.selector.clone(),
            status: status.clone(),
            unreadable,
        };
        let watched_backends = Arc::new(WatchedBackends {
            store: ports.store,
            reader,
            directory_updates: exchange.directory_actor.clone(),
            gateway: gateway.clone(),
        });
        let mut tasks = vec![
            tokio::spawn(serve_forever(readiness_listener, status_handler.clone())),
            tokio::spawn(serve_forever(metrics_listener, status_handler)),
            tokio::spawn(watches::watch_resource(
                watched_policy.clone(),
                status.clone(),
                freshness.clone(),
                selector.clone(),
            )),
            tokio::spawn(watches::verify_resource(watched_policy, selector.clone())),
            tokio::spawn(watches::watch_resource(
                watched_backends.clone(),
                status.clone(),
                freshness.clone(),
                selector.clone(),
            )),
            tokio::spawn(watches::verify_resource(watched_backends, selector.clone())),
            tokio::spawn(exchange.clone().send_heartbeats()),
            tokio::spawn(exchange.clone().receive(inbox)),
        ];
        tasks.push(tokio::spawn(store_freshness::log_overdue(freshness.clone())));
        tasks.push(tokio::spawn(probe_unreachable_engines(gateway.clone())));
        tasks.push(tokio::spawn(exchange.clone().recover_usage()));
        tasks.push(tokio::spawn(stored_models::restore(gateway.clone(), ports.objects.clone())));
        tasks.push(tokio::spawn(exchange.clone().broadcast_evidence()));
        tasks.push(tokio::spawn(exchange.clone().send_stream_origins()));
        tasks.push(tokio::spawn(
            stall_monitor.watch(SuspensionMonitor::new(exchange.heartbeat_trigger.clone())),
        ));
        tasks.push(tokio::spawn(restore_held_requests(stored_quarantine.clone(), gateway.clone())));
        let version_storage = Arc::new(VersionStorage::new(ports.objects.clone(), gateway.clone()));
        tasks.push(tokio::spawn(restore_versions(version_storage.clone())));
        if let Some(store) = ports.rollouts.clone() {
            let watched_orders =
                Arc::new(WatchedOrders { store, exchange: exchange.clone(), restored: Mutex::default() });
            tasks.push(tokio::spawn(watches::watch_resource(
                watched_orders.clone(),
                status,
                freshness.clone(),
                selector.clone(),
            )));
            tasks.push(tokio::spawn(watches::verify_resource(watched_orders, selector.clone())));
        }
        if let Some(calls) = ports.duties {
            let duty_ports = DutyPorts { objects: ports.objects, calls, rollouts: ports.rollouts };
            let duties = Duties::new(
                &settings,
                &gateway,
                duty_ports,
                &exchange,
                selector,
                DutyMetrics { lease_epoch, capacity: capacity_metrics },
                StoredKnowledge { held_requests: stored_quarantine, versions: version_storage },
            );
            tasks.push(tokio::spawn(duties.run()));
        }
        Ok(Self { readiness, exchange, settings, stopping, callers, tasks })
    }

    /// Waits for open requests to finish, then stops.
    pub async fn drain(mut self) {
        let limit = self.settings.drain_limit;
        let node = self.settings.node.to_string();
        drain::run(&node, limit, &self.readiness, &self.exchange, &self.stopping, &mut self.callers).await;
        self.stop();
    }

    /// Stops at once, like a killed process.
    pub fn stop(&mut self) {
        self.callers.abort();
        for task in &self.tasks {
            task.abort();
        }
        self.exchange.close();
    }
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|cause| NodeError::Listen(address, cause))
}

async fn serve_forever(listener: TcpListener, handler: Arc<StatusHandler>) {
    let (_keep, stop) = watch::channel(false);
    serve(listener, handler, stop).await;
}

/// Ports to peers that take part in the handling of a request.
struct PeerPorts {
    placement: Arc<dyn PlacementPort>,
    permits: Box<dyn PermitPort>,
    delegation: Arc<dyn DelegationPort>,
    origins: Arc<dyn OriginPort>,
}

/// What a node uses to reach its peers.
struct PeerLinks {
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    delegation: Arc<PeerDelegation>,
    store_eras: Arc<dyn StoreEras>,
    freshness: Arc<StoreFreshness>,
}

/// The envelope of this node's questions to peers.
fn peer_envelope(settings: &GatewaySettings) -> Envelope {
    Envelope {
        sender: settings.node.to_string(),
        zone: settings.zone.to_string(),
        address: settings.advertised_peers.to_string(),
        link_mbps: settings.link_mbps,
        ..Envelope::default()
    }
}

/// Parts of the quarantine besides the pool and the directory.
struct QuarantineParts {
    quarantine_registry: Arc<QuarantineRegistry>,
    clock: Arc<FleetClock>,
    trials: Arc<dyn TrialPort>,
}

async fn probe_unreachable_engines(gateway: Arc<Gateway>) {
    reachability_probe::run(&gateway.forwarder).await;
}

async fn restore_held_requests(stored: Arc<StoredQuarantine>, gateway: Arc<Gateway>) {
    stored.restore().await;
    gateway.forwarder.quarantine.log_changes();
}

async fn restore_versions(stored: Arc<VersionStorage>) {
    stored.restore().await;
}

/// A number that grows with each start of the process: the start time in milliseconds.
fn new_generation() -> u64 {
    since_1970_ms(SystemTime::now())
}

fn assemble_gateway(
    settings: &GatewaySettings,
    ports: &Ports,
    registry: &Registry,
    generation: u64,
    peers: PeerPorts,
    quarantine: QuarantineParts,
) -> Result<Arc<Gateway>, NodeError> {
    let nodes = settings.expected_nodes.max(1);
    let pool = Pool::new(CONNECT_TIMEOUT);
    let directory: Arc<ArcSwap<Directory>> = Arc::default();
    let peer_notify: Arc<Notify> = Arc::default();
    let QuarantineParts { quarantine_registry, clock, trials } = quarantine;
    let gate = EngineGate::new(peers.permits, nodes, peer_notify.clone());
    let quarantine =
        Quarantine::new(quarantine_registry, pool.clone(), directory.clone(), clock.clone(), trials)
            .with_departures(gate.availability.departures());
    let retries = RetryAllowance {
        earned_percent: percent(settings.retry_ratio * RETRY_RATIO_EARNED),
        saved_percent: percent(settings.retry_ratio * RETRY_RATIO_SAVED),
        extra: settings.retry_extra * RETRY_EXTRA_USED,
        window: settings.retry_window,
    };
    let policy: Arc<ArcSwap<PolicyIndex>> = Arc::default();
    let admission = match settings.admission {
        true => Some(GroupAdmission::new(policy.clone(), AdmissionMetrics::new(registry)?)),
        false => None,
    };
    let forwarder = Arc::new(Forwarder {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        dialect: ports.dialect.clone(),
        pool,
        directory,
        backend_state: BackendState {
            pace: assemble_pace(settings),
            ..BackendState::new(settings.learn_speeds)
        },
        chooser: Chooser::new(settings.choice),
        placement: peers.placement,
        admission,
        gate,
        reachability: EngineReachability::default(),
        delegation: peers.delegation,
        demand: DemandTracker::new(settings.capacity_ahead),
        rollouts: RolloutRegistry::default()
            .for_generation(&settings.node, generation)
            .in_zone(&settings.zone),
        origins: StreamOrigins::new(peers.origins),
        move_on_reclaim: settings.move_on_reclaim,
        retries: RetryBudgets::new(retries, nodes),
        usage: UsageLedger::new(settings.usage_window)
            .for_generation(&settings.node, generation)
            .in_zone(&settings.zone),
        clock,
        quarantine: Arc::new(quarantine),
        metrics: GatewayMetrics::new(registry)?,
    });
    let tolerance = Tolerance {
        sustained: settings.quota_overage * QUOTA_OVERAGE_USED,
        in_window: settings.quota_overage,
        at_start: settings.quota_overage * QUOTA_OVERAGE_USED_AT_START,
        window: settings.quota_window,
    };
    let quotas = QuotaLimiter::new(settings.quota_slack * QUOTA_SLACK_USED, nodes)
        .with_tolerance(tolerance)
        .with_overdraft(settings.quota_overdraft)
        .with_generation(generation);
    let caller_limits = BudgetLimits::of_process(settings.memory_bytes, settings.descriptors);
    let caller_budget = CallerBudget::new(caller_limits);
    Ok(Arc::new(Gateway { policy, quotas, forwarder, caller_budget, peer_notify }))
}

fn assemble_pace(settings: &GatewaySettings) -> PaceTracker {
    if settings.paces_back_ends { PaceTracker::enabled() } else { PaceTracker::default() }
}

/// Converts a ratio to whole percent.
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}

fn assemble_exchange(
    settings: &GatewaySettings,
    links: PeerLinks,
    gateway: &Arc<Gateway>,
    readiness: &Arc<Readiness>,
    status: &Arc<StoreStatus>,
    generation: u64,
) -> PeerExchange {
    let PeerLinks { network, members, delegation, store_eras, freshness } = links;
    let membership = Membership::new(
        settings.node.clone(),
        settings.zone.clone(),
        generation,
        MembershipTiming::default(),
    )
    .with_link(settings.link_mbps)
    .with_seeds(&settings.seeds, settings.advertised_peers)
    .with_broadcast();
    let directory = gateway.forwarder.directory.clone();
    let versions_changed: Arc<Notify> = Arc::default();
    let transfers = Arc::new(TransferPacer::new(settings.link_mbps));
    let policy_history: Arc<PolicyHistory> = Arc::default();
    PeerExchange {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps,
        address: settings.advertised_peers,
        seeds: settings.seeds.clone(),
        expected_nodes: settings.expected_nodes,
        generation,
        network,
        membership: MembershipActor::spawn(MembershipActor::new(membership, members.clone())),
        selector: NodeSelector::new(
            settings.node.clone(),
            settings.zone.clone(),
            settings.link_mbps,
            members.clone(),
            status.clone(),
        ),
        members,
        gateway: gateway.clone(),
        policy_actor: PolicyActor::spawn(PolicyActor::new(
            gateway.policy.clone(),
            policy_history.clone(),
            versions_changed.clone(),
        )),
        directory_actor: DirectoryActor::spawn(DirectoryActor::new(
            directory.clone(),
            gateway.clone(),
            status.clone(),
            versions_changed.clone(),
        )),
        directory,
        readiness: readiness.clone(),
        heartbeat_trigger: gateway.peer_notify.clone(),
        versions_changed,
        freshness,
        store_status: status.clone(),
        started: Instant::now(),
        demand_measured_at: Mutex::new(Instant::now()),
        urgent_summary_throttle: Default::default(),
        model_fit_throttle: Default::default(),
        model_report_throttle: Default::default(),
        directory_versions: PeerVersions::default(),
        store_eras,
        peer_restarts: PeerRestarts::default(),
        policies: PolicyDistribution::new(policy_history, transfers.clone()),
        transfers,
        delegation,
        zones: Default::default(),
        quarantine_request_throttle: Default::default(),
        reported_usage: Default::default(),
        usage_deltas: Mutex::default(),
    }
}
