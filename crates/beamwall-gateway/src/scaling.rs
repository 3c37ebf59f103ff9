//! How many back ends each zone shall hold: one function from inputs to a plan.
//!
//! Reclaimable back ends cost a part of lasting ones, but a whole zone of them may go at short notice
//! and for a while none can be had. So a zone keeps its minimum in lasting ones and its headroom in
//! reclaimable ones; what is wanted and can't be had as reclaimable is ordered as lasting.

use std::collections::BTreeMap;

use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::ScalingLimits;

use crate::ports::CapacityOrder;

/// The state of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSupply {
    /// The zone.
    pub zone: ZoneName,
    /// Reclaimable back ends that take requests.
    pub reclaimable_usable: u32,
    /// Whether an order of reclaimable ones was refused a moment ago.
    pub is_exhausted: bool,
}

/// What a plan starts from.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingInputs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its limits.
    pub limits: &'a ScalingLimits,
    /// The zones that may hold back ends.
    pub zones: &'a [ZoneSupply],
    /// Work that callers ask for at all nodes, in busy back ends: 1.0 keeps one fully busy.
    pub offered_load: f64,
    /// Back ends that each zone holds at least, within its limits: while the load is not known yet.
    pub floor: u32,
}

/// Part of its time that a back end should be busy at most.
const TARGET_UTILISATION: f64 = 0.5;
/// Reclaimable back ends that a zone holds whatever the load: headroom for bursts and losses.
const RECLAIMABLE_HEADROOM: u32 = 1;

/// The orders for one service: for each zone its lasting and its reclaimable back ends.
pub fn plan(inputs: &ScalingInputs<'_>) -> Vec<CapacityOrder> {
    let needed = needed_in_zone(inputs);
    inputs.zones.iter().flat_map(|supply| zone_orders(inputs, supply, needed)).collect()
}

/// Back ends that the offered load needs in each zone, within the limits.
fn needed_in_zone(inputs: &ScalingInputs<'_>) -> u32 {
    let needed_in_all = inputs.offered_load / TARGET_UTILISATION;
    let each = (needed_in_all / inputs.zones.len().max(1) as f64).ceil().max(0.0) as u32;
    let lowest = inputs.limits.minimum.max(1);
    each.max(inputs.floor).clamp(lowest, inputs.limits.maximum.max(lowest))
}

fn zone_orders(inputs: &ScalingInputs<'_>, supply: &ZoneSupply, needed: u32) -> Vec<CapacityOrder> {
    let lowest = inputs.limits.minimum.max(1);
    let order = |reclaimable, wanted| CapacityOrder {
        service: inputs.service.clone(),
        zone: supply.zone.clone(),
        reclaimable,
        wanted,
    };
    if inputs.limits.reclaimable_price.is_none() {
        return vec![order(false, needed)];
    }
    let lasting = if supply.is_exhausted {
        needed.saturating_sub(supply.reclaimable_usable).max(lowest)
    } else {
        lowest
    };
    let room = inputs.limits.maximum.saturating_sub(lasting);
    let reclaimable = needed.saturating_sub(lowest).max(RECLAIMABLE_HEADROOM).min(room);
    vec![order(false, lasting), order(true, reclaimable)]
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
    /// The key of orders of reclaimable back ends.
    pub fn reclaimable(service: &ServiceName, zone: &ZoneName) -> Self {
        Self { service: service.clone(), zone: zone.clone(), reclaimable: true }
    }

    /// The key of an order.
    pub fn of(order: &CapacityOrder) -> Self {
        Self { service: order.service.clone(), zone: order.zone.clone(), reclaimable: order.reclaimable }
    }
}
