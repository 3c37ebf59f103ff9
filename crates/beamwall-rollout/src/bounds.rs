//! Limits on the traffic that a bad version may receive.

use std::time::Duration;

/// The limits on a bad version, as configured by the operators of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Share of the service's requests between the start and the end of the order, 0 to 1.
    pub exposure_share: f64,
    /// Requests allowed in addition to that share.
    pub exposure_slack: f64,
    /// Time after its fiftieth bad answer within which the version may still receive requests.
    pub rollback: Duration,
}

impl Bounds {
    /// Number of requests that a bad version may receive out of `requests`.
    pub fn exposure(&self, requests: f64) -> f64 {
        self.exposure_share * requests + self.exposure_slack
    }
}
