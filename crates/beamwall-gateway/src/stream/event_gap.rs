//! Measures the time between the events of one stream, by the clock that counts only while this process runs.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time over which the gap between events is averaged: it spans several events of a typical engine
/// and is far shorter than the time within which an engine that has become slow must be detected.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(200);

/// Measures the time between the events of one stream.
#[derive(Debug)]
pub(super) struct EventGapMeter {
    sample_start: Instant,
    events: u32,
    /// Events of all complete samples.
    sampled_events: u32,
    first_event_at: Instant,
}

impl EventGapMeter {
    /// Starts measuring when the first events of a stream have arrived.
    pub(super) fn new(now: Instant) -> Self {
        Self { sample_start: now, events: 0, sampled_events: 0, first_event_at: now }
    }

    /// Counts received events and returns the mean gap in milliseconds once a sample is complete.
    pub(super) fn add_events(&mut self, count: u32, now: Instant) -> Option<f64> {
        self.events += count;
        let elapsed = now.duration_since(self.sample_start);
        if self.events == 0 || elapsed < MIN_SAMPLE_TIME {
            return None;
        }
        let mean_gap_ms = milliseconds(elapsed) / f64::from(self.events);
        self.sample_start = now;
        self.sampled_events += self.events;
        self.events = 0;
        Some(mean_gap_ms)
    }

    /// The mean gap in milliseconds since the last complete sample, at the end of the stream. For a stream
    /// shorter than one sample, this covers all events.
    pub(super) fn final_gap_ms(&self, now: Instant) -> Option<f64> {
        let elapsed = now.duration_since(self.sample_start);
        (self.events > 0).then(|| milliseconds(elapsed) / f64::from(self.events))
    }

    /// The mean gap in milliseconds since the first events; `None` while there are no others.
    pub(super) fn mean_gap_ms(&self, now: Instant) -> Option<f64> {
        let events = self.sampled_events + self.events;
        (events > 0).then(|| self.elapsed_ms(now) / f64::from(events))
    }

    /// Milliseconds since the first events.
    pub(super) fn elapsed_ms(&self, now: Instant) -> f64 {
        milliseconds(now.duration_since(self.first_event_at))
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
