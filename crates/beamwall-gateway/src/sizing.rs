//! Computes how many back ends a workload needs: the smallest number at which the expected load of each still
//! meets the callers' objectives.

use beamwall_engine_model::{Occupancy, ServiceEstimates, Workload};
use serde::{Deserialize, Serialize};

/// Largest number of back ends considered. A service that would need more gets this number, subject to its
/// limits.
const MAX_BACK_ENDS: u32 = 20_000;

/// Objectives of a service's callers, from its routes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objectives {
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Longest gap between two events, in milliseconds; `None` if no objective is set.
    pub pause_ms: Option<f64>,
}

/// Maximum utilization of back ends. The values are fractions, so they apply to engines of any speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Utilization {
    /// Fraction of the slots that may be occupied on average.
    pub slots: f64,
    /// Fraction of the time that may be spent on prefill.
    pub prefill: f64,
}

/// Maximum utilization while reclaimable back ends are available and there are few back ends. Arrivals come
/// in bursts, and a zone's back ends may all be lost at once.
pub const NORMAL_UTILIZATION: Utilization = Utilization { slots: 0.33, prefill: 0.33 };
/// Back ends beyond the work, per unit of the square root of the work measured in busy back ends. The
/// headroom that random arrivals require grows no faster (square-root staffing). With 6, the work of 100 back
/// ends that prefill continuously is handled by 160, which can tolerate the loss of one in five or 50 % more
/// work. Above about 26 back ends this is less headroom than [`NORMAL_UTILIZATION`].
const HEADROOM_PER_ROOT: f64 = 6.0;
/// Utilization that is never exceeded, regardless of the number of back ends.
const MAX_NORMAL_UTILIZATION: f64 = 0.6;
/// Maximum utilization of on-demand substitutes for missing reclaimable back ends.
pub const SUBSTITUTE_UTILIZATION: Utilization = Utilization { slots: 0.7, prefill: 0.7 };
/// Maximum utilization after the next loss of a zone's reclaimable back ends, while none are available.
pub const AFTER_LOSS_UTILIZATION: Utilization = Utilization { slots: 0.95, prefill: 0.85 };

/// Normal utilization of `count` back ends; it increases with their number.
pub fn normal_utilization(count: u32) -> Utilization {
    let root = ((HEADROOM_PER_ROOT.powi(2) + 4.0 * f64::from(count)).sqrt() - HEADROOM_PER_ROOT) / 2.0;
    let busy = (root.powi(2) / f64::from(count.max(1))).min(MAX_NORMAL_UTILIZATION);
    Utilization { slots: NORMAL_UTILIZATION.slots.max(busy), prefill: NORMAL_UTILIZATION.prefill.max(busy) }
}

/// Number of back ends needed at each utilization.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Needed {
    /// While reclaimable back ends are available.
    pub usual: u32,
    /// While on-demand substitutes are used.
    pub standing_in: u32,
    /// After the next loss of a zone's reclaimable back ends.
    pub after_loss: u32,
}

impl Needed {
    /// Needs of the work that `count` back ends at the normal utilization handle. Used while the work itself
    /// is not known: the back ends found at the start were ordered at that utilization.
    pub fn of_found(count: u32) -> Self {
        let normal = normal_utilization(count);
        let at = |limit: Utilization| {
            let ratio = (normal.slots / limit.slots).max(normal.prefill / limit.prefill);
            (f64::from(count) * ratio).ceil() as u32
        };
        Self { usual: count, standing_in: at(SUBSTITUTE_UTILIZATION), after_loss: at(AFTER_LOSS_UTILIZATION) }
    }

    /// The larger number of each.
    pub fn max(self, other: Self) -> Self {
        Self {
            usual: self.usual.max(other.usual),
            standing_in: self.standing_in.max(other.standing_in),
            after_loss: self.after_loss.max(other.after_loss),
        }
    }

    /// The same with more back ends, which replace others.
    pub fn with_replacements(self, count: u32) -> Self {
        Self {
            usual: self.usual + count,
            standing_in: self.standing_in + count,
            after_loss: self.after_loss + count,
        }
    }
}

/// Number of back ends that replace engines in need. Each of these is worth the part of the usual requests of
/// one back end that its limit allows. Both are in requests a second.
pub fn replacements(limits: &[f64], usual_requests: f64) -> u32 {
    if usual_requests <= 0.0 {
        return 0;
    }
    let missing: f64 = limits.iter().map(|limit| 1.0 - (limit / usual_requests).min(1.0)).sum();
    missing.ceil() as u32
}

/// Number of back ends that `work` needs; `None` while the service's model is not trained.
pub fn needed(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
) -> Option<Needed> {
    let count = |utilization| min_back_ends(work, estimates, slots, objectives, utilization);
    let usual = min_back_ends_at(work, estimates, slots, objectives, normal_utilization)?;
    Some(Needed {
        usual,
        standing_in: count(SUBSTITUTE_UTILIZATION)?,
        after_loss: count(AFTER_LOSS_UTILIZATION)?,
    })
}

/// The smallest number of back ends that does not exceed `utilization` and meets the objectives.
pub fn min_back_ends(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
    utilization: Utilization,
) -> Option<u32> {
    min_back_ends_at(work, estimates, slots, objectives, |_| utilization)
}

/// The smallest number of back ends that does not exceed the utilization limit for that number and meets the
/// objectives. A larger number never performs worse, so it is found by binary search.
fn min_back_ends_at(
    work: Workload,
    estimates: &ServiceEstimates,
    slots: u32,
    objectives: Objectives,
    utilization_limit: impl Fn(u32) -> Utilization,
) -> Option<u32> {
    let idle = estimates.occupancy(Workload::default())?;
    if work.requests <= 0.0 {
        return Some(0);
    }
    let is_enough = |count: u32| {
        let occupancy = estimates.occupancy(work / f64::from(count));
        occupancy.is_some_and(|occupancy| {
            meets_objectives(occupancy, idle, slots, objectives, utilization_limit(count))
        })
    };
    let (mut too_few, mut enough) = (0, MAX_BACK_ENDS);
    while enough - too_few > 1 {
        let middle = too_few + (enough - too_few) / 2;
        if is_enough(middle) { enough = middle } else { too_few = middle }
    }
    Some(enough)
}

/// Whether a back end with this occupancy meets the objectives. An objective that even an idle back end
/// misses is ignored, since more back ends would not help.
fn meets_objectives(
    occupancy: Occupancy,
    idle: Occupancy,
    slots: u32,
    objectives: Objectives,
    utilization: Utilization,
) -> bool {
    let is_kept = |idle: f64, now: f64, objective: f64| idle > objective || now <= objective;
    let gap = |objective| is_kept(idle.event_gap_ms, occupancy.event_gap_ms, objective);
    occupancy.running <= f64::from(slots) * utilization.slots
        && occupancy.prefill_share <= utilization.prefill
        && is_kept(idle.first_event_ms, occupancy.first_event_ms, objectives.first_event_ms)
        && objectives.pause_ms.is_none_or(gap)
}
