//! Splits the bytes of an event stream into whole events.
//!
//! Only whole events are forwarded: an engine may stop in the middle of an event, and another engine then
//! continues after the last whole one.

use bytes::{Bytes, BytesMut};

/// Largest single event. A longer run of bytes without an end of event is not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes as received.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<u64>,
}

/// Buffers bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes already scanned without finding the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_end(&self.pending, self.scanned);
        let Some(end) = end else {
            self.scanned = self.pending.len().saturating_sub(3);
            return None;
        };
        self.scanned = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = read_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes of the incomplete event at the end.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Memory that the incomplete event takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Whether more bytes are pending than an event may have.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// The position after the first blank line.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while position < bytes.len() {
        let rest = &bytes[position..];
        if rest.starts_with(b"\n\n") {
            return Some(position + 2);
        }
        if rest.starts_with(b"\n\r\n") {
            return Some(position + 3);
        }
        position += 1;
    }
    None
}

fn read_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
