//! How many back ends each zone shall hold: one function from inputs to a plan.
//!
//! Reclaimable back ends cost a part of lasting ones, but a whole zone of them may go at short notice
//! and for a while none can be had. So one lasting back end is kept in all, which serves on whatever is taken
//! away, and the rest is reclaimable; what is wanted and can't be had as reclaimable is ordered as lasting.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::ScalingLimits;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ports::CapacityOrder;
use crate::sizing::Needed;

/// The state of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSupply {
    /// The zone.
    pub zone: ZoneName,
    /// Lasting back ends that take requests.
    pub on_demand_usable: u32,
    /// Reclaimable back ends that take requests.
    pub reclaimable_usable: u32,
    /// Lasting back ends that are ordered.
    pub on_demand_ordered: u32,
    /// Whether the last order of reclaimable ones was refused.
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
    /// Back ends that the work needs which callers ask for at all nodes.
    pub needed: Needed,
    /// Back ends in all zones that are kept whatever the work: while it is not known yet.
    pub floor: u32,
}

/// Reclaimable back ends that a zone holds whatever the load: headroom for bursts and losses.
const RECLAIMABLE_HEADROOM: u32 = 1;

/// The orders for one service: for each zone its lasting and its reclaimable back ends.
pub fn plan(inputs: &ScalingInputs<'_>) -> Vec<CapacityOrder> {
    let lowest = inputs.limits.minimum.max(1);
    let zones = cheapest_first(inputs);
    let needed = inputs.needed.usual.max(inputs.floor);
    if inputs.limits.reclaimable_price.is_none() {
        let parts = divide(needed.saturating_sub(lowest * zones.len() as u32), zones.len());
        let on_demand = |(zone, part): (&&ZoneSupply, u32)| order(inputs, zone, false, lowest + part);
        return zones.iter().zip(parts).map(on_demand).collect();
    }
    let bases = on_demand_bases(zones.len());
    let base = bases.iter().sum();
    let are_scarce = are_scarce(&zones, &bases);
    let missing = if are_scarce { missing_substitutes(inputs, base) } else { 0 };
    let substitutes = divide_substitutes(&zones, &bases, missing, lowest);
    let reclaimable = divide_reclaimable(&zones, needed.saturating_sub(base), are_scarce);
    let both = zones.iter().zip(bases).zip(substitutes.into_iter().zip(reclaimable));
    both.flat_map(|((zone, base), (substitutes, reclaimable))| {
        let on_demand = (base + substitutes).min(inputs.limits.maximum.max(lowest));
        let room = inputs.limits.maximum.saturating_sub(on_demand);
        let least = RECLAIMABLE_HEADROOM.max(lowest.saturating_sub(base));
        let reclaimable = reclaimable.max(least).min(room);
        [order(inputs, zone, false, on_demand), order(inputs, zone, true, reclaimable)]
    })
    .collect()
}

/// The zones by price, so that what does not divide evenly goes to the cheapest.
fn cheapest_first<'a>(inputs: &ScalingInputs<'a>) -> Vec<&'a ZoneSupply> {
    let price = |supply: &ZoneSupply| inputs.limits.zone_prices.get(&supply.zone).copied().unwrap_or(1.0);
    let mut zones: Vec<&ZoneSupply> = inputs.zones.iter().collect();
    zones
        .sort_by(|left, right| price(left).total_cmp(&price(right)).then_with(|| left.zone.cmp(&right.zone)));
    zones
}

/// Whether reclaimable back ends are scarce: a zone can't get any, or lasting ones still stand in for them.
fn are_scarce(zones: &[&ZoneSupply], bases: &[u32]) -> bool {
    zones.iter().zip(bases).any(|(zone, base)| zone.is_exhausted || zone.on_demand_ordered > *base)
}

/// Lasting back ends that each zone keeps beside reclaimable ones, cheapest zone first: one in all.
fn on_demand_bases(zones: usize) -> Vec<u32> {
    (0..zones).map(|position| u32::from(position == 0)).collect()
}

/// Divides stand-ins evenly; a zone that has lost its reclaimable ones and can't get any keeps its minimum, since it
/// may be cut off from the others next.
fn divide_substitutes(zones: &[&ZoneSupply], bases: &[u32], missing: u32, lowest: u32) -> Vec<u32> {
    let least = |zone: &ZoneSupply, base: u32| {
        let is_empty = zone.is_exhausted && zone.reclaimable_usable == 0;
        if is_empty { lowest.saturating_sub(base) } else { 0 }
    };
    let parts = divide(missing, zones.len()).into_iter();
    parts.zip(zones.iter().zip(bases)).map(|(part, (zone, base))| part.max(least(zone, *base))).collect()
}

