//! Tracks which peers hold a newer version than this node, and whether it is being fetched.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

/// Longest pause before asking the next peer after one was busy.
const LONGEST_PAUSE: Duration = Duration::from_millis(50);

/// The versions of one resource that peers hold.
#[derive(Debug, Default)]
pub struct PeerVersions<V> {
    state: Mutex<State<V>>,
}

#[derive(Debug, Default)]
struct State<V> {
    /// The newest version that a peer reported.
    newest: V,
    /// Peers that reported that version.
    holders: Vec<SocketAddr>,
    /// When this node first learned of a version newer than its own; `None` while it holds the newest.
    behind_since: Option<Instant>,
    is_fetching: bool,
}

impl<V: Copy + Ord> PeerVersions<V> {
    fn lock(&self) -> MutexGuard<'_, State<V>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest version that a peer reported, and for how long this node has lacked it.
    pub fn newest_reported(&self) -> (V, Duration) {
        let state = self.lock();
        (state.newest, state.behind_since.map_or(Duration::ZERO, |since| since.elapsed()))
    }

    /// Records the version that a peer holds; returns whether the caller must start to fetch it.
    pub(super) fn note(&self, peer: SocketAddr, version: V, held: V) -> bool {
        let mut state = self.lock();
        if version <= held || version < state.newest {
            return false;
        }
        if version > state.newest {
            state.newest = version;
            state.holders.clear();
        }
        if !state.holders.contains(&peer) {
            state.holders.push(peer);
        }
        state.behind_since.get_or_insert_with(Instant::now);
        !std::mem::replace(&mut state.is_fetching, true)
    }

    /// Returns a peer that holds the newest version; `None` if this node holds it too, or no such peer is
    /// known.
    pub(super) fn pick_holder(&self, held: V) -> Option<SocketAddr> {
        let state = self.lock();
        if state.newest <= held { None } else { state.holders.choose(&mut rand::rng()).copied() }
    }

    /// Removes a peer from the holders of the newest version because it did not deliver it.
    pub(super) fn remove_holder(&self, peer: SocketAddr) {
        self.lock().holders.retain(|holder| *holder != peer);
    }

    /// Marks the fetch as finished. A node that still lacks the version starts again at the next report of
    /// it.
    pub(super) fn finish_fetch(&self, held: V) {
        let mut state = self.lock();
        state.is_fetching = false;
        if held >= state.newest {
            state.behind_since = None;
        }
    }
}

/// Waits before asking again after a busy answer; the next request may go to another peer.
pub(super) async fn pause_for_busy(busy_for_ms: u32) {
    tokio::time::sleep(Duration::from_millis(u64::from(busy_for_ms)).min(LONGEST_PAUSE)).await;
}

/// Converts the wait of a busy answer to milliseconds; the result is above zero, since zero means not busy.
pub(super) fn to_busy_ms(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).saturating_add(1)
}
