//! Splits the bytes of an event stream into whole events.
//!
//! Only whole events are passed on: an engine may stop partway through one, and another engine then
//! continues after the last whole event.

use bytes::{Bytes, BytesMut};

/// Largest single event; more bytes without an end are not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes as they came.
    pub bytes: Bytes,
    /// Its number, if it carries one.
    pub id: Option<u64>,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Pending bytes that are known to hold no event's end.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole event.
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

    /// Bytes of an event that has not ended.
    pub fn rest(&self) -> &[u8] {
        &self.pending
    }

    /// Whether more bytes are pending than any event may have.
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
