//! Statistics of the back ends of one service.

use crate::estimates::ServiceEstimates;
use crate::regression::Regression;

/// Unit of token counts in regression features, so that all features are about 1.
const TOKEN_SCALE: f64 = 1_000.0;
/// Unit of token pairs in regression features.
const PAIR_SCALE: f64 = 1e8;
/// Resolution of network and timer measurements, in milliseconds.
const TIMING_RESOLUTION_MS: f64 = 5.0;
/// Number of deviations from the estimate beyond which a sample's weight falls in proportion: it was delayed
/// by a cause that the features don't cover.
const OUTLIER_DEVIATIONS: f64 = 1.5;
/// Relative deviation assumed before one is observed.
const DEFAULT_DEVIATION: f64 = 0.5;
/// Samples required for estimates: enough to distinguish a loaded engine from an idle one.
const MIN_ESTIMATE_SAMPLES: f64 = 30.0;
/// Samples required to compute the number of back ends. After a start under load, the fastest requests finish
/// first and make engines look faster than they are.
const MIN_SIZING_SAMPLES: f64 = 150.0;

/// Prefill work of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens that are not in the KV cache.
    pub tokens: u64,
    /// Pairs of an uncached token with an earlier one: attention compares each token with all before it, so
    /// the later tokens of a long prompt take longer.
    pub pairs: u64,
}

impl PrefillWork {
    /// Returns the prefill work of a prompt's `uncached` tokens that follow `cached` ones.
    pub fn of_uncached(cached: u64, uncached: u64) -> Self {
        Self { tokens: uncached, pairs: uncached * (cached + uncached / 2) }
    }
}

/// Inputs of the model of the time to a request's first event.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstEventInputs {
    /// Prefill work of the request's own prompt.
    pub prefill: PrefillWork,
    /// Tokens of other prompts that are queued for prefill before it.
    pub tokens_ahead: u64,
    /// Number of requests that run concurrently.
    pub running: u32,
}

impl FirstEventInputs {
    /// Returns the regression features of the time to the first event.
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

/// Sums over the observations of one service's back ends. Sums of several nodes are additive.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceStatistics {
    /// Time to the first event, in milliseconds.
    pub(crate) first_event: Regression<5>,
    /// Time between two events, in milliseconds, by the number of running requests.
    pub(crate) event_gap: Regression<2>,
    /// Duration of a plain call, in milliseconds, by the number of running requests.
    pub(crate) plain_call: Regression<2>,
    /// Duration of a stream from its first event, in milliseconds.
    pub(crate) stream: Regression<1>,
}

impl ServiceStatistics {
    /// Records the time to a first event; `estimates` are the previous estimates of the service.
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

    /// Records the mean time between two events of a stream with `running` concurrent requests.
    pub fn record_event_gap(&mut self, running: u32, took_ms: f64, estimates: &ServiceEstimates) {
        let expected = estimates.event_gap_ms(running);
        let (variance, robust_weight) =
            variance_and_robust_weight(took_ms, expected, estimates.event_gap_deviation());
        self.event_gap.add([1.0, f64::from(running)], took_ms, variance, robust_weight);
    }

    /// Records the duration of a plain call beside `running` other requests.
    pub fn record_plain_call(&mut self, running: u32, took_ms: f64) {
        let (variance, robust_weight) = variance_and_robust_weight(took_ms, None, None);
        self.plain_call.add([1.0, f64::from(running)], took_ms, variance, robust_weight);
    }

    /// Records the duration of a stream from its first event.
    pub fn record_stream(&mut self, took_ms: f64) {
        self.stream.add([1.0], took_ms, 1.0, 1.0);
    }

    /// Adds the sums of another node.
    pub fn merge(&mut self, other: &Self) {
        self.first_event.merge(&other.first_event);
        self.event_gap.merge(&other.event_gap);
        self.plain_call.merge(&other.plain_call);
        self.stream.merge(&other.stream);
    }

    /// Scales the sums down to at most `samples` samples, so that new observations soon outweigh them.
    pub fn limited_to(self, samples: f64) -> Self {
        Self {
            first_event: self.first_event.limited_to(samples),
            event_gap: self.event_gap.limited_to(samples),
            plain_call: self.plain_call.limited_to(samples),
            stream: self.stream.limited_to(samples),
        }
    }

    /// Fits estimates to the sums.
    pub fn estimates(&self) -> ServiceEstimates {
        self.estimates_after(&ServiceEstimates::default())
    }

    /// Fits estimates to the sums, starting from the `previous` ones; the fit converges faster the closer
    /// they are.
    pub fn estimates_after(&self, previous: &ServiceEstimates) -> ServiceEstimates {
        ServiceEstimates::new(self, previous)
    }

    /// Encodes the sums as a list of numbers, to be sent to other nodes.
    pub fn to_numbers(&self) -> Vec<f64> {
        let models = self.first_event.to_numbers().into_iter().chain(self.event_gap.to_numbers());
        models.chain(self.plain_call.to_numbers()).chain(self.stream.to_numbers()).collect()
    }

    /// Decodes the sums; `None` if the list is invalid.
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

/// Returns a sample's expected variance and its robust weight: errors are proportional to the expected time,
/// and an outlier has less weight.
fn variance_and_robust_weight(took_ms: f64, expected_ms: Option<f64>, deviation: Option<f64>) -> (f64, f64) {
    let scale = expected_ms.unwrap_or(took_ms) + TIMING_RESOLUTION_MS;
    let robust_weight = expected_ms.map_or(1.0, |expected| {
        let error = (took_ms - expected).abs() / scale;
        let allowed = OUTLIER_DEVIATIONS * deviation.unwrap_or(DEFAULT_DEVIATION);
        if error <= allowed { 1.0 } else { allowed / error }
    });
    (scale * scale, robust_weight)
}

/// Returns whether there are enough samples for estimates.
pub(crate) fn is_enough_to_estimate(samples: f64) -> bool {
    samples >= MIN_ESTIMATE_SAMPLES
}

/// Returns whether there are enough samples to compute the number of back ends.
pub(crate) fn is_enough_to_size(samples: f64) -> bool {
    samples >= MIN_SIZING_SAMPLES
}

/// Returns the prefill time in milliseconds from the coefficients of the time to the first event.
pub(crate) fn prefill_ms(coefficients: &[f64; 5], prefill: PrefillWork) -> f64 {
    coefficients[1] * prefill.tokens as f64 / TOKEN_SCALE
        + coefficients[2] * prefill.pairs as f64 / PAIR_SCALE
}
