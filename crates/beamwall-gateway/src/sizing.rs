//! How many back ends a workload needs: the fewest at which what is expected of each keeps callers' objectives.

use beamwall_engine_model::{Occupancy, ServiceEstimates, Workload};
use serde::{Deserialize, Serialize};

/// Most back ends that are tried: a service that would need more is given what it may have.
const MOST: u32 = 20_000;

/// What a service's callers want, as its routes say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objectives {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Longest pause between two events, in milliseconds; `None` where none is stated.
    pub pause_ms: Option<f64>,
}

/// How full back ends may be. The figures are shares, so they hold for engines of any speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fullness {
    /// Part of the slots that may be taken in the mean.
    pub slots: f64,
    /// Part of the time for which prompts may be read.
    pub reading: f64,
}

/// While reclaimable back ends can be had and there are few. Arrivals come in bursts, and a zone's back ends may go at once.
pub const USUAL: Fullness = Fullness { slots: 0.33, reading: 0.33 };
/// Back ends beyond the work, for each unit of the square root of the work in busy back ends: the headroom that
/// random arrivals need grows no faster (square-root staffing). With 6 the work of 100 back ends that read without a pause is done
/// by 160; they bear the loss of every fifth or half as much work again. Beyond some 26 back ends it is less
/// headroom than [`USUAL`].
const HEADROOM_PER_ROOT: f64 = 6.0;
/// Fullness that is not exceeded however many there are.
const MOST_USUAL: f64 = 0.6;
/// For lasting back ends that stand in for missing reclaimable ones.
pub const STANDING_IN: Fullness = Fullness { slots: 0.7, reading: 0.7 };
/// After the next loss of a zone's reclaimable ones, while none can be had.
pub const AFTER_LOSS: Fullness = Fullness { slots: 0.95, reading: 0.85 };

/// How full `count` back ends may usually be: the more there are, the fuller.
pub fn usual_fullness(count: u32) -> Fullness {
    let root = ((HEADROOM_PER_ROOT.powi(2) + 4.0 * f64::from(count)).sqrt() - HEADROOM_PER_ROOT) / 2.0;
    let busy = (root.powi(2) / f64::from(count.max(1))).min(MOST_USUAL);
    Fullness { slots: USUAL.slots.max(busy), reading: USUAL.reading.max(busy) }
}

/// How many back ends are needed at each fullness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Needed {
    /// While reclaimable back ends can be had.
    pub usual: u32,
    /// Where lasting ones stand in.
    pub standing_in: u32,
    /// After the next loss.
    pub after_loss: u32,
}

/// How many back ends `work` needs; `None` while too little is known of them.
pub fn needed(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
) -> Option<Needed> {
    let count = |fullness| fewest(work, estimates, slots, objectives, fullness);
    let usual = fewest_at(work, estimates, slots, objectives, usual_fullness)?;
    Some(Needed { usual, standing_in: count(STANDING_IN)?, after_loss: count(AFTER_LOSS)? })
}

/// The fewest back ends that are no fuller than `fullness` and keep the objectives.
pub fn fewest(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
    fullness: Fullness,
) -> Option<u32> {
    fewest_at(work, estimates, slots, objectives, |_| fullness)
}

/// The fewest back ends that are no fuller than so many may be and keep the objectives. More never do worse, so it is
/// found by halving.
fn fewest_at(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
    fullness_of: impl Fn(u32) -> Fullness,
) -> Option<u32> {
    let idle = estimates.occupancy(Workload::default())?;
    if work.requests <= 0.0 {
        return Some(0);
    }
    let is_enough = |count: u32| {
        let occupancy = estimates.occupancy(work / f64::from(count));
        occupancy.is_some_and(|occupancy| keeps(occupancy, idle, slots, objectives, fullness_of(count)))
    };
    let (mut too_few, mut enough) = (0, MOST);
    while enough - too_few > 1 {
        let middle = too_few + (enough - too_few) / 2;
        if is_enough(middle) { enough = middle } else { too_few = middle }
    }
    Some(enough)
}

/// Whether a back end so occupied keeps the objectives. One that can't be kept at idle back ends is none: more of
/// them don't help.
fn keeps(
    occupancy: Occupancy,
    idle: Occupancy,
    slots: u32,
    objectives: Objectives,
    fullness: Fullness,
) -> bool {
    let is_kept = |idle: f64, now: f64, objective: f64| idle > objective || now <= objective;
    let pause = |objective| is_kept(idle.event_gap_ms, occupancy.event_gap_ms, objective);
    occupancy.running <= f64::from(slots) * fullness.slots
        && occupancy.prefill_share <= fullness.reading
        && is_kept(idle.first_event_ms, occupancy.first_event_ms, objectives.first_event_ms)
        && objectives.pause_ms.is_none_or(pause)
}
