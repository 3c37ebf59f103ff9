//! Engine models of all services on one node, from its own observations and those of its peers.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::estimates::ServiceEstimates;
use crate::lasting_factors::{BackendKind, FactorSpread};
use crate::lasting_speed::LastingObservation;
use crate::learnt_speeds::LearntSpeeds;
use crate::observation::EngineObservation;
use crate::slowness::{SlownessFactors, SlownessObservation, SlownessTracker, sample_logarithm};
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
    /// Lasting speeds of back ends; `None` if they are not learnt.
    speeds: Option<LearntSpeeds<P>>,
    estimates: HashMap<ServiceName, Arc<ServiceEstimates>>,
    /// Slowdown factors from the observations of all nodes.
    factors: Arc<SlownessFactors>,
}

impl<P: Clone + Eq + Hash> State<P> {
    fn estimates_of(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.estimates.get(service).cloned().unwrap_or_default()
    }

    fn own_statistics_of(&mut self, service: &ServiceName) -> &mut ServiceStatistics {
        self.own_statistics.entry(service.clone()).or_default()
    }

    /// Compares a measured time with the estimate for any back end of the service, if there is one. Returns
    /// the time that a back end of speed 1 would have taken.
    fn record_slowness(
        &mut self,
        backend: &BackendId,
        took_ms: f64,
        expected_ms: Option<f64>,
        now: Instant,
    ) -> f64 {
        if let Some(expected_ms) = expected_ms {
            self.own_slowness.record_sample(backend, took_ms, expected_ms, now);
            self.unreported.record_sample(backend, took_ms, expected_ms, now);
            if let (Some(speeds), Some(logarithm)) =
                (&mut self.speeds, sample_logarithm(took_ms, expected_ms))
            {
                speeds.record_sample(backend, logarithm, now);
            }
        }
        took_ms / self.factors.lasting().for_backend(backend)
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
                speeds: None,
                estimates: HashMap::new(),
                factors: Arc::default(),
            }),
        }
    }
}

impl<P: Clone + Eq + Hash> EngineModels<P> {
    /// Creates models that also learn the lasting speed of each back end.
    pub fn learning_speeds() -> Self {
        let models = Self::default();
        models.lock().speeds = Some(LearntSpeeds::default());
        models
    }

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

    /// Returns the factor by which a back end lastingly takes longer than one of speed 1; 1 if not known.
    pub fn lasting_factor(&self, backend: &BackendId) -> f64 {
        self.factors().lasting().for_backend(backend)
    }

