//! Response bodies and bounded reading of request bodies.

use std::convert::Infallible;
use std::time::Duration;

use crate::caller_budget::{CallerConnection, HeldBuffer, Shortage};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use quick_error::quick_error;
use serde::Serialize;

/// The error type of streamed bodies.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body type of all server responses and client requests.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// At most this many times the size limit is read and discarded of a rejected body.
const DISCARD_FACTOR: usize = 4;

quick_error! {
    /// Why a body could not be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The body exceeds the size limit.
        TooLarge(limit_bytes: usize) {
            display("body is larger than {} bytes", limit_bytes)
        }
        /// The body was not complete within the time limit.
        TooSlow(time_limit: Duration) {
            display("body was not received within {} ms", time_limit.as_millis())
        }
        /// Callers hold all the memory that there is for them.
        NoRoom(shortage: Shortage) {
            display("{}", shortage)
        }
        /// The connection failed or the message framing was invalid.
        Broken(reason: String) {
            display("body could not be read: {}", reason)
        }
    }
}

fn never(error: Infallible) -> BodyError {
    match error {}
}

/// A body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// An empty body.
pub fn empty() -> Body {
    Empty::new().map_err(never).boxed_unsync()
}

/// A response with `value` as its JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a whole body within a size limit and a time limit.
pub async fn read_limited<B>(body: B, limit_bytes: usize, time_limit: Duration) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    read_request(body, &CallerConnection::unlimited(), limit_bytes, time_limit, |_| {}).await
}

/// Reads a whole request body like [`read_limited`] into memory that is held for its caller, and passes each chunk to
/// `on_chunk` as it arrives. The rest of a rejected body is read and discarded.
pub async fn read_request<B>(
    mut body: B,
    caller: &CallerConnection,
    limit_bytes: usize,
    time_limit: Duration,
    on_chunk: impl FnMut(&[u8]),
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let read = async {
        let read = collect(&mut body, caller, limit_bytes, on_chunk).await;
        if matches!(read, Err(ReadError::TooLarge(_) | ReadError::NoRoom(_))) {
            discard(&mut body, limit_bytes).await;
        }
        read
    };
    tokio::time::timeout(time_limit, read).await.unwrap_or(Err(ReadError::TooSlow(time_limit)))
}

/// Reads a whole response body within a size limit and a time limit into memory that is held for a caller. The rest of
/// a rejected body is left unread.
pub async fn read_response<B>(
    mut body: B,
    caller: &CallerConnection,
    limit_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let read = collect(&mut body, caller, limit_bytes, |_| {});
    tokio::time::timeout(time_limit, read).await.unwrap_or(Err(ReadError::TooSlow(time_limit)))
}

/// Reads and discards the rest of a rejected body, up to a limit: a sender whose connection is closed while
/// it still sends cannot read the response that states the reason.
async fn discard<B>(body: &mut B, limit_bytes: usize)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut remaining = limit_bytes.saturating_mul(DISCARD_FACTOR);
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        if size > remaining {
            return;
        }
        remaining -= size;
    }
}

async fn collect<B>(
    body: &mut B,
    caller: &CallerConnection,
    limit_bytes: usize,
    mut on_chunk: impl FnMut(&[u8]),
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let size = body.size_hint();
    if size.lower() > limit_bytes as u64 {
        return Err(ReadError::TooLarge(limit_bytes));
    }
    let most_bytes = size.upper().map_or(limit_bytes, |upper| limit_bytes.min(upper as usize));
    let mut buffer = HeldBuffer::new(caller, most_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len().saturating_add(data.len()) > limit_bytes {
            return Err(ReadError::TooLarge(limit_bytes));
        }
        on_chunk(&data);
        buffer.push(data).map_err(ReadError::NoRoom)?;
    }
    Ok(buffer.into_bytes())
}
