//! Delegates requests to peers that reach the engines while this node is partitioned from them.
//!
//! The peer handles a delegated request like one of its own callers: it checks the key, charges the quota,
//! counts usage and chooses the engine. This node only passes the peer's response on. A delegated request
//! carries a token that the peer handed out, so that callers can't claim it, and is never delegated again.
//!
//! A request is delegated only while it is certain that it has not run, or if it may run again. A response
//! that is lost on the way from the peer is a lost response, whatever the peer may have done.
//!
//! The retry budgets limit what all nodes together send. A request that was sent before, here or by a peer that
//! refused it, is delegated at the cost of a retry of this node, which pays for the peer's first attempt. One node
//! only earns the request's fraction of a retry: the first that sends it.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use beamwall_clock::timers;
use beamwall_events::emit;
use beamwall_events::internal_events::{EnginesReachable, EnginesUnreachable, RequestDelegated};
use beamwall_http::{Body, PooledBody, channel, full, read_response};
use beamwall_model::{BackendId, NodeId, ServiceName};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::forward::Forwarder;
use crate::ports::DelegationMark;
use crate::refusal::Refusal;
use crate::reserved_retry::ReservedRetry;
use crate::unary::MAX_RESPONSE_BYTES;

/// Peers to which one request is delegated, one after another.
const MAX_PEERS: usize = 2;
/// How often a peer that doesn't say is assumed to have sent a request that it refused.
const SENT_BY_EARLIER_BUILD: u32 = 1;
/// Pieces of a stream buffered for a slow caller.
const CHANNEL_CAPACITY: usize = 64;

/// A peer that takes delegated requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegationPeer {
    /// The peer.
    pub node: NodeId,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
    /// The token by which it recognizes a delegated request.
    pub token: u64,
    /// Whether it earns nothing for a request for which another node has earned. Earlier builds always earn.
    pub heeds_earned: bool,
}

/// Finds peers that take delegated requests.
#[async_trait]
pub trait DelegationPort: Send + Sync + 'static {
    /// A peer outside `avoided` that reaches the engines of a service; `None` if there is none.
    async fn find_peer(&self, service: &ServiceName, avoided: &[NodeId]) -> Option<DelegationPeer>;
    /// Records that a peer could not be reached.
    fn note_unreachable(&self, peer: &NodeId);
    /// Whether a token was handed out by this node.
    fn is_own_token(&self, token: u64) -> bool;
}

/// Delegates a call; `None` if no peer took it, or if it was sent before and no retry is left to pay for a peer.
pub async fn delegate(forwarder: &Forwarder, call: &Arc<Call>) -> Option<Result<Response<Body>, Refusal>> {
    if call.is_delegated {
        return None;
    }
    let mut tried = Vec::new();
    let mut refused = None;
    while tried.len() < MAX_PEERS && !call.remaining().is_zero() {
        let Some(fee) = Fee::reserve(forwarder, call) else { break };
        let Some(peer) = forwarder.delegation.find_peer(&call.service, &tried).await else { break };
        tried.push(peer.node.clone());
        let outcome = send(forwarder, call, &peer).await;
        note_earned_by_peer(forwarder, call, &peer, &outcome);
        match outcome {
            Outcome::Answered(response) => {
                fee.pay();
                return Some(Ok(response));
            }
            Outcome::Refused { response, sent } => {
                call.sends.note_sent_by_peer(sent);
                if sent > 0 {
                    fee.pay();
                }
                refused = Some(Ok(response));
            }
            Outcome::NotSent => forwarder.delegation.note_unreachable(&peer.node),
            Outcome::Lost(refusal) => {
                fee.pay();
                return Some(Err(refusal));
            }
        }
    }
    refused
}

/// The retry that pays for a peer's first attempt at a request that was sent before; none for any other.
struct Fee {
    retry: Option<ReservedRetry>,
}

impl Fee {
    /// Reserves what is due; `None` if the budget doesn't have it.
    fn reserve(forwarder: &Forwarder, call: &Call) -> Option<Self> {
        if call.sends.sent() == 0 {
            return Some(Self { retry: None });
        }
        let retry = forwarder.retries.reserve(&call.service, Instant::now())?;
        Some(Self { retry: Some(retry) })
    }

    fn pay(self) {
        if let Some(retry) = self.retry {
            retry.spend();
        }
    }
}

/// Records that a peer that took a request has earned its fraction of a retry. If another node had earned it before,
/// this node makes up for it.
fn note_earned_by_peer(forwarder: &Forwarder, call: &Call, peer: &DelegationPeer, outcome: &Outcome) {
    if matches!(outcome, Outcome::NotSent) {
        return;
    }
    let is_first = call.sends.note_earned();
    if !is_first && !peer.heeds_earned {
        forwarder.retries.unearn(&call.service, Instant::now());
    }
}

/// What became of a delegated request.
enum Outcome {
    /// An engine responded, or the peer refused the request for a reason that holds at every node.
    Answered(Response<Body>),
    /// The peer proved that it did not run the request; another peer may.
    Refused {
        response: Response<Body>,
        /// How often the peer had sent it to back ends, which rejected it.
        sent: u32,
    },
    /// The peer received nothing.
    NotSent,
    /// The peer may have run the request, and its response was lost.
    Lost(Refusal),
}

