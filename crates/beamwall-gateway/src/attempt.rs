//! A single attempt to run a request at one back end.

use std::time::Duration;

use beamwall_clock::{process_clock, timers};
use beamwall_engine_limits::LimitNotice;
use beamwall_http::{PoolError, PooledBody, full};
use beamwall_model::{BackendId, EngineVersion, InstanceName};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::directory::Backend;
use crate::engine_gate::SendPermit;
use crate::failover::FailedAttempt;
use crate::forward::{Call, Forwarder, PermittedChoice};
use crate::load::OpenRequestGuard;
use crate::lost_responses::{LossKind, ResponseLoss};
use crate::pacing;
use crate::placement::Choice;
use crate::ports::{ForwardHead, MemorySource, ResponseHead};

/// If the response is lost later than this after sending, the back end is assumed to have started the
/// request. A back end that resets the connection sooner has not accepted anything.
const MIN_STARTED_TIME: Duration = Duration::from_millis(8);

/// Longest stall of this process during an attempt for which a timeout still counts against the back end.
const MAX_TOLERATED_STALL: Duration = Duration::from_millis(100);

/// Whether a request that failed was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It was not executed and never will be.
    NotExecuted,
    /// It may have been executed.
    MaybeExecuted,
}

impl Execution {
    /// The value used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotExecuted => "no",
            Self::MaybeExecuted => "maybe",
        }
    }
}

/// Why an attempt produced no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request was executed.
    pub execution: Execution,
    /// Whether the request was sent, so that it counts as an attempt.
    pub sent: bool,
    /// Whether the request is assumed to have started: the back end began to respond, or worked on it for a
    /// while before the response was lost.
    pub has_started: bool,
    /// Whether the attempt timed out.
    pub timed_out: bool,
    /// Whether the connection closed or went silent before the whole response arrived, which may mean that
    /// the back end terminated.
    pub response_lost: bool,
    /// Whether it was lost because the back end was silent for too long, not because the connection closed.
    pub is_silent: bool,
    /// Whether no connection could be opened or used.
    pub is_connect_failure: bool,
    /// Time from sending the request until the attempt failed; zero if unknown.
    pub exposure: Duration,
    /// Description of the failure.
    pub reason: String,
}

impl AttemptFailure {
    /// A failure after which the request may have been executed.
    pub fn may_have_run(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self {
            execution: Execution::MaybeExecuted,
            sent: true,
            has_started: false,
            timed_out: false,
            response_lost: false,
            is_silent: false,
            is_connect_failure: false,
            exposure: Duration::ZERO,
            reason,
        }
    }

    /// A failure after which the request may have been executed, where the response was lost because the
    /// connection closed or went silent.
    pub fn lost(reason: impl Into<String>) -> Self {
        Self { response_lost: true, ..Self::may_have_run(reason) }
    }

    /// A failure after which the request may have been executed, where the back end was silent for too long.
    pub fn silent(reason: impl Into<String>) -> Self {
        Self { is_silent: true, ..Self::lost(reason) }
    }

    /// How the response was lost; `None` if it was not.
    pub(crate) fn loss(&self) -> Option<ResponseLoss> {
        let kind = if self.is_silent { LossKind::Silent } else { LossKind::Closed };
        self.response_lost.then_some(ResponseLoss { kind, exposure: self.exposure })
    }

    /// The same failure, for a request that had started.
    pub fn after_start(self) -> Self {
        Self { has_started: true, ..self }
    }

    fn not_sent(reason: String) -> Self {
        Self { sent: false, ..Self::not_run(reason) }
    }

    fn not_run(reason: String) -> Self {
        Self { execution: Execution::NotExecuted, ..Self::may_have_run(reason) }
    }

    fn timed_out(limit: Duration) -> Self {
        Self { timed_out: true, ..Self::silent(format!("no answer within {} ms", limit.as_millis())) }
    }
}

