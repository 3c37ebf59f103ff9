//! Capacity of services: tracks demand and orders back ends according to the scaling plan.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beamwall_duties::{OrderTracker, SavedOrder};
use beamwall_engine_limits::RequestRate;
use beamwall_events::emit;
use beamwall_events::internal_events::{CapacityNotKnown, CapacityOrdered};
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::sizing::{self, Needed};
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::{Service, Shared, TrafficPolicy};
use tokio::time::Instant;

use crate::gateway::duties::checkpoint::DutyCheckpointer;
use crate::gateway::duties::demand_tracker::DemandTracker;
use crate::gateway::duties::{LeaseHold, describe};

/// Time between two evaluations of the number of back ends.
const SCALING_PERIOD: Duration = Duration::from_millis(500);
/// The orders of one lease term, and when to evaluate them next.
#[derive(Debug, Default)]
pub(super) struct OrderTerm {
    tracker: OrderTracker,
    next_check: Option<Instant>,
    /// Services whose unknown needs have been logged.
    logged_unknown: BTreeSet<ServiceName>,
}

impl OrderTerm {
    /// Starts a term with the orders that the previous lease holder saved.
    pub(super) fn resuming(saved: Vec<SavedOrder>) -> Self {
        Self { tracker: OrderTracker::restore(saved, Instant::now()), ..Self::default() }
    }
}

/// The duty of ordering back ends.
pub(super) struct CapacityDuty {
    gateway: Arc<Gateway>,
    port: Arc<dyn DutyPort>,
    checkpointer: Arc<DutyCheckpointer>,
    demands: BTreeMap<ServiceName, DemandTracker>,
}

