//! Event streams: whole events are passed on as they come, and a stream that breaks off is continued
//! at another engine where the route allows it.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{CallerGone, StreamBroken, StreamContinued, StreamFinished};
use beamwall_http::{Body, BodySender, PooledBody, channel};
use beamwall_model::BackendId;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use crate::attempt::{self, AttemptFailure, Opened};
use crate::event_stream::EventSplitter;
use crate::forward::{Attempts, Call, Choice, Forwarder};
use crate::load::OpenWork;
use crate::refusal::Refusal;
use crate::unary;

/// Pieces that a slow caller may lag behind before its own relay waits.
const PIECES_AHEAD: usize = 64;
/// Silence between two events after which an engine is taken for dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Part of the objective that a first event may take before a silent engine is left, in hundredths.
const FIRST_EVENT_PERCENT: u32 = 100;
/// Multiple of the expected time after which a silent engine is left.
const EXPECTED_TIMES: u32 = 3;
/// An engine that sent anything within this time is not silent.
const HEARD_WITHIN: Duration = Duration::from_millis(400);

/// What came from an engine.
enum Piece {
    /// Whole events.
    Events(Bytes),
    /// The whole stream ended.
    End,
    /// It broke off.
    Broken(AttemptFailure),
}

/// The stream of one engine.
struct Source {
    backend: BackendId,
    body: PooledBody,
    work: OpenWork,
    splitter: EventSplitter,
    /// Whether the answer's own framing tells its end.
    is_framed: bool,
}

/// Forwards a call whose answer is an event stream. Returns once the first events are there.
pub async fn forward(forwarder: &Arc<Forwarder>, call: &Arc<Call>) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    while let Some(choice) = forwarder.choose(call, &mut attempts) {
        if attempts.tried.len() == 1 {
            forwarder.demand.note_request(&call.service, &call.route.name, choice.unread_tokens);
        }
        let failure = match begin(forwarder, call, &choice, call.last_event, &attempts).await {
            Ok(Begun::Stream(begun)) => {
                attempts.begin();
                return Ok(relay(forwarder, call, *begun, attempts));
            }
            Ok(Begun::Answer(response)) => return Ok(response),
            Err(failure) => failure,
        };
        attempts.fail(call, &choice.backend, failure);
        if !attempts.may_continue(forwarder, call) {
            break;
        }
    }
    Err(attempts.refusal(call))
}

/// How an attempt began.
enum Begun {
    /// A stream.
    Stream(Box<BegunStream>),
    /// Another answer, read whole.
    Answer(Response<Body>),
}

/// A stream that has begun.
struct BegunStream {
    head: StreamHead,
    source: Source,
    first: Piece,
}

/// The head of a stream's answer.
struct StreamHead {
    status: StatusCode,
    headers: HeaderMap,
}

/// Opens a stream at one back end and waits for its first events.
async fn begin(
    forwarder: &Arc<Forwarder>,
    call: &Call,
    choice: &Choice,
    last_event: Option<u64>,
    attempts: &Attempts,
) -> Result<Begun, AttemptFailure> {
    let patience = Patience::new(forwarder, call, choice, attempts);
    let limit = call.deadline.saturating_duration_since(Instant::now());
    let opened = tokio::select! {
        opened = attempt::open(forwarder, call, &choice.backend, last_event, limit) => opened?,
        () = patience.ends() => return Err(given_up(forwarder, choice)),
    };
    if !opened.response.status().is_success() {
        return unary::pass_opened(forwarder, call, opened).await.map(Begun::Answer);
    }
    let Opened { backend, response, work } = opened;
    let (parts, body) = response.into_parts();
    let is_framed =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    let mut source = Source { backend, body, work, splitter: EventSplitter::default(), is_framed };
    let first = tokio::select! {
        piece = source.next_piece() => piece,
        () = patience.ends() => return Err(given_up(forwarder, choice)),
        () = tokio::time::sleep_until(call.deadline) => {
            Piece::Broken(AttemptFailure::may_have_run("no first event in time"))
        }
    };
    if let Piece::Broken(failure) = first {
        forwarder.knowledge.health.note(&source.backend, true, Instant::now());
        return Err(failure);
    }
    forwarder.knowledge.health.note_heard(&source.backend, Instant::now());
    source.work.begin_answer();
    forwarder.record_run(call);
    if let Some(prompt) = &call.prompt {
        forwarder.knowledge.prefixes.note_read(&source.backend, prompt, Instant::now());
    }
    let head = StreamHead { status: parts.status, headers: forwarder.dialect.answer_headers(&parts.headers) };
    Ok(Begun::Stream(Box::new(BegunStream { head, source, first })))
}

