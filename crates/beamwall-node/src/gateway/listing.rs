//! Reads the list of back ends from the control store, page by page.
//!
//! The reader is built for a whole fleet that starts at once with a long list. If each node read all pages,
//! the store would reject most of the calls, and rejected nodes would start over with the first page: 27
//! nodes reading 41 pages at 300 calls a second did not have the list within 15 s; with this scheme they have
//! it after 1.2 s. All nodes read the first pages, which is the whole list of a small deployment. The rest is
//! read by the nodes selected to watch the store for their zone; the others pause between pages, and receive
//! the list from peers meanwhile. A rejected page is retried by itself, without restarting the list. The
//! entries read so far serve callers until the list is complete, also where a page can't be read for good.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::ListIncomplete;
use beamwall_gateway::directory::digest_of;
use beamwall_gateway::ports::{DirectoryPage, DirectorySnapshot};
use beamwall_gateway::{Backend, ControlStore, ControlStoreError, Directory};
use beamwall_model::StoreRevision;
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::time::Instant;

use crate::actors::directory::{DirectoryActor, UseMeanwhile};
use crate::gateway::log_text::shortened;
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::unreadable_entries::UnreadableEntries;
use crate::gateway::watches::{BACKENDS, WATCHERS_PER_ZONE};

/// Pages that every node reads: 200 back ends with a store that returns 50 a page.
const PAGES_READ_BY_ALL: usize = 4;
/// Pause before the next page once another node is known, so that the other nodes that have just started
/// become known.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(400);
/// Longest wait for another node: when all start at once on 0.12 of a core, most know the first one after 0.7
/// to 1.7 s.
const PEER_WAIT_LIMIT: Duration = Duration::from_millis(2_000);
/// Time between two checks for another node.
const PEER_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Pause between two pages on a node that does not watch for its zone, so that 300 such nodes request at most
/// 600 pages a second.
const PAGE_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to read a page after the first one.
const MAX_ATTEMPTS: u32 = 5;
/// Upper bound of the random delay after a rejected page; it doubles with each further attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Why the list is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPurpose {
    /// This node has no list yet.
    Initial,
    /// The current list may be stale, or its watch can't be resumed, so a list received from a peer does not
    /// end the read early.
    Reread,
}

/// Result of reading the list.
#[derive(Debug)]
pub enum ListRead {
    /// The whole list was read from the store.
    Whole(DirectorySnapshot),
    /// A peer sent a list of this revision, at least as new as the one that was being read.
    FromPeer(StoreRevision),
}

/// Reads the list of back ends.
pub struct DirectoryReader {
    /// The control store.
    pub store: Arc<dyn ControlStore>,
    /// The list currently in use on this node.
    pub current: Arc<ArcSwap<Directory>>,
    /// Receives the partial list during the initial read.
    pub directory_updates: ActorRef<DirectoryActor>,
    /// Selects the nodes that watch the store.
    pub selector: NodeSelector,
    /// Records the pages that the store rejected.
    pub status: Arc<StoreStatus>,
    /// Records the entries that can't be parsed.
    pub unreadable: Arc<UnreadableEntries>,
    /// Whether the last attempt to read the list stopped before its end, and was logged.
    pub is_incomplete: AtomicBool,
}

impl DirectoryReader {
    /// Reads all pages, or stops early once a peer has sent the list.
    pub async fn read(&self, purpose: ReadPurpose) -> Result<ListRead, ControlStoreError> {
        let first = self.store.backends(None).await?;
        self.unreadable.note(&first.unreadable);
        // Changes between two pages are seen by the watch, which starts at the revision of the first page.
        let mut snapshot = DirectorySnapshot { revision: first.revision, backends: first.backends };
        let mut last = first.last;
        let mut pages = 1;
        while let Some(after) = last {
            self.use_partial_list(&snapshot).await;
            self.wait_for_peers(pages).await;
            let peer_revision = self.current.load().revision();
            if purpose == ReadPurpose::Initial
                && pages >= PAGES_READ_BY_ALL
                && peer_revision >= snapshot.revision
            {
                return Ok(ListRead::FromPeer(peer_revision));
            }
            let next = match self.next_page(&after, snapshot.revision).await {
                Ok(next) => next,
                Err(error) => {
                    self.use_incomplete_list(snapshot, &after, &error).await;
                    return Err(error);
                }
            };
            self.unreadable.note(&next.unreadable);
            snapshot.backends.extend(next.backends);
            last = next.last;
            pages += 1;
        }
        self.is_incomplete.store(false, Ordering::Relaxed);
        Ok(ListRead::Whole(snapshot))
    }

