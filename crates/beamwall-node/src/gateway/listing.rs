//! Reads the list of back ends from the store, page by page.
//!
//! The load that this answers: a whole fleet that starts at once beside a long list. If each node read all pages, the store
//! would refuse most of the calls, and refused nodes would come back with the first page: 27 nodes beside 41 pages at 300
//! calls a second did not know the list within 15 s, and do after 1.2 s now. So all nodes read the first pages, which is the
//! whole list of a small deployment. The rest is read by those that watch for their zone; the others leave pauses, in which
//! peers tell them the list. A page that is refused is asked for again, not the list. What was read serves callers until the
//! whole is known.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_gateway::directory::digest_of;
use beamwall_gateway::ports::{DirectoryPage, DirectorySnapshot};
use beamwall_gateway::{ControlStore, ControlStoreError, Directory};
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::time::Instant;

use crate::actors::directory::{DirectoryActor, UseMeanwhile};
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::unreadable_entries::UnreadableEntries;
use crate::gateway::watches::{BACKENDS, WATCHERS_PER_ZONE};

/// Pages that every node reads: 200 back ends at a store that gives 50 a page.
const PAGES_READ_BY_ALL: usize = 4;
/// Pause before the next page once another node is known, until it is known who else has started.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(400);
/// Longest wait for another node: where all start at once on 0.12 of a core, most know the first one after 0.7 to 1.7 s.
const PEER_WAIT_LIMIT: Duration = Duration::from_millis(2_000);
/// Time between two looks for one.
const PEER_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Pause between two pages of a node that does not watch for its zone, so that 300 of them ask for 600 pages a second at most.
const PAGE_PAUSE: Duration = Duration::from_millis(500);
/// Times that a page after the first is asked for.
const MAX_ATTEMPTS: u32 = 5;
/// Longest pause after a page was refused, a random part of which is waited; it doubles with each further try.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Why the list is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPurpose {
    /// No list is known here.
    Initial,
    /// The list held here is doubted or can't be followed on, so that it is no reason to leave the rest unread.
    Reread,
}

/// What a reading came to.
#[derive(Debug)]
pub enum ListRead {
    /// The whole list was read.
    Whole(DirectorySnapshot),
    /// A peer told a list of this revision, at least as new as the one that was being read.
    FromPeer(u64),
}

/// Reads the list.
pub struct DirectoryReader {
    /// The store.
    pub store: Arc<dyn ControlStore>,
    /// The list as known here.
    pub current: Arc<ArcSwap<Directory>>,
    /// Takes what was read of the first list.
    pub directory_updates: ActorRef<DirectoryActor>,
    /// Who watches.
    pub selector: NodeSelector,
    /// Told when the store refuses a page.
    pub status: Arc<StoreStatus>,
    /// Told of entries that can't be read.
    pub unreadable: Arc<UnreadableEntries>,
}

impl DirectoryReader {
    /// Reads all pages, or as many as it takes until a peer has told the list.
    pub async fn read(&self, purpose: ReadPurpose) -> Result<ListRead, ControlStoreError> {
        let first = self.store.backends(None).await?;
        self.unreadable.note(&first.unreadable);
        // What changes between two pages is seen by the watch from the first page's revision.
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
            let next = self.page_after(&after).await?;
            if next.last.as_ref() == Some(&after) {
                return Err(ControlStoreError::Unreadable(format!("the list does not go on after {after}")));
            }
            self.unreadable.note(&next.unreadable);
            snapshot.backends.extend(next.backends);
            last = next.last;
            pages += 1;
        }
        Ok(ListRead::Whole(snapshot))
    }

    /// Reads a list that may be seconds old; gives a number that is equal for lists of equal contents.
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

    /// Lets callers be served by what was read so far, where no whole list is known.
    async fn use_partial_list(&self, read: &DirectorySnapshot) {
        if !self.current.load().is_whole() {
            // The actor ends only with the node.
            let _ = self.directory_updates.tell(UseMeanwhile { read: read.backends.clone() }).await;
        }
    }

    async fn wait_for_peers(&self, pages: usize) {
        if pages == PAGES_READ_BY_ALL {
            self.wait_for_membership().await;
        }
        if pages >= PAGES_READ_BY_ALL && !self.selector.is_selected(BACKENDS, WATCHERS_PER_ZONE) {
            tokio::time::sleep(PAGE_PAUSE).await;
        }
    }

    /// Waits until others are known: else each of a fleet that starts at once would take itself for the one that reads on.
    async fn wait_for_membership(&self) {
        let until = Instant::now() + PEER_WAIT_LIMIT;
        while !self.selector.knows_other_nodes() && Instant::now() < until {
            tokio::time::sleep(PEER_POLL_PERIOD).await;
        }
        tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
    }

    /// Reads the page after an entry, in several tries where the store refuses it.
    async fn page_after(&self, after: &str) -> Result<DirectoryPage, ControlStoreError> {
        let mut pause = FIRST_PAUSE;
        for _ in 1..MAX_ATTEMPTS {
            match self.store.backends(Some(after)).await {
                Err(error @ ControlStoreError::Unavailable(_)) => {
                    self.status.note_failure(BACKENDS, &error.to_string());
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
