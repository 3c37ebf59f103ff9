//! Assembly of one gateway node: the only place that knows all its parts.
//!
//! Two watches follow the store of decisions; the exchange tells peers what is in force here and
//! learns from them what the store did not tell; callers are served from snapshots; duties that one
//! node does for all run under a lease.

pub mod beat;
pub mod chooser;
pub mod directories;
pub mod directory_wire;
pub mod drain;
pub mod duties;
pub mod exchange;
pub mod gauges;
pub mod heard_versions;
mod kept_models;
mod kept_objects;
pub mod kept_quarantine;
mod known_usage;
pub mod listing;
pub mod loads_to_pass_on;
pub mod observations;
pub mod peer_lives;
pub mod placers;
pub mod placing;
pub mod policies;
pub mod quarantine_news;
pub mod quarantine_wire;
pub mod readiness;
pub mod rollout_wire;
pub mod rollouts;
mod sharing;
pub mod standstill;
pub mod store_status;
pub mod suspension;
pub mod told_figures;
pub mod unreadable_entries;
pub mod watches;
pub mod zones;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::NodeStarted;
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::choice::Chooser;
use beamwall_gateway::demand::DemandTracker;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::forward::Forwarder;
use beamwall_gateway::metrics::GatewayMetrics;
use beamwall_gateway::ports::RolloutStore;
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::quota::{QuotaLimiter, Tolerance};
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_gateway::usage::UsageLedger;
use beamwall_gateway::{ControlStore, Dialect, Directory, DutyPort, Gateway, GatewayHandler, PlacementPort};
use beamwall_http::{Pool, serve};
use beamwall_model::since_1970_ms;
use beamwall_peer::{Membership, MembershipTiming, PeerNetwork, TransferPacer};
use beamwall_policy::PolicyHistory;
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
use crate::gateway::chooser::ZoneChooser;
use crate::gateway::duties::{Duties, DutyPorts};
use crate::gateway::exchange::Exchange;
use crate::gateway::gauges::GatewayGauges;
use crate::gateway::heard_versions::HeardVersions;
use crate::gateway::kept_quarantine::KeptQuarantine;
use crate::gateway::listing::Listing;
use crate::gateway::peer_lives::PeerLives;
use crate::gateway::placing::PeerPlacement;
use crate::gateway::policies::PolicyDistribution;
use crate::gateway::readiness::{Readiness, StatusHandler};
use crate::gateway::rollouts::FollowedOrders;
use crate::gateway::standstill::Standstills;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::suspension::Suspensions;
use crate::gateway::unreadable_entries::UnreadableEntries;
use crate::gateway::watches::{FollowedBackends, FollowedPolicy};
use crate::metrics;
use crate::shared::MembershipView;

/// Longest time to open a connection to a back end.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Part of the allowed retries for each request that each request earns. With what may be saved, nodes use nine
/// tenths of them; the rest is a margin.
const RETRY_RATIO_EARNED: f64 = 0.5;
/// Part of the allowed retries for each request of the last window that may be saved.
const RETRY_RATIO_SAVED: f64 = 0.4;
/// Part of the fixed extra retries that nodes use in all.
const RETRY_EXTRA_USED: f64 = 0.7;
/// Part of the tolerated work beyond quotas that nodes use in all.
const QUOTA_SLACK_USED: f64 = 0.5;
/// Part of the tolerated share beyond quotas that nodes use all the time. The rest covers what many nodes let pass at
/// once before they are told: with half of it used, a fleet of 295 went 4 in 100 beyond what is tolerated.
const QUOTA_OVERAGE_USED: f64 = 0.05;
/// The same that nodes which start use beside: all of them may start at once.
const QUOTA_OVERAGE_USED_AT_START: f64 = 0.35;

/// What the gateway meets outside: the ports' implementations.
pub struct Ports {
    /// Heads of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The store of decisions.
    pub store: Arc<dyn ControlStore>,
    /// The objects that leases and reports are kept in.
    pub objects: Arc<dyn VersionedObjects>,
    /// Duty calls; absent where the deployment has none.
    pub duties: Option<Arc<dyn DutyPort>>,
    /// Orders to move a service to another version; absent where they are not followed.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
    /// The path at which the balancer asks for readiness.
    pub readiness_path: &'static str,
}

