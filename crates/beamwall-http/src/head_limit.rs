//! A bound on the bytes that a server sends before its response head is complete.
//!
//! The HTTP client bounds each head, but not the number of informational responses before the final one.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

    fn add(&self, bytes: usize) -> io::Result<()> {
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

/// A connection whose reads fail beyond the limit.
pub(crate) struct HeadLimitedStream {
    inner: TcpStream,
    limit: Arc<HeadLimit>,
}

impl HeadLimitedStream {
    pub(crate) fn new(inner: TcpStream, limit: Arc<HeadLimit>) -> Self {
        Self { inner, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = polled {
            return Poll::Ready(self.limit.add(buffer.filled().len() - before));
        }
        polled
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
