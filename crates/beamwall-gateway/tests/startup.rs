//! Requests that come before a gateway knows its first policy and its first back ends.
//!
//! The load: all gateways of a deployment start at once, and callers reach them over the addresses that they had before.
//!
//! Seen: after a loss of power 120 requests of one zone were refused in the first second with "this node knows no policy yet",
//! though each gateway knew one a moment later. How: the balancer sends callers to gateways that are not ready where most of them
//! are not. Cause: such a request was refused at once, though nobody knew yet whether it can be served. Proof: a policy that
//! comes 50 ms after the request did not help it.

use std::cell::Cell;
use std::time::Duration;

use beamwall_gateway::startup::{LONGEST_WAIT, wait_known};
use tokio::time::Instant;

/// Time after which the policy and the back ends are known.
const KNOWN_AFTER: Duration = Duration::from_millis(50);
/// Patience of a caller of a stream.
const PATIENCE: Duration = Duration::from_secs(4);

/// Waits as a request does; gives whether all is known then, and how long that took.
async fn wait(known_after: Duration, patience: Option<Duration>) -> (bool, Duration) {
    let started = Instant::now();
    let is_known = || started.elapsed() >= known_after;
    wait_known(is_known, patience).await;
    (is_known(), started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_briefly_for_the_policy_and_back_ends() {
    let (is_known, waited) = wait(KNOWN_AFTER, Some(PATIENCE)).await;
    assert!(is_known);
    assert!(waited < KNOWN_AFTER * 2, "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_when_both_are_known() {
    assert_eq!(wait(Duration::ZERO, Some(PATIENCE)).await, (true, Duration::ZERO));
    let checks = Cell::new(0);
    let check = || {
        checks.set(checks.get() + 1);
        true
    };
    wait_known(check, Some(PATIENCE)).await;
    assert_eq!(checks.get(), 1);
}

/// Without a policy the objective of a request is not known. One that is held for long and not served is worse off than one that is
/// refused.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_long_when_they_stay_unknown() {
    let never = Duration::from_secs(3_600);
    for patience in [None, Some(PATIENCE), Some(Duration::from_secs(60))] {
        let (is_known, waited) = wait(never, patience).await;
        assert!(!is_known && waited <= LONGEST_WAIT, "{waited:?} of a patience of {patience:?}");
    }
    let short_patience = Duration::from_millis(600);
    let (_, waited) = wait(never, Some(short_patience)).await;
    assert!(waited < short_patience / 10, "{waited:?}");
}
