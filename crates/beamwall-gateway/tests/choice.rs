//! The choice of a back end, and the views of load, health and cached prefixes that it is based on.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_engine_model::{PrefillWork, ServiceEstimates};
use beamwall_gateway::choice::{self, Candidate, Chooser, Expectation};
use beamwall_gateway::health::{HealthTracker, HealthView};
use beamwall_gateway::load::{LoadTracker, OpenLoad};
use beamwall_gateway::prefix_cache::{PrefixCacheIndex, preferred_back_end, shared_tokens};
use beamwall_gateway::{Prompt, PromptPart, Reporter};
use beamwall_model::{BackendId, ChoiceStrategy};
use beamwall_seeds::on_seeds;
use std::sync::Arc;
use tokio::time::Instant;

fn candidate(name: &str) -> Candidate {
    Candidate {
        backend: name.into(),
        same_zone: true,
        slots: 128,
        load: OpenLoad::default(),
        prefill: Some(uncached(1_000)),
        slowness: 1.0,
        health: HealthView::default(),
    }
}

fn uncached(tokens: u64) -> PrefillWork {
    PrefillWork::of_uncached(0, tokens)
}

/// Runs a function with the expectation for the engines of the test support.
fn with_expectation<T>(run: impl FnOnce(&Expectation<'_>) -> T) -> T {
    let estimates = support::typical_statistics().estimates();
    run(&Expectation { estimates: &estimates, pause_objective_ms: Some(100) })
}

fn cost_ms(candidate: &Candidate) -> f64 {
    with_expectation(|expectation| choice::cost_ms(candidate, expectation))
}

fn choose(candidates: &[Candidate]) -> Option<(&Candidate, f64)> {
    with_expectation(|expectation| choice::choose(candidates, expectation))
}

fn chosen(candidates: &[Candidate]) -> String {
    choose(candidates).expect("a candidate").0.backend.to_string()
}

#[test]
fn an_engine_with_the_prompt_cached_is_chosen_until_it_is_busy() {
    let cached = Candidate { prefill: Some(uncached(0)), ..candidate("cached") };
    assert_eq!(chosen(&[candidate("other"), cached.clone()]), "cached");
    let busy = Candidate { load: OpenLoad { requests: 10, prompt_tokens: 40_000 }, ..cached };
    assert_eq!(chosen(&[candidate("other"), busy]), "other");
}

#[test]
fn a_failing_or_unreachable_back_end_is_the_last_resort() {
    let failing =
        Candidate { health: HealthView { failure_share: 0.8, unreachable: false }, ..candidate("failing") };
    let away =
        Candidate { health: HealthView { failure_share: 0.2, unreachable: true }, ..candidate("away") };
    let far = Candidate { same_zone: false, ..candidate("far") };
    assert_eq!(chosen(&[away.clone(), failing.clone(), far]), "far");
    assert_eq!(chosen(&[away.clone(), failing]), "failing");
    assert_eq!(chosen(&[away]), "away");
}

#[test]
fn a_normal_failure_share_does_not_raise_the_cost() {
    let normal =
        Candidate { health: HealthView { failure_share: 0.2, unreachable: false }, ..candidate("usual") };
    assert!((cost_ms(&normal) - cost_ms(&candidate("healthy"))).abs() < 1e-9);
}

#[test]
fn the_choice_never_costs_more_than_any_other() {
    on_seeds(1_000, |random| {
        let count = random.int_in_range(1..=8)?;
        let candidates = (0..count)
            .map(|number| {
                let load = OpenLoad {
                    requests: random.int_in_range(0..=200)?,
                    prompt_tokens: random.int_in_range(0..=99_999)?,
                };
                Ok(Candidate {
                    same_zone: random.arbitrary()?,
                    load,
                    prefill: random
                        .arbitrary::<bool>()?
                        .then_some(uncached(random.int_in_range(0..=30_000)?)),
                    slowness: f64::from(random.int_in_range(5..=50_u32)?) / 10.0,
                    ..candidate(&format!("b{number}"))
                })
            })
            .collect::<arbtest::arbitrary::Result<Vec<_>>>()?;
        let (best, cost) = choose(&candidates).expect("a candidate");
        assert!(candidates.iter().all(|other| cost_ms(other) >= cost));
        // Less work at the chosen back end never raises its cost.
        let mut idle = best.clone();
        idle.load = OpenLoad::default();
        assert!(cost_ms(&idle) <= cost);
        Ok(())
    });
}

/// An engine that has become slow still responds, so no failure is recorded.
#[test]
fn a_slow_engine_is_avoided_until_the_others_are_busier() {
    let slow = Candidate { slowness: 5.0, ..candidate("slow") };
    let busy =
        |prompt_tokens| Candidate { load: OpenLoad { requests: 3, prompt_tokens }, ..candidate("busy") };
    assert_eq!(chosen(&[slow.clone(), busy(2_000)]), "busy");
    assert_eq!(chosen(&[slow, busy(20_000)]), "slow");
}

/// The event gap is 20 ms plus 1 ms for each running request; the objective is 100 ms.
#[test]
fn an_engine_with_event_gaps_beyond_the_objective_is_avoided() {
    let load = |requests| OpenLoad { requests, prompt_tokens: 0 };
    let crowded = Candidate { load: load(120), ..candidate("crowded") };
    let reads = Candidate { load: OpenLoad { requests: 60, prompt_tokens: 10_000 }, ..candidate("reads") };
    assert_eq!(chosen(&[crowded, reads]), "reads");
}

#[test]
fn a_request_beyond_the_slots_waits_for_one() {
    let full =
        Candidate { slots: 10, load: OpenLoad { requests: 14, prompt_tokens: 0 }, ..candidate("full") };
    let nearly = Candidate { load: OpenLoad { requests: 9, prompt_tokens: 0 }, ..full.clone() };
    // Five queued streams of one second over ten slots, plus the cost of the tenth running request.
    let wait_ms = cost_ms(&full) - cost_ms(&nearly);
    assert!((480.0..540.0).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn open_requests_decide_before_estimates_exist() {
    let nothing = ServiceEstimates::default();
    let expectation = Expectation { estimates: &nothing, pause_objective_ms: None };
    let open =
        |name: &str, requests| Candidate { load: OpenLoad { requests, prompt_tokens: 0 }, ..candidate(name) };
    let candidates = [open("a", 3), open("b", 1), open("c", 2)];
    let (chosen, _) = choice::choose(&candidates, &expectation).expect("a candidate");
    assert_eq!(chosen.backend.as_str(), "b");
    assert_eq!(chosen.expected_ms(&expectation), None);
}

#[test]
fn failures_decay_so_that_a_back_end_is_tried_again() {
    let (tracker, start) = (HealthTracker::default(), Instant::now());
    let engine: BackendId = "e".into();
    for _ in 0..20 {
        tracker.note_unreachable(&engine, start);
    }
    assert!(tracker.view(&engine, start).failure_share > 0.9 && tracker.view(&engine, start).unreachable);
    let later = tracker.view(&engine, start + Duration::from_secs(9));
    assert!(later.failure_share < 0.15 && !later.unreachable);
}

#[test]
fn open_work_counts_until_it_ends_and_prompts_until_prefilled() {
    let tracker = Arc::new(LoadTracker::default());
    let engine: BackendId = "e".into();
    let mut work = tracker.open(&engine, 500);
    tracker.set_peer(
        &Reporter::Node("n1".into()),
        [(engine.clone(), OpenLoad { requests: 2, prompt_tokens: 100 })].into(),
    );
    assert_eq!(tracker.total(&engine), OpenLoad { requests: 3, prompt_tokens: 600 });
    work.start_response();
    assert_eq!(tracker.total(&engine), OpenLoad { requests: 3, prompt_tokens: 100 });
    drop(work);
    tracker.set_peer(
        &Reporter::Node("n1".into()),
        [(engine.clone(), OpenLoad { requests: 1, prompt_tokens: 7 })].into(),
    );
    // 30% of the newest value and 70% of the previous one.
    assert_eq!(tracker.total(&engine), OpenLoad { requests: 1, prompt_tokens: 72 });
    tracker.remove_peer(&Reporter::Node("n1".into()));
    assert_eq!(tracker.total(&engine), OpenLoad::default());
    assert!(tracker.own().is_empty());
}

/// Guards against: in a large deployment under low load, engines with a cached prompt are avoided because a
/// report that is one second old says that they are prefilling another one.
#[test]
fn reported_prompt_tokens_are_averaged_and_decay_without_reports() {
    let tracker = LoadTracker::default();
    let engine: BackendId = "e".into();
    let peer = Reporter::Node("n1".into());
    for _ in 0..20 {
        tracker.set_peer(&peer, [(engine.clone(), OpenLoad { requests: 1, prompt_tokens: 1_000 })].into());
    }
    assert!((980..=1_000).contains(&tracker.total(&engine).prompt_tokens));
    tracker.set_peer(&peer, HashMap::new());
    let decayed = tracker.total(&engine);
    assert!(decayed.requests == 0 && (600..=700).contains(&decayed.prompt_tokens), "{decayed:?}");
    for _ in 0..30 {
        tracker.set_peer(&peer, HashMap::new());
    }
    assert_eq!(tracker.total(&engine), OpenLoad::default());
}

#[test]
fn the_sum_for_other_zones_includes_nodes_and_excludes_zones() {
    let tracker = Arc::new(LoadTracker::default());
    let engine: BackendId = "e".into();
    let _own = tracker.open(&engine, 10);
    let peer_load = |requests| [(engine.clone(), OpenLoad { requests, prompt_tokens: 0 })].into();
    tracker.set_peer(&Reporter::Node("n1".into()), peer_load(2));
    tracker.set_peer(&Reporter::Zone("east".into()), peer_load(40));
    assert_eq!(tracker.total(&engine).requests, 43);
    assert_eq!(tracker.sum_of_nodes()[&engine].requests, 3);
}

/// Guards against: in a large deployment under low load, a third of the chats are abandoned as silent. A node
/// has few streams there, and the silence of an engine is no evidence if no stream of the node is waiting for
/// its events.
#[test]
fn requests_count_as_answering_after_their_first_event() {
    let tracker = Arc::new(LoadTracker::default());
    let engine: BackendId = "e".into();
    let waiting = tracker.open(&engine, 10);
    assert_eq!(tracker.responding_requests(&engine), 0);
    let mut begun = tracker.open(&engine, 10);
    begun.start_response();
    begun.start_response();
    assert_eq!(tracker.responding_requests(&engine), 1);
    drop(waiting);
    assert_eq!(tracker.responding_requests(&engine), 1);
    drop(begun);
    assert_eq!(tracker.responding_requests(&engine), 0);
}

fn prompt(parts: &[u64]) -> Prompt {
    let parts: Vec<PromptPart> = parts.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect();
    Prompt { prompt_tokens: 100 * parts.len() as u32, output_tokens: 10, parts }
}

#[test]
fn prompt_parts_count_as_cached_only_after_cached_parts_and_until_expiry() {
    let (index, start) = (PrefixCacheIndex::default(), Instant::now());
    let engine: BackendId = "e".into();
    index.note_prefill(&engine, &prompt(&[1, 2, 3]), start);
    assert_eq!(index.estimated_cached_tokens(&engine, &prompt(&[1, 2, 9]), start), 200);
    assert_eq!(index.estimated_cached_tokens(&engine, &prompt(&[9, 2, 3]), start), 0);
    assert_eq!(index.estimated_cached_tokens(&"other".into(), &prompt(&[1, 2]), start), 0);
    assert_eq!(
        index.estimated_cached_tokens(&engine, &prompt(&[1, 2, 3]), start + Duration::from_secs(60)),
        0
    );
    index.retain(|_| false);
    assert_eq!(index.estimated_cached_tokens(&engine, &prompt(&[1, 2, 3]), start), 0);
}

#[test]
fn all_nodes_prefer_the_same_engine_for_a_shared_prefix() {
    let engines: Vec<BackendId> = (0..6).map(|number| BackendId::new(format!("e{number}"))).collect();
    let mut reversed = engines.clone();
    reversed.reverse();
    for id in 0..50 {
        let (one, other) = (prompt(&[7, id, 1_000 + id]), prompt(&[7, id, 2_000 + id]));
        assert_eq!(preferred_back_end(&one, &engines), preferred_back_end(&other, &reversed));
        assert_eq!(shared_tokens(&one), 200);
    }
    assert_eq!(preferred_back_end(&prompt(&[1]), &engines), None, "the prompt has no shared part");
}

#[test]
fn the_baselines_are_round_robin_and_least_requests() {
    let open = |name: &str, requests: u32| {
        let load = OpenLoad { requests, prompt_tokens: 0 };
        Candidate { load, ..candidate(name) }
    };
    let candidates = [open("b", 3), open("a", 2), open("c", 5)];
    let names = |chooser: &Chooser, count: usize| -> Vec<String> {
        let chosen = (0..count)
            .filter_map(|_| with_expectation(|expectation| chooser.choose(&candidates, expectation)));
        chosen.map(|(candidate, _)| candidate.backend.to_string()).collect()
    };
    assert_eq!(names(&Chooser::new(ChoiceStrategy::RoundRobin), 4), ["a", "b", "c", "a"]);
    assert_eq!(names(&Chooser::new(ChoiceStrategy::LeastRequests), 2), ["a", "a"]);
    assert!(!Chooser::default().is_baseline());
    assert!(with_expectation(|expectation| {
        Chooser::new(ChoiceStrategy::RoundRobin).choose(&[], expectation).is_none()
    }));
}
