//! The newest usage window that was sent to the platform, as all nodes know it.
//!
//! The counts of a window are fixed in the store before they are sent, so a successor of the lease holder repeats
//! the same numbers. A store that is restored from a copy has lost counts that were fixed lately. Nodes therefore
//! tell each other which window was sent last, and in which era of the store: a holder in a later era sends none of
//! these windows again, since its counts may differ.

use std::sync::{Mutex, PoisonError};

/// A usage window that was sent to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentWindow {
    /// The window.
    pub window: u64,
    /// The era of the store in which its counts were fixed.
    pub era: u64,
}

/// The newest window sent that one node knows of.
#[derive(Debug, Default)]
pub struct ReportedUsage {
    newest: Mutex<Option<SentWindow>>,
}

impl ReportedUsage {
    /// Records a window that is about to be sent, or that a peer knows to be sent.
    pub fn note(&self, sent: SentWindow) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        if newest.is_none_or(|known| known.window < sent.window) {
            *newest = Some(sent);
        }
    }

    /// The newest window sent.
    pub fn newest(&self) -> Option<SentWindow> {
        *self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest window sent, if that was in another era than `era`: the store may have lost its counts.
    pub fn sent_in_other_era(&self, era: u64) -> Option<u64> {
        self.newest().filter(|sent| sent.era != era).map(|sent| sent.window)
    }
}
