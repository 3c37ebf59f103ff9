//! Plans how many back ends each zone should have, as a function from inputs to capacity orders.
//!
//! Reclaimable back ends cost a fraction of the price of on-demand ones, but all of a zone's may be reclaimed
//! at short notice, and for a while no new ones may be available. One on-demand back end in total is
//! therefore kept, which keeps serving even if everything else is reclaimed, and the rest are reclaimable.
//! Reclaimable back ends that are needed but not available are replaced by on-demand ones.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::{ServiceName, ZoneName};
use beamwall_policy::ScalingLimits;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::ports::CapacityOrder;
use crate::sizing::Needed;

/// The current supply of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSupply {
    /// The zone.
    pub zone: ZoneName,
    /// On-demand back ends that accept requests.
    pub on_demand_usable: u32,
    /// Reclaimable back ends that accept requests.
    pub reclaimable_usable: u32,
    /// On-demand back ends that are ordered.
    pub on_demand_ordered: u32,
    /// Whether the last order of reclaimable back ends was refused.
    pub is_exhausted: bool,
}

/// Inputs of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingInputs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The service's scaling limits.
    pub limits: &'a ScalingLimits,
    /// The zones in which back ends may be ordered.
    pub zones: &'a [ZoneSupply],
    /// Number of back ends needed for the demand at all nodes.
    pub needed: Needed,
    /// Minimum number of back ends over all zones regardless of demand, used while the demand is not known.
    pub floor: u32,
}

/// Reclaimable back ends that each zone keeps regardless of load, as headroom for bursts and losses.
const RECLAIMABLE_HEADROOM: u32 = 1;

/// What a plan assumes of the supply of reclaimable back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct SupplyOutlook {
    /// Capacity of the usable reclaimable back ends by zone, in standard back ends. Those of a zone without
    /// an entry count as one each.
    pub room: BTreeMap<ZoneName, f64>,
    /// Further zones that may lose their reclaimable back ends before an order placed now serves.
    pub losses: usize,
}

impl Default for SupplyOutlook {
    fn default() -> Self {
        Self { room: BTreeMap::new(), losses: 1 }
    }
}

impl SupplyOutlook {
    /// Room of one zone.
    pub fn room_of(&self, supply: &ZoneSupply) -> f64 {
        self.room.get(&supply.zone).copied().unwrap_or(f64::from(supply.reclaimable_usable))
    }

    /// Room of all zones together.
    fn total_room(&self, zones: &[ZoneSupply]) -> f64 {
        zones.iter().map(|supply| self.room_of(supply)).sum()
    }

    /// Room of the zones that may be lost next: those with the most.
    fn room_at_risk(&self, zones: &[ZoneSupply]) -> f64 {
        let mut rooms: Vec<f64> = zones.iter().map(|supply| self.room_of(supply)).collect();
        rooms.sort_by(|left, right| right.total_cmp(left));
        rooms.iter().take(self.losses).sum()
    }
}

/// Plans the orders of one service: on-demand and reclaimable back ends for each zone.
pub fn plan(inputs: &ScalingInputs<'_>) -> Vec<CapacityOrder> {
    plan_with(inputs, &SupplyOutlook::default(), |missing| missing)
}

/// Plans the orders of one service. `substitutes` turns the number of on-demand substitutes that are missing
/// while reclaimable back ends are scarce into the number to order.
pub fn plan_with(
    inputs: &ScalingInputs<'_>,
    outlook: &SupplyOutlook,
    substitutes: impl FnOnce(u32) -> u32,
) -> Vec<CapacityOrder> {
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
    let missing = if are_scarce { substitutes(missing_substitutes(inputs, outlook).total()) } else { 0 };
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

/// The zones ordered by price, so that the remainder of an uneven division goes to the cheapest.
fn cheapest_first<'a>(inputs: &ScalingInputs<'a>) -> Vec<&'a ZoneSupply> {
    let price = |supply: &ZoneSupply| inputs.limits.zone_prices.get(&supply.zone).copied().unwrap_or(1.0);
    let mut zones: Vec<&ZoneSupply> = inputs.zones.iter().collect();
    zones
        .sort_by(|left, right| price(left).total_cmp(&price(right)).then_with(|| left.zone.cmp(&right.zone)));
    zones
}

/// Whether reclaimable back ends are scarce: a zone can't get any, or on-demand substitutes are still
/// running.
fn are_scarce(zones: &[&ZoneSupply], bases: &[u32]) -> bool {
    zones.iter().zip(bases).any(|(zone, base)| zone.is_exhausted || zone.on_demand_ordered > *base)
}

/// On-demand back ends that all zones together keep in addition to reclaimable ones.
pub fn on_demand_base(zones: usize) -> u32 {
    on_demand_bases(zones).iter().sum()
}

/// On-demand back ends that each zone keeps in addition to reclaimable ones, cheapest zone first: one in
/// total.
fn on_demand_bases(zones: usize) -> Vec<u32> {
    (0..zones).map(|position| u32::from(position == 0)).collect()
}

