//! The duty of deciding on rollouts: how far each order goes is told to all nodes, and what comes of it to the operator.

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

use crate::gateway::duties::Holding;

/// The rollouts of one tenure.
#[derive(Debug, Default)]
pub(super) struct RolloutTenure {
    running: BTreeMap<OrderId, Rollout>,
    /// What the operator was told last in this tenure.
    written: BTreeMap<OrderId, Verdict>,
    /// Orders whose move of all traffic was logged.
    staged: BTreeSet<OrderId>,
    /// Number of the next telling.
    tellings: u64,
}

/// The duty of deciding on rollouts.
pub(super) struct RolloutDuty {
    gateway: Arc<Gateway>,
    store: Arc<dyn RolloutStore>,
    bounds: Bounds,
    /// Told when peers should hear at once.
    news: Arc<Notify>,
}

impl RolloutDuty {
    /// A duty within `bounds`.
    pub(super) fn new(gateway: Arc<Gateway>, store: Arc<dyn RolloutStore>, bounds: Bounds) -> Self {
        let news = gateway.peer_notify.clone();
        Self { gateway, store, bounds, news }
    }

    /// Looks at all orders, decides, tells all nodes, and writes what is new for the operator.
    pub(super) async fn decide_due(&self, tenure: &mut RolloutTenure, holding: &Holding) {
        let now = beamwall_clock::now();
        let orders = self.gateway.forwarder.rollouts.orders(now);
        for news in orders.into_iter().filter(|news| !news.is_withdrawn) {
            let Some(holder) = holding.holder() else { return };
            self.decide(tenure, &news, holder.epoch, now);
            self.write_status(tenure, &news.order.id).await;
        }
    }

    fn decide(&self, tenure: &mut RolloutTenure, news: &OrderUpdate, epoch: u64, now: Instant) {
        let book = &self.gateway.forwarder.rollouts;
        let id = &news.order.id;
        let began = now.checked_sub(news.age).unwrap_or(now);
        let rollout = tenure
            .running
            .entry(id.clone())
            .or_insert_with(|| Rollout::new(news.order.clone(), self.bounds, began));
        rollout.apply_verdict(news.verdict);
        let was_final = rollout.verdict().is_final();
        let supply = self.supply(id);
        let verdict = rollout.evaluate(&book.evidence(id), supply, now);
        if verdict.is_final() && !was_final {
            log_decision(rollout, verdict, supply);
            book.merge_verdict(id, verdict, now);
        }
        let stage = rollout.stage();
        if stage.takes_all() && tenure.staged.insert(id.clone()) {
            emit(&RolloutStaged {
                service: id.service.to_string(),
                target: id.target.to_string(),
                new: supply.new.to_string(),
                old: supply.old.to_string(),
                left_ms: rollout.time_left(now).as_millis().to_string(),
            });
        }
        if !was_final {
            tenure.tellings += 1;
            let sequence = (epoch, tenure.tellings);
            book.merge_stage(&StageUpdate { order: id.clone(), sequence, stage, age: Duration::ZERO }, now);
            self.news.notify_one();
        }
    }

    /// Tells the operator what is new. A failure is said, and tried again at the next look.
    async fn write_status(&self, tenure: &mut RolloutTenure, id: &OrderId) {
        let Some(verdict) = tenure.running.get(id).map(Rollout::verdict) else { return };
        if tenure.written.get(id) == Some(&verdict) {
            return;
        }
        match self.store.set_status(id, verdict).await {
            Ok(()) => {
                tenure.written.insert(id.clone(), verdict);
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
