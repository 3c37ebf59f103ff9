//! Placement on behalf of all nodes, compared with the actual queues of the engines.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_engine_model::PrefillWork;
use beamwall_gateway::allowed_versions::AllowedVersions;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::{Expectation, choose};
use beamwall_gateway::health::HealthTracker;
use beamwall_gateway::placement::PrefillQueues;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::{Directory, Prompt, PromptPart};
use beamwall_model::BackendId;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

/// Concurrent requests per engine.
const SLOTS: u32 = 128;

fn directory(engines: usize) -> Directory {
    support::directory(engines, SLOTS)
}

/// A prompt of one part that no other request shares.
fn unique_prompt(tokens: u32, number: u64) -> Prompt {
    Prompt { prompt_tokens: tokens, output_tokens: 10, parts: vec![PromptPart { id: number, tokens }] }
}

/// State of the back ends at a node that has received the engines' statistics.
fn backend_state() -> BackendState {
    let backend_state = BackendState::default();
    support::add_peer_statistics(&backend_state.models, support::typical_statistics());
    backend_state
}

/// Time that an engine needs to prefill a whole prompt.
fn prefill_ms(tokens: u64) -> f64 {
    support::prefill_ms(PrefillWork::of_uncached(0, tokens))
}

fn place(
    backend_state: &BackendState,
    directory: &Directory,
    prompt: &Prompt,
    avoided: &[BackendId],
) -> BackendId {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(prompt),
        group: EngineGroup::WHOLE,
        rank: 0,
        avoided,

        versions: &AllowedVersions::All,
        by: ChosenBy::PlacementNode,
    };
    let candidates = backend_state.candidates(directory, search);
    let estimates = backend_state.models.estimates(search.service);
    let expectation = Expectation { estimates: &estimates, pause_objective_ms: None };
    choose(&candidates, &expectation).expect("an engine").0.backend.clone()
}

#[test]
fn prompts_placed_at_one_engine_are_prefilled_one_after_another() {
    let queues = PrefillQueues::default();
    let (engine, now) = (BackendId::from("e0"), Instant::now());
    queues.add(&engine, 100.0, now);
    queues.add(&engine, 100.0, now);
    assert!((queues.prefill_left_ms(&engine, now) - 200.0).abs() < 0.001);
    let later = now + Duration::from_millis(150);
    assert!((queues.prefill_left_ms(&engine, later) - 50.0).abs() < 0.001);
    assert_eq!(queues.prefill_left_ms(&engine, now + Duration::from_secs(1)), 0.0);
    queues.retain(|_| false);
    assert_eq!(queues.prefill_left_ms(&engine, now), 0.0);
}

/// Guards against: in a large deployment nodes report their open requests up to a second late, and until then
/// the placement node sends one request after another to the engine that looks idle.
#[test]
fn placed_requests_count_as_open_until_they_are_reported() {
    let queues = PrefillQueues::default();
    let (engine, now) = (BackendId::from("e0"), Instant::now());
    queues.add(&engine, 1.0, now);
    queues.add(&engine, 1.0, now + Duration::from_millis(300));
    assert_eq!(queues.unreported_requests(&engine, now + Duration::from_millis(300)), 2);
    assert_eq!(queues.unreported_requests(&engine, now + Duration::from_millis(700)), 1);
    assert_eq!(queues.unreported_requests(&"e1".into(), now), 0);
    // The prompts take no time to prefill, so the engines differ only in their running requests.
    let (directory, backend_state) = (directory(2), backend_state());
    let first = place(&backend_state, &directory, &unique_prompt(1, 1), &[]);
    (0..3).for_each(|_| backend_state.queues.add(&first, 0.0, Instant::now()));
    assert_ne!(place(&backend_state, &directory, &unique_prompt(1, 2), &[]), first);
}

