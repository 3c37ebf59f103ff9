//! The number of back ends: the demand is followed, and what the plan wants is ordered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use beamwall_engine_model::Workload;
use beamwall_events::emit;
use beamwall_events::internal_events::{CapacityNotKnown, CapacityOrdered};
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, GivenOrder, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::sizing::{self, Needed, Objectives};
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::{Route, Service, Shared, TrafficPolicy, USUAL_OBJECTIVE_MS};
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
    /// Work in a second: up at once, down slowly.
    work: Workload,
    /// Back ends that it needs; `None` while too little is known of them.
    needed: Option<Needed>,
    /// Most back ends seen before the demand was known.
    found: usize,
    /// When there were last more than before: at the start they are listed one after another.
    found_at: Option<Instant>,
    first_request: Option<Instant>,
}

impl FollowedDemand {
    fn follow(&mut self, gateway: &Gateway, policy: &TrafficPolicy, service: &Service) {
        let asked = gateway.forwarder.demand.total(&service.name);
        if asked.is_some_and(|work| work.requests > 0.0) {
            self.first_request.get_or_insert_with(Instant::now);
        }
        let newest = asked.unwrap_or_default();
        self.work = newest.max(self.work.mixed_with(newest, LOAD_FALL_WEIGHT));
        let estimates = gateway.forwarder.estimates(&service.name);
        let slots = slots(gateway, service);
        self.needed = sizing::needed(self.work, &estimates, slots, objectives(policy, service));
        if self.is_unknown() {
            let usable = gateway.forwarder.directory.load().usable(&service.name).count();
            if usable > self.found {
                self.found = usable;
                self.found_at = Some(Instant::now());
            }
        }
    }

    /// Whether a plan can be made: the needs are known, or all back ends seem to be listed.
    fn is_settled(&self) -> bool {
        let listed = self.found_at.is_some_and(|at| at.elapsed() >= LIST_SETTLES);
        listed || !self.is_unknown()
    }

    fn is_unknown(&self) -> bool {
        self.needed.is_none() || self.first_request.is_none_or(|at| at.elapsed() < DEMAND_UNKNOWN_FOR)
    }

    /// Back ends that are kept while the needs are not known.
    fn floor(&self) -> u32 {
        if self.is_unknown() { self.found as u32 } else { 0 }
    }
}

/// Requests that one back end of a service works on at once.
fn slots(gateway: &Gateway, service: &Service) -> u32 {
    let directory = gateway.forwarder.directory.load();
    let listed = || directory.usable(&service.name).map(|backend| backend.slots).min();
    service.engine.map(|engine| engine.slots).or_else(listed).unwrap_or(1).max(1)
}

/// What callers want of a service: the tightest of the objectives of the streams that routes send there.
fn objectives(policy: &TrafficPolicy, service: &Service) -> Objectives {
    let leads_here = |route: &&Shared<Route>| {
        route.kind.is_stream() && route.targets.iter().any(|target| target.service == service.name)
    };
    let routes = || policy.routes.iter().filter(leads_here);
    let first_event_ms = routes().map(|route| route.objective_ms).min().unwrap_or(USUAL_OBJECTIVE_MS);
    let pause_ms = routes().filter_map(|route| route.gap_objective_ms).min();
    Objectives { first_event_ms: first_event_ms as f64, pause_ms: pause_ms.map(|pause| pause as f64) }
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
    /// Services of which it was said that their needs are not known.
    told_unknown: BTreeSet<ServiceName>,
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
            known.follow(&self.gateway, policy.policy(), service);
        }
    }

    /// Gives the orders that are due.
    pub(super) async fn order_due(&self, book: &mut OrderBook, holding: &Holding) {
        let now = Instant::now();
        if book.next_look.is_some_and(|at| now < at) {
            return;
        }
        book.next_look = Some(now + SCALING_PERIOD);
        self.tell_unknown(book);
        let policy = self.gateway.policy.load_full();
        let is_settled = |service: &&Shared<Service>| {
            self.demands.get(&service.name).is_some_and(FollowedDemand::is_settled)
        };
        for service in policy.policy().services.iter().filter(is_settled) {
            for order in self.orders_for(service, book) {
                self.give(order, self.needed_of(service), book, holding).await;
            }
        }
    }

    /// Says once a tenure of each service that its back ends are kept because its needs are not known.
    fn tell_unknown(&self, book: &mut OrderBook) {
        for (service, demand) in self.demands.iter().filter(|(_, demand)| demand.is_unknown()) {
            if book.told_unknown.insert(service.clone()) {
                emit(&CapacityNotKnown { service: service.to_string(), kept: demand.floor().to_string() });
            }
        }
    }

    /// Gives one order, unless it was refused a moment ago, and notes what came of it.
    async fn give(&self, order: CapacityOrder, needed: Needed, book: &mut OrderBook, holding: &Holding) {
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
            needed: needed.usual.to_string(),
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

    fn needed_of(&self, service: &Service) -> Needed {
        self.demands.get(&service.name).and_then(|demand| demand.needed).unwrap_or_default()
    }

    fn orders_for(&self, service: &Service, book: &OrderBook) -> Vec<CapacityOrder> {
        let Some(limits) = &service.scaling else { return Vec::new() };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, book)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            needed: self.needed_of(service),
            floor: self.demands.get(&service.name).map_or(0, FollowedDemand::floor),
        };
        scaling::due(&scaling::plan(&inputs), &book.given, &inputs, Instant::now())
    }
}
