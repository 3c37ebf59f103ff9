//! Duties that one node does for all, under a lease: usage reports, the number of back ends, and rollouts.
//!
//! The counts of a window are fixed in the store before they are reported, so that a successor
//! repeats the same numbers. The store's conditional write decides whose counts are fixed.
//!
//! What is not fixed yet, what services need and what was ordered is kept with each renewal of the lease (`kept`).

mod capacity;
mod followed_demand;
mod kept;
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
use beamwall_store::{Lease, LeaseState, VersionedObjects};
use prometheus::IntGauge;
use tokio::sync::watch;

use crate::gateway::chooser::ZoneChooser;
use crate::gateway::duties::capacity::{CapacityDuty, OrderTenure};
use crate::gateway::duties::kept::KeptDuties;
use crate::gateway::duties::rollouts::{RolloutDuty, RolloutTenure};
use crate::gateway::duties::usage::{UsageDuty, UsageProgress};
use crate::gateway::exchange::Exchange;
use crate::gateway::kept_models::ModelKeeper;
use crate::gateway::kept_quarantine::KeptQuarantine;

/// Time between two looks at what is due.
const PERIOD: Duration = Duration::from_millis(250);
/// Nodes of a zone that contend for the lease.
const CONTENDERS_PER_ZONE: usize = 1;
/// The lease on all duties.
const LEASE_NAME: &str = "gateway-duties";

/// The right to act for one tenure: it ends with the lease.
pub(crate) struct Holding {
    node: NodeId,
    epoch: u64,
    lease: watch::Receiver<LeaseState>,
}

impl Holding {
    /// The holder as told in calls, while the lease is held.
    fn holder(&self) -> Option<DutyHolder> {
        let held = self.lease.borrow().held_epoch();
        (held == Some(self.epoch)).then(|| DutyHolder { node: self.node.to_string(), epoch: self.epoch })
    }
}

/// What the holder of the lease has done in one tenure.
struct Tenure {
    holding: Holding,
    usage: UsageProgress,
    orders: OrderTenure,
    rollouts: RolloutTenure,
}

/// What the duties meet outside.
pub struct DutyPorts {
    /// The objects that the lease and reports are kept in.
    pub objects: Arc<dyn VersionedObjects>,
    /// Usage reports and orders of back ends.
    pub calls: Arc<dyn DutyPort>,
    /// Orders to move a service to another version; absent where they are not followed.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
}

/// The duties of one node.
pub struct Duties {
    node: NodeId,
    address: SocketAddr,
    directory: Arc<ArcSwap<Directory>>,
    objects: Arc<dyn VersionedObjects>,
    kept: Arc<KeptDuties>,
    chooser: ZoneChooser,
    /// The epoch held, for metrics; 0 while none is.
    lease_epoch: IntGauge,
    usage: Option<UsageDuty>,
    capacity: Option<CapacityDuty>,
    rollouts: Option<RolloutDuty>,
    models: ModelKeeper,
    held_requests: Arc<KeptQuarantine>,
}

impl Duties {
    /// The duties that the settings name.
    pub fn new(
        settings: &GatewaySettings,
        gateway: &Arc<Gateway>,
        ports: DutyPorts,
        exchange: &Arc<Exchange>,
        chooser: ZoneChooser,
        lease_epoch: IntGauge,
        held_requests: Arc<KeptQuarantine>,
    ) -> Self {
        let DutyPorts { objects, calls: port, rollouts } = ports;
        let bounds = Bounds {
            exposure_share: settings.exposure_share,
            exposure_slack: settings.exposure_slack,
            rollback: settings.rollback,
        };
        let rollouts = rollouts.map(|store| RolloutDuty::new(gateway.clone(), store, bounds));
        let kept = Arc::new(KeptDuties::new(gateway.clone()));
        let usage = || {
            let window = settings.usage_window;
            UsageDuty::new(
                window,
                kept.clone(),
                gateway.clone(),
                objects.clone(),
                port.clone(),
                exchange.clone(),
            )
        };
        let capacity = || CapacityDuty::new(gateway.clone(), port.clone(), kept.clone());
        Self {
            node: settings.node.clone(),
            address: settings.peers,
            directory: gateway.forwarder.directory.clone(),
            usage: settings.report_usage.then(usage),
            capacity: settings.order_capacity.then(capacity),
            rollouts,
            models: ModelKeeper::new(gateway.clone(), objects.clone()),
            held_requests,
            objects,
            kept,
            chooser,
            lease_epoch,
        }
    }

