//! What others told of the work that they let pass: totals that grow, turned into what is new.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_model::{NodeId, TenantName};
use tokio::time::Instant;

/// Time without a telling after which a node counts as silent: longer than between any two heartbeats.
const NODE_SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// The same of a zone that is known by sums.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// What one node told last.
#[derive(Debug, Default)]
pub(super) struct NodeReports {
    last_report: Option<Instant>,
    generation: u64,
    admitted: HashMap<TenantName, f64>,
}

impl NodeReports {
    /// Whether the node had told nothing for a while, or ever.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.last_report, NODE_SILENT_AFTER, now)
    }

    /// Takes the totals of one life of the node; gives what is new in them. What a life had let pass before
    /// its first telling is new only where `counts_from_start`.
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

/// What the relays of one zone told of all its nodes. Each relay counts since its own start, so each
/// one's totals are shifted to where the zone stood when it was first heard; the largest shifted total
/// is what the zone let pass.
#[derive(Debug, Default)]
pub(super) struct ZoneReports {
    last_report: Option<Instant>,
    admitted: HashMap<TenantName, f64>,
    relays: HashMap<NodeId, RelayOffsets>,
}

/// The shifts of one life of a relay.
#[derive(Debug, Default)]
struct RelayOffsets {
    generation: u64,
    by_tenant: HashMap<TenantName, f64>,
}

impl ZoneReports {
    /// Whether the zone's relays had told nothing for a while, or ever.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.last_report, ZONE_SILENT_AFTER, now)
    }

    /// Takes the totals that one life of a relay told; gives what is new in them.
    pub(super) fn update_totals(
        &mut self,
        relay: &NodeId,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) -> Vec<(TenantName, f64)> {
        if !totals.is_empty() {
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
