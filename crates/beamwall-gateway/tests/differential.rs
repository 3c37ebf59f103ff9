//! Differential test of the choice by learnt estimates against an oracle that knows the engines' actual
//! speed.
//!
//! Random prompts arrive at engines that prefill them one after another. For each prompt, the engine chosen
//! by estimates from noisy observations is compared with the one that would actually respond first.

mod support;

use beamwall_engine_model::{FirstEventInputs, PrefillWork, ServiceEstimates, ServiceStatistics};
use beamwall_gateway::choice::{Candidate, Expectation, choose};
use beamwall_gateway::health::HealthView;
use beamwall_gateway::load::OpenLoad;
use beamwall_seeds::on_seeds;

/// Engine speeds, relative to the engines of the test support.
const SPEED_FACTORS: [f64; 4] = [0.2, 0.6, 1.5, 5.0];
/// Largest excess of the total start delay over that of the best engines, in one run of arrivals.
const MAX_EXCESS: f64 = 0.05;
const REQUESTS: usize = 60;

/// Actual prefill time at engines that are `factor` times as fast.
fn prefill_ms(prefill: PrefillWork, factor: f64) -> f64 {
    support::prefill_ms(prefill) / factor
}

/// Estimates learnt from 200 noisy observations of such engines.
fn learnt_estimates(factor: f64) -> ServiceEstimates {
    let mut statistics = ServiceStatistics::default();
    let mut known = statistics.estimates();
    for number in 0..200_u64 {
        if number % 10 == 0 {
            known = statistics.estimates();
        }
        let inputs = FirstEventInputs {
            prefill: PrefillWork::of_uncached((number % 3) * 500, 1 + number * 7_919 % 20_000),
            tokens_ahead: number * 104_729 % 15_000,
            running: (number % 24) as u32,
        };
        let ahead_ms = prefill_ms(PrefillWork { tokens: inputs.tokens_ahead, pairs: 0 }, factor);
        let actual_ms = 5.0 + prefill_ms(inputs.prefill, factor) + ahead_ms;
        // Up to 10% of noise, and every twentieth request takes four times as long.
        let noise = 0.9 + (number * 31 % 21) as f64 / 100.0;
        let outlier = if number % 20 == 7 { 4.0 } else { 1.0 };
        statistics.record_first_event(inputs, actual_ms * noise * outlier, &known);
        statistics.record_event_gap(inputs.running, 20.0 / factor, &known);
    }
    statistics.estimates()
}

/// Engines that prefill one prompt after another.
struct Engines {
    free_at_ms: Vec<f64>,
    /// Sessions whose prompt prefix each engine has cached.
    cached_sessions: Vec<Vec<u64>>,
    factor: f64,
}

impl Engines {
    fn new(count: usize, factor: f64) -> Self {
        Self { free_at_ms: vec![0.0; count], cached_sessions: vec![Vec::new(); count], factor }
    }

    fn prefill(&self, engine: usize, session: u64, tokens: u64) -> PrefillWork {
        let cached = if self.cached_sessions[engine].contains(&session) { tokens / 2 } else { 0 };
        PrefillWork::of_uncached(cached, tokens - cached)
    }

    /// Time from now until the engine would start to respond.
    fn start_delay_ms(&self, engine: usize, session: u64, tokens: u64, now_ms: f64) -> f64 {
        let wait_ms = (self.free_at_ms[engine] - now_ms).max(0.0);
        wait_ms + prefill_ms(self.prefill(engine, session, tokens), self.factor)
    }

    fn assign(&mut self, engine: usize, session: u64, tokens: u64, now_ms: f64) -> f64 {
        let delay_ms = self.start_delay_ms(engine, session, tokens, now_ms);
        self.free_at_ms[engine] = now_ms + delay_ms;
        self.cached_sessions[engine].push(session);
        delay_ms
    }

    /// The engine chosen by the learnt estimates.
    fn choose(&self, estimates: &ServiceEstimates, session: u64, tokens: u64, now_ms: f64) -> usize {
        let speed = estimates.tokens_per_ms().expect("known");
        let candidate = |engine: usize| Candidate {
            backend: format!("{engine}").as_str().into(),
            same_zone: true,
            slots: 128,
            load: OpenLoad {
                requests: 0,
                prompt_tokens: ((self.free_at_ms[engine] - now_ms).max(0.0) * speed) as u64,
            },
            prefill: Some(self.prefill(engine, session, tokens)),
            slowness: 1.0,
            health: HealthView::default(),
        };
        let candidates: Vec<Candidate> = (0..self.free_at_ms.len()).map(candidate).collect();
        let expectation = Expectation { estimates, pause_objective_ms: None };
        let (chosen, _) = choose(&candidates, &expectation).expect("an engine");
        chosen.backend.as_str().parse().expect("a number")
    }

    /// Time until the best engine would start to respond.
    fn earliest_start_ms(&self, session: u64, tokens: u64, now_ms: f64) -> f64 {
        let delay_ms =
            (0..self.free_at_ms.len()).map(|engine| self.start_delay_ms(engine, session, tokens, now_ms));
        delay_ms.fold(f64::INFINITY, f64::min)
    }
}

#[test]
fn the_learnt_choice_is_nearly_as_good_as_an_oracle() {
    for factor in SPEED_FACTORS {
        let estimates = learnt_estimates(factor);
        on_seeds(2_000, |random| {
            let count = random.int_in_range(2..=8_usize)?;
            let mut engines = Engines::new(count, factor);
            let (mut now_ms, mut chosen_ms, mut best_ms) = (0.0, 0.0, 0.0);
            for _ in 0..REQUESTS {
                let tokens = u64::from(random.int_in_range(100..=16_000_u32)?);
                let session = u64::from(random.int_in_range(0..=9_u32)?);
                now_ms += f64::from(random.int_in_range(0..=400_u32)?) / factor / count as f64;
                best_ms += engines.earliest_start_ms(session, tokens, now_ms);
                let chosen = engines.choose(&estimates, session, tokens, now_ms);
                chosen_ms += engines.assign(chosen, session, tokens, now_ms);
            }
            assert!(
                chosen_ms <= best_ms * (1.0 + MAX_EXCESS),
                "{chosen_ms:.0} instead of {best_ms:.0} ms at {count} engines of speed {factor}"
            );
            Ok(())
        });
    }
}
