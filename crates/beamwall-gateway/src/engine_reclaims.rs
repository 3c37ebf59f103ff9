//! Engines that announced when they will be gone.
//!
//! A reclaimable engine says in its entry that it drains and how much time is left. The instant at which it is
//! gone is derived from when this node heard of that; a later copy of the same announcement never moves the
//! instant back. Whoever streams from such an engine is woken by a counter that changes with each announcement.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::directory::{Backend, Directory};

/// Usual age of an announcement when this node hears of it, by the store's watch or from a peer.
const ANNOUNCEMENT_AGE: Duration = Duration::from_millis(250);

/// Engines that announced when they will be gone.
#[derive(Debug)]
pub struct EngineReclaims {
    gone_at: Mutex<HashMap<BackendId, Instant>>,
    announcements: watch::Sender<u64>,
}

impl Default for EngineReclaims {
    fn default() -> Self {
        Self { gone_at: Mutex::default(), announcements: watch::Sender::new(0) }
    }
}

impl EngineReclaims {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Instant>> {
        self.gone_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the announcements of the listed engines, and wakes the subscribers if there are new ones.
    pub fn note_directory(&self, directory: &Directory, now: Instant) {
        let mut known = self.lock();
        // Listed engines that no longer drain. Those that are not listed are removed by `retain`.
        known.retain(|backend, _| directory.get(backend).is_none_or(|listed| listed.draining));
        let known_before = known.len();
        for (backend, time_left) in directory.backends().filter_map(announced_time_left) {
            let gone_at = now + time_left.saturating_sub(ANNOUNCEMENT_AGE);
            let earliest = known.entry(backend.clone()).or_insert(gone_at);
            *earliest = gone_at.min(*earliest);
        }
        if known.len() > known_before {
            self.announcements.send_modify(|number| *number += 1);
        }
    }

    /// When an engine is gone, if it announced that.
    pub fn gone_at(&self, backend: &BackendId) -> Option<Instant> {
        self.lock().get(backend).copied()
    }

    /// Changes when an engine is announced for the first time.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }

    /// Removes engines that are no longer listed.
    pub fn retain(&self, is_listed: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_listed(backend));
    }
}

fn announced_time_left(backend: &Backend) -> Option<(&BackendId, Duration)> {
    let time_left = backend.leaves_in_ms.filter(|_| backend.draining)?;
    Some((&backend.id, Duration::from_millis(time_left)))
}
