//! Spreads settings between nodes.
//!
//! A node that puts a new revision into force pushes the change to the nodes it sends heartbeats to,
//! once. Every message carries its sender's revision, so a node that was missed asks a peer for the
//! changes it lacks, or for the whole tree when the peer does not remember them any more.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beamwall_config::edit::Change;
use beamwall_config::{ConfigTree, TreePath};
use beamwall_peer::message::{TreeChange, TreeChanges, TreeDocument, TreeRequest, TreeSnapshot};
use beamwall_peer::{Body, Envelope};

use crate::actors::tree::{ActivateChange, ActivateWhole};
use crate::shared::{ActiveTree, RecentChange, Shared};

/// Longest wait for a peer's changes or tree.
const TREE_LIMIT: Duration = Duration::from_secs(2);

/// Pushes the change that brought the revision in force to the peers of this node.
pub fn push(shared: &Shared) {
    let active = shared.tree.load();
    let Some(newest) = active.recent.last() else { return };
    let envelope = shared.envelope(Body::TreeChange(to_message(newest)));
    for target in shared.targets.load().iter() {
        shared.network.send(*target, &envelope);
    }
}

/// Puts a change pushed by a peer into force and pushes it on.
pub async fn take_change(shared: &Arc<Shared>, change: TreeChange) {
    if shared.tree_actor.ask(to_activation(change, "peer edit")).await.unwrap_or(false) {
        push(shared);
    }
}

/// Asks a peer for what this node lacks, unless it is asking already.
pub fn fetch_later(shared: &Arc<Shared>, peer: SocketAddr) {
    if shared.fetching_tree.swap(true, Ordering::AcqRel) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        fetch(&shared, peer).await;
        shared.fetching_tree.store(false, Ordering::Release);
    });
}

/// Asks a peer for what this node lacks. True when the peer answered.
pub async fn fetch(shared: &Arc<Shared>, peer: SocketAddr) -> bool {
    let have_revision = shared.tree.load().revision;
    let question = shared.envelope(Body::TreeRequest(TreeRequest { have_revision }));
    let Ok(answer) = shared.network.ask(peer, question, TREE_LIMIT).await else { return false };
    match answer.body {
        Some(Body::TreeWhole(whole)) => take_whole(shared, whole, &answer.sender).await,
        Some(Body::TreeChanges(changes)) => {
            for change in changes.changes {
                take_change(shared, change).await;
            }
        }
        _ => return false,
    }
    true
}

async fn take_whole(shared: &Arc<Shared>, whole: TreeSnapshot, sender: &str) {
    if whole.revision <= shared.tree.load().revision {
        return;
    }
    let documents = whole
        .documents
        .into_iter()
        .filter_map(|document| Some((document.path.parse::<TreePath>().ok()?, document.text?)));
    let activate = ActivateWhole {
        revision: whole.revision,
        documents: documents.collect::<BTreeMap<_, _>>(),
        source: format!("peer {sender}"),
    };
    if shared.tree_actor.ask(activate).await.unwrap_or(false) {
        push(shared);
    }
}

/// The answer to a peer that has a revision: the changes since, or the whole tree.
pub fn answer_for(active: &ActiveTree, have_revision: u64) -> Body {
    match changes_since(active, have_revision) {
        Some(changes) => Body::TreeChanges(TreeChanges { changes }),
        None => Body::TreeWhole(whole_tree(active.revision, &active.tree)),
    }
}

fn changes_since(active: &ActiveTree, have_revision: u64) -> Option<Vec<TreeChange>> {
    let start = active.recent.iter().position(|change| change.base_revision == have_revision)?;
    Some(active.recent[start..].iter().map(|change| to_message(change)).collect())
}

fn whole_tree(revision: u64, tree: &ConfigTree) -> TreeSnapshot {
    let document =
        |(path, text): (TreePath, String)| TreeDocument { path: path.to_string(), text: Some(text) };
    TreeSnapshot { revision, documents: tree.documents().into_iter().map(document).collect() }
}

fn to_message(change: &RecentChange) -> TreeChange {
    let document =
        |change: &Change| TreeDocument { path: change.path.to_string(), text: change.text.clone() };
    TreeChange {
        base_revision: change.base_revision,
        revision: change.revision,
        documents: change.changes.iter().map(document).collect(),
    }
}

fn to_activation(change: TreeChange, source: &str) -> ActivateChange {
    let changes = change
        .documents
        .into_iter()
        .filter_map(|document| Some(Change { path: document.path.parse().ok()?, text: document.text }));
    ActivateChange {
        base_revision: change.base_revision,
        revision: change.revision,
        changes: changes.collect(),
        source: source.to_owned(),
    }
}

/// Whether a message tells of a newer revision than the one in force, and where to ask for it.
pub fn newer_at(shared: &Shared, envelope: &Envelope) -> Option<SocketAddr> {
    (envelope.revision > shared.tree.load().revision).then(|| envelope.address.parse().ok()).flatten()
}
