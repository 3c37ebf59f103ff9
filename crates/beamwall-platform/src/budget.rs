//! The calls a node may make to the platform each second.
//!
//! The platform counts every call, a waiting watch as one, and its rates grow more slowly than
//! the fleet, so each node keeps to a share. A caller over the budget waits its turn; group
//! commit then makes the batches larger instead of the calls more.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Calls that may be made at once after a quiet time, in seconds of budget.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket over platform calls.
#[derive(Debug)]
pub struct CallBudget {
    calls_per_second: f64,
    state: Mutex<Bucket>,
    made: AtomicU64,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled: Instant,
}

impl CallBudget {
    /// A budget of `calls_per_second`.
    pub fn new(calls_per_second: u32) -> Self {
        let calls_per_second = f64::from(calls_per_second.max(1));
        let bucket = Bucket { tokens: calls_per_second * BURST_SECONDS, refilled: Instant::now() };
        Self { calls_per_second, state: Mutex::new(bucket), made: AtomicU64::new(0) }
    }

    /// Waits for the right to make one call.
    pub async fn take(&self) {
        let wait = {
            let mut bucket = self.state.lock().await;
            let now = Instant::now();
            let refill = now.duration_since(bucket.refilled).as_secs_f64() * self.calls_per_second;
            bucket.refilled = now;
            bucket.tokens = (bucket.tokens + refill).min(self.calls_per_second * BURST_SECONDS) - 1.0;
            Duration::from_secs_f64((-bucket.tokens / self.calls_per_second).max(0.0))
        };
        self.made.fetch_add(1, Ordering::Relaxed);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Calls made since start.
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }
}
