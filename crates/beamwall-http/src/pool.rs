//! Client connections, kept for reuse by address.
//!
//! Two rules that a general pool does not give us: a request that was never written is told apart
//! from one that may have been received, and a connection whose answer was not read to its end is
//! closed and never reused, so a late answer cannot reach another request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use beamwall_clock::BootInstant;
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::Body;
use crate::cause::is_among_causes;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 256;
/// Time that sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);
/// Rest after which a connection is not used again where the other side says nothing of it.
const USUAL_REST: Duration = Duration::from_secs(60);
/// A connection is given up this long before the other side may close it.
const REST_MARGIN: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum PoolError {
        /// No connection could be opened: nothing was sent.
        Connect(address: SocketAddr, reason: String) {
            display("no connection to {}: {}", address, reason)
        }
        /// The other side refused the connection, as where no process listens: nothing was sent.
        Refused(address: SocketAddr) {
            display("no connection to {}: refused", address)
        }
        /// The connection closed before the first byte was written.
        NotWritten(address: SocketAddr) {
            display("connection to {} closed before the request was written", address)
        }
        /// The request may have been received; its answer was lost.
        Lost(address: SocketAddr, reason: String) {
            display("answer from {} was lost: {}", address, reason)
        }
        /// The other side reset the connection after the request was sent.
        Reset(address: SocketAddr) {
            display("answer from {} was lost: the connection was reset", address)
        }
    }
}

impl PoolError {
    /// Whether it is certain that the other side received nothing.
    pub fn nothing_sent(&self) -> bool {
        !matches!(self, Self::Lost(..) | Self::Reset(..))
    }
}

/// Whether a process takes connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It does.
    Accepts,
    /// The machine answers, and no process listens.
    Refuses,
    /// Nothing answers.
    Silent,
}

type Sender = SendRequest<Body>;

/// A connection at rest.
struct IdleConnection {
    sender: Sender,
    /// Until when the other side promises to keep it open, also while this machine is suspended.
    usable_until: BootInstant,
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Connections to back ends, peers and the platform.
#[derive(Clone)]
pub struct Pool {
    idle: IdleConnections,
    connect_limit: Duration,
}

fn lock(idle: &IdleConnections) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pool {
    /// A pool that gives up opening a connection after `connect_limit`.
    pub fn new(connect_limit: Duration) -> Self {
        Self { idle: Arc::default(), connect_limit }
    }

    /// Sends one request once. A reused connection that turns out closed before anything was
    /// written is replaced by a new one; nothing is ever sent twice.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, PoolError> {
        let mut request = request;
        while let Some(sender) = self.take_idle(address) {
            match self.try_send(address, sender, request).await {
                Ok(response) => return Ok(response),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let sender = self.connect(address).await?;
        self.try_send(address, sender, request).await.map_err(|(error, _)| error)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        while let Some(IdleConnection { sender, usable_until }) = senders.pop() {
            if BootInstant::now() < usable_until && !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        idle.remove(&address);
        None
    }

    /// Looks whether a process takes connections at an address.
    pub async fn probe(&self, address: SocketAddr) -> Reachability {
        match self.open(address).await {
            Ok(_) => Reachability::Accepts,
            Err(PoolError::Refused(_)) => Reachability::Refuses,
            Err(_) => Reachability::Silent,
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<TcpStream, PoolError> {
        let failed = |reason: String| PoolError::Connect(address, reason);
        let opened = tokio::time::timeout(self.connect_limit, TcpStream::connect(address)).await;
        match opened.map_err(|_| failed("timed out".to_owned()))? {
            Ok(stream) => Ok(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(PoolError::Refused(address))
            }
            Err(error) => Err(failed(error.to_string())),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, PoolError> {
        let failed = |reason: String| PoolError::Connect(address, reason);
        let stream = self.open(address).await?;
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn try_send(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, (PoolError, Option<Request<Body>>)> {
        if sender.ready().await.is_err() {
            return Err((PoolError::NotWritten(address), Some(request)));
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let lease = ConnectionLease {
                    idle: self.idle.clone(),
                    address,
                    sender: Some(sender),
                    rest_limit: rest_limit(response.headers()),
                };
                Ok(response.map(|inner| PooledBody::new(inner, lease)))
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Err((PoolError::NotWritten(address), Some(unsent))),
                None => Err((from_lost(address, &failure.into_error()), None)),
            },
        }
    }
}

/// The failure of a request that was sent.
fn from_lost(address: SocketAddr, error: &hyper::Error) -> PoolError {
    if is_among_causes(error, &[io::ErrorKind::ConnectionReset]) {
        return PoolError::Reset(address);
    }
    PoolError::Lost(address, error.to_string())
}

/// A borrowed connection. It returns to the pool only when told so; otherwise it closes.
struct ConnectionLease {
    idle: IdleConnections,
    address: SocketAddr,
    sender: Option<Sender>,
    rest_limit: Duration,
}

/// How long a connection may rest: a little less than the other side says that it keeps it.
fn rest_limit(headers: &HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = keep_alive.and_then(|text| {
        let parameters = text.split(',').map(str::trim);
        parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?.parse().ok()
    });
    let kept = timeout.map_or(USUAL_REST, Duration::from_secs);
    kept.saturating_sub(REST_MARGIN)
}

impl ConnectionLease {
    fn give_back(&mut self) {
        let Some(sender) = self.sender.take() else { return };
        if sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let senders = idle.entry(self.address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(IdleConnection { sender, usable_until: BootInstant::now() + self.rest_limit });
        }
    }
}

/// A response body that returns its connection to the pool when read to the end, and closes the
/// connection when dropped earlier.
pub struct PooledBody {
    inner: Incoming,
    lease: ConnectionLease,
}

impl PooledBody {
    fn new(inner: Incoming, mut lease: ConnectionLease) -> Self {
        if hyper::body::Body::is_end_stream(&inner) {
            lease.give_back();
        }
        Self { inner, lease }
    }
}

impl hyper::body::Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let finished = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.inner.is_end_stream(),
            _ => false,
        };
        if finished {
            self.lease.give_back();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
