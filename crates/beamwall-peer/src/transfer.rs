//! Paces what a node sends for others' sake, so that it leaves room on its link for heartbeats and callers.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// What passed before may take the link for so much longer when the next message passes: many short ones pass at once on a
/// fast link, and none is sent away for a wait that its asker would not notice.
const MAX_BACKLOG: Duration = Duration::from_millis(20);
/// Part of the link that paced messages take at most.
const LINK_SHARE: f64 = 0.5;
/// Bits in a byte, and in a megabit.
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// Lets messages pass one after another, at a part of the link's capacity.
#[derive(Debug)]
pub struct TransferPacer {
    bytes_per_second: f64,
    /// When the messages that passed will have left.
    link_free_at: Mutex<Option<Instant>>,
}

impl TransferPacer {
    /// A pacer for a link of `link_mbps` Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        let bytes_per_second = f64::from(link_mbps.max(1)) * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE;
        Self { bytes_per_second, link_free_at: Mutex::default() }
    }

    /// Lets `bytes` pass, or tells how long to wait.
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
