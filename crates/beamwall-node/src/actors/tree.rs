//! Owner of the settings in force. The revision only grows.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_config::edit::Change;
use beamwall_config::{ConfigTree, Faults, ResolvedTree, TreePath};
use beamwall_events::emit;
use beamwall_events::internal_events::{RevisionActivated, RevisionUnusable};
use kameo::Actor;
use kameo::message::{Context, Message};

use crate::shared::{ActiveTree, RecentChange};

/// Changes remembered for peers that lack them.
const REMEMBERED_CHANGES: usize = 64;

/// Owner of the settings in force.
#[derive(Actor)]
pub struct TreeActor {
    active: Arc<ArcSwap<ActiveTree>>,
}

impl TreeActor {
    /// An owner that publishes to `active`.
    pub fn new(active: Arc<ArcSwap<ActiveTree>>) -> Self {
        Self { active }
    }

    fn activate(
        &self,
        change: RecentChange,
        source: &str,
        result: Result<(ConfigTree, ResolvedTree), Faults>,
    ) -> bool {
        let revision = change.revision;
        match result {
            Ok((tree, resolved)) => {
                emit(&RevisionActivated {
                    revision: revision.to_string(),
                    digest: format!("{:016x}", resolved.digest),
                    source: source.to_owned(),
                });
                let recent = remember(&self.active.load().recent, change);
                self.active.store(Arc::new(ActiveTree { revision, tree, resolved, recent }));
                true
            }
            Err(faults) => {
                emit(&RevisionUnusable { revision: revision.to_string(), reason: faults.to_string() });
                false
            }
        }
    }
}

/// Adds a change to the remembered ones. They form a chain: a change that does not continue it starts
/// a new one.
fn remember(recent: &[Arc<RecentChange>], change: RecentChange) -> Vec<Arc<RecentChange>> {
    let continues = recent.last().is_some_and(|last| last.revision == change.base_revision);
    let kept = if continues { &recent[(recent.len() + 1).saturating_sub(REMEMBERED_CHANGES)..] } else { &[] };
    kept.iter().cloned().chain(std::iter::once(Arc::new(change))).collect()
}

/// The changes that lead from one set of documents to another.
fn difference(from: &ConfigTree, to: &BTreeMap<TreePath, String>) -> Vec<Change> {
    let removed = from.nodes().filter(|(path, _)| !to.contains_key(*path));
    let removed = removed.map(|(path, _)| Change { path: path.clone(), text: None });
    let is_new = |path: &TreePath, text: &String| from.node(path).is_none_or(|node| node.text != *text);
    let written = to.iter().filter(|(path, text)| is_new(path, text));
    let written = written.map(|(path, text)| Change { path: path.clone(), text: Some(text.clone()) });
    removed.chain(written).collect()
}

/// A whole tree, from the platform or a peer.
pub struct ActivateWhole {
    /// Its revision.
    pub revision: u64,
    /// Its documents.
    pub documents: BTreeMap<TreePath, String>,
    /// Where it came from, for the log.
    pub source: String,
}

impl Message<ActivateWhole> for TreeActor {
    type Reply = bool;

    async fn handle(&mut self, message: ActivateWhole, _: &mut Context<Self, Self::Reply>) -> bool {
        let active = self.active.load_full();
        if message.revision <= active.revision {
            return false;
        }
        let changes = difference(&active.tree, &message.documents);
        let result = active.tree.with_changes(&changes);
        let change = RecentChange { base_revision: active.revision, revision: message.revision, changes };
        self.activate(change, &message.source, result)
    }
}

/// One edit on top of the revision in force.
pub struct ActivateChange {
    /// The revision it applies to.
    pub base_revision: u64,
    /// The revision it makes.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
    /// Where it came from, for the log.
    pub source: String,
}

impl Message<ActivateChange> for TreeActor {
    type Reply = bool;

    async fn handle(&mut self, message: ActivateChange, _: &mut Context<Self, Self::Reply>) -> bool {
        let active = self.active.load_full();
        if message.base_revision != active.revision || message.revision <= active.revision {
            return false;
        }
        let result = active.tree.with_changes(&message.changes);
        let change = RecentChange {
            base_revision: message.base_revision,
            revision: message.revision,
            changes: message.changes,
        };
        self.activate(change, &message.source, result)
    }
}
