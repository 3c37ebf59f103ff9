//! Calls whose answer is read whole before it is passed on.

use std::time::Duration;

use beamwall_clock::{running, timers};
use beamwall_http::body::ReadError;
use beamwall_http::{Body, full, read_limited};
use bytes::Bytes;
use hyper::{Response, StatusCode, http::response::Parts};
use tokio::time::Instant;

use crate::attempt::{self, AttemptFailure, Opened};
use crate::attempts::Attempts;
use crate::failover::{self, FailedAttempt};
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;
use crate::refusal::Refusal;

/// Largest answer that is held in memory.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// Objectives after which another back end is looked for where a repeatable call got no answer.
const PATIENCE_IN_OBJECTIVES: u32 = 1;
/// Parts of the time left after one of which this is done at the latest.
const PARTS_OF_TIME: u32 = 2;

/// A whole answer of a back end.
struct Whole {
    parts: Parts,
    body: Bytes,
}

/// Forwards a call until a back end answers or no attempt is left.
pub async fn forward(forwarder: &Forwarder, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    let mut failed_answer = None;
    let mut next = attempts.first_choice(forwarder, call).await;
    while let Some(choice) = next {
        let sent_at = running::now();
        let failed = match open(forwarder, call, &choice, &mut attempts).await {
            Ok(opened) => match read_whole(forwarder, call, opened).await {
                Ok(whole) if !deserves_retry(call, whole.parts.status) => {
                    note_plain_call(forwarder, call, &choice, whole.parts.status, sent_at);
                    return Ok(pass(forwarder, whole));
                }
                Ok(whole) => {
                    let status = whole.parts.status;
                    forwarder.note_answer(call, &choice.backend, true);
                    failed_answer = Some(whole);
                    AttemptFailure::may_have_run(format!("failed with status {status}")).into()
                }
                Err(failure) => {
                    forwarder.note_answer(call, &choice.backend, true);
                    failure.into()
                }
            },
            Err(failed) => failed,
        };
        next = attempts.go_on(forwarder, call, &choice, failed).await;
    }
    match failed_answer {
        Some(whole) => Ok(pass(forwarder, whole)),
        None => Err(attempts.refusal(call)),
    }
}

/// Passes an answer on that was opened elsewhere, for example a stream's failure.
pub async fn pass_opened(
    forwarder: &Forwarder,
    call: &Call,
    opened: Opened,
) -> Result<Response<Body>, AttemptFailure> {
    read_whole(forwarder, call, opened).await.map(|whole| pass(forwarder, whole))
}

/// Sends a call and waits for the head of its answer. A back end that is silent is left where another one takes the call.
async fn open(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    attempts: &mut Attempts,
) -> Result<Opened, FailedAttempt> {
    let patience = patience(call, attempts);
    let sent = attempts.sent + 1;
    let next_back_end = async {
        match patience {
            Some(patience) => running::sleep(patience).await,
            None => std::future::pending().await,
        }
        failover::next_back_end(forwarder, call, attempts, sent, &choice.backend).await
    };
    tokio::select! {
        biased;
        opened = attempt::open(forwarder, call, choice, None, call.remaining()) => Ok(opened?),
        next = next_back_end => Err(attempt::leave_silent(forwarder, call, &choice.backend, next)),
    }
}

/// How long a repeatable call waits before another back end is looked for, while there is time for one. Any other call waits as
/// long as it may.
fn patience(call: &Call, attempts: &Attempts) -> Option<Duration> {
    if !call.may_fail_over(attempts.sent + 1) {
        return None;
    }
    let usual = Duration::from_millis(call.route.objective_ms) * PATIENCE_IN_OBJECTIVES;
    Some(usual.min(call.remaining() / PARTS_OF_TIME))
}

/// Notes how long a back end took for a call.
fn note_plain_call(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    status: StatusCode,
    sent_at: Instant,
) {
    let took_ms = running::now().duration_since(sent_at).as_secs_f64() * 1_000.0;
    let is_bad = status.is_server_error() || choice.is_slow(took_ms);
    forwarder.note_answer(call, &choice.backend, is_bad);
    let models = &forwarder.knowledge.models;
    models.record_plain_call(&call.service, &choice.backend, choice.open_requests, took_ms, Instant::now());
}

fn deserves_retry(call: &Call, status: StatusCode) -> bool {
    status.is_server_error() && call.route.kind.is_idempotent()
}

async fn read_whole(forwarder: &Forwarder, call: &Call, opened: Opened) -> Result<Whole, AttemptFailure> {
    let Opened { backend, response, work } = opened;
    let (parts, body) = response.into_parts();
    let left = call.remaining();
    // The body's own limit does not count the time asleep.
    let read = timers::timeout(left, read_limited(body, ANSWER_LIMIT_BYTES, left)).await;
    let read = read.unwrap_or(Err(ReadError::TooSlow(left)));
    drop(work);
    match read {
        Ok(body) => {
            forwarder.record_run(call);
            forwarder.quarantine.note_completed(&call.fingerprint);
            Ok(Whole { parts, body })
        }
        Err(error) => {
            forwarder.knowledge.health.note(&backend, true, Instant::now());
            Err(AttemptFailure::lost(error.to_string()).after_begin())
        }
    }
}

fn pass(forwarder: &Forwarder, whole: Whole) -> Response<Body> {
    let mut response = Response::new(full(whole.body));
    *response.status_mut() = whole.parts.status;
    *response.headers_mut() = forwarder.dialect.answer_headers(&whole.parts.headers);
    response
}
