//! How much work callers ask for: what the number of back ends is planned from.
//!
//! Work is noted when a request arrives, whether or not it is served in time, so the demand stays true while
//! engines are overloaded. It is counted in tokens and events, so that what is known of the engines' speed may
//! change. Nodes tell each other their own.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_engine_model::{PrefillWork, Workload};
use beamwall_model::ServiceName;

use crate::reporter::Reporter;

/// Events assumed of a route whose streams have not ended yet.
const USUAL_EVENTS: f64 = 20.0;
/// Weight of the newest stream in a route's usual number of events.
const EVENTS_WEIGHT: f64 = 0.1;
/// Time over which demand is averaged.
const AVERAGED_OVER: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Meter {
    /// What arrived in the period that runs.
    pending: Workload,
    /// The mean of the last periods, a second.
    mean: Workload,
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<ServiceName, Meter>,
    peers: HashMap<Reporter, HashMap<ServiceName, Workload>>,
    events_by_route: HashMap<String, f64>,
}

/// Demand at this node and, as told, at its peers.
#[derive(Debug, Default)]
pub struct DemandBook {
    state: Mutex<State>,
}

impl DemandBook {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request that has arrived on a route.
    pub fn note_request(&self, service: &ServiceName, route: &str, reading: PrefillWork) {
        let mut state = self.lock();
        let events = state.events_by_route.get(route).copied().unwrap_or(USUAL_EVENTS);
        state.own.entry(service.clone()).or_default().pending +=
            Workload { requests: 1.0, tokens: reading.tokens as f64, pairs: reading.pairs as f64, events };
    }

    /// Notes how many events a stream of a route had.
    pub fn note_events(&self, route: &str, events: u64) {
        let mut state = self.lock();
        let usual = state.events_by_route.entry(route.to_owned()).or_insert(events as f64);
        *usual = *usual * (1.0 - EVENTS_WEIGHT) + events as f64 * EVENTS_WEIGHT;
    }

    /// Ends a period of `length` and gives this node's demand by service.
    pub fn close_period(&self, length: Duration) -> HashMap<ServiceName, Workload> {
        let mut state = self.lock();
        let seconds = length.as_secs_f64().max(1e-3);
        let weight = 1.0 - (-length.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        let close = |(service, meter): (&ServiceName, &mut Meter)| {
            let newest = std::mem::take(&mut meter.pending) / seconds;
            meter.mean = meter.mean.weighted_mean(newest, weight);
            (service.clone(), meter.mean)
        };
        state.own.iter_mut().map(close).collect()
    }

    /// Replaces what a peer told before.
    pub fn set_peer(&self, peer: &Reporter, demand: HashMap<ServiceName, Workload>) {
        self.lock().peers.insert(peer.clone(), demand);
    }

    /// Forgets a peer that is not alive: its callers go elsewhere.
    pub fn forget_peer(&self, peer: &Reporter) {
        self.lock().peers.remove(peer);
    }

    /// Demand at this node and all nodes that told their own, by service: told to other zones.
    pub fn sum_of_nodes(&self) -> HashMap<ServiceName, Workload> {
        let state = self.lock();
        let mut sum: HashMap<ServiceName, Workload> =
            state.own.iter().map(|(service, meter)| (service.clone(), meter.mean)).collect();
        let of_nodes = state.peers.iter().filter(|(peer, _)| matches!(peer, Reporter::Node(_)));
        for (service, work) in of_nodes.flat_map(|(_, demand)| demand) {
            *sum.entry(service.clone()).or_default() += *work;
        }
        sum
    }

    /// Demand for a service at all nodes; `None` before any request.
    pub fn total(&self, service: &ServiceName) -> Option<Workload> {
        let state = self.lock();
        let own = state.own.get(service).map(|meter| meter.mean);
        let told = state.peers.values().filter_map(|demand| demand.get(service).copied());
        own.into_iter().chain(told).reduce(|sum, work| sum + work)
    }
}
