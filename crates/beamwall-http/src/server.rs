//! The server's accept loop; each connection is served by its own task.
//!
//! A server within a [`CallerBudget`] takes room there for each connection, and closes those that give way. A request
//! carries its [`CallerConnection`] as an extension.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use crate::caller_budget::{CallerBudget, CallerConnection, Phase, Shortage};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::Body;
use crate::cause::has_io_cause;
use crate::observed_stream::ObservedStream;
use crate::served_body::ServedBody;

/// Default of [`Handler::request_head_timeout`].
const DEFAULT_REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Default of [`Handler::max_request_head_bytes`]: the HTTP library's own limit.
const DEFAULT_REQUEST_HEAD_BYTES: usize = 400 << 10;
/// Least size of the buffer for a request head, in bytes; the HTTP library takes no smaller one.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// Room for the lines between head and body and for a request head that is counted without them, in bytes.
const HEAD_MARGIN_BYTES: usize = 1 << 10;
/// What a connection's socket holds unread at most, in bytes.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. Failures are returned as responses, too.
    fn handle(self: &Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// Time within which the head of a connection's next request must be received, idle time included. It is
    /// read once for each connection, when the connection is accepted.
    fn request_head_timeout(&self) -> Duration {
        DEFAULT_REQUEST_HEAD_TIMEOUT
    }

    /// Largest request head in bytes; a longer one is refused. It is read for each connection when the connection is
    /// accepted; once it has grown, the connection closes with its next response.
    fn max_request_head_bytes(&self) -> usize {
        DEFAULT_REQUEST_HEAD_BYTES
    }

    /// Called when a connection is closed, or not taken at all, for want of room for all callers.
    fn connection_evicted(&self, _shortage: Shortage) {}

    /// Called when a connection ends with an error. An idle timeout is not an error.
    fn connection_failed(&self, _failure: ConnectionFailure, _error: &hyper::Error) {}
}

/// Which side caused a connection to end with an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The caller closed or reset the connection.
    Caller,
    /// This server aborted the response.
    Local,
    /// Any other error.
    Other,
}

impl ConnectionFailure {
    /// The name used in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Local => "own",
            Self::Other => "other",
        }
    }

    /// Classifies an error; `None` for a connection that timed out while it was idle.
    fn from_error(error: &hyper::Error) -> Option<Self> {
        if error.is_timeout() {
            return None;
        }
        let is_caused_by_caller = error.is_incomplete_message()
            || error.is_canceled()
            || error.is_closed()
            || has_io_cause(error, &[ErrorKind::ConnectionReset, ErrorKind::BrokenPipe]);
        Some(match (is_caused_by_caller, error.is_user()) {
            (true, _) => Self::Caller,
            (false, true) => Self::Local,
            (false, false) => Self::Other,
        })
    }
}

fn report_failure<H: Handler>(handler: &H, result: Result<(), hyper::Error>) {
    if let Err(error) = result
        && let Some(failure) = ConnectionFailure::from_error(&error)
    {
        handler.connection_failed(failure, &error);
    }
}

/// Accepts connections until `stop` becomes true. Open connections then complete their current request and
/// close; the function returns once all of them are closed.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>, stop: watch::Receiver<bool>) {
    serve_within(CallerBudget::unlimited(), listener, handler, stop).await;
}

/// The same, with no more connections than the budget has room for.
pub async fn serve_within<H: Handler>(
    budget: CallerBudget,
    listener: TcpListener,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Accepted sockets have the listener's buffer. A system that refuses has one of its own, and nothing else depends on it.
    let _ = SockRef::from(&listener).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let connections = Arc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let head_bytes = handler.max_request_head_bytes();
        match budget.open(head_buffer_bytes(head_bytes)) {
            Ok(connection) => {
                let guard = connections.clone();
                let served = serve_connection(stream, connection, head_bytes, handler.clone(), stop.clone());
                tokio::spawn(async move {
                    served.await;
                    drop(guard);
                });
            }
            Err(shortage) => handler.connection_evicted(shortage),
        }
    }
    drop(listener);
    while Arc::strong_count(&connections) > 1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Size of the buffer for a request head of at most so many bytes.
fn head_buffer_bytes(head_bytes: usize) -> usize {
    head_bytes.saturating_add(HEAD_MARGIN_BYTES).max(MIN_HEAD_BUFFER_BYTES)
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    connection: CallerConnection,
    head_bytes: usize,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let (service_handler, service_connection) = (handler.clone(), connection.clone());
    let service = service_fn(move |request| {
        let (handler, connection) = (service_handler.clone(), service_connection.clone());
        async move { Ok::<_, Infallible>(handle(handler, connection, head_bytes, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(handler.request_head_timeout())
        .max_buf_size(head_buffer_bytes(head_bytes))
        .half_close(false)
        .serve_connection(TokioIo::new(ObservedStream::new(stream, connection.clone())), service);
    tokio::pin!(served);
    tokio::select! {
        biased;
        shortage = connection.evicted() => return handler.connection_evicted(shortage),
        result = served.as_mut() => return report_failure(handler.as_ref(), result),
        _ = stop.wait_for(|stopped| *stopped) => served.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        shortage = connection.evicted() => handler.connection_evicted(shortage),
        result = served => report_failure(handler.as_ref(), result),
    }
}

/// Handles one request, and keeps account of whose turn it is meanwhile.
async fn handle<H: Handler>(
    handler: Arc<H>,
    connection: CallerConnection,
    head_bytes: usize,
    mut request: Request<Incoming>,
) -> Response<Body> {
    connection.begin_waiting(Phase::ReceivingBody);
    request.extensions_mut().insert(connection.clone());
    let mut response = handler.handle(request).await;
    if handler.max_request_head_bytes() > head_bytes {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| ServedBody::new(body, connection).boxed_unsync())
}
