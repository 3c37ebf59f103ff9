//! How fast the events of one stream come, by the clock that counts while this process runs.

use std::time::Duration;

use tokio::time::Instant;

/// Least time over which the time between events is measured: several events of a usual engine, and far less than the
/// time within which one that has turned slow must be known.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(200);

/// Measures the time between the events of one stream.
#[derive(Debug)]
pub(super) struct EventGapMeter {
    sample_start: Instant,
    events: u32,
    first_event_at: Instant,
}

impl EventGapMeter {
    /// A stream whose first events have just come.
    pub(super) fn new(now: Instant) -> Self {
        Self { sample_start: now, events: 0, first_event_at: now }
    }

    /// Notes events that came; gives the mean time between two, in milliseconds, once that is measured.
    pub(super) fn add_events(&mut self, count: u32, now: Instant) -> Option<f64> {
        self.events += count;
        let elapsed = now.duration_since(self.sample_start);
        if self.events == 0 || elapsed < MIN_SAMPLE_TIME {
            return None;
        }
        let mean_gap_ms = milliseconds(elapsed) / f64::from(self.events);
        self.sample_start = now;
        self.events = 0;
        Some(mean_gap_ms)
    }

    /// The mean time between the last events of a stream that has ended, in milliseconds: of a short one, all.
    pub(super) fn final_gap_ms(&self, now: Instant) -> Option<f64> {
        let elapsed = now.duration_since(self.sample_start);
        (self.events > 0).then(|| milliseconds(elapsed) / f64::from(self.events))
    }

    /// Time since the first events, in milliseconds.
    pub(super) fn elapsed_ms(&self, now: Instant) -> f64 {
        milliseconds(now.duration_since(self.first_event_at))
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