/// Notes that an engine was given up on because it was silent.
fn given_up(forwarder: &Forwarder, choice: &Choice) -> AttemptFailure {
    forwarder.knowledge.health.note_unreachable(&choice.backend, Instant::now());
    AttemptFailure::may_have_run("the engine is silent")
}

/// How long a stream waits for its first events: without end where it may not move or the engine
/// sends to others, else until it is well past the time expected.
struct Patience<'a> {
    forwarder: &'a Forwarder,
    backend: &'a BackendId,
    may_move: bool,
    until: Instant,
}

impl<'a> Patience<'a> {
    fn new(forwarder: &'a Forwarder, call: &Call, choice: &'a Choice, attempts: &Attempts) -> Self {
        let is_last = attempts.sent + 1 >= call.route.attempt_limit;
        let usual = Duration::from_millis(call.route.objective_ms) * FIRST_EVENT_PERCENT / 100;
        let expected = Duration::from_secs_f64(choice.cost_ms.max(0.0) / 1_000.0) * EXPECTED_TIMES;
        Self {
            forwarder,
            backend: &choice.backend,
            may_move: call.route.kind.is_idempotent() && !is_last,
            until: Instant::now() + usual.max(expected),
        }
    }

    /// Returns when the engine shall be given up on.
    async fn ends(&self) {
        if !self.may_move {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(self.until).await;
        while self.heard_lately() {
            tokio::time::sleep(HEARD_WITHIN).await;
        }
    }

    fn heard_lately(&self) -> bool {
        let heard = self.forwarder.knowledge.health.last_heard(self.backend);
        heard.is_some_and(|heard| heard.elapsed() < HEARD_WITHIN)
    }
}

impl Source {
    /// Waits for whole events; all that are there are given out at once.
    async fn next_piece(&mut self) -> Piece {
        loop {
            if let Some(events) = self.take_events() {
                return Piece::Events(events);
            }
            if self.splitter.is_overfull() {
                return Piece::Broken(AttemptFailure::may_have_run("not an event stream"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(error)) => return Piece::Broken(AttemptFailure::may_have_run(error.to_string())),
                None => return self.end(),
            }
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            events.extend_from_slice(&event.bytes);
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    /// The stream's end: with framing of its own it is whole whatever its last bytes are; without,
    /// only between two events.
    fn end(&mut self) -> Piece {
        let rest = self.splitter.rest().to_vec();
        match (rest.is_empty(), self.is_framed) {
            (true, _) => Piece::End,
            (false, true) => {
                self.splitter = EventSplitter::default();
                Piece::Events(Bytes::from(rest))
            }
            (false, false) => Piece::Broken(AttemptFailure::may_have_run("ended within an event")),
        }
    }
}

/// The number of the last event in a run of whole events.
fn last_event_in(events: &[u8]) -> Option<u64> {
    let mut splitter = EventSplitter::default();
    splitter.push(events);
    let mut last = None;
    while let Some(event) = splitter.next_event() {
        last = event.id.or(last);
    }
    last
}

fn relay(
    forwarder: &Arc<Forwarder>,
    call: &Arc<Call>,
    begun: BegunStream,
    attempts: Attempts,
) -> Response<Body> {
    let BegunStream { head, source, first } = begun;
    let (sender, body) = channel(PIECES_AHEAD);
    let relay = Relay {
        forwarder: forwarder.clone(),
        call: call.clone(),
        last_event: call.last_event,
        attempts,
        sender,
    };
    tokio::spawn(relay.run(source, first));
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// The task that passes one stream on.
struct Relay {
    forwarder: Arc<Forwarder>,
    call: Arc<Call>,
    last_event: Option<u64>,
    attempts: Attempts,
    sender: BodySender,
}

/// Why a relay stopped reading an engine.
enum Stop {
    Finished,
    CallerGone,
    Failed(AttemptFailure),
}

impl Relay {
    async fn run(mut self, source: Source, first: Piece) {
        let mut source = source;
        let mut first = Some(first);
        loop {
            let stop = self.pass_on(&mut source, first.take()).await;
            let backend = source.backend.clone();
            match stop {
                Stop::Finished => return self.finish(&backend),
                Stop::CallerGone => {
                    let request = self.call.log_id();
                    return emit(&CallerGone { request, backend: backend.to_string() });
                }
                Stop::Failed(failure) => {
                    // The connection closes here, before another engine is asked.
                    drop(source);
                    self.forwarder.knowledge.health.note(&backend, true, Instant::now());
                    self.attempts.note(&self.call, &backend, failure);
                    match self.continue_elsewhere(&backend).await {
                        Some((next, piece)) => {
                            source = next;
                            first = Some(piece);
                        }
                        None => return self.break_off(&backend).await,
                    }
                }
            }
        }
    }

    /// Passes pieces on until the engine's stream ends.
    async fn pass_on(&mut self, source: &mut Source, first: Option<Piece>) -> Stop {
        let mut next = first;
        loop {
            let piece = match next.take() {
                Some(piece) => piece,
                None => match self.wait(source).await {
                    Some(piece) => piece,
                    None => return Stop::CallerGone,
                },
            };
            match piece {
                Piece::Events(events) => {
                    self.forwarder.knowledge.health.note_heard(&source.backend, Instant::now());
                    let last = last_event_in(&events);
                    if self.sender.send(events).await.is_err() {
                        return Stop::CallerGone;
                    }
                    self.last_event = last.or(self.last_event);
                }
                Piece::End => return Stop::Finished,
                Piece::Broken(failure) => return Stop::Failed(failure),
            }
        }
    }

    /// The next piece, or `None` when the caller has gone.
    async fn wait(&self, source: &mut Source) -> Option<Piece> {
        let silence = Instant::now() + SILENCE_LIMIT;
        // A silent engine is left only where another may be asked: late events are better than none.
        let may_move =
            self.call.route.kind.is_idempotent() && self.attempts.sent < self.call.route.attempt_limit;
        let until = if may_move { silence.min(self.call.deadline) } else { self.call.deadline };
        tokio::select! {
            piece = source.next_piece() => Some(piece),
            () = self.sender.disconnected() => None,
            () = tokio::time::sleep_until(until) => {
                Some(Piece::Broken(AttemptFailure::may_have_run("silent for too long")))
            }
        }
    }

    async fn continue_elsewhere(&mut self, from: &BackendId) -> Option<(Source, Piece)> {
        while self.call.route.kind.is_idempotent() && self.attempts.may_continue(&self.forwarder, &self.call)
        {
            let choice = self.forwarder.choose(&self.call, &mut self.attempts)?;
            let begun = tokio::select! {
                begun = begin(&self.forwarder, &self.call, &choice, self.last_event, &self.attempts) => begun,
                () = self.sender.disconnected() => return None,
            };
            match begun {
                Ok(Begun::Stream(begun)) => {
                    self.attempts.begin();
                    emit(&StreamContinued {
                        request: self.call.log_id(),
                        from: from.to_string(),
                        to: choice.backend.to_string(),
                        last_event: self.last_event.map(|id| id.to_string()).unwrap_or_default(),
                    });
                    self.forwarder.metrics.streams_continued.inc();
                    return Some((begun.source, begun.first));
                }
                Ok(Begun::Answer(response)) => {
                    let reason = format!("answered {} to a stream that continues", response.status());
                    let failure = AttemptFailure::may_have_run(reason);
                    self.attempts.fail(&self.call, &choice.backend, failure);
                }
                Err(failure) => self.attempts.fail(&self.call, &choice.backend, failure),
            }
        }
        None
    }

    fn finish(&self, backend: &BackendId) {
        if let Some(last) = self.last_event {
            self.forwarder.demand.note_events(&self.call.route.name, last);
        }
        emit(&StreamFinished {
            request: self.call.log_id(),
            backend: backend.to_string(),
            elapsed_ms: self.call.received.elapsed().as_millis().to_string(),
        });
    }

    /// Ends the answer as broken, so that the caller can't take it for a whole one.
    async fn break_off(self, backend: &BackendId) {
        let reason = self.attempts.last_failure.as_ref().map(|failure| failure.reason.clone());
        emit(&StreamBroken {
            request: self.call.log_id(),
            backend: backend.to_string(),
            last_event: self.last_event.map(|id| id.to_string()).unwrap_or_default(),
            reason: reason.unwrap_or_default(),
        });
        self.forwarder.metrics.streams_broken.inc();
        self.sender.abort("the stream broke off").await;
    }
}
