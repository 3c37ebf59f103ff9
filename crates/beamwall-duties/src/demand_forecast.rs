//! Forecasts demand by its trend, so that back ends are ordered before a rise needs them.
//!
//! Only a rise that exceeds what random arrivals cause counts, and the growth is bounded: a forecast that is
//! too high costs idle back ends, and a rise rarely lasts for the whole horizon.

use std::collections::VecDeque;
use std::time::Duration;

use beamwall_engine_model::Workload;
use beamwall_gateway::demand::AVERAGING_TIME;
use tokio::time::Instant;

/// Period over which the trend is measured.
const TREND_WINDOW: Duration = Duration::from_secs(2);
/// Shortest period from which a trend is derived.
const MIN_TREND_SPAN: Duration = Duration::from_millis(1_500);
/// Typical delay of the demand reported by other nodes.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Rise that counts as a trend, in standard deviations of random arrivals.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Largest forecast, as a multiple of the measured demand.
const MAX_GROWTH: f64 = 1.5;
/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Sample {
    work: Workload,
    at: Instant,
}

/// Factor that corrects a moving average which began `age` ago at zero. Without it the start of a steady
/// demand would look like a rise.
fn correction(age: Duration) -> f64 {
    let averaged = age.saturating_sub(REPORT_DELAY).max(REPORT_DELAY);
    1.0 / (1.0 - (-averaged.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp())
}

/// Forecast of the demand for one service.
#[derive(Debug, Default)]
pub struct DemandForecast {
    samples: VecDeque<Sample>,
    /// The largest recent forecast of a rise. It is kept for the horizon: back ends ordered for it need that time to
    /// boot, and releasing them before would be an order without a use.
    held: Option<Sample>,
}

impl DemandForecast {
    /// Records the measured demand, `age` after the first request, and returns the demand expected at `horizon`
    /// from now if it rises.
    pub fn update(
        &mut self,
        measured: Workload,
        age: Duration,
        horizon: Duration,
        now: Instant,
    ) -> Option<Workload> {
        let work = measured * correction(age);
        self.record(Sample { work, at: now });
        self.held = self.held.filter(|held| now.saturating_duration_since(held.at) < horizon);
        let growth = self.growth(horizon);
        let held = self.held.map_or(0.0, |held| held.work.requests);
        if growth > 1.0 && work.requests * growth >= held {
            self.held = Some(Sample { work: work * growth, at: now });
        }
        self.held.map(|held| held.work)
    }

    fn record(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        let is_old = |oldest: &Sample| sample.at.saturating_duration_since(oldest.at) > TREND_WINDOW;
        while self.samples.len() > MAX_SAMPLES || self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Ratio of the demand expected at `horizon` to the newest sample; at least 1.
    fn growth(&self, horizon: Duration) -> f64 {
        let (Some(oldest), Some(newest)) = (self.samples.front(), self.samples.back()) else { return 1.0 };
        let span = newest.at.saturating_duration_since(oldest.at);
        if span < MIN_TREND_SPAN {
            return 1.0;
        }
        let rate = newest.work.requests;
        let rise = rate - oldest.work.requests;
        let deviation = (rate * span.as_secs_f64()).sqrt() / span.as_secs_f64();
        if rise <= SIGNIFICANT_DEVIATIONS * deviation {
            return 1.0;
        }
        let rise_per_second = rise / span.as_secs_f64();
        // The moving average lags behind a rise by its time constant.
        let ahead = (horizon + AVERAGING_TIME).as_secs_f64();
        (1.0 + rise_per_second * ahead / rate).min(MAX_GROWTH)
    }
}
