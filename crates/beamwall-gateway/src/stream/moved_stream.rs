//! The relay's part in moving a stream: it looks at its stream when the engine is reclaimed, delivers what the
//! stopped engine still sends, and continues the run from its memory.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::{StreamMoveFailed, StreamMoved};
use beamwall_model::BackendId;
use tokio::task::JoinError;
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, ResumePoint};
use crate::failover::FailedAttempt;
use crate::forward::PermittedChoice;
use crate::placement::Choice;
use crate::reserved_retry::ReservedRetry;
use crate::stream::event_gap::EventGapMeter;
use crate::stream::memory_move::{HeldMemory, MoveFailure, MoveOrder, MoveResult, StoppedRun, move_run};
use crate::stream::relay::{Relay, Stop};
use crate::stream::relocation::{Relocation, RunningStream, decide};
use crate::stream::relocation_watch::{PendingMove, RelocationWatch};
use crate::stream::source::{Piece, Source, scan_events};
use crate::stream::{AttemptStart, StartedStream, start_attempt};

/// Time between two events that is assumed while it is not known.
const DEFAULT_EVENT_GAP_MS: f64 = 50.0;
/// Longest time in which a stopped engine delivers the events that it has made.
const REST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the result of a move after the source has closed its stream.
const RESULT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a move is decided again that failed without an effect on the run.
const SECOND_LOOK_DELAY: Duration = Duration::from_millis(250);

/// Why a stopped run does not go on.
pub(super) enum MovedStreamEnd {
    CallerGone,
    Failed(FailedAttempt),
}

impl Relay {
    /// Watches the engine of a stream, where streams can be moved.
    pub(super) fn watch_engine(&self) -> RelocationWatch {
        let moves = self.call.engine.and_then(|engine| engine.memory_moves);
        let can_move = self.forwarder.move_on_reclaim && moves.is_some() && self.call.request_id.is_some();
        if !can_move || self.returned {
            return RelocationWatch::disabled();
        }
        RelocationWatch::new(self.forwarder.backend_state.reclaims.subscribe())
    }

    /// Decides what becomes of the stream if its engine announced its end, and begins a move.
    pub(super) fn review_relocation(&mut self, source: &Source, gap_meter: Option<&EventGapMeter>) {
        let backend = &source.choice.backend;
        let Some(gone_at) = self.forwarder.backend_state.reclaims.gone_at(backend) else { return };
        let Some(moves) = self.call.engine.and_then(|engine| engine.memory_moves) else { return };
        match decide(&self.running_stream(source, gap_meter, gone_at), &moves) {
            Relocation::LetFinish(Some(review_in)) => self.relocation.review_at(Instant::now() + review_in),
            Relocation::LetFinish(None) => self.relocation.settle(),
            Relocation::TooLate => {
                self.relocation.settle();
                self.note_not_moved(backend, "too_late", "the engine is gone before a move can end");
            }
            Relocation::Move { copies_ahead } => match self.move_order(backend, gone_at, copies_ahead) {
                Some(order) => {
                    self.move_began = Instant::now();
                    self.relocation.wait_for(self.begin_move(order));
                }
                None => self.relocation.settle(),
            },
        }
    }

    /// Begins a move in its own task: it ends, and frees its memory, also if nobody waits for it any more.
    fn begin_move(&self, order: MoveOrder) -> PendingMove {
        let task = tokio::spawn(move_run(self.forwarder.clone(), self.call.clone(), order));
        let failed = |error: JoinError| Err(MoveFailure::MaybeStopped(error.to_string()));
        Box::pin(async move { task.await.unwrap_or_else(failed) })
    }

    fn move_order(&self, source: &BackendId, gone_at: Instant, copies_ahead: bool) -> Option<MoveOrder> {
        let constraints = self.attempts.move_constraints(&self.forwarder, &self.call)?;
        let mut avoided = constraints.avoided;
        avoided.push(source.clone());
        avoided.extend(self.forwarder.backend_state.unlikely_to_accept());
        let request_id = self.call.request_id.clone()?;
        let version = constraints.version;
        Some(MoveOrder { request_id, source: source.clone(), gone_at, copies_ahead, avoided, version })
    }

