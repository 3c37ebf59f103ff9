//! Counters and histograms of forwarded requests.

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.2, 2.0, 4.0, 8.0, 15.0];

/// Metrics of forwarded requests.
pub struct GatewayMetrics {
    /// Requests by kind of route, tenant and status.
    pub requests: IntCounterVec,
    /// Time to the response (for streams: to the first event) by kind of route and tenant, in seconds.
    pub latency: HistogramVec,
    /// Attempts that began to send a request to a back end, by service and whether they are its first.
    pub attempts: IntCounterVec,
    /// Attempts that wrote no byte of the request, by service.
    pub attempts_unsent: IntCounterVec,
    /// Streams continued at another engine.
    pub streams_continued: IntCounter,
    /// Streams of engines that announced their end, by what became of them.
    pub stream_moves: IntCounterVec,
    /// Streams that callers took up again, by what is known of the version that began them.
    pub streams_resumed: IntCounterVec,
    /// Streams that ended before they were complete.
    pub streams_broken: IntCounter,
    /// Requests whose back end was silent for too long. The label tells whether the request moved to another
    /// back end or what prevented that.
    pub silent_back_ends: IntCounterVec,
    /// Failed connections to callers by kind of failure.
    pub caller_connections_failed: IntCounterVec,
    /// Connections to callers that were closed, or not taken, for want of room, by what was short.
    pub caller_connections_evicted: IntCounterVec,
    /// Requests delegated to peers by outcome.
    pub delegated: IntCounterVec,
    /// Permits that were denied because of the limits that engines name, by service.
    pub permits_denied: IntCounterVec,
    /// Requests refused by quotas, by tenant and by which part of the quota was used up.
    pub quota_refusals: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let requests = IntCounterVec::new(
            Opts::new("beamwall_gateway_requests_total", "requests by kind of route, tenant and status"),
            &["kind", "tenant", "status"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new("beamwall_gateway_latency_seconds", "time to the answer or the first event")
                .buckets(LATENCY_BUCKETS.to_vec()),
            &["kind", "tenant"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_attempts_total",
                "attempts that began to send a request to a back end: its first, or a further one",
            ),
            &["service", "order"],
        )?;
        let attempts_unsent = IntCounterVec::new(
            Opts::new("beamwall_gateway_attempts_unsent_total", "attempts that wrote no byte of the request"),
            &["service"],
        )?;
        let streams_continued = IntCounter::new(
            "beamwall_gateway_streams_continued_total",
            "streams continued at another engine",
        )?;
        let stream_moves = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_stream_moves_total",
                "streams of engines that are reclaimed: moved, ended there, or why they were not moved",
            ),
            &["outcome"],
        )?;
        let streams_resumed = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_streams_resumed_total",
                "streams that callers took up again: bound to a version, or refused for want of it",
            ),
            &["origin"],
        )?;
        let streams_broken =
            IntCounter::new("beamwall_gateway_streams_broken_total", "streams that broke off")?;
        let caller_connections_failed = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_caller_connections_failed_total",
                "connections to callers that ended by an error, by its kind",
            ),
            &["kind"],
        )?;
        let caller_connections_evicted = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_caller_connections_evicted_total",
                "connections to callers closed, or not taken, for want of room, by what was short",
            ),
            &["shortage"],
        )?;
        let silent_back_ends = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_silent_back_ends_total",
                "requests whose back end was silent for too long: left, or kept for want of this",
            ),
            &["outcome"],
        )?;
        let permits_denied = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_permits_denied_total",
                "permits denied because of the limits that engines name, by service",
            ),
            &["service"],
        )?;
        let quota_refusals = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_quota_refusals_total",
                "requests refused by quotas, by tenant and by the part of the quota that was used up",
            ),
            &["tenant", "cause"],
        )?;
        let delegated = IntCounterVec::new(
            Opts::new(
                "beamwall_gateway_delegated_total",
                "requests passed to a peer since this node can't reach the engines, by outcome",
            ),
            &["outcome"],
        )?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(attempts_unsent.clone()))?;
        registry.register(Box::new(delegated.clone()))?;
        registry.register(Box::new(permits_denied.clone()))?;
        registry.register(Box::new(quota_refusals.clone()))?;
        registry.register(Box::new(silent_back_ends.clone()))?;
        registry.register(Box::new(caller_connections_failed.clone()))?;
        registry.register(Box::new(caller_connections_evicted.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(streams_continued.clone()))?;
        registry.register(Box::new(stream_moves.clone()))?;
        registry.register(Box::new(streams_resumed.clone()))?;
        registry.register(Box::new(streams_broken.clone()))?;
        Ok(Self {
            requests,
            latency,
            attempts,
            attempts_unsent,
            streams_continued,
            stream_moves,
            streams_resumed,
            streams_broken,
            silent_back_ends,
            caller_connections_failed,
            caller_connections_evicted,
            permits_denied,
            quota_refusals,
            delegated,
        })
    }
}
