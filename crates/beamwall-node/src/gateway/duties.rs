//! Duties that one node does for all, under a lease: usage reports and the number of back ends.
//!
//! The counts of a window are fixed in the store before they are reported, so that a successor
//! repeats the same numbers. The store's conditional write decides whose counts are fixed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::{CapacityOrdered, LeaseLost, LeaseTaken, UsageReported};
use beamwall_gateway::ports::{CapacityOrder, DutyHolder};
use beamwall_gateway::scaling::{self, GivenOrder, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::usage::WindowCounts;
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_model::{NodeId, ServiceName, ZoneName};
use beamwall_policy::Service;
use beamwall_store::object::ABSENT;
use beamwall_store::{Lease, LeaseState, Object, Settled, Version, VersionedObjects, put_settled};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::chooser::ZoneChooser;
use crate::gateway::exchange::Exchange;

/// Time between two looks at what is due.
const PERIOD: Duration = Duration::from_millis(250);
/// Time between two looks at the number of back ends.
const SCALING_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after a window's end until all nodes have told their counts.
const USAGE_SETTLES: Duration = Duration::from_millis(1_700);
/// Time after a window's end for which counts of silent nodes are waited for.
const USAGE_WAITS: Duration = Duration::from_millis(6_500);
/// Time after a window's end after which it is not reported any more.
const USAGE_FORGOTTEN: Duration = Duration::from_secs(30);
/// Windows whose fixed counts stay in the store.
const FIXED_WINDOWS: usize = 8;
/// Longest time for one write.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Pause after an order that could not be carried out.
const ORDER_PAUSE: Duration = Duration::from_secs(3);
/// Time between renewals and between looks at somebody else's lease.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Nodes of a zone that contend for the lease.
const CONTENDERS_PER_ZONE: usize = 2;
/// The lease on all duties.
const LEASE_NAME: &str = "gateway-duties";
/// The object that holds fixed counts.
const USAGE_KEY: &str = "reports/usage";
/// Time after the first request for which the number of back ends found at the start is kept.
const DEMAND_UNKNOWN_FOR: Duration = Duration::from_secs(5);
/// Time without a new back end after which all seem to be listed.
const LIST_SETTLES: Duration = Duration::from_secs(3);
/// Weight of the newest sample when the offered load falls; when it rises it is taken at once.
const LOAD_FALL_WEIGHT: f64 = 0.02;

/// Counts that were fixed, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct FixedUsage {
    windows: Vec<WindowCounts>,
}

impl FixedUsage {
    fn get(&self, window: u64) -> Option<&WindowCounts> {
        self.windows.iter().find(|fixed| fixed.window == window)
    }

    fn newest(&self) -> Option<u64> {
        self.windows.last().map(|fixed| fixed.window)
    }
}

/// What the holder of the lease knows.
#[derive(Debug, Default)]
struct Tenure {
    epoch: u64,
    usage: Option<(Version, FixedUsage)>,
    reported_through: Option<u64>,
    given: BTreeMap<OrderKey, GivenOrder>,
    /// When an order was last refused.
    refused: BTreeMap<OrderKey, Instant>,
    next_scaling: Option<Instant>,
}

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

/// The duties of one node.
pub struct Duties {
    node: NodeId,
    reports_usage: bool,
    orders_capacity: bool,
    window_length: Duration,
    gateway: Arc<Gateway>,
    objects: Arc<dyn VersionedObjects>,
    port: Arc<dyn DutyPort>,
    exchange: Arc<Exchange>,
    chooser: ZoneChooser,
    first_window: u64,
    demands: BTreeMap<ServiceName, FollowedDemand>,
}

impl Duties {
    /// Duties that begin with the window of now.
    pub fn new(
        settings: &GatewaySettings,
        gateway: Arc<Gateway>,
        objects: Arc<dyn VersionedObjects>,
        port: Arc<dyn DutyPort>,
        exchange: Arc<Exchange>,
        chooser: ZoneChooser,
    ) -> Self {
        let (first_window, _) = gateway.forwarder.usage.window_at(SystemTime::now());
        Self {
            node: settings.node.clone(),
            reports_usage: settings.report_usage,
            orders_capacity: settings.order_capacity,
            window_length: settings.usage_window,
            gateway,
            objects,
            port,
            exchange,
            chooser,
            first_window,
            demands: BTreeMap::new(),
        }
    }

