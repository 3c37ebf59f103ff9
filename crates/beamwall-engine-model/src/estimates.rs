//! What the back ends of a service are expected to do.

use crate::regression::Fit;
use crate::statistics::{FirstEvent, Reading, ServiceStatistics, is_enough_for_plan, is_trusted, reading_ms};
use crate::workload::Workload;

/// Waits of 95 in 100 requests, in mean waits, where the time between requests is random.
const TAIL_WAITS: f64 = 3.0;
/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;
/// Rounds after which the number of requests that run no longer moves.
const SETTLING_ROUNDS: usize = 20;

/// What one back end does under a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Occupancy {
    /// Part of its time for which it reads prompts, 0 to 1 and beyond.
    pub reading_share: f64,
    /// Requests that run at once, in the mean.
    pub running: f64,
    /// Time to the first event of 95 in 100 requests, in milliseconds; without end where it can't keep up.
    pub first_event_ms: f64,
    /// Time between two events, in milliseconds.
    pub event_gap_ms: f64,
}

/// What the back ends of a service are expected to do. Without enough samples there is no expectation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceEstimates {
    first_event: Option<Fit<5>>,
    event_gap: Option<Fit<2>>,
    plain_call: Option<Fit<2>>,
    stream_ms: Option<f64>,
    is_known: bool,
}

impl ServiceEstimates {
    /// Fits the sums; `before` is what they said last.
    pub(crate) fn new(statistics: &ServiceStatistics, before: &Self) -> Self {
        let first_event = statistics.first_event;
        let event_gap = statistics.event_gap;
        let plain_call = statistics.plain_call;
        let stream = statistics.stream;
        Self {
            first_event: first_event
                .fit(start(before.first_event))
                .filter(|_| is_trusted(first_event.samples())),
            event_gap: event_gap.fit(start(before.event_gap)).filter(|_| is_trusted(event_gap.samples())),
            plain_call: plain_call.fit(start(before.plain_call)).filter(|_| is_trusted(plain_call.samples())),
            stream_ms: stream.fit([before.stream_ms.unwrap_or(0.0)]).map(|fit| fit.coefficients[0]),
            is_known: is_enough_for_plan(first_event.samples().min(event_gap.samples())),
        }
    }

    /// Whether enough is known to say how many model engines a workload needs.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Expected time to a first event in milliseconds.
    pub fn first_event_ms(&self, of: FirstEvent) -> Option<f64> {
        self.first_event.map(|fit| fit.predict(of.features()))
    }

    /// How far the expected time to a first event may be from the mean of such requests, in milliseconds.
    pub fn first_event_error_ms(&self, of: FirstEvent) -> Option<f64> {
        self.first_event.map(|fit| fit.standard_error(of.features()))
    }

    /// Usual difference of times to the first event from what is expected, as a part of that.
    pub fn first_event_deviation(&self) -> Option<f64> {
        self.first_event.map(|fit| fit.deviation())
    }

    /// Time to read the rest of a prompt in milliseconds.
    pub fn reading_ms(&self, reading: Reading) -> Option<f64> {
        self.first_event.map(|fit| reading_ms(&fit.coefficients, reading))
    }

    /// Tokens of a short prompt that are read in a millisecond; `None` too where reading takes no time.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        const SHORT: Reading = Reading { tokens: 1_000, pairs: 0 };
        self.reading_ms(SHORT).filter(|took_ms| *took_ms > 0.0).map(|took_ms| SHORT.tokens as f64 / took_ms)
    }

    /// Expected time between two events in milliseconds while `running` requests run.
    pub fn event_gap_ms(&self, running: u32) -> Option<f64> {
        self.event_gap.map(|fit| fit.predict([1.0, f64::from(running)]))
    }

    /// Usual difference of times between events from what is expected, as a part of that.
    pub fn event_gap_deviation(&self) -> Option<f64> {
        self.event_gap.map(|fit| fit.deviation())
    }

    /// Expected time of a plain call in milliseconds while `running` others run.
    pub fn plain_call_ms(&self, running: u32) -> Option<f64> {
        self.plain_call.map(|fit| fit.predict([1.0, f64::from(running)]))
    }

    /// Mean time of a stream from its first event, in milliseconds.
    pub fn stream_ms(&self) -> Option<f64> {
        self.stream_ms
    }

    /// What one back end does under its part of a workload; `None` while not enough is known.
    pub fn occupancy(&self, work: Workload) -> Option<Occupancy> {
        if !self.is_known {
            return None;
        }
        let (first_event, event_gap) = (self.first_event?, self.event_gap?);
        let [base_ms, .., running_ms] = first_event.coefficients;
        let reading = Reading { tokens: work.tokens as u64, pairs: work.pairs as u64 };
        let reading_share = reading_ms(&first_event.coefficients, reading) / SECOND_MS;
        let mean_reading_ms =
            if work.requests > 0.0 { reading_share * SECOND_MS / work.requests } else { 0.0 };
        let wait_ms = if reading_share < 1.0 {
            mean_reading_ms * reading_share / (1.0 - reading_share) * TAIL_WAITS
        } else {
            f64::INFINITY
        };
        let mut running = 0.0;
        for _ in 0..SETTLING_ROUNDS {
            let streaming_ms = work.events * event_gap.predict([1.0, running]);
            running = (streaming_ms + work.requests * (base_ms + mean_reading_ms)) / SECOND_MS;
        }
        let beside_ms = running_ms * running;
        Some(Occupancy {
            reading_share,
            running,
            first_event_ms: base_ms + mean_reading_ms + beside_ms + wait_ms,
            event_gap_ms: event_gap.predict([1.0, running]),
        })
    }
}

fn start<const N: usize>(before: Option<Fit<N>>) -> [f64; N] {
    before.map_or([0.0; N], |fit| fit.coefficients)
}
