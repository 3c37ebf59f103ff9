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

/// Two token buckets: one over all calls of this node, one over its writes.
///
/// The platform's limit on writes holds for the deployment, so each node has a part of it that
/// changes with the number of nodes.
#[derive(Debug)]
pub struct CallBudget {
    calls: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    made: AtomicU64,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate * BURST_SECONDS, refilled: Instant::now() }
    }

    /// Takes one token, which may be one of the future; returns how long to wait for it.
    fn take(&mut self) -> Duration {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * self.rate;
        self.refilled = now;
        self.tokens = (self.tokens + refill).min((self.rate * BURST_SECONDS).max(1.0)) - 1.0;
        Duration::from_secs_f64((-self.tokens / self.rate).max(0.0))
    }
}

impl CallBudget {
    /// A budget of `calls_per_second` of this node, with as many writes until told otherwise.
    pub fn new(calls_per_second: u32) -> Self {
        let rate = f64::from(calls_per_second.max(1));
        Self {
            calls: Mutex::new(Bucket::new(rate)),
            writes: Mutex::new(Bucket::new(rate)),
            made: AtomicU64::new(0),
        }
    }

    /// Sets this node's part of the deployment's writes.
    pub async fn set_writes_per_second(&self, rate: f64) {
        self.writes.lock().await.rate = rate.max(f64::MIN_POSITIVE);
    }

    /// Waits for the right to make one call that does not write.
    pub async fn take(&self) {
        let wait = self.calls.lock().await.take();
        self.made.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(wait).await;
    }

    /// Waits for the right to make one call that writes.
    pub async fn take_write(&self) {
        let wait = self.writes.lock().await.take();
        tokio::time::sleep(wait).await;
        self.take().await;
    }

    /// Calls made since start.
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }
}