    /// Contends for the lease and does what is due while holding it, until the task is ended.
    pub async fn run(mut self) {
        let (lease, state) = Lease::over(LEASE_NAME, self.node.clone(), self.objects.clone());
        let _contending = AbortOnDrop(tokio::spawn(contend(lease, state.clone(), self.chooser.clone())));
        let mut tenure: Option<Tenure> = None;
        loop {
            tokio::time::sleep(PERIOD).await;
            self.follow_demand();
            let epoch = state.borrow().held_epoch();
            log_change(tenure.as_ref().map(|tenure| tenure.epoch), epoch);
            let Some(epoch) = epoch else {
                tenure = None;
                continue;
            };
            let current = match tenure.take() {
                Some(tenure) if tenure.epoch == epoch => tenure,
                _ => Tenure { epoch, ..Tenure::default() },
            };
            tenure = Some(self.do_due(current, &state).await);
        }
    }

    async fn do_due(&mut self, mut tenure: Tenure, lease: &watch::Receiver<LeaseState>) -> Tenure {
        if self.reports_usage {
            self.report_due(&mut tenure, lease).await;
        }
        let now = Instant::now();
        if self.orders_capacity && tenure.next_scaling.is_none_or(|at| now >= at) {
            tenure.next_scaling = Some(now + SCALING_PERIOD);
            self.order_due(&mut tenure, lease).await;
        }
        tenure
    }

    /// The holder as told in calls, while the lease is held.
    fn holder(&self, tenure: &Tenure, lease: &watch::Receiver<LeaseState>) -> Option<DutyHolder> {
        let held = lease.borrow().held_epoch();
        (held == Some(tenure.epoch)).then(|| DutyHolder { node: self.node.to_string(), epoch: tenure.epoch })
    }

    async fn report_due(&self, tenure: &mut Tenure, lease: &watch::Receiver<LeaseState>) {
        if tenure.usage.is_none() {
            tenure.usage = self.read_fixed().await;
        }
        let Some((_, fixed)) = &tenure.usage else { return };
        let Some(due) = self.due_window(tenure.reported_through, fixed) else { return };
        let Some(counts) = self.fix(tenure, due).await else { return };
        let Some(holder) = self.holder(tenure, lease) else { return };
        let result = self.port.report_usage(&holder, &counts).await;
        emit(&UsageReported {
            window: due.to_string(),
            requests: counts.counts.values().sum::<u64>().to_string(),
            epoch: tenure.epoch.to_string(),
            result: describe(&result),
        });
        if !matches!(result, Err(DutyError::Unanswered(_))) {
            tenure.reported_through = Some(due);
        }
    }

    /// The oldest window that is due and not reported in this tenure. A new holder repeats the last
    /// window that was fixed: its predecessor may not have reported it.
    fn due_window(&self, reported_through: Option<u64>, fixed: &FixedUsage) -> Option<u64> {
        let now = SystemTime::now();
        let (current, passed) = self.gateway.forwarder.usage.window_at(now);
        let first = reported_through.map(|window| window + 1).or(fixed.newest()).unwrap_or(self.first_window);
        let forgotten = USAGE_FORGOTTEN.as_millis() / self.window_length.as_millis().max(1);
        let oldest = current.saturating_sub(forgotten as u64);
        let window = first.max(oldest);
        let windows_since = u32::try_from(current.checked_sub(window + 1)?).unwrap_or(u32::MAX);
        let ended_for = passed + self.window_length * windows_since;
        let settled = ended_for >= USAGE_WAITS || (ended_for >= USAGE_SETTLES && self.exchange.hears_all());
        (settled || fixed.get(window).is_some()).then_some(window)
    }

    async fn read_fixed(&self) -> Option<(Version, FixedUsage)> {
        match self.objects.get(USAGE_KEY).await {
            Ok(None) => Some((ABSENT, FixedUsage::default())),
            Ok(Some(object)) => Some((object.version, parse_fixed(&object))),
            Err(_) => None,
        }
    }

    /// The counts of a window as fixed in the store; fixes this node's if none are.
    async fn fix(&self, tenure: &mut Tenure, window: u64) -> Option<WindowCounts> {
        let (version, fixed) = tenure.usage.clone()?;
        if let Some(counts) = fixed.get(window) {
            return Some(counts.clone());
        }
        let counts = self.gateway.forwarder.usage.total(window);
        let mut next = fixed;
        next.windows.push(counts.clone());
        let surplus = next.windows.len().saturating_sub(FIXED_WINDOWS);
        next.windows.drain(..surplus);
        let value = serde_json::to_vec(&next).ok()?;
        let mine = |object: &Object| parse_fixed(object).get(window) == Some(&counts);
        let deadline = Instant::now() + WRITE_LIMIT;
        let bytes = Bytes::from(value);
        let written = put_settled(self.objects.as_ref(), USAGE_KEY, version, bytes, deadline, mine).await;
        match written {
            Ok(Settled::Written(version)) => {
                tenure.usage = Some((version, next));
                Some(counts)
            }
            // Another holder wrote, or it is not known: read before the next try.
            Ok(Settled::Lost) | Err(_) => {
                tenure.usage = None;
                None
            }
        }
    }