    fn running_stream(
        &self,
        source: &Source,
        gap_meter: Option<&EventGapMeter>,
        gone_at: Instant,
    ) -> RunningStream {
        let Self { forwarder, call, .. } = self;
        let choice = &source.choice;
        let tokens_per_event = u64::from(call.engine.map_or(1, |engine| engine.tokens_per_event.max(1)));
        let events = self.last_event.unwrap_or(0);
        let running = forwarder.running_requests(&call.service, &choice.backend, choice.open_requests);
        let prompt = call.prompt.as_ref();
        let maximum_events = prompt.map(|prompt| u64::from(prompt.output_tokens).div_ceil(tokens_per_event));
        let estimated_gap_ms = || forwarder.estimates(&call.service).event_gap_ms(running);
        let gap_ms = gap_meter.and_then(|meter| meter.mean_gap_ms(process_clock::now()));
        let gap_ms = gap_ms.or_else(estimated_gap_ms).unwrap_or(DEFAULT_EVENT_GAP_MS);
        RunningStream {
            time_left: gone_at.saturating_duration_since(Instant::now()),
            events,
            usual_events: forwarder.demand.usual_events(&call.route.name),
            maximum_events,
            event_gap: Duration::try_from_secs_f64(gap_ms / 1_000.0).unwrap_or_default(),
            memory_tokens: prompt
                .map_or(0, |prompt| u64::from(prompt.prompt_tokens))
                .saturating_add(events.saturating_mul(tokens_per_event)),
            running,
        }
    }

    /// Handles the result of a move while the source's stream is still open. `None`: it is read on.
    pub(super) async fn take_move_result(&mut self, source: &mut Source, result: MoveResult) -> Option<Stop> {
        match result {
            Ok(stopped) => Some(self.deliver_rest(source, stopped).await),
            Err(failure) => {
                self.note_move_failure(&source.choice.backend, &failure);
                self.may_be_stopped |= matches!(failure, MoveFailure::MaybeStopped(_));
                if failure.may_succeed_later() {
                    self.relocation.review_at(Instant::now() + SECOND_LOOK_DELAY);
                }
                None
            }
        }
    }

    /// Delivers what a stopped engine still sends.
    async fn deliver_rest(&mut self, source: &mut Source, stopped: Box<StoppedRun>) -> Stop {
        let until = Instant::now() + REST_TIMEOUT;
        loop {
            match tokio::time::timeout_at(until, source.next_piece()).await {
                Ok(Piece::Events(events)) => {
                    let last = scan_events(&events).last;
                    if self.sender.send(events).await.is_err() {
                        return Stop::CallerGone;
                    }
                    self.last_event = last.or(self.last_event);
                }
                Ok(Piece::End) if source.has_marked_end() => return Stop::Finished { proves_parts: true },
                Ok(Piece::End | Piece::Broken(_)) | Err(_) => return Stop::Moved(stopped),
            }
        }
    }

    /// Tells why the source's stream ended while a move was being made: `Ok` if not because of the move.
    pub(super) async fn settle_move(
        &mut self,
        backend: &BackendId,
        pending: PendingMove,
        end: Piece,
    ) -> Result<Piece, Stop> {
        let can_fail_over = self.call.may_fail_over(self.attempts.sent);
        let result = tokio::select! {
            biased;
            result = result_after_end(pending, can_fail_over) => result,
            () = self.sender.disconnected() => return Err(Stop::CallerGone),
        };
        match result {
            Ok(stopped) => Err(Stop::Moved(stopped)),
            Err(failure) => {
                self.note_move_failure(backend, &failure);
                self.may_be_stopped |= matches!(failure, MoveFailure::MaybeStopped(_));
                Ok(self.checked_for_stop(end))
            }
        }
    }

    /// The end of a stream without a marked end. It looks whole also if the run was stopped.
    pub(super) fn checked_for_stop(&self, end: Piece) -> Piece {
        match end {
            Piece::End if self.may_be_stopped => {
                Piece::Broken(AttemptFailure::lost("the run may have been stopped"))
            }
            end => end,
        }
    }

    /// Continues a stopped run at the engine that holds its copy, or else at the one that ran it. Its memory
    /// serves once, so the run can't go on at both: an engine that finds it used rejects the request.
    pub(super) async fn continue_moved(
        &mut self,
        from: &Choice,
        stopped: StoppedRun,
    ) -> Result<StartedStream, MovedStreamEnd> {
        let StoppedRun { mut memory, target, return_retry } = stopped;
        let mut reason = "there is no copy".to_owned();
        if let Some(target) = target {
            match self.open_moved(from, target, &mut memory).await {
                Err(MovedStreamEnd::Failed(failed)) => {
                    reason = failed.failure.reason;
                    if failed.failure.sent && !self.pay_return(return_retry) {
                        return Err(self.lost_run(&from.backend, &format!("{reason}; no retry is left")));
                    }
                }
                opened => return opened,
            }
        }
        let rank = self.call.rank(self.forwarder.call_prefill_ms(&self.call));
        let Ok(permit) = self.forwarder.admit(&self.call, rank, &from.backend).await else {
            return Err(self.lost_run(&from.backend, &reason));
        };
        let source = PermittedChoice { choice: from.clone(), permit };
        match self.open_moved(from, source, &mut memory).await {
            Err(MovedStreamEnd::Failed(failed)) => {
                Err(self.lost_run(&from.backend, &format!("{reason}; {}", failed.failure.reason)))
            }
            opened => opened,
        }
    }

