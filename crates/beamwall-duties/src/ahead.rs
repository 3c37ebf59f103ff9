//! Evaluates capacity orders ahead of need: substitutes for reclaimable back ends are ordered as soon as a
//! loss is announced and none can be had, and are lowered in steps while some are needed.
//!
//! Boot takes longer than the notice before a reclaim, and zones are often reclaimed one after another.
//! The number of substitutes therefore follows from what stays usable, not from what still serves.

use std::time::Duration;

use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{
    self, MissingSubstitutes, OrderKey, ScalingInputs, SupplyOutlook, ZoneSupply,
};
use beamwall_gateway::sizing::Needed;
use tokio::time::Instant;

use crate::orders::OrderTracker;

/// Delay before an order that got no answer is attempted again.
pub const UNANSWERED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Least time between an order of on-demand back ends and a smaller one, while every zone can get reclaimable
/// ones. While a zone can't, the least time is the boot time.
const RELEASE_DELAY: Duration = Duration::from_secs(1);
/// The needed back ends divided by the step in which the number of substitutes changes. Every order is a
/// call to the provider, and a step of a sixteenth is well below the headroom of the utilization limits.
const STEPS: u32 = 16;

/// Largest number of further losses that substitutes are ordered for.
const MAX_LOSSES_AHEAD: usize = 2;

/// Time after the demand became known until its trend is: until then a rise is measured too low.
const TREND_LEARNING_TIME: Duration = Duration::from_secs(2);

/// Further losses to expect before an order placed now serves: the more zones have lost their reclaimable
/// back ends and can't get any, the more likely are the others to follow.
pub fn losses_ahead(zones: &[ZoneSupply]) -> usize {
    zones.iter().filter(|supply| supply.is_exhausted).count().clamp(1, MAX_LOSSES_AHEAD)
}

/// Needs to plan for: `known` ones for as long as the demand has been known, or `None` before. While nothing
/// or no trend is known, substitutes are planned for the back ends found at the start.
pub fn needs(known: Option<(Needed, Duration)>, found: u32) -> Needed {
    let of_found = Needed::of_found(found);
    match known {
        None => of_found,
        Some((needed, age)) if age < TREND_LEARNING_TIME => {
            Needed { usual: needed.usual, ..needed.max(of_found) }
        }
        Some((needed, _)) => needed,
    }
}

/// Why substitutes are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubstituteReason {
    /// Too few back ends remain for the work now.
    Shortage,
    /// Too few back ends would remain after the next loss.
    NextLoss,
}

impl SubstituteReason {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shortage => "shortage",
            Self::NextLoss => "next_loss",
        }
    }

    fn of(missing: MissingSubstitutes) -> Option<Self> {
        let reason = if missing.after_loss > missing.now { Self::NextLoss } else { Self::Shortage };
        (missing.total() > 0).then_some(reason)
    }
}

/// The result of an evaluation.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// Orders to place now, in this order.
    pub due: Vec<CapacityOrder>,
    /// Why on-demand substitutes are needed; `None` if they are not.
    pub reason: Option<SubstituteReason>,
}

/// Evaluates the orders of a service.
pub fn evaluate(
    inputs: &ScalingInputs<'_>,
    outlook: &SupplyOutlook,
    tracker: &mut OrderTracker,
    now: Instant,
) -> Evaluation {
    scaling::note_usable(tracker.placed_mut(), inputs.service, inputs.zones);
    let may_release = may_release(inputs, tracker, now);
    let plan = scaling::plan_with(inputs, outlook, |missing| substitutes(inputs, missing, may_release));
    let mut due = scaling::orders_due(&plan, tracker.placed(), inputs, now);
    due.retain(|order| tracker.may_attempt(&OrderKey::of(order), now));
    // A slow call must not delay an increase of on-demand back ends.
    due.sort_by_key(|order| !is_on_demand_increase(order, tracker));
    Evaluation { due, reason: SubstituteReason::of(scaling::missing_substitutes(inputs, outlook)) }
}

/// Whether an order asks for more on-demand back ends than the last one.
pub fn is_on_demand_increase(order: &CapacityOrder, tracker: &OrderTracker) -> bool {
    !order.reclaimable && order.wanted > tracker.last_ordered(&OrderKey::of(order)).unwrap_or(0)
}

/// Whether a zone lost back ends of an order since the last evaluation, when `before` were usable. Those that
/// were released are not lost.
pub fn has_lost(tracker: &OrderTracker, key: &OrderKey, before: u32, usable: u32) -> bool {
    usable < before && tracker.last_ordered(key).is_none_or(|ordered| usable < ordered)
}

/// Whether reclaimable back ends of a zone can't be counted on: none were available, or back ends are missing
/// and the order that replaces them got no answer.
pub fn is_unavailable(tracker: &OrderTracker, key: &OrderKey, usable: u32) -> bool {
    let is_missing = tracker.last_ordered(key).is_some_and(|ordered| usable < ordered);
    tracker.is_exhausted(key) || (is_missing && tracker.is_unanswered(key))
}

/// Number of substitutes to order if `missing` are missing. It is raised at once and in steps, and lowered
/// only by a whole step, so that a number that fluctuates causes no orders.
fn substitutes(inputs: &ScalingInputs<'_>, missing: u32, may_release: bool) -> u32 {
    let ordered_of = |supply: &ZoneSupply| supply.on_demand_ordered;
    let ordered = inputs.zones.iter().map(ordered_of).sum::<u32>();
    let ordered = ordered.saturating_sub(scaling::on_demand_base(inputs.zones.len()));
    let step = (inputs.needed.standing_in / STEPS).max(1);
    if missing > ordered {
        return missing.next_multiple_of(step);
    }
    if !may_release {
        return ordered;
    }
    if missing == 0 {
        return 0;
    }
    (missing + step / 2).next_multiple_of(step).min(ordered)
}

/// Whether the last order of on-demand back ends is old enough for a smaller one.
fn may_release(inputs: &ScalingInputs<'_>, tracker: &OrderTracker, now: Instant) -> bool {
    let is_exhausted = inputs.zones.iter().any(|supply| supply.is_exhausted);
    let boot = Duration::from_millis(inputs.limits.boot_ms);
    let delay = if is_exhausted { boot } else { RELEASE_DELAY };
    let last_order_of = |supply: &ZoneSupply| {
        let key = OrderKey::new(inputs.service, &supply.zone, false);
        tracker.placed().get(&key).map(|order| order.at)
    };
    let last_order = inputs.zones.iter().filter_map(last_order_of).max();
    last_order.is_none_or(|at| now.saturating_duration_since(at) >= delay)
}
