//! What was observed of the back ends of one service.

use crate::estimates::ServiceEstimates;
use crate::regression::Regression;

/// Tokens in the unit in which regressions count them, so that all features are about 1.
const TOKEN_SCALE: f64 = 1_000.0;
/// The same for pairs of a prompt's token with one before it.
const PAIR_SCALE: f64 = 1e8;
/// Times below this are not measured more exactly by the network and the timers, in milliseconds.
const TIMING_RESOLUTION_MS: f64 = 5.0;
/// A sample this many deviations from what was expected counts less, in proportion: it waited for something that the
/// features don't tell.
const OUTLIER_DEVIATIONS: f64 = 1.5;
/// Deviation, as a part of the expected time, that is assumed until one was observed.
const DEFAULT_DEVIATION: f64 = 0.5;
/// Samples from which expected times are given: enough to tell a loaded engine from an idle one.
const MIN_ESTIMATE_SAMPLES: f64 = 30.0;
/// Samples from which the number of back ends is planned. The first to come after a start under load are the quick
/// ones, and tell of engines that are faster than they are.
const MIN_SIZING_SAMPLES: f64 = 150.0;

/// What of a prompt must be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens that are not kept.
    pub tokens: u64,
    /// Pairs of such a token with one before it: each token is compared with all before it, so the later ones of a
    /// long prompt take longer.
    pub pairs: u64,
}

impl PrefillWork {
    /// PrefillWork the rest of a prompt of which `kept` tokens are kept.
    pub fn of_uncached(cached: u64, uncached: u64) -> Self {
        Self { tokens: uncached, pairs: uncached * (cached + uncached / 2) }
    }
}

/// What the time to a request's first event depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstEventInputs {
    /// What of its prompt must be read.
    pub prefill: PrefillWork,
    /// Tokens of other prompts that are read before.
    pub tokens_ahead: u64,
    /// Requests that run beside it.
    pub running: u32,
}

impl FirstEventInputs {
    /// What the regression of the time to the first event is fitted to.
    pub(crate) fn features(self) -> [f64; 5] {
        [
            1.0,
            self.prefill.tokens as f64 / TOKEN_SCALE,
            self.prefill.pairs as f64 / PAIR_SCALE,
            self.tokens_ahead as f64 / TOKEN_SCALE,
            f64::from(self.running),
        ]
    }
}

/// Sums over what a node observed of the back ends of one service. Sums of several nodes are added.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceStatistics {
    /// Time to the first event, in milliseconds.
    pub(crate) first_event: Regression<5>,
    /// Time between two events, in milliseconds, by the requests that run.
    pub(crate) event_gap: Regression<2>,
    /// Time of a plain call, in milliseconds, by the requests that run.
    pub(crate) plain_call: Regression<2>,
    /// Time of a whole stream from its first event, in milliseconds.
    pub(crate) stream: Regression<1>,
}

impl ServiceStatistics {
    /// Notes the time to a first event; `estimates` is what was expected of the service before.
    pub fn record_first_event(
        &mut self,
        inputs: FirstEventInputs,
        took_ms: f64,
        estimates: &ServiceEstimates,
    ) {
        let expected = estimates.first_event_ms(inputs);
        let (variance, robust_weight) =
            variance_and_robust_weight(took_ms, expected, estimates.first_event_deviation());
        self.first_event.add(inputs.features(), took_ms, variance, robust_weight);
    }

    /// Notes the mean time between two events of a stream while `running` requests ran.
    pub fn record_event_gap(&mut self, running: u32, took_ms: f64, estimates: &ServiceEstimates) {
        let expected = estimates.event_gap_ms(running);
        let (variance, robust_weight) =
            variance_and_robust_weight(took_ms, expected, estimates.event_gap_deviation());
        self.event_gap.add([1.0, f64::from(running)], took_ms, variance, robust_weight);
    }