    /// Pays for one more arrival of a run, with the retry that was reserved for it or with another; returns whether there
    /// was one.
    fn pay_return(&self, reserved: Option<ReservedRetry>) -> bool {
        let reserve = || self.forwarder.retries.reserve(&self.call.service, Instant::now());
        reserved.or_else(reserve).map(ReservedRetry::spend).is_some()
    }

    /// Opens the stream of a stopped run where its memory is.
    async fn open_moved(
        &mut self,
        from: &Choice,
        place: PermittedChoice,
        memory: &mut HeldMemory,
    ) -> Result<StartedStream, MovedStreamEnd> {
        let PermittedChoice { choice, permit } = place;
        let resume = ResumePoint { last_event: self.last_event, memory: Some(memory.source()) };
        let Self { forwarder, call, attempts, sender, .. } = self;
        let opened = tokio::select! {
            biased;
            () = sender.disconnected() => return Err(MovedStreamEnd::CallerGone),
            opened = start_attempt(forwarder, call, &choice, permit, resume, attempts) => opened,
        };
        match opened {
            Ok(AttemptStart::Stream(started)) => {
                memory.note_used();
                self.note_moved(&from.backend, &choice.backend);
                Ok(*started)
            }
            Ok(AttemptStart::Answer(response)) => {
                let reason = format!("answered {} to a run that was moved", response.status());
                Err(MovedStreamEnd::Failed(AttemptFailure::may_have_run(reason).into()))
            }
            Err(failed) => Err(MovedStreamEnd::Failed(failed)),
        }
    }

    /// The run was stopped and goes on nowhere: from here on it is a stream that broke off.
    fn lost_run(&self, backend: &BackendId, reason: &str) -> MovedStreamEnd {
        self.note_not_moved(backend, "lost", reason);
        MovedStreamEnd::Failed(AttemptFailure::lost(format!("the moved run did not go on: {reason}")).into())
    }

    fn note_moved(&mut self, from: &BackendId, to: &BackendId) {
        self.attempts.note_moved(to);
        let outcome = if from == to { "returned" } else { "moved" };
        self.forwarder.metrics.stream_moves.with_label_values(&[outcome]).inc();
        emit(&StreamMoved {
            request: self.call.log_id(),
            from: from.to_string(),
            to: to.to_string(),
            last_event: self.last_event.map(|id| id.to_string()).unwrap_or_default(),
            took_ms: self.move_began.elapsed().as_millis().to_string(),
        });
    }

    fn note_move_failure(&self, backend: &BackendId, failure: &MoveFailure) {
        self.note_not_moved(backend, failure.as_str(), &failure.to_string());
    }

    fn note_not_moved(&self, backend: &BackendId, outcome: &str, reason: &str) {
        self.forwarder.metrics.stream_moves.with_label_values(&[outcome]).inc();
        emit(&StreamMoveFailed {
            request: self.call.log_id(),
            from: backend.to_string(),
            reason: reason.to_owned(),
        });
    }

    /// Counts a stream that ended at an engine after that engine announced its end.
    pub(super) fn note_finished_at(&self, backend: &BackendId) {
        if self.forwarder.move_on_reclaim && self.forwarder.backend_state.reclaims.gone_at(backend).is_some()
        {
            self.forwarder.metrics.stream_moves.with_label_values(&["finished"]).inc();
        }
    }
}

/// Waits for the result of a move whose source has closed its stream. A stream that can be resumed without its
/// memory waits a short time only; for others the move's own limits apply.
async fn result_after_end(pending: PendingMove, can_fail_over: bool) -> MoveResult {
    if !can_fail_over {
        return pending.await;
    }
    let no_result = || MoveFailure::MaybeStopped("none after the stream had ended".to_owned());
    tokio::time::timeout(RESULT_TIMEOUT, pending).await.unwrap_or_else(|_| Err(no_result()))
}
