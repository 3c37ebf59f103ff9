//! Engines for which this node was denied a permit, until the next one is due.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

/// Longest time for which a denial is believed: the limit may have changed since.
const MAX_DENIED_TIME: Duration = Duration::from_secs(4);

/// A denial. It holds for requests of its rank and less urgent ones, since some permits are kept for more urgent
/// ones.
#[derive(Debug, Clone, Copy)]
struct Denial {
    rank: u8,
    until: Instant,
}

impl Denial {
    fn holds_for(&self, rank: u8, now: Instant) -> bool {
        rank >= self.rank && now < self.until
    }
}

/// Engines to which this node may not send for a while.
#[derive(Debug, Default)]
pub struct Denials {
    denials: Mutex<HashMap<BackendId, Denial>>,
}

impl Denials {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Denial>> {
        self.denials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the next permit for a request of this rank at an engine is due after `wait`.
    pub fn note(&self, backend: &BackendId, rank: u8, wait: Duration, now: Instant) {
        self.lock().insert(backend.clone(), Denial { rank, until: now + wait.min(MAX_DENIED_TIME) });
    }

    /// Forgets the denial of an engine, whose limit has changed.
    pub fn forget(&self, backend: &BackendId) {
        self.lock().remove(backend);
    }

    /// Time for which no permit is requested for a request of this rank at an engine; `None`: one may be
    /// requested now.
    pub fn wait(&self, backend: &BackendId, rank: u8, now: Instant) -> Option<Duration> {
        let denials = self.lock();
        let denial = denials.get(backend).filter(|denial| denial.holds_for(rank, now))?;
        Some(denial.until - now)
    }

    /// Engines for which no permit is requested now for a request of this rank.
    pub fn denied(&self, rank: u8, now: Instant) -> Vec<BackendId> {
        let mut denials = self.lock();
        denials.retain(|_, denial| denial.until > now);
        let holding = denials.iter().filter(|(_, denial)| denial.holds_for(rank, now));
        holding.map(|(backend, _)| backend.clone()).collect()
    }
}
