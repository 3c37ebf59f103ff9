//! One try of a request at one back end.

use std::time::Duration;

use beamwall_clock::{process_clock, timers};
use beamwall_http::{PoolError, PooledBody, full};
use beamwall_model::{BackendId, InstanceName};
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::failover::FailedAttempt;
use crate::forward::{Call, Forwarder};
use crate::load::OpenWork;
use crate::placement::Choice;
use crate::ports::{AnswerHead, ForwardHead};

/// Time after which a lost answer tells that a back end had begun: one that resets at once took nothing.
const BEGUN_AFTER: Duration = Duration::from_millis(8);

/// Standstill of this process during an attempt up to which the back end is blamed for giving no answer in time.
const STANDSTILL_BORNE: Duration = Duration::from_millis(100);

/// Whether a request that failed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It has not and never will.
    No,
    /// It may have.
    Maybe,
}

impl Ran {
    /// The word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
        }
    }
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the request has run.
    pub ran: Ran,
    /// Whether it was sent at all, so that it counts as an attempt.
    pub sent: bool,
    /// Whether it is taken to have begun: the back end began to answer, or worked for a while before the answer was
    /// lost.
    pub begun: bool,
    /// Whether its time was up.
    pub timed_out: bool,
    /// Whether the connection ended or fell silent before the whole answer, so that the back end may have ended.
    pub answer_lost: bool,
    /// What happened.
    pub reason: String,
}

impl AttemptFailure {
    /// A failure after which the request may have run.
    pub fn may_have_run(reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { ran: Ran::Maybe, sent: true, begun: false, timed_out: false, answer_lost: false, reason }
    }

    /// A failure after which the request may have run, where the answer was lost with its connection or by silence.
    pub fn lost(reason: impl Into<String>) -> Self {
        Self { answer_lost: true, ..Self::may_have_run(reason) }
    }

    /// The same failure of a request that had begun.
    pub fn after_begin(self) -> Self {
        Self { begun: true, ..self }
    }

    fn not_sent(reason: String) -> Self {
        Self { sent: false, ..Self::not_run(reason) }
    }

    fn not_run(reason: String) -> Self {
        Self { ran: Ran::No, ..Self::may_have_run(reason) }
    }

    fn timed_out(limit: Duration) -> Self {
        Self { timed_out: true, ..Self::lost(format!("no answer within {} ms", limit.as_millis())) }
    }
}

/// An answer whose head came and whose body is being received.
pub struct Opened {
    /// The back end.
    pub backend: BackendId,
    /// The answer.
    pub response: Response<PooledBody>,
    /// Counts as open work until dropped.
    pub work: OpenWork,
}

/// Sends a call to the chosen back end and waits up to `limit` for the head of its answer. `last_event` is
/// the last event delivered, when a stream continues. Health is noted here.
pub async fn open(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    limit: Duration,
) -> Result<Opened, AttemptFailure> {
    let backend = &choice.backend;
    let directory = forwarder.directory.load();
    let Some(target) = directory.get(backend) else {
        return Err(AttemptFailure::not_sent("the back end is gone".to_owned()));
    };
    let request = build_request(forwarder, call, &target.instance, last_event);
    let work = forwarder.knowledge.loads.open(backend, choice.reading.tokens);
    let (sent_at, stood_still) = (Instant::now(), process_clock::stall_time());
    let sent = timers::timeout(limit, forwarder.pool.send(target.address, request)).await;
    let result = match sent {
        None => Err(AttemptFailure::timed_out(limit)),
        Some(Err(error)) => {
            if matches!(error, PoolError::Refused(_)) {
                forwarder.quarantine.note_ended(backend);
            }
            if matches!(error, PoolError::Refused(_) | PoolError::Connect(..)) {
                forwarder.knowledge.doubts.note_unreached(backend, Instant::now());
            }
            Err(from_pool(&error, call, sent_at.elapsed()))
        }
        Some(Ok(response)) => check_head(forwarder, call, backend, response, work),
    };
    // An answer may lie unread where this process did not run: its time up tells nothing of the back end.
    let had_its_time = process_clock::stall_time().saturating_sub(stood_still) < STANDSTILL_BORNE;
    if !had_its_time && result.as_ref().is_err_and(|failure| failure.timed_out) {
        return result;
    }
    note_health(forwarder, backend, &result);
    if let Err(failure) = &result
        && failure.ran == Ran::Maybe
    {
        forwarder.note_answer(call, backend, true);
    }
    result
}