    /// Follows the demand for each service that is scaled: up at once, down slowly.
    fn follow_demand(&mut self) {
        let policy = self.gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.scaling.is_some()) {
            let known = self.demands.entry(service.name.clone()).or_default();
            known.follow(&self.gateway, &service.name);
        }
    }

    async fn order_due(&self, tenure: &mut Tenure, lease: &watch::Receiver<LeaseState>) {
        let policy = self.gateway.policy.load_full();
        let is_settled =
            |service: &&Service| self.demands.get(&service.name).is_some_and(FollowedDemand::is_settled);
        for service in policy.policy().services.iter().filter(is_settled) {
            for order in self.orders_for(service, tenure) {
                let key = OrderKey::of(&order);
                if tenure.refused.get(&key).is_some_and(|at| at.elapsed() < ORDER_PAUSE) {
                    continue;
                }
                let Some(holder) = self.holder(tenure, lease) else { return };
                let result = self.port.order_capacity(&holder, &order).await;
                emit(&CapacityOrdered {
                    service: order.service.to_string(),
                    zone: order.zone.to_string(),
                    reclaimable: order.reclaimable.to_string(),
                    wanted: order.wanted.to_string(),
                    offered_load: format!("{:.2}", self.offered_to(service)),
                    epoch: tenure.epoch.to_string(),
                    result: describe(&result),
                });
                match result {
                    Ok(()) => {
                        tenure.refused.remove(&key);
                        let given = GivenOrder { wanted: order.wanted, at: Instant::now() };
                        tenure.given.insert(key, given);
                    }
                    Err(_) => {
                        tenure.refused.insert(key, Instant::now());
                    }
                }
            }
        }
    }

    fn supply(&self, service: &Service, zone: &ZoneName, tenure: &Tenure) -> ZoneSupply {
        let directory = self.gateway.forwarder.directory.load();
        let usable = |reclaimable: bool| {
            let in_zone = directory.usable(&service.name).filter(|backend| &backend.zone == zone);
            in_zone.filter(|backend| backend.reclaimable == reclaimable).count() as u32
        };
        let key = |reclaimable| OrderKey::new(&service.name, zone, reclaimable);
        ZoneSupply {
            zone: zone.clone(),
            lasting_usable: usable(false),
            reclaimable_usable: usable(true),
            lasting_ordered: tenure.given.get(&key(false)).map_or(0, |given| given.wanted),
            is_exhausted: tenure.refused.contains_key(&key(true)),
        }
    }

    fn offered_to(&self, service: &Service) -> f64 {
        self.demands.get(&service.name).map_or(0.0, |demand| demand.busy)
    }

    fn orders_for(&self, service: &Service, tenure: &Tenure) -> Vec<CapacityOrder> {
        let Some(limits) = &service.scaling else { return Vec::new() };
        let zones: Vec<ZoneSupply> =
            limits.zone_prices.keys().map(|zone| self.supply(service, zone, tenure)).collect();
        let inputs = ScalingInputs {
            service: &service.name,
            limits,
            zones: &zones,
            offered_load: self.offered_to(service),
            floor: self.demands.get(&service.name).map_or(0, FollowedDemand::floor),
        };
        scaling::due(&scaling::plan(&inputs), &tenure.given, &inputs, Instant::now())
    }
}

/// Renews the lease while this node holds it, and contends for it while it is chosen to.
async fn contend(mut lease: Lease, state: watch::Receiver<LeaseState>, chooser: ZoneChooser) {
    loop {
        let holds = state.borrow().held_epoch().is_some();
        if holds || chooser.is_chosen(LEASE_NAME, CONTENDERS_PER_ZONE) {
            let _ = lease.step().await;
        }
        tokio::time::sleep(RENEW_PERIOD).await;
    }
}

/// Ends a task when its owner is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn parse_fixed(object: &Object) -> FixedUsage {
    serde_json::from_slice(&object.value).unwrap_or_default()
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