/// One running gateway node.
pub struct GatewayNode {
    readiness: Arc<Readiness>,
    exchange: Arc<Exchange>,
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
        let standstills = Standstills::new(&registry)?;
        let life = new_incarnation();
        let members = Arc::new(ArcSwap::default());
        let placement = Arc::new(PeerPlacement::new(&settings, network.clone(), members.clone()));
        let (book, clock): (Arc<QuarantineRegistry>, Arc<FleetClock>) = Default::default();
        let kept_quarantine = KeptQuarantine::new(ports.objects.clone(), book.clone(), clock.clone());
        let kept_quarantine = Arc::new(kept_quarantine);
        let quarantine = QuarantineParts { book, clock, trials: kept_quarantine.clone() };
        let gateway = assemble_gateway(&settings, &ports, &registry, life, placement, quarantine)?;
        let directory = gateway.forwarder.directory.clone();
        let readiness = Arc::new(Readiness::new(gateway.policy.clone(), directory, status.clone()));
        let exchange =
            Arc::new(assemble_exchange(&settings, network, members, &gateway, &readiness, &status, life));
        let stopping = watch::channel(false).0;
        let callers =
            tokio::spawn(serve(callers, GatewayHandler::new(gateway.clone()), stopping.subscribe()));
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
        let chooser = exchange.chooser.clone();
        let followed_policy = Arc::new(FollowedPolicy {
            store: ports.store.clone(),
            policy: exchange.policy_actor.clone(),
            gateway: gateway.clone(),
        });
        let listing = Listing {
            store: ports.store.clone(),
            known: exchange.directory.clone(),
            directory: exchange.directory_actor.clone(),
            chooser: exchange.chooser.clone(),
            status: status.clone(),
            unreadable,
        };
        let followed_backends = Arc::new(FollowedBackends {
            store: ports.store,
            listing,
            directory: exchange.directory_actor.clone(),
            gateway: gateway.clone(),
        });
        let mut tasks = vec![
            tokio::spawn(serve_forever(readiness_listener, status_handler.clone())),
            tokio::spawn(serve_forever(metrics_listener, status_handler)),
            tokio::spawn(watches::follow(followed_policy.clone(), status.clone(), chooser.clone())),
            tokio::spawn(watches::review(followed_policy, chooser.clone())),
            tokio::spawn(watches::follow(followed_backends.clone(), status.clone(), chooser.clone())),
            tokio::spawn(watches::review(followed_backends, chooser.clone())),
            tokio::spawn(exchange.clone().send_beats()),
            tokio::spawn(exchange.clone().receive(inbox)),
        ];
        tasks.push(tokio::spawn(exchange.clone().learn_usage()));
        tasks.push(tokio::spawn(kept_models::recall(gateway.clone(), ports.objects.clone())));
        tasks.push(tokio::spawn(exchange.clone().tell_quarantine()));
        tasks.push(tokio::spawn(standstills.watch(Suspensions::new(exchange.news.clone()))));
        tasks.push(tokio::spawn(recall_held_requests(kept_quarantine.clone(), gateway.clone())));
        if let Some(store) = ports.rollouts.clone() {
            let followed = Arc::new(FollowedOrders { store, exchange: exchange.clone() });
            tasks.push(tokio::spawn(watches::follow(followed.clone(), status, chooser.clone())));
            tasks.push(tokio::spawn(watches::review(followed, chooser.clone())));
        }
        if let Some(calls) = ports.duties {
            let duty_ports = DutyPorts { objects: ports.objects, calls, rollouts: ports.rollouts };
            let duties = Duties::new(
                &settings,
                &gateway,
                duty_ports,
                &exchange,
                chooser,
                lease_epoch,
                kept_quarantine,
            );
            tasks.push(tokio::spawn(duties.run()));
        }
        Ok(Self { readiness, exchange, settings, stopping, callers, tasks })
    }

    /// Lets open requests end and stops.
    pub async fn drain(mut self) {
        let limit = self.settings.drain_limit;
        let node = self.settings.node.to_string();
        drain::run(&node, limit, &self.readiness, &self.exchange, &self.stopping, &mut self.callers).await;
        self.stop();
    }

    /// Stops at once, as a kill would.
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

