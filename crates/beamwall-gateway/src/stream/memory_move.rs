//! Moves the memory of one run to another engine, while the run's stream is still being read.
//!
//! Most of the memory may be copied while the run goes on. The last call stops the run and copies the rest.
//! From then on the run exists only in that memory, which the source keeps as well.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_http::body::ReadError;
use beamwall_http::{Body, full, read_limited};
use beamwall_model::{BackendId, EngineVersion};
use bytes::Bytes;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use quick_error::quick_error;
use tokio::time::Instant;

use crate::forward::{Call, Forwarder, PermittedChoice};
use crate::ports::{MemorySource, MoveReply, MoveRequest};
use crate::reserved_retry::ReservedRetry;

/// Longest body of a reply that is read.
const MAX_REPLY_BYTES: usize = 4 << 10;
/// Longest call by which memory is freed. Engines free it by themselves later.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the time left that the copy ahead may take, so that the last call is made in time.
const COPY_AHEAD_SHARE: f64 = 0.6;
/// Time before the engine is gone in which the moved stream must be opened.
const OPENING_TIME: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a run was not moved.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MoveFailure {
        /// The retry budget is exhausted.
        RetryBudget {
            display("the retry budget is exhausted")
        }
        /// No other engine takes the run.
        NoTarget {
            display("no other engine takes the run")
        }
        /// The source is not listed any more.
        SourceGone {
            display("the engine is not listed any more")
        }
        /// The engine refused the copy; the run goes on.
        Refused {
            display("the copy was refused")
        }
        /// The run has ended, or its end is on the way.
        RunEnded {
            display("the run has ended")
        }
        /// The engine did not reply usably to an order to copy ahead; the run goes on.
        NoReply(reason: String) {
            display("no usable reply to the order: {}", reason)
        }
        /// The engine did not reply usably to the order to stop the run, which it may have carried out.
        MaybeStopped(reason: String) {
            display("no usable reply to the order to stop the run: {}", reason)
        }
    }
}

impl MoveFailure {
    /// Whether the run certainly goes on and a later move may succeed. The only refusals among these are of a copy
    /// ahead and of an order beside another one.
    pub(super) fn may_succeed_later(&self) -> bool {
        matches!(self, Self::RetryBudget | Self::NoTarget | Self::Refused)
    }

    /// The value used in metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::RetryBudget => "retry_budget",
            Self::NoTarget => "no_target",
            Self::SourceGone | Self::NoReply(_) | Self::MaybeStopped(_) => "no_reply",
            Self::Refused => "refused",
            Self::RunEnded => "run_ended",
        }
    }
}

/// A run that was stopped, and where it can go on.
pub(super) struct StoppedRun {
    /// Its memory, which is freed when this is dropped unless it was used.
    pub(super) memory: HeldMemory,
    /// The engine that holds the copy; `None` if there is no copy.
    pub(super) target: Option<PermittedChoice>,
    /// Pays for the run's return to the engine that ran it, if the one with the copy rejects it. `None` if the budget
    /// had no second retry when the move began.
    pub(super) return_retry: Option<ReservedRetry>,
}

/// Result of a move.
pub(super) type MoveResult = Result<Box<StoppedRun>, MoveFailure>;

/// The memory of a stopped run. Frees it at both engines when dropped, unless it was used.
pub(super) struct HeldMemory {
    forwarder: Arc<Forwarder>,
    source: MemorySource,
    is_used: bool,
}

impl HeldMemory {
    fn new(forwarder: &Arc<Forwarder>, source: MemorySource) -> Self {
        Self { forwarder: forwarder.clone(), source, is_used: false }
    }

    /// How engines are told of it.
    pub(super) fn source(&self) -> &MemorySource {
        &self.source
    }

    /// Notes that the run goes on from it, which frees it.
    pub(super) fn note_used(&mut self) {
        self.is_used = true;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let (pool, engine) = (self.forwarder.pool.clone(), self.source.engine);
        let request = addressed(self.forwarder.dialect.release_request(&self.source.handle), engine);
        // Whatever comes of it, the engine frees the memory later by itself.
        tokio::spawn(async move { tokio::time::timeout(RELEASE_TIMEOUT, pool.send(engine, request)).await });
    }
}

/// What is to be moved, and the constraints on its target.
pub(super) struct MoveOrder {
    /// Identifier of the request.
    pub(super) request_id: String,
    /// The engine that runs it.
    pub(super) source: BackendId,
    /// When that engine is gone.
    pub(super) gone_at: Instant,
    /// Whether most of the memory is copied while the run goes on.
    pub(super) copies_ahead: bool,
    /// Back ends that can't be the target.
    pub(super) avoided: Vec<BackendId>,
    /// The version that began the stream.
    pub(super) version: Option<EngineVersion>,
}

