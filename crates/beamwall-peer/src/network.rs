//! Message exchange of one node: a listener for messages from peers, and a session for each recipient.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerMessageUnreadable;
use beamwall_model::NodeId;
use prost::Message;
use quick_error::quick_error;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, timeout};

use crate::frame::read_message;
use crate::message::{Body, Envelope};
use crate::outbox::Outbox;
use crate::session;

/// Maximum number of messages received and not yet handled.
const INBOUND_QUEUE_CAPACITY: usize = 4_096;
/// Time without a message after which a peer's connection is closed. It is longer than the time after which
/// the peer itself closes an idle connection.
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(150);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

quick_error! {
    /// An error in the exchange of messages with peers.
    #[derive(Debug)]
    pub enum PeerError {
        /// The listener for peers could not be opened.
        Listen(address: SocketAddr, reason: String) {
            display("cannot listen for peers on {}: {}", address, reason)
        }
        /// No reply arrived in time.
        NoAnswer(limit: Duration) {
            display("no answer from the peer within {} ms", limit.as_millis())
        }
        /// The peer network of this node is closed.
        Closed {
            display("peer network is closed")
        }
    }
}

/// Traffic since the start of the process.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes queued for sending.
    pub sent_bytes: AtomicU64,
    /// Bytes queued for sending, by kind of message ([`Body::kind`]).
    sent_bytes_by_kind: Mutex<BTreeMap<&'static str, u64>>,
    /// Messages queued for sending.
    pub sent_messages: AtomicU64,
    /// Messages dropped because the queue to their peer was full.
    pub dropped_messages: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Messages received.
    pub received_messages: AtomicU64,
    /// Messages received that could not be decoded.
    pub unreadable_messages: AtomicU64,
    /// Messages received whose kind this build does not know.
    pub unknown_messages: AtomicU64,
}

impl PeerTraffic {
    /// Returns the bytes queued for sending since the start of the process, by kind of message.
    pub fn sent_bytes_by_kind(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.sent_bytes_by_kind).clone()
    }

    fn record_sent(&self, envelope: &Envelope, bytes: u64) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        let kind = envelope.body.as_ref().map_or("none", Body::kind);
        *lock(&self.sent_bytes_by_kind).entry(kind).or_default() += bytes;
    }
}

/// The message queue to one peer and the task that sends it.
#[derive(Debug)]
struct Session {
    outbox: Arc<Outbox>,
    /// Whether the peer's machine refused the last connection attempt.
    is_refused: Arc<AtomicBool>,
    task: AbortHandle,
}

