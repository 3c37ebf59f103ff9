//! Wire format of the cloud API: paths. Bodies are the JSON representation of the types in [`crate::cloud`].

use std::time::Duration;

use beamwall_model::BackendId;

/// Path of the machines: GET lists them, POST requests one.
pub const MACHINES: &str = "/cloud/machines";
/// Path of the prices by zone and machine class.
pub const OFFERS: &str = "/cloud/offers";
/// Path of the notices that machines are reclaimed.
pub const NOTICES: &str = "/cloud/notices";

/// Path of one machine.
pub fn machine_path(machine: &BackendId) -> String {
    format!("{MACHINES}/{machine}")
}

/// Path of a long poll for notices.
pub fn notices_path(sequence: u64, wait: Duration) -> String {
    format!("{NOTICES}?after={sequence}&wait-ms={}", wait.as_millis())
}
