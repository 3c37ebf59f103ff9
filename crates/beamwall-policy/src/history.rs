//! The last versions of the policy that a node held, from which it tells others what changed.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{PolicyChange, TrafficPolicy};

/// Versions that are kept: what a busy operator writes within the time that a node may be behind. A version
/// costs 16 bytes a route beyond its own new routes, since versions share their parts.
const MAX_VERSIONS: usize = 32;

/// The last versions that a node held, the newest last.
#[derive(Debug, Default)]
pub struct PolicyHistory {
    versions: Mutex<VecDeque<Arc<TrafficPolicy>>>,
}

impl PolicyHistory {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<TrafficPolicy>>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a version that is newer than all kept.
    pub fn push(&self, policy: Arc<TrafficPolicy>) {
        let mut versions = self.lock();
        if versions.len() == MAX_VERSIONS {
            versions.pop_front();
        }
        versions.push_back(policy);
    }

    /// The newest version kept.
    pub fn newest_version(&self) -> Option<u64> {
        self.lock().back().map(|policy| policy.version)
    }

    /// What leads from the version that another node holds to the newest: the whole policy where that version
    /// is not kept, or is not the same here. `None` before any version.
    pub fn change_from(&self, version: u64, digest: u64) -> Option<PolicyChange> {
        let (base, newest) = {
            let versions = self.lock();
            let newest = versions.back()?.clone();
            let is_base = |candidate: &&Arc<TrafficPolicy>| {
                candidate.version == version && candidate.digest() == digest
            };
            (versions.iter().find(is_base).cloned(), newest)
        };
        Some(PolicyChange::between(&base.unwrap_or_default(), &newest))
    }
}
