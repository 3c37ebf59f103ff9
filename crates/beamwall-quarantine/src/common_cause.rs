//! Which terminations are evidence against a suspect independently of one another.
//!
//! Back ends also terminate for reasons that no request has to do with, and then often several at once: a rack loses
//! its power. A suspect that terminates back ends does so when they begin to respond to it. A back end that ran it
//! for [`LATE_EXPOSURE`] had probably survived that beginning; if others terminate beside it, closer together than they
//! had begun it, they probably have one cause, so such terminations count once. If they terminate soon after one
//! another, they may have one: the suspect is held in doubt, since others terminate back ends some time after they
//! have begun.

use beamwall_model::to_ms;

use crate::evidence::Survival;
use crate::limits::{
    LATE_EXPOSURE, OUTAGE_SKEW, OUTAGE_WITHIN, SIMULTANEOUS_WITHIN, SURVIVAL_MARGIN, TERMINATIONS_UNTIL_HELD,
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

/// Returns the times, in ascending order, of the terminations that have no cause in common. Of late ones that an outage
/// explains, the first one stands for all.
pub fn independent_times(terminations: impl Iterator<Item = CountedTermination>) -> Vec<u64> {
    let (late, early): (Vec<_>, Vec<_>) = terminations.partition(CountedTermination::is_late);
    let mut times_ms: Vec<u64> = early.iter().map(|one| one.at_ms).collect();
    for group in groups_soon_after_one_another(late) {
        let counted = if is_outage(&group) { 1 } else { group.len() };
        times_ms.extend(group.iter().take(counted).map(|one| one.at_ms));
    }
    times_ms.sort_unstable();
    times_ms
}

/// Whether an outage may explain all terminations: they occurred at one moment, or are late and occurred soon after one
/// another.
pub fn may_be_outage(terminations: impl Iterator<Item = CountedTermination> + Clone) -> bool {
    let (late, early): (Vec<_>, Vec<_>) = terminations.clone().partition(CountedTermination::is_late);
    let moments = early.len() + groups_soon_after_one_another(late).len();
    moments < TERMINATIONS_UNTIL_HELD || are_simultaneous(terminations)
}

/// Groups of terminations within [`OUTAGE_WITHIN`] of the first of each, in ascending order.
fn groups_soon_after_one_another(mut terminations: Vec<CountedTermination>) -> Vec<Vec<CountedTermination>> {
    terminations.sort_unstable_by_key(|one| one.at_ms);
    let mut groups: Vec<Vec<CountedTermination>> = Vec::new();
    for one in terminations {
        let is_soon = |first: &CountedTermination| one.at_ms - first.at_ms <= to_ms(OUTAGE_WITHIN);
        match groups.last_mut() {
            Some(group) if group.first().is_some_and(is_soon) => group.push(one),
            _ => groups.push(vec![one]),
        }
    }
    groups
}

/// Whether terminations soon after one another look like an outage: it ends back ends together, however long each had
/// run the suspect, while a suspect ends each after about the same time, however far apart they had begun it.
fn is_outage(group: &[CountedTermination]) -> bool {
    let between_ends_ms = spread(group.iter().map(|one| one.at_ms));
    let between_exposures_ms = spread(group.iter().map(|one| one.exposure_ms));
    between_ends_ms <= between_exposures_ms.max(to_ms(OUTAGE_SKEW))
}

/// The difference between the greatest and the least value.
fn spread(values: impl Iterator<Item = u64> + Clone) -> u64 {
    values.clone().max().unwrap_or(0) - values.min().unwrap_or(0)
}

fn are_simultaneous(terminations: impl Iterator<Item = CountedTermination> + Clone) -> bool {
    spread(terminations.map(|one| one.at_ms)) <= to_ms(SIMULTANEOUS_WITHIN)
}
