//! Messages that wait for one peer.
//!
//! What nodes tell each other is about now: a heartbeat is overtaken by the next, a question is given up soon. So
//! where a peer or the way to it is slow, the oldest messages go, and none is sent that has waited for long. Else
//! a link that was full for a moment would carry old news for seconds.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Messages that wait at most.
const CAPACITY: usize = 256;
/// Time after which a message is not sent any more: the longest that a question waits for its answer.
const MESSAGE_TTL: Duration = Duration::from_secs(2);

/// Messages that wait for one peer, the oldest first.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: Mutex<VecDeque<QueuedMessage>>,
    added: Notify,
}

/// A message that waits, and since when.
#[derive(Debug)]
pub struct QueuedMessage {
    queued_at: Instant,
    /// The message as sent.
    pub message: Vec<u8>,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, VecDeque<QueuedMessage>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message; returns whether the oldest one had to go for it.
    pub fn push(&self, message: Vec<u8>, now: Instant) -> bool {
        let mut queue = self.lock();
        let is_full = queue.len() >= CAPACITY;
        if is_full {
            queue.pop_front();
        }
        queue.push_back(QueuedMessage { queued_at: now, message });
        drop(queue);
        self.added.notify_one();
        is_full
    }

    /// The next message that has not waited for too long, as soon as there is one.
    pub async fn next(&self) -> QueuedMessage {
        loop {
            if let Some(message) = self.pop_unexpired(Instant::now()) {
                return message;
            }
            self.added.notified().await;
        }
    }

    /// Puts a message that could not be sent back to its place.
    pub fn put_back(&self, unsent: QueuedMessage) {
        self.lock().push_front(unsent);
    }

    fn pop_unexpired(&self, now: Instant) -> Option<QueuedMessage> {
        let mut queue = self.lock();
        while let Some(oldest) = queue.pop_front() {
            if now.duration_since(oldest.queued_at) <= MESSAGE_TTL {
                return Some(oldest);
            }
        }
        None
    }
}
