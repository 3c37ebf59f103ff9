//! A new duties lease holder continues from its predecessor's capacity orders as if it had placed them
//! itself.

use std::time::Duration;

use beamwall_duties::OrderTracker;
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, OrderKey, ScalingInputs, ZoneSupply};
use beamwall_gateway::sizing::Needed;
use beamwall_model::ServiceName;
use beamwall_policy::ScalingLimits;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

fn limits() -> ScalingLimits {
    ScalingLimits {
        minimum: 1,
        maximum: 40,
        boot_ms: 4_000,
        reclaimable_price: Some(0.2),
        zone_prices: ZONES.iter().map(|zone| ((*zone).into(), 1.0)).collect(),
    }
}

fn key(zone: &str, reclaimable: bool) -> OrderKey {
    OrderKey::new(&"model".into(), &zone.into(), reclaimable)
}

/// Returns the due orders. Zone `a` has lost its reclaimable back ends, and each zone has `usable` usable
/// on-demand back ends.
fn due(tracker: &mut OrderTracker, usable: u32, now: Instant) -> Vec<CapacityOrder> {
    let service: ServiceName = "model".into();
    let supply = |zone: &&str| ZoneSupply {
        zone: (*zone).into(),
        on_demand_usable: usable,
        reclaimable_usable: if *zone == "a" { 0 } else { 16 },
        on_demand_ordered: tracker.last_ordered(&key(zone, false)).unwrap_or(usable),
        is_exhausted: tracker.is_exhausted(&key(zone, true)),
    };
    let zones: Vec<ZoneSupply> = ZONES.iter().map(supply).collect();
    let limits = limits();
    let needed = Needed { usual: 49, standing_in: 30, after_loss: 24 };
    let inputs = ScalingInputs { service: &service, limits: &limits, zones: &zones, needed, floor: 0 };
    scaling::note_usable(tracker.placed_mut(), &service, &zones);
    let due = scaling::orders_due(&scaling::plan(&inputs), tracker.placed(), &inputs, now);
    due.into_iter().filter(|order| tracker.may_attempt(&OrderKey::of(order), now)).collect()
}

/// Returns the tracker of a lease holder that got no reclaimable back ends in zone `a` and ordered on-demand
/// ones as substitutes.
fn tracker_with_substitutes(now: Instant) -> OrderTracker {
    let mut tracker = OrderTracker::default();
    for _ in 0..2 {
        for order in due(&mut tracker, 0, now) {
            if order.reclaimable && order.zone.as_str() == "a" {
                tracker.record_failure(&order, true, now);
            } else {
                tracker.record_placed(&order, now);
            }
        }
    }
    assert!(
        ZONES.iter().any(|zone| tracker.last_ordered(&key(zone, false)).is_some_and(|wanted| wanted > 1)),
        "{tracker:?}"
    );
    tracker
}

/// Guards against a new lease holder that releases on-demand back ends which its predecessor ordered and
/// which are still booting.
#[test]
fn a_new_holder_does_not_repeat_recent_orders() {
    let now = Instant::now();
    let before = tracker_with_substitutes(now);
    let later = now + SECOND;
    assert!(!due(&mut OrderTracker::default(), 0, later).is_empty(), "an empty tracker places orders");
    let mut tracker = OrderTracker::restore(before.to_saved(), later);
    assert_eq!(due(&mut tracker, 0, later), [], "all orders are still in progress");
    assert_eq!(tracker.to_saved(), before.to_saved());
}

#[test]
fn missing_back_ends_are_reordered_and_exhausted_orders_are_retried() {
    let now = Instant::now();
    let mut tracker = OrderTracker::restore(tracker_with_substitutes(now).to_saved(), now);
    let tried = due(&mut tracker, 0, now + SECOND * 4);
    assert!(tried.iter().all(|order| order.reclaimable && order.zone.as_str() == "a"), "{tried:?}");
    assert!(!tried.is_empty());
    let again = due(&mut tracker, 0, now + SECOND * 7);
    assert!(again.iter().any(|order| !order.reclaimable), "{again:?}");
}

#[test]
fn a_repeated_failure_is_not_reported_again() {
    let mut tracker = OrderTracker::default();
    let order = CapacityOrder { service: "model".into(), zone: "a".into(), reclaimable: true, wanted: 3 };
    let now = Instant::now();
    assert!(tracker.record_failure(&order, true, now));
    assert!(!tracker.record_failure(&order, true, now));
    assert!(!tracker.may_attempt(&OrderKey::of(&order), now + SECOND));
    tracker.record_placed(&order, now + SECOND);
    assert!(tracker.may_attempt(&OrderKey::of(&order), now + SECOND));
    assert!(!tracker.is_exhausted(&OrderKey::of(&order)));
}
