//! Rate limit of the calls of a node to the platform.
//!
//! The platform counts every call (a waiting watch counts as one), and its limits grow more slowly than the
//! fleet, so each node is limited to a share. A task over the budget waits until a call is allowed; meanwhile
//! group commit collects larger batches instead of making more calls.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Burst capacity of the buckets, in seconds of their rate.
const BURST_SECONDS: f64 = 1.0;
/// Initial rate of writes of a node, per second.
const INITIAL_WRITE_RATE: f64 = 20.0;
/// Lower bound of the rate of writes, per second.
const MIN_WRITE_RATE: f64 = 0.5;
/// Minimum burst capacity of the bucket of writes.
const WRITE_BURST: f64 = 10.0;
/// Added to the rate of writes for each write that the platform accepted.
const WRITE_RATE_INCREASE: f64 = 0.2;
/// Factor by which the rate of writes is multiplied when the platform rejects a write.
const WRITE_RATE_DECREASE_FACTOR: f64 = 0.7;

/// Two token buckets: one for all calls of this node, and one for its writes.
///
/// The platform's limit on writes applies to the whole deployment, and only the platform sees all writes. A
/// node increases its rate additively with each accepted write and decreases it multiplicatively with each
/// rejected one (AIMD), so that the nodes that write share the limit and idle nodes reserve none of it.
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

    /// Takes one token, possibly in advance of its refill; returns how long to wait until it is available.
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
    /// Creates a budget of `calls_per_second` for this node, at most `max_writes_per_second` of them writes.
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

    /// Records whether the platform accepted a write or rejected it because of its rate limit.
    pub async fn record_write(&self, is_accepted: bool) {
        let mut writes = self.writes.lock().await;
        let rate = if is_accepted {
            writes.rate + WRITE_RATE_INCREASE
        } else {
            writes.rate * WRITE_RATE_DECREASE_FACTOR
        };
        writes.rate = rate.clamp(MIN_WRITE_RATE, self.max_write_rate);
    }

    /// Waits until one call that does not write is allowed.
    pub async fn acquire(&self) {
        let wait = self.calls.lock().await.reserve_token();
        self.calls_made.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(wait).await;
    }

    /// Waits until one write is allowed.
    pub async fn acquire_write(&self) {
        let wait = self.writes.lock().await.reserve_token();
        tokio::time::sleep(wait).await;
        self.acquire().await;
    }

    /// Number of calls made since the start of the process.
    pub fn calls_made(&self) -> u64 {
        self.calls_made.load(Ordering::Relaxed)
    }
}
