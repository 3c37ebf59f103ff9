//! A simulated engine of known speed, and a generator of random requests.

use beamwall_engine_model::{FirstEventInputs, PrefillWork};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Timing parameters of a simulated engine.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedEngine {
    /// Fixed overhead before prefill, in milliseconds.
    pub base_ms: f64,
    /// Prefill rate in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Milliseconds per million token pairs.
    pub pairs_ms_per_million: f64,
    /// Milliseconds that each running request adds to the time between two events.
    pub gap_ms_each: f64,
    /// Milliseconds between two events with no other request running.
    pub gap_ms: f64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

impl SimulatedEngine {
    /// Creates an engine `factor` times as fast as the reference engine.
    pub fn of_speed(factor: f64, slots: u32) -> Self {
        Self {
            base_ms: 20.0 / factor,
            tokens_per_ms: 60.0 * factor,
            pairs_ms_per_million: 0.2 / factor,
            gap_ms_each: 0.4 / factor,
            gap_ms: 20.0 / factor,
            slots,
        }
    }

    pub fn prefill_ms(&self, prefill: PrefillWork) -> f64 {
        prefill.tokens as f64 / self.tokens_per_ms + prefill.pairs as f64 / 1e6 * self.pairs_ms_per_million
    }

    pub fn first_event_ms(&self, event_inputs: FirstEventInputs) -> f64 {
        let ahead = PrefillWork { tokens: event_inputs.tokens_ahead, pairs: 0 };
        self.base_ms + self.prefill_ms(event_inputs.prefill) + self.prefill_ms(ahead)
    }

    pub fn event_gap_ms(&self, running: u32) -> f64 {
        self.gap_ms + self.gap_ms_each * f64::from(running)
    }
}

/// Generator of random requests, deterministic for a seed.
pub struct RequestGenerator {
    random: StdRng,
    slots: u32,
}

impl RequestGenerator {
    pub fn new(seed: u64, slots: u32) -> Self {
        Self { random: StdRng::seed_from_u64(seed), slots }
    }

    pub fn running(&mut self) -> u32 {
        self.random.random_range(0..self.slots)
    }

    /// Returns a request with a prompt of 200 to 20,000 tokens, mostly short; some wait behind other prompts.
    pub fn first_event(&mut self) -> FirstEventInputs {
        let unread = (200.0 * 100f64.powf(self.random.random::<f64>())) as u64;
        let kept = if self.random.random_bool(0.5) { unread / 2 } else { 0 };
        let tokens_ahead = if self.random.random_bool(0.3) { self.random.random_range(0..10_000) } else { 0 };
        FirstEventInputs {
            prefill: PrefillWork::of_uncached(kept, unread),
            tokens_ahead,
            running: self.running(),
        }
    }

    /// Adds measurement noise: up to a tenth either way, and one time in twenty is several times as long.
    pub fn with_noise(&mut self, exact_ms: f64) -> f64 {
        let usual = exact_ms * self.random.random_range(0.9..1.1);
        if self.random.random_bool(0.05) { usual * self.random.random_range(2.0..8.0) } else { usual }
    }
}
