//! What gateways tell each other of the back ends that they observe.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::EngineModelLearnt;
use beamwall_gateway::Reporter;
use beamwall_peer::gateway_message::{BackendSlowness, ServiceModel};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::heartbeat_wire;

/// Least time between two heartbeats that tell what was observed of services, for each peer told: about 200 bytes a
/// service, so that they cost some 4 KB a second whatever the number of peers.
const REPORT_PERIOD_PER_PEER: Duration = Duration::from_millis(50);
/// The same whatever the number of peers: a service is known within some seconds.
const MIN_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Least time between two fits, however often heartbeats are sent: on 0.12 of a core a fit takes a millisecond.
const FIT_PERIOD: Duration = Duration::from_millis(500);

impl PeerExchange {
    /// Fits the models of services anew, when it is time.
    pub(super) fn fit_models(&self) {
        if !self.model_fit_throttle.admit(FIT_PERIOD) {
            return;
        }
        let models = &self.gateway.forwarder.knowledge.models;
        for service in models.refresh(Instant::now()) {
            let estimates = models.estimates(&service);
            emit(&EngineModelLearnt {
                service: service.to_string(),
                tokens_per_ms: format!("{:.1}", estimates.tokens_per_ms().unwrap_or(0.0)),
                idle_event_gap_ms: format!("{:.1}", estimates.event_gap_ms(0).unwrap_or(0.0)),
                deviation: format!("{:.2}", estimates.first_event_deviation().unwrap_or(0.0)),
            });
        }
    }

    /// What this node observed, for its peers; of services only now and then.
    pub(super) fn own_observations(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.knowledge.models;
        let slowness = heartbeat_wire::encode_slowness(models.own_slowness(Instant::now()));
        let reported = if self.is_model_report_due() { models.own() } else { Vec::new() };
        (heartbeat_wire::encode_models(reported), slowness)
    }

    /// What the nodes of this zone observed, for other zones.
    pub(super) fn observations_of_zone(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.knowledge.models;
        let is_node = |reporter: &Reporter| matches!(reporter, Reporter::Node(_));
        let slowness = heartbeat_wire::encode_slowness(models.slowness_of(is_node, Instant::now()));
        (heartbeat_wire::encode_models(models.sum_of(is_node)), slowness)
    }

    /// Takes what somebody else observed. A heartbeat without sums leaves those told before.
    pub(super) fn apply_observations(
        &self,
        reporter: &Reporter,
        models: &[ServiceModel],
        slowness: &[BackendSlowness],
    ) {
        let known = &self.gateway.forwarder.knowledge.models;
        if !models.is_empty() {
            known.set_peer(reporter, heartbeat_wire::decode_models(models));
        }
        known.set_peer_slowness(reporter, heartbeat_wire::decode_slowness(slowness), Instant::now());
    }

    fn is_model_report_due(&self) -> bool {
        let peers = u32::try_from(self.members.load().zone_size).unwrap_or(u32::MAX);
        let period = MIN_REPORT_PERIOD.max(REPORT_PERIOD_PER_PEER * peers);
        self.model_report_throttle.admit(period)
    }
}
