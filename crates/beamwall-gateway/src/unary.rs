//! Calls whose response is buffered before it is forwarded.

use std::time::Duration;

use beamwall_clock::{process_clock, timers};
use beamwall_http::body::ReadError;
use beamwall_http::{Body, full, read_response};
use beamwall_model::BackendId;
use bytes::Bytes;
use hyper::{Response, StatusCode, http::response::Parts};
use tokio::time::Instant;

use crate::attempt::{self, AttemptFailure, OpenResponse, ResumePoint};
use crate::attempts::Attempts;
use crate::engine_gate::SendPermit;
use crate::failover::{self, FailedAttempt};
use crate::forward::{Call, Forwarder, PermittedChoice};
use crate::pacing;
use crate::placement::Choice;
use crate::refusal::Refusal;

/// Largest response that is buffered in memory.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Number of objectives after which failover starts for a repeatable call without a response.
const FAILOVER_DELAY_OBJECTIVES: u32 = 1;
/// Failover starts at the latest after the remaining time divided by this.
const REMAINING_TIME_DIVISOR: u32 = 2;

/// Time between two reports that a back end has survived a call so far.
const RUNNING_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A complete response of a back end.
struct BufferedResponse {
    parts: Parts,
    body: Bytes,
}

/// Forwards a call until a back end responds or no attempt is left.
pub async fn forward(forwarder: &Forwarder, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::of(call);
    let mut failed_response = None;
    let mut next = attempts.first_choice(forwarder, call).await;
    while let Some(PermittedChoice { choice, permit }) = next {
        let sent_at = process_clock::now();
        let failed = match open(forwarder, call, &choice, permit, &mut attempts).await {
            Ok(opened) => match read_buffered(forwarder, call, opened).await {
                Ok(buffered) if !is_retryable_failure(call, buffered.parts.status) => {
                    note_plain_call(forwarder, call, &choice, buffered.parts.status, sent_at);
                    return Ok(to_caller_response(forwarder, buffered));
                }
                Ok(buffered) => {
                    let status = buffered.parts.status;
                    forwarder.record_response(call, &choice.backend, true);
                    failed_response = Some(buffered);
                    AttemptFailure::may_have_run(format!("failed with status {status}")).into()
                }
                Err(failure) => {
                    forwarder.record_response(call, &choice.backend, true);
                    failure.into()
                }
            },
            Err(failed) => failed,
        };
        let failed = failed.with_exposure_since(sent_at);
        next = attempts.continue_after_failure(forwarder, call, &choice, failed).await;
    }
    match failed_response {
        Some(buffered) => Ok(to_caller_response(forwarder, buffered)),
        None => Err(attempts.refusal(call)),
    }
}

/// Buffers and forwards a response that was opened elsewhere, for example the error response to a stream
/// request.
pub async fn respond_buffered(
    forwarder: &Forwarder,
    call: &Call,
    opened: OpenResponse,
) -> Result<Response<Body>, AttemptFailure> {
    read_buffered(forwarder, call, opened).await.map(|buffered| to_caller_response(forwarder, buffered))
}

/// Sends a call and waits for the response head. Abandons a silent back end once another one is available.
async fn open(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    permit: SendPermit,
    attempts: &mut Attempts,
) -> Result<OpenResponse, FailedAttempt> {
    let failover_delay = failover_delay(call, attempts);
    let sent = attempts.sent + 1;
    let next_back_end = async {
        match failover_delay {
            Some(failover_delay) => process_clock::sleep(failover_delay).await,
            None => std::future::pending().await,
        }
        failover::reserve_next_back_end(forwarder, call, attempts, sent, &choice.backend).await
    };
    let opened = attempt::open(forwarder, call, choice, permit, ResumePoint::default(), call.remaining());
    tokio::select! {
        biased;
        opened = report_running(forwarder, call, &choice.backend, opened) => Ok(opened?),
        next = next_back_end => Err(attempt::abandon_silent(forwarder, call, &choice.backend, None, next)),
    }
}

/// Waits for an attempt. Nothing of a single response can be seen before its end, so the time for which its back end
/// has survived it is reported meanwhile.
async fn report_running<T>(
    forwarder: &Forwarder,
    call: &Call,
    backend: &BackendId,
    attempt: impl Future<Output = T>,
) -> T {
    let sent_at = process_clock::now();
    let mut attempt = std::pin::pin!(attempt);
    loop {
        tokio::select! {
            biased;
            result = attempt.as_mut() => return result,
            () = process_clock::sleep(RUNNING_REPORT_INTERVAL) => {
                forwarder.note_running(call, backend, process_clock::now().duration_since(sent_at));
            }
        }
    }
}

/// How long a repeatable call waits before failover starts, leaving time for another attempt. `None` for any
/// other call, which waits until its deadline.
fn failover_delay(call: &Call, attempts: &Attempts) -> Option<Duration> {
    if !call.may_fail_over(attempts.sent + 1) {
        return None;
    }
    let usual = Duration::from_millis(call.route.objective_ms) * FAILOVER_DELAY_OBJECTIVES;
    Some(usual.min(call.remaining() / REMAINING_TIME_DIVISOR))
}

/// Records how long a back end took for a call.
fn note_plain_call(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    status: StatusCode,
    sent_at: Instant,
) {
    let took_ms = process_clock::now().duration_since(sent_at).as_secs_f64() * 1_000.0;
    let is_bad = status.is_server_error() || choice.is_slow(took_ms);
    forwarder.record_response(call, &choice.backend, is_bad);
    let models = &forwarder.backend_state.models;
    models.record_plain_call(&call.service, &choice.backend, choice.open_requests, took_ms, Instant::now());
    pacing::note_response(&forwarder.backend_state.pace, choice, took_ms);
}

fn is_retryable_failure(call: &Call, status: StatusCode) -> bool {
    status.is_server_error() && call.route.kind.is_idempotent()
}

async fn read_buffered(
    forwarder: &Forwarder,
    call: &Call,
    opened: OpenResponse,
) -> Result<BufferedResponse, AttemptFailure> {
    let OpenResponse { backend, version, response, work } = opened;
    let (parts, body) = response.into_parts();
    let left = call.remaining();
    // The time limit of the body reader does not include the time for which the machine was suspended.
    let read = timers::timeout(left, read_response(body, &call.caller, MAX_RESPONSE_BYTES, left)).await;
    let read = read.unwrap_or(Err(ReadError::TooSlow(left)));
    drop(work);
    match read {
        Ok(body) => {
            forwarder.record_usage(call);
            let proves_parts = parts.status.is_success() && attempt::is_framed(&parts.headers);
            forwarder.note_completed(call, &version, proves_parts);
            Ok(BufferedResponse { parts, body })
        }
        // The back end is not to blame.
        Err(ReadError::NoRoom(shortage)) => {
            Err(AttemptFailure::may_have_run(shortage.to_string()).after_start())
        }
        Err(error) => {
            forwarder.backend_state.health.note(&backend, true, Instant::now());
            let is_silent = matches!(error, ReadError::TooSlow(_));
            Err(AttemptFailure { is_silent, ..AttemptFailure::lost(error.to_string()) }.after_start())
        }
    }
}

fn to_caller_response(forwarder: &Forwarder, buffered: BufferedResponse) -> Response<Body> {
    let mut response = Response::new(full(buffered.body));
    *response.status_mut() = buffered.parts.status;
    *response.headers_mut() = forwarder.dialect.response_headers(&buffered.parts.headers);
    response
}
