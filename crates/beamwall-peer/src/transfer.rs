//! Pacing of messages that a node sends on behalf of others, so that its link keeps capacity for heartbeats
//! and callers.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Backlog of admitted messages, as transmission time, up to which another message is admitted. On a fast
/// link, many short messages are admitted at once, and no requester is told to retry after a delay that it
/// would not notice.
const MAX_BACKLOG: Duration = Duration::from_millis(20);
/// Maximum share of the link's capacity used by paced messages.
const LINK_SHARE: f64 = 0.5;
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Admits messages one after another at a share of the link's capacity.
#[derive(Debug)]
pub struct TransferPacer {
    bytes_per_second: f64,
    /// When the admitted messages will have been transmitted.
    link_free_at: Mutex<Option<Instant>>,
}

impl TransferPacer {
    /// Creates a pacer for a link of `link_mbps` Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        let bytes_per_second = f64::from(link_mbps.max(1)) * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE;
        Self { bytes_per_second, link_free_at: Mutex::default() }
    }

    /// Admits a message of `bytes` bytes, or returns the time to wait before another attempt.
    pub fn admit(&self, bytes: usize, now: Instant) -> Result<(), Duration> {
        let mut link_free_at = self.link_free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let starts_at = link_free_at.map_or(now, |until| until.max(now));
        if starts_at > now + MAX_BACKLOG {
            return Err(starts_at - now);
        }
        *link_free_at = Some(starts_at + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
        Ok(())
    }
}
