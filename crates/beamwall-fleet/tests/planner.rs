//! Tests of the planner, among others against a brute-force search over all distributions of machines.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_config::Placement;
use beamwall_fleet::planner::{ExistingMachine, MachineStart, PlanningInput, machines_by_zone, plan};
use beamwall_model::{BackendId, ServiceName, ZoneName};
use beamwall_store::cloud::Offer;

fn placement(zones: usize, replicas: usize, on_demand: usize) -> Placement {
    Placement {
        path: "/p".parse().expect("a path"),
        service: ServiceName::new("s"),
        zones: (0..zones).map(|number| ZoneName::new(format!("z{number}"))).collect(),
        replicas,
        minimum_on_demand: on_demand,
        machine_classes: Vec::new(),
    }
}

fn offers(prices: &[u64]) -> Vec<Offer> {
    let offer = |number: usize, price: u64, reclaimable: bool| Offer {
        zone: ZoneName::new(format!("z{number}")),
        class: "large".to_owned(),
        reclaimable,
        price_micros_per_hour: price,
    };
    let both =
        |(number, price): (usize, &u64)| [offer(number, *price, true), offer(number, price * 3, false)];
    prices.iter().enumerate().flat_map(both).collect()
}

/// Lowest cost of all distributions that keep `replicas` machines after the loss of the fullest zone.
fn brute_force_cost(prices: &[u64], replicas: usize) -> u64 {
    fn search(prices: &[u64], replicas: usize, chosen: &mut Vec<usize>) -> u64 {
        if chosen.len() == prices.len() {
            let total: usize = chosen.iter().sum();
            let fullest = chosen.iter().max().copied().unwrap_or(0);
            let survives = prices.len() == 1 && total >= replicas || total - fullest >= replicas;
            let cost = chosen.iter().zip(prices).map(|(count, price)| *count as u64 * price).sum();
            return if survives { cost } else { u64::MAX };
        }
        let mut best = u64::MAX;
        for count in 0..=replicas {
            chosen.push(count);
            best = best.min(search(prices, replicas, chosen));
            chosen.pop();
        }
        best
    }
    search(prices, replicas, &mut Vec::new())
}

fn cost_equals_brute_force(input: &mut Unstructured<'_>) -> Result<()> {
    let zones = input.int_in_range(1..=4)?;
    let replicas = input.int_in_range(0..=6)?;
    let prices: Vec<u64> = (0..zones).map(|_| input.int_in_range(1..=20)).collect::<Result<_>>()?;
    let placement = placement(zones, replicas, 0);
    let offered = offers(&prices);
    let cheapest: BTreeMap<ZoneName, &Offer> =
        offered.iter().filter(|offer| offer.reclaimable).map(|offer| (offer.zone.clone(), offer)).collect();
    let chosen = machines_by_zone(&placement, &cheapest);
    let cost: u64 =
        chosen.iter().map(|(zone, count)| cheapest[zone].price_micros_per_hour * *count as u64).sum();
    assert_eq!(
        cost,
        brute_force_cost(&prices, replicas),
        "zones {zones}, replicas {replicas}, prices {prices:?}: {chosen:?}"
    );
    Ok(())
}

#[test]
fn the_cheapest_distribution_that_survives_the_loss_of_a_zone() {
    for seed in 1..200_u64 {
        arbtest(cost_equals_brute_force).seed((seed << 32) | 0x200);
    }
}

fn existing(start: &MachineStart, number: usize) -> ExistingMachine {
    ExistingMachine {
        id: BackendId::new(format!("m{number}")),
        zone: start.zone.clone(),
        service: start.service.clone(),
        reclaimable: start.reclaimable,
        price_micros_per_hour: 1,
    }
}

#[test]
fn an_executed_plan_requests_no_further_change() {
    for (zones, replicas, on_demand) in [(3, 6, 3), (3, 2, 0), (1, 4, 4), (4, 7, 2), (2, 3, 1)] {
        let prices: Vec<u64> = (1..=zones as u64).collect();
        let mut input = PlanningInput {
            placements: vec![placement(zones, replicas, on_demand)],
            offers: offers(&prices),
            ..PlanningInput::default()
        };
        let first = plan(&input);
        assert!(first.stops.is_empty());
        let kept = first.starts.iter().filter(|start| !start.reclaimable).count();
        assert!(kept >= on_demand, "{kept} on demand, {on_demand} wanted");
        input.machines =
            first.starts.iter().enumerate().map(|(number, start)| existing(start, number)).collect();
        assert_eq!(plan(&input), Default::default(), "zones {zones}, replicas {replicas}");
    }
}

#[test]
fn a_zone_that_refused_reclaimable_machines_gets_on_demand_machines() {
    let mut input = PlanningInput {
        placements: vec![placement(3, 2, 0)],
        offers: offers(&[1, 1, 1]),
        ..PlanningInput::default()
    };
    input.refused = vec![(ZoneName::new("z1"), true)];
    let starts = plan(&input).starts;
    let in_zone = |zone: &str| starts.iter().filter(|start| start.zone.as_str() == zone).count();
    // Two zones with two machines each cost 4; three with one each, one of them on demand, cost 5.
    assert_eq!((in_zone("z0"), in_zone("z1"), in_zone("z2")), (2, 0, 2));
    input.placements = vec![placement(2, 2, 0)];
    let starts = plan(&input).starts;
    assert!(starts.iter().any(|start| start.zone.as_str() == "z1"), "both zones are needed");
    assert!(starts.iter().all(|start| start.zone.as_str() != "z1" || !start.reclaimable));
}
