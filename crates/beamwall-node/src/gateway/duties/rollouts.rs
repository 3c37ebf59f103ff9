//! The duty of deciding on rollouts: sends the stage of each order to all nodes, and writes its status for
//! the operator.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{RolloutDecided, RolloutStaged, RolloutStatusNotWritten};
use beamwall_gateway::Gateway;
use beamwall_gateway::ports::RolloutStore;
use beamwall_rollout::{
    Bounds, Finding, OrderId, OrderUpdate, Rollout, StageUpdate, Verdict, VersionCapacity,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::duties::LeaseHold;

/// The rollouts of one lease term.
#[derive(Debug, Default)]
pub(super) struct RolloutTerm {
    running: BTreeMap<OrderId, Rollout>,
    /// The last status written for the operator in this term and era of the store.
    reported: BTreeMap<OrderId, Verdict>,
    /// The era of the store in which they were written.
    reported_era: u64,
    /// Orders whose move of all traffic was logged.
    staged: BTreeSet<OrderId>,
    /// Sequence number of the last stage update.
    stage_updates: u64,
}

impl RolloutTerm {
    /// A restored store may have lost the statuses that were written.
    fn begin_era(&mut self, era: u64) {
        if std::mem::replace(&mut self.reported_era, era) != era {
            self.reported.clear();
        }
    }
}

/// The duty of deciding on rollouts.
pub(super) struct RolloutDuty {
    gateway: Arc<Gateway>,
    store: Arc<dyn RolloutStore>,
    bounds: Bounds,
    /// Triggers an immediate heartbeat to peers.
    heartbeat_trigger: Arc<Notify>,
}

impl RolloutDuty {
    /// Creates the duty with the given `bounds`.
    pub(super) fn new(gateway: Arc<Gateway>, store: Arc<dyn RolloutStore>, bounds: Bounds) -> Self {
        let heartbeat_trigger = gateway.peer_notify.clone();
        Self { gateway, store, bounds, heartbeat_trigger }
    }

    /// Evaluates all orders, sends their stages to all nodes, and writes changed statuses for the operator.
    pub(super) async fn decide_due(&self, term: &mut RolloutTerm, lease_hold: &LeaseHold) {
        term.begin_era(*self.store.era().borrow());
        let now = beamwall_clock::now();
        let orders = self.gateway.forwarder.rollouts.orders(now);
        for order_update in orders.into_iter().filter(|order_update| !order_update.is_withdrawn) {
            let Some(holder) = lease_hold.holder() else { return };
            self.decide(term, &order_update, holder.epoch, now);
            self.write_status(term, &order_update.order.id).await;
        }
    }

    fn decide(&self, term: &mut RolloutTerm, order_update: &OrderUpdate, epoch: u64, now: Instant) {
        let registry = &self.gateway.forwarder.rollouts;
        let id = &order_update.order.id;
        let began = now.checked_sub(order_update.age).unwrap_or(now);
        let rollout = term
            .running
            .entry(id.clone())
            .or_insert_with(|| Rollout::new(order_update.order.clone(), self.bounds, began));
        rollout.apply_verdict(order_update.verdict);
        let was_final = rollout.verdict().is_final();
        let supply = self.supply(id);
        let verdict = rollout.evaluate(&registry.evidence(id), supply, now);
        if verdict.is_final() && !was_final {
            log_decision(rollout, verdict, supply);
            registry.merge_verdict(id, verdict, now);
        }
        let stage = rollout.stage();
        if stage.takes_all() && term.staged.insert(id.clone()) {
            emit(&RolloutStaged {
                service: id.service.to_string(),
                target: id.target.to_string(),
                new: supply.new.to_string(),
                old: supply.old.to_string(),
                left_ms: rollout.time_left(now).as_millis().to_string(),
            });
        }
        if !was_final {
            term.stage_updates += 1;
            let sequence = (epoch, term.stage_updates);
            registry
                .merge_stage(&StageUpdate { order: id.clone(), sequence, stage, age: Duration::ZERO }, now);
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Writes a changed status for the operator. A failure is logged, and retried at the next evaluation.
    async fn write_status(&self, term: &mut RolloutTerm, id: &OrderId) {
        let Some(verdict) = term.running.get(id).map(Rollout::verdict) else { return };
        if term.reported.get(id) == Some(&verdict) {
            return;
        }
        match self.store.set_status(id, verdict).await {
            Ok(()) => {
                term.reported.insert(id.clone(), verdict);
            }
            Err(error) => {
                let (service, reason) = (id.service.to_string(), error.to_string());
                emit(&RolloutStatusNotWritten { service, reason });
            }
        }
    }

    fn supply(&self, id: &OrderId) -> VersionCapacity {
        let directory = self.gateway.forwarder.directory.load();
        let loads = &self.gateway.forwarder.backend_state.loads;
        let mut supply = VersionCapacity::default();
        for backend in directory.backends().filter(|backend| backend.service == id.service) {
            let is_new = backend.version == id.target;
            supply.new += usize::from(is_new && !backend.draining);
            supply.old += usize::from(!is_new && !backend.draining);
            if !is_new {
                supply.running_at_old += u64::from(loads.total(&backend.id).requests);
            }
        }
        supply
    }
}

fn log_decision(rollout: &Rollout, verdict: Verdict, supply: VersionCapacity) {
    let id = &rollout.order().id;
    emit(&RolloutDecided {
        service: id.service.to_string(),
        target: id.target.to_string(),
        verdict: format!("{verdict:?}"),
        new: supply.new.to_string(),
        old: supply.old.to_string(),
        reason: rollout.finding().map(describe).unwrap_or_default(),
    });
}

fn describe(finding: &Finding) -> String {
    let route = finding.route.as_deref().unwrap_or("all routes");
    let old = finding.old_share * 100.0;
    format!(
        "{} of {} answers bad on {route}, {old:.1} in 100 of the old version's",
        finding.bad, finding.answers
    )
}
