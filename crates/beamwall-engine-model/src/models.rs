//! The models of all services at one node: what it observed itself and what others told.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::estimates::ServiceEstimates;
use crate::slowness::{SlownessFactors, SlownessObservation, SlownessTracker};
use crate::statistics::{FirstEventInputs, ServiceStatistics};

#[derive(Debug)]
struct State<P> {
    own_statistics: HashMap<ServiceName, ServiceStatistics>,
    peer_statistics: HashMap<P, HashMap<ServiceName, ServiceStatistics>>,
    own_slowness: SlownessTracker,
    /// The part of it that was not reported to who chooses.
    unreported: SlownessTracker,
    /// What others reported to this node, because it chooses for them.
    received_reports: SlownessTracker,
    peer_slowness: HashMap<P, SlownessTracker>,
    estimates: HashMap<ServiceName, Arc<ServiceEstimates>>,
    /// From what all observed.
    factors: Arc<SlownessFactors>,
}

impl<P> State<P> {
    fn estimates_of(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.estimates.get(service).cloned().unwrap_or_default()
    }

    fn own_statistics_of(&mut self, service: &ServiceName) -> &mut ServiceStatistics {
        self.own_statistics.entry(service.clone()).or_default()
    }

    /// Compares a time with the one expected of any back end of the service, where that is estimates.
    fn record_slowness(&mut self, backend: &BackendId, took_ms: f64, expected_ms: Option<f64>, now: Instant) {
        if let Some(expected_ms) = expected_ms {
            self.own_slowness.record_sample(backend, took_ms, expected_ms, now);
            self.unreported.record_sample(backend, took_ms, expected_ms, now);
        }
    }
}

/// The models of all services. `P` names who tells what others observed.
#[derive(Debug)]
pub struct EngineModels<P> {
    state: Mutex<State<P>>,
}

impl<P> Default for EngineModels<P> {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                own_statistics: HashMap::new(),
                peer_statistics: HashMap::new(),
                own_slowness: SlownessTracker::default(),
                unreported: SlownessTracker::default(),
                received_reports: SlownessTracker::default(),
                peer_slowness: HashMap::new(),
                estimates: HashMap::new(),
                factors: Arc::default(),
            }),
        }
    }
}

impl<P: Clone + Eq + Hash> EngineModels<P> {
    fn lock(&self) -> MutexGuard<'_, State<P>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is expected of a service's back ends, as of the last [`Self::refresh`].
    pub fn estimates(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.lock().estimates_of(service)
    }

    /// How much slower than their services single back ends are, as of the last [`Self::refresh`]. Whoever compares
    /// many back ends takes this once.
    pub fn factors(&self) -> Arc<SlownessFactors> {
        self.lock().factors.clone()
    }

    /// The factor by which one back end takes longer than its service usually does.
    pub fn slowness(&self, backend: &BackendId) -> f64 {
        self.factors().for_backend(backend)
    }

    /// Notes the time to a request's first event.
    pub fn record_first_event(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        inputs: FirstEventInputs,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let estimates = state.estimates_of(service);
        state.record_slowness(backend, took_ms, estimates.first_event_ms(inputs), now);
        state.own_statistics_of(service).record_first_event(inputs, took_ms, &estimates);
    }

    /// Notes the mean time between two events of a stream.
    pub fn record_event_gap(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        running: u32,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let estimates = state.estimates_of(service);
        state.record_slowness(backend, took_ms, estimates.event_gap_ms(running), now);
        state.own_statistics_of(service).record_event_gap(running, took_ms, &estimates);
    }

    /// Notes the time of a plain call.
    pub fn record_plain_call(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        running: u32,
        took_ms: f64,
        now: Instant,
    ) {
        let mut state = self.lock();
        let estimates = state.estimates_of(service);
        state.record_slowness(backend, took_ms, estimates.plain_call_ms(running), now);
        state.own_statistics_of(service).record_plain_call(running, took_ms);
    }

    /// Notes the time of a whole stream from its first event.
    pub fn record_stream(&self, service: &ServiceName, took_ms: f64) {
        self.lock().own_statistics_of(service).record_stream(took_ms);
    }

    /// Fits the models anew from what all observed; gives the services of which enough is known only now.
    pub fn refresh(&self, now: Instant) -> Vec<ServiceName> {
        let mut state = self.lock();
        let peer_trackers = state.peer_slowness.values();
        let trackers = peer_trackers.chain([&state.own_slowness, &state.received_reports]);
        let factors = merge_slowness(trackers, now).into_iter().collect();
        state.factors = Arc::new(factors);
        let sums =
            merge_statistics(state.own_statistics.iter().chain(state.peer_statistics.values().flatten()));
        let mut newly_known = Vec::new();
        for (service, statistics) in sums {
            let before = state.estimates_of(&service);
            let estimates = statistics.estimates_after(&before);
            if estimates.is_known() && !before.is_known() {
                newly_known.push(service.clone());
            }
            state.estimates.insert(service, Arc::new(estimates));
        }
        newly_known
    }

