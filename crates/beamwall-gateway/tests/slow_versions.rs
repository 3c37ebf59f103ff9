//! Detection of slow responses of a service version that is several times slower, during a rollout.
//!
//! Load: one response in twenty comes from the new version's few engines, each of which takes three or eight
//! times as long as those of the old version. Time is simulated.
//!
//! Guards against: a version that is eight times slower is detected as slow only for a moment. A response
//! counts as slow if it took several times the expected time. When that expectation includes the engine's own
//! slowness, as it does for the choice of an engine, it adapts: after four responses of an engine that is
//! eight times slower, four times the normal time was expected. Then only 3% and 12% of the responses counted
//! as slow; the rollout simulations assume 70% and 98%.

mod support;

use std::time::Duration;

use beamwall_engine_model::{BackendKind, FirstEventInputs, PrefillWork};
use beamwall_gateway::Choice;
use beamwall_gateway::candidates::BackendState;
use beamwall_model::BackendId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Engines of the new version that receive requests.
const NEW_ENGINES: usize = 5;
/// Engines of the old version.
const OLD_ENGINES: usize = 60;
/// Responses of the old version for each one of the new version.
const OLD_ANSWERS_PER_NEW: usize = 19;
/// Responses of the new version.
const NEW_ANSWERS: usize = 200;
/// Time between two responses.
const ANSWER_INTERVAL: Duration = Duration::from_millis(5);
/// Prompt tokens of each request.
const TOKENS: u64 = 4_000;

/// All engines of both versions.
fn listed_engines() -> impl Iterator<Item = (BackendId, BackendKind)> {
    let old = (0..OLD_ENGINES).map(|number| format!("old{number}"));
    let new = (0..NEW_ENGINES).map(|number| format!("new{number}"));
    let kind = BackendKind { service: "pool".into(), reclaimable: false };
    old.chain(new).map(move |engine| (BackendId::new(engine), kind.clone()))
}

struct Observer {
    backend_state: BackendState,
    random: SmallRng,
}

impl Observer {
    fn new(seed: u64, learn_speeds: bool) -> Self {
        let backend_state = BackendState::new(learn_speeds);
        backend_state.models.set_listed(listed_engines());
        support::add_peer_statistics(&backend_state.models, support::statistics_with_running_ms(0.0));
        Self { backend_state, random: SmallRng::seed_from_u64(seed) }
    }

    /// Simulates a response that takes `factor` times the normal time, with noise, and returns whether it
    /// counts as slow.
    async fn answer(&mut self, engine: &BackendId, factor: f64) -> bool {
        tokio::time::advance(ANSWER_INTERVAL).await;
        let now = Instant::now();
        let models = &self.backend_state.models;
        models.refresh(now);
        let inputs =
            FirstEventInputs { prefill: PrefillWork::of_uncached(0, TOKENS), tokens_ahead: 0, running: 0 };
        let slowness = models.slowness(engine);
        let usual_ms = models.estimates(&"pool".into()).first_event_ms(inputs).expect("a known service");
        let choice = Choice {
            backend: engine.clone(),
            cost_ms: 0.0,
            expected_ms: Some(usual_ms * slowness),
            slowness,
            prefill: inputs.prefill,
            tokens_ahead: 0,
            open_requests: 0,
            failure_share: 0.0,
            candidates: 1,
            chosen_by: "n0".into(),
        };
        let took_ms =
            (5.0 + support::prefill_ms(inputs.prefill)) * factor * self.random.random_range(0.8..1.3);
        models.record_first_event(&"pool".into(), engine, inputs, took_ms, now);
        choice.is_slow(took_ms)
    }
}

/// Percentages of slow responses of the new version, which takes `factor` times as long, and of the old
/// version.
async fn slow_shares(factor: f64, learn_speeds: bool) -> (f64, f64) {
    let mut observer = Observer::new(7, learn_speeds);
    let (mut slow_new, mut slow_old) = (0, 0);
    for number in 0..NEW_ANSWERS {
        for _ in 0..OLD_ANSWERS_PER_NEW {
            let engine = BackendId::new(format!("old{}", observer.random.random_range(0..OLD_ENGINES)));
            slow_old += u32::from(observer.answer(&engine, 1.0).await);
        }
        let engine = BackendId::new(format!("new{}", number % NEW_ENGINES));
        slow_new += u32::from(observer.answer(&engine, factor).await);
    }
    let share = |slow: u32, of: usize| 100.0 * f64::from(slow) / of as f64;
    (share(slow_new, NEW_ANSWERS), share(slow_old, NEW_ANSWERS * OLD_ANSWERS_PER_NEW))
}

#[tokio::test(start_paused = true)]
async fn a_slow_version_stays_slow_however_long_it_is_observed() {
    check_slow_version(false).await;
}

/// Guards against: the lasting speed of a slow version's engines becomes what is expected of the version.
#[tokio::test(start_paused = true)]
async fn a_slow_version_stays_slow_also_where_lasting_speeds_are_learnt() {
    check_slow_version(true).await;
}

async fn check_slow_version(learn_speeds: bool) {
    for (factor, least) in [(3.0, 70.0), (8.0, 98.0)] {
        let (new, old) = slow_shares(factor, learn_speeds).await;
        println!("{factor} times slower: {new:.0}% of its responses slow, {old:.1}% of the old version's");
        assert!(new >= least, "{factor} times slower: {new}% of responses count as slow");
        assert!(old <= 1.0, "{old}% of the old version's responses count as slow");
    }
}

#[tokio::test(start_paused = true)]
async fn a_version_that_is_as_fast_as_the_old_one_is_not_slow() {
    for learn_speeds in [false, true] {
        let (new, _) = slow_shares(1.0, learn_speeds).await;
        assert!(new <= 1.0, "{new}% of responses count as slow");
    }
}
