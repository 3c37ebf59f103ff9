//! Placement for all nodes, against the truth of the engines' queues.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_engine_model::PrefillWork;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::{Expectation, choose};
use beamwall_gateway::health::HealthTracker;
use beamwall_gateway::placement::PrefillQueues;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::{Directory, Prompt, PromptPart};
use beamwall_model::BackendId;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

/// Requests that an engine works on at once.
const SLOTS: u32 = 128;

fn directory(engines: usize) -> Directory {
    support::directory(engines, SLOTS)
}

/// A prompt of one part that no other request has.
fn own_prompt(tokens: u32, number: u64) -> Prompt {
    Prompt { prompt_tokens: tokens, output_tokens: 10, parts: vec![PromptPart { id: number, tokens }] }
}

/// What a node knows that was told of the engines.
fn knowledge() -> BackendState {
    let knowledge = BackendState::default();
    support::teach(&knowledge.models, support::observed());
    knowledge
}

/// Time that an engine takes to read a whole prompt.
fn reading_ms(tokens: u64) -> f64 {
    support::reading_ms(PrefillWork::of_uncached(0, tokens))
}

fn place(
    knowledge: &BackendState,
    directory: &Directory,
    prompt: &Prompt,
    avoided: &[BackendId],
) -> BackendId {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(prompt),
        group: EngineGroup::WHOLE,
        avoided,

        versions: None,
        by: ChosenBy::Placer,
    };
    let candidates = knowledge.candidates(directory, search);
    let estimates = knowledge.models.estimates(search.service);
    let expectation = Expectation { estimates: &estimates, pause_objective_ms: None };
    choose(&candidates, &expectation).expect("an engine").0.backend.clone()
}

#[test]
fn prompts_placed_at_one_engine_are_read_one_after_another() {
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

/// On a large deployment nodes tell their open requests up to a second later; until then the node that places for
/// all sent one request after another to the engine that looked idle.
#[test]
fn what_was_placed_counts_as_open_until_it_is_told() {
    let queues = PrefillQueues::default();
    let (engine, now) = (BackendId::from("e0"), Instant::now());
    queues.add(&engine, 1.0, now);
    queues.add(&engine, 1.0, now + Duration::from_millis(300));
    assert_eq!(queues.unreported_requests(&engine, now + Duration::from_millis(300)), 2);
    assert_eq!(queues.unreported_requests(&engine, now + Duration::from_millis(700)), 1);
    assert_eq!(queues.unreported_requests(&"e1".into(), now), 0);
    // Prompts that take no time to read: only what runs tells the engines apart.
    let (directory, knowledge) = (directory(2), knowledge());
    let first = place(&knowledge, &directory, &own_prompt(1, 1), &[]);
    (0..3).for_each(|_| knowledge.queues.add(&first, 0.0, Instant::now()));
    assert_ne!(place(&knowledge, &directory, &own_prompt(1, 2), &[]), first);
}

/// Whatever arrives, the chosen engine is the one that is free first in truth.
#[test]
fn the_engine_that_is_free_first_is_chosen() {
    on_seeds(2_000, |random| {
        let engines = random.int_in_range(1..=12_usize)?;
        let (directory, knowledge) = (directory(engines), BackendState::default());
        // In this truth the time to begin depends on what is read before alone.
        support::teach(&knowledge.models, support::observed_with(0.0));
        let mut free_at_ms: HashMap<BackendId, f64> = HashMap::new();
        let start = Instant::now();
        for number in 0..random.int_in_range(1..=40_u64)? {
            let prompt = own_prompt(random.int_in_range(32..=20_000)?, number);
            let now = Instant::now();
            let now_ms = now.duration_since(start).as_secs_f64() * 1_000.0;
            let waiting =
                |engine: &BackendId| (free_at_ms.get(engine).copied().unwrap_or(0.0) - now_ms).max(0.0);
            let chosen = place(&knowledge, &directory, &prompt, &[]);
            let least = directory.backends().map(|backend| waiting(&backend.id)).fold(f64::MAX, f64::min);
            // Queues are told in whole tokens and go on while the test runs.
            assert!(waiting(&chosen) <= least + 1.0, "{} instead of {least}", waiting(&chosen));
            let reading_ms = reading_ms(u64::from(prompt.prompt_tokens));
            knowledge.queues.add(&chosen, reading_ms, now);
            let begin = now_ms + waiting(&chosen);
            free_at_ms.insert(chosen, begin + reading_ms);
        }
        Ok(())
    });
}

#[test]
fn avoided_engines_are_not_chosen() {
    let (directory, knowledge) = (directory(2), knowledge());
    for number in 0..10 {
        let chosen = place(&knowledge, &directory, &own_prompt(100, number), &["e0".into()]);
        assert_eq!(chosen.as_str(), "e1");
    }
}

#[test]
fn engines_that_could_not_be_reached_are_told_for_a_moment() {
    let (health, now) = (HealthTracker::default(), Instant::now());
    health.note_unreachable(&"e0".into(), now);
    health.note(&"e1".into(), true, now);
    assert_eq!(health.unreachable(now), vec![BackendId::from("e0")]);
    assert!(health.unreachable(now + Duration::from_secs(2)).is_empty());
}

#[test]
fn the_rest_of_a_long_prompt_takes_longer_to_read() {
    assert_eq!(PrefillWork::of_uncached(0, 500), PrefillWork { tokens: 500, pairs: 125_000 });
    assert_eq!(PrefillWork::of_uncached(6_000, 0), PrefillWork::default());
    assert_eq!(PrefillWork::of_uncached(6_000, 3_000), PrefillWork { tokens: 3_000, pairs: 22_500_000 });
    let estimates = support::observed().estimates();
    for (kept, unread) in [(0, 500), (6_000, 3_000), (0, 15_000)] {
        let reading = PrefillWork::of_uncached(kept, unread);
        let (learnt, truth) = (estimates.prefill_ms(reading).expect("known"), support::reading_ms(reading));
        assert!((learnt / truth - 1.0).abs() < 0.05, "{learnt} instead of {truth} for {reading:?}");
    }
}

/// Counted by tokens alone, one prompt of 20,000 looked as long as two of 10,000, and the next request waited
/// behind it.
#[test]
fn an_engine_with_a_long_prompt_is_free_later_than_one_with_two_short_ones() {
    let (directory, knowledge) = (directory(2), knowledge());
    let now = Instant::now();
    let (long, short): (BackendId, BackendId) = ("e0".into(), "e1".into());
    for (engine, tokens) in [(&long, 20_000), (&short, 10_000), (&short, 10_000)] {
        knowledge.queues.add(engine, reading_ms(tokens), now);
    }
    for number in 0..10 {
        assert_eq!(place(&knowledge, &directory, &own_prompt(500, number), &[]), short);
    }
}

/// A crashed engine has nothing to read; when it was found out node by node, each sent several requests there.
#[test]
fn an_engine_that_two_nodes_could_not_reach_is_avoided_for_all() {
    let (directory, knowledge) = (directory(2), knowledge());
    let (crashed, busy): (BackendId, BackendId) = ("e0".into(), "e1".into());
    let now = Instant::now();
    knowledge.queues.add(&busy, reading_ms(10_000), now);
    let prompt = own_prompt(500, 1);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), crashed);
    knowledge.reports.note(&"n1".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), crashed, "one node may be cut off itself");
    knowledge.reports.note(&"n2".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), busy);
    assert!(!knowledge.reports.is_confirmed(&crashed, now + Duration::from_secs(1)));
}
