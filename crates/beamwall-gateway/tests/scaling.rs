//! The scaling plan for any load and supply of back ends.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{
    OrderKey, ScalingInputs, SubmittedOrder, SupplyOutlook, ZoneSupply, missing_substitutes, note_usable,
    orders_due, plan,
};
use beamwall_gateway::sizing::Needed;
use beamwall_model::ServiceName;
use beamwall_policy::ScalingLimits;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

fn limits(reclaimable: bool) -> ScalingLimits {
    ScalingLimits {
        minimum: 1,
        maximum: 6,
        boot_ms: 4_000,
        reclaimable_price: reclaimable.then_some(0.22),
        zone_prices: BTreeMap::new(),
    }
}

/// The inputs of a plan for the service under test.
fn inputs<'a>(
    service: &'a ServiceName,
    limits: &'a ScalingLimits,
    zones: &'a [ZoneSupply],
    offered_load: f64,
    floor: u32,
) -> ScalingInputs<'a> {
    ScalingInputs { service, limits, zones, needed: needed_for(offered_load), floor }
}

/// Back ends needed for a load, given in fully busy back ends, at the utilization allowed normally, while
/// on-demand back ends substitute for reclaimable ones, and after the loss of a zone.
fn needed_for(offered_load: f64) -> Needed {
    let count = |busy: f64| (offered_load / busy).ceil() as u32;
    Needed { usual: count(0.33), standing_in: count(0.6), after_loss: count(0.85) }
}

/// The orders of a plan as pairs: whether the order is for reclaimable back ends, and the wanted number.
fn planned(limits: &ScalingLimits, zones: &[ZoneSupply], offered_load: f64, floor: u32) -> Vec<(bool, u32)> {
    let orders = plan(&inputs(&"model".into(), limits, zones, offered_load, floor));
    orders.iter().map(|order| (order.reclaimable, order.wanted)).collect()
}

/// The supply of a zone. The one on-demand back end that is always kept is in zone `a`.
fn supply(zone: &str, reclaimable_usable: u32, is_exhausted: bool) -> ZoneSupply {
    let on_demand = u32::from(zone == "a");
    ZoneSupply {
        zone: zone.into(),
        on_demand_usable: on_demand,
        reclaimable_usable,
        on_demand_ordered: on_demand,
        is_exhausted,
    }
}

#[test]
fn an_idle_zone_keeps_one_on_demand_and_one_reclaimable() {
    let zones = [supply("a", 0, false)];
    assert_eq!(planned(&limits(true), &zones, 0.0, 0), [(false, 1), (true, 1)]);
}

fn wanted_at(load: f64, zones: &[ZoneSupply], limits: &ScalingLimits, reclaimable: bool) -> Vec<u32> {
    let orders = planned(limits, zones, load, 0).into_iter();
    orders.filter(|(is_reclaimable, _)| *is_reclaimable == reclaimable).map(|(_, wanted)| wanted).collect()
}

/// Guards against: after reclaims only three on-demand engines are left, and no reclaimable ones are
/// available for 13 s.
#[test]
fn unavailable_reclaimable_back_ends_are_ordered_as_on_demand() {
    let zones = [supply("a", 0, true), supply("b", 1, false)];
    let limits = limits(true);
    // Load 3.6 needs six back ends at the substitution utilization. Two on-demand and one reclaimable are
    // available.
    assert_eq!(wanted_at(3.6, &zones, &limits, false), [3, 2]);
    // Headroom alone does not justify on-demand back ends.
    assert_eq!(wanted_at(0.0, &zones, &limits, false), [1, 0]);
}

#[test]
fn the_remainder_goes_to_the_cheapest_zone() {
    let zones = [supply("a", 0, false), supply("b", 0, false)];
    let mut limits = limits(true);
    limits.zone_prices = [("a".into(), 1.2), ("b".into(), 0.85)].into();
    let service = "model".into();
    let inputs = ScalingInputs {
        service: &service,
        limits: &limits,
        zones: &zones,
        needed: needed_for(1.3),
        floor: 0,
    };
    let orders = plan(&inputs);
    let reclaimable: Vec<(&str, u32)> = orders
        .iter()
        .filter(|order| order.reclaimable)
        .map(|order| (order.zone.as_str(), order.wanted))
        .collect();
    assert_eq!(reclaimable, [("b", 2), ("a", 1)]);
}

