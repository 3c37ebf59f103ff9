//! Usage reports of other nodes and zones. Reports carry cumulative totals; this module computes the
//! increments.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_model::{NodeId, TenantName};
use tokio::time::Instant;

/// Time without a report after which a node counts as silent; longer than the time between two heartbeats.
const NODE_SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// Time without a zone summary after which a zone counts as silent.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// The latest usage totals reported by one node.
#[derive(Debug, Default)]
pub(super) struct NodeReports {
    last_report: Option<Instant>,
    generation: u64,
    admitted: HashMap<TenantName, f64>,
}

impl NodeReports {
    /// Whether no report has arrived from the node for [`NODE_SILENT_AFTER`], or none at all.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.last_report, NODE_SILENT_AFTER, now)
    }

    /// Time since the last report; `None` before the first.
    pub(super) fn since_last_report(&self, now: Instant) -> Option<Duration> {
        self.last_report.map(|last| now.saturating_duration_since(last))
    }

    /// Stores the totals of one generation of the node and returns the increments since its previous report.
    /// Work admitted before the first report counts as an increment only if `counts_from_start`.
    pub(super) fn update_totals(
        &mut self,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        counts_from_start: bool,
        now: Instant,
    ) -> Vec<(TenantName, f64)> {
        if generation < self.generation {
            return Vec::new();
        }
        if generation > self.generation {
            *self = Self { last_report: None, generation, admitted: HashMap::new() };
        }
        if !totals.is_empty() {
            self.last_report = Some(now);
        }
        let mut increments = Vec::new();
        for (tenant, total) in totals {
            let first_baseline = if counts_from_start { 0.0 } else { total };
            let previous = self.admitted.insert(tenant.clone(), total).unwrap_or(first_baseline);
            increments.push((tenant, total - previous));
        }
        increments
    }
}

/// Usage totals of one zone, as reported by its relays. Each relay counts from its own start, so its totals
/// get an offset that aligns them with the zone's total at its first report. The largest aligned total is the
/// zone's usage.
#[derive(Debug, Default)]
pub(super) struct ZoneReports {
    last_report: Option<Instant>,
    /// Time between the last two reports.
    interval: Option<Duration>,
    admitted: HashMap<TenantName, f64>,
    relays: HashMap<NodeId, RelayOffsets>,
}

/// The offsets of one generation of a relay.
#[derive(Debug, Default)]
struct RelayOffsets {
    generation: u64,
    by_tenant: HashMap<TenantName, f64>,
}

impl ZoneReports {
    /// Whether no relay of the zone has reported for [`ZONE_SILENT_AFTER`], or ever.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.last_report, ZONE_SILENT_AFTER, now)
    }

    /// Time since the last report; `None` before the first.
    pub(super) fn since_last_report(&self, now: Instant) -> Option<Duration> {
        self.last_report.map(|last| now.saturating_duration_since(last))
    }

    /// Time between two reports of the zone, as far as it is known: the last interval, or the current one if
    /// it is longer already. `None` for a silent zone.
    pub(super) fn interval(&self, now: Instant) -> Option<Duration> {
        if self.was_silent(now) {
            return None;
        }
        let current = self.since_last_report(now)?;
        Some(self.interval.map_or(ZONE_SILENT_AFTER, |last| last.max(current)))
    }

    /// Stores the totals reported by one generation of a relay and returns the increments of the zone's
    /// usage.
    pub(super) fn update_totals(
        &mut self,
        relay: &NodeId,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) -> Vec<(TenantName, f64)> {
        if !totals.is_empty() {
            self.interval = self.since_last_report(now);
            self.last_report = Some(now);
        }
        let offsets = self.relays.entry(relay.clone()).or_default();
        if generation < offsets.generation {
            return Vec::new();
        }
        if generation > offsets.generation {
            *offsets = RelayOffsets { generation, by_tenant: HashMap::new() };
        }
        let mut increments = Vec::new();
        for (tenant, total) in totals {
            let admitted = self.admitted.entry(tenant.clone()).or_default();
            let offset = *offsets.by_tenant.entry(tenant.clone()).or_insert(*admitted - total);
            let increment = (total + offset - *admitted).max(0.0);
            *admitted += increment;
            increments.push((tenant, increment));
        }
        increments
    }
}

fn is_silent(last_report: Option<Instant>, timeout: Duration, now: Instant) -> bool {
    last_report.is_none_or(|at| now.saturating_duration_since(at) >= timeout)
}
