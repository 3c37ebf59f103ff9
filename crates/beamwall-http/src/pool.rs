//! Pool of client connections, kept for reuse by address.
//!
//! It gives two guarantees that general connection pools lack. A request that was never written is
//! distinguished from one that may have been received. A connection whose response was not read to the end
//! is closed and never reused, so that a late response cannot be taken for the response to another request.

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
use crate::cause::has_io_cause;
use crate::head_limit::HeadLimit;
use crate::observed_stream::ObservedStream;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 256;
/// What a connection reads ahead of whoever takes the response, in bytes; a response head may be as long.
const READ_AHEAD_BYTES: usize = 32 << 10;
/// What a connection's socket holds unread at most, in bytes.
const SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// What a connection holds at most of a response that nobody takes, in bytes.
pub const CONNECTION_BUFFER_BYTES: usize = READ_AHEAD_BYTES + SOCKET_BUFFER_BYTES;
/// TCP_USER_TIMEOUT: time for which sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Assumed keep-alive timeout of a server that sends no `keep-alive` header.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(60);
/// An idle connection is dropped this long before the server may close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a request got no response.
    #[derive(Debug)]
    pub enum PoolError {
        /// No connection could be opened: nothing was sent.
        Connect(address: SocketAddr, reason: String) {
            display("no connection to {}: {}", address, reason)
        }
        /// The connection was refused, for example because no process listens: nothing was sent.
        Refused(address: SocketAddr) {
            display("no connection to {}: refused", address)
        }
        /// The connection closed before the first byte was written.
        NotWritten(address: SocketAddr) {
            display("connection to {} closed before the request was written", address)
        }
        /// The request may have been received; its response was lost.
        Lost(address: SocketAddr, reason: String) {
            display("answer from {} was lost: {}", address, reason)
        }
        /// The peer reset the connection after the request was sent.
        Reset(address: SocketAddr) {
            display("answer from {} was lost: the connection was reset", address)
        }
    }
}

impl PoolError {
    /// Whether it is certain that the server received nothing of the request.
    pub fn nothing_sent(&self) -> bool {
        !matches!(self, Self::Lost(..) | Self::Reset(..))
    }
}

/// Whether a process accepts connections at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// A connection was opened.
    Accepts,
    /// The machine refused the connection: no process listens.
    Refuses,
    /// No connection could be opened for another reason, such as a timeout.
    Silent,
}

/// The sending half of a connection.
struct Sender {
    requests: SendRequest<Body>,
    head_limit: Arc<HeadLimit>,
}

/// An idle connection.
struct IdleConnection {
    sender: Sender,
    /// Until when the server keeps the connection open. The time includes suspensions of this machine.
    usable_until: BootInstant,
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Pool of connections to back ends, peers and the platform. Clones share the idle connections.
#[derive(Clone)]
pub struct Pool {
    idle: IdleConnections,
    connect_timeout: Duration,
}

fn lock(idle: &IdleConnections) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pool {
    /// Creates a pool that stops trying to open a connection after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { idle: Arc::default(), connect_timeout }
    }

    /// Sends a request at most once. A reused connection that proves to be closed before anything was
    /// written is replaced by another one; a request that may have been written is never sent again.
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
            if BootInstant::now() < usable_until && !sender.requests.is_closed() && sender.requests.is_ready()
            {
                return Some(sender);
            }
        }
        idle.remove(&address);
        None
    }

    /// Opens a connection to find out whether a process accepts connections at `address`.
    pub async fn probe(&self, address: SocketAddr) -> Reachability {
        match self.connect_tcp(address).await {
            Ok(_) => Reachability::Accepts,
            Err(PoolError::Refused(_)) => Reachability::Refuses,
            Err(_) => Reachability::Silent,
        }
    }

    async fn connect_tcp(&self, address: SocketAddr) -> Result<TcpStream, PoolError> {
        let connect_error = |reason: String| PoolError::Connect(address, reason);
        let connected = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        match connected.map_err(|_| connect_error("timed out".to_owned()))? {
            Ok(stream) => Ok(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(PoolError::Refused(address))
            }
            Err(error) => Err(connect_error(error.to_string())),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, PoolError> {
        let connect_error = |reason: String| PoolError::Connect(address, reason);
        let stream = self.connect_tcp(address).await?;
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        // A system that refuses has defaults of its own, and nothing else depends on these.
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let head_limit: Arc<HeadLimit> = Arc::default();
        let stream = ObservedStream::new(stream, head_limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_AHEAD_BYTES);
        let (requests, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        tokio::spawn(connection);
        Ok(Sender { requests, head_limit })
    }

    async fn try_send(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, (PoolError, Option<Request<Body>>)> {
        if sender.requests.ready().await.is_err() {
            return Err((PoolError::NotWritten(address), Some(request)));
        }
        sender.head_limit.begin();
        match sender.requests.try_send_request(request).await {
            Ok(response) => {
                sender.head_limit.finish();
                let connection = PooledConnection {
                    idle: self.idle.clone(),
                    address,
                    sender: Some(sender),
                    idle_timeout: idle_timeout(response.headers()),
                };
                Ok(response.map(|inner| PooledBody::new(inner, connection)))
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Err((PoolError::NotWritten(address), Some(unsent))),
                None => Err((lost_response(address, &failure.into_error()), None)),
            },
        }
    }
}

/// The error of a request that was sent and got no response.
fn lost_response(address: SocketAddr, error: &hyper::Error) -> PoolError {
    if has_io_cause(error, &[io::ErrorKind::ConnectionReset]) {
        return PoolError::Reset(address);
    }
    PoolError::Lost(address, error.to_string())
}

/// A connection taken from the pool. It is closed when dropped, unless it was returned to the pool before.
struct PooledConnection {
    idle: IdleConnections,
    address: SocketAddr,
    sender: Option<Sender>,
    idle_timeout: Duration,
}

/// How long a connection may stay idle: a little less than the keep-alive timeout sent by the server.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = keep_alive.and_then(|text| {
        let parameters = text.split(',').map(str::trim);
        parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?.parse().ok()
    });
    let server_timeout = timeout.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs);
    server_timeout.saturating_sub(KEEP_ALIVE_MARGIN)
}

impl PooledConnection {
    fn return_to_pool(&mut self) {
        let Some(sender) = self.sender.take() else { return };
        if sender.requests.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let senders = idle.entry(self.address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(IdleConnection { sender, usable_until: BootInstant::now() + self.idle_timeout });
        }
    }
}

/// A response body that returns its connection to the pool once it is read to the end, and closes the
/// connection if it is dropped earlier.
pub struct PooledBody {
    inner: Incoming,
    connection: PooledConnection,
}

impl PooledBody {
    fn new(inner: Incoming, mut connection: PooledConnection) -> Self {
        if hyper::body::Body::is_end_stream(&inner) {
            connection.return_to_pool();
        }
        Self { inner, connection }
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
            self.connection.return_to_pool();
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