#[test]
fn any_plan_keeps_to_the_limits_and_carries_the_load() {
    on_seeds(2_000, |random| {
        let limits = limits(random.arbitrary()?);
        let offered_load = f64::from(random.int_in_range(0..=200_u32)?) / 10.0;
        let zones: Vec<ZoneSupply> = ["a", "b", "c"]
            .iter()
            .map(|zone| Ok(supply(zone, random.int_in_range(0..=6)?, random.arbitrary()?)))
            .collect::<arbtest::arbitrary::Result<_>>()?;
        let inputs = ScalingInputs {
            service: &"model".into(),
            limits: &limits,
            zones: &zones,
            needed: needed_for(offered_load),
            floor: random.int_in_range(0..=8)?,
        };
        let orders = plan(&inputs);
        for zone in &zones {
            let of_zone = orders.iter().filter(|order| order.zone == zone.zone);
            let total: u32 = of_zone.map(|order| order.wanted).sum();
            assert!((limits.minimum..=limits.maximum).contains(&total), "{total} back ends in a zone");
        }
        let total: u32 = orders.iter().map(|order| order.wanted).sum();
        let all = limits.maximum * zones.len() as u32;
        assert!(total >= all.min(offered_load.ceil() as u32), "{total} back ends for load {offered_load}");
        Ok(())
    });
}

/// Guards against: four on-demand engines per zone are ordered and released every five seconds under high
/// load.
#[test]
fn substitutes_stay_until_reclaimable_back_ends_take_requests() {
    let limits = limits(true);
    let on_demand = |supply: ZoneSupply| {
        let zones = [supply];
        planned(&limits, &zones, 1.8, 0)[0].1
    };
    assert_eq!(on_demand(supply("a", 0, true)), 3);
    let booting = ZoneSupply { on_demand_ordered: 4, ..supply("a", 0, false) };
    assert_eq!(on_demand(booting.clone()), 3, "the order was accepted, but no back end serves yet");
    assert_eq!(on_demand(ZoneSupply { reclaimable_usable: 1, ..booting.clone() }), 2);
    assert_eq!(on_demand(ZoneSupply { reclaimable_usable: 2, ..booting }), 1);
}

#[test]
fn orders_are_due_when_they_differ_or_their_back_ends_are_missing() {
    let limits = limits(true);
    let zones = [supply("a", 1, false)];
    let inputs = ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        needed: needed_for(0.0),
        floor: 0,
    };
    let orders = plan(&inputs);
    let at = Instant::now();
    let mut submitted: BTreeMap<OrderKey, SubmittedOrder> =
        orders.iter().map(|order| (OrderKey::of(order), SubmittedOrder::new(order.wanted, at))).collect();
    let later = at + Duration::from_secs(60);
    assert!(orders_due(&orders, &submitted, &inputs, later).is_empty());
    // The reclaimable back end was reclaimed. It is ordered again after the time that it would have needed to
    // boot.
    let remaining = [supply("a", 0, false)];
    let inputs = ScalingInputs { zones: &remaining, ..inputs };
    assert!(orders_due(&orders, &submitted, &inputs, at + Duration::from_secs(5)).is_empty());
    assert_eq!(orders_due(&orders, &submitted, &inputs, later), [orders[1].clone()]);
    submitted.insert(OrderKey::of(&orders[0]), SubmittedOrder::new(5, at));
    assert_eq!(orders_due(&orders, &submitted, &inputs, at), [orders[0].clone()]);
}

/// Guards against: a zone's reclaimable back ends are reclaimed while no others are available, and the duties
/// lease holder notices only after their boot time. No on-demand back ends were ordered before all gateways
/// were killed two seconds later.
#[test]
fn reclaimed_back_ends_are_ordered_again_at_once() {
    let limits = limits(true);
    let service: ServiceName = "model".into();
    let inputs = |zones| ScalingInputs {
        service: &service,
        limits: &limits,
        zones,
        needed: needed_for(2.8),
        floor: 0,
    };
    let (all, fewer) = ([supply("a", 3, false)], [supply("a", 2, false)]);
    let orders = plan(&inputs(&all));
    let at = Instant::now();
    let submitted_now = |order: &CapacityOrder| (OrderKey::of(order), SubmittedOrder::new(order.wanted, at));
    let mut submitted: BTreeMap<OrderKey, SubmittedOrder> = orders.iter().map(submitted_now).collect();
    let soon = at + Duration::from_millis(500);
    assert!(
        orders_due(&orders, &submitted, &inputs(&fewer), soon).is_empty(),
        "the back ends are still booting"
    );
    note_usable(&mut submitted, &service, &all);
    assert!(orders_due(&orders, &submitted, &inputs(&all), soon).is_empty());
    note_usable(&mut submitted, &service, &fewer);
    assert_eq!(orders_due(&orders, &submitted, &inputs(&fewer), soon), [orders[1].clone()]);
    // After the new order, the back end gets time to boot.
    submitted.insert(OrderKey::of(&orders[1]), SubmittedOrder::new(orders[1].wanted, soon));
    note_usable(&mut submitted, &service, &fewer);
    assert!(orders_due(&orders, &submitted, &inputs(&fewer), soon + Duration::from_millis(500)).is_empty());
}