/// Whatever requests arrive, the chosen engine is the one that is actually free first.
#[test]
fn the_engine_that_is_free_first_is_chosen() {
    on_seeds(2_000, |random| {
        let engines = random.int_in_range(1..=12_usize)?;
        let (directory, backend_state) = (directory(engines), BackendState::default());
        // In this simulation the time to first event depends only on the queued prefill work.
        support::add_peer_statistics(&backend_state.models, support::statistics_with_running_ms(0.0));
        let mut free_at_ms: HashMap<BackendId, f64> = HashMap::new();
        let start = Instant::now();
        for number in 0..random.int_in_range(1..=40_u64)? {
            let prompt = unique_prompt(random.int_in_range(32..=20_000)?, number);
            let now = Instant::now();
            let now_ms = now.duration_since(start).as_secs_f64() * 1_000.0;
            let wait_ms =
                |engine: &BackendId| (free_at_ms.get(engine).copied().unwrap_or(0.0) - now_ms).max(0.0);
            let chosen = place(&backend_state, &directory, &prompt, &[]);
            let shortest_wait_ms =
                directory.backends().map(|backend| wait_ms(&backend.id)).fold(f64::MAX, f64::min);
            // Queues are known in whole tokens and drain while the test runs.
            assert!(
                wait_ms(&chosen) <= shortest_wait_ms + 1.0,
                "{} instead of {shortest_wait_ms}",
                wait_ms(&chosen)
            );
            let prefill_ms = prefill_ms(u64::from(prompt.prompt_tokens));
            backend_state.queues.add(&chosen, prefill_ms, now);
            let begin = now_ms + wait_ms(&chosen);
            free_at_ms.insert(chosen, begin + prefill_ms);
        }
        Ok(())
    });
}

#[test]
fn avoided_engines_are_not_chosen() {
    let (directory, backend_state) = (directory(2), backend_state());
    for number in 0..10 {
        let chosen = place(&backend_state, &directory, &unique_prompt(100, number), &["e0".into()]);
        assert_eq!(chosen.as_str(), "e1");
    }
}

#[test]
fn unreachable_engines_are_reported_for_a_short_time() {
    let (health, now) = (HealthTracker::default(), Instant::now());
    health.note_unreachable(&"e0".into(), now);
    health.note(&"e1".into(), true, now);
    assert_eq!(health.unreachable(now), vec![BackendId::from("e0")]);
    assert!(health.unreachable(now + Duration::from_secs(2)).is_empty());
}

#[test]
fn the_end_of_a_long_prompt_takes_longer_to_prefill() {
    assert_eq!(PrefillWork::of_uncached(0, 500), PrefillWork { tokens: 500, pairs: 125_000 });
    assert_eq!(PrefillWork::of_uncached(6_000, 0), PrefillWork::default());
    assert_eq!(PrefillWork::of_uncached(6_000, 3_000), PrefillWork { tokens: 3_000, pairs: 22_500_000 });
    let estimates = support::typical_statistics().estimates();
    for (cached, uncached) in [(0, 500), (6_000, 3_000), (0, 15_000)] {
        let prefill = PrefillWork::of_uncached(cached, uncached);
        let (estimated, actual) =
            (estimates.prefill_ms(prefill).expect("known"), support::prefill_ms(prefill));
        assert!((estimated / actual - 1.0).abs() < 0.05, "{estimated} instead of {actual} for {prefill:?}");
    }
}

/// Guards against: counted by tokens alone, one prompt of 20,000 looks as long as two of 10,000, and the next
/// request waits behind it.
#[test]
fn an_engine_with_a_long_prompt_is_free_later_than_one_with_two_short_ones() {
    let (directory, backend_state) = (directory(2), backend_state());
    let now = Instant::now();
    let (long, short): (BackendId, BackendId) = ("e0".into(), "e1".into());
    for (engine, tokens) in [(&long, 20_000), (&short, 10_000), (&short, 10_000)] {
        backend_state.queues.add(engine, prefill_ms(tokens), now);
    }
    for number in 0..10 {
        assert_eq!(place(&backend_state, &directory, &unique_prompt(500, number), &[]), short);
    }
}

/// Guards against: a crashed engine has an empty queue and looks attractive. If each node has to detect the
/// crash itself, each one sends several requests there.
#[test]
fn an_engine_that_two_nodes_could_not_reach_is_avoided_by_all() {
    let (directory, backend_state) = (directory(2), backend_state());
    let (crashed, busy): (BackendId, BackendId) = ("e0".into(), "e1".into());
    let now = Instant::now();
    backend_state.queues.add(&busy, prefill_ms(10_000), now);
    let prompt = unique_prompt(500, 1);
    assert_eq!(place(&backend_state, &directory, &prompt, &[]), crashed);
    backend_state.reports.note(&"n1".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(
        place(&backend_state, &directory, &prompt, &[]),
        crashed,
        "the reporting node itself may be partitioned"
    );
    backend_state.reports.note(&"n2".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(place(&backend_state, &directory, &prompt, &[]), busy);
    assert!(!backend_state.reports.is_confirmed(&crashed, now + Duration::from_secs(1)));
}
