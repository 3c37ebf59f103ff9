//! Placement for all nodes, against the truth of the engines' queues.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use beamwall_gateway::candidates::{ChosenBy, Knowledge, Search};
use beamwall_gateway::choice::{choose, reading_tokens};
use beamwall_gateway::health::HealthBook;
use beamwall_gateway::placement::ReadingQueues;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, Directory, Prompt, PromptPart, Vanishing};
use beamwall_model::BackendId;
use tokio::time::Instant;

/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 32;

fn directory(engines: usize) -> Directory {
    let backend = |number: usize| Backend {
        id: format!("e{number}").as_str().into(),
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        slots: 128,
        draining: false,
        reclaimable: false,
    };
    let mut directory = Directory::default();
    let backends = (0..engines).map(backend).collect();
    directory.replace(DirectorySnapshot { revision: 1, backends }, Vanishing::Gone);
    directory
}

/// A prompt of one part that no other request has.
fn own_prompt(tokens: u32, number: u64) -> Prompt {
    Prompt { prompt_tokens: tokens, output_tokens: 10, parts: vec![PromptPart { id: number, tokens }] }
}

fn place(knowledge: &Knowledge, directory: &Directory, prompt: &Prompt, avoided: &[BackendId]) -> BackendId {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(prompt),
        avoided,
        by: ChosenBy::Placer,
    };
    let candidates = knowledge.candidates(directory, search);
    choose(&candidates).expect("an engine").0.backend.clone()
}

#[test]
fn prompts_placed_at_one_engine_are_read_one_after_another() {
    let queues = ReadingQueues::default();
    let (engine, now) = (BackendId::from("e0"), Instant::now());
    queues.add(&engine, 3_200, now);
    queues.add(&engine, 3_200, now);
    assert!((6_300..=6_400).contains(&queues.queued_tokens(&engine, now)));
    let later = now + Duration::from_millis(150);
    assert!((1_500..=1_600).contains(&queues.queued_tokens(&engine, later)));
    assert_eq!(queues.queued_tokens(&engine, now + Duration::from_secs(1)), 0);
    queues.retain(|_| false);
    assert_eq!(queues.queued_tokens(&engine, now), 0);
}

/// Whatever arrives, the chosen engine is the one that is free first in truth.
#[test]
fn the_engine_that_is_free_first_is_chosen() {
    arbtest(|random| {
        let engines = random.int_in_range(1..=12_usize)?;
        let (directory, knowledge) = (directory(engines), Knowledge::default());
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
            let unread = reading_tokens(0, u64::from(prompt.prompt_tokens));
            knowledge.queues.add(&chosen, unread, now);
            let begin = now_ms + waiting(&chosen);
            free_at_ms.insert(chosen, begin + unread as f64 / TOKENS_PER_MS as f64);
        }
        Ok(())
    });
}

#[test]
fn avoided_engines_are_not_chosen() {
    let (directory, knowledge) = (directory(2), Knowledge::default());
    for number in 0..10 {
        let chosen = place(&knowledge, &directory, &own_prompt(100, number), &["e0".into()]);
        assert_eq!(chosen.as_str(), "e1");
    }
}

#[test]
fn engines_that_could_not_be_reached_are_told_for_a_moment() {
    let (health, now) = (HealthBook::default(), Instant::now());
    health.note_unreachable(&"e0".into(), now);
    health.note(&"e1".into(), true, now);
    assert_eq!(health.unreachable(now), vec![BackendId::from("e0")]);
    assert!(health.unreachable(now + Duration::from_secs(2)).is_empty());
}

#[test]
fn the_rest_of_a_long_prompt_takes_longer_to_read() {
    assert_eq!(reading_tokens(0, 500), 504);
    assert_eq!(reading_tokens(6_000, 0), 0);
    assert_eq!(reading_tokens(6_000, 3_000), 3_855);
    assert_eq!(reading_tokens(0, 30_000), 47_100);
}

/// Counted by tokens alone, one prompt of 20,000 looked as long as two of 10,000, and the next request waited
/// behind it.
#[test]
fn an_engine_with_a_long_prompt_is_free_later_than_one_with_two_short_ones() {
    let (directory, knowledge) = (directory(2), Knowledge::default());
    let now = Instant::now();
    let (long, short): (BackendId, BackendId) = ("e0".into(), "e1".into());
    for (engine, tokens) in [(&long, 20_000), (&short, 10_000), (&short, 10_000)] {
        knowledge.queues.add(engine, reading_tokens(0, tokens), now);
    }
    for number in 0..10 {
        assert_eq!(place(&knowledge, &directory, &own_prompt(500, number), &[]), short);
    }
}

/// A crashed engine has nothing to read; when it was found out node by node, each sent several requests there.
#[test]
fn an_engine_that_two_nodes_could_not_reach_is_avoided_for_all() {
    let (directory, knowledge) = (directory(2), Knowledge::default());
    let (crashed, busy): (BackendId, BackendId) = ("e0".into(), "e1".into());
    let now = Instant::now();
    knowledge.queues.add(&busy, 10_000, now);
    let prompt = own_prompt(500, 1);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), crashed);
    knowledge.reports.note(&"n1".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), crashed, "one node may be cut off itself");
    knowledge.reports.note(&"n2".into(), std::slice::from_ref(&crashed), now);
    assert_eq!(place(&knowledge, &directory, &prompt, &[]), busy);
    assert!(!knowledge.reports.is_confirmed(&crashed, now + Duration::from_secs(1)));
}
