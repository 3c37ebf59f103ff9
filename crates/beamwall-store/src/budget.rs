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
/// Writes a second that a node starts with.
const INITIAL_WRITE_RATE: f64 = 20.0;
/// Lowest rate of writes.
const MIN_WRITE_RATE: f64 = 0.5;
/// Writes that may be made at once after a quiet time.
const WRITE_BURST: f64 = 10.0;
/// Added to the rate of writes for each write that the platform took.
const WRITE_RATE_INCREASE: f64 = 0.2;
/// The rate of writes after a refusal, of what it was before.
const WRITE_RATE_DECREASE_FACTOR: f64 = 0.7;

/// Two token buckets: one over all calls of this node, one over its writes.
///
/// The platform's limit on writes holds for the deployment, and only the platform sees all of them.
/// A node raises its rate a little with each write that was taken and lowers it at each refusal, so
/// that the nodes which write share the limit and the others keep none of it.
#[derive(Debug)]
pub struct CallBudget {
    calls: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    max_write_rate: f64,
    calls_made: AtomicU64,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    min_burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(rate: f64, min_burst: f64) -> Self {
        let tokens = (rate * BURST_SECONDS).max(min_burst);
        Self { rate, min_burst, tokens, refilled_at: Instant::now() }
    }

    /// Takes one token, which may be one of the future; returns how long to wait for it.
    fn reserve_token(&mut self) -> Duration {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = now;
        let burst = (self.rate * BURST_SECONDS).max(self.min_burst);
        self.tokens = (self.tokens + refill).min(burst) - 1.0;
        Duration::from_secs_f64((-self.tokens / self.rate).max(0.0))
    }
}

impl CallBudget {
    /// A budget of `calls_per_second` of this node and at most `highest_writes` writes a second.
    pub fn new(calls_per_second: u32, max_writes_per_second: u32) -> Self {
        let max_write_rate = f64::from(max_writes_per_second.max(1));
        let initial_rate = INITIAL_WRITE_RATE.min(max_write_rate);
        Self {
            calls: Mutex::new(Bucket::new(f64::from(calls_per_second.max(1)), 1.0)),
            writes: Mutex::new(Bucket::new(initial_rate, WRITE_BURST)),
            max_write_rate,
            calls_made: AtomicU64::new(0),
        }
    }

    /// Notes whether the platform took a write or refused it as over its rate.
    pub async fn record_write(&self, is_accepted: bool) {
        let mut writes = self.writes.lock().await;
        let rate = if is_accepted {
            writes.rate + WRITE_RATE_INCREASE
        } else {
            writes.rate * WRITE_RATE_DECREASE_FACTOR
        };
        writes.rate = rate.clamp(MIN_WRITE_RATE, self.max_write_rate);
    }

    /// Waits for the right to make one call that does not write.
    pub async fn acquire(&self) {
        let wait = self.calls.lock().await.reserve_token();
        self.calls_made.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(wait).await;
    }

    /// Waits for the right to make one call that writes.
    pub async fn acquire_write(&self) {
        let wait = self.writes.lock().await.reserve_token();
        tokio::time::sleep(wait).await;
        self.acquire().await;
    }

    /// Calls made since start.
    pub fn calls_made(&self) -> u64 {
        self.calls_made.load(Ordering::Relaxed)
    }
}