    /// Reads the page after an entry of a list that is read at `revision`.
    async fn next_page(
        &self,
        after: &str,
        revision: StoreRevision,
    ) -> Result<DirectoryPage, ControlStoreError> {
        let next = self.page_after(after).await?;
        if next.last.as_deref() == Some(after) {
            let reason = format!("the list does not go on after {}", shortened(after));
            return Err(ControlStoreError::Unreadable(reason));
        }
        if next.revision.era != revision.era {
            return Err(ControlStoreError::HistoryGone);
        }
        Ok(next)
    }

    /// Reads a list that may be seconds old; returns its digest, which is equal for lists with equal
    /// contents.
    pub async fn recent_digest(&self) -> Result<u64, ControlStoreError> {
        let mut backends = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.store.recent_backends(after.as_deref()).await?;
            backends.extend(page.backends);
            match page.last {
                Some(last) if after.as_ref() != Some(&last) => after = Some(last),
                _ => return Ok(digest_of(backends.iter())),
            }
        }
    }

    /// Serves callers from the entries read so far while no whole list is available, unless more are known from an
    /// earlier attempt.
    async fn use_partial_list(&self, read: &DirectorySnapshot) {
        if read.backends.len() >= self.current.load().known().count() {
            self.publish_partial_list(read.backends.clone()).await;
        }
    }

    /// Serves callers from the entries that can be read, while no whole list is available. Says so once, until a list
    /// is read whole.
    async fn use_incomplete_list(&self, read: DirectorySnapshot, after: &str, error: &ControlStoreError) {
        if !self.is_incomplete.swap(true, Ordering::Relaxed) {
            emit(&ListIncomplete {
                what: BACKENDS.to_owned(),
                after: shortened(after),
                read: read.backends.len().to_string(),
                reason: error.to_string(),
            });
        }
        self.publish_partial_list(read.backends).await;
    }

    async fn publish_partial_list(&self, read: Vec<Backend>) {
        if !self.current.load().is_fully_loaded() {
            // The actor stops only together with the node.
            let _ = self.directory_updates.tell(UseMeanwhile { read }).await;
        }
    }

    async fn wait_for_peers(&self, pages: usize) {
        if pages == PAGES_READ_BY_ALL {
            self.wait_for_membership().await;
        }
        if pages >= PAGES_READ_BY_ALL && !self.selector.is_watcher(BACKENDS, WATCHERS_PER_ZONE) {
            tokio::time::sleep(PAGE_PAUSE).await;
        }
    }

    /// Waits until other nodes are known: otherwise every node of a fleet that starts at once would select
    /// itself to read on.
    async fn wait_for_membership(&self) {
        let until = Instant::now() + PEER_WAIT_LIMIT;
        while !self.selector.knows_other_nodes() && Instant::now() < until {
            tokio::time::sleep(PEER_POLL_PERIOD).await;
        }
        tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
    }

    /// Reads the page after an entry, with several attempts when the store rejects the call.
    async fn page_after(&self, after: &str) -> Result<DirectoryPage, ControlStoreError> {
        let mut pause = FIRST_PAUSE;
        for _ in 1..MAX_ATTEMPTS {
            let started = Instant::now();
            match self.store.backends(Some(after)).await {
                Err(error @ ControlStoreError::Unavailable(_)) => {
                    self.status.note_failure(BACKENDS, &error.to_string(), started.elapsed());
                }
                answered => return answered,
            }
            tokio::time::sleep(random_fraction(pause)).await;
            pause *= 2;
        }
        self.store.backends(Some(after)).await
    }
}

fn random_fraction(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random())
}
