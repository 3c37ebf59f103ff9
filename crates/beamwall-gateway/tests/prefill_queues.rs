//! Prompts queued at engines that prefill the most urgent ones first.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_gateway::prefill_queues::PrefillQueues;
use beamwall_model::BackendId;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const URGENT: u8 = 0;
const LOWEST: u8 = 9;

fn engine() -> BackendId {
    "e0".into()
}

/// Guards against: under a backlog of long prompts of a low rank, an urgent short prompt is taken for late,
/// although the engine prefills it next.
#[test]
fn an_urgent_request_waits_for_the_current_prompt_only() {
    let (queues, now) = (PrefillQueues::default(), Instant::now());
    for _ in 0..10 {
        queues.add_with_rank(&engine(), LOWEST, 200.0, now);
    }
    let after = now + Duration::from_millis(50);
    assert!((queues.prefill_ahead_ms(&engine(), URGENT, after) - 150.0).abs() < 0.001);
    assert!((queues.prefill_ahead_ms(&engine(), LOWEST, after) - 1_950.0).abs() < 0.001);
    queues.add_with_rank(&engine(), URGENT, 30.0, after);
    assert!((queues.prefill_ahead_ms(&engine(), URGENT, after) - 180.0).abs() < 0.001);
    assert!((queues.prefill_ahead_ms(&engine(), LOWEST, after) - 1_980.0).abs() < 0.001);
}

/// Guards against: a rank outside the range, as another build may send, breaks the placement node.
#[test]
fn an_unknown_rank_counts_as_the_least_urgent() {
    let (queues, now) = (PrefillQueues::default(), Instant::now());
    queues.add_with_rank(&engine(), URGENT, 10.0, now);
    queues.add_with_rank(&engine(), u8::MAX, 10.0, now);
    assert!((queues.prefill_ahead_ms(&engine(), u8::MAX, now) - 20.0).abs() < 0.001);
    assert!((queues.prefill_ahead_ms(&engine(), URGENT, now) - 10.0).abs() < 0.001);
}

/// An engine that prefills one prompt after another, the most urgent first.
#[derive(Default)]
struct Engine {
    /// Numbers of waiting prompts by rank.
    waiting: BTreeMap<u8, u32>,
    current_ms: u64,
}

impl Engine {
    const PROMPT_MS: u64 = 20;

    fn add(&mut self, rank: u8) {
        *self.waiting.entry(rank).or_default() += 1;
        self.begin_next();
    }

    fn begin_next(&mut self) {
        if self.current_ms > 0 {
            return;
        }
        let next = self.waiting.iter_mut().find(|(_, prompts)| **prompts > 0);
        if let Some((_, prompts)) = next {
            *prompts -= 1;
            self.current_ms = Self::PROMPT_MS;
        }
    }

    fn advance(&mut self, elapsed_ms: u64) {
        for _ in 0..elapsed_ms {
            self.current_ms = self.current_ms.saturating_sub(1);
            self.begin_next();
        }
    }

    fn ahead_ms(&self, rank: u8) -> u64 {
        let prompts: u32 = self.waiting.range(..=rank).map(|(_, prompts)| prompts).sum();
        self.current_ms + u64::from(prompts) * Self::PROMPT_MS
    }
}

/// Whatever ranks arrive when, the wait is that of an engine that prefills the most urgent prompt first.
#[test]
fn the_wait_is_that_of_an_engine_that_reads_the_most_urgent_prompt_first() {
    on_seeds(300, |random| {
        let (queues, mut engine_model, mut now) =
            (PrefillQueues::default(), Engine::default(), Instant::now());
        for _ in 0..random.int_in_range(1..=60)? {
            let elapsed_ms = random.int_in_range(0..=45_u64)?;
            now += Duration::from_millis(elapsed_ms);
            engine_model.advance(elapsed_ms);
            let rank = random.int_in_range(URGENT..=LOWEST)?;
            engine_model.add(rank);
            queues.add_with_rank(&engine(), rank, Engine::PROMPT_MS as f64, now);
            for asked in URGENT..=LOWEST {
                let wait_ms = queues.prefill_ahead_ms(&engine(), asked, now);
                let exact_ms = engine_model.ahead_ms(asked) as f64;
                assert!((wait_ms - exact_ms).abs() < 0.01, "{wait_ms} instead of {exact_ms}");
            }
        }
        Ok(())
    });
}
