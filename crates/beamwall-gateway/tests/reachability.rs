//! Detection of a partition from all engines of a service.

use std::time::Duration;

use beamwall_gateway::reachability::EngineReachability;
use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn pool() -> ServiceName {
    ServiceName::new("pool")
}

fn engine(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"))
}

#[test]
fn a_service_is_unreachable_once_two_engines_failed_and_until_one_responds() {
    let (reachability, start) = (EngineReachability::default(), Instant::now());
    assert!(!reachability.note_failure(&pool(), &engine(1), 3, start));
    assert!(!reachability.note_failure(&pool(), &engine(1), 3, start));
    assert!(!reachability.is_unreachable(&pool()));
    assert!(reachability.note_failure(&pool(), &engine(2), 3, start));
    assert!(!reachability.note_failure(&pool(), &engine(3), 3, start));
    assert_eq!(reachability.unreachable(), vec![pool()]);
    assert_eq!(reachability.note_response(&pool(), start + SECOND), Some(SECOND));
    assert!(!reachability.is_unreachable(&pool()));
}

/// Guards against: a crashed engine makes a node give its requests away although other engines respond.
#[test]
fn one_engine_that_fails_between_responses_of_others_says_nothing() {
    let (reachability, start) = (EngineReachability::default(), Instant::now());
    for number in 1..=20 {
        assert!(!reachability.note_failure(&pool(), &engine(number), 20, start));
        assert_eq!(reachability.note_response(&pool(), start), None);
    }
    assert!(!reachability.is_unreachable(&pool()));
}

#[test]
fn failures_long_ago_do_not_count() {
    let (reachability, start) = (EngineReachability::default(), Instant::now());
    assert!(!reachability.note_failure(&pool(), &engine(1), 3, start));
    assert!(!reachability.note_failure(&pool(), &engine(2), 3, start + SECOND * 10));
}

#[test]
fn the_only_engine_of_a_service_is_enough() {
    let (reachability, start) = (EngineReachability::default(), Instant::now());
    assert!(reachability.note_failure(&pool(), &engine(1), 1, start));
    assert!(!reachability.is_unreachable(&ServiceName::new("other")));
}
