//! What gateways tell each other of the back ends that they observe.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::EngineModelLearnt;
use beamwall_gateway::Reporter;
use beamwall_peer::gateway_message::{BackendSlowness, ServiceModel};
use tokio::time::Instant;

use crate::gateway::beat;
use crate::gateway::exchange::Exchange;

/// Least time between two heartbeats that tell what was observed of services, for each peer told: about 200 bytes a
/// service, so that they cost some 4 KB a second whatever the number of peers.
const TELLING_PERIOD_PER_PEER: Duration = Duration::from_millis(50);
/// The same whatever the number of peers: a service is known within some seconds.
const LEAST_TELLING_PERIOD: Duration = Duration::from_secs(1);

/// Least time between two fits, however often heartbeats are sent: on 0.12 of a core a fit takes a millisecond.
const REFRESH_PERIOD: Duration = Duration::from_millis(500);

impl Exchange {
    /// Fits the models of services anew, when it is time.
    pub(super) fn refresh_models(&self) {
        if !self.models_refreshed.admit(REFRESH_PERIOD) {
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
    }

    /// What this node observed, for its peers; of services only now and then.
    pub(super) fn own_observations(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.backend_state.models;
        let slowness = beat::encode_slowness(models.own_slowness(Instant::now()));
        let told = if self.is_time_to_tell_models() { models.own_statistics() } else { Vec::new() };
        (beat::encode_models(told), slowness)
    }

    /// What the nodes of this zone observed, for other zones.
    pub(super) fn observations_of_zone(&self) -> (Vec<ServiceModel>, Vec<BackendSlowness>) {
        let models = &self.gateway.forwarder.backend_state.models;
        let is_node = |reporter: &Reporter| matches!(reporter, Reporter::Node(_));
        let slowness = beat::encode_slowness(models.merged_slowness(is_node, Instant::now()));
        (beat::encode_models(models.merged_statistics(is_node)), slowness)
    }

    /// Takes what somebody else observed. A heartbeat without sums leaves those told before.
    pub(super) fn take_observations(
        &self,
        reporter: &Reporter,
        models: &[ServiceModel],
        slowness: &[BackendSlowness],
    ) {
        let known = &self.gateway.forwarder.backend_state.models;
        if !models.is_empty() {
            known.set_peer_statistics(reporter, beat::decode_models(models));
        }
        known.set_peer_slowness(reporter, beat::decode_slowness(slowness), Instant::now());
    }

    fn is_time_to_tell_models(&self) -> bool {
        let peers = u32::try_from(self.members.load().zone_size).unwrap_or(u32::MAX);
        let period = LEAST_TELLING_PERIOD.max(TELLING_PERIOD_PER_PEER * peers);
        self.models_told.admit(period)
    }
}
