//! Waiting time of prompts placed at many engines, by the way in which nodes share the placement.
//!
//! Load: 160 engines that each prefill one prompt after another and are busy 45% of the time, and prompts of
//! three lengths, the longest of which takes about 280 ms to prefill. Time is simulated.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_engine_model::PrefillWork;
use beamwall_gateway::allowed_versions::AllowedVersions;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::{Expectation, choose};
use beamwall_gateway::placement_groups::{EngineGroup, EngineGroups};
use beamwall_gateway::{Directory, Prompt, PromptPart};
use beamwall_model::BackendId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const ENGINES: usize = 160;
/// Concurrent requests per engine.
const SLOTS: u32 = 48;
const PROMPTS: usize = 3_000;
/// Share of their time that engines spend in prefill.
const BUSY: f64 = 0.45;
/// Prompt lengths in tokens.
const LENGTHS: [u32; 3] = [9_000, 2_400, 700];

fn directory(engines: usize) -> Directory {
    support::directory(engines, SLOTS)
}

fn groups_of(directory: &Directory) -> EngineGroups {
    directory.groups(&"pool".into()).expect("engines").clone()
}

fn backend_state() -> BackendState {
    let backend_state = BackendState::default();
    support::add_peer_statistics(&backend_state.models, support::statistics_with_running_ms(0.0));
    backend_state
}

fn unique_prompt(tokens: u32, number: u64) -> Prompt {
    Prompt { prompt_tokens: tokens, output_tokens: 10, parts: vec![PromptPart { id: number, tokens }] }
}

fn prefill_ms(tokens: u32) -> f64 {
    support::prefill_ms(PrefillWork::of_uncached(0, u64::from(tokens)))
}

fn place(
    backend_state: &BackendState,
    directory: &Directory,
    prompt: &Prompt,
    group: EngineGroup,
) -> BackendId {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(prompt),
        group,
        rank: 0,
        avoided: &[],
        versions: &AllowedVersions::All,
        by: ChosenBy::PlacementNode,
    };
    let candidates = backend_state.candidates(directory, search);
    let estimates = backend_state.models.estimates(search.service);
    let expectation = Expectation { estimates: &estimates, pause_objective_ms: None };
    let chosen = choose(&candidates, &expectation).expect("an engine").0.backend.clone();
    let prefill_ms = estimates.prefill_ms(PrefillWork::of_uncached(0, u64::from(prompt.prompt_tokens)));
    backend_state.queues.add(&chosen, prefill_ms.expect("known"), Instant::now());
    chosen
}

/// Determines which node places a prompt, and in which group of engines.
trait PlacementScheme {
    fn place(&self, directory: &Directory, prompt: &Prompt, random: u64) -> BackendId;
}

/// Several nodes that each place a share of the prompts at all engines, without coordination.
struct Uncoordinated(Vec<BackendState>);

impl PlacementScheme for Uncoordinated {
    fn place(&self, directory: &Directory, prompt: &Prompt, random: u64) -> BackendId {
        let node = &self.0[random as usize % self.0.len()];
        place(node, directory, prompt, EngineGroup::WHOLE)
    }
}

/// One placement node for each group of engines.
struct Grouped(Vec<BackendState>);

impl PlacementScheme for Grouped {
    fn place(&self, directory: &Directory, prompt: &Prompt, random: u64) -> BackendId {
        let groups = groups_of(directory).in_order(prompt, random);
        place(&self.0[groups[0].number as usize], directory, prompt, groups[0])
    }
}

