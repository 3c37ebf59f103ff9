//! Recent versions of the policy at a node, from which it computes changes for other nodes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{PolicyChange, TrafficPolicy};

/// Number of versions kept. It covers the versions that an operator writes at a high rate within the time
/// that a node may be behind. Since versions share equal items, each costs 16 bytes per route in addition to
/// the routes that are new in it.
const MAX_VERSIONS: usize = 32;

/// The most recent versions at a node, the newest last.
#[derive(Debug, Default)]
pub struct PolicyHistory {
    versions: Mutex<VecDeque<Arc<TrafficPolicy>>>,
}

impl PolicyHistory {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<TrafficPolicy>>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a version, which must be newer than all in the history. Drops the oldest one when full.
    pub fn push(&self, policy: Arc<TrafficPolicy>) {
        let mut versions = self.lock();
        if versions.len() == MAX_VERSIONS {
            versions.pop_front();
        }
        versions.push_back(policy);
    }

    /// Number of the newest version.
    pub fn newest_version(&self) -> Option<u64> {
        self.lock().back().map(|policy| policy.version)
    }

    /// Computes the change from the version that another node has to the newest. It contains the whole policy
    /// if that version is not in the history or has another digest here. Returns `None` if the history is
    /// empty.
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
