//! A response body that one task writes while the connection's task sends.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::body::{Body, BodyError};

/// The writing half. Dropping it ends the body as complete; [`BodySender::abort`] ends it as
/// broken, so that the receiver cannot take a cut answer for a whole one.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Result<Bytes, BodyError>>,
}

/// The receiver went away: the caller disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

impl BodySender {
    /// Sends one piece; waits while the caller reads slowly.
    pub async fn send(&self, bytes: Bytes) -> Result<(), Disconnected> {
        self.sender.send(Ok(bytes)).await.map_err(|_| Disconnected)
    }

    /// Ends the body as broken.
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

/// A body and its writing half; `capacity` pieces wait at most.
pub fn channel(capacity: usize) -> (BodySender, Body) {
    let (sender, receiver) = mpsc::channel(capacity);
    (BodySender { sender }, ChannelBody { receiver }.boxed_unsync())
}
