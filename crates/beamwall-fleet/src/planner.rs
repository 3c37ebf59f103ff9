//! The planner: from what is wanted and what exists to what should be asked of the cloud.
//!
//! The cheapest set of machines that still holds the wanted replicas after the largest zone is
//! lost. If the fullest zone holds `c` machines, `replicas + c` are needed in all; every `c` is
//! tried and the cheapest total taken.

use std::collections::BTreeMap;

use beamwall_config::Placement;
use beamwall_model::{BackendId, ServiceName, ZoneName};
use beamwall_store::cloud::Offer;

/// A machine as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExistingMachine {
    /// Name.
    pub id: BackendId,
    /// Zone.
    pub zone: ZoneName,
    /// Service it runs.
    pub service: ServiceName,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// Price in millionths of the currency an hour.
    pub price_micros_per_hour: u64,
}

/// A machine that should be asked for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineStart {
    /// Service it will run.
    pub service: ServiceName,
    /// Zone.
    pub zone: ZoneName,
    /// Machine class.
    pub class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
}

/// What should be asked of the cloud.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Machines to ask for.
    pub starts: Vec<MachineStart>,
    /// Machines that are not needed.
    pub stops: Vec<BackendId>,
}

/// What the planner decides from.
#[derive(Debug, Clone, Default)]
pub struct PlanningInput {
    /// Placements of the settings tree.
    pub placements: Vec<Placement>,
    /// Machines that are held and not leaving.
    pub machines: Vec<ExistingMachine>,
    /// Prices now.
    pub offers: Vec<Offer>,
    /// Zones that lately refused a start, with the reclaimable mark asked for.
    pub refused: Vec<(ZoneName, bool)>,
}

/// Makes the plan.
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

/// The cheapest offer of each zone, of the allowed classes; a zone that lately refused reclaimable
/// machines is offered on demand.
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

/// Machines wanted in each zone: the cheapest counts that survive the loss of the fullest zone.
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

/// Makes enough of the starts on demand that the placement's minimum is met.
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