/// What the gateway's quarantine is made of beside what it forwards with.
struct QuarantineParts {
    book: Arc<QuarantineRegistry>,
    clock: Arc<FleetClock>,
    trials: Arc<dyn TrialPort>,
}

async fn recall_held_requests(kept: Arc<KeptQuarantine>, gateway: Arc<Gateway>) {
    kept.recall().await;
    gateway.forwarder.quarantine.log_changes();
}

/// A number that rises with each start: the time in milliseconds.
fn new_incarnation() -> u64 {
    since_1970_ms(SystemTime::now())
}

fn assemble_gateway(
    settings: &GatewaySettings,
    ports: &Ports,
    registry: &Registry,
    life: u64,
    placement: Arc<dyn PlacementPort>,
    quarantine: QuarantineParts,
) -> Result<Arc<Gateway>, NodeError> {
    let nodes = settings.expected_nodes.max(1);
    let pool = Pool::new(CONNECT_LIMIT);
    let directory: Arc<ArcSwap<Directory>> = Arc::default();
    let QuarantineParts { book, clock, trials } = quarantine;
    let quarantine = Quarantine::new(book, pool.clone(), directory.clone(), clock.clone(), trials);
    let retries = RetryAllowance {
        earned_percent: percent(settings.retry_ratio * RETRY_RATIO_EARNED),
        saved_percent: percent(settings.retry_ratio * RETRY_RATIO_SAVED),
        extra: settings.retry_extra * RETRY_EXTRA_USED,
        window: settings.retry_window,
    };
    let forwarder = Arc::new(Forwarder {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        dialect: ports.dialect.clone(),
        pool,
        directory,
        backend_state: BackendState::default(),
        chooser: Chooser::new(settings.choice),
        placement,
        demand: DemandTracker::default(),
        rollouts: RolloutRegistry::default(),
        retries: RetryBudgets::new(retries, nodes),
        usage: UsageLedger::new(settings.usage_window).for_generation(&settings.node, life),
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
        .with_generation(life);
    Ok(Arc::new(Gateway { policy: Arc::default(), quotas, forwarder, peer_notify: Arc::default() }))
}

/// A ratio in whole hundredths.
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}

fn assemble_exchange(
    settings: &GatewaySettings,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    gateway: &Arc<Gateway>,
    readiness: &Arc<Readiness>,
    status: &Arc<StoreStatus>,
    life: u64,
) -> Exchange {
    let membership =
        Membership::new(settings.node.clone(), settings.zone.clone(), life, MembershipTiming::default())
            .with_link(settings.link_mbps)
            .with_broadcast();
    let directory = gateway.forwarder.directory.clone();
    let versions: Arc<Notify> = Arc::default();
    let transfers = Arc::new(TransferPacer::new(settings.link_mbps));
    let archive: Arc<PolicyHistory> = Arc::default();
    Exchange {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps,
        address: settings.peers,
        seeds: settings.seeds.clone(),
        expected_nodes: settings.expected_nodes,
        life,
        network,
        membership: MembershipActor::spawn(MembershipActor::new(membership, members.clone())),
        chooser: ZoneChooser::new(
            settings.node.clone(),
            settings.zone.clone(),
            settings.link_mbps,
            members.clone(),
        ),
        members,
        gateway: gateway.clone(),
        policy_actor: PolicyActor::spawn(PolicyActor::new(
            gateway.policy.clone(),
            archive.clone(),
            versions.clone(),
        )),
        directory_actor: DirectoryActor::spawn(DirectoryActor::new(
            directory.clone(),
            gateway.clone(),
            status.clone(),
            versions.clone(),
        )),
        directory,
        readiness: readiness.clone(),
        news: gateway.peer_notify.clone(),
        versions,
        started: Instant::now(),
        demand_closed: Mutex::new(Instant::now()),
        models_refreshed: Default::default(),
        models_told: Default::default(),
        directories: HeardVersions::default(),
        peer_lives: PeerLives::default(),
        policies: PolicyDistribution::new(archive, transfers.clone()),
        transfers,
        zones: Default::default(),
        quarantine_questions: Default::default(),
        told_usage: Mutex::default(),
    }
}
