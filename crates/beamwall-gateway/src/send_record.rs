//! What counts of one request for the retry budgets, over all nodes that handle it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// How often one request was sent to back ends, by this node and by the peers to which it was delegated, and whether
/// a node has earned the request's fraction of a retry. Clones share the record.
#[derive(Debug, Clone, Default)]
pub struct SendRecord {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    sent: AtomicU32,
    has_earned: AtomicBool,
}

impl SendRecord {
    /// The record of a request that a peer delegated. `has_earned`: another node has earned its fraction of a retry.
    pub fn of_delegated(has_earned: bool) -> Self {
        let record = Self::default();
        record.shared.has_earned.store(has_earned, Ordering::Relaxed);
        record
    }

    /// How often it was sent.
    pub fn sent(&self) -> u32 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Counts one sending that begins; returns how many were counted before.
    pub fn note_sending(&self) -> u32 {
        self.shared.sent.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes back a sending of which no byte was written.
    pub fn note_unsent(&self) {
        self.shared.sent.fetch_sub(1, Ordering::Relaxed);
    }

    /// Adds what a peer has sent.
    pub fn note_sent_by_peer(&self, sent: u32) {
        self.shared.sent.fetch_add(sent, Ordering::Relaxed);
    }

    /// Whether a node has earned the request's fraction of a retry.
    pub fn has_earned(&self) -> bool {
        self.shared.has_earned.load(Ordering::Relaxed)
    }

    /// Records that a node earns it; returns whether it is the first.
    pub fn note_earned(&self) -> bool {
        !self.shared.has_earned.swap(true, Ordering::Relaxed)
    }
}
