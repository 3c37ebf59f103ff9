//! Notices that the machine was suspended: the clock that counts the time asleep has run ahead of the steady one.
//!
//! What holds by a term looks at that clock by itself (`beamwall-clock`). Here the node tells of it, and tells its peers at once
//! that it is back, so that they tell it what is new.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::MachineSuspended;
use tokio::sync::Notify;

/// A shorter suspension is within what terms allow anyway.
const SHORTEST: Duration = Duration::from_millis(250);

/// What was known of suspensions at the last look.
pub struct Suspensions {
    before: Duration,
    news: Arc<Notify>,
}

impl Suspensions {
    /// Knows the suspensions until now; `news` is told after each further one.
    pub fn new(news: Arc<Notify>) -> Self {
        Self { before: beamwall_clock::suspended_time(), news }
    }

    /// Looks whether the machine was suspended since the last look.
    pub fn look(&mut self) {
        let asleep = beamwall_clock::suspended_time();
        let length = asleep.saturating_sub(self.before);
        self.before = asleep;
        if length >= SHORTEST {
            emit(&MachineSuspended { asleep_ms: length.as_millis().to_string() });
            self.news.notify_one();
        }
    }
}