/// A response whose head was received and whose body is still arriving.
pub struct OpenResponse {
    /// The back end.
    pub backend: BackendId,
    /// Its software version.
    pub version: EngineVersion,
    /// The response.
    pub response: Response<PooledBody>,
    /// Counts the request as open until dropped.
    pub work: OpenRequestGuard,
}

/// Where an attempt takes up a stream; the default begins it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResumePoint<'a> {
    /// The last event delivered, when a stream is continued.
    pub last_event: Option<u64>,
    /// The memory from which the same run goes on.
    pub memory: Option<&'a MemorySource>,
}

impl ResumePoint<'_> {
    /// After the last event delivered, by a new run.
    pub fn after(last_event: Option<u64>) -> Self {
        Self { last_event, memory: None }
    }
}

/// Spends `permit` to send a call to the chosen back end and waits up to `limit` for the response head. Also
/// records the back end's health.
pub async fn open(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    permit: SendPermit,
    resume: ResumePoint<'_>,
    limit: Duration,
) -> Result<OpenResponse, AttemptFailure> {
    let backend = permit.backend();
    let directory = forwarder.directory.load();
    let Some(target) = directory.get(backend) else {
        return Err(AttemptFailure::not_sent("the back end is gone".to_owned()));
    };
    if let Err(unavailable) = forwarder.gate.check(backend) {
        return Err(AttemptFailure::not_sent(unavailable.to_string()));
    }
    let request = build_request(forwarder, call, &target.instance, resume);
    let work = forwarder.backend_state.loads.open(backend, choice.prefill.tokens);
    note_sending(forwarder, call);
    let (sent_at, stall_before) = (Instant::now(), process_clock::stall_time());
    let sent = timers::timeout(limit, forwarder.pool.send(target.address, request)).await;
    let result = match sent {
        None => Err(AttemptFailure::timed_out(limit)),
        Some(Err(error)) => {
            if matches!(error, PoolError::Refused(_)) {
                forwarder.quarantine.note_terminated(backend);
            }
            if matches!(error, PoolError::Refused(_) | PoolError::Connect(..)) {
                forwarder.backend_state.staleness.note_connect_failure(backend, Instant::now());
            }
            Err(failure_from_pool(&error, call, sent_at.elapsed()))
        }
        Some(Ok(response)) => check_head(forwarder, call, target, sent_at, response, work),
    };
    if result.as_ref().is_err_and(|failure| !failure.sent) {
        call.sends.note_unsent();
        forwarder.metrics.attempts_unsent.with_label_values(&[call.service.as_str()]).inc();
    }
    // While this process was stalled, a response may have arrived without being read, so the timeout says
    // nothing about the back end.
    let had_full_timeout = process_clock::stall_time().saturating_sub(stall_before) < MAX_TOLERATED_STALL;
    if !had_full_timeout && result.as_ref().is_err_and(|failure| failure.timed_out) {
        return result;
    }
    pacing::note_attempt(&forwarder.backend_state, backend, result.as_ref().err());
    note_health(forwarder, backend, &result);
    forwarder.note_reachability(&call.service, backend, result.as_ref().err());
    if let Err(failure) = &result
        && failure.execution == Execution::MaybeExecuted
    {
        forwarder.record_stream_response(call, backend, resume.last_event, true);
    }
    result
}

fn note_sending(forwarder: &Forwarder, call: &Call) {
    let order = if call.sends.note_sending() == 0 { "first" } else { "further" };
    forwarder.metrics.attempts.with_label_values(&[call.service.as_str(), order]).inc();
}

/// Records that a back end is abandoned because it was silent before it started its response. `last_event` is
/// the last event delivered, when a stream is continued. `next` is reserved for the next attempt.
pub(crate) fn abandon_silent(
    forwarder: &Forwarder,
    call: &Call,
    backend: &BackendId,
    last_event: Option<u64>,
    next: PermittedChoice,
) -> FailedAttempt {
    forwarder.record_stream_response(call, backend, last_event, true);
    forwarder.backend_state.health.note_unreachable(backend, Instant::now());
    let failure = AttemptFailure::silent("the engine is silent");
    forwarder.note_reachability(&call.service, backend, Some(&failure));
    FailedAttempt { failure, next: Some(next) }
}

