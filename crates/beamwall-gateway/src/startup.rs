//! Requests that come before a gateway knows its first policy and its first back ends.
//!
//! Where all gateways start at once the balancer sends callers to those that are not ready, too. What they ask for can mostly be
//! served some tens of milliseconds later, so they wait for a moment instead of being refused one after the other.

use std::time::Duration;

use tokio::time::Instant;

/// Longest wait: a request that is held for long and refused then is worse off than one that is refused at once.
pub const MAX_READY_WAIT: Duration = Duration::from_millis(200);
/// Part of a caller's patience that it waits at most: the objective, a fraction of it, is not known without a policy.
const CALLER_TIMEOUT_DIVISOR: u32 = 16;
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `is_known`, as long as a caller of this `patience` may be held without knowing whether it can be served.
pub async fn wait_until_ready(is_known: impl Fn() -> bool, caller_timeout: Option<Duration>) {
    let max_wait = caller_timeout
        .map_or(MAX_READY_WAIT, |caller_timeout| MAX_READY_WAIT.min(caller_timeout / CALLER_TIMEOUT_DIVISOR));
    let wait_deadline = Instant::now() + max_wait;
    while !is_known() && Instant::now() < wait_deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
