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

use crate::shared::ActiveTree;

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
        revision: u64,
        source: &str,
        result: Result<(ConfigTree, ResolvedTree), Faults>,
    ) -> bool {
        match result {
            Ok((tree, resolved)) => {
                emit(&RevisionActivated {
                    revision: revision.to_string(),
                    digest: format!("{:016x}", resolved.digest),
                    source: source.to_owned(),
                });
                self.active.store(Arc::new(ActiveTree { revision, tree, resolved }));
                true
            }
            Err(faults) => {
                emit(&RevisionUnusable { revision: revision.to_string(), reason: faults.to_string() });
                false
            }
        }
    }
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
        if message.revision <= self.active.load().revision {
            return false;
        }
        let result = ConfigTree::from_documents(&message.documents);
        self.activate(message.revision, &message.source, result)
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
        self.activate(message.revision, &message.source, result)
    }
}
