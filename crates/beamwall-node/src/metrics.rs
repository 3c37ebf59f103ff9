//! Metrics of the node itself; those of requests are in `beamwall-request`.

use prometheus::{Encoder, IntGauge, Registry, TextEncoder};

/// Metrics of the node.
pub struct NodeMetrics {
    /// Everything registered.
    pub registry: Registry,
    /// Settings revision in force.
    pub revision: IntGauge,
    /// Members believed alive, this node included.
    pub members_alive: IntGauge,
    /// Back ends that accept work.
    pub backends_usable: IntGauge,
    /// Calls made to the platform.
    pub platform_calls: IntGauge,
    /// Whether the platform answered the last call.
    pub platform_healthy: IntGauge,
    /// Bytes sent to peers.
    pub peer_bytes_sent: IntGauge,
    /// Messages to peers that were dropped.
    pub peer_messages_dropped: IntGauge,
    /// Requests held.
    pub open_requests: IntGauge,
}

/// Registers a gauge.
pub(crate) fn gauge(name: &str, help: &str, registry: &Registry) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

impl NodeMetrics {
    /// Registers the metrics.
    pub fn new(registry: Registry) -> Result<Self, prometheus::Error> {
        let add = |name, help| gauge(name, help, &registry);
        Ok(Self {
            revision: add("beamwall_settings_revision", "settings revision in force")?,
            members_alive: add("beamwall_members_alive", "members believed alive, this node included")?,
            backends_usable: add("beamwall_backends_usable", "back ends that accept work")?,
            platform_calls: add("beamwall_platform_calls", "calls made to the platform since start")?,
            platform_healthy: add("beamwall_platform_healthy", "1 while the platform answers")?,
            peer_bytes_sent: add("beamwall_peer_bytes_sent", "bytes sent to peers since start")?,
            peer_messages_dropped: add(
                "beamwall_peer_messages_dropped",
                "messages to peers dropped since start",
            )?,
            open_requests: add("beamwall_open_requests", "model requests open at this node")?,
            registry,
        })
    }

    /// All metrics in the text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        buffer
    }
}
