//! Detects that this process did not run for a while: it was stopped, got no CPU time, or a synchronous step
//! blocked it.
//!
//! Timeouts that this process holds against peers and back ends exclude that time on their own
//! (`beamwall_clock::process_clock`). This module records and logs it.

use std::time::Duration;

use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::ProcessStoodStill;
use prometheus::{Histogram, HistogramOpts, Registry};

use crate::gateway::suspension::SuspensionMonitor;

/// Timer delay from which a stall is logged.
const LOG_THRESHOLD: Duration = Duration::from_millis(250);
/// Upper bounds of the histogram's buckets, in seconds.
const LATENESS_BUCKETS: &[f64] = &[0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// Records how late the timers of this process fire.
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

    /// Watches this process for stalls and its machine for suspensions until the task is aborted.
    pub async fn watch(self, mut suspensions: SuspensionMonitor) {
        process_clock::monitor(move |late| {
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
