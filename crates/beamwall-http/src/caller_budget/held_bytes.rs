//! A buffer whose memory is taken from the budget as it grows, and given back when the last user of its bytes is done.

use bytes::Bytes;

use super::budget::{CallerConnection, MemoryHold};
use super::ledger::Shortage;

/// Least capacity of a buffer that grows, in bytes.
const MIN_CAPACITY_BYTES: usize = 4 << 10;

/// Collects the parts of a body.
pub struct HeldBuffer {
    /// The only part so far.
    first: Option<Bytes>,
    /// All parts, once there are several.
    parts: Vec<u8>,
    /// Largest length that the body may have, in bytes.
    most_bytes: usize,
    hold: MemoryHold,
}

/// Bytes, with the memory that they take.
struct HeldBytes<B> {
    bytes: B,
    _hold: MemoryHold,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl CallerConnection {
    /// Holds the memory of these bytes until their last clone is dropped.
    pub fn hold_bytes(&self, bytes: Bytes) -> Result<Bytes, Shortage> {
        let mut hold = self.hold();
        hold.grow(bytes.len())?;
        Ok(Bytes::from_owner(HeldBytes { bytes, _hold: hold }))
    }
}

impl HeldBuffer {
    /// An empty buffer for a body of at most so many bytes.
    pub fn new(connection: &CallerConnection, most_bytes: usize) -> Self {
        Self { first: None, parts: Vec::new(), most_bytes, hold: connection.hold() }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.first.as_ref().map_or(self.parts.len(), Bytes::len)
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a part.
    pub fn push(&mut self, part: Bytes) -> Result<(), Shortage> {
        if self.is_empty() {
            self.hold.grow(part.len())?;
            self.first = Some(part);
            return Ok(());
        }
        self.reserve(part.len())?;
        if let Some(first) = self.first.take() {
            self.parts.extend_from_slice(&first);
            self.hold.shrink(first.len());
        }
        self.parts.extend_from_slice(&part);
        Ok(())
    }

    /// Makes room for so many bytes more. While the buffer moves, its old and its new room are held.
    fn reserve(&mut self, bytes: usize) -> Result<(), Shortage> {
        let needed = self.len() + bytes;
        let present = self.parts.capacity();
        if needed <= present {
            return Ok(());
        }
        let doubled = present.saturating_mul(2).max(MIN_CAPACITY_BYTES).min(self.most_bytes);
        let capacity = needed.max(doubled);
        self.hold.grow(capacity)?;
        self.parts.reserve_exact(capacity - self.parts.len());
        self.hold.shrink(present);
        Ok(())
    }

    /// The whole body. Its memory is given back when the last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        let Self { first, parts, hold, .. } = self;
        match first {
            Some(first) => Bytes::from_owner(HeldBytes { bytes: first, _hold: hold }),
            None if parts.is_empty() => Bytes::new(),
            None => Bytes::from_owner(HeldBytes { bytes: parts, _hold: hold }),
        }
    }
}
