//! The accept loop: one task for each connection.

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

/// Usual time until the head of a connection's next request has come.
const DEFAULT_REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; failures are answers too.
    fn handle(self: &Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// How long a connection may take until the head of its next request has come, rest included; asked when it is accepted.
    fn request_head_timeout(&self) -> Duration {
        DEFAULT_REQUEST_HEAD_TIMEOUT
    }

    /// Notes that a connection ended by an error. One that rested for too long is not such.
    fn connection_failed(&self, _failure: ConnectionFailure, _error: &hyper::Error) {}
}

/// Why a connection ended by an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The caller closed it or broke off.
    Caller,
    /// The answer was broken off here.
    Local,
    /// Anything else.
    Other,
}

impl ConnectionFailure {
    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Local => "own",
            Self::Other => "other",
        }
    }

    /// What an error tells; `None` of a connection that rested for too long.
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

/// Accepts connections until `stop` turns true. Open connections then finish the request they
/// carry and close; the function returns when all have closed.
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
