//! Decides what share of the requests goes to the new version, and when it receives all of them.
//!
//! A bad version may show its fault only at the end. Whatever its answers were so far, the new version
//! must therefore at no time have received more requests than the bounds allow a bad one. This leaves it
//! a small share for most of the time, and all requests shortly before the order's end: of an allowance
//! of ten in 100 requests, a fifth is spent on the small share that shows how the version behaves, and
//! the rest is the whole traffic of the last seven in 100 of the time. After the end of the order no
//! bound applies.

use std::time::Duration;

use crate::bounds::Bounds;

/// Fraction of the allowance that is used, because requests are counted late and arrive unevenly.
const USABLE_FRACTION: f64 = 0.9;
/// Fraction of the used allowance that is spent on the small share over the whole time.
const CANARY_FRACTION: f64 = 0.2;
/// Upper limit of the small share, for services with few requests.
const MAX_CANARY_SHARE: f64 = 0.25;

/// Request counts and rate of a service during a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Requests since the order.
    pub requests: f64,
    /// Requests sent to the new version.
    pub exposed: f64,
    /// Current request rate per second.
    pub per_second: f64,
    /// Time until the order's end.
    pub time_left: Duration,
}

impl Traffic {
    fn expected_requests(&self) -> f64 {
        self.per_second * self.time_left.as_secs_f64()
    }

    /// Requests that the new version may receive until the order's end.
    fn allowed(&self, bounds: &Bounds) -> f64 {
        USABLE_FRACTION * bounds.exposure(self.requests + self.expected_requests())
    }
}

/// The small share, chosen so that the remaining allowance lasts until the order's end.
pub fn share(traffic: &Traffic, bounds: &Bounds) -> f64 {
    let remaining = CANARY_FRACTION * traffic.allowed(bounds) - traffic.exposed;
    (remaining / traffic.expected_requests().max(1.0)).clamp(0.0, MAX_CANARY_SHARE)
}

/// Time from now until the new version may receive all requests: from then on the remaining requests fit
/// in the remaining allowance.
pub fn takes_all_in(traffic: &Traffic, bounds: &Bounds) -> Duration {
    let share = share(traffic, bounds);
    let time_left_s = traffic.time_left.as_secs_f64();
    let remaining_allowance = traffic.allowed(bounds) - traffic.exposed - share * traffic.expected_requests();
    let full_traffic_s = remaining_allowance.max(0.0) / (traffic.per_second * (1.0 - share)).max(1e-9);
    Duration::from_secs_f64((time_left_s - full_traffic_s).max(0.0))
}
