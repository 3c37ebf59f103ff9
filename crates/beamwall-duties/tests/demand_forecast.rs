//! Forecasts of demand by its trend.

use std::time::Duration;

use beamwall_duties::DemandForecast;
use beamwall_engine_model::Workload;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const POLL: Duration = Duration::from_millis(250);
const BOOT: Duration = Duration::from_secs(4);
/// Time since the first request: the moving average has settled.
const SINCE_START: Duration = Duration::from_secs(60);
/// Largest forecast, as a multiple of the demand.
const MAX_GROWTH: f64 = 1.5;
/// Tolerance of rounding.
const ROUNDING: f64 = 1e-6;

fn requests(requests: f64) -> Workload {
    Workload { requests, ..Workload::default() }
}

/// The demands that are planned for, for those measured at each poll.
fn forecasts(demands: &[f64]) -> Vec<f64> {
    let begin = Instant::now();
    let mut forecast = DemandForecast::default();
    let mut update = |(poll, demand): (usize, &f64)| {
        let now = begin + POLL * poll as u32;
        let expected = forecast.update(requests(*demand), SINCE_START + POLL * poll as u32, BOOT, now);
        expected.map_or(*demand, |expected| expected.requests)
    };
    demands.iter().enumerate().map(&mut update).collect()
}

/// Guards against: engines are ordered for a rise that is a random fluctuation of a steady load.
#[test]
fn a_steady_demand_is_expected_to_stay() {
    on_seeds(500, |random| {
        let rate = f64::from(random.int_in_range(5..=50_000_u32)?);
        let mut mean = rate;
        let mut demands = Vec::new();
        for _ in 0..60 {
            let noise = (f64::from(random.int_in_range(0..=2_000_u32)?) / 1_000.0 - 1.0) * 3.0_f64.sqrt();
            let arriving = rate + noise * (rate * POLL.as_secs_f64()).sqrt() / POLL.as_secs_f64();
            mean += (arriving - mean) * (1.0 - (-POLL.as_secs_f64() / 2.0).exp());
            demands.push(mean);
        }
        let largest = demands.iter().copied().fold(0.0, f64::max);
        let expected = forecasts(&demands).into_iter().fold(0.0, f64::max);
        assert!(expected <= largest, "{expected} is expected of at most {largest}");
        Ok(())
    });
}

/// Guards against: the demand rises 2.4 times over seven seconds, and engines are ordered only for what is
/// measured, two seconds behind.
#[test]
fn a_rise_is_followed_ahead_by_a_bounded_factor() {
    let demand_at = |seconds: f64| 600.0 * (1.0 + 1.4 * (seconds / 7.0).clamp(0.0, 1.0));
    // The moving average lags by two seconds.
    let measured: Vec<f64> = (0..40).map(|poll| demand_at(f64::from(poll) * 0.25 - 2.0)).collect();
    let expected = forecasts(&measured);
    // From the second in which the trend is known until the rise ends.
    for (poll, expected) in expected.iter().enumerate().take(4 * 7).skip(4 * 4) {
        let now = demand_at(poll as f64 * 0.25);
        assert!(*expected >= now, "{expected} is expected at poll {poll}, {now} arrive");
    }
    let bounded =
        measured.iter().zip(&expected).all(|(demand, expected)| *expected <= demand * MAX_GROWTH + ROUNDING);
    assert!(bounded, "{expected:?} of {measured:?}");
}

/// Guards against: engines ordered for a rise that has ended are kept for the rest of the day.
#[test]
fn a_forecast_ends_with_the_boot_time() {
    let rise = (0..20).map(|poll| 600.0 + 30.0 * f64::from(poll));
    let demands: Vec<f64> = rise.chain(std::iter::repeat_n(1_170.0, 40)).collect();
    let expected = forecasts(&demands);
    assert!(expected[19] > 1_170.0, "the rise is expected to go on");
    assert!(expected[50..].iter().all(|expected| *expected <= 1_170.0), "{expected:?}");
}