/// Divides substitutes evenly. A zone that has lost all its reclaimable back ends and can't get new ones
/// keeps its minimum, since it may become isolated from the other zones next.
fn divide_substitutes(zones: &[&ZoneSupply], bases: &[u32], missing: u32, lowest: u32) -> Vec<u32> {
    let least = |zone: &ZoneSupply, base: u32| {
        let is_empty = zone.is_exhausted && zone.reclaimable_usable == 0;
        if is_empty { lowest.saturating_sub(base) } else { 0 }
    };
    let parts = divide(missing, zones.len()).into_iter();
    parts.zip(zones.iter().zip(bases)).map(|(part, (zone, base))| part.max(least(zone, *base))).collect()
}

/// On-demand back ends beyond the base that are needed while reclaimable ones are scarce.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MissingSubstitutes {
    /// For the work now.
    pub now: u32,
    /// For the work after the next loss; 0 while every zone can get reclaimable back ends.
    pub after_loss: u32,
}

impl MissingSubstitutes {
    /// The number that is enough for both.
    pub fn total(self) -> u32 {
        self.now.max(self.after_loss)
    }
}

/// Computes the missing substitutes. While a zone can't get any reclaimable back ends, the remaining back
/// ends must handle the load even if the zones with the most of them lose them next. After that, substitutes
/// stay until reclaimable back ends accept requests.
pub fn missing_substitutes(inputs: &ScalingInputs<'_>, outlook: &SupplyOutlook) -> MissingSubstitutes {
    let present = f64::from(on_demand_base(inputs.zones.len())) + outlook.total_room(inputs.zones);
    let beyond = |needed: u32, room: f64| (f64::from(needed) - room).max(0.0).ceil() as u32;
    let now = beyond(inputs.needed.standing_in, present);
    if !inputs.zones.iter().any(|supply| supply.is_exhausted) {
        return MissingSubstitutes { now, after_loss: 0 };
    }
    let remaining_after_loss = present - outlook.room_at_risk(inputs.zones);
    MissingSubstitutes { now, after_loss: beyond(inputs.needed.after_loss, remaining_after_loss) }
}

/// Divides reclaimable back ends evenly. While they are scarce, every zone keeps those that it has: they
/// could not be ordered again once released, and the next zone may lose its own in the meantime.
fn divide_reclaimable(zones: &[&ZoneSupply], needed: u32, are_scarce: bool) -> Vec<u32> {
    let parts = divide(needed, zones.len());
    if !are_scarce {
        return parts;
    }
    zones.iter().zip(parts).map(|(zone, part)| part.max(zone.reclaimable_usable)).collect()
}

/// Divides a number into equal parts; if there is a remainder, the first parts are larger by one.
fn divide(number: u32, parts: usize) -> Vec<u32> {
    let parts = parts.max(1) as u32;
    (0..parts).map(|position| number / parts + u32::from(position < number % parts)).collect()
}

fn order(inputs: &ScalingInputs<'_>, supply: &ZoneSupply, reclaimable: bool, wanted: u32) -> CapacityOrder {
    let wanted = wanted.min(inputs.limits.maximum.max(inputs.limits.minimum.max(1)));
    CapacityOrder { service: inputs.service.clone(), zone: supply.zone.clone(), reclaimable, wanted }
}

/// A submitted capacity order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmittedOrder {
    /// Number of back ends ordered.
    pub wanted: u32,
    /// Time of the order.
    pub at: Instant,
    /// Largest number of back ends seen accepting requests since then.
    most_usable: u32,
}

impl SubmittedOrder {
    /// Creates a record of an order submitted at `at`.
    pub fn new(wanted: u32, at: Instant) -> Self {
        Self { wanted, at, most_usable: 0 }
    }

    /// Whether back ends of the order were usable and no longer are.
    fn has_lost(&self, usable: u32) -> bool {
        usable < self.most_usable.min(self.wanted)
    }
}

/// Margin added to the boot time before missing back ends are ordered again.
const REORDER_MARGIN: Duration = Duration::from_secs(2);

/// Records how many back ends of a service's orders accept requests now.
pub fn note_usable(
    submitted: &mut BTreeMap<OrderKey, SubmittedOrder>,
    service: &ServiceName,
    zones: &[ZoneSupply],
) {
    for (key, order) in submitted.iter_mut().filter(|(key, _)| key.service == *service) {
        order.most_usable = order.most_usable.max(usable(zones, key));
    }
}

/// The orders of `plan` that must be submitted: those that differ from the last submitted order, and those
/// whose back ends are missing although they had time to boot, or because they crashed or were reclaimed. The
/// latter are ordered again immediately: if none are available, substitutes are ordered before further back
/// ends are reclaimed.
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

/// Back ends of one kind that accept requests.
fn usable(zones: &[ZoneSupply], key: &OrderKey) -> u32 {
    let Some(supply) = zones.iter().find(|supply| supply.zone == key.zone) else { return 0 };
    if key.reclaimable { supply.reclaimable_usable } else { supply.on_demand_usable }
}

/// Identifies the subject of an order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    service: ServiceName,
    zone: ZoneName,
    reclaimable: bool,
}

impl OrderKey {
    /// The key of orders for one kind of back end.
    pub fn new(service: &ServiceName, zone: &ZoneName, reclaimable: bool) -> Self {
        Self { service: service.clone(), zone: zone.clone(), reclaimable }
    }

    /// The key of an order.
    pub fn of(order: &CapacityOrder) -> Self {
        Self { service: order.service.clone(), zone: order.zone.clone(), reclaimable: order.reclaimable }
    }
}
