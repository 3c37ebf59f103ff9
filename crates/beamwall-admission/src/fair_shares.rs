//! Fair shares of a group's engine time: weighted max-min over its tenants.
//!
//! A tenant that asks for less than its share gets all it asks for, and the rest is divided among the others
//! by weight. The water level is the engine time per unit of weight that a tenant may use; it is infinite
//! while the engines can serve the whole demand.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_model::TenantName;
use tokio::time::Instant;

use crate::decayed_rate::DecayedRate;

/// Shortest interval between two computations of the water level.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of tenants with a share of their own. Further ones share that of requests without tenant.
const MAX_TENANTS: usize = 4_096;
/// Demand in engines below which a tenant is forgotten.
const FORGOTTEN_DEMAND: f64 = 1e-4;
/// Seconds of its share that a tenant may use at once after it used less.
const BURST_S: f64 = 1.0;
/// Smallest weight, so that a share is never zero.
const MIN_WEIGHT: f64 = 1e-6;

#[derive(Debug, Clone)]
struct TenantUse {
    weight: f64,
    /// Engine time asked for, in engines.
    demand: DecayedRate,
    /// Engine time used beyond the share, in seconds.
    excess_s: f64,
    /// Time for which the excess is valid.
    updated: Instant,
    /// Time from which the next return may be promised.
    next_return: Instant,
}

impl TenantUse {
    fn new(now: Instant) -> Self {
        Self { weight: 1.0, demand: DecayedRate::new(now), excess_s: 0.0, updated: now, next_return: now }
    }

    /// Lowers the excess by the share of the time since the last update.
    fn advance(&mut self, water_level: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        if water_level.is_finite() {
            self.excess_s = (self.excess_s - elapsed_s * self.weight * water_level).max(0.0);
        } else {
            self.excess_s = 0.0;
        }
    }
}

/// Demand and shares of a group's tenants.
#[derive(Debug)]
pub struct FairShares {
    tenants: HashMap<Option<TenantName>, TenantUse>,
    water_level: f64,
    /// Level up to which tenants above the water level are served now.
    allowed_level: f64,
    computed: Instant,
}

impl FairShares {
    /// No tenant has asked for anything yet.
    pub fn new(now: Instant) -> Self {
        Self {
            tenants: HashMap::new(),
            water_level: f64::INFINITY,
            allowed_level: f64::INFINITY,
            computed: now,
        }
    }

    /// Engines per unit of weight that a tenant may use.
    pub const fn water_level(&self) -> f64 {
        self.water_level
    }

    /// Number of tenants with a share of their own.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Demand of all tenants, in engines.
    pub fn demand(&self, now: Instant) -> f64 {
        self.tenants.values().map(|tenant| tenant.demand.get(now)).sum()
    }

    /// Whether a new water level is due.
    pub fn is_level_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.computed) >= LEVEL_INTERVAL
    }

    /// Computes the water level for a capacity of so many engines, of which `allowed_fraction` may be used now,
    /// and forgets idle tenants.
    pub fn compute_level(&mut self, capacity: f64, allowed_fraction: f64, now: Instant) {
        self.computed = now;
        self.tenants.retain(|_, tenant| tenant.demand.get(now) >= FORGOTTEN_DEMAND);
        let demands = self.tenants.values().map(|tenant| (tenant.demand.get(now), tenant.weight));
        let demands: Vec<(f64, f64)> = demands.collect();
        self.water_level = water_level(demands.clone(), capacity);
        self.allowed_level = water_level(demands, capacity * allowed_fraction);
    }

    fn entry(&mut self, tenant: Option<&TenantName>, now: Instant) -> &mut TenantUse {
        let key = self.key(tenant);
        self.tenants.entry(key).or_insert_with(|| TenantUse::new(now))
    }

    /// The key of a tenant's share, which is that of requests without tenant once there are too many tenants.
    fn key(&self, tenant: Option<&TenantName>) -> Option<TenantName> {
        let key = tenant.cloned();
        let has_share = self.tenants.len() < MAX_TENANTS || self.tenants.contains_key(&key);
        key.filter(|_| has_share)
    }

    /// Records that a tenant asked for engine time.
    pub fn note_demand(&mut self, tenant: Option<&TenantName>, weight: f64, work: Duration, now: Instant) {
        let entry = self.entry(tenant, now);
        entry.weight = weight.max(MIN_WEIGHT);
        entry.demand.add(work.as_secs_f64(), now);
    }

    /// Records that a tenant's request was admitted.
    pub fn note_admitted(&mut self, tenant: Option<&TenantName>, work: Duration, now: Instant) {
        let level = self.allowed_level;
        let entry = self.entry(tenant, now);
        entry.advance(level, now);
        if level.is_finite() {
            entry.excess_s += work.as_secs_f64();
        }
    }

    /// Whether a tenant asks for no more than its share, besides the `own` work of the request at hand: a single
    /// long prompt exceeds a small share for the time over which demand is averaged.
    pub fn is_within(&self, tenant: Option<&TenantName>, own: Duration, now: Instant) -> bool {
        let known = self.tenants.get(&self.key(tenant));
        let own = DecayedRate::of_one(own.as_secs_f64());
        known.is_none_or(|known| known.demand.get(now) - own <= known.weight * self.water_level)
    }

    /// Whether a tenant asks for more than its share and has used what it may use of it now. A tenant that
    /// asks for less is not over its share, however little may be used now.
    pub fn is_over(&mut self, tenant: Option<&TenantName>, own: Duration, now: Instant) -> bool {
        if self.is_within(tenant, own, now) {
            return false;
        }
        let level = self.allowed_level;
        let entry = self.entry(tenant, now);
        entry.advance(level, now);
        entry.excess_s > BURST_S * entry.weight * level
    }

    /// The time from which a tenant's next return may be promised, and the interval by which it moves if
    /// `work` is promised at `fraction` of the share.
    pub fn return_slot(
        &mut self,
        tenant: Option<&TenantName>,
        work: Duration,
        fraction: f64,
        now: Instant,
    ) -> (Instant, Duration) {
        let level = self.water_level;
        let entry = self.entry(tenant, now);
        let share = entry.weight * level * fraction;
        let interval = Duration::try_from_secs_f64(work.as_secs_f64() / share).unwrap_or(Duration::MAX);
        (entry.next_return.max(now), interval)
    }

    /// Moves the time of a tenant's next return.
    pub fn promise_return(&mut self, tenant: Option<&TenantName>, until: Instant, now: Instant) {
        self.entry(tenant, now).next_return = until;
    }
}

/// The level at which tenants with these demands and weights use the whole capacity; infinite if they use
/// less.
pub fn water_level(mut demands: Vec<(f64, f64)>, capacity: f64) -> f64 {
    let ratio = |(demand, weight): &(f64, f64)| demand / weight;
    demands.sort_by(|left, right| ratio(left).total_cmp(&ratio(right)));
    let mut weight_left: f64 = demands.iter().map(|(_, weight)| weight).sum();
    let mut capacity_left = capacity.max(0.0);
    for (demand, weight) in demands {
        let level = capacity_left / weight_left;
        if demand > level * weight {
            return level;
        }
        capacity_left -= demand;
        weight_left -= weight;
    }
    f64::INFINITY
}
