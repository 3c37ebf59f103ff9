//! Forwards event streams. Whole events are forwarded as they arrive, and a stream that fails is resumed at
//! another engine if the route allows it.

mod event_gap;
mod first_event_wait;
mod memory_move;
mod moved_stream;
mod relay;
pub mod relocation;
mod relocation_watch;
mod source;

use std::sync::Arc;
use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_engine_model::PrefillWork;
use beamwall_http::Body;
use beamwall_model::EngineVersion;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use crate::admission;
use crate::attempt::{self, AttemptFailure, OpenResponse, ResumePoint};
use crate::attempts::Attempts;
use crate::engine_gate::SendPermit;
use crate::failover::{self, FailedAttempt};
use crate::forward::{Call, Forwarder, PermittedChoice};
use crate::pacing;
use crate::placement::Choice;
use crate::refusal::Refusal;
use crate::stream::first_event_wait::FirstEventWait;
use crate::stream::relay::relay;
use crate::stream::source::{Piece, Source};
use crate::unary;

/// Forwards a call whose response is an event stream. Returns once the first events have arrived.
pub async fn forward(forwarder: &Arc<Forwarder>, call: &Arc<Call>) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::of(call);
    let mut next = attempts.first_choice(forwarder, call).await;
    let mut counted = None;
    while let Some(PermittedChoice { choice, permit }) = next {
        if attempts.tried.len() == 1 {
            forwarder.demand.note_request(&call.service, &call.route.name, choice.prefill);
            counted = Some(choice.prefill);
            if let Err(refusal) = check_servable(forwarder, call, &choice) {
                note_refusal(forwarder, call, counted, &refusal);
                return Err(refusal);
            }
        }
        let first_point = ResumePoint::after(call.last_event);
        let failed = match start_attempt(forwarder, call, &choice, permit, first_point, &mut attempts).await {
            Ok(AttemptStart::Stream(started)) => {
                attempts.note_response_started(started.version.as_ref());
                return Ok(relay(forwarder, call, *started, attempts));
            }
            Ok(AttemptStart::Answer(response)) => return Ok(response),
            Err(failed) => failed,
        };
        next = attempts.continue_after_failure(forwarder, call, &choice, failed).await;
    }
    let refusal = attempts.refusal(call);
    note_refusal(forwarder, call, counted, &refusal);
    Err(refusal)
}

/// Records for the demand that a caller whose work was counted may return.
fn note_refusal(forwarder: &Forwarder, call: &Call, counted: Option<PrefillWork>, refusal: &Refusal) {
    if let (Some(prefill), Some(retry_after)) = (counted, refusal.retry_after()) {
        forwarder.demand.note_refusal(&call.service, &call.route.name, prefill, retry_after);
    }
}

/// Refuses a call that is not expected to be served before its deadline.
fn check_servable(forwarder: &Forwarder, call: &Call, choice: &Choice) -> Result<(), Refusal> {
    let estimates = forwarder.estimates(&call.service);
    let remaining = call.remaining();
    let objective = Duration::from_millis(call.route.objective_ms);
    match admission::check(choice, &estimates, remaining, objective) {
        Some(unservable) => Err(Refusal::Unservable(unservable)),
        None => Ok(()),
    }
}

/// Response of an engine to an attempt.
enum AttemptStart {
    /// An event stream.
    Stream(Box<StartedStream>),
    /// Another response, read completely.
    Answer(Response<Body>),
}

/// A stream whose first events have arrived.
struct StartedStream {
    head: StreamHead,
    source: Source,
    first: Piece,
    /// The version that sent these events; `None` if the stream ended without any.
    version: Option<EngineVersion>,
}

/// Status and headers of a streaming response.
struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
}

/// Opens a stream at one back end and waits for its first events. The attempt is abandoned if the back end is
/// silent and another one can take the request.
async fn start_attempt(
    forwarder: &Arc<Forwarder>,
    call: &Call,
    choice: &Choice,
    permit: SendPermit,
    resume: ResumePoint<'_>,
    attempts: &mut Attempts,
) -> Result<AttemptStart, FailedAttempt> {
    let sent_at = process_clock::now();
    let started = open_and_wait(forwarder, call, choice, permit, resume, attempts, sent_at).await;
    started.map_err(|failed| failed.with_exposure_since(sent_at))
}

