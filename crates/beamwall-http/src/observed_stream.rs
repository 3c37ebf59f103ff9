//! A connection whose observer is told of the bytes that are read and written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use std::sync::Arc;

use crate::caller_budget::CallerConnection;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Is told of the bytes that a connection moves.
pub(crate) trait StreamObserver {
    /// Bytes were read. An error fails the read.
    fn note_read(&self, bytes: usize) -> io::Result<()>;

    /// Bytes were written.
    fn note_written(&self, _bytes: usize) {}
}

impl<O: StreamObserver> StreamObserver for Arc<O> {
    fn note_read(&self, bytes: usize) -> io::Result<()> {
        self.as_ref().note_read(bytes)
    }

    fn note_written(&self, bytes: usize) {
        self.as_ref().note_written(bytes);
    }
}

impl StreamObserver for CallerConnection {
    fn note_read(&self, bytes: usize) -> io::Result<()> {
        self.note_moved(bytes);
        Ok(())
    }

    fn note_written(&self, bytes: usize) {
        self.note_moved(bytes);
    }
}

/// A connection with an observer.
pub(crate) struct ObservedStream<O> {
    inner: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    pub(crate) fn new(inner: TcpStream, observer: O) -> Self {
        Self { inner, observer }
    }

    fn note_written(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.observer.note_written(*bytes);
        }
    }
}

impl<O: StreamObserver + Unpin> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match polled {
            Poll::Ready(Ok(())) if bytes > 0 => Poll::Ready(self.observer.note_read(bytes)),
            other => other,
        }
    }
}

impl<O: StreamObserver + Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.note_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.note_written(&polled);
        polled
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
