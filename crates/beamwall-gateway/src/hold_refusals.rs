//! Counts the requests that a node refuses while something is held, to tell how many a hold cost that was wrong.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use beamwall_quarantine::Fingerprint;

/// Refusals of one node.
#[derive(Debug, Default)]
pub struct HoldRefusals {
    /// By what is held. The number of held requests is bounded.
    refused: Mutex<HashMap<Fingerprint, u64>>,
    of_freed: AtomicU64,
}

impl HoldRefusals {
    fn lock(&self) -> MutexGuard<'_, HashMap<Fingerprint, u64>> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request was refused since this is held.
    pub fn note(&self, held: Fingerprint) {
        *self.lock().entry(held).or_default() += 1;
    }

    /// Returns how many requests were refused since this was held, which is free now.
    pub fn note_freed(&self, freed: &Fingerprint) -> u64 {
        let refused = self.lock().remove(freed).unwrap_or(0);
        self.of_freed.fetch_add(refused, Ordering::Relaxed);
        refused
    }

    /// Requests that were refused for something that was freed later.
    pub fn of_freed(&self) -> u64 {
        self.of_freed.load(Ordering::Relaxed)
    }
}
