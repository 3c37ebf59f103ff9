//! What speaks against the list of back ends that is held here, and when to read it anew because of that.
//!
//! A watch tells changes only, and whoever follows it believes that none was left out. Where the store, or what stands between,
//! passes one over, no later answer tells of it. So the list is held against what else is seen: back ends that are listed and
//! can't be reached for longer than their entries outlive them, peers whose list differs at the same revision, and a list that
//! the store gave more cheaply and later. Each is a reason to read the list, no proof: a crashed back end is listed for a while
//! too. So readings that find nothing new come at longer and longer pauses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::directory::Directory;

/// Time for which a listed back end can't be reached until the list is doubted: most entries of crashed back ends have lapsed by then.
const UNREACHABLE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time after its last try for which a back end counts as not reached.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a peer's list must differ: news of one change reaches nodes at different moments.
const DISAGREEMENT_THRESHOLD: Duration = Duration::from_millis(600);
/// Silence after which a peer's list says nothing any more.
const PEER_REPORT_TTL: Duration = Duration::from_secs(3);
/// Pause after a reading; it doubles with each one that finds nothing new.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Why the list is doubted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StalenessEvidence {
    /// A listed back end can't be reached.
    Unreachable(BackendId),
    /// So many peers hold another list of the same revision.
    PeersDisagree(usize),
    /// The store gave another list, which may be older.
    StoreDisagrees,
}

/// Tries at one back end, none of which reached it.
#[derive(Debug, Clone, Copy)]
struct ConnectFailures {
    first: Instant,
    last: Instant,
}

/// The list that a peer told.
#[derive(Debug, Clone, Copy)]
struct PeerList {
    revision: u64,
    digest: u64,
    /// Since when it tells just this one.
    since: Instant,
    /// When it told it last.
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

/// What speaks against the list.
#[derive(Debug, Default)]
pub struct StalenessTracker {
    state: Mutex<State>,
}

impl StalenessTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a back end took no connection, or that another one answers in its place.
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

    /// Notes that a back end answered.
    pub fn note_response(&self, backend: &BackendId) {
        let mut state = self.lock();
        if !state.connect_failures.is_empty() {
            state.connect_failures.remove(backend);
        }
    }

    /// Notes the list that a peer holds.
    pub fn note_peer(&self, peer: SocketAddr, revision: u64, digest: u64, now: Instant) {
        let mut state = self.lock();
        let reported = PeerList { revision, digest, since: now, last_reported: now };
        let known = state.peers.entry(peer).or_insert(reported);
        let is_same = (known.revision, known.digest) == (revision, digest);
        *known = if is_same { PeerList { last_reported: now, ..*known } } else { reported };
    }

    /// Notes that the store gave another list than the one held.
    pub fn note_store_disagrees(&self) {
        self.lock().store_disagrees = true;
    }

    /// Why the list should be read now; `None` where nothing speaks against it, or it was read a moment ago. A node that watches
    /// for others doubts with the first peer that differs, another one where it stands alone with half of them.
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

    /// Notes that the list was read whole, and whether it differed from what was held.
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

    /// Forgets back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().connect_failures.retain(|backend, _| is_known(backend));
    }
}

impl State {
    /// Peers that have held another list of the same revision for a while.
    fn differing(&self, directory: &Directory, now: Instant) -> usize {
        let lasts = |list: &&PeerList| now.saturating_duration_since(list.since) >= DISAGREEMENT_THRESHOLD;
        let differs = |list: &&PeerList| list.digest != directory.digest();
        self.peers_at(directory.revision(), now).filter(differs).filter(lasts).count()
    }

    /// Peers that hold the same list.
    fn agreeing(&self, directory: &Directory, now: Instant) -> usize {
        let agrees = |list: &&PeerList| list.digest == directory.digest();
        self.peers_at(directory.revision(), now).filter(agrees).count()
    }

    /// The lists of a revision that were told a moment ago.
    fn peers_at(&self, revision: u64, now: Instant) -> impl Iterator<Item = &PeerList> {
        let is_fresh =
            move |list: &&PeerList| now.saturating_duration_since(list.last_reported) < PEER_REPORT_TTL;
        self.peers.values().filter(move |list| list.revision == revision).filter(is_fresh)
    }

    /// A listed back end that could not be reached for long.
    fn unreachable_back_end(&self, directory: &Directory, now: Instant) -> Option<BackendId> {
        let mut connect_failures = self.connect_failures.iter().filter(|(backend, failures)| {
            failures.last.saturating_duration_since(failures.first) >= UNREACHABLE_THRESHOLD
                && now.saturating_duration_since(failures.last) < FAILURE_MEMORY
                && directory.is_listed_available(backend)
        });
        connect_failures.next().map(|(backend, _)| backend.clone())
    }
}
