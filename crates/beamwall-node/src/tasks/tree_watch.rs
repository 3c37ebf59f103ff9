//! Learns of new settings: two nodes of a zone watch the platform, the others hear from peers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::actors::tree::ActivateWhole;
use crate::shared::Shared;
use crate::tasks::tree_spread;
use crate::tree_store::{HEAD, TreeStoreError, content_digest};

/// Nodes of a zone that watch.
const WATCHERS: usize = 2;
/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failure, and between looks of a node that does not watch.
const PAUSE: Duration = Duration::from_millis(500);

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    catch_up(&shared).await;
    let mut sequence = 0;
    loop {
        if !is_watcher(&shared) {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        match shared.store.watch(HEAD, sequence, WATCH_WAIT).await {
            Ok(answer) => {
                sequence = answer.sequence;
                if !answer.changed.is_empty() && load_head(&shared).await.is_err() {
                    sequence = 0;
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Before it is ready, a node learns the newest revision from the platform or, when that is away,
/// from every peer that answers.
async fn catch_up(shared: &Arc<Shared>) {
    loop {
        let from_platform = load_head(shared).await.is_ok();
        let from_peers = ask_peers(shared).await;
        if from_platform || (from_peers && shared.tree.load().revision > 0) {
            shared.caught_up.store(true, Ordering::Relaxed);
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn ask_peers(shared: &Arc<Shared>) -> bool {
    let seeds = shared.settings.seeds.iter().filter(|seed| **seed != shared.settings.peers);
    let questions: Vec<_> = seeds
        .map(|seed| {
            let (shared, seed) = (shared.clone(), *seed);
            tokio::spawn(async move { tree_spread::fetch(&shared, seed).await })
        })
        .collect();
    let mut answered = false;
    for question in questions {
        answered |= question.await.unwrap_or(false);
    }
    answered
}

fn is_watcher(shared: &Shared) -> bool {
    shared.is_chosen_in_zone(HEAD.as_bytes(), WATCHERS)
}

/// Reads the head and activates its revision if newer.
pub async fn load_head(shared: &Arc<Shared>) -> Result<(), TreeStoreError> {
    let (_, head) = shared.tree_store.head().await?;
    shared.note_revision(head.revision);
    let active = shared.tree.load_full();
    if head.revision <= active.revision {
        return Ok(());
    }
    let manifest = shared.tree_store.manifest(&head.edit).await?;
    let known: HashMap<String, String> =
        active.tree.documents().into_values().map(|text| (content_digest(&text), text)).collect();
    let documents: BTreeMap<_, _> = shared.tree_store.documents(&manifest, &known).await?;
    let activate = ActivateWhole { revision: manifest.revision, documents, source: "platform".to_owned() };
    if shared.tree_actor.ask(activate).await.unwrap_or(false) {
        tree_spread::push(shared);
    }
    Ok(())
}
