//! What is recorded about one suspected request. This is also the stored format.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use beamwall_model::{BackendId, EngineVersion, to_ms};
use serde::{Deserialize, Serialize};

use crate::common_cause::{CountedTermination, independent_times};
use crate::evidence::Survival;
use crate::held_versions::HeldVersions;
use crate::limits::{
    EXPOSURES_KNOWN_AFTER, HOLD_RETENTION, MAX_COMPLETED_VERSIONS, MAX_TERMINATIONS_PER_REQUEST,
    SIMULTANEOUS_WITHIN, SUSPECT_RETENTION, TERMINATIONS_UNTIL_HELD,
};

/// A request that was open at the termination of a back end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Suspect {
    /// The back ends that terminated, with the time of termination.
    pub endings: BTreeMap<BackendId, u64>,
    /// Exposures of these back ends to it, in milliseconds; absent if unknown, for example where a node of an earlier
    /// release observed the termination.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub exposures_ms: BTreeMap<BackendId, u64>,
    /// Software versions of these back ends; absent if unknown.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<BackendId, EngineVersion>,
    /// When the request last completed, or a back end had survived it for long enough, where the version of that back
    /// end is unknown; 0 if never. Terminations up to then do not count.
    pub completed_ms: u64,
    /// The same by the version of that back end. Terminations up to then do not count if they are of this version, or of an
    /// unknown one.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub completed_by_version_ms: BTreeMap<EngineVersion, u64>,
    /// Number of trials granted.
    pub trials: u32,
    /// When the last trial was granted.
    pub trial_ms: u64,
}

impl Suspect {
    /// Records a back end termination; returns whether it was new.
    pub fn note_termination(&mut self, backend: &BackendId, at_ms: u64) -> bool {
        let is_new = match self.endings.get_mut(backend) {
            // Nodes observe the same termination some milliseconds apart; the earliest time is used.
            Some(known) if at_ms < *known => {
                *known = at_ms;
                true
            }
            Some(_) => false,
            None => {
                self.endings.insert(backend.clone(), at_ms);
                true
            }
        };
        while self.endings.len() > MAX_TERMINATIONS_PER_REQUEST {
            let Some(least) = self.least_telling() else { break };
            self.endings.remove(&least);
            self.exposures_ms.remove(&least);
            self.versions.remove(&least);
        }
        is_new
    }

    /// The termination that tells least. Of those within one period, the first tells most, since all may have one cause;
    /// of equals, the latest does. What is dropped in this order from a part of all terminations would be dropped from
    /// all of them, too, so nodes that heard of them in different orders keep the same ones.
    fn least_telling(&self) -> Option<BackendId> {
        let mut by_time: Vec<(u64, &BackendId)> =
            self.endings.iter().map(|(backend, at_ms)| (*at_ms, backend)).collect();
        by_time.sort_unstable();
        let period_of = |(at_ms, _): &(u64, &BackendId)| at_ms / to_ms(SIMULTANEOUS_WITHIN);
        let periods = by_time.chunk_by(|one, next| period_of(one) == period_of(next));
        let ranked = periods.flat_map(|period| period.iter().enumerate());
        let (_, (_, least)) = ranked.max_by_key(|(rank, one)| (*rank, Reverse(**one)))?;
        Some((*least).clone())
    }

    /// Records the software version of a back end that terminated; returns whether that was new. Where nodes tell different
    /// ones, all keep the first by name.
    pub fn note_version(&mut self, backend: &BackendId, version: &EngineVersion) -> bool {
        let is_before = self.versions.get(backend).is_none_or(|known| version < known);
        let is_new = is_before && self.endings.contains_key(backend);
        if is_new {
            self.versions.insert(backend.clone(), version.clone());
        }
        is_new
    }

    /// Records the exposure of a back end that terminated; returns whether that was new.
    pub fn note_exposure(&mut self, backend: &BackendId, exposure_ms: u64) -> bool {
        let is_new = exposure_ms > self.exposure_ms(backend) && self.endings.contains_key(backend);
        if is_new {
            self.exposures_ms.insert(backend.clone(), exposure_ms);
        }
        is_new
    }

    fn exposure_ms(&self, backend: &BackendId) -> u64 {
        self.exposures_ms.get(backend).copied().unwrap_or(0)
    }

    /// Returns the time of the last of the terminations that a survival at a version disproves, all earlier ones included;
    /// `None` if there is none that was not disproved before.
    pub fn disproved_until_ms(
        &self,
        survival: Survival,
        version: Option<&EngineVersion>,
        now_ms: u64,
    ) -> Option<u64> {
        let mut counted: Vec<CountedTermination> = self.terminations_counted_at(version).collect();
        counted.sort_unstable_by_key(|one| one.at_ms);
        let is_known =
            |one: &CountedTermination| now_ms >= one.at_ms.saturating_add(to_ms(EXPOSURES_KNOWN_AFTER));
        counted
            .iter()
            .take_while(|one| is_known(one) && one.is_disproved_by(survival))
            .last()
            .map(|one| one.at_ms)
    }

