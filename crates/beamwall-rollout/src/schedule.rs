//! How many requests the new version gets, and from when on all.
//!
//! A bad version may show it only at the end. So at no moment the new version may have got more than the bounds allow of a bad
//! one, whatever its answers were so far. That leaves it a small share for most of the time, and all requests for the last
//! moments before the order's end: of ten in 100 that are allowed, a fifth shows what it does, and the rest is all traffic
//! of the last seven in 100 of the time. After the end of the order no bound holds.

use std::time::Duration;

use crate::bounds::Bounds;

/// Part of what a bad version may get that is used at all: requests are counted late, and come unevenly.
const USABLE_FRACTION: f64 = 0.9;
/// Part of that which the small share uses over the whole time.
const CANARY_FRACTION: f64 = 0.2;
/// Largest small share, where there are few requests.
const MAX_CANARY_SHARE: f64 = 0.25;

/// What is known of a service's requests during a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Requests since the order.
    pub requests: f64,
    /// Those among them that went to the new version.
    pub exposed: f64,
    /// Requests a second now.
    pub per_second: f64,
    /// Time until the order's end.
    pub left: Duration,
}

impl Traffic {
    fn expected_requests(&self) -> f64 {
        self.per_second * self.left.as_secs_f64()
    }

    /// Requests that the new version may get until the order's end.
    fn allowed(&self, bounds: &Bounds) -> f64 {
        USABLE_FRACTION * bounds.exposure(self.requests + self.expected_requests())
    }
}

/// The small share, so that what is left of it lasts until the end.
pub fn share(traffic: &Traffic, bounds: &Bounds) -> f64 {
    let left = CANARY_FRACTION * traffic.allowed(bounds) - traffic.exposed;
    (left / traffic.expected_requests().max(1.0)).clamp(0.0, MAX_CANARY_SHARE)
}

/// Time from now until the new version may take all requests: from then on they are no more than what is left.
pub fn takes_all_in(traffic: &Traffic, bounds: &Bounds) -> Duration {
    let share = share(traffic, bounds);
    let left = traffic.left.as_secs_f64();
    let spare = traffic.allowed(bounds) - traffic.exposed - share * traffic.expected_requests();
    let all_for = spare.max(0.0) / (traffic.per_second * (1.0 - share)).max(1e-9);
    Duration::from_secs_f64((left - all_for).max(0.0))
}
