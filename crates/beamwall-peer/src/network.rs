//! Sessions between nodes over `nng`: one pull socket, and one push socket and task for each peer.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerMessageUnreadable;
use beamwall_model::NodeId;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Protocol, Socket};
use prost::Message;
use quick_error::quick_error;
use tokio::sync::{mpsc, oneshot};

use crate::message::{Body, Envelope};

/// Messages that wait for one peer; older ones are of no use.
const QUEUE_CAPACITY: usize = 256;
/// Messages in the send buffer of one socket.
const SEND_BUFFER: i32 = 64;
/// Messages received and not yet handled.
const INBOUND_CAPACITY: usize = 4_096;
/// Pause after a failed receive.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Largest message: a whole settings tree.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;
/// A session that sent nothing for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(120);
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Why peers cannot be reached.
    #[derive(Debug)]
    pub enum PeerError {
        /// The peer address could not be opened.
        Listen(address: SocketAddr, reason: String) {
            display("cannot listen for peers on {}: {}", address, reason)
        }
        /// No answer came in time.
        NoAnswer(limit: Duration) {
            display("no answer from the peer within {} ms", limit.as_millis())
        }
        /// The network of this node is closed.
        Closed {
            display("peer network is closed")
        }
    }
}

/// Traffic counted since start.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Bytes handed to sockets.
    pub sent_bytes: AtomicU64,
    /// The same by kind of message ([`Body::kind`]).
    sent_bytes_by_kind: Mutex<BTreeMap<&'static str, u64>>,
    /// Messages handed to sockets.
    pub sent_messages: AtomicU64,
    /// Messages that a full queue or a missing connection dropped.
    pub dropped_messages: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Messages received.
    pub received_messages: AtomicU64,
}

impl PeerTraffic {
    /// Bytes handed to sockets since start, by kind of message.
    pub fn sent_bytes_by_kind(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.sent_bytes_by_kind).clone()
    }

    fn note_sent(&self, envelope: &Envelope, bytes: u64) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        let kind = envelope.body.as_ref().map_or("none", Body::kind);
        *lock(&self.sent_bytes_by_kind).entry(kind).or_default() += bytes;
    }
}

type Queues = HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>;
type Questions = HashMap<u64, oneshot::Sender<Envelope>>;

/// The sessions of one node.
#[derive(Debug)]
pub struct PeerNetwork {
    queues: Mutex<Queues>,
    questions: Mutex<Questions>,
    next_question: AtomicU64,
    blocked: Mutex<HashSet<NodeId>>,
    listener: Socket,
    /// Traffic counted since start.
    pub traffic: PeerTraffic,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerNetwork {
    /// Opens the pull socket. Messages that are not answers arrive on the receiver.
    pub fn listen(address: SocketAddr) -> Result<(Arc<Self>, mpsc::Receiver<Envelope>), PeerError> {
        let failed = |error: nng::Error| PeerError::Listen(address, error.to_string());
        let listener = Socket::new(Protocol::Pull0).map_err(failed)?;
        listener.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES).map_err(failed)?;
        listener.listen(&format!("tcp://{address}")).map_err(failed)?;
        let (inbound, receiver) = mpsc::channel(INBOUND_CAPACITY);
        let network = Arc::new(Self {
            queues: Mutex::default(),
            questions: Mutex::default(),
            next_question: AtomicU64::new(1),
            blocked: Mutex::default(),
            listener: listener.clone(),
            traffic: PeerTraffic::default(),
        });
        let receiving = network.clone();
        std::thread::spawn(move || receiving.receive_loop(&listener, &inbound));
        Ok((network, receiver))
    }

    /// Closes all sockets.
    pub fn close(&self) {
        self.listener.close();
        lock(&self.queues).clear();
    }

    /// Drops all messages from these nodes: a fault drill that operators can order.
    pub fn block(&self, nodes: HashSet<NodeId>) {
        *lock(&self.blocked) = nodes;
    }

    /// Whether messages of a node are dropped.
    pub fn is_blocked(&self, node: &NodeId) -> bool {
        lock(&self.blocked).contains(node)
    }

    /// Sends one message; it is lost when the peer cannot be reached.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        let bytes = envelope.encode_to_vec();
        let size = bytes.len() as u64;
        if self.queue(to).try_send(bytes).is_err() {
            self.traffic.dropped_messages.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.traffic.note_sent(envelope, size);
    }

    /// Sends one message and waits for its answer.
    pub async fn ask(
        &self,
        to: SocketAddr,
        mut envelope: Envelope,
        limit: Duration,
    ) -> Result<Envelope, PeerError> {
        let question = self.next_question.fetch_add(1, Ordering::Relaxed);
        envelope.question = question;
        let (answered, answer) = oneshot::channel();
        lock(&self.questions).insert(question, answered);
        self.send(to, &envelope);
        let result = tokio::time::timeout(limit, answer).await;
        lock(&self.questions).remove(&question);
        match result {
            Ok(Ok(envelope)) => Ok(envelope),
            Ok(Err(_)) => Err(PeerError::Closed),
            Err(_) => Err(PeerError::NoAnswer(limit)),
        }
    }

    fn queue(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(&to)
            && !queue.is_closed()
        {
            return queue.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_session(to, receiver));
        queues.insert(to, sender.clone());
        sender
    }

    fn receive_loop(&self, listener: &Socket, inbound: &mpsc::Sender<Envelope>) {
        loop {
            let message = match listener.recv() {
                Ok(message) => message,
                Err(nng::Error::Closed) => return,
                // Anything else concerns one message or one connection; the node must not go deaf.
                Err(_) => {
                    std::thread::sleep(RECEIVE_ERROR_PAUSE);
                    continue;
                }
            };
            self.traffic.received_messages.fetch_add(1, Ordering::Relaxed);
            self.traffic.received_bytes.fetch_add(message.len() as u64, Ordering::Relaxed);
            let envelope = match Envelope::decode(message.as_slice()) {
                Ok(envelope) => envelope,
                Err(error) => {
                    emit(&PeerMessageUnreadable { reason: error.to_string() });
                    continue;
                }
            };
            if self.is_blocked(&NodeId::new(&envelope.sender)) {
                continue;
            }
            if envelope.answers != 0 {
                self.answer(envelope);
            } else if inbound.blocking_send(envelope).is_err() {
                return;
            }
        }
    }

    fn answer(&self, envelope: Envelope) {
        if let Some(waiting) = lock(&self.questions).remove(&envelope.answers) {
            let _ = waiting.send(envelope);
        }
    }
}

/// The task of one peer: sends what is queued until the queue is dropped.
async fn run_session(to: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    let Ok(socket) = open_session(to) else { return };
    while let Ok(Some(bytes)) = tokio::time::timeout(IDLE_LIMIT, queue.recv()).await {
        let _ = socket.try_send(bytes.as_slice());
    }
    socket.close();
}

fn open_session(to: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}
