//! Handles requests that arrive before the gateway knows its first policy and back ends.
//!
//! If all gateways start at the same time, the load balancer also sends requests to those that are not ready.
//! Most of these requests can be served some tens of milliseconds later, so they wait briefly instead of
//! being refused.

use std::time::Duration;

use tokio::time::Instant;

/// Longest wait. A request that is refused after a long wait is worse off than one that is refused
/// immediately.
pub const MAX_READY_WAIT: Duration = Duration::from_millis(200);
/// The wait is limited to the caller's timeout divided by this. The route's objective, which is a fraction of
/// the timeout, is not known without a policy.
const CALLER_TIMEOUT_DIVISOR: u32 = 16;
/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `is_known` returns true, for at most as long as a caller with this timeout may be delayed
/// before it is known whether its request can be served.
pub async fn wait_until_ready(is_known: impl Fn() -> bool, caller_timeout: Option<Duration>) {
    let max_wait = caller_timeout
        .map_or(MAX_READY_WAIT, |caller_timeout| MAX_READY_WAIT.min(caller_timeout / CALLER_TIMEOUT_DIVISOR));
    let wait_deadline = Instant::now() + max_wait;
    while !is_known() && Instant::now() < wait_deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