impl CapacityDuty {
    /// Creates the duty, with no demand recorded yet.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        port: Arc<dyn DutyPort>,
        checkpointer: Arc<DutyCheckpointer>,
    ) -> Self {
        Self { gateway, port, checkpointer, demands: BTreeMap::new() }
    }

    /// Updates the demand of each scaled service: increases apply at once, decreases gradually.
    pub(super) fn observe_demand(&mut self) {
        let policy = self.gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.scaling.is_some()) {
            self.demands.entry(service.name.clone()).or_default().update_from(&self.gateway, &service.name);
        }
    }

    /// Submits the orders that are due.
    pub(super) async fn order_due(&self, term: &mut OrderTerm, lease_hold: &LeaseHold) {
        let now = Instant::now();
        if term.next_check.is_some_and(|at| now < at) {
            return;
        }
        term.next_check = Some(now + SCALING_PERIOD);
        self.log_unknown_needs(term);
        let policy = self.gateway.policy.load_full();
        let is_settled = |service: &&Shared<Service>| {
            let is_settled = self.demands.get(&service.name).is_some_and(DemandTracker::is_settled);
            is_settled || self.predecessor_needs(&service.name).is_some()
        };
        // While a service moves to another version its orders stay unchanged: the back ends of both versions
        // would be counted as one.
        let rollouts = &self.gateway.forwarder.rollouts;
        let is_moving = |service: &Shared<Service>| rollouts.is_running(&service.name);
        let services = policy.policy().services.iter().filter(is_settled);
        for service in services.filter(|service| !is_moving(service)) {
            let needed = self.needed(policy.policy(), service);
            for order in self.orders_for(service, needed, &mut term.tracker) {
                self.submit_order(order, needed, term, lease_hold).await;
            }
        }
        self.checkpointer.note_orders(term.tracker.to_saved());
    }

    /// Logs once per term each service whose back ends are kept because its needs are unknown.
    fn log_unknown_needs(&self, term: &mut OrderTerm) {
        for (service, demand) in self.demands.iter().filter(|(_, demand)| demand.is_demand_unknown()) {
            if term.logged_unknown.insert(service.clone()) {
                emit(&CapacityNotKnown { service: service.to_string(), kept: demand.floor().to_string() });
            }
        }
    }

    /// Submits one order, unless it failed recently, and records the result.
    async fn submit_order(
        &self,
        order: CapacityOrder,
        needed: Needed,
        term: &mut OrderTerm,
        lease_hold: &LeaseHold,
    ) {
        if !term.tracker.may_attempt(&OrderKey::of(&order), Instant::now()) {
            return;
        }
        let Some(holder) = lease_hold.holder() else { return };
        let result = self.port.order_capacity(&holder, &order).await;
        emit(&CapacityOrdered {
            service: order.service.to_string(),
            zone: order.zone.to_string(),
            reclaimable: order.reclaimable.to_string(),
            wanted: order.wanted.to_string(),
            needed: needed.usual.to_string(),
            epoch: holder.epoch.to_string(),
            result: describe(&result),
        });
        let now = Instant::now();
        match result {
            Ok(()) => term.tracker.record_placed(&order, now),
            Err(error) => {
                let newly_exhausted = term.tracker.record_failure(&order, error == DutyError::Exhausted, now);
                if newly_exhausted {
                    // The exhausted supply is replaced by on-demand back ends from the next evaluation on.
                    term.next_check = None;
                }
            }
        }
    }

    fn supply(&self, service: &Service, zone: &ZoneName, tracker: &OrderTracker) -> ZoneSupply {
        let directory = self.gateway.forwarder.directory.load();
        let gate = &self.gateway.forwarder.gate;
        let usable = |reclaimable: bool| {
            let staying = directory.usable(&service.name).filter(|backend| !gate.is_leaving(&backend.id));
            let in_zone = staying.filter(|backend| &backend.zone == zone);
            in_zone.filter(|backend| backend.reclaimable == reclaimable).count() as u32
        };
        let key = |reclaimable| OrderKey::new(&service.name, zone, reclaimable);
        let on_demand_usable = usable(false);
        ZoneSupply {
            zone: zone.clone(),
            on_demand_usable,
            reclaimable_usable: usable(true),
            // Without a saved order of the predecessor, the usable back ends are the result of what it
            // ordered.
            on_demand_ordered: tracker.last_ordered(&key(false)).unwrap_or(on_demand_usable),
            is_exhausted: tracker.is_exhausted(&key(true)),
        }
    }

    /// Back ends that a service needs: while unknown, the number found by the previous lease holder; without
    /// one, the floor decides.
    fn needed(&self, policy: &TrafficPolicy, service: &Service) -> Needed {
        if let Some(needed) = self.predecessor_needs(&service.name) {
            return needed;
        }
        let Some(demand) = self.demands.get(&service.name) else { return Needed::default() };
        let needed = demand.needed(&self.gateway, policy, service).unwrap_or_default();
        if !demand.is_demand_unknown() {
            self.checkpointer.note_needs(&service.name, needed);
        }
        needed.with_replacements(self.replacements(&service.name, demand.requests_per_back_end(needed)))
    }

    /// Back ends that replace those of a service whose limits allow fewer than the usual requests a second.
    fn replacements(&self, service: &ServiceName, usual_requests: f64) -> u32 {
        let directory = self.gateway.forwarder.directory.load();
        let limits: Vec<f64> = directory
            .usable(service)
            .filter_map(|backend| self.gateway.forwarder.gate.limit(&backend.id))
            .map(RequestRate::per_second)
            .collect();
        sizing::replacements(&limits, usual_requests)
    }

    /// Needs of a service found by the previous lease holder, until this node knows them itself.
    fn predecessor_needs(&self, service: &ServiceName) -> Option<Needed> {
        let is_unknown = self.demands.get(service).is_none_or(DemandTracker::is_demand_unknown);
        self.checkpointer.inherited_needs(service).filter(|_| is_unknown)
    }

    /// Back ends that are kept because the needs of the service are unknown.
    fn floor(&self, service: &ServiceName) -> u32 {
        match self.predecessor_needs(service) {
            Some(_) => 0,
            None => self.demands.get(service).map_or(0, DemandTracker::floor),
        }
    }

    fn orders_for(
        &self,
        service: &Service,
        needed: Needed,
        tracker: &mut OrderTracker,
    ) -> Vec<CapacityOrder> {
        let Some(limits) = &service.scaling else { return Vec::new() };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, tracker)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            needed,
            floor: self.floor(&service.name),
        };
        scaling::note_usable(tracker.placed_mut(), inputs.service, &zones);
        scaling::orders_due(&scaling::plan(&inputs), tracker.placed(), &inputs, Instant::now())
    }
}
