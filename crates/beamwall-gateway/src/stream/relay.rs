//! Relays a stream to its caller and resumes it at another engine when the current one fails.

use std::sync::Arc;
use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::{CallerGone, StreamBroken, StreamContinued, StreamFinished};
use beamwall_http::{Body, BodySender, channel};
use beamwall_model::{BackendId, EngineVersion};
use hyper::Response;
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, ResumePoint};
use crate::attempts::Attempts;
use crate::failover::{self, FailedAttempt};
use crate::forward::{Call, Forwarder, PermittedChoice};
use crate::placement::Choice;
use crate::stream::event_gap::EventGapMeter;
use crate::stream::memory_move::StoppedRun;
use crate::stream::moved_stream::MovedStreamEnd;
use crate::stream::relocation_watch::{RelocationEvent, RelocationWatch};
use crate::stream::source::{Piece, Source, scan_events};
use crate::stream::{AttemptStart, StartedStream, start_attempt};

/// Number of pieces buffered for a slow caller before its relay task waits.
const CHANNEL_CAPACITY: usize = 64;
/// Silence between two events after which the relay looks for another engine.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Spawns the task that relays a stream and returns the response whose body it writes.
pub(super) fn relay(
    forwarder: &Arc<Forwarder>,
    call: &Arc<Call>,
    started: StartedStream,
    attempts: Attempts,
) -> Response<Body> {
    let StartedStream { head, source, first, .. } = started;
    let (sender, body) = channel(CHANNEL_CAPACITY);
    let relay = Relay {
        forwarder: forwarder.clone(),
        call: call.clone(),
        last_event: call.last_event,
        attempts,
        sender,
        relocation: RelocationWatch::disabled(),
        move_began: Instant::now(),
        may_be_stopped: false,
        returned: false,
    };
    tokio::spawn(relay.run(source, first));
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// The task that relays one stream.
pub(super) struct Relay {
    pub(super) forwarder: Arc<Forwarder>,
    pub(super) call: Arc<Call>,
    pub(super) last_event: Option<u64>,
    pub(super) attempts: Attempts,
    pub(super) sender: BodySender,
    /// Watches the engine of the current source.
    pub(super) relocation: RelocationWatch,
    /// When the last move began.
    pub(super) move_began: Instant,
    /// Whether the run at the current source may have been stopped by an order without a usable reply.
    pub(super) may_be_stopped: bool,
    /// Whether the run at the current source was stopped there before and returned. It is not moved again.
    pub(super) returned: bool,
}

/// Why a relay stopped reading an engine.
pub(super) enum Stop {
    /// The stream ended. `proves_parts`: the engine wrote events and marked their end, which one that
    /// terminates does not.
    Finished {
        proves_parts: bool,
    },
    CallerGone,
    /// The run was stopped and goes on elsewhere.
    Moved(Box<StoppedRun>),
    Failed(FailedAttempt),
}

/// Result of waiting for an engine.
enum WaitOutcome {
    Piece(Piece),
    CallerGone,
    /// The engine is silent, and another one is reserved.
    FailOver(Box<PermittedChoice>),
    /// Something is to be done about the engine's end.
    Relocation(RelocationEvent),
}

impl Relay {
    async fn run(mut self, source: Source, first: Piece) {
        let mut source = source;
        let mut first = Some(first);
        loop {
            let stop = self.forward_pieces(&mut source, first.take()).await;
            let (choice, continued_after) = (source.choice.clone(), source.continued_after);
            let (version, sent_at) = (source.version.clone(), source.sent_at);
            // Closes the connection before another engine is contacted.
            drop(source);
            let failed = match stop {
                Stop::Finished { proves_parts } => {
                    return self.finish(&choice.backend, &version, proves_parts);
                }
                Stop::CallerGone => return self.note_caller_gone(&choice.backend),
                Stop::Failed(failed) => failed,
                Stop::Moved(stopped) => match self.continue_moved(&choice, *stopped).await {
                    Ok(started) => {
                        self.returned = started.source.choice.backend == choice.backend;
                        source = started.source;
                        first = Some(started.first);
                        continue;
                    }
                    Err(MovedStreamEnd::CallerGone) => return self.note_caller_gone(&choice.backend),
                    Err(MovedStreamEnd::Failed(failed)) => failed,
                },
            };
            match self.resume_elsewhere(&choice, continued_after, failed.with_exposure_since(sent_at)).await {
                Some(started) => {
                    self.returned = false;
                    source = started.source;
                    first = Some(started.first);
                }
                None => return self.abort_stream(&choice.backend).await,
            }
        }
    }

    fn note_caller_gone(&self, backend: &BackendId) {
        emit(&CallerGone { request: self.call.log_id(), backend: backend.to_string() });
    }

    /// Forwards pieces to the caller until the engine's stream ends.
    async fn forward_pieces(&mut self, source: &mut Source, first: Option<Piece>) -> Stop {
        let mut next = first;
        let mut gap_meter: Option<EventGapMeter> = None;
        self.relocation = self.watch_engine();
        self.may_be_stopped = false;
        let call = self.call.clone();
        // One timer for all events of the source.
        let mut time_is_up = std::pin::pin!(call.deadline_elapsed());
        loop {
            let piece = match next.take() {
                Some(piece) => piece,
                None => match self.wait(source, time_is_up.as_mut()).await {
                    WaitOutcome::Piece(piece) => piece,
                    WaitOutcome::CallerGone => return Stop::CallerGone,
                    WaitOutcome::FailOver(next) => {
                        let failure = AttemptFailure::silent("silent for too long");
                        return Stop::Failed(FailedAttempt { failure, next: Some(*next) });
                    }
                    WaitOutcome::Relocation(RelocationEvent::Review) => {
                        self.review_relocation(source, gap_meter.as_ref());
                        continue;
                    }
                    WaitOutcome::Relocation(RelocationEvent::Moved(result)) => {
                        match self.take_move_result(source, result).await {
                            Some(stop) => return stop,
                            None => continue,
                        }
                    }
                },
            };
            let piece = match self.check_end(source, piece).await {
                Ok(piece) => piece,
                Err(stop) => return stop,
            };
            match piece {
                Piece::Events(events) => {
                    let now = process_clock::now();
                    self.forwarder.backend_state.health.note_activity(&source.choice.backend, now);
                    if let Some(written_for) = source.take_writing_report() {
                        self.forwarder.note_writing(&call, &source.version, written_for);
                    }
                    let batch = scan_events(&events);
                    match &mut gap_meter {
                        None => gap_meter = Some(EventGapMeter::new(now)),
                        Some(gap_meter) => self.measure_event_gap(gap_meter, source, batch.count, now),
                    }
                    let events = match call.caller.hold_bytes(events) {
                        Ok(events) => events,
                        Err(shortage) => {
                            return Stop::Failed(AttemptFailure::may_have_run(shortage.to_string()).into());
                        }
                    };
                    if self.sender.send(events).await.is_err() {
                        return Stop::CallerGone;
                    }
                    self.last_event = batch.last.or(self.last_event);
                }
                Piece::End => {
                    let proves_parts = gap_meter.is_some() && source.has_marked_end();
                    if let Some(gap_meter) = gap_meter {
                        self.record_whole_stream(&gap_meter, source);
                    }
                    return Stop::Finished { proves_parts };
                }
                Piece::Broken(failure) => return Stop::Failed(failure.into()),
            }
        }
    }

    /// Replaces the end of a stream that may have been caused by a move.
    async fn check_end(&mut self, source: &Source, piece: Piece) -> Result<Piece, Stop> {
        let is_certain = match &piece {
            Piece::Events(_) => true,
            Piece::End => source.has_marked_end(),
            Piece::Broken(_) => false,
        };
        let pending = if is_certain { None } else { self.relocation.take_pending() };
        match pending {
            Some(pending) => self.settle_move(&source.choice.backend, pending, piece).await,
            None if !is_certain => Ok(self.checked_for_stop(piece)),
            None => Ok(piece),
        }
    }

    fn measure_event_gap(&self, gap_meter: &mut EventGapMeter, source: &Source, events: u32, now: Instant) {
        if let Some(mean_gap_ms) = gap_meter.add_events(events, now) {
            self.record_mean_gap(source, mean_gap_ms);
        }
    }

    fn record_whole_stream(&self, gap_meter: &EventGapMeter, source: &Source) {
        let now = process_clock::now();
        if let Some(mean_gap_ms) = gap_meter.final_gap_ms(now) {
            self.record_mean_gap(source, mean_gap_ms);
        }
        self.forwarder.backend_state.models.record_stream(&self.call.service, gap_meter.elapsed_ms(now));
    }

    fn record_mean_gap(&self, source: &Source, mean_gap_ms: f64) {
        let service = &self.call.service;
        let running =
            self.forwarder.running_requests(service, &source.choice.backend, source.choice.open_requests);
        let models = &self.forwarder.backend_state.models;
        models.record_event_gap(service, &source.choice.backend, running, mean_gap_ms, Instant::now());
    }

    /// Waits for the next piece. A silent engine is abandoned only if another one takes the stream: late
    /// events are better than none.
    async fn wait(&mut self, source: &mut Source, time_is_up: impl Future<Output = ()>) -> WaitOutcome {
        let Self { forwarder, call, attempts, sender, relocation, .. } = self;
        let can_fail_over = call.may_fail_over(attempts.sent);
        let silent_backend = source.choice.backend.clone();
        let next_back_end = async {
            if !can_fail_over {
                return std::future::pending().await;
            }
            process_clock::sleep(SILENCE_TIMEOUT).await;
            failover::reserve_next_back_end(forwarder, call, attempts, attempts.sent, &silent_backend).await
        };
        tokio::select! {
            // Received data takes precedence over timeouts.
            biased;
            piece = source.next_piece() => WaitOutcome::Piece(piece),
            () = sender.disconnected() => WaitOutcome::CallerGone,
            () = time_is_up => WaitOutcome::Piece(Piece::Broken(AttemptFailure::silent("the time is up"))),
            event = relocation.next() => WaitOutcome::Relocation(event),
            next = next_back_end => WaitOutcome::FailOver(Box::new(next)),
        }
    }

    /// Resumes the stream at another engine after the last forwarded event, when `from` has failed, which
    /// itself had continued the stream after `continued_after`.
    async fn resume_elsewhere(
        &mut self,
        from: &Choice,
        continued_after: Option<u64>,
        failed: FailedAttempt,
    ) -> Option<StartedStream> {
        let FailedAttempt { failure, next } = failed;
        self.forwarder.backend_state.health.note(&from.backend, true, Instant::now());
        self.forwarder.record_stream_response(&self.call, &from.backend, continued_after, true);
        self.forwarder.note_reachability(&self.call.service, &from.backend, Some(&failure));
        self.attempts.note(&self.forwarder, &self.call, &from.backend, failure);
        let mut next = self.attempts.next_choice(&self.forwarder, &self.call, from, next).await;
        while let Some(PermittedChoice { choice, permit }) = next {
            let Self { forwarder, call, attempts, .. } = self;
            let resume = ResumePoint::after(self.last_event);
            let resumed = tokio::select! {
                resumed = start_attempt(forwarder, call, &choice, permit, resume, attempts) => resumed,
                () = self.sender.disconnected() => return None,
            };
            let failed = match resumed {
                Ok(AttemptStart::Stream(resumed)) => {
                    self.attempts.note_response_started(resumed.version.as_ref());
                    self.record_resumption(&from.backend, &choice.backend);
                    return Some(*resumed);
                }
                Ok(AttemptStart::Answer(response)) => {
                    let reason = format!("answered {} to a stream that continues", response.status());
                    AttemptFailure::may_have_run(reason).into()
                }
                Err(failed) => failed,
            };
            next = self.attempts.continue_after_failure(&self.forwarder, &self.call, &choice, failed).await;
        }
        None
    }

    fn record_resumption(&self, from: &BackendId, to: &BackendId) {
        let directory = self.forwarder.directory.load();
        let version = directory.get(to).map(|listed| listed.version.to_string());
        emit(&StreamContinued {
            request: self.call.log_id(),
            from: from.to_string(),
            to: to.to_string(),
            version: version.unwrap_or_default(),
            last_event: self.last_event.map(|id| id.to_string()).unwrap_or_default(),
        });
        self.forwarder.metrics.streams_continued.inc();
    }

    fn finish(&self, backend: &BackendId, version: &EngineVersion, proves_parts: bool) {
        self.note_finished_at(backend);
        self.forwarder.note_completed(&self.call, version, proves_parts);
        if let Some(last) = self.last_event {
            self.forwarder.demand.note_events(&self.call.route.name, last);
        }
        emit(&StreamFinished {
            request: self.call.log_id(),
            backend: backend.to_string(),
            elapsed_ms: self.call.received.elapsed().as_millis().to_string(),
        });
    }

    /// Aborts the response, so that the caller cannot mistake it for a complete one.
    async fn abort_stream(self, backend: &BackendId) {
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
