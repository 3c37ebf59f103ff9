//! Notices that the machine was suspended: the clock that counts the time asleep has run ahead of the steady one.
//!
//! What holds by a term looks at that clock by itself (`beamwall-clock`). Here the node tells of it, and tells its peers at once
//! that it is back, so that they tell it what is new.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::MachineSuspended;
use tokio::sync::Notify;

/// A shorter suspension is within what terms allow anyway.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// What was known of suspensions at the last look.
pub struct SuspensionMonitor {
    asleep_before: Duration,
    heartbeat_trigger: Arc<Notify>,
}

impl SuspensionMonitor {
    /// Knows the suspensions until now; `news` is told after each further one.
    pub fn new(heartbeat_trigger: Arc<Notify>) -> Self {
        Self { asleep_before: beamwall_clock::asleep(), heartbeat_trigger }
    }

    /// Looks whether the machine was suspended since the last look.
    pub fn detect_suspension(&mut self) {
        let asleep = beamwall_clock::asleep();
        let length = asleep.saturating_sub(self.asleep_before);
        self.asleep_before = asleep;
        if length >= MIN_SUSPENSION {
            emit(&MachineSuspended { asleep_ms: length.as_millis().to_string() });
            self.heartbeat_trigger.notify_one();
        }
    }
}
