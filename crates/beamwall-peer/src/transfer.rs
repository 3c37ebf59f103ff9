//! Paces large answers, so that they leave room on a node's link for heartbeats and callers.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Answers up to this size pass at any time: on a link of 10 Mbit/s one takes 13 ms.
const SMALL_BYTES: usize = 16 << 10;
/// Part of the link that large answers take at most.
const LINK_SHARE: f64 = 0.5;
/// Bits in a byte, and in a megabit.
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Lets large answers pass one after another, at a part of the link's capacity.
#[derive(Debug)]
pub struct TransferPacer {
    bytes_per_second: f64,
    /// When the answers that passed will have left.
    free_at: Mutex<Option<Instant>>,
}

impl TransferPacer {
    /// A pacer for a link of `link_mbps` Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        let bytes_per_second = f64::from(link_mbps.max(1)) * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE;
        Self { bytes_per_second, free_at: Mutex::default() }
    }

    /// Lets an answer of `bytes` pass, or tells how long to wait.
    pub fn admit(&self, bytes: usize, now: Instant) -> Result<(), Duration> {
        if bytes <= SMALL_BYTES {
            return Ok(());
        }
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = free_at.filter(|until| *until > now) {
            return Err(until - now);
        }
        *free_at = Some(now + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
        Ok(())
    }
}
