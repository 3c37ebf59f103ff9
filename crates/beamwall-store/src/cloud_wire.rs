//! Wire format of the cloud API: paths. Bodies are the JSON form of the port's types.

use std::time::Duration;

use beamwall_model::BackendId;

/// Machines: GET lists, POST asks for one.
pub const MACHINES: &str = "/cloud/machines";
/// Prices by zone and class.
pub const OFFERS: &str = "/cloud/offers";
/// Notices.
pub const NOTICES: &str = "/cloud/notices";

/// Path of one machine.
pub fn machine_path(machine: &BackendId) -> String {
    format!("{MACHINES}/{machine}")
}

/// Path that waits for notices.
pub fn notices_path(sequence: u64, wait: Duration) -> String {
    format!("{NOTICES}?after={sequence}&wait-ms={}", wait.as_millis())
}