    /// Contends for the lease and does what is due while holding it, until the task is ended.
    pub async fn run(mut self) {
        let (lease, state) = Lease::with_store(LEASE_NAME, self.node.clone(), self.objects.clone());
        let lease = lease.with_address(self.address).with_checkpoint(self.kept.clone());
        let _contending = AbortOnDrop(tokio::spawn(contend(lease, state.clone(), self.chooser.clone())));
        let mut tenure: Option<Tenure> = None;
        loop {
            tokio::time::sleep(PERIOD).await;
            if let Some(capacity) = &mut self.capacity {
                capacity.follow_demand();
            }
            let epoch = state.borrow().held_epoch();
            self.lease_epoch.set(epoch.unwrap_or(0) as i64);
            log_change(tenure.as_ref().map(|tenure| tenure.holding.epoch), epoch);
            tenure = match (tenure, epoch) {
                (_, None) => None,
                (Some(tenure), Some(epoch)) if tenure.holding.epoch == epoch => Some(tenure),
                (_, Some(epoch)) => Some(self.begin_tenure(epoch, &state)),
            };
            if let Some(tenure) = &mut tenure {
                self.do_due(tenure).await;
                self.models.keep_due().await;
                self.held_requests.keep_due().await;
            }
        }
    }

    fn begin_tenure(&self, epoch: u64, lease: &watch::Receiver<LeaseState>) -> Tenure {
        let holding = Holding { node: self.node.clone(), epoch, lease: lease.clone() };
        Tenure {
            holding,
            usage: UsageProgress::default(),
            orders: OrderTenure::continuing(self.kept.orders()),
            rollouts: RolloutTenure::default(),
        }
    }

    async fn do_due(&self, tenure: &mut Tenure) {
        // On a part of the list a rollout would seem to be done, and back ends that are not known yet would be given up.
        let knows_all = self.directory.load().is_fully_loaded();
        if let Some(rollouts) = self.rollouts.as_ref().filter(|_| knows_all) {
            rollouts.decide_due(&mut tenure.rollouts, &tenure.holding).await;
        }
        if let Some(usage) = &self.usage {
            usage.report_due(&mut tenure.usage, &tenure.holding).await;
        }
        if let Some(capacity) = self.capacity.as_ref().filter(|_| knows_all) {
            capacity.order_due(&mut tenure.orders, &tenure.holding).await;
        }
    }
}

/// Renews the lease while this node holds it, and contends for it while it is chosen to.
async fn contend(mut lease: Lease, state: watch::Receiver<LeaseState>, chooser: ZoneChooser) {
    loop {
        let holds = state.borrow().held_epoch().is_some();
        if holds || chooser.is_chosen(LEASE_NAME, CONTENDERS_PER_ZONE) {
            let _ = lease.step().await;
        }
        lease.pause().await;
    }
}

/// Ends a task when its owner is dropped.
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

fn log_change(before: Option<u64>, now: Option<u64>) {
    if before == now {
        return;
    }
    let lease = LEASE_NAME.to_owned();
    if let Some(epoch) = before {
        emit(&LeaseLost { lease: lease.clone(), epoch: epoch.to_string() });
    }
    if let Some(epoch) = now {
        emit(&LeaseTaken { lease, epoch: epoch.to_string() });
    }
}