    /// Returns the mean speed of a set of back ends relative to one of speed 1; 1 for an empty set. The
    /// service's estimates are those of a back end of speed 1.
    pub fn mean_speed<'a>(&self, backends: impl IntoIterator<Item = &'a BackendId>) -> f64 {
        self.factors().lasting().mean_speed(backends)
    }

    /// Returns the range of the lasting factors of a service's back ends; `None` if they are not learnt.
    pub fn factor_spread(&self, service: &ServiceName) -> Option<FactorSpread> {
        let state = self.lock();
        state.speeds.as_ref()?.spread(service, state.factors.lasting())
    }

    /// Returns the back ends observed by this node that are found for the first time to differ lastingly from
    /// their service, with their factors.
    pub fn take_newly_notable(&self, now: Instant) -> Vec<(BackendId, f64)> {
        let mut state = self.lock();
        let factors = state.factors.clone();
        let speeds = state.speeds.as_mut();
        speeds.map(|speeds| speeds.take_newly_notable(factors.lasting(), now)).unwrap_or_default()
    }

    /// Returns the factor by which a back end is now slower than is usual for its service.
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
        let usual_ms = state.record_slowness(backend, took_ms, estimates.first_event_ms(inputs), now);
        state.own_statistics_of(service).record_first_event(inputs, usual_ms, &estimates);
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
        let usual_ms = state.record_slowness(backend, took_ms, estimates.event_gap_ms(running), now);
        state.own_statistics_of(service).record_event_gap(running, usual_ms, &estimates);
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
        let usual_ms = state.record_slowness(backend, took_ms, estimates.plain_call_ms(running), now);
        state.own_statistics_of(service).record_plain_call(running, usual_ms);
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
        let recent = merge_slowness(trackers, now);
        let lasting = state.speeds.as_mut().map(|speeds| speeds.fit_if_due(now)).unwrap_or_default();
        state.factors = Arc::new(SlownessFactors::new(recent, lasting));
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

    /// Returns the notable observations of back ends by this node, to be sent to its peers.
    pub fn own_slowness(&self, now: Instant) -> Vec<(BackendId, EngineObservation)> {
        let mut state = self.lock();
        let factors = state.factors.clone();
        let is_notable = |(backend, observed): &(&BackendId, SlownessObservation)| {
            observed.is_notable(factors.lasting().logarithm(backend))
        };
        let notable = state.own_slowness.all(now).filter(is_notable);
        let recent = notable.map(|(backend, observed)| (backend.clone(), observed)).collect();
        let lasting = state.speeds.as_mut().map(|speeds| speeds.node_report(factors.lasting(), now));
        join_observations(recent, lasting.unwrap_or_default())
    }

    /// Removes and returns this node's observations of selected back ends that are not reported yet.
    pub fn take_unreported(
        &self,
        among: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, EngineObservation)> {
        let mut state = self.lock();
        let taken = state.unreported.take(among, now);
        let mut speeds = state.speeds.as_mut();
        let with_lasting = |(backend, recent): (BackendId, SlownessObservation)| {
            let lasting = speeds.as_mut().map(|speeds| speeds.take_unreported(&backend));
            (backend, EngineObservation { recent, lasting: lasting.unwrap_or_default() })
        };
        taken.into_iter().map(with_lasting).collect()
    }

    /// Adds the observations reported by a node for which this node selects back ends.
    pub fn add_report<O: Into<EngineObservation>>(&self, report: Vec<(BackendId, O)>, now: Instant) {
        let mut state = self.lock();
        for (backend, observation) in report {
            let observation = observation.into();
            if let Some(speeds) = &mut state.speeds {
                speeds.add_report(&backend, observation.lasting, now);
            }
            state.received_reports.add(backend, observation.recent, now);
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
    ) -> Vec<(BackendId, EngineObservation)> {
        let mut state = self.lock();
        let factors = state.factors.clone();
        let counted = state.peer_slowness.iter().filter(|(peer, _)| is_counted(peer));
        let trackers = counted.map(|(_, tracker)| tracker).chain([&state.own_slowness]);
        let mut sums = merge_slowness(trackers, now);
        sums.retain(|backend, observed| observed.is_notable(factors.lasting().logarithm(backend)));
        let speeds = state.speeds.as_mut();
        let lasting = speeds.map(|speeds| speeds.zone_report(&is_counted, factors.lasting(), now));
        join_observations(sums, lasting.unwrap_or_default())
    }

    /// Replaces the service statistics received from a peer.
    pub fn set_peer_statistics(&self, peer: &P, statistics: HashMap<ServiceName, ServiceStatistics>) {
        self.lock().peer_statistics.insert(peer.clone(), statistics);
    }

    /// Replaces the recent observations received from a peer, and its records of the lasting speeds that it
    /// tells.
    pub fn set_peer_slowness<O: Into<EngineObservation>>(
        &self,
        peer: &P,
        observations: Vec<(BackendId, O)>,
        now: Instant,
    ) {
        let mut state = self.lock();
        let mut recent = Vec::with_capacity(observations.len());
        for (backend, observation) in observations {
            let observation = observation.into();
            if let Some(speeds) = &mut state.speeds {
                speeds.set_told(peer, &backend, observation.lasting, now);
            }
            recent.push((backend, observation.recent));
        }
        state.peer_slowness.entry(peer.clone()).or_default().set_observations(recent, now);
    }

    /// Removes all data received from a peer, except for lasting speeds: it has failed, or another peer's data
    /// includes its observations from now on.
    pub fn remove_peer(&self, peer: &P) {
        let mut state = self.lock();
        state.peer_statistics.remove(peer);
        state.peer_slowness.remove(peer);
        if let Some(speeds) = &mut state.speeds {
            speeds.remove_peer(peer);
        }
    }

    /// Replaces the listed back ends, whose lasting speeds are learnt. Does nothing if they are not learnt.
    pub fn set_listed(&self, listed: impl Iterator<Item = (BackendId, BackendKind)>) {
        if let Some(speeds) = &mut self.lock().speeds {
            speeds.set_listed(listed.collect());
        }
    }

    /// Drops observations of back ends that no longer exist.
    pub fn retain_backends(&self, is_known: impl Fn(&BackendId) -> bool) {
        let mut state = self.lock();
        state.own_slowness.retain(&is_known);
        state.unreported.retain(&is_known);
        state.received_reports.retain(&is_known);
    }
}

/// Joins recent observations and lasting records of the same back ends.
fn join_observations(
    recent: HashMap<BackendId, SlownessObservation>,
    lasting: Vec<(BackendId, LastingObservation)>,
) -> Vec<(BackendId, EngineObservation)> {
    let mut joined: HashMap<BackendId, EngineObservation> =
        recent.into_iter().map(|(backend, recent)| (backend, recent.into())).collect();
    for (backend, record) in lasting {
        joined.entry(backend).or_default().lasting = record;
    }
    joined.into_iter().collect()
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
