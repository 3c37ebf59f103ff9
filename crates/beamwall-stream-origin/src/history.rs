//! The `VersionHistory`: which software versions the engines of each service have had lately.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use tokio::time::Instant;

/// Time for which a version that is not listed any more is remembered, longer than any stream lasts.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Versions remembered of one service; of more, the one listed longest ago is dropped.
const MAX_VERSIONS: usize = 64;

/// The versions of a service's engines within a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceVersions {
    /// All engines were of this version.
    One(EngineVersion),
    /// There were engines of several versions.
    Several,
    /// This node has not known the engines for so long, or knows of none.
    Unknown,
}

impl ServiceVersions {
    /// What two nodes know together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Several, _) | (_, Self::Several) => Self::Several,
            (Self::One(one), Self::One(other)) if one != other => Self::Several,
            (Self::One(version), _) | (_, Self::One(version)) => Self::One(version),
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }
}

/// When engines of one version were listed last; the age is 0 while they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionAge {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: EngineVersion,
    /// Time since an engine of it was listed.
    pub age: Duration,
}

/// Versions of all services as one node has seen them listed.
#[derive(Debug, Default)]
pub struct VersionHistory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Since when all versions are known; `None` before the engines were listed completely.
    complete_since: Option<Instant>,
    /// Whether all engines are listed now. While a list is being read, a version on its last page is missing.
    is_complete: bool,
    versions: BTreeMap<ServiceName, BTreeMap<EngineVersion, LastListed>>,
}

/// When engines of a version were listed last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LastListed {
    At(Instant),
    /// They are listed.
    Now,
}

impl LastListed {
    fn age(self, now: Instant) -> Duration {
        match self {
            Self::At(at) => now.saturating_duration_since(at),
            Self::Now => Duration::ZERO,
        }
    }
}

impl VersionHistory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the versions of all engines that are listed from now on. `is_complete`: the list is.
    pub fn note_listed<'a>(
        &self,
        listed: impl Iterator<Item = (&'a ServiceName, &'a EngineVersion)>,
        is_complete: bool,
        now: Instant,
    ) {
        let mut state = self.lock();
        state.is_complete = is_complete;
        if is_complete && state.complete_since.is_none() {
            state.complete_since = Some(now);
        }
        let listed: BTreeSet<(&ServiceName, &EngineVersion)> = listed.collect();
        state.note_unlisted(&listed, now);
        for (service, version) in listed {
            state.note(service, version, LastListed::Now);
        }
    }

    /// Adds what an earlier process or another node has known: the versions, all of those within
    /// `complete_for`.
    pub fn merge(&self, versions: impl Iterator<Item = VersionAge>, complete_for: Duration, now: Instant) {
        let mut state = self.lock();
        for VersionAge { service, version, age } in versions {
            if let Some(at) = now.checked_sub(age) {
                state.note(&service, &version, LastListed::At(at));
            }
        }
        let complete_since = now.checked_sub(complete_for);
        state.complete_since = match (state.complete_since, complete_since) {
            (Some(known), Some(merged)) => Some(known.min(merged)),
            (known, merged) => known.or(merged),
        };
    }

    /// The versions that a service's engines have had within `span`.
    pub fn within(&self, service: &ServiceName, span: Duration, now: Instant) -> ServiceVersions {
        let state = self.lock();
        let is_known_for_long = state.is_complete
            && state.complete_since.is_some_and(|since| now.saturating_duration_since(since) >= span);
        match state.seen(service, span, now) {
            ServiceVersions::One(_) if !is_known_for_long => ServiceVersions::Unknown,
            versions => versions,
        }
    }

    /// Whether a version of a service is remembered.
    pub fn remembers(&self, service: &ServiceName, version: &EngineVersion) -> bool {
        self.lock().versions.get(service).is_some_and(|versions| versions.contains_key(version))
    }

    /// Records that no engine was ever listed before: no stream can be of a version that was.
    pub fn note_first_start(&self, now: Instant) {
        self.merge(std::iter::empty(), RETENTION, now);
    }

    /// All remembered versions, and the time for which they are all that there were; `None` while the
    /// engines are not listed completely.
    pub fn remembered(&self, now: Instant) -> Option<(Vec<VersionAge>, Duration)> {
        let mut state = self.lock();
        state.forget_old(now);
        let complete_for = now.saturating_duration_since(state.complete_since?);
        let versions = state.versions.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, last)| VersionAge {
                service: service.clone(),
                version: version.clone(),
                age: last.age(now),
            })
        });
        Some((versions.collect(), complete_for))
    }
}

impl State {
    fn seen(&self, service: &ServiceName, span: Duration, now: Instant) -> ServiceVersions {
        let known = self.versions.get(service).into_iter().flatten();
        let mut versions = known.filter(|(_, last)| last.age(now) <= span);
        match (versions.next(), versions.next()) {
            (None, _) => ServiceVersions::Unknown,
            (Some((version, _)), None) => ServiceVersions::One(version.clone()),
            (Some(_), Some(_)) => ServiceVersions::Several,
        }
    }

    /// Records that all versions that were listed and are not in `listed` are not listed any more.
    fn note_unlisted(&mut self, listed: &BTreeSet<(&ServiceName, &EngineVersion)>, now: Instant) {
        for (service, versions) in &mut self.versions {
            for (version, last) in versions.iter_mut() {
                if *last == LastListed::Now && !listed.contains(&(service, version)) {
                    *last = LastListed::At(now);
                }
            }
        }
    }

    fn note(&mut self, service: &ServiceName, version: &EngineVersion, last: LastListed) {
        let versions = match self.versions.get_mut(service) {
            Some(versions) => versions,
            None => self.versions.entry(service.clone()).or_default(),
        };
        if let Some(known) = versions.get_mut(version) {
            *known = last.max(*known);
            return;
        }
        versions.insert(version.clone(), last);
        if versions.len() > MAX_VERSIONS {
            let oldest = versions.iter().min_by_key(|(_, last)| **last).map(|(version, _)| version.clone());
            oldest.and_then(|oldest| versions.remove(&oldest));
        }
    }

    fn forget_old(&mut self, now: Instant) {
        for versions in self.versions.values_mut() {
            versions.retain(|_, last| last.age(now) <= RETENTION);
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }
}
