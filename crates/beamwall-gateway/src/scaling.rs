//! How many back ends each zone shall hold: one function from inputs to a plan.
//!
//! Lasting back ends carry the base, so that the loss of every reclaimable one is borne; reclaimable
//! ones, which cost a part, carry what the base can't. Zones share the load evenly; a zone's
//! minimum holds in any case.

use std::collections::BTreeMap;

use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::ScalingLimits;

use crate::ports::CapacityOrder;

/// What a plan starts from.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingInputs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its limits.
    pub limits: &'a ScalingLimits,
    /// The zones that may hold back ends.
    pub zones: &'a [ZoneName],
    /// Work offered by all nodes, in busy back ends: 1.0 keeps one fully busy.
    pub offered_load: f64,
}

/// Part of its time that a back end should be busy at most.
const TARGET_UTILISATION: f64 = 0.5;

/// The orders for one service: for each zone its lasting and its reclaimable back ends.
pub fn plan(inputs: &ScalingInputs<'_>) -> Vec<CapacityOrder> {
    let zone_count = inputs.zones.len().max(1) as f64;
    let wanted_in_all = inputs.offered_load / TARGET_UTILISATION;
    let wanted_each = (wanted_in_all / zone_count).ceil().max(0.0) as u32;
    let lowest = inputs.limits.minimum.max(1);
    let highest = inputs.limits.maximum.max(lowest);
    let wanted = wanted_each.clamp(lowest, highest);
    let lasting = if inputs.limits.reclaimable_price.is_some() { lowest } else { wanted };
    let reclaimable = wanted.saturating_sub(lasting);
    let orders = |zone: &ZoneName| {
        let order = |reclaimable, wanted| CapacityOrder {
            service: inputs.service.clone(),
            zone: zone.clone(),
            reclaimable,
            wanted,
        };
        let cheap = inputs.limits.reclaimable_price.map(|_| order(true, reclaimable));
        std::iter::once(order(false, lasting)).chain(cheap).collect::<Vec<_>>()
    };
    inputs.zones.iter().flat_map(orders).collect()
}

/// The orders of `plan` that differ from what was last ordered.
pub fn changed(plan: &[CapacityOrder], ordered: &BTreeMap<OrderKey, u32>) -> Vec<CapacityOrder> {
    let differs = |order: &&CapacityOrder| ordered.get(&OrderKey::of(order)) != Some(&order.wanted);
    plan.iter().filter(differs).cloned().collect()
}

/// What an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    service: ServiceName,
    zone: ZoneName,
    reclaimable: bool,
}

impl OrderKey {
    /// The key of an order.
    pub fn of(order: &CapacityOrder) -> Self {
        Self { service: order.service.clone(), zone: order.zone.clone(), reclaimable: order.reclaimable }
    }
}
