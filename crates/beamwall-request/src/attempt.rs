//! One attempt: one request at one engine, read line by line.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::LateAnswerDropped;
use beamwall_fleet::EngineClient;
use beamwall_fleet::engine_wire::{GenerateCall, StreamItem, generate_request, parse_stream_line};
use beamwall_fleet::local_load::DispatchGuard;
use beamwall_http::{PoolError, PooledBody};
use beamwall_model::AttemptId;
use beamwall_quarantine::{Fingerprint, WritingProgress};
use beamwall_routing::Route;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::dispatcher::Dispatcher;
use crate::metrics::ClassMetrics;
use crate::model_request::{BYTES_PER_TOKEN, ModelRequest};
use crate::request_state::{RequestState, TokenResult};

/// Time between looks at whether the engine is about to stop.
const LEAVING_CHECK_PERIOD: Duration = Duration::from_millis(25);
/// Longest control call to an engine.
const CONTROL_LIMIT: Duration = Duration::from_secs(2);
/// A stream is moved when it would not end this long before its engine stops.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// One engine may use this part of the time left before it has begun.
const FIRST_LINE_PARTS: u32 = 4;
/// Assumed time between tokens before any was seen.
const ASSUMED_TOKEN_TIME: Duration = Duration::from_millis(30);

/// How an attempt ended.
pub enum AttemptEnd {
    /// The engine sent its end mark.
    Finished(String),
    /// The engine stops soon; the stream goes to this engine, which may have been given its KV cache.
    Move(Route),
    /// Nothing reached the engine.
    NotReached,
    /// The machine answers, and no engine listens there.
    Refused,
    /// The stream broke or made no sense.
    Broken,
    /// The caller's time is over.
    DeadlinePassed,
}

/// What an attempt works on.
pub struct AttemptInput<'a> {
    /// The request.
    pub request: &'a ModelRequest,
    /// Its fingerprint.
    pub fingerprint: &'a Fingerprint,
    /// Its state.
    pub state: &'a Arc<RequestState>,
    /// The engine.
    pub route: &'a Route,
    /// Block hashes of the prompt.
    pub blocks: &'a [u64],
    /// Histograms of its tenant and class.
    pub metrics: &'a ClassMetrics,
}

type Transfer<'a> = Pin<Box<dyn Future<Output = Option<Route>> + Send + 'a>>;

/// Tells the engine to stop when an attempt is dropped before its end.
struct CancelOnDrop {
    client: EngineClient,
    attempt: AttemptId,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let client = self.client.clone();
        let attempt = self.attempt.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { client.cancel(&attempt).await });
        }
    }
}

impl Dispatcher {
    /// Makes one attempt.
    pub async fn attempt(&self, input: &AttemptInput<'_>) -> AttemptEnd {
        let backend = &input.route.backend;
        let attempt = self.identifiers.attempt();
        let mut open = backend.load.dispatch(input.request.prompt_tokens());
        input.state.note_attempt(&backend.backend.id, input.route.reason.as_str());
        let address = backend.backend.address;
        let generated = input.state.tokens_from(0);
        let call = GenerateCall {
            attempt: attempt.as_str(),
            prompt: &input.request.prompt,
            generated: &generated,
            max_tokens: input.request.max_tokens,
            priority: input.request.class.priority(),
        };
        let sending = self.pool.send(address, generate_request(address, &call));
        let response = match tokio::time::timeout_at(input.request.deadline, sending).await {
            Err(_) => return AttemptEnd::DeadlinePassed,
            Ok(Err(PoolError::Refused(_))) => return AttemptEnd::Refused,
            Ok(Err(error)) if error.nothing_sent() => return AttemptEnd::NotReached,
            Ok(Err(_)) => return AttemptEnd::Broken,
            Ok(Ok(response)) => response,
        };
        match response.status() {
            StatusCode::OK => {}
            // An engine refuses with 503 before it queues a request.
            StatusCode::SERVICE_UNAVAILABLE => return AttemptEnd::NotReached,
            _ => return AttemptEnd::Broken,
        }
        let client = EngineClient::new(self.pool.clone(), address, CONTROL_LIMIT);
        let mut cancel = CancelOnDrop { client, attempt, armed: true };
        let end = self.read_stream(input, response.into_body(), &cancel.attempt, &mut open).await;
        cancel.armed = !matches!(end, AttemptEnd::Finished(_));
        end
    }

    async fn read_stream(
        &self,
        input: &AttemptInput<'_>,
        body: PooledBody,
        attempt: &AttemptId,
        open: &mut DispatchGuard,
    ) -> AttemptEnd {
        let mut lines = Lines::new(body);
        let mut pace = TokenPace::new();
        let mut check = tokio::time::interval(LEAVING_CHECK_PERIOD);
        let mut transfer: Option<Transfer<'_>> = None;
        loop {
            tokio::select! {
                line = lines.next() => {
                    let Some(line) = line else { return AttemptEnd::Broken };
                    open.record_prefill_done();
                    pace.note_line();
                    if let Some(end) = self.take_line(input, &line, attempt, &mut pace) {
                        return end;
                    }
                }
                _ = check.tick() => {
                    if let Some(written_for) = pace.take_writing_report() {
                        self.guard.note_writing(input.fingerprint, written_for);
                    }
                    if self.is_down(input) || pace.is_stalled(input.request) {
                        return AttemptEnd::Broken;
                    }
                    if transfer.is_none() && self.must_move(input, &pace) {
                        transfer = Some(Box::pin(self.prepare_move(input, attempt.clone())));
                    }
                }
                target = poll_transfer(&mut transfer) => {
                    match target {
                        Some(route) => return AttemptEnd::Move(route),
                        None => transfer = None,
                    }
                }
                () = tokio::time::sleep_until(input.request.deadline) => return AttemptEnd::DeadlinePassed,
            }
        }
    }

