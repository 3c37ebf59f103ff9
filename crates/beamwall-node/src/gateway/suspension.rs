//! Detects suspensions of the machine: the clock that counts suspended time has run ahead of the monotonic
//! one.
//!
//! Leases and timeouts take that clock into account on their own (`beamwall-clock`). This module logs the
//! suspension, and sends a heartbeat at once so that peers report what changed meanwhile.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::MachineSuspended;
use tokio::sync::Notify;

/// Shorter suspensions are within the tolerance of leases and timeouts.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// Suspended time of the machine at the last check.
pub struct SuspensionMonitor {
    suspended_before: Duration,
    heartbeat_trigger: Arc<Notify>,
}

impl SuspensionMonitor {
    /// Ignores suspensions up to now; `heartbeat_trigger` is notified after each later one.
    pub fn new(heartbeat_trigger: Arc<Notify>) -> Self {
        Self { suspended_before: beamwall_clock::suspended_time(), heartbeat_trigger }
    }

    /// Checks whether the machine was suspended since the last check.
    pub fn detect_suspension(&mut self) {
        let suspended = beamwall_clock::suspended_time();
        let length = suspended.saturating_sub(self.suspended_before);
        self.suspended_before = suspended;
        if length >= MIN_SUSPENSION {
            emit(&MachineSuspended { asleep_ms: length.as_millis().to_string() });
            self.heartbeat_trigger.notify_one();
        }
    }
}
