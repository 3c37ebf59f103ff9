//! The timing model of an engine. docs/LAB.md gives the source of each constant.

use std::time::Duration;

/// How long an engine takes, before scaling.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTiming {
    /// Fixed part of one batch step.
    pub step_base: Duration,
    /// Added to a step for each decoding sequence.
    pub step_per_sequence: Duration,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: f64,
    /// Prompt tokens computed in one step at most.
    pub prefill_chunk_tokens: u32,
    /// Sequences in the batch at most.
    pub max_batch: usize,
    /// Tokens of KV cache kept for prefixes.
    pub cache_capacity_tokens: u32,
    /// KV tokens exported or imported a second.
    pub transfer_tokens_per_second: f64,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Divides every time above; 1 is real time.
    pub speed: f64,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            step_base: Duration::from_micros(18_000),
            step_per_sequence: Duration::from_micros(250),
            prefill_tokens_per_second: 8_000.0,
            prefill_chunk_tokens: 1_024,
            max_batch: 32,
            cache_capacity_tokens: 120_000,
            transfer_tokens_per_second: 100_000.0,
            load_lag: Duration::from_millis(500),
            speed: 1.0,
        }
    }
}

impl EngineTiming {
    /// The same model run faster.
    pub fn at_speed(speed: f64) -> Self {
        Self { speed, ..Self::default() }
    }

    /// Length of a step that decodes `sequences` and computes `prefill_tokens`.
    pub fn step(&self, sequences: usize, prefill_tokens: u32) -> Duration {
        let decode = self.step_base + self.step_per_sequence * u32::try_from(sequences).unwrap_or(u32::MAX);
        let prefill = f64::from(prefill_tokens) / self.prefill_tokens_per_second;
        (decode + Duration::from_secs_f64(prefill)).div_f64(self.speed)
    }

    /// Time to export or import KV cache of `tokens`.
    pub fn transfer(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.transfer_tokens_per_second / self.speed)
    }
}
