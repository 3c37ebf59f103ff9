//! What this node itself has sent to a back end. Reports lag, so the node counts its own work on
//! top of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Counters of one back end at this node.
#[derive(Debug, Default)]
pub struct LocalLoad {
    open_requests: AtomicU32,
    dispatched_requests: AtomicU64,
    dispatched_tokens: AtomicU64,
    reported_requests: AtomicU64,
    reported_tokens: AtomicU64,
}

impl LocalLoad {
    /// Counts a dispatch until the guard is dropped.
    pub fn dispatch(self: &Arc<Self>, tokens: u32) -> DispatchGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.dispatched_requests.fetch_add(1, Ordering::Relaxed);
        self.dispatched_tokens.fetch_add(tokens.into(), Ordering::Relaxed);
        DispatchGuard { load: self.clone() }
    }

    /// Requests of this node that are open there.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Requests and prompt tokens dispatched since start.
    pub fn dispatched(&self) -> (u64, u64) {
        (self.dispatched_requests.load(Ordering::Relaxed), self.dispatched_tokens.load(Ordering::Relaxed))
    }

    /// Notes that the newest report includes everything dispatched up to these totals.
    pub fn cover(&self, requests: u64, tokens: u64) {
        self.reported_requests.store(requests, Ordering::Relaxed);
        self.reported_tokens.store(tokens, Ordering::Relaxed);
    }

    /// Requests dispatched that no report includes yet.
    pub fn unreported_requests(&self) -> u32 {
        let (requests, _) = self.dispatched();
        saturate(requests.saturating_sub(self.reported_requests.load(Ordering::Relaxed)))
    }

    /// Prompt tokens dispatched that no report includes yet.
    pub fn unreported_tokens(&self) -> u32 {
        let (_, tokens) = self.dispatched();
        saturate(tokens.saturating_sub(self.reported_tokens.load(Ordering::Relaxed)))
    }
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// One open request.
#[derive(Debug)]
pub struct DispatchGuard {
    load: Arc<LocalLoad>,
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.load.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
