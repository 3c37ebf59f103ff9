//! Engines for which this node was denied a permit, until the next one is due.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

/// Longest time for which a denial is believed: the limit may have changed since.
const MAX_DENIED_TIME: Duration = Duration::from_secs(4);

/// Engines to which this node may not send for a while.
#[derive(Debug, Default)]
pub struct Denials {
    until: Mutex<HashMap<BackendId, Instant>>,
}

impl Denials {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the next permit for an engine is due after `wait`.
    pub fn note(&self, backend: &BackendId, wait: Duration, now: Instant) {
        self.lock().insert(backend.clone(), now + wait.min(MAX_DENIED_TIME));
    }

    /// Forgets the denial of an engine, whose limit has changed.
    pub fn forget(&self, backend: &BackendId) {
        self.lock().remove(backend);
    }

    /// Time for which no permit is requested for an engine; `None`: one may be requested now.
    pub fn wait(&self, backend: &BackendId, now: Instant) -> Option<Duration> {
        let until = *self.lock().get(backend)?;
        (until > now).then(|| until - now)
    }

    /// Engines for which no permit is requested now.
    pub fn denied(&self, now: Instant) -> Vec<BackendId> {
        let mut denials = self.lock();
        denials.retain(|_, until| *until > now);
        denials.keys().cloned().collect()
    }
}
