//! The number of back ends: the demand is followed, and what the plan wants is ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beamwall_duties::{OrderTracker, SavedOrder};
use beamwall_events::emit;
use beamwall_events::internal_events::{CapacityNotKnown, CapacityOrdered};
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::sizing::Needed;
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::{Service, Shared, TrafficPolicy};
use tokio::time::Instant;

use crate::gateway::duties::followed_demand::FollowedDemand;
use crate::gateway::duties::kept::KeptDuties;
use crate::gateway::duties::{Holding, describe};

/// Time between two looks at the number of back ends.
const SCALING_PERIOD: Duration = Duration::from_millis(500);
/// The orders of one tenure, and when to look at them.
#[derive(Debug, Default)]
pub(super) struct OrderTenure {
    book: OrderTracker,
    next_look: Option<Instant>,
    /// Services of which it was said that their needs are not known.
    told_unknown: BTreeSet<ServiceName>,
}

impl OrderTenure {
    /// A tenure that goes on from what the last holder kept.
    pub(super) fn continuing(kept: Vec<SavedOrder>) -> Self {
        Self { book: OrderTracker::restore(kept, Instant::now()), ..Self::default() }
    }
}

/// The duty of ordering back ends.
pub(super) struct CapacityDuty {
    gateway: Arc<Gateway>,
    port: Arc<dyn DutyPort>,
    kept: Arc<KeptDuties>,
    demands: BTreeMap<ServiceName, FollowedDemand>,
}

impl CapacityDuty {
    /// A duty that has seen no demand yet.
    pub(super) fn new(gateway: Arc<Gateway>, port: Arc<dyn DutyPort>, kept: Arc<KeptDuties>) -> Self {
        Self { gateway, port, kept, demands: BTreeMap::new() }
    }

    /// Follows the demand for each service that is scaled: up at once, down slowly.
    pub(super) fn follow_demand(&mut self) {
        let policy = self.gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.scaling.is_some()) {
            self.demands.entry(service.name.clone()).or_default().follow(&self.gateway, &service.name);
        }
    }

    /// Gives the orders that are due.
    pub(super) async fn order_due(&self, tenure: &mut OrderTenure, holding: &Holding) {
        let now = Instant::now();
        if tenure.next_look.is_some_and(|at| now < at) {
            return;
        }
        tenure.next_look = Some(now + SCALING_PERIOD);
        self.tell_unknown(tenure);
        let policy = self.gateway.policy.load_full();
        let is_settled = |service: &&Shared<Service>| {
            let is_settled = self.demands.get(&service.name).is_some_and(FollowedDemand::is_settled);
            is_settled || self.needs_of_predecessor(&service.name).is_some()
        };
        // While a service moves to another version its numbers stay: those of both versions would count as one.
        let rollouts = &self.gateway.forwarder.rollouts;
        let is_moving = |service: &Shared<Service>| rollouts.is_running(&service.name);
        let services = policy.policy().services.iter().filter(is_settled);
        for service in services.filter(|service| !is_moving(service)) {
            let needed = self.needed(policy.policy(), service);
            for order in self.orders_for(service, needed, &mut tenure.book) {
                self.give(order, needed, tenure, holding).await;
            }
        }
        self.kept.note_orders(tenure.book.to_saved());
    }

    /// Says once a tenure of each service that its back ends are kept because its needs are not known.
    fn tell_unknown(&self, tenure: &mut OrderTenure) {
        for (service, demand) in self.demands.iter().filter(|(_, demand)| demand.is_unknown()) {
            if tenure.told_unknown.insert(service.clone()) {
                emit(&CapacityNotKnown { service: service.to_string(), kept: demand.floor().to_string() });
            }
        }
    }

    /// Gives one order, unless it was refused a moment ago, and notes what came of it.
    async fn give(&self, order: CapacityOrder, needed: Needed, tenure: &mut OrderTenure, holding: &Holding) {
        if !tenure.book.may_attempt(&OrderKey::of(&order), Instant::now()) {
            return;
        }
        let Some(holder) = holding.holder() else { return };
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
            Ok(()) => tenure.book.record_placed(&order, now),
            Err(error) => {
                let is_news = tenure.book.record_failure(&order, error == DutyError::Exhausted, now);
                if is_news {
                    // What can't be had is news: lasting ones stand in for it from the next look on.
                    tenure.next_look = None;
                }
            }
        }
    }

    fn supply(&self, service: &Service, zone: &ZoneName, book: &OrderTracker) -> ZoneSupply {
        let directory = self.gateway.forwarder.directory.load();
        let usable = |reclaimable: bool| {
            let in_zone = directory.usable(&service.name).filter(|backend| &backend.zone == zone);
            in_zone.filter(|backend| backend.reclaimable == reclaimable).count() as u32
        };
        let key = |reclaimable| OrderKey::new(&service.name, zone, reclaimable);
        let on_demand_usable = usable(false);
        ZoneSupply {
            zone: zone.clone(),
            on_demand_usable,
            reclaimable_usable: usable(true),
            // Where nothing is kept of what a predecessor ordered, it is known what came of it.
            on_demand_ordered: book.last_ordered(&key(false)).unwrap_or(on_demand_usable),
            is_exhausted: book.is_exhausted(&key(true)),
        }
    }

    /// Back ends that a service's work needs: while that is not known, what the last holder found; without that the floor decides.
    fn needed(&self, policy: &TrafficPolicy, service: &Service) -> Needed {
        if let Some(needed) = self.needs_of_predecessor(&service.name) {
            return needed;
        }
        let Some(demand) = self.demands.get(&service.name) else { return Needed::default() };
        let needed = demand.needed(&self.gateway, policy, service).unwrap_or_default();
        if !demand.is_unknown() {
            self.kept.note_needs(&service.name, needed);
        }
        needed
    }

    /// What the last holder found that a service needs, until this node knows it.
    fn needs_of_predecessor(&self, service: &ServiceName) -> Option<Needed> {
        let is_unknown = self.demands.get(service).is_none_or(FollowedDemand::is_unknown);
        self.kept.taken_needs(service).filter(|_| is_unknown)
    }

    /// Back ends that are kept because nothing is known of the needs.
    fn floor(&self, service: &ServiceName) -> u32 {
        match self.needs_of_predecessor(service) {
            Some(_) => 0,
            None => self.demands.get(service).map_or(0, FollowedDemand::floor),
        }
    }

    fn orders_for(&self, service: &Service, needed: Needed, book: &mut OrderTracker) -> Vec<CapacityOrder> {
        let Some(limits) = &service.scaling else { return Vec::new() };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, book)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            needed,
            floor: self.floor(&service.name),
        };
        scaling::note_usable(book.placed_mut(), inputs.service, &zones);
        scaling::orders_due(&scaling::plan(&inputs), book.placed(), &inputs, Instant::now())
    }
}
