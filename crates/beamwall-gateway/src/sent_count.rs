//! How often one request was sent to back ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of times that one request was sent to back ends, by this node and by the peers to which it was delegated.
/// Clones share the number.
#[derive(Debug, Clone, Default)]
pub struct SentCount {
    sent: Arc<AtomicU32>,
}

impl SentCount {
    /// The number now.
    pub fn get(&self) -> u32 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Counts one sending that begins; returns how many were counted before.
    pub fn note_sending(&self) -> u32 {
        self.sent.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes back a sending of which no byte was written.
    pub fn note_unsent(&self) {
        self.sent.fetch_sub(1, Ordering::Relaxed);
    }
}
