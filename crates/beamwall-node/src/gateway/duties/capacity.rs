//! Capacity of services: tracks demand and orders back ends according to the scaling plan.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beamwall_duties::ahead::{self, SubstituteReason};
use beamwall_duties::{OrderTracker, SavedOrder};
use beamwall_engine_limits::RequestRate;
use beamwall_events::emit;
use beamwall_events::internal_events::{CapacityNotKnown, CapacityOrdered, SubstitutesOrdered};
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, OrderKey, ScalingInputs, SupplyOutlook, ZoneSupply};
use beamwall_gateway::sizing::{self, Needed};
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::{Service, Shared, TrafficPolicy};
use tokio::time::Instant;

use crate::gateway::duties::capacity_metrics::CapacityMetrics;
use crate::gateway::duties::checkpoint::DutyCheckpointer;
use crate::gateway::duties::demand_tracker::DemandTracker;
use crate::gateway::duties::{LeaseHold, describe};

/// Time between two evaluations of the number of back ends.
const SCALING_PERIOD: Duration = Duration::from_millis(500);
/// Least capacity that one back end counts as, in standard back ends.
const MIN_ROOM: f64 = 0.25;
/// Largest capacity that one back end counts as, in standard back ends.
const MAX_ROOM: f64 = 4.0;
/// Largest number of plans in one evaluation: the second one replaces what the first one could not get.
const MAX_PLANS: usize = 2;

/// The orders of one lease term, and when to evaluate them next.
#[derive(Debug, Default)]
pub(super) struct OrderTerm {
    tracker: OrderTracker,
    next_check: Option<Instant>,
    /// Services whose unknown needs have been logged.
    logged_unknown: BTreeSet<ServiceName>,
    /// Reclaimable back ends that stayed at the last evaluation.
    staying: BTreeMap<OrderKey, u32>,
}

/// Reclaimable back ends of one zone that accept requests and are not about to leave.
#[derive(Debug, Clone, Copy, Default)]
struct Staying {
    count: u32,
    /// Their capacity in standard back ends.
    room: f64,
}

/// What the orders of one plan are for, as logged with them.
#[derive(Debug, Clone, Copy)]
struct OrderPurpose {
    needed: Needed,
    substitutes: Option<SubstituteReason>,
}

/// The duty of ordering back ends.
pub(super) struct CapacityDuty {
    gateway: Arc<Gateway>,
    port: Arc<dyn DutyPort>,
    checkpointer: Arc<DutyCheckpointer>,
    demands: BTreeMap<ServiceName, DemandTracker>,
    /// Whether back ends are ordered ahead of need.
    is_ahead: bool,
    metrics: CapacityMetrics,
}