/// The attempt itself; `sent_at`: when it began, by the process clock.
async fn open_and_wait(
    forwarder: &Arc<Forwarder>,
    call: &Call,
    choice: &Choice,
    permit: SendPermit,
    resume: ResumePoint<'_>,
    attempts: &mut Attempts,
    sent_at: Instant,
) -> Result<AttemptStart, FailedAttempt> {
    let last_event = resume.last_event;
    let first_event_wait = FirstEventWait::new(forwarder, call, choice, attempts);
    let limit = call.remaining();
    let sent = attempts.sent + 1;
    let mut next_back_end = std::pin::pin!(async {
        first_event_wait.expired().await;
        failover::reserve_next_back_end(forwarder, call, attempts, sent, &choice.backend).await
    });
    let opened = tokio::select! {
        biased;
        opened = attempt::open(forwarder, call, choice, permit, resume, limit) => opened?,
        next = next_back_end.as_mut() => {
            return Err(attempt::abandon_silent(forwarder, call, &choice.backend, last_event, next));
        }
    };
    if !opened.response.status().is_success() {
        let is_bad = opened.response.status().is_server_error();
        forwarder.record_stream_response(call, &choice.backend, last_event, is_bad);
        return Ok(unary::respond_buffered(forwarder, call, opened).await.map(AttemptStart::Answer)?);
    }
    let OpenResponse { response, work, version, .. } = opened;
    let (parts, body) = response.into_parts();
    let is_framed = attempt::is_framed(&parts.headers);
    let pending = call.caller.hold();
    let mut source =
        Source::new(choice, version.clone(), body, work, is_framed, last_event, sent_at, pending);
    let first = tokio::select! {
        biased;
        piece = source.next_piece() => piece,
        next = next_back_end.as_mut() => {
            return Err(attempt::abandon_silent(forwarder, call, &choice.backend, last_event, next));
        }
        () = call.deadline_elapsed() => {
            Piece::Broken(AttemptFailure::silent("no first event in time"))
        }
    };
    if let Piece::Broken(failure) = first {
        forwarder.backend_state.health.note(&choice.backend, true, Instant::now());
        forwarder.record_stream_response(call, &choice.backend, last_event, true);
        return Err(failure.after_start().into());
    }
    forwarder.backend_state.health.note_activity(&choice.backend, process_clock::now());
    let version = matches!(first, Piece::Events(_)).then_some(version);
    if let Some(version) = &version {
        forwarder.origins.note_stream(call, version);
    }
    source.work.start_response();
    if resume.memory.is_none() {
        // A run that goes on elsewhere is billed once, and its first event there tells nothing of prefill.
        record_time_to_first_event(forwarder, call, choice, last_event, sent_at);
        forwarder.record_usage(call);
    }
    if let Some(prompt) = &call.prompt {
        forwarder.backend_state.prefixes.note_prefill(&choice.backend, prompt, Instant::now());
    }
    let head =
        StreamHead { status: parts.status, headers: forwarder.dialect.response_headers(&parts.headers) };
    Ok(AttemptStart::Stream(Box::new(StartedStream { head, source, first, version })))
}

/// Records the engine's time to first event. Events that were ready before the request, as in a resumed
/// stream, count as well.
fn record_time_to_first_event(
    forwarder: &Forwarder,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    sent_at: Instant,
) {
    let of = choice.first_event();
    let took_ms = process_clock::now().duration_since(sent_at).as_secs_f64() * 1_000.0;
    let models = &forwarder.backend_state.models;
    models.record_first_event(&call.service, &choice.backend, of, took_ms, Instant::now());
    pacing::note_response(&forwarder.backend_state.pace, choice, took_ms);
    forwarder.record_stream_response(call, &choice.backend, last_event, choice.is_slow(took_ms));
}
