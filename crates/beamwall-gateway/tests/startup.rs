//! Requests that arrive before a gateway has its first policy and its first back ends.
//!
//! Load: all gateways of a deployment start at once, and callers reach them at the addresses that they had
//! before.
//!
//! Guards against: after a power failure 120 requests of one zone were refused in the first second with "this
//! node knows no policy yet", although each gateway had a policy a moment later. The load balancer sends
//! requests to gateways that are not ready when most of them are not, and such a request was refused at once,
//! even if the policy arrived only 50 ms later.

use std::cell::Cell;
use std::time::Duration;

use beamwall_gateway::startup::{MAX_READY_WAIT, wait_until_ready};
use tokio::time::Instant;

/// Time after which the policy and the back ends are known.
const KNOWN_AFTER: Duration = Duration::from_millis(50);
/// Time that the caller of a stream is willing to wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Waits as a request does. Returns whether the policy and back ends are known afterwards, and the time
/// waited.
async fn wait(known_after: Duration, caller_timeout: Option<Duration>) -> (bool, Duration) {
    let started = Instant::now();
    let is_known = || started.elapsed() >= known_after;
    wait_until_ready(is_known, caller_timeout).await;
    (is_known(), started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_briefly_for_the_policy_and_back_ends() {
    let (is_known, waited) = wait(KNOWN_AFTER, Some(CALLER_TIMEOUT)).await;
    assert!(is_known);
    assert!(waited < KNOWN_AFTER * 2, "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_when_both_are_known() {
    assert_eq!(wait(Duration::ZERO, Some(CALLER_TIMEOUT)).await, (true, Duration::ZERO));
    let checks = Cell::new(0);
    let check = || {
        checks.set(checks.get() + 1);
        true
    };
    wait_until_ready(check, Some(CALLER_TIMEOUT)).await;
    assert_eq!(checks.get(), 1);
}

/// Without a policy the objective of a request is not known. A request that waits long and is not served is
/// worse off than one that is refused.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_long_when_they_stay_unknown() {
    let never = Duration::from_secs(3_600);
    for caller_timeout in [None, Some(CALLER_TIMEOUT), Some(Duration::from_secs(60))] {
        let (is_known, waited) = wait(never, caller_timeout).await;
        assert!(
            !is_known && waited <= MAX_READY_WAIT,
            "waited {waited:?} with a caller timeout of {caller_timeout:?}"
        );
    }
    let short_timeout = Duration::from_millis(600);
    let (_, waited) = wait(never, Some(short_timeout)).await;
    assert!(waited < short_timeout / 10, "{waited:?}");
}