impl CapacityDuty {
    /// Creates the duty, with no demand recorded yet.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        port: Arc<dyn DutyPort>,
        checkpointer: Arc<DutyCheckpointer>,
        is_ahead: bool,
        metrics: CapacityMetrics,
    ) -> Self {
        Self { gateway, port, checkpointer, demands: BTreeMap::new(), is_ahead, metrics }
    }

    /// Starts a term with the orders that the previous lease holder saved.
    pub(super) fn begin_term(&self, saved: Vec<SavedOrder>) -> OrderTerm {
        let mut tracker = OrderTracker::restore(saved, Instant::now());
        if self.is_ahead {
            tracker = tracker.retrying_unanswered_after(ahead::UNANSWERED_RETRY_DELAY);
        }
        OrderTerm { tracker, ..OrderTerm::default() }
    }

    /// Ends a term: this node's plan is no longer in force.
    pub(super) fn end_term(&self) {
        self.metrics.clear();
    }

    /// Updates the demand of each scaled service: increases apply at once, decreases gradually.
    pub(super) fn observe_demand(&mut self) {
        let policy = self.gateway.policy.load();
        for service in &policy.policy().services {
            let Some(limits) = &service.scaling else { continue };
            let horizon = self.is_ahead.then(|| Duration::from_millis(limits.boot_ms));
            let demand = self.demands.entry(service.name.clone()).or_default();
            demand.update_from(&self.gateway, &service.name, horizon);
        }
    }

    /// Submits the orders that are due.
    pub(super) async fn order_due(&self, term: &mut OrderTerm, lease_hold: &LeaseHold) {
        let now = Instant::now();
        let is_waiting = term.next_check.is_some_and(|at| now < at);
        if is_waiting && !self.has_lost_supply(term) {
            return;
        }
        term.next_check = Some(now + SCALING_PERIOD);
        term.staying = self.staying_by_order();
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
            self.metrics.set_needs(&service.name, needed, self.planned_requests(&service.name));
            self.order_for(service, needed, term, lease_hold).await;
        }
        self.checkpointer.note_orders(term.tracker.to_saved());
    }

    /// Submits the orders of one service. If reclaimable back ends could not be had, the plan is made again at
    /// once where back ends are ordered ahead of need.
    async fn order_for(
        &self,
        service: &Service,
        needed: Needed,
        term: &mut OrderTerm,
        lease_hold: &LeaseHold,
    ) {
        let plans = if self.is_ahead { MAX_PLANS } else { 1 };
        for plan in 1..=plans {
            let is_last = plan == plans;
            if self.submit_plan(service, needed, is_last, term, lease_hold).await {
                return;
            }
        }
    }

    /// Submits the orders of one plan. Returns whether none failed. Unless it is the last plan, the first failure
    /// ends it: the next one has substitutes, and they must not wait for further calls.
    async fn submit_plan(
        &self,
        service: &Service,
        needed: Needed,
        is_last: bool,
        term: &mut OrderTerm,
        lease_hold: &LeaseHold,
    ) -> bool {
        let (orders, purpose) = self.orders_for(service, needed, &mut term.tracker);
        let mut has_failed = false;
        for order in orders {
            has_failed |= !self.submit_order(order, purpose, term, lease_hold).await;
            if has_failed && !is_last {
                break;
            }
        }
        !has_failed
    }

    /// Whether reclaimable back ends were lost, or announced to be, since the last evaluation.
    fn has_lost_supply(&self, term: &OrderTerm) -> bool {
        let now = self.staying_by_order();
        let has_lost = |(key, before): (&OrderKey, &u32)| {
            ahead::has_lost(&term.tracker, key, *before, now.get(key).copied().unwrap_or(0))
        };
        term.staying.iter().any(has_lost)
    }

    /// Reclaimable back ends that stay, by service and zone; none where nothing is ordered ahead of need.
    fn staying_by_order(&self) -> BTreeMap<OrderKey, u32> {
        if !self.is_ahead {
            return BTreeMap::new();
        }
        let policy = self.gateway.policy.load();
        let scaled = policy.policy().services.iter().filter(|service| service.scaling.is_some());
        let of_service = |service: &Shared<Service>| {
            let name = service.name.clone();
            let by_zone = self.staying_by_zone(&name).into_iter();
            by_zone.map(move |(zone, staying)| (OrderKey::new(&name, &zone, true), staying.count))
        };
        scaled.flat_map(of_service).collect()
    }

    /// Reclaimable back ends of a service that accept requests and are not about to leave.
    fn staying_by_zone(&self, service: &ServiceName) -> BTreeMap<ZoneName, Staying> {
        let directory = self.gateway.forwarder.directory.load();
        let gate = &self.gateway.forwarder.gate;
        let factors = self.gateway.forwarder.backend_state.models.factors();
        let mut by_zone: BTreeMap<ZoneName, Staying> = BTreeMap::new();
        let reclaimable = directory.usable(service).filter(|backend| backend.reclaimable);
        for backend in reclaimable.filter(|backend| !gate.is_leaving(&backend.id)) {
            let staying = by_zone.entry(backend.zone.clone()).or_default();
            staying.count += 1;
            staying.room += (1.0 / factors.lasting().for_backend(&backend.id)).clamp(MIN_ROOM, MAX_ROOM);
        }
        by_zone
    }

    /// Requests a second for which the back ends of a service are planned.
    fn planned_requests(&self, service: &ServiceName) -> f64 {
        self.demands.get(service).map_or(0.0, |demand| demand.planned().requests)
    }

    /// Logs once per term each service whose back ends are kept because its needs are unknown.
    fn log_unknown_needs(&self, term: &mut OrderTerm) {
        for (service, demand) in self.demands.iter().filter(|(_, demand)| demand.is_demand_unknown()) {
            if term.logged_unknown.insert(service.clone()) {
                emit(&CapacityNotKnown { service: service.to_string(), kept: demand.floor().to_string() });
            }
        }
    }

    /// Submits one order, unless it failed recently, and records the result. Returns whether the order was not
    /// attempted or was accepted.
    async fn submit_order(
        &self,
        order: CapacityOrder,
        purpose: OrderPurpose,
        term: &mut OrderTerm,
        lease_hold: &LeaseHold,
    ) -> bool {
        if !term.tracker.may_attempt(&OrderKey::of(&order), Instant::now()) {
            return true;
        }
        let Some(holder) = lease_hold.holder() else { return true };
        let result = self.port.order_capacity(&holder, &order).await;
        emit(&CapacityOrdered {
            service: order.service.to_string(),
            zone: order.zone.to_string(),
            reclaimable: order.reclaimable.to_string(),
            wanted: order.wanted.to_string(),
            needed: purpose.needed.usual.to_string(),
            epoch: holder.epoch.to_string(),
            result: describe(&result),
        });
        let now = Instant::now();
        match result {
            Ok(()) => {
                log_substitutes(&order, purpose, &term.tracker);
                term.tracker.record_placed(&order, now);
                true
            }
            Err(error) => {
                let newly_exhausted = term.tracker.record_failure(&order, error == DutyError::Exhausted, now);
                if newly_exhausted {
                    // The exhausted supply is replaced by on-demand back ends from the next evaluation on.
                    term.next_check = None;
                }
                false
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
        let (on_demand_usable, reclaimable_usable) = (usable(false), usable(true));
        ZoneSupply {
            zone: zone.clone(),
            on_demand_usable,
            reclaimable_usable,
            // Without a saved order of the predecessor, the usable back ends are the result of what it
            // ordered.
            on_demand_ordered: tracker.last_ordered(&key(false)).unwrap_or(on_demand_usable),
            is_exhausted: self.is_exhausted(&key(true), reclaimable_usable, tracker),
        }
    }

    /// Whether no reclaimable back ends can be had in a zone, as far as the last attempt tells.
    fn is_exhausted(&self, key: &OrderKey, usable: u32, tracker: &OrderTracker) -> bool {
        if self.is_ahead { ahead::is_unavailable(tracker, key, usable) } else { tracker.is_exhausted(key) }
    }

    /// The supply that the next plan may count on.
    fn outlook(&self, service: &ServiceName, zones: &[ZoneSupply]) -> SupplyOutlook {
        let by_zone = self.staying_by_zone(service).into_iter();
        let room = by_zone.map(|(zone, staying)| (zone, staying.room)).collect();
        SupplyOutlook { room, losses: ahead::losses_ahead(zones) }
    }

    /// Back ends that a service needs: while unknown, the number found by the previous lease holder; without
    /// one, the floor decides.
    fn needed(&self, policy: &TrafficPolicy, service: &Service) -> Needed {
        if let Some(needed) = self.predecessor_needs(&service.name) {
            return needed;
        }
        let Some(demand) = self.demands.get(&service.name) else { return Needed::default() };
        let computed = demand.needed(&self.gateway, policy, service);
        let needed = if self.is_ahead { demand.needs_ahead(computed) } else { computed.unwrap_or_default() };
        if self.is_ahead || !demand.is_demand_unknown() {
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
    ) -> (Vec<CapacityOrder>, OrderPurpose) {
        let mut purpose = OrderPurpose { needed, substitutes: None };
        let Some(limits) = &service.scaling else { return (Vec::new(), purpose) };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, tracker)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            needed,
            floor: self.floor(&service.name),
        };
        let outlook = self.outlook(&service.name, &zones);
        self.metrics.set_supply(&service.name, &zones, &outlook);
        let now = Instant::now();
        if self.is_ahead {
            let evaluation = ahead::evaluate(&inputs, &outlook, tracker, now);
            purpose.substitutes = evaluation.reason;
            return (evaluation.due, purpose);
        }
        scaling::note_usable(tracker.placed_mut(), inputs.service, &zones);
        (scaling::orders_due(&scaling::plan(&inputs), tracker.placed(), &inputs, now), purpose)
    }
}

/// Logs an order that adds on-demand substitutes.
fn log_substitutes(order: &CapacityOrder, purpose: OrderPurpose, tracker: &OrderTracker) {
    let Some(reason) = purpose.substitutes else { return };
    if !ahead::is_on_demand_increase(order, tracker) {
        return;
    }
    let before = tracker.last_ordered(&OrderKey::of(order)).unwrap_or(0);
    emit(&SubstitutesOrdered {
        service: order.service.to_string(),
        zone: order.zone.to_string(),
        count: (order.wanted - before).to_string(),
        reason: reason.name().to_owned(),
    });
}
