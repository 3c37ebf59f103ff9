//! What a node knows of the rejections of brittle engines.

use std::time::Duration;

use beamwall_engine_limits::{KnownRejections, RequestRate};
use beamwall_model::BackendId;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn engine() -> BackendId {
    BackendId::new("i-1")
}

fn tolerated() -> RequestRate {
    RequestRate::new(6.0).expect("a rate")
}

/// Requests that an engine may get in the second after `now`.
fn most_in_a_second(rejections: &KnownRejections, now: Instant) -> Option<f64> {
    let allowance = rejections.allowance(&engine(), now)?;
    Some(allowance.per_second + allowance.burst)
}

/// Guards against: permits for a full engine cause more rejections than it stands.
#[test]
fn after_a_rejection_no_more_requests_are_permitted_than_rejections_are_tolerated() {
    let (rejections, start) = (KnownRejections::default(), Instant::now());
    assert_eq!(most_in_a_second(&rejections, start), None);
    assert!(rejections.note_rejection(&engine(), tolerated(), start));
    let most = most_in_a_second(&rejections, start).expect("an allowance");
    assert!(most <= tolerated().per_second(), "{most}");
}

#[test]
fn the_rate_grows_without_rejections_and_is_halved_by_one() {
    let (rejections, start) = (KnownRejections::default(), Instant::now());
    rejections.note_rejection(&engine(), tolerated(), start);
    let rate = |now| rejections.allowance(&engine(), now).map(|allowance| allowance.per_second);
    assert_eq!(rate(start + SECOND * 2), Some(12.0));
    assert!(rejections.note_rejection(&engine(), tolerated(), start + SECOND * 2));
    assert_eq!(rate(start + SECOND * 2), Some(6.0));
    let at_once = start + SECOND * 2 + SECOND / 10;
    assert!(!rejections.note_rejection(&engine(), tolerated(), at_once));
    assert_eq!(rate(at_once), Some(6.0));
    assert_eq!(rate(start + SECOND * 60), None);
}

#[test]
fn a_response_that_does_not_call_the_engine_brittle_ends_the_allowance() {
    let (rejections, start) = (KnownRejections::default(), Instant::now());
    rejections.note_rejection(&engine(), tolerated(), start + SECOND);
    rejections.note_sound(&engine(), start);
    assert!(rejections.allowance(&engine(), start + SECOND).is_some());
    rejections.note_sound(&engine(), start + SECOND * 2);
    assert!(rejections.allowance(&engine(), start + SECOND * 2).is_none());
}

#[test]
fn the_newest_rejection_of_all_nodes_counts() {
    let (own, peer, start) = (KnownRejections::default(), KnownRejections::default(), Instant::now());
    peer.note_rejection(&engine(), tolerated(), start);
    own.merge(&peer.report(&engine(), start + SECOND).expect("a report"), start + SECOND);
    assert_eq!(own.rejecting(start + SECOND), vec![engine()]);
    own.note_rejection(&engine(), tolerated(), start + SECOND * 2);
    own.merge(&peer.report(&engine(), start + SECOND * 3).expect("a report"), start + SECOND * 3);
    let age = own.report(&engine(), start + SECOND * 3).expect("a report").age;
    assert_eq!(age, SECOND);
}
