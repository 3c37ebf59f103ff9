//! Lost responses count against requests only if the back end is known to have terminated.

mod support;

use std::time::Duration;

use beamwall_gateway::lost_responses::{LostResponses, ProbeAction};
use beamwall_model::BackendId;
use beamwall_quarantine::{FingerprintHasher, OpenSuspect};
use support::backend;
use tokio::time::Instant;

fn request(name: &str) -> OpenSuspect {
    OpenSuspect::of_unknown_exposure(FingerprintHasher::new(None, "a.example", name).finish())
}

#[test]
fn the_first_loss_asks_for_a_probe_and_the_others_wait_for_it() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    assert_eq!(lost_responses.note(&engine.id, &[request("a")], now), ProbeAction::Probe);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], now), ProbeAction::Wait);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], now), ProbeAction::Wait);
    assert_eq!(lost_responses.mark_terminated(&engine.id), [request("a"), request("b")]);
    assert_eq!(
        lost_responses.note(&engine.id, &[request("c")], now),
        ProbeAction::Count,
        "its termination is known"
    );
    assert_eq!(lost_responses.mark_terminated(&engine.id), [], "nothing counts twice");
}

#[test]
fn a_running_back_end_is_probed_again_at_its_next_loss() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    assert_eq!(lost_responses.note(&engine.id, &[request("a")], now), ProbeAction::Probe);
    lost_responses.finish_probe(&engine.id);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], now), ProbeAction::Probe);
    assert_eq!(lost_responses.mark_terminated(&engine.id), [request("a"), request("b")]);
}

#[test]
fn losses_from_long_ago_are_ignored() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    lost_responses.note(&engine.id, &[request("a")], now);
    lost_responses.note(&backend("i-2").id, &[request("b")], now + Duration::from_secs(11));
    assert_eq!(lost_responses.mark_terminated(&engine.id), []);
}

#[test]
fn memory_is_bounded() {
    let lost_responses = LostResponses::default();
    let now = Instant::now();
    let names: Vec<String> = (0..2_000).map(|number| format!("i-{number}")).collect();
    for name in &names {
        lost_responses.note(&backend(name).id, &[request("a")], now);
        lost_responses.note(&backend("i-0").id, &[request(name)], now);
    }
    assert!(lost_responses.mark_terminated(&BackendId::new("i-0")).len() <= 256);
    let kept = names
        .iter()
        .filter(|name| !lost_responses.mark_terminated(&BackendId::new(name.as_str())).is_empty());
    assert!(kept.count() <= 512);
}

#[test]
fn a_back_end_without_lost_answers_terminates_without_suspects() {
    assert_eq!(LostResponses::default().mark_terminated(&BackendId::new("i-1")), []);
}
