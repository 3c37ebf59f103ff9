//! Reads the event stream of one engine: splits its bytes into whole events and detects how it ends.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_http::PooledBody;
use beamwall_http::caller_budget::MemoryHold;
use beamwall_model::EngineVersion;
use beamwall_quarantine::WritingProgress;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::event_stream::EventSplitter;
use crate::load::OpenRequestGuard;
use crate::placement::Choice;

/// Result of reading from an engine's stream.
pub(super) enum Piece {
    /// Whole events.
    Events(Bytes),
    /// The whole stream ended.
    End,
    /// The stream ended prematurely or is not an event stream.
    Broken(AttemptFailure),
}

/// The stream of one engine.
pub(super) struct Source {
    /// The chosen engine and the estimates behind the choice.
    pub(super) choice: Choice,
    /// The engine's software version.
    pub(super) version: EngineVersion,
    body: PooledBody,
    pub(super) work: OpenRequestGuard,
    splitter: EventSplitter,
    /// Whether the HTTP framing of the response marks its end.
    is_framed: bool,
    /// The event after which it continues a stream; `None` if it began the stream.
    pub(super) continued_after: Option<u64>,
    /// When the request was sent, by the process clock.
    pub(super) sent_at: Instant,
    /// By the clock that counts only while this process runs; `None` before the first event.
    writing: Option<WritingProgress>,
    /// Memory of an event that has not ended.
    pending: MemoryHold,
}

impl Source {
    /// Creates the source for a response whose head was received. `is_framed`: its HTTP framing marks its
    /// end. `sent_at`: when the request was sent, by the process clock. `pending`: holds nothing yet.
    #[allow(clippy::too_many_arguments, reason = "each is a part of the response that was opened")]
    pub(super) fn new(
        choice: &Choice,
        version: EngineVersion,
        body: PooledBody,
        work: OpenRequestGuard,
        is_framed: bool,
        continued_after: Option<u64>,
        sent_at: Instant,
        pending: MemoryHold,
    ) -> Self {
        let splitter = EventSplitter::default();
        Self {
            choice: choice.clone(),
            version,
            body,
            work,
            splitter,
            is_framed,
            continued_after,
            sent_at,
            writing: None,
            pending,
        }
    }

    fn note_written(&mut self) {
        let now = process_clock::now().into_std();
        self.writing.get_or_insert(WritingProgress::begun_at(now)).note(now);
    }

    /// Time for which the engine has been writing, if it is due to be reported.
    pub(super) fn take_writing_report(&mut self) -> Option<Duration> {
        self.writing.as_mut()?.take_report()
    }

    /// Whether the end of the stream is told from a broken connection.
    pub(super) fn has_marked_end(&self) -> bool {
        self.is_framed
    }

    /// Waits for whole events and returns all that are available.
    pub(super) async fn next_piece(&mut self) -> Piece {
        loop {
            if let Some(events) = self.take_events() {
                self.note_written();
                return Piece::Events(events);
            }
            if self.splitter.exceeds_limit() {
                return Piece::Broken(AttemptFailure::may_have_run("not an event stream"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                    if let Err(shortage) = self.pending.resize(self.splitter.held_bytes()) {
                        return Piece::Broken(AttemptFailure::may_have_run(shortage.to_string()));
                    }
                }
                Some(Err(error)) => return Piece::Broken(AttemptFailure::lost(error.to_string())),
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

    /// Handles the end of the body. A framed body is complete whatever its last bytes are; an unframed one is
    /// complete only if it ends between two events.
    fn end(&mut self) -> Piece {
        let rest = self.splitter.rest().to_vec();
        match (rest.is_empty(), self.is_framed) {
            (true, _) => Piece::End,
            (false, true) => {
                self.splitter = EventSplitter::default();
                Piece::Events(Bytes::from(rest))
            }
            (false, false) => Piece::Broken(AttemptFailure::lost("ended within an event")),
        }
    }
}

/// Summary of a batch of whole events.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EventBatch {
    /// Number of events.
    pub(super) count: u32,
    /// Id of the last event that has one.
    pub(super) last: Option<u64>,
}

/// Counts the events of a batch and finds the last event id.
pub(super) fn scan_events(events: &[u8]) -> EventBatch {
    let mut splitter = EventSplitter::default();
    splitter.push(events);
    let mut batch = EventBatch::default();
    while let Some(event) = splitter.next_event() {
        batch.count += 1;
        batch.last = event.id.or(batch.last);
    }
    batch
}
