//! What a node knows of the limits of engines.

use std::time::Duration;

use beamwall_engine_limits::{KnownLimits, LimitChange, LimitReport, RequestRate};
use beamwall_model::BackendId;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn engine() -> BackendId {
    BackendId::new("i-1")
}

#[test]
fn a_limit_begins_changes_and_ends() {
    let (limits, start) = (KnownLimits::default(), Instant::now());
    assert_eq!(limits.note_unlimited(&engine(), start), None);
    let began = limits.note_limited(&engine(), rate(1.2), start);
    assert_eq!(began, Some(LimitChange { before: None, now: Some(rate(1.2)) }));
    assert_eq!(limits.note_limited(&engine(), rate(1.2), start + SECOND), None);
    let changed = limits.note_limited(&engine(), rate(7.5), start + SECOND * 2);
    assert_eq!(changed, Some(LimitChange { before: Some(rate(1.2)), now: Some(rate(7.5)) }));
    let ended = limits.note_unlimited(&engine(), start + SECOND * 3);
    assert_eq!(ended, Some(LimitChange { before: Some(rate(7.5)), now: None }));
    assert_eq!(limits.limit(&engine()), None);
}

/// Guards against: the response to a request that was sent before the engine was in need lifts its limit.
#[test]
fn a_response_to_an_earlier_request_does_not_lift_a_limit() {
    let (limits, start) = (KnownLimits::default(), Instant::now());
    limits.note_limited(&engine(), rate(1.2), start + SECOND);
    assert_eq!(limits.note_unlimited(&engine(), start), None);
    assert_eq!(limits.limit(&engine()), Some(rate(1.2)));
}

/// Guards against: a peer that observed the limit earlier revives it after it has ended.
#[test]
fn the_newest_observation_of_all_nodes_counts() {
    let (limits, start) = (KnownLimits::default(), Instant::now() + SECOND * 60);
    let seen = |limit, age| LimitReport { backend: engine(), limit, age };
    assert!(limits.merge(&seen(Some(rate(1.2)), SECOND * 5), start).is_some());
    assert!(limits.merge(&seen(None, SECOND * 3), start).is_some());
    assert_eq!(limits.merge(&seen(Some(rate(1.2)), SECOND * 4), start), None);
    assert_eq!(limits.limit(&engine()), None);
    assert!(limits.merge(&seen(Some(rate(2.0)), SECOND), start).is_some());
    assert_eq!(limits.limit(&engine()), Some(rate(2.0)));
}

/// Guards against: the limit of an engine sticks to the one that follows it under its address.
#[test]
fn the_limit_of_an_engine_that_is_gone_is_forgotten() {
    let (limits, start) = (KnownLimits::default(), Instant::now());
    limits.note_limited(&engine(), rate(1.2), start);
    limits.retain(|_| false);
    assert_eq!(limits.limit(&engine()), None);
    assert!(limits.reports(start).is_empty());
}
