//! Demand for one service, as tracked for capacity planning, and the number of back ends that it needs.

use std::time::Duration;

use beamwall_duties::{DemandForecast, ahead};
use beamwall_engine_model::Workload;
use beamwall_gateway::Gateway;
use beamwall_gateway::sizing::{self, Needed, Objectives};
use beamwall_model::ServiceName;
use beamwall_policy::{DEFAULT_OBJECTIVE_MS, Route, Service, Shared, TrafficPolicy};
use tokio::time::Instant;

/// Time after the first request during which the number of back ends found at the start is kept.
const DEMAND_WARM_UP: Duration = Duration::from_secs(5);
/// Time without a new back end after which the list counts as complete: at the start back ends appear one
/// after another, each within the period at which back ends write their entries.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Weight of the newest sample when the demand falls; increases are applied at once.
const DECAY_WEIGHT: f64 = 0.02;

/// The tracked demand for one service.
#[derive(Debug, Default)]
pub(super) struct DemandTracker {
    /// Work per second: increases apply at once, decreases gradually.
    work: Workload,
    /// Work expected when back ends ordered now serve, if it rises; otherwise zero.
    expected: Workload,
    forecast: DemandForecast,
    /// Whether enough is known of the back ends to compute how many the work needs.
    is_known: bool,
    /// Largest number of back ends seen before the demand was known.
    peak_backends: usize,
    /// When that number last grew: at the start back ends are listed one after another.
    peak_at: Option<Instant>,
    first_request: Option<Instant>,
}

impl DemandTracker {
    /// Applies the current demand: increases at once, decreases gradually. With `horizon`, the demand is also
    /// forecast by its trend for that time from now.
    pub(super) fn update_from(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        horizon: Option<Duration>,
    ) {
        let requested = gateway.forwarder.demand.total(service);
        if requested.is_some_and(|work| work.requests > 0.0) {
            self.first_request.get_or_insert_with(Instant::now);
        }
        let newest = requested.unwrap_or_default();
        self.work = newest.max(self.work.weighted_mean(newest, DECAY_WEIGHT));
        self.is_known = gateway.forwarder.estimates(service).is_known();
        if let (Some(horizon), Some(first), false) = (horizon, self.first_request, self.is_demand_unknown()) {
            let expected = self.forecast.update(newest, first.elapsed(), horizon, Instant::now());
            self.expected = expected.unwrap_or_default();
        }
        let directory = gateway.forwarder.directory.load();
        if self.is_demand_unknown() && directory.is_fully_loaded() {
            let usable = directory.usable(service).count();
            if usable > self.peak_backends {
                self.peak_backends = usable;
                self.peak_at = Some(Instant::now());
            }
        }
    }

    /// Back ends that the work needs; `None` while too little is known of them. Substitutes are planned for the
    /// work as it is: they cost several times as much as the reclaimable back ends that a forecast is for.
    pub(super) fn needed(
        &self,
        gateway: &Gateway,
        policy: &TrafficPolicy,
        service: &Service,
    ) -> Option<Needed> {
        let estimates = gateway.forwarder.estimates(&service.name);
        let (slots, objectives) = (slots(gateway, service), objectives(policy, service));
        let needed = |work| sizing::needed(work, &estimates, slots, objectives);
        Some(Needed { usual: needed(self.planned())?.usual, ..needed(self.work)? })
    }

    /// Work for which back ends are planned.
    pub(super) fn planned(&self) -> Workload {
        self.work.max(self.expected)
    }

    /// Needs to plan for where back ends are ordered ahead of need, from the `computed` ones.
    pub(super) fn needs_ahead(&self, computed: Option<Needed>) -> Needed {
        let known_since = self.first_request.map(|at| at.elapsed().saturating_sub(DEMAND_WARM_UP));
        let known = computed.zip(known_since).filter(|_| !self.is_demand_unknown());
        ahead::needs(known, self.peak_backends as u32)
    }

    /// Requests a second of each back end if `needed` ones share the work.
    pub(super) fn requests_per_back_end(&self, needed: Needed) -> f64 {
        self.planned().requests / f64::from(needed.usual.max(1))
    }

    /// Whether a plan can be made: the needs are known, or the list of back ends counts as complete.
    pub(super) fn is_settled(&self) -> bool {
        let listed = self.peak_at.is_some_and(|at| at.elapsed() >= LIST_SETTLE_TIME);
        listed || !self.is_demand_unknown()
    }

    /// Whether the back ends found at the start are kept.
    pub(super) fn is_demand_unknown(&self) -> bool {
        !self.is_known || self.first_request.is_none_or(|at| at.elapsed() < DEMAND_WARM_UP)
    }

    /// Back ends that are kept while the needs are unknown.
    pub(super) fn floor(&self) -> u32 {
        if self.is_demand_unknown() { self.peak_backends as u32 } else { 0 }
    }
}

/// Concurrent requests that one back end of a service processes.
fn slots(gateway: &Gateway, service: &Service) -> u32 {
    let directory = gateway.forwarder.directory.load();
    let listed = || directory.usable(&service.name).map(|backend| backend.slots).min();
    service.engine.map(|engine| engine.slots).or_else(listed).unwrap_or(1).max(1)
}

/// Latency objectives of a service: the tightest of the streaming routes that target it.
fn objectives(policy: &TrafficPolicy, service: &Service) -> Objectives {
    let is_stream_to_service = |route: &&Shared<Route>| {
        route.kind.is_stream() && route.targets.iter().any(|target| target.service == service.name)
    };
    let routes = || policy.routes.iter().filter(is_stream_to_service);
    let first_event_ms = routes().map(|route| route.objective_ms).min().unwrap_or(DEFAULT_OBJECTIVE_MS);
    let pause_ms = routes().filter_map(|route| route.gap_objective_ms).min();
    Objectives { first_event_ms: first_event_ms as f64, pause_ms: pause_ms.map(|pause| pause as f64) }
}
