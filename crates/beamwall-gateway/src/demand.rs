//! Demand: how much work callers request, from which the number of back ends is planned.
//!
//! Work is recorded when a request arrives, whether or not it is served in time, so the demand stays correct
//! while engines are overloaded. It is counted in tokens and events rather than in time, so that it stays
//! valid when the estimates of the engines' speed change. Each node reports its own demand to its peers.
//!
//! A caller that was refused and returns asks for the same work again. The node that refused it deducts that
//! work when the caller is due back, at whichever node it arrives: the sum over all nodes stays right without
//! a message between them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_engine_model::{PrefillWork, Workload};
use beamwall_model::ServiceName;

use crate::expected_returns::ExpectedReturns;
use crate::reporter::Reporter;

/// Number of events assumed for a route before any of its streams has ended.
const DEFAULT_EVENTS_PER_STREAM: f64 = 20.0;
/// Weight of the newest stream in the moving average of a route's events per stream.
const EVENTS_EWMA_WEIGHT: f64 = 0.1;
/// Time constant of the moving average of demand.
pub const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Largest share of the arrivals that is deducted as returns: some refused callers don't return.
const MAX_RETURN_SHARE: f64 = 0.75;

#[derive(Debug, Default)]
struct Meter {
    /// Work that arrived in the current period.
    pending: Workload,
    /// Moving average per second.
    mean: Workload,
    /// Work of refused callers that are due back.
    expected: ExpectedReturns,
    /// Moving average of that work per second.
    returning: Workload,
}

impl Meter {
    /// Work per second that is asked for the first time.
    fn demand(&self) -> Workload {
        Workload {
            requests: without_returns(self.mean.requests, self.returning.requests),
            tokens: without_returns(self.mean.tokens, self.returning.tokens),
            pairs: without_returns(self.mean.pairs, self.returning.pairs),
            events: without_returns(self.mean.events, self.returning.events),
        }
    }
}

fn without_returns(arriving: f64, returning: f64) -> f64 {
    arriving - returning.min(arriving * MAX_RETURN_SHARE)
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<ServiceName, Meter>,
    peers: HashMap<Reporter, HashMap<ServiceName, Workload>>,
    events_by_route: HashMap<String, f64>,
}

impl State {
    /// The work of one request.
    fn work_of(&self, route: &str, prefill: PrefillWork) -> Workload {
        let events = self.usual_events(route);
        Workload { requests: 1.0, tokens: prefill.tokens as f64, pairs: prefill.pairs as f64, events }
    }

    fn usual_events(&self, route: &str) -> f64 {
        self.events_by_route.get(route).copied().unwrap_or(DEFAULT_EVENTS_PER_STREAM)
    }
}

/// Demand at this node and as reported by its peers.
#[derive(Debug, Default)]
pub struct DemandTracker {
    state: Mutex<State>,
    /// Whether the work of callers that return after a refusal is deducted.
    deducts_returns: bool,
}

impl DemandTracker {
    /// Creates a tracker that deducts the work of callers that return after a refusal, if `deducts_returns`.
    pub fn new(deducts_returns: bool) -> Self {
        Self { deducts_returns, ..Self::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that arrived on a route.
    pub fn note_request(&self, service: &ServiceName, route: &str, prefill: PrefillWork) {
        let mut state = self.lock();
        let work = state.work_of(route, prefill);
        state.own.entry(service.clone()).or_default().pending += work;
    }

    /// Records that a request noted before was refused and that its caller may return after `retry_after`.
    pub fn note_refusal(
        &self,
        service: &ServiceName,
        route: &str,
        prefill: PrefillWork,
        retry_after: Duration,
    ) {
        if !self.deducts_returns {
            return;
        }
        let mut state = self.lock();
        let work = state.work_of(route, prefill);
        state.own.entry(service.clone()).or_default().expected.add(work, retry_after);
    }

    /// Records the number of events of a finished stream.
    pub fn note_events(&self, route: &str, events: u64) {
        let mut state = self.lock();
        let average = state.events_by_route.entry(route.to_owned()).or_insert(events as f64);
        *average = *average * (1.0 - EVENTS_EWMA_WEIGHT) + events as f64 * EVENTS_EWMA_WEIGHT;
    }

    /// Events of a usual stream of a route.
    pub fn usual_events(&self, route: &str) -> f64 {
        self.lock().usual_events(route)
    }

    /// Closes a period of `length` and returns this node's demand by service.
    pub fn close_period(&self, length: Duration) -> HashMap<ServiceName, Workload> {
        let mut state = self.lock();
        let seconds = length.as_secs_f64().max(1e-3);
        let weight = 1.0 - (-length.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let close = |(service, meter): (&ServiceName, &mut Meter)| {
            let newest = std::mem::take(&mut meter.pending) / seconds;
            meter.mean = meter.mean.weighted_mean(newest, weight);
            let returning = meter.expected.take_due(length) / seconds;
            meter.returning = meter.returning.weighted_mean(returning, weight);
            (service.clone(), meter.demand())
        };
        state.own.iter_mut().map(close).collect()
    }

    /// Replaces the demand that a peer reported before.
    pub fn set_peer(&self, peer: &Reporter, demand: HashMap<ServiceName, Workload>) {
        self.lock().peers.insert(peer.clone(), demand);
    }

    /// Removes a peer that is not alive; its callers connect to other nodes.
    pub fn remove_peer(&self, peer: &Reporter) {
        self.lock().peers.remove(peer);
    }

    /// Demand by service at this node and all nodes that report their own; it is sent to other zones.
    pub fn sum_of_nodes(&self) -> HashMap<ServiceName, Workload> {
        let state = self.lock();
        let mut sum: HashMap<ServiceName, Workload> =
            state.own.iter().map(|(service, meter)| (service.clone(), meter.demand())).collect();
        let node_demand = state.peers.iter().filter(|(peer, _)| matches!(peer, Reporter::Node(_)));
        for (service, work) in node_demand.flat_map(|(_, demand)| demand) {
            *sum.entry(service.clone()).or_default() += *work;
        }
        sum
    }

    /// Demand for a service at all nodes; `None` before the first request.
    pub fn total(&self, service: &ServiceName) -> Option<Workload> {
        let state = self.lock();
        let own = state.own.get(service).map(Meter::demand);
        let reported = state.peers.values().filter_map(|demand| demand.get(service).copied());
        own.into_iter().chain(reported).reduce(|sum, work| sum + work)
    }
}