    /// What this node observed, to be told.
    pub fn own_statistics(&self) -> Vec<(ServiceName, ServiceStatistics)> {
        self.lock()
            .own_statistics
            .iter()
            .map(|(service, statistics)| (service.clone(), *statistics))
            .collect()
    }

    /// What this node observed of single back ends, to be told.
    pub fn own_slowness(&self, now: Instant) -> Vec<(BackendId, SlownessObservation)> {
        let state = self.lock();
        let notable = state.own_slowness.all(now).filter(|(_, observed)| observed.is_notable());
        notable.map(|(backend, observed)| (backend.clone(), observed)).collect()
    }

    /// Takes what this node observed of single back ends and has not reported yet.
    pub fn take_unreported(
        &self,
        among: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, SlownessObservation)> {
        self.lock().unreported.take(among, now)
    }

    /// Adds what somebody reported, for whom this node chooses.
    pub fn add_report(&self, report: Vec<(BackendId, SlownessObservation)>, now: Instant) {
        let mut state = self.lock();
        for (backend, observation) in report {
            state.received_reports.add(backend, observation, now);
        }
    }

    /// What this node observed and what those told who satisfy `is_counted`.
    pub fn merged_statistics(
        &self,
        is_counted: impl Fn(&P) -> bool,
    ) -> HashMap<ServiceName, ServiceStatistics> {
        let state = self.lock();
        let counted = state.peer_statistics.iter().filter(|(peer, _)| is_counted(peer));
        merge_statistics(state.own_statistics.iter().chain(counted.flat_map(|(_, statistics)| statistics)))
    }

    /// The same of single back ends that are not as fast as their service.
    pub fn merged_slowness(
        &self,
        is_counted: impl Fn(&P) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, SlownessObservation)> {
        let state = self.lock();
        let counted = state.peer_slowness.iter().filter(|(peer, _)| is_counted(peer));
        let trackers = counted.map(|(_, tracker)| tracker).chain([&state.own_slowness]);
        let mut sums = merge_slowness(trackers, now);
        sums.retain(|_, observed| observed.is_notable());
        sums.into_iter().collect()
    }

    /// Replaces what a peer told of services.
    pub fn set_peer_statistics(&self, peer: &P, statistics: HashMap<ServiceName, ServiceStatistics>) {
        self.lock().peer_statistics.insert(peer.clone(), statistics);
    }

    /// Replaces what a peer told of single back ends.
    pub fn set_peer_slowness(
        &self,
        peer: &P,
        observations: Vec<(BackendId, SlownessObservation)>,
        now: Instant,
    ) {
        self.lock().peer_slowness.entry(peer.clone()).or_default().set_observations(observations, now);
    }

    /// Forgets all that somebody told: it has died, or its work is part of what another tells from now on.
    pub fn remove_peer(&self, peer: &P) {
        let mut state = self.lock();
        state.peer_statistics.remove(peer);
        state.peer_slowness.remove(peer);
    }

    /// Forgets back ends that are gone.
    pub fn retain_backends(&self, is_known: impl Fn(&BackendId) -> bool) {
        let mut state = self.lock();
        state.own_slowness.retain(&is_known);
        state.unreported.retain(&is_known);
        state.received_reports.retain(&is_known);
    }
}

fn merge_slowness<'a>(
    trackers: impl Iterator<Item = &'a SlownessTracker>,
    now: Instant,
) -> HashMap<BackendId, SlownessObservation> {
    let mut sums: HashMap<BackendId, SlownessObservation> = HashMap::new();
    for (backend, observation) in trackers.flat_map(|tracker| tracker.all(now)) {
        *sums.entry(backend.clone()).or_default() += observation;
    }
    sums.values_mut().for_each(|sum| *sum = sum.capped());
    sums
}

fn merge_statistics<'a>(
    statistics: impl Iterator<Item = (&'a ServiceName, &'a ServiceStatistics)>,
) -> HashMap<ServiceName, ServiceStatistics> {
    let mut sums: HashMap<ServiceName, ServiceStatistics> = HashMap::new();
    for (service, of_service) in statistics {
        sums.entry(service.clone()).or_default().merge(of_service);
    }
    sums
}
