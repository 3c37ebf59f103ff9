//! What this node itself has open at a back end.
//!
//! Reports lag. The node knows its own part exactly, now and at the time that a report describes:
//! the others' part is the report less this node's part then.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counters of one back end at this node.
#[derive(Debug, Default)]
pub struct LocalLoad {
    open_requests: AtomicU32,
    pending_tokens: AtomicU32,
    reported_requests: AtomicU32,
    reported_tokens: AtomicU32,
}

impl LocalLoad {
    /// Counts a dispatch until the guard is dropped.
    pub fn dispatch(self: &Arc<Self>, tokens: u32) -> DispatchGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.pending_tokens.fetch_add(tokens, Ordering::Relaxed);
        DispatchGuard { load: self.clone(), pending: tokens }
    }

    /// Requests of this node that are open there.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this node's requests that have not started there.
    pub fn pending_tokens(&self) -> u32 {
        self.pending_tokens.load(Ordering::Relaxed)
    }

    /// Notes this node's part at the time that the newest report describes.
    pub fn set_reported(&self, requests: u32, tokens: u32) {
        self.reported_requests.store(requests, Ordering::Relaxed);
        self.reported_tokens.store(tokens, Ordering::Relaxed);
    }

    /// All requests there: the others' by the report, this node's by its own count.
    pub fn total_requests(&self, reported: u32) -> u32 {
        let others = reported.saturating_sub(self.reported_requests.load(Ordering::Relaxed));
        others.saturating_add(self.open_requests())
    }

    /// All prompt tokens not yet computed there.
    pub fn total_tokens(&self, reported: u32) -> u32 {
        let others = reported.saturating_sub(self.reported_tokens.load(Ordering::Relaxed));
        others.saturating_add(self.pending_tokens())
    }
}

/// One open request.
#[derive(Debug)]
pub struct DispatchGuard {
    load: Arc<LocalLoad>,
    pending: u32,
}

impl DispatchGuard {
    /// Notes that the back end has computed the prompt.
    pub fn record_prefill_done(&mut self) {
        self.load.pending_tokens.fetch_sub(self.pending, Ordering::Relaxed);
        self.pending = 0;
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.record_prefill_done();
        self.load.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
