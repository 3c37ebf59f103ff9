//! Which peers hold something newer than this node does, and whether it is being asked for.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::Instant;

/// Longest pause before the next peer is asked, where the last one was busy.
const LONGEST_PAUSE: Duration = Duration::from_millis(50);

/// What is known of the versions of one thing that peers hold.
#[derive(Debug, Default)]
pub struct PeerVersions {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The newest version that a peer told.
    newest: u64,
    /// Peers that told it.
    holders: Vec<SocketAddr>,
    /// When this node first heard of a version newer than its own; `None` while it holds the newest.
    behind_since: Option<Instant>,
    is_fetching: bool,
}

impl PeerVersions {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest version that a peer told, and for how long this node has lacked it.
    pub fn newest_reported(&self) -> (u64, Duration) {
        let state = self.lock();
        (state.newest, state.behind_since.map_or(Duration::ZERO, |since| since.elapsed()))
    }

    /// Notes the version that a peer holds; returns whether somebody must start to ask for it.
    pub(super) fn note(&self, peer: SocketAddr, version: u64, held: u64) -> bool {
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

    /// A peer that holds the newest version; `None` when this node holds it too, or no such peer is known.
    pub(super) fn pick_holder(&self, held: u64) -> Option<SocketAddr> {
        let state = self.lock();
        if state.newest <= held { None } else { state.holders.choose(&mut rand::rng()).copied() }
    }

    /// Forgets that a peer holds the newest version: it did not give it.
    pub(super) fn remove_holder(&self, peer: SocketAddr) {
        self.lock().holders.retain(|holder| *holder != peer);
    }

    /// Ends asking. A node that still lacks the version starts again when it next hears of it.
    pub(super) fn finish_fetch(&self, held: u64) {
        let mut state = self.lock();
        state.is_fetching = false;
        if held >= state.newest {
            state.behind_since = None;
        }
    }
}

/// Waits until a peer that was busy may be asked again, or another one.
pub(super) async fn pause_for_busy(busy_for_ms: u32) {
    tokio::time::sleep(Duration::from_millis(u64::from(busy_for_ms)).min(LONGEST_PAUSE)).await;
}

/// Milliseconds for which a peer is told to be busy: above zero.
pub(super) fn to_busy_ms(wait: Duration) -> u32 {
    u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).saturating_add(1)
}
