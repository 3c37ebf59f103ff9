//! Open requests of this node at a back end.
//!
//! Reports of a back end's load are delayed. A node knows its own part of the load exactly, both now and at
//! the time that a report describes. The load of the other nodes is the reported load minus this node's part
//! at that time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counters of this node's requests at one back end.
#[derive(Debug, Default)]
pub struct LocalLoad {
    open_requests: AtomicU32,
    pending_tokens: AtomicU32,
    reported_requests: AtomicU32,
    reported_tokens: AtomicU32,
}

impl LocalLoad {
    /// Counts a request with `tokens` prompt tokens as open until the guard is dropped.
    pub fn dispatch(self: &Arc<Self>, tokens: u32) -> DispatchGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.pending_tokens.fetch_add(tokens, Ordering::Relaxed);
        DispatchGuard { load: self.clone(), pending: tokens }
    }

    /// Open requests of this node at the back end.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Prompt tokens of this node's requests whose prefill is not done.
    pub fn pending_tokens(&self) -> u32 {
        self.pending_tokens.load(Ordering::Relaxed)
    }

    /// Sets this node's part of the load at the time that the newest report describes.
    pub fn set_reported(&self, requests: u32, tokens: u32) {
        self.reported_requests.store(requests, Ordering::Relaxed);
        self.reported_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Requests of all nodes at the back end: those of other nodes by the report, those of this node by its
    /// current count.
    pub fn total_requests(&self, reported: u32) -> u32 {
        let others = reported.saturating_sub(self.reported_requests.load(Ordering::Relaxed));
        others.saturating_add(self.open_requests())
    }

    /// Prompt tokens of all nodes that the back end has not computed yet.
    pub fn total_tokens(&self, reported: u32) -> u32 {
        let others = reported.saturating_sub(self.reported_tokens.load(Ordering::Relaxed));
        others.saturating_add(self.pending_tokens())
    }
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    load: Arc<LocalLoad>,
    pending: u32,
}

impl DispatchGuard {
    /// Records that the back end has computed the prompt.
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
