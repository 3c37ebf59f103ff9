//! Assembly of one gateway node: the only place that knows all its parts.
//!
//! Two watches track policy and back ends in the control store; the peer exchange sends what is in effect
//! here to peers and fetches from them what the store did not deliver; callers are served from snapshots;
//! duties that one node performs for all run under a lease.

mod assembly;
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
mod log_text;
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
pub mod start_progress;
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
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use arc_swap::ArcSwap;
use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::NodeStarted;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::ports::RolloutStore;
use beamwall_gateway::reachability_probe;
use beamwall_gateway::{ControlStore, Dialect, DutyPort, Gateway, GatewayHandler};
use beamwall_http::{serve, serve_within};
use beamwall_model::since_1970_ms;
use beamwall_peer::{Envelope, PeerNetwork};
use beamwall_quarantine::QuarantineRegistry;
use beamwall_store::VersionedObjects;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::NodeError;
use crate::gateway::assembly::{PeerLinks, PeerPorts, QuarantineParts, assemble_exchange, assemble_gateway};
use crate::gateway::duties::{CapacityMetrics, Duties, DutyMetrics, DutyPorts, StoredKnowledge};
use crate::gateway::exchange::PeerExchange;
use crate::gateway::gauges::GatewayGauges;
use crate::gateway::listing::DirectoryReader;
use crate::gateway::peer_delegation::PeerDelegation;
use crate::gateway::peer_origins::PeerOrigins;
use crate::gateway::peer_permits::PeerPermits;
use crate::gateway::peer_placement::PeerPlacement;
use crate::gateway::readiness::{Readiness, StatusHandler};
use crate::gateway::rollouts::WatchedOrders;
use crate::gateway::stall_monitor::StallMonitor;
use crate::gateway::start_progress::StartProgress;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::stored_quarantine::StoredQuarantine;
use crate::gateway::stored_versions::VersionStorage;
use crate::gateway::suspension::SuspensionMonitor;
use crate::gateway::unreadable_entries::UnreadableEntries;
use crate::gateway::watches::{WatchedBackends, WatchedPolicy};
use crate::metrics;

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
        let start_progress = StartProgress::new(readiness.clone(), &registry)?;
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
            is_incomplete: AtomicBool::default(),
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
        tasks.push(tokio::spawn(start_progress.report()));
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
        let version_storage =
            Arc::new(VersionStorage::new(ports.objects.clone(), gateway.clone(), exchange.clone()));
        tasks.push(tokio::spawn(write_new_versions(version_storage.clone())));
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

async fn probe_unreachable_engines(gateway: Arc<Gateway>) {
    reachability_probe::run(&gateway.forwarder).await;
}

async fn restore_held_requests(stored: Arc<StoredQuarantine>, gateway: Arc<Gateway>) {
    stored.restore().await;
    gateway.forwarder.quarantine.log_changes();
}

async fn write_new_versions(stored: Arc<VersionStorage>) {
    stored.write_new().await;
}

/// A number that grows with each start of the process: the start time in milliseconds.
fn new_generation() -> u64 {
    since_1970_ms(SystemTime::now())
}
