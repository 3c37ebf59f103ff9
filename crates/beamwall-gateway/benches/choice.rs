//! Cost of choosing an engine by the number of engines: time and allocations of its two steps.
//!
//! The sender divides the engines of a service into groups and orders them for a prompt; the placement node
//! of the first group compares the engines in it. Run with `cargo bench -p beamwall-gateway`.

#[path = "../tests/support/mod.rs"]
mod support;

use beamwall_gateway::allowed_versions::AllowedVersions;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::{Expectation, choose};
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::{Directory, Prompt, PromptPart};
use beamwall_model::{BackendId, ServiceName};
use divan::{AllocProfiler, Bencher};

#[global_allocator]
static ALLOCATIONS: AllocProfiler = AllocProfiler::system();

/// From a small deployment to the planned size.
const ENGINES: [usize; 4] = [60, 600, 3_000, 10_000];
/// Requests that an engine processes concurrently.
const SLOTS: u32 = 96;

fn main() {
    divan::main();
}

fn service() -> ServiceName {
    "pool".into()
}

fn prompt() -> Prompt {
    let parts = vec![PromptPart { id: 7, tokens: 6_300 }, PromptPart { id: 8, tokens: 2_890 }];
    Prompt { prompt_tokens: 9_190, output_tokens: 51, parts }
}

fn first_group(directory: &Directory, prompt: &Prompt) -> EngineGroup {
    directory.groups(&service()).expect("engines").in_order(prompt, 1)[0]
}

fn place(
    backend_state: &BackendState,
    directory: &Directory,
    prompt: &Prompt,
    group: EngineGroup,
) -> BackendId {
    let service = service();
    let zone = "a".into();
    let by = ChosenBy::PlacementNode;
    let search = Search {
        service: &service,
        zone: &zone,
        prompt: Some(prompt),
        group,
        rank: 0,
        avoided: &[],
        versions: &AllowedVersions::All,
        by,
    };
    let candidates = backend_state.candidates(directory, search);
    let estimates = backend_state.models.estimates(&service);
    let expectation = Expectation { estimates: &estimates, pause_objective_ms: Some(400) };
    choose(&candidates, &expectation).expect("the group has at least one engine").0.backend.clone()
}

/// The step at the sender.
#[divan::bench(args = ENGINES)]
fn order_groups(bencher: Bencher<'_, '_>, engines: usize) {
    let directory = support::directory(engines, SLOTS);
    let prompt = prompt();
    bencher.bench(|| first_group(&directory, &prompt));
}

/// The step at the placement node.
#[divan::bench(args = ENGINES)]
fn place_in_group(bencher: Bencher<'_, '_>, engines: usize) {
    let directory = support::directory(engines, SLOTS);
    let backend_state = BackendState::default();
    support::add_peer_statistics(&backend_state.models, support::typical_statistics());
    let prompt = prompt();
    let group = first_group(&directory, &prompt);
    bencher.bench(|| place(&backend_state, &directory, &prompt, group));
}
