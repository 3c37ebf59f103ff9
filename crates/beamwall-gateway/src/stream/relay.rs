//! Passes a stream on to its caller, and moves it to another engine when the first breaks off.

use std::sync::Arc;
use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::{CallerGone, StreamBroken, StreamContinued, StreamFinished};
use beamwall_http::{Body, BodySender, channel};
use beamwall_model::BackendId;
use hyper::Response;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::attempts::Attempts;
use crate::failover::{self, FailedAttempt};
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;
use crate::stream::pace::Pace;
use crate::stream::source::{Piece, Source, read_run};
use crate::stream::{Begun, BegunStream, begin};

/// Pieces that a slow caller may lag behind before its own relay waits.
const PIECES_AHEAD: usize = 64;
/// Silence between two events after which another engine is looked for.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Starts the task that passes a stream on; gives the answer whose body it writes.
pub(super) fn relay(
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
    Failed(FailedAttempt),
}

/// What a relay that waits for an engine gets.
enum Waited {
    Piece(Piece),
    CallerGone,
    /// The engine is silent, and another one is reserved.
    FailOver(Choice),
}

impl Relay {
    async fn run(mut self, source: Source, first: Piece) {
        let mut source = source;
        let mut first = Some(first);
        loop {
            let stop = self.pass_on(&mut source, first.take()).await;
            let choice = source.choice.clone();
            match stop {
                Stop::Finished => return self.finish(&choice.backend),
                Stop::CallerGone => {
                    let request = self.call.log_id();
                    return emit(&CallerGone { request, backend: choice.backend.to_string() });
                }
                Stop::Failed(failed) => {
                    // The connection closes here, before another engine is asked.
                    drop(source);
                    match self.continue_elsewhere(&choice, failed).await {
                        Some(begun) => {
                            source = begun.source;
                            first = Some(begun.first);
                        }
                        None => return self.break_off(&choice.backend).await,
                    }
                }
            }
        }
    }

    /// Passes pieces on until the engine's stream ends.
    async fn pass_on(&mut self, source: &mut Source, first: Option<Piece>) -> Stop {
        let mut next = first;
        let mut pace: Option<Pace> = None;
        let call = self.call.clone();
        // One timer for all events of the source.
        let mut time_is_up = std::pin::pin!(call.time_is_up());
        loop {
            let piece = match next.take() {
                Some(piece) => piece,
                None => match self.wait(source, time_is_up.as_mut()).await {
                    Waited::Piece(piece) => piece,
                    Waited::CallerGone => return Stop::CallerGone,
                    Waited::FailOver(next) => {
                        let failure = AttemptFailure::lost("silent for too long");
                        return Stop::Failed(FailedAttempt { failure, next: Some(next) });
                    }
                },
            };
            match piece {
                Piece::Events(events) => {
                    let now = process_clock::now();
                    self.forwarder.knowledge.health.note_heard(&source.choice.backend, now);
                    let run = read_run(&events);
                    match &mut pace {
                        None => pace = Some(Pace::new(now)),
                        Some(pace) => self.note_pace(pace, source, run.count, now),
                    }
                    if self.sender.send(events).await.is_err() {
                        return Stop::CallerGone;
                    }
                    self.last_event = run.last.or(self.last_event);
                }
                Piece::End => {
                    if let Some(pace) = pace {
                        self.note_whole_stream(&pace, source);
                    }
                    return Stop::Finished;
                }
                Piece::Broken(failure) => return Stop::Failed(failure.into()),
            }
        }
    }

    fn note_pace(&self, pace: &mut Pace, source: &Source, events: u32, now: Instant) {
        if let Some(between_ms) = pace.note(events, now) {
            self.note_event_gap(source, between_ms);
        }
    }

    fn note_whole_stream(&self, pace: &Pace, source: &Source) {
        let now = process_clock::now();
        if let Some(between_ms) = pace.at_end(now) {
            self.note_event_gap(source, between_ms);
        }
        self.forwarder.knowledge.models.record_stream(&self.call.service, pace.elapsed_ms(now));
    }

    fn note_event_gap(&self, source: &Source, between_ms: f64) {
        let service = &self.call.service;
        let running = self.forwarder.running(service, &source.choice.backend, source.choice.open_requests);
        let models = &self.forwarder.knowledge.models;
        models.record_event_gap(service, &source.choice.backend, running, between_ms, Instant::now());
    }

    /// Waits for the next piece. A silent engine is left only where another takes the stream: late events are better than none.
    async fn wait(&mut self, source: &mut Source, time_is_up: impl Future<Output = ()>) -> Waited {
        let Self { forwarder, call, attempts, sender, .. } = self;
        let may_move = call.may_fail_over(attempts.sent);
        let silent = source.choice.backend.clone();
        let next_back_end = async {
            if !may_move {
                return std::future::pending().await;
            }
            process_clock::sleep(SILENCE_LIMIT).await;
            failover::next_back_end(forwarder, call, attempts, attempts.sent, &silent).await
        };
        tokio::select! {
            // What has come goes before what says that nothing came.
            biased;
            piece = source.next_piece() => Waited::Piece(piece),
            () = sender.disconnected() => Waited::CallerGone,
            () = time_is_up => Waited::Piece(Piece::Broken(AttemptFailure::lost("the time is up"))),
            next = next_back_end => Waited::FailOver(next),
        }
    }

    /// Continues the stream after the last event that was passed on, where `from` gave no more.
    async fn continue_elsewhere(&mut self, from: &Choice, failed: FailedAttempt) -> Option<BegunStream> {
        let FailedAttempt { failure, next } = failed;
        self.forwarder.knowledge.health.note(&from.backend, true, Instant::now());
        self.forwarder.note_answer(&self.call, &from.backend, true);
        self.attempts.note(&self.forwarder, &self.call, &from.backend, failure);
        let mut next = self.attempts.next_choice(&self.forwarder, &self.call, from, next).await;
        while let Some(choice) = next {
            let Self { forwarder, call, attempts, .. } = self;
            let begun = tokio::select! {
                begun = begin(forwarder, call, &choice, self.last_event, attempts) => begun,
                () = self.sender.disconnected() => return None,
            };
            let failed = match begun {
                Ok(Begun::Stream(begun)) => {
                    self.attempts.begin();
                    self.note_continued(&from.backend, &choice.backend);
                    return Some(*begun);
                }
                Ok(Begun::Answer(response)) => {
                    let reason = format!("answered {} to a stream that continues", response.status());
                    AttemptFailure::may_have_run(reason).into()
                }
                Err(failed) => failed,
            };
            next = self.attempts.go_on(&self.forwarder, &self.call, &choice, failed).await;
        }
        None
    }

    fn note_continued(&self, from: &BackendId, to: &BackendId) {
        emit(&StreamContinued {
            request: self.call.log_id(),
            from: from.to_string(),
            to: to.to_string(),
            last_event: self.last_event.map(|id| id.to_string()).unwrap_or_default(),
        });
        self.forwarder.metrics.streams_continued.inc();
    }

    fn finish(&self, backend: &BackendId) {
        self.forwarder.quarantine.note_completed(&self.call.fingerprint);
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
