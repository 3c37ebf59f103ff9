//! Assembly of one node: the only place that knows all parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use beamwall_config::ProcessSettings;
use beamwall_events::emit;
use beamwall_events::internal_events::{NodeReady, NodeStarted};
use beamwall_fleet::FleetView;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::quarantine::Quarantine;
use beamwall_http::{JsonClient, Pool, serve};
use beamwall_model::since_1970_ms;
use beamwall_peer::{Membership, MembershipTiming, PeerNetwork};
use beamwall_quarantine::QuarantineRegistry;
use beamwall_request::async_record::AsyncRecords;
use beamwall_request::{ClaimLedger, Dispatcher, RequestMetrics, RequestRegistry};
use beamwall_routing::TenantLimits;
use beamwall_store::{CallBudget, CloudClient, ObjectStore};
use kameo::actor::Spawn;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use crate::actors::fleet::FleetActor;
use crate::actors::membership::MembershipActor;
use crate::actors::tree::TreeActor;
use crate::callers::CallerHandler;
use crate::error::NodeError;
use crate::gateway::stored_quarantine::StoredQuarantine;
use crate::metrics::NodeMetrics;
use crate::operators::OperatorHandler;
use crate::shared::{Shared, bootstrap_operators};
use crate::tasks;
use crate::tasks::quarantine::{ListedInView, NodeQuarantine};
use crate::tree_store::TreeStore;

/// Longest time to open a connection to a back end.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time between looks at readiness, for the log.
const READY_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// One running node.
pub struct Node {
    /// Its parts.
    pub shared: Arc<Shared>,
    listeners: Vec<JoinHandle<()>>,
    duties: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens the listeners and starts every task.
    pub async fn start(settings: ProcessSettings) -> Result<Self, NodeError> {
        let callers = bind(settings.callers).await?;
        let operators = bind(settings.operators).await?;
        let (network, inbox) = PeerNetwork::listen(settings.peers)?;
        let shared = assemble(settings, network)?;
        emit(&NodeStarted {
            node: shared.settings.node.to_string(),
            zone: shared.settings.zone.to_string(),
            callers: shared.settings.callers.to_string(),
            operators: shared.settings.operators.to_string(),
            peers: shared.settings.peers.to_string(),
        });
        // Operators can look at a node while it drains: their listener closes last, with the process.
        let never = watch::channel(false);
        let stopping = shared.stopping.subscribe();
        let listeners = vec![tokio::spawn(serve(callers, CallerHandler::new(shared.clone()), stopping))];
        let operator_handler = OperatorHandler::new(shared.clone());
        let operator_listener = tokio::spawn(async move {
            let (_keep, stop) = never;
            serve(operators, operator_handler, stop).await;
        });
        tasks::claims::forward_to_owners(&shared);
        let mut duties = start_duties(&shared);
        duties.push(tokio::spawn(tasks::inbox::run(shared.clone(), inbox)));
        duties.push(operator_listener);
        Ok(Self { shared, listeners, duties })
    }

    /// Drains the node and waits until its open requests are done or handed over.
    pub async fn drain(mut self) {
        tasks::drain::run(self.shared.clone()).await;
        for listener in self.listeners.drain(..) {
            let _ = tokio::time::timeout(Duration::from_secs(1), listener).await;
        }
        self.stop();
    }

    /// Stops at once, as a kill would.
    pub fn stop(&mut self) {
        for task in self.listeners.iter().chain(&self.duties) {
            task.abort();
        }
        self.shared.network.close();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|cause| NodeError::Listen(address, cause))
}

/// Incarnations rise with each start: the time in milliseconds.
fn new_incarnation() -> u64 {
    since_1970_ms(SystemTime::now())
}