    fn take_line(
        &self,
        input: &AttemptInput<'_>,
        line: &[u8],
        attempt: &AttemptId,
        pace: &mut TokenPace,
    ) -> Option<AttemptEnd> {
        let engine = &input.route.backend.backend.id;
        match parse_stream_line(line) {
            Ok(StreamItem::Started { cached_tokens, computed_tokens }) => {
                let is_first = input.state.usage().attempts <= 1;
                input.state.note_started(cached_tokens, computed_tokens);
                self.prefixes.correct(engine, input.blocks, cached_tokens as usize * BYTES_PER_TOKEN);
                self.prefixes.record_computed(engine, input.blocks);
                if !is_first {
                    self.metrics.recomputed_tokens.inc_by(computed_tokens.into());
                }
                None
            }
            Ok(StreamItem::Token { index, text }) => match input.state.take_token(index, text) {
                TokenResult::Taken => {
                    pace.note(input, index);
                    None
                }
                TokenResult::Duplicate => {
                    self.metrics.late_answers.inc();
                    emit(&LateAnswerDropped { attempt: attempt.to_string() });
                    None
                }
                TokenResult::Gap => Some(AttemptEnd::Broken),
            },
            Ok(StreamItem::Finished(reason)) => Some(AttemptEnd::Finished(reason)),
            Err(_) => Some(AttemptEnd::Broken),
        }
    }

    /// Whether polls say that the engine does not answer. It may hold the connection open without
    /// ever sending anything.
    fn is_down(&self, input: &AttemptInput<'_>) -> bool {
        self.view.load().backend(&input.route.backend.backend.id).is_none_or(|backend| backend.down)
    }

    /// Whether the engine stops before the stream would end.
    fn must_move(&self, input: &AttemptInput<'_>, pace: &TokenPace) -> bool {
        let view = self.view.load();
        let Some(backend) = view.backend(&input.route.backend.backend.id) else { return false };
        let Some(stops) = backend.deadline else { return false };
        let left =
            input.request.max_tokens.saturating_sub(u32::try_from(input.state.token_count()).unwrap_or(0));
        Instant::now() + pace.token_time() * left + STOP_MARGIN > stops
    }
}

async fn poll_transfer(transfer: &mut Option<Transfer<'_>>) -> Option<Route> {
    match transfer {
        Some(running) => running.await,
        None => std::future::pending().await,
    }
}

/// Observes the time between tokens of one attempt.
struct TokenPace {
    begun: Instant,
    last_line: Option<Instant>,
    last: Option<Instant>,
    writing: Option<WritingProgress>,
    mean: Option<Duration>,
}

impl TokenPace {
    fn new() -> Self {
        Self { begun: Instant::now(), last_line: None, last: None, writing: None, mean: None }
    }

    fn note_line(&mut self) {
        self.last_line = Some(Instant::now());
    }

    /// Whether the engine has been silent for longer than the service allows.
    fn is_stalled(&self, request: &ModelRequest) -> bool {
        let (since, limit) = match self.last_line {
            Some(last) => (last, Duration::from_millis(request.service.stall_timeout_ms)),
            None => (self.begun, self.first_line_limit(request)),
        };
        since.elapsed() > limit
    }

    /// Longest wait for the first line. It is a part of the time left, so that other engines can be
    /// tried before the request's deadline.
    fn first_line_limit(&self, request: &ModelRequest) -> Duration {
        let left = request.deadline.saturating_duration_since(self.begun);
        let allowed = Duration::from_millis(request.service.first_token_timeout_ms);
        allowed.min(left / FIRST_LINE_PARTS)
    }

    fn note(&mut self, input: &AttemptInput<'_>, index: u32) {
        let now = Instant::now();
        if index == 0 {
            input.metrics.first_token(now.duration_since(input.request.accepted));
        }
        if let Some(last) = self.last {
            let gap = now.duration_since(last);
            input.metrics.between_tokens(gap);
            self.mean = Some(self.mean.map_or(gap, |mean| (mean * 7 + gap) / 8));
        }
        self.writing.get_or_insert(WritingProgress::begun_at(now.into_std())).note(now.into_std());
        self.last = Some(now);
    }

    /// Time for which the engine has been writing tokens, if it is due to be reported.
    fn take_writing_report(&mut self) -> Option<Duration> {
        self.writing.as_mut()?.take_report()
    }

    fn token_time(&self) -> Duration {
        self.mean.unwrap_or(ASSUMED_TOKEN_TIME)
    }
}

/// Splits a body into lines.
struct Lines {
    body: PooledBody,
    buffer: BytesMut,
}

impl Lines {
    fn new(body: PooledBody) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// The next line; `None` at the end of the body and when it breaks. Safe to drop while waiting.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Some(line);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