/// Moves the memory of a run and stops it. Until the last call is made, the run is not affected.
pub(super) async fn move_run(forwarder: Arc<Forwarder>, call: Arc<Call>, order: MoveOrder) -> MoveResult {
    let reserve = || forwarder.retries.reserve(&call.service, Instant::now());
    let retry = reserve().ok_or(MoveFailure::RetryBudget)?;
    let return_retry = reserve();
    let target = forwarder.choose(&call, &order.avoided, order.version.as_ref()).await;
    let target = target.map_err(|_| MoveFailure::NoTarget)?;
    let source = MoveCalls::new(&forwarder, &order, &target)?;
    let mut ahead = None;
    if order.copies_ahead {
        ahead = Some(source.copy_ahead().await?);
    }
    let mut stopped = source.stop_and_copy(target).await;
    if let (Ok(_), Some(ahead)) = (&stopped, &mut ahead) {
        // Freeing the earlier copy would free the last one with it.
        ahead.note_used();
    }
    if let Ok(stopped) = &mut stopped {
        retry.spend();
        stopped.return_retry = return_retry.filter(|_| stopped.target.is_some());
    }
    stopped
}

/// The calls of one move.
struct MoveCalls<'a> {
    forwarder: &'a Arc<Forwarder>,
    request_id: &'a str,
    source: SocketAddr,
    target: SocketAddr,
    gone_at: Instant,
}

impl<'a> MoveCalls<'a> {
    fn new(
        forwarder: &'a Arc<Forwarder>,
        order: &'a MoveOrder,
        target: &PermittedChoice,
    ) -> Result<Self, MoveFailure> {
        let directory = forwarder.directory.load();
        let address = |backend: &BackendId| directory.get(backend).map(|listed| listed.address);
        Ok(Self {
            forwarder,
            request_id: &order.request_id,
            source: address(&order.source).ok_or(MoveFailure::SourceGone)?,
            target: address(&target.backend).ok_or(MoveFailure::NoTarget)?,
            gone_at: order.gone_at,
        })
    }

    /// Copies what the run has in memory now.
    async fn copy_ahead(&self) -> Result<HeldMemory, MoveFailure> {
        match self.order(false, self.time_left().mul_f64(COPY_AHEAD_SHARE)).await? {
            MoveReply::Copied { handle } => Ok(self.held(handle)),
            reply => Err(failure_of(reply)),
        }
    }

    /// Stops the run and copies the rest.
    async fn stop_and_copy(&self, target: PermittedChoice) -> MoveResult {
        let reply = self.order(true, self.time_left()).await.map_err(failure_after_stop_order)?;
        match reply {
            MoveReply::Copied { handle } => Ok(self.stopped(handle, Some(target))),
            MoveReply::Refused { handle: Some(handle) } => Ok(self.stopped(handle, None)),
            MoveReply::Refused { handle: None } => {
                Err(MoveFailure::MaybeStopped("refused without a handle".to_owned()))
            }
            reply => Err(failure_after_stop_order(failure_of(reply))),
        }
    }

    fn time_left(&self) -> Duration {
        self.gone_at.saturating_duration_since(Instant::now()).saturating_sub(OPENING_TIME)
    }

    fn stopped(&self, handle: String, target: Option<PermittedChoice>) -> Box<StoppedRun> {
        Box::new(StoppedRun { memory: self.held(handle), target, return_retry: None })
    }

    fn held(&self, handle: String) -> HeldMemory {
        HeldMemory::new(self.forwarder, MemorySource { engine: self.source, handle })
    }

    async fn order(&self, stops_run: bool, limit: Duration) -> Result<MoveReply, MoveFailure> {
        let order = MoveRequest { request_id: self.request_id, target: self.target, stops_run };
        let request = self.forwarder.dialect.move_request(&order);
        let reply = tokio::time::timeout(limit, self.send(request, limit)).await;
        let no_reply = || MoveFailure::NoReply(format!("none within {} ms", limit.as_millis()));
        reply.map_err(|_| no_reply())?
    }

    async fn send(&self, request: Request<Bytes>, limit: Duration) -> Result<MoveReply, MoveFailure> {
        let sent = self.forwarder.pool.send(self.source, addressed(request, self.source)).await;
        let response = sent.map_err(|error| MoveFailure::NoReply(error.to_string()))?;
        let status = response.status();
        let unreadable = |error: ReadError| MoveFailure::NoReply(error.to_string());
        let body = read_limited(response.into_body(), MAX_REPLY_BYTES, limit).await.map_err(unreadable)?;
        Ok(self.forwarder.dialect.read_move_reply(status, &body))
    }
}

/// A request of the gateway's own to an engine. Forwarded requests bear the caller's host instead.
fn addressed(request: Request<Bytes>, engine: SocketAddr) -> Request<Body> {
    let mut request = request.map(full);
    if let Ok(host) = HeaderValue::from_str(&engine.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// The failure that a reply other than a copy means.
fn failure_of(reply: MoveReply) -> MoveFailure {
    match reply {
        MoveReply::RunEnded => MoveFailure::RunEnded,
        MoveReply::Busy | MoveReply::Refused { .. } => MoveFailure::Refused,
        MoveReply::Copied { .. } => MoveFailure::NoReply("a copy that was not ordered".to_owned()),
        MoveReply::Unreadable { reason } => MoveFailure::NoReply(reason),
    }
}

/// The failure of an order to stop the run. Without a usable reply, the run may have been stopped.
fn failure_after_stop_order(failure: MoveFailure) -> MoveFailure {
    match failure {
        MoveFailure::NoReply(reason) => MoveFailure::MaybeStopped(reason),
        failure => failure,
    }
}
