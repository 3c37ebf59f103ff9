//! How long calls to one server wait for a response.
//!
//! A call that is given up too early, and made again as early, never gets the response of a server that is slow: the
//! response of one call that timed out is therefore awaited a while longer, only to learn how long it took. A server that is
//! silent teaches nothing, so calls to it go on to fail as early as before.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time for which the response of a call that timed out is awaited to learn when it comes.
pub(crate) const LATE_RESPONSE_LIMIT: Duration = Duration::from_secs(4);
/// A call waits for this many times the last response's time, if that is longer than its timeout.
const PATIENCE_FACTOR: u32 = 2;

/// What is known of the time that a server takes; clones of a client share it.
#[derive(Debug)]
pub(crate) struct Patience {
    /// Timeout of calls that the server answers at once.
    usual_timeout: Duration,
    last_response_ms: AtomicU64,
    awaits_late_response: AtomicBool,
}

impl Patience {
    /// Nothing is known of the server.
    pub(crate) fn new(usual_timeout: Duration) -> Self {
        Self {
            usual_timeout,
            last_response_ms: AtomicU64::new(0),
            awaits_late_response: AtomicBool::new(false),
        }
    }

    /// Timeout of calls that the server answers at once.
    pub(crate) fn usual_timeout(&self) -> Duration {
        self.usual_timeout
    }

    /// A response came after this time.
    pub(crate) fn note_response(&self, took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        self.last_response_ms.store(took_ms, Ordering::Relaxed);
    }

    /// How long a call waits whose timeout is `timeout`.
    pub(crate) fn limit(&self, timeout: Duration) -> Duration {
        let last_response = Duration::from_millis(self.last_response_ms.load(Ordering::Relaxed));
        let last_response = last_response.min(LATE_RESPONSE_LIMIT);
        timeout + (last_response * PATIENCE_FACTOR).saturating_sub(self.usual_timeout)
    }

    /// Learns when the response of a call that timed out comes, one call at a time. Nobody else gets it.
    pub(crate) fn await_late_response<T, E>(
        self: &Arc<Self>,
        sent: Instant,
        exchange: impl Future<Output = Result<T, E>> + Send + 'static,
    ) where
        T: Send,
        E: Send,
    {
        if self.awaits_late_response.swap(true, Ordering::Relaxed) {
            return;
        }
        let patience = self.clone();
        tokio::spawn(async move {
            if let Ok(Ok(_)) = tokio::time::timeout(LATE_RESPONSE_LIMIT, exchange).await {
                patience.note_response(sent.elapsed());
            }
            patience.awaits_late_response.store(false, Ordering::Relaxed);
        });
    }
}