fn build_request(
    forwarder: &Forwarder,
    call: &Call,
    instance: &InstanceName,
    resume: ResumePoint<'_>,
) -> Request<beamwall_http::Body> {
    let head = ForwardHead {
        instance,
        remaining: call.remaining(),
        tenant: call.tenant.as_ref().map(|tenant| &tenant.name),
        rank: call.rank(forwarder.call_prefill_ms(call)),
        last_event: resume.last_event,
        memory: resume.memory,
    };
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = forwarder.dialect.forward_headers(&call.headers, &head);
    request
}

fn failure_from_pool(error: &PoolError, call: &Call, elapsed: Duration) -> AttemptFailure {
    let lost = AttemptFailure::lost(error.to_string());
    match error {
        PoolError::Connect(..) | PoolError::Refused(_) | PoolError::NotWritten(_) => {
            AttemptFailure { is_connect_failure: true, ..AttemptFailure::not_sent(error.to_string()) }
        }
        _ if elapsed < MIN_STARTED_TIME => lost,
        PoolError::Reset(_) => lost.after_start(),
        // Model engines that shut down close many streams whose prompts are still queued for prefill.
        PoolError::Lost(..) if call.route.kind.is_stream() => lost,
        PoolError::Lost(..) => lost.after_start(),
    }
}

fn check_head(
    forwarder: &Forwarder,
    call: &Call,
    target: &Backend,
    sent_at: Instant,
    response: Response<PooledBody>,
    work: OpenRequestGuard,
) -> Result<OpenResponse, AttemptFailure> {
    let backend = &target.id;
    let status = response.status();
    let head = forwarder.dialect.read_response_head(status, response.headers());
    if !matches_request(&head, call) {
        let other = head.request_id.unwrap_or_default();
        return Err(AttemptFailure::may_have_run(format!("the answer belongs to request {other:?}")));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        forwarder.backend_state.staleness.note_connect_failure(backend, Instant::now());
    } else {
        forwarder.backend_state.staleness.note_response(backend);
        forwarder.gate.note_response(backend, &head, sent_at);
        pacing::note_rest(&forwarder.backend_state.pace, backend, &head.rest);
    }
    if head.proves_not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        forwarder.gate.note_rejection(backend, &head.brittleness);
    } else if head.brittleness == LimitNotice::Unlimited {
        forwarder.gate.note_sound(backend, sent_at);
    }
    if head.proves_not_run {
        return Err(AttemptFailure::not_run(format!("refused with status {status}")));
    }
    if !head.is_signed {
        return Err(AttemptFailure::may_have_run(format!("answer without a signature, status {status}")));
    }
    if implies_not_executed(status) && !call.route.kind.is_idempotent() {
        return Err(AttemptFailure::may_have_run(format!("status {status} without proof")));
    }
    Ok(OpenResponse { backend: backend.clone(), version: target.version.clone(), response, work })
}

/// Whether the HTTP framing of a response marks its end. Otherwise it ends with its connection.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// A response without a request identifier can't be distinguished from a late response to another request.
fn matches_request(head: &ResponseHead, call: &Call) -> bool {
    match (&head.request_id, &call.request_id) {
        (Some(answered), Some(asked)) => answered == asked,
        (None, _) => !head.is_signed,
        (Some(_), None) => true,
    }
}

/// Statuses that tell the caller that the request was not executed.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn note_health(forwarder: &Forwarder, backend: &BackendId, result: &Result<OpenResponse, AttemptFailure>) {
    let now = Instant::now();
    let health = &forwarder.backend_state.health;
    match result {
        Ok(opened) => health.note(backend, opened.response.status().is_server_error(), now),
        Err(failure) if !failure.sent || failure.timed_out => health.note_unreachable(backend, now),
        Err(_) => health.note(backend, true, now),
    }
}
