//! Engine models of all services on one node, from its own observations and those of its peers.

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
    /// Own observations not yet reported to the node that selects back ends.
    unreported: SlownessTracker,
    /// Observations reported to this node by the nodes for which it selects back ends.
    received_reports: SlownessTracker,
    peer_slowness: HashMap<P, SlownessTracker>,
    estimates: HashMap<ServiceName, Arc<ServiceEstimates>>,
    /// Slowdown factors from the observations of all nodes.
    factors: Arc<SlownessFactors>,
}

impl<P> State<P> {
    fn estimates_of(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.estimates.get(service).cloned().unwrap_or_default()
    }

    fn own_statistics_of(&mut self, service: &ServiceName) -> &mut ServiceStatistics {
        self.own_statistics.entry(service.clone()).or_default()
    }

    /// Compares a measured time with the estimate for any back end of the service. Does nothing without an
    /// estimate.
    fn record_slowness(&mut self, backend: &BackendId, took_ms: f64, expected_ms: Option<f64>, now: Instant) {
        if let Some(expected_ms) = expected_ms {
            self.own_slowness.record_sample(backend, took_ms, expected_ms, now);
            self.unreported.record_sample(backend, took_ms, expected_ms, now);
        }
    }
}

/// Engine models of all services. `P` identifies a peer that sends its observations.
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

    /// Returns the estimates for a service's back ends as of the last [`Self::refresh`].
    pub fn estimates(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.lock().estimates_of(service)
    }

    /// Returns the slowdown factors of individual back ends as of the last [`Self::refresh`]. A caller that
    /// compares many back ends calls this once.
    pub fn factors(&self) -> Arc<SlownessFactors> {
        self.lock().factors.clone()
    }

    /// Returns the factor by which a back end is slower than is usual for its service.
    pub fn slowness(&self, backend: &BackendId) -> f64 {
        self.factors().for_backend(backend)
    }

    /// Records the time to a request's first event.
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

    /// Records the mean time between two events of a stream.
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

    /// Records the duration of a plain (not streamed) call.
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

    /// Records the duration of a stream from its first event to its end.
    pub fn record_stream(&self, service: &ServiceName, took_ms: f64) {
        self.lock().own_statistics_of(service).record_stream(took_ms);
    }

    /// Refits the models to the observations of all nodes. Returns the services that have enough samples for
    /// the first time.
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

    /// Returns the statistics that this node observed, to be sent to its peers.
    pub fn own_statistics(&self) -> Vec<(ServiceName, ServiceStatistics)> {
        self.lock()
            .own_statistics
            .iter()
            .map(|(service, statistics)| (service.clone(), *statistics))
            .collect()
    }

    /// Returns the notable slowness observations of this node, to be sent to its peers.
    pub fn own_slowness(&self, now: Instant) -> Vec<(BackendId, SlownessObservation)> {
        let state = self.lock();
        let notable = state.own_slowness.all(now).filter(|(_, observed)| observed.is_notable());
        notable.map(|(backend, observed)| (backend.clone(), observed)).collect()
    }

    /// Removes and returns this node's observations of selected back ends that are not reported yet.
    pub fn take_unreported(
        &self,
        among: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, SlownessObservation)> {
        self.lock().unreported.take(among, now)
    }

    /// Adds the observations reported by a node for which this node selects back ends.
    pub fn add_report(&self, report: Vec<(BackendId, SlownessObservation)>, now: Instant) {
        let mut state = self.lock();
        for (backend, observation) in report {
            state.received_reports.add(backend, observation, now);
        }
    }

    /// Merges this node's statistics with those of the peers that satisfy `is_counted`.
    pub fn merged_statistics(
        &self,
        is_counted: impl Fn(&P) -> bool,
    ) -> HashMap<ServiceName, ServiceStatistics> {
        let state = self.lock();
        let counted = state.peer_statistics.iter().filter(|(peer, _)| is_counted(peer));
        merge_statistics(state.own_statistics.iter().chain(counted.flat_map(|(_, statistics)| statistics)))
    }

    /// Merges this node's slowness observations with those of the peers that satisfy `is_counted`. Returns
    /// only back ends whose speed differs notably from their service's.
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

    /// Replaces the service statistics received from a peer.
    pub fn set_peer_statistics(&self, peer: &P, statistics: HashMap<ServiceName, ServiceStatistics>) {
        self.lock().peer_statistics.insert(peer.clone(), statistics);
    }

    /// Replaces the slowness observations received from a peer.
    pub fn set_peer_slowness(
        &self,
        peer: &P,
        observations: Vec<(BackendId, SlownessObservation)>,
        now: Instant,
    ) {
        self.lock().peer_slowness.entry(peer.clone()).or_default().set_observations(observations, now);
    }

    /// Removes all data received from a peer: it has failed, or another peer's data includes its observations
    /// from now on.
    pub fn remove_peer(&self, peer: &P) {
        let mut state = self.lock();
        state.peer_statistics.remove(peer);
        state.peer_slowness.remove(peer);
    }

    /// Drops observations of back ends that no longer exist.
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
