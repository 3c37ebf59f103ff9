//! Expected latency and load of a service's back ends.

use crate::regression::Fit;
use crate::statistics::{
    FirstEventInputs, PrefillWork, ServiceStatistics, is_enough_to_estimate, is_enough_to_size, prefill_ms,
};
use crate::workload::Workload;

/// Ratio of the 95th percentile of the waiting time to its mean when requests arrive at random.
const P95_WAIT_FACTOR: f64 = 3.0;
const MS_PER_SECOND: f64 = 1_000.0;
/// Iterations after which the number of concurrent requests has converged.
const FIXED_POINT_ITERATIONS: usize = 20;

/// Expected load and latency of one back end under a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Occupancy {
    /// Fraction of time spent in prefill: 0 to 1, or above 1 when overloaded.
    pub prefill_share: f64,
    /// Mean number of concurrent requests.
    pub running: f64,
    /// 95th percentile of the time to the first event, in milliseconds; infinite when the back end can't keep
    /// up.
    pub first_event_ms: f64,
    /// Time between two events, in milliseconds.
    pub event_gap_ms: f64,
}

/// Expected latency of a service's back ends. An estimate is `None` until there are enough samples.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceEstimates {
    first_event: Option<Fit<5>>,
    event_gap: Option<Fit<2>>,
    plain_call: Option<Fit<2>>,
    stream_ms: Option<f64>,
    is_known: bool,
}

impl ServiceEstimates {
    /// Fits the statistics, starting from the `previous` estimates.
    pub(crate) fn new(statistics: &ServiceStatistics, previous: &Self) -> Self {
        let first_event = statistics.first_event;
        let event_gap = statistics.event_gap;
        let plain_call = statistics.plain_call;
        let stream = statistics.stream;
        Self {
            first_event: first_event
                .fit(initial_coefficients(previous.first_event))
                .filter(|_| is_enough_to_estimate(first_event.samples())),
            event_gap: event_gap
                .fit(initial_coefficients(previous.event_gap))
                .filter(|_| is_enough_to_estimate(event_gap.samples())),
            plain_call: plain_call
                .fit(initial_coefficients(previous.plain_call))
                .filter(|_| is_enough_to_estimate(plain_call.samples())),
            stream_ms: stream.fit([previous.stream_ms.unwrap_or(0.0)]).map(|fit| fit.coefficients[0]),
            is_known: is_enough_to_size(first_event.samples().min(event_gap.samples())),
        }
    }

    /// Returns whether there are enough samples to compute how many model engines a workload needs.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the expected time to the first event in milliseconds.
    pub fn first_event_ms(&self, inputs: FirstEventInputs) -> Option<f64> {
        self.first_event.map(|fit| fit.predict(inputs.features()))
    }

    /// Returns the standard error of the expected time to the first event, in milliseconds.
    pub fn first_event_error_ms(&self, inputs: FirstEventInputs) -> Option<f64> {
        self.first_event.map(|fit| fit.standard_error(inputs.features()))
    }

    /// Returns the relative standard deviation of the time to the first event.
    pub fn first_event_deviation(&self) -> Option<f64> {
        self.first_event.map(|fit| fit.deviation())
    }

    /// Returns the expected prefill time in milliseconds.
    pub fn prefill_ms(&self, prefill: PrefillWork) -> Option<f64> {
        self.first_event.map(|fit| prefill_ms(&fit.coefficients, prefill))
    }

    /// Returns the prefill rate for a short prompt in tokens per millisecond; `None` also when prefill takes
    /// no time.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        const SHORT_PROMPT: PrefillWork = PrefillWork { tokens: 1_000, pairs: 0 };
        self.prefill_ms(SHORT_PROMPT)
            .filter(|took_ms| *took_ms > 0.0)
            .map(|took_ms| SHORT_PROMPT.tokens as f64 / took_ms)
    }

    /// Returns the expected time between two events in milliseconds with `running` concurrent requests.
    pub fn event_gap_ms(&self, running: u32) -> Option<f64> {
        self.event_gap.map(|fit| fit.predict([1.0, f64::from(running)]))
    }

    /// Returns the relative standard deviation of the time between events.
    pub fn event_gap_deviation(&self) -> Option<f64> {
        self.event_gap.map(|fit| fit.deviation())
    }

    /// Returns the expected duration of a plain call in milliseconds beside `running` other requests.
    pub fn plain_call_ms(&self, running: u32) -> Option<f64> {
        self.plain_call.map(|fit| fit.predict([1.0, f64::from(running)]))
    }

    /// Returns the mean duration of a stream from its first event, in milliseconds.
    pub fn stream_ms(&self) -> Option<f64> {
        self.stream_ms
    }

    /// Returns the load of one back end under its share of a workload; `None` without enough samples.
    pub fn occupancy(&self, workload: Workload) -> Option<Occupancy> {
        if !self.is_known {
            return None;
        }
        let (first_event, event_gap) = (self.first_event?, self.event_gap?);
        let [base_ms, .., ms_per_running] = first_event.coefficients;
        let prefill = PrefillWork { tokens: workload.tokens as u64, pairs: workload.pairs as u64 };
        let prefill_share = prefill_ms(&first_event.coefficients, prefill) / MS_PER_SECOND;
        let mean_prefill_ms =
            if workload.requests > 0.0 { prefill_share * MS_PER_SECOND / workload.requests } else { 0.0 };
        let wait_ms = if prefill_share < 1.0 {
            mean_prefill_ms * prefill_share / (1.0 - prefill_share) * P95_WAIT_FACTOR
        } else {
            f64::INFINITY
        };
        let mut running = 0.0;
        for _ in 0..FIXED_POINT_ITERATIONS {
            let streaming_ms = workload.events * event_gap.predict([1.0, running]);
            running = (streaming_ms + workload.requests * (base_ms + mean_prefill_ms)) / MS_PER_SECOND;
        }
        let concurrency_ms = ms_per_running * running;
        Some(Occupancy {
            prefill_share,
            running,
            first_event_ms: base_ms + mean_prefill_ms + concurrency_ms + wait_ms,
            event_gap_ms: event_gap.predict([1.0, running]),
        })
    }
}

fn initial_coefficients<const N: usize>(previous: Option<Fit<N>>) -> [f64; N] {
    previous.map_or([0.0; N], |fit| fit.coefficients)
}