/// Guards against: three zones lose their reclaimable engines one after another, six seconds apart, while
/// on-demand engines take four seconds to boot each time.
#[test]
fn substitutes_carry_the_load_through_the_next_loss() {
    let limits = ScalingLimits { maximum: 46, ..limits(true) };
    let zones = [supply("a", 0, true), supply("b", 10, false), supply("c", 10, false)];
    // Load 13.8 needs 23 back ends now, which are available, and 17 after another zone has lost its ten.
    assert_eq!(wanted_at(13.8, &zones, &limits, false), [3, 2, 2]);
    let recovered = [supply("a", 10, false), supply("b", 10, false), supply("c", 10, false)];
    assert_eq!(wanted_at(13.8, &recovered, &limits, false), [1, 0, 0]);
}

/// Guards against: the duties lease moves to another node while no reclaimable engines are available. The new
/// holder ordered one on-demand engine per zone, and 18 substitutes were released.
#[test]
fn a_new_lease_holder_keeps_existing_substitutes() {
    let limits = ScalingLimits { maximum: 46, ..limits(true) };
    let found = |zone| ZoneSupply { on_demand_usable: 6, on_demand_ordered: 6, ..supply(zone, 5, false) };
    let zones = [found("a"), found("b")];
    // Load 12 needs twenty back ends: ten reclaimable and ten on-demand ones.
    assert_eq!(wanted_at(12.0, &zones, &limits, false), [6, 4]);
    let held: u32 = wanted_at(1.0, &zones, &limits, true).iter().sum();
    assert_eq!(held, 10, "the new holder does not know whether more are available");
}

/// Guards against: in a large deployment, engines are released before the first request and are missing for
/// ten seconds.
#[test]
fn the_floor_is_ordered_as_reclaimable_while_the_load_is_unknown() {
    let zones = [supply("a", 0, false)];
    assert_eq!(planned(&limits(true), &zones, 0.0, 5), [(false, 1), (true, 4)]);
}

/// Guards against: in a large deployment under low load, one zone's engines are reclaimed, none are available
/// anywhere, and the plan releases a third of the others at that moment. The next zone was reclaimed five
/// seconds later.
#[test]
fn other_zones_keep_their_back_ends_while_one_zone_cannot_get_its_share() {
    let limits = ScalingLimits { maximum: 46, ..limits(true) };
    let held = |zones: &[ZoneSupply]| wanted_at(6.5, zones, &limits, true);
    let zones = [supply("a", 0, true), supply("b", 9, false), supply("c", 9, false)];
    assert_eq!(held(&zones), [7, 9, 9]);
    let recovered = [supply("a", 6, false), supply("b", 9, false), supply("c", 9, false)];
    assert_eq!(held(&recovered), [7, 6, 6]);
}

/// The zone may be partitioned from the others next and must then serve its own callers.
#[test]
fn a_zone_without_available_reclaimable_back_ends_keeps_its_minimum_as_on_demand() {
    let zones = [supply("a", 9, false), supply("b", 9, false), supply("c", 0, true)];
    let limits = ScalingLimits { maximum: 46, ..limits(true) };
    assert_eq!(wanted_at(1.0, &zones, &limits, false), [1, 0, 1]);
}

/// Guards against: slow engines are counted like fast ones, and too few substitutes are ordered.
#[test]
fn substitutes_are_planned_by_the_room_that_is_left() {
    let limits = ScalingLimits { maximum: 46, ..limits(true) };
    let zones = [supply("a", 0, true), supply("b", 10, false), supply("c", 10, false)];
    let service = "model".into();
    let inputs = inputs(&service, &limits, &zones, 13.5, 0);
    let missing = |room: &[(&str, f64)], losses| {
        let room = room.iter().map(|(zone, room)| ((*zone).into(), *room)).collect();
        let missing = missing_substitutes(&inputs, &SupplyOutlook { room, losses });
        (missing.now, missing.after_loss)
    };
    // Load 13.5 needs 23 standard back ends now and 16 after a loss.
    assert_eq!(missing(&[], 1), (2, 5));
    assert_eq!(missing(&[("b", 5.0)], 1), (7, 10));
    assert_eq!(missing(&[("b", 24.0)], 1), (0, 5));
    assert_eq!(missing(&[], 2), (2, 15));
}
