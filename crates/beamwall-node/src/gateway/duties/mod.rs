//! Duties that one node performs for all, under a lease: usage reports, capacity orders, and rollouts.
//!
//! The counts of a window are fixed in the store before they are reported, so that a successor repeats the
//! same numbers. The store's conditional write decides which counts are fixed.
//!
//! Usage that is not fixed yet, needs of services and orders are saved with each renewal of the lease
//! (`checkpoint`).

mod capacity;
mod capacity_metrics;
mod checkpoint;
mod demand_tracker;
mod rollouts;
mod usage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::{LeaseLost, LeaseTaken};
use beamwall_gateway::ports::{DutyHolder, RolloutStore};
use beamwall_gateway::{Directory, DutyError, DutyPort, Gateway};
use beamwall_model::NodeId;
use beamwall_rollout::Bounds;
use beamwall_store::{Lease, LeaseState, ObjectError, VersionedObjects};
use prometheus::IntGauge;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::duties::capacity::{CapacityDuty, OrderTerm};
pub use crate::gateway::duties::capacity_metrics::CapacityMetrics;
use crate::gateway::duties::checkpoint::DutyCheckpointer;
use crate::gateway::duties::rollouts::{RolloutDuty, RolloutTerm};
use crate::gateway::duties::usage::{UsageDuty, UsageProgress};
use crate::gateway::exchange::PeerExchange;
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::stored_models::ModelStorage;
use crate::gateway::stored_quarantine::StoredQuarantine;
use crate::gateway::stored_versions::VersionStorage;

/// Time between two checks for duties that are due.
const DUTY_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Nodes of a zone that contend for the lease.
const CONTENDERS_PER_ZONE: usize = 1;
/// Name of the lease for all duties.
pub(super) const LEASE_NAME: &str = "gateway-duties";

/// The right to act during one lease term; it ends with the lease.
pub(crate) struct LeaseHold {
    node: NodeId,
    epoch: u64,
    lease: watch::Receiver<LeaseState>,
}

impl LeaseHold {
    /// Identifies the lease holder in calls; `None` once the lease is lost.
    fn holder(&self) -> Option<DutyHolder> {
        let held = self.lease.borrow().held_epoch();
        (held == Some(self.epoch)).then(|| DutyHolder { node: self.node.to_string(), epoch: self.epoch })
    }
}

/// State of one lease term.
struct LeaseTerm {
    lease_hold: LeaseHold,
    usage: UsageProgress,
    orders: OrderTerm,
    rollouts: RolloutTerm,
}

/// Ports of the duties.
pub struct DutyPorts {
    /// The objects that store the lease and reports.
    pub objects: Arc<dyn VersionedObjects>,
    /// Sends usage reports and orders of back ends.
    pub calls: Arc<dyn DutyPort>,
    /// Rollout orders; `None` where rollouts are disabled.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
}

/// Metrics of the duties.
pub struct DutyMetrics {
    /// The current lease epoch; 0 while this node does not hold the lease.
    pub lease_epoch: IntGauge,
    /// The capacity plan.
    pub capacity: CapacityMetrics,
}

/// What the node that holds the lease keeps in the store for all nodes.
pub struct StoredKnowledge {
    /// Requests that are held.
    pub held_requests: Arc<StoredQuarantine>,
    /// Versions that the engines have had lately.
    pub versions: Arc<VersionStorage>,
}

/// The duties of one node.
pub struct Duties {
    node: NodeId,
    address: SocketAddr,
    directory: Arc<ArcSwap<Directory>>,
    objects: Arc<dyn VersionedObjects>,
    checkpointer: Arc<DutyCheckpointer>,
    selector: NodeSelector,
    store_status: Arc<StoreStatus>,
    /// Metric of the current lease epoch; 0 while this node does not hold the lease.
    lease_epoch: IntGauge,
    usage: Option<UsageDuty>,
    capacity: Option<CapacityDuty>,
    rollouts: Option<RolloutDuty>,
    model_storage: ModelStorage,
    stored: StoredKnowledge,
}

impl Duties {
    /// Creates the duties that are enabled in the settings.
    pub fn new(
        settings: &GatewaySettings,
        gateway: &Arc<Gateway>,
        ports: DutyPorts,
        exchange: &Arc<PeerExchange>,
        selector: NodeSelector,
        metrics: DutyMetrics,
        stored: StoredKnowledge,
    ) -> Self {
        let DutyPorts { objects, calls: port, rollouts } = ports;
        let bounds = Bounds {
            exposure_share: settings.exposure_share,
            exposure_slack: settings.exposure_slack,
            rollback: settings.rollback,
        };
        let rollouts = rollouts.map(|store| RolloutDuty::new(gateway.clone(), store, bounds));
        let checkpointer = Arc::new(DutyCheckpointer::new(gateway.clone()));
        let usage = || {
            let window = settings.usage_window;
            UsageDuty::new(
                window,
                checkpointer.clone(),
                gateway.clone(),
                objects.clone(),
                port.clone(),
                exchange.clone(),
            )
        };
        let capacity = || {
            CapacityDuty::new(
                gateway.clone(),
                port.clone(),
                checkpointer.clone(),
                settings.capacity_ahead,
                metrics.capacity,
            )
        };
        Self {
            node: settings.node.clone(),
            address: settings.peers,
            directory: gateway.forwarder.directory.clone(),
            usage: settings.report_usage.then(usage),
            capacity: settings.order_capacity.then(capacity),
            rollouts,
            model_storage: ModelStorage::new(gateway.clone(), objects.clone()),
            stored,
            objects,
            checkpointer,
            selector,
            store_status: exchange.store_status.clone(),
            lease_epoch: metrics.lease_epoch,
        }
    }

