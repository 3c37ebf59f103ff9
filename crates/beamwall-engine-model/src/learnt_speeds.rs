//! Lasting speeds of all back ends on one node: records by source, the fitted factors, and what is told.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::lasting_factors::{BackendKind, FactorSpread, LastingFactors};
use crate::lasting_reports::LastingReports;
use crate::lasting_speed::{LastingObservation, LastingRecords, LastingSpeedTracker, merge};

/// Minimum time between two fits for each full 1,000 back ends, which bounds their share of processor time. Smaller
/// deployments fit at every call.
const FIT_PERIOD_PER_1000: Duration = Duration::from_millis(500);

/// Lasting speeds of all back ends, by the source `P` of the records.
#[derive(Debug)]
pub(crate) struct LearntSpeeds<P> {
    /// The listed back ends.
    listed: HashMap<BackendId, BackendKind>,
    /// Samples of this node and of the nodes for which it selects back ends.
    observed: LastingSpeedTracker,
    /// Own samples not yet reported to the node that selects back ends.
    unreported: HashMap<BackendId, LastingObservation>,
    /// Records told by peers.
    peers: HashMap<P, LastingRecords>,
    /// Records of peers that have failed or are included in another's reports. They are not told again.
    inherited: LastingRecords,
    node_reports: LastingReports,
    zone_reports: LastingReports,
    /// Back ends whose factor was notable before.
    noted: HashSet<BackendId>,
    /// The factors of the last fit.
    factors: Arc<LastingFactors>,
    fitted_at: Option<Instant>,
}

impl<P> Default for LearntSpeeds<P> {
    fn default() -> Self {
        Self {
            listed: HashMap::new(),
            observed: LastingSpeedTracker::default(),
            unreported: HashMap::new(),
            peers: HashMap::new(),
            inherited: LastingRecords::default(),
            node_reports: LastingReports::default(),
            zone_reports: LastingReports::default(),
            noted: HashSet::new(),
            factors: Arc::default(),
            fitted_at: None,
        }
    }
}

impl<P: Clone + Eq + Hash> LearntSpeeds<P> {
    /// Replaces the listed back ends and drops what is known of others.
    pub(crate) fn set_listed(&mut self, listed: HashMap<BackendId, BackendKind>) {
        let is_listed = |backend: &BackendId| listed.contains_key(backend);
        self.observed.retain(is_listed);
        self.unreported.retain(|backend, _| is_listed(backend));
        self.peers.values_mut().for_each(|records| records.retain(is_listed));
        self.inherited.retain(is_listed);
        self.node_reports.retain(is_listed);
        self.zone_reports.retain(is_listed);
        self.noted.retain(is_listed);
        self.listed = listed;
    }

    /// Records an own sample.
    pub(crate) fn record_sample(&mut self, backend: &BackendId, logarithm: f64, now: Instant) {
        self.observed.record(backend, LastingObservation { logarithms: logarithm, weight: 1.0 }, now);
        self.unreported.entry(backend.clone()).or_default().add_sample(logarithm);
    }

    /// Removes and returns the own samples of a back end that are not reported yet.
    pub(crate) fn take_unreported(&mut self, backend: &BackendId) -> LastingObservation {
        self.unreported.remove(backend).unwrap_or_default()
    }

    /// Adds samples of a node for which this node selects back ends.
    pub(crate) fn add_report(&mut self, backend: &BackendId, observed: LastingObservation, now: Instant) {
        self.observed.record(backend, observed, now);
    }

    /// Sets the record that a peer told.
    pub(crate) fn set_told(&mut self, peer: &P, backend: &BackendId, told: LastingObservation, now: Instant) {
        if told.weight > 0.0 {
            self.peers.entry(peer.clone()).or_default().set(backend, told, now);
        }
    }

    /// Keeps the records of a peer that reports no longer: the speeds last.
    pub(crate) fn remove_peer(&mut self, peer: &P) {
        if let Some(records) = self.peers.remove(peer) {
            self.inherited.absorb(records);
        }
    }

    /// Returns the factors, fitted again if the period has passed.
    pub(crate) fn fit_if_due(&mut self, now: Instant) -> Arc<LastingFactors> {
        let period = FIT_PERIOD_PER_1000 * u32::try_from(self.listed.len() / 1_000).unwrap_or(u32::MAX);
        let is_due = |fitted_at: Instant| now.saturating_duration_since(fitted_at) >= period;
        if self.fitted_at.is_none_or(is_due) {
            self.fitted_at = Some(now);
            self.factors = Arc::new(self.fit(now));
        }
        self.factors.clone()
    }

    fn fit(&self, now: Instant) -> LastingFactors {
        let sources = self.peers.values().chain([self.observed.records(), &self.inherited]);
        LastingFactors::fit(&self.listed, &merge(sources, now))
    }

    /// Returns the records of this node that its peers need.
    pub(crate) fn node_report(
        &mut self,
        factors: &LastingFactors,
        now: Instant,
    ) -> Vec<(BackendId, LastingObservation)> {
        let records = self.observed.records().iter();
        let due = records.filter_map(|(backend, record)| Some((backend.clone(), record.to_report(now)?)));
        self.node_reports.select(due, |backend| factors.logarithm(backend) != 0.0, now)
    }

    /// Returns the records of the nodes that satisfy `is_counted`, this one included, that other zones need.
    pub(crate) fn zone_report(
        &mut self,
        is_counted: impl Fn(&P) -> bool,
        factors: &LastingFactors,
        now: Instant,
    ) -> Vec<(BackendId, LastingObservation)> {
        let counted = self.peers.iter().filter(|(peer, _)| is_counted(peer));
        let records = merge(counted.map(|(_, records)| records).chain([self.observed.records()]), now);
        let due = records.into_iter().filter_map(|(backend, record)| Some((backend, record.to_report()?)));
        self.zone_reports.select(due, |backend| factors.logarithm(backend) != 0.0, now)
    }

    /// Returns the back ends observed by this node whose factors are notable for the first time.
    pub(crate) fn take_newly_notable(
        &mut self,
        factors: &LastingFactors,
        now: Instant,
    ) -> Vec<(BackendId, f64)> {
        let known = self.observed.records().iter().filter(|(_, record)| record.to_report(now).is_some());
        let notable = known.filter(|(backend, _)| factors.logarithm(backend) != 0.0);
        let fresh = notable.filter(|(backend, _)| !self.noted.contains(*backend));
        let fresh: Vec<(BackendId, f64)> =
            fresh.map(|(backend, _)| (backend.clone(), factors.for_backend(backend))).collect();
        self.noted.extend(fresh.iter().map(|(backend, _)| backend.clone()));
        fresh
    }

    /// Returns the range of the factors of a service's listed back ends.
    pub(crate) fn spread(&self, service: &ServiceName, factors: &LastingFactors) -> Option<FactorSpread> {
        let of_service = self.listed.iter().filter(|(_, kind)| kind.service == *service);
        factors.spread(of_service.map(|(backend, _)| backend))
    }
}
