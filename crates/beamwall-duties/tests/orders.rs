//! Who takes the duty of ordering over goes on from what was ordered, as if it had ordered it itself.

use std::time::Duration;

use beamwall_duties::OrderBook;
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

/// What is due by a book, where zone `a` has lost its reclaimable back ends and `usable` of the lasting ones serve in each zone.
fn due(book: &mut OrderBook, usable: u32, now: Instant) -> Vec<CapacityOrder> {
    let service: ServiceName = "model".into();
    let supply = |zone: &&str| ZoneSupply {
        zone: (*zone).into(),
        on_demand_usable: usable,
        reclaimable_usable: if *zone == "a" { 0 } else { 16 },
        on_demand_ordered: book.ordered(&key(zone, false)).unwrap_or(usable),
        is_exhausted: book.is_exhausted(&key(zone, true)),
    };
    let zones: Vec<ZoneSupply> = ZONES.iter().map(supply).collect();
    let limits = limits();
    let needed = Needed { usual: 49, standing_in: 30, after_loss: 24 };
    let inputs = ScalingInputs { service: &service, limits: &limits, zones: &zones, needed, floor: 0 };
    scaling::note_usable(book.given_mut(), &service, &zones);
    let due = scaling::orders_due(&scaling::plan(&inputs), book.given(), &inputs, now);
    due.into_iter().filter(|order| book.may_try(&OrderKey::of(order), now)).collect()
}

/// A holder that has been told that zone `a` gets none, and has ordered lasting ones in their place.
fn standing_in(now: Instant) -> OrderBook {
    let mut book = OrderBook::default();
    for _ in 0..2 {
        for order in due(&mut book, 0, now) {
            if order.reclaimable && order.zone.as_str() == "a" {
                book.note_refused(&order, true, now);
            } else {
                book.note_done(&order, now);
            }
        }
    }
    assert!(
        ZONES.iter().any(|zone| book.ordered(&key(zone, false)).is_some_and(|wanted| wanted > 1)),
        "{book:?}"
    );
    book
}

/// Guards against a new holder that gives back lasting back ends which its predecessor ordered and which are still booting.
#[test]
fn a_new_holder_orders_nothing_that_was_ordered_a_moment_ago() {
    let now = Instant::now();
    let before = standing_in(now);
    let later = now + SECOND;
    assert!(!due(&mut OrderBook::default(), 0, later).is_empty(), "who knows nothing orders");
    let mut book = OrderBook::continuing(before.to_keep(), later);
    assert_eq!(due(&mut book, 0, later), [], "all of it is under way");
    assert_eq!(book.to_keep(), before.to_keep());
}

#[test]
fn what_did_not_come_is_ordered_again_and_what_could_not_be_had_is_tried_again() {
    let now = Instant::now();
    let mut book = OrderBook::continuing(standing_in(now).to_keep(), now);
    let tried = due(&mut book, 0, now + SECOND * 4);
    assert!(tried.iter().all(|order| order.reclaimable && order.zone.as_str() == "a"), "{tried:?}");
    assert!(!tried.is_empty());
    let again = due(&mut book, 0, now + SECOND * 7);
    assert!(again.iter().any(|order| !order.reclaimable), "{again:?}");
}

#[test]
fn a_refusal_is_news_once() {
    let mut book = OrderBook::default();
    let order = CapacityOrder { service: "model".into(), zone: "a".into(), reclaimable: true, wanted: 3 };
    let now = Instant::now();
    assert!(book.note_refused(&order, true, now));
    assert!(!book.note_refused(&order, true, now));
    assert!(!book.may_try(&OrderKey::of(&order), now + SECOND));
    book.note_done(&order, now + SECOND);
    assert!(book.may_try(&OrderKey::of(&order), now + SECOND));
    assert!(!book.is_exhausted(&OrderKey::of(&order)));
}