    /// The terminations that count, but for those before the last completion at a back end of a version. `None`: all that
    /// count.
    pub fn terminations_counted_at(
        &self,
        version: Option<&EngineVersion>,
    ) -> impl Iterator<Item = CountedTermination> {
        let completed_ms = version.map_or(0, |version| self.completed_by_ms(version));
        self.counted_terminations().map(|(_, one)| one).filter(move |one| one.at_ms > completed_ms)
    }

    fn completed_by_ms(&self, version: &EngineVersion) -> u64 {
        self.completed_by_version_ms.get(version).copied().unwrap_or(0)
    }

    /// Records that the request completed at a back end of a version; returns whether that was new.
    pub fn note_completion(&mut self, version: Option<&EngineVersion>, at_ms: u64) -> bool {
        let Some(version) = version else {
            let is_new = at_ms > self.completed_ms;
            self.completed_ms = self.completed_ms.max(at_ms);
            return is_new;
        };
        if at_ms <= self.completed_by_ms(version) {
            return false;
        }
        self.completed_by_version_ms.insert(version.clone(), at_ms);
        self.forget_early_completions();
        self.completed_by_version_ms.contains_key(version)
    }

    fn forget_early_completions(&mut self) {
        while self.completed_by_version_ms.len() > MAX_COMPLETED_VERSIONS {
            let earliest =
                self.completed_by_version_ms.iter().min_by_key(|(version, at_ms)| (**at_ms, *version));
            let Some(earliest) = earliest.map(|(version, _)| version.clone()) else { break };
            self.completed_by_version_ms.remove(&earliest);
        }
    }

    /// Until when terminations of a back end do not count: of its version, or of any if that is unknown.
    fn disproved_ms(&self, backend: &BackendId) -> u64 {
        let of_version = match self.versions.get(backend) {
            Some(version) => self.completed_by_ms(version),
            None => self.completed_by_version_ms.values().copied().max().unwrap_or(0),
        };
        of_version.max(self.completed_ms)
    }

    /// The versions for which the request is held if enough terminations count.
    pub fn held_versions(&self) -> HeldVersions {
        let counted = || self.counted_terminations();
        let Some(ended) = counted().map(|(backend, _)| self.versions.get(backend).cloned()).collect() else {
            return HeldVersions::All;
        };
        let first_ms = counted().map(|(_, one)| one.at_ms).min().unwrap_or(0);
        let is_proven = self.completed_by_version_ms.values().any(|at_ms| *at_ms >= first_ms);
        if is_proven { HeldVersions::These(ended) } else { HeldVersions::All }
    }

    /// Records a trial; returns whether it was new.
    pub fn note_trial(&mut self, number: u32, at_ms: u64) -> bool {
        let is_new = (number, at_ms) > (self.trials, self.trial_ms);
        if is_new {
            (self.trials, self.trial_ms) = (number, at_ms);
        }
        is_new
    }

    /// Terminations that count towards the hold threshold: those after the last completion.
    pub fn counted_terminations(&self) -> impl Iterator<Item = (&BackendId, CountedTermination)> {
        let counted = self.endings.iter().filter(|(backend, at_ms)| **at_ms > self.disproved_ms(backend));
        counted.map(|(backend, at_ms)| {
            (backend, CountedTermination { at_ms: *at_ms, exposure_ms: self.exposure_ms(backend) })
        })
    }

    /// Whether enough terminations count for the request to be held.
    pub fn reaches_hold_threshold(&self) -> bool {
        let counted = self.counted_terminations().map(|(_, one)| one);
        independent_times(counted).len() >= TERMINATIONS_UNTIL_HELD
    }

    /// The time from which the retention period is measured.
    pub fn last_activity_ms(&self) -> u64 {
        let times_ms = self.endings.values().copied().max().unwrap_or(0);
        times_ms.max(self.trial_ms)
    }

    /// Whether the retention period is over.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let retention = if self.reaches_hold_threshold() { HOLD_RETENTION } else { SUSPECT_RETENTION };
        now_ms > self.last_activity_ms().saturating_add(to_ms(retention))
    }

    /// Sort key for eviction: the suspects with the greatest keys are retained.
    pub fn retention_priority(&self) -> (usize, u64) {
        (self.counted_terminations().count(), self.last_activity_ms())
    }
}
