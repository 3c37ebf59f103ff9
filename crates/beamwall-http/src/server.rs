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
use crate::cause::is_among_causes;

/// Usual time until the head of a connection's next request has come.
const HEADER_READ_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; failures are answers too.
    fn handle(self: &Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// How long a connection may take until the head of its next request has come, rest included; asked when it is accepted.
    fn next_head_limit(&self) -> Duration {
        HEADER_READ_LIMIT
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
    Own,
    /// Anything else.
    Other,
}

impl ConnectionFailure {
    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Own => "own",
            Self::Other => "other",
        }
    }

    /// What an error tells; `None` of a connection that rested for too long.
    fn of(error: &hyper::Error) -> Option<Self> {
        if error.is_timeout() {
            return None;
        }
        let is_callers = error.is_incomplete_message()
            || error.is_canceled()
            || error.is_closed()
            || is_among_causes(error, &[ErrorKind::ConnectionReset, ErrorKind::BrokenPipe]);
        Some(match (is_callers, error.is_user()) {
            (true, _) => Self::Caller,
            (false, true) => Self::Own,
            (false, false) => Self::Other,
        })
    }
}

fn note_end<H: Handler>(handler: &H, ended: Result<(), hyper::Error>) {
    if let Err(error) = ended
        && let Some(failure) = ConnectionFailure::of(&error)
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
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
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
    _open: Arc<()>,
) {
    let _ = stream.set_nodelay(true);
    let answering = handler.clone();
    let service = service_fn(move |request| {
        let handler = answering.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(handler.next_head_limit())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return note_end(handler.as_ref(), ended),
        _ = stop.wait_for(|stopped| *stopped) => connection.as_mut().graceful_shutdown(),
    }
    note_end(handler.as_ref(), connection.await);
}