/// Lasting back ends beyond the base that the work needs while reclaimable ones are scarce. While a zone
/// can't get any, they do the work also when the zone that holds the most loses them next; later they
/// stay until reclaimable ones take requests.
fn missing_substitutes(inputs: &ScalingInputs<'_>, base: u32) -> u32 {
    let usable_by_zone = || inputs.zones.iter().map(|supply| supply.reclaimable_usable);
    let present = base + usable_by_zone().sum::<u32>();
    let now = inputs.needed.standing_in.saturating_sub(present);
    if !inputs.zones.iter().any(|supply| supply.is_exhausted) {
        return now;
    }
    let left = present - usable_by_zone().max().unwrap_or(0);
    now.max(inputs.needed.after_loss.saturating_sub(left))
}

/// Divides reclaimable back ends evenly. While they are scarce, every zone keeps what it holds:
/// what is given back then can't be had again, and the next zone may be taken away meanwhile.
fn divide_reclaimable(zones: &[&ZoneSupply], needed: u32, are_scarce: bool) -> Vec<u32> {
    let parts = divide(needed, zones.len());
    if !are_scarce {
        return parts;
    }
    zones.iter().zip(parts).map(|(zone, part)| part.max(zone.reclaimable_usable)).collect()
}

/// Divides a number into equal parts; the first parts are larger by one where it does not go evenly.
fn divide(number: u32, parts: usize) -> Vec<u32> {
    let parts = parts.max(1) as u32;
    (0..parts).map(|position| number / parts + u32::from(position < number % parts)).collect()
}

fn order(inputs: &ScalingInputs<'_>, supply: &ZoneSupply, reclaimable: bool, wanted: u32) -> CapacityOrder {
    let wanted = wanted.min(inputs.limits.maximum.max(inputs.limits.minimum.max(1)));
    CapacityOrder { service: inputs.service.clone(), zone: supply.zone.clone(), reclaimable, wanted }
}

/// An order that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmittedOrder {
    /// How many were ordered.
    pub wanted: u32,
    /// When.
    pub at: Instant,
    /// Most that were seen since to take requests.
    most_usable: u32,
}

impl SubmittedOrder {
    /// An order given now.
    pub fn new(wanted: u32, at: Instant) -> Self {
        Self { wanted, at, most_usable: 0 }
    }

    /// Whether some of its back ends were there and are not any more.
    fn has_lost(&self, usable: u32) -> bool {
        usable < self.most_usable.min(self.wanted)
    }
}

/// Time beyond the boot time after which ordered back ends that are missing are ordered again.
const REORDER_MARGIN: Duration = Duration::from_secs(2);

/// Notes what takes requests now of what was ordered for a service.
pub fn note_usable(
    submitted: &mut BTreeMap<OrderKey, SubmittedOrder>,
    service: &ServiceName,
    zones: &[ZoneSupply],
) {
    for (key, order) in submitted.iter_mut().filter(|(key, _)| key.service == *service) {
        order.most_usable = order.most_usable.max(usable(zones, key));
    }
}

/// The orders of `plan` that are due: those that differ from what was last ordered, and those whose back ends are missing although
/// they had time to boot, or because they crashed or were taken away. These are ordered again at once: if none can be had
/// now, others are ordered in their place before more are taken.
pub fn orders_due(
    plan: &[CapacityOrder],
    submitted: &BTreeMap<OrderKey, SubmittedOrder>,
    inputs: &ScalingInputs<'_>,
    now: Instant,
) -> Vec<CapacityOrder> {
    let reorder_delay = Duration::from_millis(inputs.limits.boot_ms) + REORDER_MARGIN;
    let is_due = |order: &&CapacityOrder| {
        let key = OrderKey::of(order);
        let Some(last) = submitted.get(&key).filter(|last| last.wanted == order.wanted) else { return true };
        let usable = usable(inputs.zones, &key);
        let is_late = usable < order.wanted && now.duration_since(last.at) >= reorder_delay;
        is_late || last.has_lost(usable)
    };
    plan.iter().filter(is_due).cloned().collect()
}

/// Back ends of one kind that take requests.
fn usable(zones: &[ZoneSupply], key: &OrderKey) -> u32 {
    let Some(supply) = zones.iter().find(|supply| supply.zone == key.zone) else { return 0 };
    if key.reclaimable { supply.reclaimable_usable } else { supply.on_demand_usable }
}

/// What an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    service: ServiceName,
    zone: ZoneName,
    reclaimable: bool,
}

impl OrderKey {
    /// The key of orders of one kind of back end.
    pub fn new(service: &ServiceName, zone: &ZoneName, reclaimable: bool) -> Self {
        Self { service: service.clone(), zone: zone.clone(), reclaimable }
    }

    /// The key of an order.
    pub fn of(order: &CapacityOrder) -> Self {
        Self { service: order.service.clone(), zone: order.zone.clone(), reclaimable: order.reclaimable }
    }
}