/// Notes that a back end is left for its silence before it began to answer; `next` is reserved for the next attempt.
pub(crate) fn leave_silent(
    forwarder: &Forwarder,
    call: &Call,
    backend: &BackendId,
    next: Choice,
) -> FailedAttempt {
    forwarder.note_answer(call, backend, true);
    forwarder.knowledge.health.note_unreachable(backend, Instant::now());
    FailedAttempt { failure: AttemptFailure::lost("the engine is silent"), next: Some(next) }
}

fn build_request(
    forwarder: &Forwarder,
    call: &Call,
    instance: &InstanceName,
    last_event: Option<u64>,
) -> Request<beamwall_http::Body> {
    let head = ForwardHead {
        instance,
        remaining: call.remaining(),
        tenant: call.tenant.as_ref().map(|tenant| &tenant.name),
        rank: call.rank(forwarder.reading_ms(call)),
        last_event,
    };
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = forwarder.dialect.forward_headers(&call.headers, &head);
    request
}

fn from_pool(error: &PoolError, call: &Call, elapsed: Duration) -> AttemptFailure {
    let lost = AttemptFailure::lost(error.to_string());
    match error {
        PoolError::Connect(..) | PoolError::Refused(_) | PoolError::NotWritten(_) => {
            AttemptFailure::not_sent(error.to_string())
        }
        _ if elapsed < BEGUN_AFTER => lost,
        PoolError::Reset(_) => lost.after_begin(),
        // Model engines that go close many streams that still wait for their prompts to be read.
        PoolError::Lost(..) if call.route.kind.is_stream() => lost,
        PoolError::Lost(..) => lost.after_begin(),
    }
}

fn check_head(
    forwarder: &Forwarder,
    call: &Call,
    backend: &BackendId,
    response: Response<PooledBody>,
    work: OpenWork,
) -> Result<Opened, AttemptFailure> {
    let status = response.status();
    let head = forwarder.dialect.read_answer(status, response.headers());
    if !answers_call(&head, call) {
        let other = head.request_id.unwrap_or_default();
        return Err(AttemptFailure::may_have_run(format!("the answer belongs to request {other:?}")));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        forwarder.knowledge.doubts.note_unreached(backend, Instant::now());
    } else {
        forwarder.knowledge.doubts.note_reached(backend);
    }
    if head.proves_not_run {
        return Err(AttemptFailure::not_run(format!("refused with status {status}")));
    }
    if !head.is_signed {
        return Err(AttemptFailure::may_have_run(format!("answer without a signature, status {status}")));
    }
    if promises_not_run(status) && !call.route.kind.is_idempotent() {
        return Err(AttemptFailure::may_have_run(format!("status {status} without proof")));
    }
    Ok(Opened { backend: backend.clone(), response, work })
}

/// An answer without an identifier can't be told from a late one of another request.
fn answers_call(head: &AnswerHead, call: &Call) -> bool {
    match (&head.request_id, &call.request_id) {
        (Some(answered), Some(asked)) => answered == asked,
        (None, _) => !head.is_signed,
        (Some(_), None) => true,
    }
}

/// Statuses that promise the caller that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn note_health(forwarder: &Forwarder, backend: &BackendId, result: &Result<Opened, AttemptFailure>) {
    let now = Instant::now();
    let health = &forwarder.knowledge.health;
    match result {
        Ok(opened) => health.note(backend, opened.response.status().is_server_error(), now),
        Err(failure) if !failure.sent || failure.timed_out => health.note_unreachable(backend, now),
        Err(_) => health.note(backend, true, now),
    }
}
