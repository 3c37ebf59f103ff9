//! The plan of back ends for any load and supply.

use std::collections::BTreeMap;

use arbtest::arbtest;
use beamwall_gateway::scaling::{OrderKey, ScalingInputs, ZoneSupply, changed, plan};
use beamwall_policy::ScalingLimits;

fn limits(reclaimable: bool) -> ScalingLimits {
    ScalingLimits {
        minimum: 1,
        maximum: 6,
        boot_ms: 4_000,
        reclaimable_price: reclaimable.then_some(0.22),
        zone_prices: BTreeMap::new(),
    }
}

fn supply(zone: &str, reclaimable_usable: u32, is_exhausted: bool) -> ZoneSupply {
    ZoneSupply { zone: zone.into(), reclaimable_usable, is_exhausted }
}

#[test]
fn an_idle_zone_keeps_one_lasting_and_one_reclaimable() {
    let zones = [supply("a", 0, false)];
    let limits = limits(true);
    let orders = plan(&ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        offered_load: 0.0,
        floor: 0,
    });
    let wanted: Vec<(bool, u32)> = orders.iter().map(|order| (order.reclaimable, order.wanted)).collect();
    assert_eq!(wanted, [(false, 1), (true, 1)]);
}

/// On a busy day a reclaim left three lasting engines and none could be had for 13 s.
#[test]
fn what_cannot_be_had_as_reclaimable_is_ordered_as_lasting() {
    let zones = [supply("a", 0, true), supply("b", 3, false)];
    let limits = limits(true);
    let orders = plan(&ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        offered_load: 4.0,
        floor: 0,
    });
    let lasting: Vec<u32> =
        orders.iter().filter(|order| !order.reclaimable).map(|order| order.wanted).collect();
    assert_eq!(lasting, [4, 1]);
    // Headroom alone is not worth lasting ones.
    let idle = plan(&ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        offered_load: 0.0,
        floor: 0,
    });
    assert!(idle.iter().all(|order| order.wanted == 1));
}

#[test]
fn any_plan_keeps_to_the_limits_and_carries_the_load() {
    arbtest(|random| {
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
            offered_load,
            floor: random.int_in_range(0..=8)?,
        };
        let orders = plan(&inputs);
        for zone in &zones {
            let of_zone = orders.iter().filter(|order| order.zone == zone.zone);
            let total: u32 = of_zone.map(|order| order.wanted).sum();
            assert!((limits.minimum..=limits.maximum).contains(&total), "{total} in a zone");
        }
        let total: u32 = orders.iter().map(|order| order.wanted).sum();
        let all = limits.maximum * zones.len() as u32;
        assert!(total >= all.min(offered_load.ceil() as u32), "{total} for {offered_load}");
        Ok(())
    });
}

#[test]
fn only_orders_that_differ_from_the_last_are_given() {
    let zones = [supply("a", 0, false)];
    let limits = limits(true);
    let inputs = ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        offered_load: 0.0,
        floor: 0,
    };
    let orders = plan(&inputs);
    let mut ordered: BTreeMap<OrderKey, u32> =
        orders.iter().map(|order| (OrderKey::of(order), order.wanted)).collect();
    assert!(changed(&orders, &ordered).is_empty());
    ordered.insert(OrderKey::of(&orders[0]), 5);
    assert_eq!(changed(&orders, &ordered), [orders[0].clone()]);
}

/// On a large deployment engines were given back before the first request and lacked for ten seconds.
#[test]
fn the_floor_is_kept_as_reclaimable_while_the_load_is_not_known() {
    let zones = [supply("a", 0, false)];
    let limits = limits(true);
    let orders = plan(&ScalingInputs {
        service: &"model".into(),
        limits: &limits,
        zones: &zones,
        offered_load: 0.0,
        floor: 5,
    });
    let wanted: Vec<(bool, u32)> = orders.iter().map(|order| (order.reclaimable, order.wanted)).collect();
    assert_eq!(wanted, [(false, 1), (true, 4)]);
}
