//! A bound on the bytes that a server sends before its response head is complete.
//!
//! The HTTP client bounds each head, but not the number of informational responses before the final one.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::observed_stream::StreamObserver;

/// Largest number of bytes read from the time when a request is sent until its response head is complete.
/// More than the client buffers of one head, since the body may arrive with the head.
const MAX_BYTES_UNTIL_RESPONSE: usize = 1 << 20;

/// Counts the bytes received while a response head is awaited.
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    is_awaiting: AtomicBool,
    received: AtomicUsize,
}

impl HeadLimit {
    /// Counts from zero until [`Self::finish`].
    pub(crate) fn begin(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.is_awaiting.store(true, Ordering::Relaxed);
    }

    /// The response head is complete.
    pub(crate) fn finish(&self) {
        self.is_awaiting.store(false, Ordering::Relaxed);
    }
}

impl StreamObserver for HeadLimit {
    /// Fails beyond the limit.
    fn note_read(&self, bytes: usize) -> io::Result<()> {
        if !self.is_awaiting.load(Ordering::Relaxed) {
            return Ok(());
        }
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if received > MAX_BYTES_UNTIL_RESPONSE {
            let reason = format!("more than {MAX_BYTES_UNTIL_RESPONSE} bytes before a response");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }
}
