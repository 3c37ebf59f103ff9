//! Exchange of observations of back ends between gateways.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{EngineModelLearnt, EngineSpeedLearnt};
use beamwall_gateway::Reporter;
use beamwall_peer::gateway_message::{BackendSlowness, ServiceModel};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::heartbeat_wire;

/// Minimum time between two heartbeats that carry service statistics, per peer that receives them: with about
/// 200 bytes a service, they cost some 4 KB a second whatever the number of peers.
const REPORT_PERIOD_PER_PEER: Duration = Duration::from_millis(50);
/// Minimum time between them whatever the number of peers, so that a service is known within a few seconds.
const MIN_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two fits, however often heartbeats are sent: on 0.12 of a core a fit takes a
/// millisecond.
const FIT_PERIOD: Duration = Duration::from_millis(500);

impl PeerExchange {
    /// Fits the service models again if the period has passed.
    pub(super) fn fit_models(&self) {
        if !self.model_fit_throttle.admit(FIT_PERIOD) {
            return;
        }
        let models = &self.gateway.forwarder.backend_state.models;
        for service in models.refresh(Instant::now()) {
            let estimates = models.estimates(&service);
            emit(&EngineModelLearnt {
                service: service.to_string(),
                tokens_per_ms: format!("{:.1}", estimates.tokens_per_ms().unwrap_or(0.0)),
                idle_event_gap_ms: format!("{:.1}", estimates.event_gap_ms(0).unwrap_or(0.0)),
                deviation: format!("{:.2}", estimates.first_event_deviation().unwrap_or(0.0)),
            });
        }
        for (backend, factor) in models.take_newly_notable(Instant::now()) {
            emit(&EngineSpeedLearnt { backend: backend.to_string(), factor: format!("{factor:.2}") });
        }
    }

    /// Observations of this node, for its peers; service statistics are included only periodically.
    pub(super) fn own_observations(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.backend_state.models;
        let slowness = heartbeat_wire::encode_slowness(models.own_slowness(Instant::now()));
        let reported = if self.is_model_report_due() { models.own_statistics() } else { Vec::new() };
        (heartbeat_wire::encode_models(reported), slowness)
    }

    /// Observations of the nodes of this zone, for other zones.
    pub(super) fn observations_of_zone(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.backend_state.models;
        let is_node = |reporter: &Reporter| matches!(reporter, Reporter::Node(_));
        let slowness = heartbeat_wire::encode_slowness(models.merged_slowness(is_node, Instant::now()));
        (heartbeat_wire::encode_models(models.merged_statistics(is_node)), slowness)
    }

    /// Applies the observations of another node or zone. A heartbeat without service statistics leaves the
    /// previous ones in place.
    pub(super) fn apply_observations(
        &self,
        reporter: &Reporter,
        models: &[ServiceModel],
        slowness: &[BackendSlowness],
    ) {
        let known = &self.gateway.forwarder.backend_state.models;
        if !models.is_empty() {
            known.set_peer_statistics(reporter, heartbeat_wire::decode_models(models));
        }
        known.set_peer_slowness(reporter, heartbeat_wire::decode_slowness(slowness), Instant::now());
    }

    fn is_model_report_due(&self) -> bool {
        let peers = u32::try_from(self.members.load().zone_size).unwrap_or(u32::MAX);
        let period = MIN_REPORT_PERIOD.max(REPORT_PERIOD_PER_PEER * peers);
        self.model_report_throttle.admit(period)
    }
}
