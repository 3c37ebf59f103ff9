//! The `StoredVersions`: which software versions the control store is known to hold.
//!
//! A node that starts after all others have ended knows only the versions that the store holds. A stream that may be
//! taken up again therefore begins at no version that isn't among them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use beamwall_model::{EngineVersion, ServiceName};

/// The versions that the control store holds, as far as one node knows. A later era of the store may have lost them.
#[derive(Debug, Default)]
pub struct StoredVersions {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    era: u64,
    versions: BTreeMap<ServiceName, BTreeSet<EngineVersion>>,
}

impl StoredVersions {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records versions that the store holds in an era. Those of an earlier era are forgotten, or passed over.
    pub fn note(&self, era: u64, versions: impl Iterator<Item = (ServiceName, EngineVersion)>) {
        let mut state = self.lock();
        if era < state.era {
            return;
        }
        state.enter(era);
        for (service, version) in versions {
            state.versions.entry(service).or_default().insert(version);
        }
    }

    /// Forgets what was stored before an era.
    pub fn note_era(&self, era: u64) {
        self.lock().enter(era);
    }

    /// Forgets the versions for which `is_remembered` is false, so that only as many are held as there are.
    pub fn retain(&self, is_remembered: impl Fn(&ServiceName, &EngineVersion) -> bool) {
        let mut state = self.lock();
        for (service, versions) in &mut state.versions {
            versions.retain(|version| is_remembered(service, version));
        }
        state.versions.retain(|_, versions| !versions.is_empty());
    }

    /// Whether the store is known to hold a version.
    pub fn holds(&self, service: &ServiceName, version: &EngineVersion) -> bool {
        self.lock().versions.get(service).is_some_and(|versions| versions.contains(version))
    }

    /// Whether the store is known to hold all of these.
    pub fn holds_all<'a>(
        &self,
        mut versions: impl Iterator<Item = (&'a ServiceName, &'a EngineVersion)>,
    ) -> bool {
        let state = self.lock();
        versions.all(|(service, version)| {
            state.versions.get(service).is_some_and(|versions| versions.contains(version))
        })
    }
}

impl State {
    fn enter(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.versions.clear();
        }
    }
}