    /// Contends for the lease and performs the duties that are due while holding it, until the task is
    /// aborted.
    pub async fn run(mut self) {
        // A lease in the store says that this is not the first start, so it is not taken before this node has looked.
        self.stored.versions.restore().await;
        let (lease, state) = Lease::with_store(LEASE_NAME, self.node.clone(), self.objects.clone());
        let lease = lease.with_address(self.address).with_checkpoint(self.checkpointer.clone());
        let _contending = AbortOnDrop(tokio::spawn(contend(
            lease,
            state.clone(),
            self.selector.clone(),
            self.store_status.clone(),
        )));
        let mut term: Option<LeaseTerm> = None;
        loop {
            tokio::time::sleep(DUTY_POLL_PERIOD).await;
            if let Some(capacity) = &mut self.capacity {
                capacity.observe_demand();
            }
            let epoch = state.borrow().held_epoch();
            self.lease_epoch.set(epoch.unwrap_or(0) as i64);
            log_change(term.as_ref().map(|term| term.lease_hold.epoch), epoch);
            term = match (term, epoch) {
                (term, None) => self.end_term(term),
                (Some(term), Some(epoch)) if term.lease_hold.epoch == epoch => Some(term),
                (_, Some(epoch)) => Some(self.begin_term(epoch, &state)),
            };
            if let Some(term) = &mut term {
                self.run_due(term).await;
                self.model_storage.write_if_due().await;
                self.stored.held_requests.write_if_due().await;
                self.stored.versions.write_if_due().await;
            }
        }
    }

    fn end_term(&self, term: Option<LeaseTerm>) -> Option<LeaseTerm> {
        if let (Some(_), Some(capacity)) = (term, &self.capacity) {
            capacity.end_term();
        }
        None
    }

    fn begin_term(&self, epoch: u64, lease: &watch::Receiver<LeaseState>) -> LeaseTerm {
        let lease_hold = LeaseHold { node: self.node.clone(), epoch, lease: lease.clone() };
        let saved = self.checkpointer.orders();
        let orders = self.capacity.as_ref().map(|capacity| capacity.begin_term(saved)).unwrap_or_default();
        LeaseTerm { lease_hold, usage: UsageProgress::default(), orders, rollouts: RolloutTerm::default() }
    }

    async fn run_due(&self, term: &mut LeaseTerm) {
        // With a partial list a rollout would appear complete, and back ends that are not listed yet would be
        // released.
        let knows_all = self.directory.load().is_fully_loaded();
        if let Some(rollouts) = self.rollouts.as_ref().filter(|_| knows_all) {
            rollouts.decide_due(&mut term.rollouts, &term.lease_hold).await;
        }
        if let Some(usage) = &self.usage {
            usage.report_due(&mut term.usage, &term.lease_hold).await;
        }
        if let Some(capacity) = self.capacity.as_ref().filter(|_| knows_all) {
            capacity.order_due(&mut term.orders, &term.lease_hold).await;
        }
    }
}

/// Renews the lease while this node holds it, and contends for it while this node is selected to.
async fn contend(
    mut lease: Lease,
    state: watch::Receiver<LeaseState>,
    selector: NodeSelector,
    status: Arc<StoreStatus>,
) {
    loop {
        let holds = state.borrow().held_epoch().is_some();
        if holds || selector.is_selected(LEASE_NAME, CONTENDERS_PER_ZONE) {
            let started = Instant::now();
            match lease.step().await {
                Ok(()) | Err(ObjectError::Conflict(_)) => status.note_answer(LEASE_NAME),
                Err(error) => status.note_failure(LEASE_NAME, &error.to_string(), started.elapsed()),
            }
        }
        lease.pause().await;
    }
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn describe(result: &Result<(), DutyError>) -> String {
    match result {
        Ok(()) => "done".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn log_change(previous: Option<u64>, current: Option<u64>) {
    if previous == current {
        return;
    }
    let lease = LEASE_NAME.to_owned();
    if let Some(epoch) = previous {
        emit(&LeaseLost { lease: lease.clone(), epoch: epoch.to_string() });
    }
    if let Some(epoch) = current {
        emit(&LeaseTaken { lease, epoch: epoch.to_string() });
    }
}