fn assemble(settings: ProcessSettings, network: Arc<PeerNetwork>) -> Result<Arc<Shared>, NodeError> {
    let registry = Registry::new();
    let request_metrics = RequestMetrics::new(&registry)?;
    let metrics = NodeMetrics::new(registry)?;
    let pool = Pool::new(CONNECT_LIMIT);
    let platform = JsonClient::new(pool.clone(), settings.platform, settings.platform_timeout);
    let budget =
        Arc::new(CallBudget::new(settings.platform_calls_per_second, settings.platform_writes_per_second));
    let store = ObjectStore::new(platform, budget);
    let cloud = CloudClient::new(JsonClient::new(pool.clone(), settings.cloud, settings.platform_timeout));
    let ledger = ClaimLedger::start(&store, &request_metrics.claims, &request_metrics.claim_writes);
    let view: Arc<ArcSwap<FleetView>> = Arc::default();
    let quarantine = assemble_quarantine(&pool, &store, view.clone());
    let dispatcher = Arc::new(Dispatcher::new(
        settings.node.clone(),
        settings.zone.clone(),
        pool,
        request_metrics,
        view,
        Arc::new(quarantine.clone()),
    ));
    let tree = Arc::new(ArcSwap::default());
    let members = Arc::new(ArcSwap::default());
    let membership = Membership::new(
        settings.node.clone(),
        settings.zone.clone(),
        new_incarnation(),
        MembershipTiming::default(),
    )
    .with_seeds(&settings.seeds, settings.peers);
    Ok(Arc::new(Shared {
        tree_actor: TreeActor::spawn(TreeActor::new(tree.clone())),
        membership_actor: MembershipActor::spawn(MembershipActor::new(membership, members.clone())),
        fleet_actor: FleetActor::spawn(FleetActor::new(dispatcher.clone(), tree.clone())),
        bootstrap_operators: bootstrap_operators(&settings),
        records: AsyncRecords::new(store.clone()),
        tree_store: TreeStore::new(store.clone()),
        quarantine,
        registry: RequestRegistry::default(),
        limits: TenantLimits::default(),
        dispatcher,
        ledger,
        store,
        cloud,
        network,
        metrics,
        tree,
        members,
        urgent: Notify::new(),
        caught_up: AtomicBool::new(false),
        draining: AtomicBool::new(false),
        stopping: watch::channel(false).0,
        own_demands: Default::default(),
        peer_demands: Default::default(),
        leases: Default::default(),
        targets: ArcSwap::default(),
        machines_digest: AtomicU64::new(0),
        peer_machines_digest: AtomicU64::new(0),
        fetching_tree: AtomicBool::new(false),
        highest_revision: AtomicU64::new(0),
        settings,
    }))
}

fn assemble_quarantine(pool: &Pool, store: &ObjectStore, view: Arc<ArcSwap<FleetView>>) -> NodeQuarantine {
    let (book, clock): (Arc<QuarantineRegistry>, Arc<FleetClock>) = Default::default();
    let kept = Arc::new(StoredQuarantine::new(Arc::new(store.clone()), book.clone(), clock.clone()));
    let listed = Arc::new(ListedInView(view));
    let quarantine = Arc::new(Quarantine::new(book, pool.clone(), listed, clock, kept.clone()));
    NodeQuarantine { quarantine, kept }
}

fn start_duties(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(tasks::heartbeat::run(shared.clone())),
        tokio::spawn(tasks::limits::run(shared.clone())),
        tokio::spawn(tasks::polling::run(shared.clone())),
        tokio::spawn(tasks::tree_watch::run(shared.clone())),
        tokio::spawn(tasks::cloud_watch::run_list(shared.clone())),
        tokio::spawn(tasks::cloud_watch::run_notices(shared.clone())),
        tokio::spawn(tasks::control::run(shared.clone())),
        tokio::spawn(tasks::asynchronous::run(shared.clone())),
        tokio::spawn(tasks::upkeep::run(shared.clone())),
        tokio::spawn(tasks::quarantine::tell(shared.clone())),
        tokio::spawn(tasks::quarantine::upkeep(shared.clone())),
        tokio::spawn(report_ready(shared.clone())),
    ]
}

async fn report_ready(shared: Arc<Shared>) {
    while !shared.is_ready() {
        tokio::time::sleep(READY_CHECK_PERIOD).await;
    }
    let revision = shared.tree.load().revision.to_string();
    emit(&NodeReady { node: shared.settings.node.to_string(), revision });
}