    /// Notes the time of a plain call beside `running` others.
    pub fn record_plain_call(&mut self, running: u32, took_ms: f64) {
        let (variance, robust_weight) = variance_and_robust_weight(took_ms, None, None);
        self.plain_call.add([1.0, f64::from(running)], took_ms, variance, robust_weight);
    }

    /// Notes the time of a whole stream from its first event.
    pub fn record_stream(&mut self, took_ms: f64) {
        self.stream.add([1.0], took_ms, 1.0, 1.0);
    }

    /// Adds what another node observed.
    pub fn merge(&mut self, other: &Self) {
        self.first_event.merge(&other.first_event);
        self.event_gap.merge(&other.event_gap);
        self.plain_call.merge(&other.plain_call);
        self.stream.merge(&other.stream);
    }

    /// The same sums as if of at most so many samples, so that what is observed from now on soon outweighs them.
    pub fn limited_to(self, samples: f64) -> Self {
        Self {
            first_event: self.first_event.limited_to(samples),
            event_gap: self.event_gap.limited_to(samples),
            plain_call: self.plain_call.limited_to(samples),
            stream: self.stream.limited_to(samples),
        }
    }

    /// What the sums say.
    pub fn estimates(&self) -> ServiceEstimates {
        self.estimates_after(&ServiceEstimates::default())
    }

    /// What the sums say, found the sooner the less it differs from what they said `before`.
    pub fn estimates_after(&self, previous: &ServiceEstimates) -> ServiceEstimates {
        ServiceEstimates::new(self, previous)
    }

    /// The sums as a list of numbers, to be told to other nodes.
    pub fn to_numbers(&self) -> Vec<f64> {
        let models = self.first_event.to_numbers().into_iter().chain(self.event_gap.to_numbers());
        models.chain(self.plain_call.to_numbers()).chain(self.stream.to_numbers()).collect()
    }

    /// The sums from such a list; `None` when it is not one.
    pub fn from_numbers(numbers: &[f64]) -> Option<Self> {
        let (first_event, rest) = numbers.split_at_checked(Regression::<5>::encoded_len())?;
        let (event_gap, rest) = rest.split_at_checked(Regression::<2>::encoded_len())?;
        let (plain_call, stream) = rest.split_at_checked(Regression::<2>::encoded_len())?;
        Some(Self {
            first_event: Regression::from_numbers(first_event)?,
            event_gap: Regression::from_numbers(event_gap)?,
            plain_call: Regression::from_numbers(plain_call)?,
            stream: Regression::from_numbers(stream)?,
        })
    }
}

/// The variance expected of a sample, and how much it says: errors are in proportion to the time expected, and an
/// outlier says less.
fn variance_and_robust_weight(took_ms: f64, expected_ms: Option<f64>, deviation: Option<f64>) -> (f64, f64) {
    let scale = expected_ms.unwrap_or(took_ms) + TIMING_RESOLUTION_MS;
    let robust_weight = expected_ms.map_or(1.0, |expected| {
        let error = (took_ms - expected).abs() / scale;
        let allowed = OUTLIER_DEVIATIONS * deviation.unwrap_or(DEFAULT_DEVIATION);
        if error <= allowed { 1.0 } else { allowed / error }
    });
    (scale * scale, robust_weight)
}

/// Whether there are enough samples for expected times.
pub(crate) fn is_enough_to_estimate(samples: f64) -> bool {
    samples >= MIN_ESTIMATE_SAMPLES
}

/// Whether there are enough samples for a plan.
pub(crate) fn is_enough_to_size(samples: f64) -> bool {
    samples >= MIN_SIZING_SAMPLES
}

/// Milliseconds a token and a pair of tokens, from the coefficients of the time to a first event.
pub(crate) fn prefill_ms(coefficients: &[f64; 5], prefill: PrefillWork) -> f64 {
    coefficients[1] * prefill.tokens as f64 / TOKEN_SCALE
        + coefficients[2] * prefill.pairs as f64 / PAIR_SCALE
}
