//! The number of back ends: the demand is followed, and what the plan wants is ordered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::CapacityOrdered;
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, GivenOrder, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::{Service, Shared};
use tokio::time::Instant;

use crate::gateway::duties::{Holding, describe};

/// Time between two looks at the number of back ends.
const SCALING_PERIOD: Duration = Duration::from_millis(500);
/// Pause after an order that could not be carried out.
const ORDER_PAUSE: Duration = Duration::from_secs(3);
/// Time after the first request for which the number of back ends found at the start is kept.
const DEMAND_UNKNOWN_FOR: Duration = Duration::from_secs(5);
/// Time without a new back end after which all seem to be listed: at the start they are listed one after
/// another, each within the period at which back ends write their entries.
const LIST_SETTLES: Duration = Duration::from_millis(1_500);
/// Weight of the newest sample when the offered load falls; when it rises it is taken at once.
const LOAD_FALL_WEIGHT: f64 = 0.02;

/// The demand for one service as followed for planning.
#[derive(Debug, Default)]
struct FollowedDemand {
    /// Busy back ends: up at once, down slowly.
    busy: f64,
    /// Most back ends seen before the demand was known.
    found: usize,
    /// When there were last more than before: at the start they are listed one after another.
    found_at: Option<Instant>,
    first_request: Option<Instant>,
}

impl FollowedDemand {
    fn follow(&mut self, gateway: &Gateway, service: &ServiceName) {
        let asked = gateway.forwarder.demand.total(service);
        if asked.is_some_and(|busy| busy > 0.0) {
            self.first_request.get_or_insert_with(Instant::now);
        }
        let newest = asked.unwrap_or(0.0);
        self.busy = newest.max(self.busy * (1.0 - LOAD_FALL_WEIGHT) + newest * LOAD_FALL_WEIGHT);
        if self.is_unknown() {
            let usable = gateway.forwarder.directory.load().usable(service).count();
            if usable > self.found {
                self.found = usable;
                self.found_at = Some(Instant::now());
            }
        }
    }

    /// Whether a plan can be made: the demand is known, or all back ends seem to be listed.
    fn is_settled(&self) -> bool {
        let listed = self.found_at.is_some_and(|at| at.elapsed() >= LIST_SETTLES);
        listed || !self.is_unknown()
    }

    fn is_unknown(&self) -> bool {
        self.first_request.is_none_or(|at| at.elapsed() < DEMAND_UNKNOWN_FOR)
    }

    /// Back ends that are kept while the demand is not known.
    fn floor(&self) -> u32 {
        if self.is_unknown() { self.found as u32 } else { 0 }
    }
}

/// An order whose last try was not taken.
#[derive(Debug, Clone, Copy)]
struct RefusedOrder {
    at: Instant,
    /// Whether none could be had; otherwise no answer came.
    is_exhausted: bool,
}

/// The orders of one tenure.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    given: BTreeMap<OrderKey, GivenOrder>,
    refused: BTreeMap<OrderKey, RefusedOrder>,
    next_look: Option<Instant>,
}

/// The duty of ordering back ends.
pub(super) struct CapacityDuty {
    gateway: Arc<Gateway>,
    port: Arc<dyn DutyPort>,
    demands: BTreeMap<ServiceName, FollowedDemand>,
}

impl CapacityDuty {
    /// A duty that has seen no demand yet.
    pub(super) fn new(gateway: Arc<Gateway>, port: Arc<dyn DutyPort>) -> Self {
        Self { gateway, port, demands: BTreeMap::new() }
    }

    /// Follows the demand for each service that is scaled: up at once, down slowly.
    pub(super) fn follow_demand(&mut self) {
        let policy = self.gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.scaling.is_some()) {
            let known = self.demands.entry(service.name.clone()).or_default();
            known.follow(&self.gateway, &service.name);
        }
    }

    /// Gives the orders that are due.
    pub(super) async fn order_due(&self, book: &mut OrderBook, holding: &Holding) {
        let now = Instant::now();
        if book.next_look.is_some_and(|at| now < at) {
            return;
        }
        book.next_look = Some(now + SCALING_PERIOD);
        let policy = self.gateway.policy.load_full();
        let is_settled = |service: &&Shared<Service>| {
            self.demands.get(&service.name).is_some_and(FollowedDemand::is_settled)
        };
        for service in policy.policy().services.iter().filter(is_settled) {
            for order in self.orders_for(service, book) {
                self.give(order, self.offered_to(service), book, holding).await;
            }
        }
    }

    /// Gives one order, unless it was refused a moment ago, and notes what came of it.
    async fn give(&self, order: CapacityOrder, offered_load: f64, book: &mut OrderBook, holding: &Holding) {
        let key = OrderKey::of(&order);
        if book.refused.get(&key).is_some_and(|refused| refused.at.elapsed() < ORDER_PAUSE) {
            return;
        }
        let Some(holder) = holding.holder() else { return };
        let result = self.port.order_capacity(&holder, &order).await;
        emit(&CapacityOrdered {
            service: order.service.to_string(),
            zone: order.zone.to_string(),
            reclaimable: order.reclaimable.to_string(),
            wanted: order.wanted.to_string(),
            offered_load: format!("{offered_load:.2}"),
            epoch: holder.epoch.to_string(),
            result: describe(&result),
        });
        let at = Instant::now();
        match result {
            Ok(()) => {
                book.refused.remove(&key);
                book.given.insert(key, GivenOrder { wanted: order.wanted, at });
            }
            Err(error) => {
                let is_exhausted = error == DutyError::Exhausted;
                let before = book.refused.insert(key, RefusedOrder { at, is_exhausted });
                if is_exhausted && !before.is_some_and(|before| before.is_exhausted) {
                    // What can't be had is news: lasting ones stand in for it from the next look on.
                    book.next_look = None;
                }
            }
        }
    }

    fn supply(&self, service: &Service, zone: &ZoneName, book: &OrderBook) -> ZoneSupply {
        let directory = self.gateway.forwarder.directory.load();
        let usable = |reclaimable: bool| {
            let in_zone = directory.usable(&service.name).filter(|backend| &backend.zone == zone);
            in_zone.filter(|backend| backend.reclaimable == reclaimable).count() as u32
        };
        let key = |reclaimable| OrderKey::new(&service.name, zone, reclaimable);
        let lasting_usable = usable(false);
        ZoneSupply {
            zone: zone.clone(),
            lasting_usable,
            reclaimable_usable: usable(true),
            // A new holder does not know what its predecessor ordered, but what came of it.
            lasting_ordered: book.given.get(&key(false)).map_or(lasting_usable, |given| given.wanted),
            is_exhausted: book.refused.get(&key(true)).is_some_and(|refused| refused.is_exhausted),
        }
    }

    fn offered_to(&self, service: &Service) -> f64 {
        self.demands.get(&service.name).map_or(0.0, |demand| demand.busy)
    }

    fn orders_for(&self, service: &Service, book: &OrderBook) -> Vec<CapacityOrder> {
        let Some(limits) = &service.scaling else { return Vec::new() };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, book)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            offered_load: self.offered_to(service),
            floor: self.demands.get(&service.name).map_or(0, FollowedDemand::floor),
        };
        scaling::due(&scaling::plan(&inputs), &book.given, &inputs, Instant::now())
    }
}
