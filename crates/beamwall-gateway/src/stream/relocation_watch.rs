//! Watches whether a stream's engine will be gone, and waits for the move of the stream.

use std::pin::Pin;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::stream::memory_move::MoveResult;

/// A move that is being made.
pub(super) type PendingMove = Pin<Box<dyn Future<Output = MoveResult> + Send>>;

/// What a stream's relay has to do.
pub(super) enum RelocationEvent {
    /// The engine may have announced its end, or it is time to look at the stream again.
    Review,
    /// The move is over.
    Moved(MoveResult),
}

/// The state of one stream.
enum State {
    /// Waiting for the engine's announcement.
    Watching(watch::Receiver<u64>),
    /// The stream is expected to end before this time.
    ReviewAt(Instant),
    Moving(PendingMove),
    /// Nothing more is done for the stream at this engine.
    Settled,
}

/// Watches one stream at one engine. Waiting can be cancelled and repeated.
pub(super) struct RelocationWatch {
    state: State,
}

impl RelocationWatch {
    /// Watches for announcements, which may have come already.
    pub(super) fn new(mut announcements: watch::Receiver<u64>) -> Self {
        announcements.mark_changed();
        Self { state: State::Watching(announcements) }
    }

    /// Watches nothing.
    pub(super) fn disabled() -> Self {
        Self { state: State::Settled }
    }

    /// Waits until there is something to do; never returns if there is nothing.
    pub(super) async fn next(&mut self) -> RelocationEvent {
        match &mut self.state {
            State::Watching(announcements) => {
                if announcements.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
                RelocationEvent::Review
            }
            State::ReviewAt(at) => {
                tokio::time::sleep_until(*at).await;
                RelocationEvent::Review
            }
            State::Moving(pending) => {
                let result = pending.await;
                self.state = State::Settled;
                RelocationEvent::Moved(result)
            }
            State::Settled => std::future::pending().await,
        }
    }

    /// Takes the move that is being made, if there is one.
    pub(super) fn take_pending(&mut self) -> Option<PendingMove> {
        match std::mem::replace(&mut self.state, State::Settled) {
            State::Moving(pending) => Some(pending),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Looks at the stream again at a later time.
    pub(super) fn review_at(&mut self, at: Instant) {
        self.state = State::ReviewAt(at);
    }

    /// Waits for a move.
    pub(super) fn wait_for(&mut self, pending: PendingMove) {
        self.state = State::Moving(pending);
    }

    /// Does nothing more.
    pub(super) fn settle(&mut self) {
        self.state = State::Settled;
    }
}
