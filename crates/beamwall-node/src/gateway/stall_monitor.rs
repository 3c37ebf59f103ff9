//! Notices that this process did not run for a while: it was stopped, got no processor, or a step of its work took that long.
//!
//! What counts against others leaves that time out by itself (`beamwall_clock::running`). Here the node tells of it.

use std::time::Duration;

use beamwall_clock::running;
use beamwall_events::emit;
use beamwall_events::internal_events::ProcessStoodStill;
use prometheus::{Histogram, HistogramOpts, Registry};

use crate::gateway::suspension::SuspensionMonitor;

/// Lateness of the process's timers that is worth a line in the log.
const LOG_THRESHOLD: Duration = Duration::from_millis(250);
/// Upper bounds of the buckets of lateness, in seconds.
const LATENESS_BUCKETS: &[f64] = &[0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// How late the timers of this process are.
pub struct StallMonitor {
    lateness: Histogram,
}

impl StallMonitor {
    /// Registers the histogram.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options =
            HistogramOpts::new("beamwall_gateway_timers_late_seconds", "how late this process's timers fire");
        let lateness = Histogram::with_opts(options.buckets(LATENESS_BUCKETS.to_vec()))?;
        registry.register(Box::new(lateness.clone()))?;
        Ok(Self { lateness })
    }

    /// Watches this process and its machine until the task is ended.
    pub async fn watch(self, mut suspensions: SuspensionMonitor) {
        running::watch(move |late| {
            self.note(late);
            suspensions.detect_suspension();
        })
        .await;
    }

    fn note(&self, late: Duration) {
        self.lateness.observe(late.as_secs_f64());
        if late >= LOG_THRESHOLD {
            emit(&ProcessStoodStill { late_ms: late.as_millis().to_string() });
        }
    }
}
