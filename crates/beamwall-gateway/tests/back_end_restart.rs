//! Observations of a back end belong to one generation of it: they are dropped when its process restarts, and
//! late reports about the earlier process do not count for the new one.

mod support;

use std::time::Duration;

use beamwall_engine_model::SlownessObservation;
use beamwall_gateway::allowed_versions::AllowedVersions;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::Candidate;
use beamwall_gateway::load::OpenLoad;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, Prompt, PromptPart, RemovalCause, Reporter};
use beamwall_model::BackendId;
use tokio::time::Instant;

fn backend_started_at(born_ms: u64) -> Backend {
    support::backend_started_at("e1", born_ms)
}

fn prompt() -> Prompt {
    let part = |id| PromptPart { id, tokens: 1_000 };
    Prompt { prompt_tokens: 3_000, output_tokens: 10, parts: vec![part(1), part(2), part(3)] }
}

/// The only candidate, as the placement node sees it.
fn candidate(backend_state: &BackendState, directory: &Directory) -> Candidate {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(&prompt()),
        group: EngineGroup::WHOLE,
        rank: 0,
        avoided: &[],
        versions: &AllowedVersions::All,
        by: ChosenBy::PlacementNode,
    };
    let mut candidates = backend_state.candidates(directory, search);
    assert_eq!(candidates.len(), 1);
    candidates.remove(0)
}

/// Records every kind of observation about a back end.
fn record_all(backend_state: &BackendState, id: &BackendId, now: Instant) {
    backend_state.health.note_unreachable(id, now);
    backend_state.prefixes.note_prefill(id, &prompt(), now);
    backend_state.queues.add(id, 4_000.0, now);
    backend_state.reports.note(&"n1".into(), std::slice::from_ref(id), now);
    backend_state.reports.note(&"n2".into(), std::slice::from_ref(id), now);
    let slow = SlownessObservation { logarithms: 8.0, weight: 4.0 };
    backend_state.models.add_report(vec![(id.clone(), slow)], now);
    report_loads(backend_state, id);
    backend_state.models.refresh(now);
}

/// Merges a load report from a peer that still lists the back end.
fn report_loads(backend_state: &BackendState, id: &BackendId) {
    let load = OpenLoad { requests: 7, prompt_tokens: 9_000 };
    backend_state.loads.set_peer(&Reporter::Node("n1".into()), [(id.clone(), load)].into());
}

#[tokio::test(start_paused = true)]
async fn a_restarted_back_end_inherits_no_observations() {
    let backend_state = BackendState::default();
    support::add_peer_statistics(&backend_state.models, support::typical_statistics());
    let mut directory = Directory::default();
    directory.replace(
        DirectorySnapshot { revision: 1.into(), backends: vec![backend_started_at(1)] },
        RemovalCause::Gone,
    );
    record_all(&backend_state, &backend_started_at(1).id, Instant::now());
    let before = candidate(&backend_state, &directory);
    assert!(before.health.unreachable && before.health.failure_share > 0.0 && before.slowness > 1.5);
    assert_eq!(before.load.requests, 8, "seven were reported, one is placed and not reported yet");
    // The shared parts are assumed cached in either case; the request's own part only at the process that
    // prefilled it.
    assert_eq!(before.prefill.expect("a prompt").tokens, 0);

    let changes = vec![DirectoryChange::Changed(backend_started_at(2))];
    directory.apply(1.into(), DirectoryChanges { revision: 2.into(), changes }, RemovalCause::Gone);
    backend_state.retain_listed(&directory);
    report_loads(&backend_state, &backend_started_at(1).id);
    tokio::time::advance(Duration::from_millis(10)).await;
    backend_state.models.refresh(Instant::now());
    let after = candidate(&backend_state, &directory);
    assert_eq!(after.backend, backend_started_at(2).id);
    assert_eq!((after.load, after.slowness), (OpenLoad::default(), 1.0));
    assert!(!after.health.unreachable && after.health.failure_share == 0.0);
    assert_eq!(after.prefill.expect("a prompt").tokens, 1_000);
}
