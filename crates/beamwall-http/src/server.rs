//! The server's accept loop; each connection is served by its own task.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::Body;
use crate::cause::has_io_cause;

/// Default of [`Handler::request_head_timeout`].
const DEFAULT_REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
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
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
    let connections = Arc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = connections.clone();
                tokio::spawn(serve_connection(stream, handler.clone(), stop.clone(), guard));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while Arc::strong_count(&connections) > 1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
    _guard: Arc<()>,
) {
    let _ = stream.set_nodelay(true);
    let service_handler = handler.clone();
    let service = service_fn(move |request| {
        let handler = service_handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(handler.request_head_timeout())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return report_failure(handler.as_ref(), result),
        _ = stop.wait_for(|stopped| *stopped) => connection.as_mut().graceful_shutdown(),
    }
    report_failure(handler.as_ref(), connection.await);
}
