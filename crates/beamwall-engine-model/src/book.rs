//! The models of all services at one node: what it observed itself and what others told.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::estimates::ServiceEstimates;
use crate::slowness::{Slowness, ToldSlowness};
use crate::statistics::{FirstEvent, ServiceStatistics};

#[derive(Debug)]
struct State<R> {
    own: HashMap<ServiceName, ServiceStatistics>,
    peers: HashMap<R, HashMap<ServiceName, ServiceStatistics>>,
    own_slowness: Slowness,
    slowness_of_peers: HashMap<R, Slowness>,
    estimates: HashMap<ServiceName, Arc<ServiceEstimates>>,
    /// Factors by which single back ends take longer, from what all observed.
    factors: HashMap<BackendId, f64>,
}

/// The models of all services. `R` names who tells what others observed.
#[derive(Debug)]
pub struct EngineModels<R> {
    state: Mutex<State<R>>,
}

impl<R> Default for EngineModels<R> {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                own: HashMap::new(),
                peers: HashMap::new(),
                own_slowness: Slowness::default(),
                slowness_of_peers: HashMap::new(),
                estimates: HashMap::new(),
                factors: HashMap::new(),
            }),
        }
    }
}

impl<R: Clone + Eq + Hash> EngineModels<R> {
    fn lock(&self) -> MutexGuard<'_, State<R>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is expected of a service's back ends, as of the last [`Self::refresh`].
    pub fn estimates(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.lock().estimates.get(service).cloned().unwrap_or_default()
    }

    /// The factor by which a back end takes longer than its service usually does, as of the last
    /// [`Self::refresh`].
    pub fn slowness(&self, backend: &BackendId) -> f64 {
        self.lock().factors.get(backend).copied().unwrap_or(1.0)
    }

    /// Notes the time to a request's first event.
    pub fn note_first_event(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        of: FirstEvent,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let known = state.estimates.get(service).cloned();
        if let Some(expected) = known.as_deref().and_then(|known| known.first_event_ms(of)) {
            state.own_slowness.note(backend, took_ms, expected, now);
        }
        let statistics = state.own.entry(service.clone()).or_default();
        statistics.note_first_event(of, took_ms, known.as_deref());
    }

    /// Notes the mean time between two events of a stream.
    pub fn note_event_gap(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        running: u32,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let known = state.estimates.get(service).cloned();
        if let Some(expected) = known.as_deref().and_then(|known| known.event_gap_ms(running)) {
            state.own_slowness.note(backend, took_ms, expected, now);
        }
        state.own.entry(service.clone()).or_default().note_event_gap(running, took_ms, known.as_deref());
    }

    /// Notes the time of a plain call.
    pub fn note_plain_call(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        running: u32,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let known = state.estimates.get(service).cloned();
        if let Some(expected) = known.as_deref().and_then(|known| known.plain_call_ms(running)) {
            state.own_slowness.note(backend, took_ms, expected, now);
        }
        state.own.entry(service.clone()).or_default().note_plain_call(running, took_ms);
    }

    /// Notes the time of a whole stream from its first event.
    pub fn note_stream(&self, service: &ServiceName, took_ms: f64) {
        self.lock().own.entry(service.clone()).or_default().note_stream(took_ms);
    }

    /// Fits the models anew from what all observed; gives the services of which enough is known only now.
    pub fn refresh(&self, now: Instant) -> Vec<ServiceName> {
        let slowness = self.slowness_of(|_| true, now);
        let mut state = self.lock();
        state.factors =
            slowness.into_iter().map(|(backend, observed)| (backend, observed.factor())).collect();
        let sums = sum(state.own.iter().chain(state.peers.values().flatten()));
        let mut newly_known = Vec::new();
        for (service, statistics) in sums {
            let before = state.estimates.get(&service).cloned().unwrap_or_default();
            let estimates = statistics.estimates_after(&before);
            if estimates.is_known() && !before.is_known() {
                newly_known.push(service.clone());
            }
            state.estimates.insert(service, Arc::new(estimates));
        }
        newly_known
    }

    /// What this node observed, to be told.
    pub fn own(&self) -> Vec<(ServiceName, ServiceStatistics)> {
        self.lock().own.iter().map(|(service, statistics)| (service.clone(), *statistics)).collect()
    }

    /// What this node observed of single back ends, to be told.
    pub fn own_slowness(&self, now: Instant) -> Vec<(BackendId, ToldSlowness)> {
        self.lock().own_slowness.tell(now)
    }

    /// What this node observed and what those told who satisfy `is_counted`.
    pub fn sum_of(&self, is_counted: impl Fn(&R) -> bool) -> HashMap<ServiceName, ServiceStatistics> {
        let state = self.lock();
        let counted = state.peers.iter().filter(|(peer, _)| is_counted(peer));
        sum(state.own.iter().chain(counted.flat_map(|(_, told)| told)))
    }

    /// The same of single back ends.
    pub fn slowness_of(
        &self,
        is_counted: impl Fn(&R) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, ToldSlowness)> {
        let state = self.lock();
        let counted = state.slowness_of_peers.iter().filter(|(peer, _)| is_counted(peer));
        let told = counted.flat_map(|(_, slowness)| slowness.tell(now));
        let mut sums: HashMap<BackendId, ToldSlowness> = HashMap::new();
        for (backend, one) in told.chain(state.own_slowness.tell(now)) {
            let sum = sums.entry(backend).or_default();
            sum.logarithms += one.logarithms;
            sum.weight += one.weight;
        }
        sums.into_iter().collect()
    }

    /// Replaces what a peer told of services. What a peer told stays when it dies: it is true of the engines.
    pub fn set_peer(&self, peer: &R, told: HashMap<ServiceName, ServiceStatistics>) {
        self.lock().peers.insert(peer.clone(), told);
    }

    /// Replaces what a peer told of single back ends.
    pub fn set_peer_slowness(&self, peer: &R, told: Vec<(BackendId, ToldSlowness)>, now: Instant) {
        self.lock().slowness_of_peers.entry(peer.clone()).or_default().set(told, now);
    }

    /// Forgets all that somebody told: it is part of what another tells from now on.
    pub fn forget_peer(&self, peer: &R) {
        let mut state = self.lock();
        state.peers.remove(peer);
        state.slowness_of_peers.remove(peer);
    }

    /// Forgets back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().own_slowness.retain(is_known);
    }
}

fn sum<'a>(
    told: impl Iterator<Item = (&'a ServiceName, &'a ServiceStatistics)>,
) -> HashMap<ServiceName, ServiceStatistics> {
    let mut sums: HashMap<ServiceName, ServiceStatistics> = HashMap::new();
    for (service, statistics) in told {
        sums.entry(service.clone()).or_default().merge(statistics);
    }
    sums
}
