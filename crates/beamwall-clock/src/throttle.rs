//! Rate limiting of an event to once per period.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Admits an event at most once per period, measured by the monotonic clock.
#[derive(Debug, Default)]
pub struct Throttle {
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Returns whether the event is admitted now: on the first call, or once `period` has elapsed since it
    /// was last admitted. Calls that are not admitted do not extend the wait.
    pub fn admit(&self, period: Duration) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|at| at.elapsed() >= period);
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }
}
