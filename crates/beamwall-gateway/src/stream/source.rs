//! The stream of one engine: its bytes as whole events, and how it ended.

use beamwall_http::PooledBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::attempt::AttemptFailure;
use crate::event_stream::EventSplitter;
use crate::load::OpenWork;
use crate::placement::Choice;

/// What came from an engine.
pub(super) enum Piece {
    /// Whole events.
    Events(Bytes),
    /// The whole stream ended.
    End,
    /// It broke off.
    Broken(AttemptFailure),
}

/// The stream of one engine.
pub(super) struct Source {
    /// The engine, and what decided for it.
    pub(super) choice: Choice,
    body: PooledBody,
    pub(super) work: OpenWork,
    splitter: EventSplitter,
    /// Whether the answer's own framing tells its end.
    is_framed: bool,
}

impl Source {
    /// The stream of an answer whose head came; `is_framed`: the answer's own framing tells its end.
    pub(super) fn new(choice: &Choice, body: PooledBody, work: OpenWork, is_framed: bool) -> Self {
        Self { choice: choice.clone(), body, work, splitter: EventSplitter::default(), is_framed }
    }

    /// Waits for whole events; all that are there are given out at once.
    pub(super) async fn next_piece(&mut self) -> Piece {
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
            (false, false) => Piece::Broken(AttemptFailure::lost("ended within an event")),
        }
    }
}

/// What a run of whole events holds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EventBatch {
    /// How many events.
    pub(super) count: u32,
    /// The number of the last one that carries any.
    pub(super) last: Option<u64>,
}

/// Reads a run of whole events.
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
