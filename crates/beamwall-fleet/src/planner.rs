//! Placement planner: computes which machines to request from the cloud and which to release.
//!
//! The plan is the cheapest set of machines that still has the wanted number of replicas after the loss of
//! the zone with the most machines. If that zone has `c` machines, `replicas + c` machines are needed in
//! total. The planner tries every `c` and takes the cheapest total.

use std::collections::BTreeMap;

use beamwall_config::Placement;
use beamwall_model::{BackendId, ServiceName, ZoneName};
use beamwall_store::cloud::Offer;

/// A machine that exists or was requested, as input of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExistingMachine {
    /// Identifier of its back end.
    pub id: BackendId,
    /// Zone.
    pub zone: ZoneName,
    /// Service it runs.
    pub service: ServiceName,
    /// Whether the cloud may reclaim the machine.
    pub reclaimable: bool,
    /// Price per hour in millionths of the currency unit.
    pub price_micros_per_hour: u64,
}

/// A machine to request from the cloud.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineStart {
    /// Service it will run.
    pub service: ServiceName,
    /// Zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: String,
    /// Whether the cloud may reclaim the machine.
    pub reclaimable: bool,
}

/// Machines to request and to release.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Machines to request.
    pub starts: Vec<MachineStart>,
    /// Machines that are no longer needed.
    pub stops: Vec<BackendId>,
}

/// Input of the planner.
#[derive(Debug, Clone, Default)]
pub struct PlanningInput {
    /// Placements in the settings tree.
    pub placements: Vec<Placement>,
    /// Machines that exist or were requested and are not leaving.
    pub machines: Vec<ExistingMachine>,
    /// Current offers of the cloud with their prices.
    pub offers: Vec<Offer>,
    /// Zones that recently refused a machine, and whether a reclaimable one was requested.
    pub refused: Vec<(ZoneName, bool)>,
}

/// Computes the plan for all placements.
pub fn plan(input: &PlanningInput) -> PlacementPlan {
    let mut plan = PlacementPlan::default();
    for placement in &input.placements {
        plan_placement(input, placement, &mut plan);
    }
    plan
}

fn plan_placement(input: &PlanningInput, placement: &Placement, plan: &mut PlacementPlan) {
    let prices = cheapest_offers(input, placement);
    let wanted = machines_by_zone(placement, &prices);
    for zone in &placement.zones {
        let count = wanted.get(zone).copied().unwrap_or(0);
        let existing: Vec<&ExistingMachine> = input
            .machines
            .iter()
            .filter(|machine| machine.service == placement.service && &machine.zone == zone)
            .collect();
        add_stops(&existing, count, plan);
        if let Some(offer) = prices.get(zone) {
            add_starts(placement, offer, count.saturating_sub(existing.len()), plan);
        }
    }
    ensure_minimum_on_demand(input, placement, plan);
}

/// Returns the cheapest offer of each zone among the allowed machine classes. Where a zone recently refused
/// reclaimable machines, only its on-demand offers count, and vice versa.
fn cheapest_offers<'a>(input: &'a PlanningInput, placement: &Placement) -> BTreeMap<ZoneName, &'a Offer> {
    let allowed = |offer: &&Offer| {
        let class = placement.machine_classes.is_empty() || placement.machine_classes.contains(&offer.class);
        let refused = input.refused.iter().any(|(zone, refused_reclaimable)| {
            *zone == offer.zone && *refused_reclaimable == offer.reclaimable
        });
        class && placement.zones.contains(&offer.zone) && !refused
    };
    let mut cheapest: BTreeMap<ZoneName, &Offer> = BTreeMap::new();
    for offer in input.offers.iter().filter(allowed) {
        let best = cheapest.entry(offer.zone.clone()).or_insert(offer);
        if offer.price_micros_per_hour < best.price_micros_per_hour {
            *best = offer;
        }
    }
    cheapest
}

/// Returns the number of machines wanted in each zone: the cheapest numbers that leave enough replicas after
/// the loss of the zone with the most machines.
pub fn machines_by_zone(
    placement: &Placement,
    prices: &BTreeMap<ZoneName, &Offer>,
) -> BTreeMap<ZoneName, usize> {
    let replicas = placement.replicas;
    let mut zones: Vec<(&ZoneName, u64)> = placement
        .zones
        .iter()
        .map(|zone| {
            (zone, prices.get(zone).map_or(u64::MAX / 1_000_000, |offer| offer.price_micros_per_hour))
        })
        .collect();
    zones.sort_by(|left, right| left.1.cmp(&right.1).then_with(|| left.0.cmp(right.0)));
    if replicas == 0 || zones.is_empty() {
        return BTreeMap::new();
    }
    if zones.len() == 1 {
        return BTreeMap::from([(zones[0].0.clone(), replicas)]);
    }
    let min_fullest = replicas.div_ceil(zones.len() - 1);
    let candidates = (min_fullest..=replicas).map(|fullest| fill_zones(&zones, replicas + fullest, fullest));
    let cheapest = candidates.min_by_key(|counts| cost(&zones, counts)).unwrap_or_default();
    zones.iter().zip(cheapest).map(|((zone, _), count)| ((*zone).clone(), count)).collect()
}

/// Distributes `total` machines, at most `fullest` in each zone, cheapest zones first.
fn fill_zones(zones: &[(&ZoneName, u64)], total: usize, fullest: usize) -> Vec<usize> {
    let mut remaining = total;
    let allocate = |_: &(&ZoneName, u64)| {
        let count = remaining.min(fullest);
        remaining -= count;
        count
    };
    zones.iter().map(allocate).collect()
}

fn cost(zones: &[(&ZoneName, u64)], counts: &[usize]) -> u64 {
    zones.iter().zip(counts).map(|((_, price), count)| price * *count as u64).sum()
}

fn add_stops(existing: &[&ExistingMachine], wanted: usize, plan: &mut PlacementPlan) {
    let excess = existing.len().saturating_sub(wanted);
    let mut by_price: Vec<&&ExistingMachine> = existing.iter().collect();
    by_price.sort_by(|left, right| {
        right.price_micros_per_hour.cmp(&left.price_micros_per_hour).then_with(|| left.id.cmp(&right.id))
    });
    plan.stops.extend(by_price.into_iter().take(excess).map(|machine| machine.id.clone()));
}

fn add_starts(placement: &Placement, offer: &Offer, count: usize, plan: &mut PlacementPlan) {
    for _ in 0..count {
        plan.starts.push(MachineStart {
            service: placement.service.clone(),
            zone: offer.zone.clone(),
            class: offer.class.clone(),
            reclaimable: offer.reclaimable,
        });
    }
}

/// Changes reclaimable starts to on-demand ones until the placement's on-demand minimum is met.
fn ensure_minimum_on_demand(input: &PlanningInput, placement: &Placement, plan: &mut PlacementPlan) {
    let retained = |machine: &&ExistingMachine| {
        machine.service == placement.service && !machine.reclaimable && !plan.stops.contains(&machine.id)
    };
    let existing = input.machines.iter().filter(retained).count();
    let is_on_demand = |start: &&MachineStart| start.service == placement.service && !start.reclaimable;
    let started = plan.starts.iter().filter(is_on_demand).count();
    let missing = placement.minimum_on_demand.saturating_sub(existing + started);
    let starts =
        plan.starts.iter_mut().filter(|start| start.service == placement.service && start.reclaimable);
    for start in starts.take(missing) {
        start.reclaimable = false;
    }
}
