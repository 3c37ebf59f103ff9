//! Permits granted by the permit node of an engine: a token bucket per engine.
//!
//! While membership changes, two nodes may consider themselves an engine's permit node for about a second.
//! A new permit node therefore grants nothing for that time and begins with an empty bucket, and a node that is
//! no longer the permit node discards its bucket. Nodes that are partitioned from others refill it only at
//! their fraction of the limit.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::rate::RequestRate;

/// Time within which all nodes learn that an engine has another permit node.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Smallest capacity of a bucket, in requests: with less, a limit of about one request a second is not used
/// up by callers that arrive at random.
const MIN_BURST: f64 = 2.5;
/// Time whose requests a bucket holds at most.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Fraction of the capacity that is kept for more urgent requests by the least urgent ones.
const URGENT_FRACTION: f64 = 0.4;
/// The rank of the least urgent requests; 0 is the most urgent.
const LOWEST_RANK: u8 = 9;
/// Smallest fraction of the limit at which a bucket is refilled, so that a wait is always finite.
const MIN_FRACTION: f64 = 0.01;

/// Requests that all nodes together may send to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
}

impl Allowance {
    /// The allowance at an engine that names this limit.
    pub fn for_limit(limit: RequestRate) -> Self {
        let burst = limit.requests_in(BURST_TIME).max(MIN_BURST);
        Self { per_second: limit.per_second(), burst }
    }
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// One request may be sent.
    Granted,
    /// Nothing may be sent. The next permit is due after this time.
    Denied(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    /// Until when it is refilled; in the future until the handover is over.
    refilled: Instant,
}

/// The buckets of the engines whose permit node this is.
#[derive(Debug, Default)]
pub struct PermitLedger {
    buckets: Mutex<HashMap<BackendId, Bucket>>,
}

impl PermitLedger {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Bucket>> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants or denies one request of a rank at an engine with this allowance. `fraction` is the part of the
    /// limit that the nodes on this side of a partition may use. `now` is read from a clock that stops while
    /// this process is stalled: others may have granted permits meanwhile.
    pub fn request(
        &self,
        backend: &BackendId,
        allowance: Allowance,
        fraction: f64,
        rank: u8,
        now: Instant,
    ) -> Grant {
        let Allowance { per_second, burst } = allowance;
        let rate = per_second * fraction.clamp(MIN_FRACTION, 1.0);
        let mut buckets = self.lock();
        let empty = Bucket { level: 0.0, refilled: now + HANDOVER_TIME };
        let bucket = buckets.entry(backend.clone()).or_insert(empty);
        let elapsed = now.saturating_duration_since(bucket.refilled);
        bucket.level = (bucket.level + rate * elapsed.as_secs_f64()).min(burst);
        bucket.refilled = bucket.refilled.max(now);
        let needed = 1.0 + reserve(rank, burst);
        if bucket.level >= needed {
            bucket.level -= 1.0;
            return Grant::Granted;
        }
        let handover = bucket.refilled - now;
        Grant::Denied(handover + Duration::from_secs_f64((needed - bucket.level) / rate))
    }

    /// Keeps only the buckets of engines whose permit node this still is.
    pub fn retain(&self, is_granted_here: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_granted_here(backend));
    }
}

/// Requests that requests of a rank leave in a bucket for more urgent ones.
fn reserve(rank: u8, burst: f64) -> f64 {
    let spare = (burst - 1.0) * URGENT_FRACTION;
    spare * f64::from(rank.min(LOWEST_RANK)) / f64::from(LOWEST_RANK)
}
