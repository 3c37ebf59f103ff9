//! A response body that is produced by one task while the task of the connection sends it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::body::{Body, BodyError};

/// The sending half of a streamed body. Dropping it completes the body; [`BodySender::abort`] ends it
/// with an error, so that the receiver cannot mistake a truncated response for a complete one.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Result<Bytes, BodyError>>,
}

/// The caller disconnected before the body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

impl BodySender {
    /// Sends one chunk; waits while the channel is full, which limits the sender to the caller's reading
    /// speed.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Disconnected> {
        self.sender.send(Ok(bytes)).await.map_err(|_| Disconnected)
    }

    /// Ends the body with an error.
    pub async fn abort(self, reason: &str) {
        let _ = self.sender.send(Err(reason.into())).await;
    }

    /// Returns when the caller has disconnected.
    pub async fn disconnected(&self) {
        self.sender.closed().await;
    }
}

struct ChannelBody {
    receiver: mpsc::Receiver<Result<Bytes, BodyError>>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.receiver.poll_recv(context).map(|item| item.map(|result| result.map(Frame::data)))
    }
}

/// Creates a streamed body and its sender; at most `capacity` chunks are buffered.
pub fn channel(capacity: usize) -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(capacity);
    (BodySender { sender }, ChannelBody { receiver }.boxed_unsync())
}