/// The 90th percentile of the time that prompts wait for their engine's prefill, in milliseconds.
async fn wait_p90_ms(scheme: impl PlacementScheme) -> f64 {
    let directory = directory(ENGINES);
    let mut random = SmallRng::seed_from_u64(7);
    let mean_ms = LENGTHS.iter().map(|tokens| prefill_ms(*tokens)).sum::<f64>() / LENGTHS.len() as f64;
    let pause_ms = mean_ms / (ENGINES as f64 * BUSY);
    let mut free_at: HashMap<BackendId, Instant> = HashMap::new();
    let mut waits = Vec::new();
    for number in 0..PROMPTS as u64 {
        let pause = -random.random::<f64>().ln() * pause_ms;
        tokio::time::advance(Duration::from_secs_f64(pause / 1_000.0)).await;
        let now = Instant::now();
        let tokens = LENGTHS[random.random_range(0..LENGTHS.len())];
        let chosen = scheme.place(&directory, &unique_prompt(tokens, number), random.random());
        let free = free_at.entry(chosen).or_insert(now);
        let starts = (*free).max(now);
        *free = starts + Duration::from_secs_f64(prefill_ms(tokens) / 1_000.0);
        waits.push((starts - now).as_secs_f64() * 1_000.0);
    }
    waits.sort_by(f64::total_cmp);
    waits[PROMPTS * 9 / 10]
}

#[tokio::test(start_paused = true)]
async fn prompts_hardly_wait_when_each_group_has_its_own_placement_node() {
    let groups = groups_of(&directory(ENGINES)).in_order(&unique_prompt(1, 1), 1).len();
    let grouped_ms = wait_p90_ms(Grouped((0..groups).map(|_| backend_state()).collect())).await;
    let uncoordinated_ms = wait_p90_ms(Uncoordinated((0..5).map(|_| backend_state()).collect())).await;
    println!(
        "p90 of the wait: {grouped_ms:.0} ms in groups, {uncoordinated_ms:.0} ms with five uncoordinated nodes"
    );
    assert!(grouped_ms < 20.0, "{grouped_ms}");
    assert!(uncoordinated_ms > 100.0, "{uncoordinated_ms}: groups would be unnecessary");
}

#[test]
fn every_engine_is_in_one_group_and_few_move_when_the_group_count_changes() {
    let engines: Vec<BackendId> = (0..ENGINES).map(|number| format!("e{number}").as_str().into()).collect();
    let group_of = |backend: &BackendId, count: u32| {
        let holds = |number: &u32| EngineGroup { number: *number, count }.contains_engine(backend);
        let groups: Vec<u32> = (0..count).filter(holds).collect();
        assert_eq!(groups.len(), 1, "{backend} of {count} groups");
        groups[0]
    };
    let moved = engines.iter().filter(|backend| group_of(backend, 3) != group_of(backend, 4)).count();
    assert!(moved < ENGINES / 3, "{moved} moved");
}

#[test]
fn prompts_with_the_same_prefix_go_to_the_same_group() {
    let directory = directory(ENGINES);
    let groups = groups_of(&directory);
    let prompt = |shared: u64, own: u64| Prompt {
        prompt_tokens: 1_000,
        output_tokens: 10,
        parts: vec![PromptPart { id: shared, tokens: 900 }, PromptPart { id: own, tokens: 100 }],
    };
    let mut firsts = vec![0; 3];
    for shared in 0..300 {
        let order = groups.in_order(&prompt(shared, 1_000 + shared), shared);
        assert_eq!(order, groups.in_order(&prompt(shared, 2_000 + shared), 7));
        firsts[order[0].number as usize] += 1;
    }
    assert!(firsts.iter().all(|count| (60..=150).contains(count)), "{firsts:?}");
}

#[test]
fn a_small_service_is_one_group() {
    let order = groups_of(&directory(12)).in_order(&unique_prompt(1, 1), 5);
    assert_eq!(order, [EngineGroup::WHOLE]);
    assert_eq!(EngineGroups::new(Vec::new()).in_order(&unique_prompt(1, 1), 5).len(), 1);
    assert!(directory(0).groups(&"pool".into()).is_none());
}

#[test]
fn the_engines_of_a_group_are_found_for_any_number_of_groups() {
    let directory = directory(ENGINES);
    for count in [1, 2, 3, 7] {
        let mut found = Vec::new();
        for number in 0..count {
            let group = EngineGroup { number, count };
            let engines = directory.usable_in_group(&"pool".into(), group);
            found.extend(
                engines.map(|engine| engine.id.clone()).inspect(|id| assert!(group.contains_engine(id))),
            );
        }
        found.sort();
        found.dedup();
        assert_eq!(found.len(), ENGINES, "{count} groups");
    }
}
