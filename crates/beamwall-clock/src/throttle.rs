//! Lets something happen at most once in a while.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// When something last happened, by the steady clock.
#[derive(Debug, Default)]
pub struct Throttle {
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Whether it may happen now: for the first time, or `period` after it last did. If so, it counts as happening now.
    pub fn admit(&self, period: Duration) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|at| at.elapsed() >= period);
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }
}
