//! How much work callers ask for, in busy back ends: what the number of back ends is planned from.
//!
//! Work is estimated when a request arrives, whether or not it is served in time, so the demand stays
//! true while engines are overloaded. Nodes tell each other their own.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::ServiceName;

use crate::reporter::Reporter;

/// Prompt tokens that an engine reads in a millisecond.
const PROMPT_TOKENS_PER_MS: f64 = 32.0;
/// Engine time of one event of a stream among a usual number of others, in milliseconds.
const EVENT_MS: f64 = 1.2;
/// Events assumed of a route whose streams have not ended yet.
const USUAL_EVENTS: f64 = 20.0;
/// Weight of the newest stream in a route's usual number of events.
const EVENTS_WEIGHT: f64 = 0.1;
/// Time over which demand is averaged.
const AVERAGED_OVER: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Meter {
    pending_ms: f64,
    busy: f64,
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<ServiceName, Meter>,
    peers: HashMap<Reporter, HashMap<ServiceName, f64>>,
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
    pub fn note_request(&self, service: &ServiceName, route: &str, unread_tokens: u64) {
        let mut state = self.lock();
        let events = state.events_by_route.get(route).copied().unwrap_or(USUAL_EVENTS);
        let work_ms = unread_tokens as f64 / PROMPT_TOKENS_PER_MS + events * EVENT_MS;
        state.own.entry(service.clone()).or_default().pending_ms += work_ms;
    }

    /// Notes how many events a stream of a route had.
    pub fn note_events(&self, route: &str, events: u64) {
        let mut state = self.lock();
        let usual = state.events_by_route.entry(route.to_owned()).or_insert(events as f64);
        *usual = *usual * (1.0 - EVENTS_WEIGHT) + events as f64 * EVENTS_WEIGHT;
    }

    /// Ends a period of `length` and gives this node's demand by service, in busy back ends.
    pub fn close_period(&self, length: Duration) -> HashMap<ServiceName, f64> {
        let mut state = self.lock();
        let length_ms = length.as_secs_f64().max(1e-3) * 1_000.0;
        let weight = 1.0 - (-length.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        let close = |(service, meter): (&ServiceName, &mut Meter)| {
            let newest = std::mem::take(&mut meter.pending_ms) / length_ms;
            meter.busy += (newest - meter.busy) * weight;
            (service.clone(), meter.busy)
        };
        state.own.iter_mut().map(close).collect()
    }

    /// Replaces what a peer told before.
    pub fn set_peer(&self, peer: &Reporter, demand: HashMap<ServiceName, f64>) {
        self.lock().peers.insert(peer.clone(), demand);
    }

    /// Forgets a peer that is not alive: its callers go elsewhere.
    pub fn forget_peer(&self, peer: &Reporter) {
        self.lock().peers.remove(peer);
    }

    /// Demand at this node and all nodes that told their own, by service: told to other zones.
    pub fn sum_of_nodes(&self) -> HashMap<ServiceName, f64> {
        let state = self.lock();
        let mut sum: HashMap<ServiceName, f64> =
            state.own.iter().map(|(service, meter)| (service.clone(), meter.busy)).collect();
        let of_nodes = state.peers.iter().filter(|(peer, _)| matches!(peer, Reporter::Node(_)));
        for (service, busy) in of_nodes.flat_map(|(_, demand)| demand) {
            *sum.entry(service.clone()).or_default() += busy;
        }
        sum
    }

    /// Demand for a service at all nodes, in busy back ends; `None` before any request.
    pub fn total(&self, service: &ServiceName) -> Option<f64> {
        let state = self.lock();
        let own = state.own.get(service).map(|meter| meter.busy);
        let told = state.peers.values().filter_map(|demand| demand.get(service).copied());
        own.into_iter().chain(told).reduce(|sum, busy| sum + busy)
    }
}
