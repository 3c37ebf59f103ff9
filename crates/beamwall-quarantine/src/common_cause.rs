//! Which terminations are evidence against a suspect independently of one another.
//!
//! Back ends also terminate for reasons that no request has to do with, and then often several at once: a rack loses
//! its power. A suspect that terminates back ends does so when they begin to respond to it. A back end that ran it
//! for [`LATE_EXPOSURE`] had probably survived that beginning; if others terminate beside it at the same moment, they
//! probably have one cause, so such terminations count once. If they terminate soon after one another, they may have
//! one: the suspect is held in doubt, since others terminate back ends some time after they have begun.

use std::time::Duration;

use beamwall_model::to_ms;

use crate::evidence::Survival;
use crate::limits::{
    LATE_EXPOSURE, OUTAGE_WITHIN, SIMULTANEOUS_WITHIN, SURVIVAL_MARGIN, TERMINATIONS_UNTIL_HELD,
};

/// A termination that counts against a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountedTermination {
    /// When the back end terminated, in milliseconds since 1970.
    pub at_ms: u64,
    /// Its exposure to the suspect, in milliseconds; 0 if unknown.
    pub exposure_ms: u64,
}

impl CountedTermination {
    fn is_late(&self) -> bool {
        self.exposure_ms >= to_ms(LATE_EXPOSURE)
    }

    /// Whether another back end has survived the suspect for so much longer that the suspect was not the cause. One
    /// that may not have begun to run it proves that only of a late termination.
    pub fn is_disproved_by(&self, survival: Survival) -> bool {
        let has_begun = matches!(survival, Survival::Writing(_));
        (has_begun || self.is_late()) && outlives(survival.time_ms(), self.exposure_ms)
    }
}

/// Whether a back end that has survived a suspect for `survived_ms` has passed the point at which one terminated after
/// `exposure_ms`.
pub(crate) fn outlives(survived_ms: u64, exposure_ms: u64) -> bool {
    survived_ms >= exposure_ms.saturating_add(to_ms(SURVIVAL_MARGIN))
}

/// Returns the times, in ascending order, of the terminations that have no cause in common. Of late terminations
/// within `common_within` of one another, the first one stands for all.
pub fn independent_times(
    terminations: impl Iterator<Item = CountedTermination>,
    common_within: Duration,
) -> Vec<u64> {
    let mut terminations: Vec<CountedTermination> = terminations.collect();
    terminations.sort_unstable_by_key(|one| one.at_ms);
    let mut times_ms = Vec::new();
    let mut common_until_ms = 0;
    for one in terminations {
        if one.is_late() {
            if one.at_ms <= common_until_ms {
                continue;
            }
            common_until_ms = one.at_ms.saturating_add(to_ms(common_within));
        }
        times_ms.push(one.at_ms);
    }
    times_ms
}

/// Whether one cause outside may explain all terminations: they occurred at one moment, or soon after one another and
/// late.
pub fn may_have_one_cause(terminations: impl Iterator<Item = CountedTermination> + Clone) -> bool {
    are_simultaneous(terminations.clone())
        || independent_times(terminations, OUTAGE_WITHIN).len() < TERMINATIONS_UNTIL_HELD
}

fn are_simultaneous(terminations: impl Iterator<Item = CountedTermination> + Clone) -> bool {
    let first_ms = terminations.clone().map(|one| one.at_ms).min();
    let last_ms = terminations.map(|one| one.at_ms).max();
    match (first_ms, last_ms) {
        (Some(first_ms), Some(last_ms)) => last_ms - first_ms <= to_ms(SIMULTANEOUS_WITHIN),
        _ => false,
    }
}
