//! The queue of messages to one peer.
//!
//! Messages between nodes are soon obsolete: a heartbeat is superseded by the next, and a request times out
//! after a short time. If the peer or the link to it is slow, the oldest messages are dropped, and expired
//! ones are not sent. Otherwise a link that was congested for a moment would carry obsolete messages for
//! seconds.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of queued messages.
const CAPACITY: usize = 256;
/// Time after which a queued message expires, equal to the longest time that a request waits for its reply.
const MESSAGE_TTL: Duration = Duration::from_secs(2);

/// Queue of messages to one peer, the oldest first.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: Mutex<VecDeque<QueuedMessage>>,
    added: Notify,
}

/// A queued message and the time at which it was queued.
#[derive(Debug)]
pub struct QueuedMessage {
    queued_at: Instant,
    /// The encoded message.
    pub message: Vec<u8>,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, VecDeque<QueuedMessage>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message and returns whether the oldest one was dropped to make room for it.
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

    /// Waits for a message that has not expired, removes it from the queue and returns it.
    pub async fn next(&self) -> QueuedMessage {
        loop {
            if let Some(message) = self.pop_unexpired(Instant::now()) {
                return message;
            }
            self.added.notified().await;
        }
    }

    /// Returns a message that could not be sent to the front of the queue.
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
