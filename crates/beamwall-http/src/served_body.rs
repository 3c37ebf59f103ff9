//! A response body after whose end it is the caller's turn again.

use std::pin::Pin;
use std::task::{Context, Poll};

use crate::caller_budget::{CallerConnection, Phase};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

use crate::body::{Body, BodyError};

/// The body of a response to a caller.
pub(crate) struct ServedBody {
    inner: Body,
    connection: CallerConnection,
}

impl ServedBody {
    pub(crate) fn new(inner: Body, connection: CallerConnection) -> Self {
        Self { inner, connection }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.begin_waiting(Phase::AwaitingRequest);
    }
}

impl hyper::body::Body for ServedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
