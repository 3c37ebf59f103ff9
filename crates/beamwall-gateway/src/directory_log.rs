//! Log of recent changes to a list of back ends, so that a peer that lacks some revisions need not be sent
//! the whole list.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;
use std::sync::Arc;

use beamwall_model::{InstanceName, StoreRevision};

use crate::ports::{DirectoryChange, DirectoryChanges};

/// Number of changes kept, which takes about 0.4 MB: the changes of two seconds in which 3,000 back ends are
/// listed one after another. With a smaller log, nodes on fast links sent the whole list repeatedly during
/// that time.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Changes that lead from one revision of the list to another.
#[derive(Debug, Clone, PartialEq)]
struct Step {
    /// The revisions to which the changes can be applied.
    from: RangeInclusive<StoreRevision>,
    changes: Arc<DirectoryChanges>,
}

/// The last steps of a list, oldest first. Each starts where the previous one ends, or earlier.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ChangeLog {
    steps: VecDeque<Step>,
    /// Total number of changes in all steps.
    logged_changes: usize,
}

impl ChangeLog {
    /// Adds a step that applies to any of the revisions `from`.
    pub(crate) fn add(&mut self, from: RangeInclusive<StoreRevision>, changes: DirectoryChanges) {
        self.logged_changes += changes.changes.len();
        self.steps.push_back(Step { from, changes: Arc::new(changes) });
        while self.logged_changes > MAX_LOGGED_CHANGES || self.steps.len() > MAX_LOGGED_CHANGES {
            let Some(oldest) = self.steps.pop_front() else { return };
            self.logged_changes -= oldest.changes.changes.len();
        }
    }

    /// The changes after a revision, merged to the last change of each back end; `None` if no logged step
    /// applies to that revision.
    pub(crate) fn since(&self, peer_revision: StoreRevision) -> Option<DirectoryChanges> {
        let first = self.steps.iter().rposition(|step| step.from.contains(&peer_revision))?;
        let steps = self.steps.range(first..);
        let mut last: BTreeMap<&InstanceName, &DirectoryChange> = BTreeMap::new();
        for change in steps.flat_map(|step| &step.changes.changes) {
            last.insert(change.instance(), change);
        }
        let revision = self.steps.back().map_or(peer_revision, |step| step.changes.revision);
        Some(DirectoryChanges { revision, changes: last.into_values().cloned().collect() })
    }
}
