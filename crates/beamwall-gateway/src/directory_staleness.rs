//! Collects evidence that this node's list of back ends is stale, and decides when to reload it.
//!
//! A watch reports only changes, and its client assumes that none is missing. If the store or a proxy omits
//! one, no later response shows it. The list is therefore compared with other observations: listed back ends
//! that stay unreachable for longer than their entries last, peers whose list differs at the same revision,
//! and lists that the store returned from a cheaper, possibly stale read. Each of these is a reason to reload
//! the list, not a proof, since a crashed back end also stays listed for a while. Reloads that find no
//! difference are therefore repeated with exponential backoff.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{BackendId, StoreRevision};
use tokio::time::Instant;

use crate::directory::Directory;

/// Time for which a listed back end must be unreachable before the list is reloaded. Most entries of crashed
/// back ends have expired by then.
const UNREACHABLE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after the last failed connection for which a back end counts as unreachable.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a peer's list must differ, since a change reaches nodes at different times.
const DISAGREEMENT_THRESHOLD: Duration = Duration::from_millis(600);
/// Time after which a peer's last report of its list is ignored.
const PEER_REPORT_TTL: Duration = Duration::from_secs(3);
/// Delay after a reload; it doubles with each reload that finds no difference.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest delay between reloads.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Why the list may be stale.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StalenessEvidence {
    /// A listed back end can't be reached.
    Unreachable(BackendId),
    /// This many peers hold a different list of the same revision.
    PeersDisagree(usize),
    /// The store returned a different list, which may be older.
    StoreDisagrees,
    /// The list is of an era of the store that has ended.
    EarlierEra,
}

/// Time range of the failed connections to one back end, without any success in between.
#[derive(Debug, Clone, Copy)]
struct ConnectFailures {
    first: Instant,
    last: Instant,
}

/// The list that a peer reported.
#[derive(Debug, Clone, Copy)]
struct PeerList {
    revision: StoreRevision,
    digest: u64,
    /// Since when the peer has reported this list.
    since: Instant,
    /// Time of the peer's last report.
    last_reported: Instant,
}

#[derive(Debug, Default)]
struct State {
    connect_failures: HashMap<BackendId, ConnectFailures>,
    peers: HashMap<SocketAddr, PeerList>,
    store_disagrees: bool,
    next_reload: Option<Instant>,
    backoff: Option<Duration>,
}

/// Evidence that the list is stale.
#[derive(Debug, Default)]
pub struct StalenessTracker {
    state: Mutex<State>,
}

impl StalenessTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a back end accepted no connection, or that another one responds at its address.
    pub fn note_connect_failure(&self, backend: &BackendId, now: Instant) {
        let mut state = self.lock();
        let failures = state
            .connect_failures
            .entry(backend.clone())
            .or_insert(ConnectFailures { first: now, last: now });
        if now.saturating_duration_since(failures.last) > FAILURE_MEMORY {
            failures.first = now;
        }
        failures.last = now;
    }

    /// Records that a back end responded.
    pub fn note_response(&self, backend: &BackendId) {
        let mut state = self.lock();
        if !state.connect_failures.is_empty() {
            state.connect_failures.remove(backend);
        }
    }

    /// Records the list that a peer reported.
    pub fn note_peer(&self, peer: SocketAddr, revision: StoreRevision, digest: u64, now: Instant) {
        let mut state = self.lock();
        let reported = PeerList { revision, digest, since: now, last_reported: now };
        let known = state.peers.entry(peer).or_insert(reported);
        let is_same = (known.revision, known.digest) == (revision, digest);
        *known = if is_same { PeerList { last_reported: now, ..*known } } else { reported };
    }

    /// Records that the store returned a list that differs from the current one.
    pub fn note_store_disagrees(&self) {
        self.lock().store_disagrees = true;
    }

    /// Returns why the list should be reloaded now; `None` if there is no evidence or the last reload is too
    /// recent. A node that watches the store on behalf of others reloads as soon as one peer differs. Any
    /// other node reloads only if at least as many peers differ as agree, counting itself as agreeing.
    pub fn reason(&self, directory: &Directory, watches: bool, now: Instant) -> Option<StalenessEvidence> {
        let state = self.lock();
        if state.next_reload.is_some_and(|at| now < at) {
            return None;
        }
        if state.store_disagrees {
            return Some(StalenessEvidence::StoreDisagrees);
        }
        let differing = state.differing(directory, now);
        let agreeing = state.agreeing(directory, now) + 1;
        if differing > 0 && (watches || differing >= agreeing) {
            return Some(StalenessEvidence::PeersDisagree(differing));
        }
        state.unreachable_back_end(directory, now).map(StalenessEvidence::Unreachable)
    }

    /// Records that the whole list was reloaded, and whether it differed from the previous one.
    pub fn note_reload(&self, has_changed: bool, now: Instant) {
        let mut state = self.lock();
        state.store_disagrees = false;
        state.connect_failures.clear();
        state.peers.retain(|_, list| now.saturating_duration_since(list.last_reported) < PEER_REPORT_TTL);
        let backoff = match state.backoff {
            Some(backoff) if !has_changed => (backoff * 2).min(MAX_BACKOFF),
            _ => INITIAL_BACKOFF,
        };
        state.backoff = Some(backoff);
        state.next_reload = Some(now + backoff);
    }

    /// Removes back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().connect_failures.retain(|backend, _| is_known(backend));
    }
}

impl State {
    /// Number of peers that have held a different list of the same revision for some time.
    fn differing(&self, directory: &Directory, now: Instant) -> usize {
        let lasts = |list: &&PeerList| now.saturating_duration_since(list.since) >= DISAGREEMENT_THRESHOLD;
        let differs = |list: &&PeerList| list.digest != directory.digest();
        self.peers_at(directory.revision(), now).filter(differs).filter(lasts).count()
    }

    /// Number of peers that hold the same list.
    fn agreeing(&self, directory: &Directory, now: Instant) -> usize {
        let agrees = |list: &&PeerList| list.digest == directory.digest();
        self.peers_at(directory.revision(), now).filter(agrees).count()
    }

    /// Recent peer reports of the list at a revision.
    fn peers_at(&self, revision: StoreRevision, now: Instant) -> impl Iterator<Item = &PeerList> {
        let is_fresh =
            move |list: &&PeerList| now.saturating_duration_since(list.last_reported) < PEER_REPORT_TTL;
        self.peers.values().filter(move |list| list.revision == revision).filter(is_fresh)
    }

    /// A listed back end that has been unreachable for a long time.
    fn unreachable_back_end(&self, directory: &Directory, now: Instant) -> Option<BackendId> {
        let mut connect_failures = self.connect_failures.iter().filter(|(backend, failures)| {
            failures.last.saturating_duration_since(failures.first) >= UNREACHABLE_THRESHOLD
                && now.saturating_duration_since(failures.last) < FAILURE_MEMORY
                && directory.is_listed_available(backend)
        });
        connect_failures.next().map(|(backend, _)| backend.clone())
    }
}
