//! For how long a back end has been writing one response, and when that is due to be reported.

use std::time::{Duration, Instant};

/// Minimum time between two reports. The parts of a response are much closer to each other.
pub const WRITING_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How far a back end has got with one response.
#[derive(Debug, Clone, Copy)]
pub struct WritingProgress {
    first: Instant,
    last: Instant,
    reported: Instant,
}

impl WritingProgress {
    /// The first part of the response was read.
    #[must_use]
    pub fn begun_at(now: Instant) -> Self {
        Self { first: now, last: now, reported: now }
    }

    /// A further part was read.
    pub fn note(&mut self, now: Instant) {
        self.last = now;
    }

    /// Time for which the back end has been writing, if it has written since the last report and another one is due.
    pub fn take_report(&mut self) -> Option<Duration> {
        if self.last.duration_since(self.reported) < WRITING_REPORT_INTERVAL {
            return None;
        }
        self.reported = self.last;
        Some(self.last.duration_since(self.first))
    }
}