async fn send(forwarder: &Forwarder, call: &Arc<Call>, peer: &DelegationPeer) -> Outcome {
    emit(&RequestDelegated {
        request: call.log_id(),
        service: call.service.to_string(),
        peer: peer.node.to_string(),
        remaining_ms: call.remaining().as_millis().to_string(),
        sent_before: call.sends.sent().to_string(),
    });
    let request = build_request(forwarder, call, peer);
    let sent = timers::timeout(call.remaining(), forwarder.pool.send(peer.address, request)).await;
    let outcome = match sent {
        None => Outcome::Lost(Refusal::TimedOut),
        Some(Err(error)) if error.nothing_sent() => Outcome::NotSent,
        Some(Err(error)) => Outcome::Lost(Refusal::ResponseLost(error.to_string())),
        Some(Ok(response)) => pass_on(forwarder, call, response).await,
    };
    forwarder.metrics.delegated.with_label_values(&[outcome.label()]).inc();
    outcome
}

impl Outcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused { .. } => "refused",
            Self::NotSent => "not_sent",
            Self::Lost(_) => "lost",
        }
    }
}

fn build_request(forwarder: &Forwarder, call: &Call, peer: &DelegationPeer) -> Request<Body> {
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let mark = DelegationMark { token: peer.token, has_earned: call.sends.has_earned() };
    *request.headers_mut() = forwarder.dialect.delegated_headers(&call.headers, call.remaining(), mark);
    request
}

/// Passes a peer's response on: streams piece by piece, others as a whole.
async fn pass_on(forwarder: &Forwarder, call: &Arc<Call>, response: Response<PooledBody>) -> Outcome {
    let status = response.status();
    let head = forwarder.dialect.read_response_head(status, response.headers());
    let (parts, body) = response.into_parts();
    let body = if call.route.kind.is_stream() && status.is_success() {
        stream_on(call.clone(), body)
    } else {
        match read_response(body, &call.caller, MAX_RESPONSE_BYTES, call.remaining()).await {
            Ok(bytes) => full(bytes),
            Err(error) => return Outcome::Lost(Refusal::ResponseLost(error.to_string())),
        }
    };
    let mut passed_on = Response::new(body);
    *passed_on.status_mut() = status;
    *passed_on.headers_mut() = forwarder.dialect.response_headers(&parts.headers);
    if status == StatusCode::SERVICE_UNAVAILABLE && !head.is_signed {
        let sent = head.sent_by_peer.unwrap_or(SENT_BY_EARLIER_BUILD);
        return Outcome::Refused { response: passed_on, sent };
    }
    Outcome::Answered(passed_on)
}

/// Spawns a task that passes a stream on until it ends, the caller leaves or the time is up. A stream that
/// breaks off is broken off for the caller as well.
fn stream_on(call: Arc<Call>, mut source: PooledBody) -> Body {
    let (sender, body) = channel(CHANNEL_CAPACITY);
    tokio::spawn(async move {
        let mut time_is_up = std::pin::pin!(call.deadline_elapsed());
        loop {
            let frame = tokio::select! {
                biased;
                frame = source.frame() => frame,
                () = sender.disconnected() => return,
                () = time_is_up.as_mut() => return sender.abort("the time is up").await,
            };
            match frame {
                None => return,
                Some(Err(error)) => return sender.abort(&error.to_string()).await,
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let held = match call.caller.hold_bytes(Bytes::copy_from_slice(&data)) {
                        Ok(held) => held,
                        Err(shortage) => return sender.abort(&shortage.to_string()).await,
                    };
                    if sender.send(held).await.is_err() {
                        return;
                    }
                }
            }
        }
    });
    body
}

impl Forwarder {
    /// Records whether an attempt reached an engine of a service. An engine that responded was reached, even
    /// if the attempt failed; one that leaves by its own word may have ended.
    pub(crate) fn note_reachability(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        failure: Option<&AttemptFailure>,
    ) {
        match failure.filter(|failure| failure.response_lost || failure.is_connect_failure) {
            None => self.note_reachable(service),
            Some(failure) => self.note_unreached(service, backend, failure),
        }
    }

    fn note_unreached(&self, service: &ServiceName, backend: &BackendId, failure: &AttemptFailure) {
        if self.gate.is_leaving(backend) {
            return;
        }
        let usable = self.directory.load().usable(service).count();
        if self.reachability.note_failure(service, backend, usable, Instant::now()) {
            emit(&EnginesUnreachable { service: service.to_string(), reason: failure.reason.clone() });
        }
    }

    /// Records that an engine of a service responded.
    pub(crate) fn note_reachable(&self, service: &ServiceName) {
        if let Some(length) = self.reachability.note_response(service, Instant::now()) {
            let after_ms = length.as_millis().to_string();
            emit(&EnginesReachable { service: service.to_string(), after_ms });
        }
    }
}
