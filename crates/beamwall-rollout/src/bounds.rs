//! What a bad version may get.

use std::time::Duration;

/// The bounds on a bad version, as the operators of a deployment set them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Share of the requests that reach its service between the order and its end, 0 to 1.
    pub exposure_share: f64,
    /// Requests beside.
    pub exposure_slack: f64,
    /// Time after its fiftieth bad answer in which it still may get requests.
    pub rollback: Duration,
}

impl Bounds {
    /// Requests that a bad version may get of `requests`.
    pub fn exposure(&self, requests: f64) -> f64 {
        self.exposure_share * requests + self.exposure_slack
    }
}
