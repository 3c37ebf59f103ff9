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
pub(super) struct NodeUse {
    told: Option<Instant>,
    life: u64,
    passed: HashMap<TenantName, f64>,
}

impl NodeUse {
    /// Whether the node had told nothing for a while, or ever.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.told, NODE_SILENT_AFTER, now)
    }

    /// Takes the totals of one life of the node; gives what is new in them. What a life had let pass before
    /// its first telling is new only where `counts_from_start`.
    pub(super) fn take(
        &mut self,
        life: u64,
        totals: HashMap<TenantName, f64>,
        counts_from_start: bool,
        now: Instant,
    ) -> Vec<(TenantName, f64)> {
        if life < self.life {
            return Vec::new();
        }
        if life > self.life {
            *self = Self { told: None, life, passed: HashMap::new() };
        }
        if !totals.is_empty() {
            self.told = Some(now);
        }
        let mut new = Vec::new();
        for (tenant, total) in totals {
            let unknown_before = if counts_from_start { 0.0 } else { total };
            let before = self.passed.insert(tenant.clone(), total).unwrap_or(unknown_before);
            new.push((tenant, total - before));
        }
        new
    }
}

/// What the relays of one zone told of all its nodes. Each relay counts since its own start, so each
/// one's totals are shifted to where the zone stood when it was first heard; the largest shifted total
/// is what the zone let pass.
#[derive(Debug, Default)]
pub(super) struct ZoneUse {
    told: Option<Instant>,
    passed: HashMap<TenantName, f64>,
    relays: HashMap<NodeId, RelayShifts>,
}

/// The shifts of one life of a relay.
#[derive(Debug, Default)]
struct RelayShifts {
    life: u64,
    by_tenant: HashMap<TenantName, f64>,
}

impl ZoneUse {
    /// Whether the zone's relays had told nothing for a while, or ever.
    pub(super) fn was_silent(&self, now: Instant) -> bool {
        is_silent(self.told, ZONE_SILENT_AFTER, now)
    }

    /// Takes the totals that one life of a relay told; gives what is new in them.
    pub(super) fn take(
        &mut self,
        relay: &NodeId,
        life: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) -> Vec<(TenantName, f64)> {
        if !totals.is_empty() {
            self.told = Some(now);
        }
        let shifts = self.relays.entry(relay.clone()).or_default();
        if life < shifts.life {
            return Vec::new();
        }
        if life > shifts.life {
            *shifts = RelayShifts { life, by_tenant: HashMap::new() };
        }
        let mut new = Vec::new();
        for (tenant, total) in totals {
            let passed = self.passed.entry(tenant.clone()).or_default();
            let shift = *shifts.by_tenant.entry(tenant.clone()).or_insert(*passed - total);
            let gained = (total + shift - *passed).max(0.0);
            *passed += gained;
            new.push((tenant, gained));
        }
        new
    }
}

fn is_silent(told: Option<Instant>, after: Duration, now: Instant) -> bool {
    told.is_none_or(|told| now.saturating_duration_since(told) >= after)
}