impl Session {
    fn open(to: SocketAddr) -> Self {
        let outbox = Arc::new(Outbox::default());
        let is_refused = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(session::run(to, outbox.clone(), is_refused.clone())).abort_handle();
        Self { outbox, is_refused, task }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Sessions = HashMap<SocketAddr, Session>;
type PendingRequests = HashMap<u64, oneshot::Sender<Envelope>>;

/// The peer connections of one node.
#[derive(Debug)]
pub struct PeerNetwork {
    sessions: Mutex<Sessions>,
    pending_requests: Mutex<PendingRequests>,
    next_request_id: AtomicU64,
    blocked: Mutex<HashSet<NodeId>>,
    accept_task: Mutex<Option<AbortHandle>>,
    /// Traffic since the start of the process.
    pub traffic: PeerTraffic,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerNetwork {
    /// Opens the listener. Messages that are not replies to [`ask`](Self::ask) are delivered to the returned
    /// receiver.
    pub fn listen(address: SocketAddr) -> Result<(Arc<Self>, mpsc::Receiver<Envelope>), PeerError> {
        let listener = bind(address).map_err(|error| PeerError::Listen(address, error.to_string()))?;
        let (inbound, receiver) = mpsc::channel(INBOUND_QUEUE_CAPACITY);
        let network = Arc::new(Self {
            sessions: Mutex::default(),
            pending_requests: Mutex::default(),
            next_request_id: AtomicU64::new(1),
            blocked: Mutex::default(),
            accept_task: Mutex::default(),
            traffic: PeerTraffic::default(),
        });
        let accept_task = tokio::spawn(network.clone().accept_connections(listener, inbound));
        *lock(&network.accept_task) = Some(accept_task.abort_handle());
        Ok((network, receiver))
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        if let Some(accept_task) = lock(&self.accept_task).take() {
            accept_task.abort();
        }
        lock(&self.sessions).clear();
    }

    /// Drops all messages received from these nodes, for fault injection by operators.
    pub fn block(&self, nodes: HashSet<NodeId>) {
        *lock(&self.blocked) = nodes;
    }

    /// Returns whether messages from a node are dropped.
    pub fn is_blocked(&self, node: &NodeId) -> bool {
        lock(&self.blocked).contains(node)
    }

    /// Queues a message for sending. It is lost if the peer cannot be reached.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        let bytes = envelope.encode_to_vec();
        let size = bytes.len() as u64;
        if self.outbox(to).push(bytes, Instant::now()) {
            self.traffic.dropped_messages.fetch_add(1, Ordering::Relaxed);
        }
        self.traffic.record_sent(envelope, size);
    }

    /// Sends a message and waits for the reply.
    pub async fn ask(
        &self,
        to: SocketAddr,
        mut envelope: Envelope,
        limit: Duration,
    ) -> Result<Envelope, PeerError> {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        envelope.question = request_id;
        let (reply_sender, reply) = oneshot::channel();
        lock(&self.pending_requests).insert(request_id, reply_sender);
        self.send(to, &envelope);
        let result = tokio::time::timeout(limit, reply).await;
        lock(&self.pending_requests).remove(&request_id);
        match result {
            Ok(Ok(envelope)) => Ok(envelope),
            Ok(Err(_)) => Err(PeerError::Closed),
            Err(_) => Err(PeerError::NoAnswer(limit)),
        }
    }

    fn outbox(&self, to: SocketAddr) -> Arc<Outbox> {
        let mut sessions = lock(&self.sessions);
        sessions.entry(to).or_insert_with(|| Session::open(to)).outbox.clone()
    }

    /// Returns whether the last connection attempt to a peer was refused: its machine is reachable, but no
    /// peer process runs there.
    pub fn is_refused(&self, peer: SocketAddr) -> bool {
        lock(&self.sessions).get(&peer).is_some_and(|session| session.is_refused.load(Ordering::Relaxed))
    }

    /// Accepts connections from peers until the task is aborted, which closes the accepted connections, too.
    async fn accept_connections(self: Arc<Self>, listener: TcpListener, inbound: mpsc::Sender<Envelope>) {
        let mut connections = JoinSet::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    connections.spawn(self.clone().receive_messages(stream, inbound.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
            while connections.try_join_next().is_some() {}
        }
    }

    /// Receives the messages of one connection until it ends. The end is not reported: it shows as the peer's
    /// silence.
    async fn receive_messages(self: Arc<Self>, stream: TcpStream, inbound: mpsc::Sender<Envelope>) {
        let mut stream = BufReader::new(stream);
        while let Ok(Ok(message)) = timeout(INACTIVITY_TIMEOUT, read_message(&mut stream)).await {
            self.traffic.received_messages.fetch_add(1, Ordering::Relaxed);
            self.traffic.received_bytes.fetch_add(message.len() as u64, Ordering::Relaxed);
            let envelope = match Envelope::decode(message.as_slice()) {
                Ok(envelope) => envelope,
                Err(error) => {
                    self.traffic.unreadable_messages.fetch_add(1, Ordering::Relaxed);
                    emit(&PeerMessageUnreadable { reason: error.to_string() });
                    continue;
                }
            };
            if envelope.body.is_none() {
                self.traffic.unknown_messages.fetch_add(1, Ordering::Relaxed);
            }
            if self.is_blocked(&NodeId::new(&envelope.sender)) {
                continue;
            }
            if envelope.answers != 0 {
                self.complete_request(envelope);
            } else if inbound.send(envelope).await.is_err() {
                return;
            }
        }
    }

    fn complete_request(&self, envelope: Envelope) {
        if let Some(reply_sender) = lock(&self.pending_requests).remove(&envelope.answers) {
            // The requester may have timed out in the meantime.
            let _ = reply_sender.send(envelope);
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
