//! Progress of a node's start: what it still waits for, in the log and as metrics.
//!
//! A node that has started and isn't ready is told by its balancer only as a failed check. It therefore says itself
//! what it lacks, since when, and how the last calls to the store failed.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{GatewayNotReady, GatewayReady};
use prometheus::{GaugeVec, IntGauge, Opts, Registry};
use tokio::time::Instant;

use crate::gateway::readiness::{Missing, Readiness};
use crate::metrics::gauge;

/// Time between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a node that isn't ready is logged; a start usually takes less.
const FIRST_REPORT_AFTER: Duration = Duration::from_secs(2);
/// Time between two further log lines.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Reports the progress of a start.
pub struct StartProgress {
    readiness: Arc<Readiness>,
    started: Instant,
    /// 1 for each thing that the node waits for.
    missing: GaugeVec,
    /// Time from the start until the node was ready first, or until now.
    ready_after_ms: IntGauge,
}

impl StartProgress {
    /// Begins with the start of the node; registers the metrics.
    pub fn new(readiness: Arc<Readiness>, registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = Opts::new("beamwall_gateway_missing", "1 while this node waits for it to be ready");
        let missing = GaugeVec::new(options, &["what"])?;
        registry.register(Box::new(missing.clone()))?;
        let ready_after_ms = gauge(
            "beamwall_gateway_ready_after_ms",
            "time from the start of this node until it was ready first, or until now",
            registry,
        )?;
        Ok(Self { readiness, started: Instant::now(), missing, ready_after_ms })
    }

    /// Reports until the node is ready for the first time.
    pub async fn report(self) {
        let mut next_report = self.started + FIRST_REPORT_AFTER;
        while !self.readiness.is_ready() {
            self.refresh_metrics();
            if Instant::now() >= next_report {
                self.log_missing();
                next_report += REPORT_PERIOD;
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
        self.refresh_metrics();
        emit(&GatewayReady {
            after_ms: self.elapsed_ms().to_string(),
            policy: self.readiness.policy_version().to_string(),
            backends: self.readiness.known_backends().to_string(),
        });
    }

    fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn refresh_metrics(&self) {
        let missing = self.readiness.missing();
        for what in Missing::ALL {
            self.missing
                .with_label_values(&[what.as_str()])
                .set(f64::from(u8::from(missing.contains(&what))));
        }
        self.ready_after_ms.set(i64::try_from(self.elapsed_ms()).unwrap_or(i64::MAX));
    }

    fn log_missing(&self) {
        let missing: Vec<&str> = self.readiness.missing().into_iter().map(Missing::as_str).collect();
        emit(&GatewayNotReady {
            missing: missing.join(", "),
            after_ms: self.elapsed_ms().to_string(),
            backends: self.readiness.known_backends().to_string(),
            last_failures: self.readiness.last_store_failures(),
        });
    }
}
