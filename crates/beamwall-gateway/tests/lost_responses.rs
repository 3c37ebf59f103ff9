//! Lost responses count against requests only if the back end is known to have terminated.

mod support;

use std::time::Duration;

use beamwall_gateway::lost_responses::{LossKind, LostResponses, ProbeAction, ResponseLoss};
use beamwall_model::BackendId;
use beamwall_quarantine::{Fingerprint, FingerprintHasher, OpenSuspect};
use support::backend;
use tokio::time::Instant;

/// A connection that closed, of a request that was sent at an unknown time.
const CLOSED: ResponseLoss = ResponseLoss { kind: LossKind::Closed, exposure: Duration::ZERO };

fn request(name: &str) -> Fingerprint {
    FingerprintHasher::new(None, "a.example", name).finish()
}

fn open(name: &str) -> OpenSuspect {
    OpenSuspect::of_unknown_exposure(request(name))
}

#[test]
fn the_first_loss_asks_for_a_probe_and_the_others_wait_for_it() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    assert_eq!(lost_responses.note(&engine.id, &[request("a")], CLOSED, now), ProbeAction::Probe);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], CLOSED, now), ProbeAction::Wait);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], CLOSED, now), ProbeAction::Wait);
    assert_eq!(lost_responses.mark_terminated(&engine.id), [open("a"), open("b")]);
    assert_eq!(
        lost_responses.note(&engine.id, &[request("c")], CLOSED, now),
        ProbeAction::Count,
        "its termination is known"
    );
    assert_eq!(lost_responses.mark_terminated(&engine.id), [], "nothing counts twice");
}

#[test]
fn a_running_back_end_is_probed_again_at_its_next_loss() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    assert_eq!(lost_responses.note(&engine.id, &[request("a")], CLOSED, now), ProbeAction::Probe);
    lost_responses.finish_probe(&engine.id);
    assert_eq!(lost_responses.note(&engine.id, &[request("b")], CLOSED, now), ProbeAction::Probe);
    assert_eq!(lost_responses.mark_terminated(&engine.id), [open("a"), open("b")]);
}

#[test]
fn losses_from_long_ago_are_ignored() {
    let lost_responses = LostResponses::default();
    let (engine, now) = (backend("i-1"), Instant::now());
    lost_responses.note(&engine.id, &[request("a")], CLOSED, now);
    lost_responses.note(&backend("i-2").id, &[request("b")], CLOSED, now + Duration::from_secs(11));
    assert_eq!(lost_responses.mark_terminated(&engine.id), []);
}

#[test]
fn memory_is_bounded() {
    let lost_responses = LostResponses::default();
    let now = Instant::now();
    let names: Vec<String> = (0..2_000).map(|number| format!("i-{number}")).collect();
    for name in &names {
        lost_responses.note(&backend(name).id, &[request("a")], CLOSED, now);
        lost_responses.note(&backend("i-0").id, &[request(name)], CLOSED, now);
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

/// Guards against: engines that lose power at one moment end at several, since callers had left some of them for slow ones before.
#[test]
fn a_back_end_terminates_when_its_connections_close_not_when_it_was_left_for_a_slow_one() {
    let lost_responses = LostResponses::default();
    let (engine, start) = (backend("i-1"), Instant::now());
    let left_after = |ms| ResponseLoss { kind: LossKind::Silent, exposure: Duration::from_millis(ms) };
    for second in 0..3 {
        lost_responses.note(
            &engine.id,
            &[request("a")],
            left_after(300),
            start + Duration::from_secs(second),
        );
    }
    let closed = ResponseLoss { kind: LossKind::Closed, exposure: Duration::from_millis(700) };
    let end = start + Duration::from_secs(3);
    lost_responses.note(&engine.id, &[request("a"), request("b")], closed, end);
    assert_eq!(lost_responses.lost_for(&engine.id, end + Duration::from_millis(5)), Duration::from_millis(5));
    // It had been sent the first of them 300 ms before the first was taken from it.
    let exposed = |name, exposure_ms| OpenSuspect { suspect: request(name), exposure_ms };
    assert_eq!(lost_responses.mark_terminated(&engine.id), [exposed("a", 3_300), exposed("b", 700)]);
}
