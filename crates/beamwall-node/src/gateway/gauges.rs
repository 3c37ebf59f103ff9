//! Gauges of the state of a gateway, updated when metrics are scraped.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use beamwall_gateway::Gateway;
use beamwall_peer::MemberState;
use prometheus::{GaugeVec, IntGauge, Opts, Registry};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::readiness::Readiness;
use crate::metrics::gauge;

/// Gauges of one gateway.
pub struct GatewayGauges {
    policy_version: IntGauge,
    policy_version_told: IntGauge,
    policy_behind_ms: IntGauge,
    confirmed_age_ms: GaugeVec,
    members_without_store: IntGauge,
    peer_sent_bytes: IntGauge,
    peer_sent_bytes_by_kind: GaugeVec,
    directory_revision: IntGauge,
    store_era: IntGauge,
    backends_usable: IntGauge,
    backends_draining: IntGauge,
    members_alive: IntGauge,
    members_known: IntGauge,
    ready: IntGauge,
    open_requests: IntGauge,
    caller_connections: IntGauge,
    caller_memory_bytes: IntGauge,
    paced_back_ends: IntGauge,
    log_lines_dropped: IntGauge,
    peer_messages_dropped: IntGauge,
    peer_messages_unreadable: IntGauge,
    peer_messages_unknown: IntGauge,
    nodes_heard: IntGauge,
    peers_ended_abruptly: IntGauge,
    engine_model_known: GaugeVec,
    engine_factor: GaugeVec,
    quota_level: GaugeVec,
    retries_left: GaugeVec,
    retries: GaugeVec,
    retry_sharing_nodes: IntGauge,
    requests_held: IntGauge,
    requests_suspected: IntGauge,
    refused_by_freed_holds: IntGauge,
}

fn gauge_by(label: &str, name: &str, help: &str, registry: &Registry) -> Result<GaugeVec, prometheus::Error> {
    let gauge = GaugeVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// The gauge of the range of the engines' lasting factors: three series a service.
fn factor_gauge(registry: &Registry) -> Result<GaugeVec, prometheus::Error> {
    let options = Opts::new(
        "beamwall_gateway_engine_factor",
        "lasting time of a service's engines relative to its usual: of the fastest, the middle and the slowest",
    );
    let gauge = GaugeVec::new(options, &["service", "of"])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// The gauge of what became of the retries: four series a service.
fn retries_gauge(registry: &Registry) -> Result<GaugeVec, prometheus::Error> {
    let options = Opts::new(
        "beamwall_gateway_retries",
        "since start: requests that earned retries, retries granted, refused, and returned unspent",
    );
    let gauge = GaugeVec::new(options, &["service", "outcome"])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

impl GatewayGauges {
    /// Registers the gauges.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let add = |name, help| gauge(name, help, registry);
        Ok(Self {
            policy_version: add("beamwall_gateway_policy_version", "version of the policy in force")?,
            policy_version_told: add(
                "beamwall_gateway_policy_version_told",
                "newest version of the policy that a peer told",
            )?,
            policy_behind_ms: add(
                "beamwall_gateway_policy_behind_ms",
                "time for which this node has lacked a version that a peer told",
            )?,
            confirmed_age_ms: gauge_by(
                "resource",
                "beamwall_gateway_confirmed_age_ms",
                "time since the store confirmed, to this node or a peer, that this node holds the newest state",
                registry,
            )?,
            members_without_store: add(
                "beamwall_gateway_members_without_store",
                "nodes whose calls to the store fail, this one included",
            )?,
            peer_sent_bytes: add("beamwall_gateway_peer_sent_bytes", "bytes sent to peers since start")?,
            peer_sent_bytes_by_kind: gauge_by(
                "kind",
                "beamwall_gateway_peer_sent_bytes_by_kind",
                "bytes sent to peers since start by kind of message",
                registry,
            )?,
            directory_revision: add(
                "beamwall_gateway_directory_revision",
                "revision of the back ends known",
            )?,
            store_era: add(
                "beamwall_gateway_store_era",
                "era of the store of the back ends known, 0 if none",
            )?,
            backends_usable: add("beamwall_gateway_backends_usable", "back ends that take requests")?,
            backends_draining: add("beamwall_gateway_backends_draining", "back ends that are leaving")?,
            members_alive: add("beamwall_gateway_members_alive", "nodes believed alive, this one included")?,
            members_known: add("beamwall_gateway_members_known", "nodes known, this one included")?,
            ready: add("beamwall_gateway_ready", "1 while this node takes callers")?,
            open_requests: add("beamwall_gateway_open_requests", "requests open at back ends")?,
            caller_connections: add(
                "beamwall_gateway_caller_connections",
                "connections to callers that are open",
            )?,
            caller_memory_bytes: add(
                "beamwall_gateway_caller_memory_bytes",
                "what is held for callers: connections, and bodies of requests and answers",
            )?,
            paced_back_ends: add(
                "beamwall_gateway_paced_back_ends",
                "back ends that have just started or recovered and get a share of their requests",
            )?,
            log_lines_dropped: add("beamwall_gateway_log_lines_dropped", "log lines dropped since start")?,
            peer_messages_dropped: add(
                "beamwall_gateway_peer_messages_dropped",
                "messages to peers dropped since start",
            )?,
            peer_messages_unreadable: add(
                "beamwall_gateway_peer_messages_unreadable",
                "messages of peers that could not be read since start",
            )?,
            peer_messages_unknown: add(
                "beamwall_gateway_peer_messages_unknown",
                "messages of peers of a kind that this build does not know since start",
            )?,
            peers_ended_abruptly: add(
                "beamwall_gateway_peers_ended_abruptly",
                "lives of peers that ended without a drain since start",
            )?,
            requests_held: add(
                "beamwall_gateway_requests_held",
                "requests that are not sent since back ends ended under them",
            )?,
            requests_suspected: add(
                "beamwall_gateway_requests_suspected",
                "requests that were open at back ends that ended lately, held ones included",
            )?,
            refused_by_freed_holds: add(
                "beamwall_gateway_refused_by_freed_holds",
                "requests refused since start for what was held and is free now",
            )?,
            nodes_heard: add("beamwall_gateway_nodes_heard", "nodes that share quotas and are heard")?,
            engine_model_known: gauge_by(
                "service",
                "beamwall_gateway_engine_model_known",
                "1 where enough was observed of a service's model engines to plan their number",
                registry,
            )?,
            engine_factor: factor_gauge(registry)?,
            quota_level: gauge_by(
                "tenant",
                "beamwall_gateway_quota_level",
                "work that a tenant may pass now, in the unit of its quota",
                registry,
            )?,
            retries_left: gauge_by(
                "service",
                "beamwall_gateway_retries_left",
                "retries that may be taken now",
                registry,
            )?,
            retries: retries_gauge(registry)?,
            retry_sharing_nodes: add(
                "beamwall_gateway_retry_sharing_nodes",
                "nodes among which this node divides the extra retries",
            )?,
        })
    }

    /// Sets all gauges to the current values.
    pub fn refresh(&self, gateway: &Arc<Gateway>, exchange: &PeerExchange, readiness: &Readiness) {
        let directory = gateway.forwarder.directory.load();
        let draining = directory.backends().filter(|backend| backend.draining).count();
        let view = exchange.members.load();
        let alive = view.members.iter().filter(|member| member.state == MemberState::Alive).count();
        self.policy_version.set(gateway.policy.load().version() as i64);
        let (newest, behind) = exchange.policies.newest_reported();
        self.policy_version_told.set(newest as i64);
        self.policy_behind_ms.set(behind.as_millis() as i64);
        for (resource, confirmation) in exchange.freshness.all() {
            let age_ms = confirmation.age().as_millis() as f64;
            self.confirmed_age_ms.with_label_values(&[resource]).set(age_ms);
        }
        let lost_elsewhere = view.members.iter().filter(|member| member.store_lost).count();
        let lost_here = usize::from(exchange.store_status.is_lost());
        self.members_without_store.set((lost_elsewhere + lost_here) as i64);
        self.directory_revision.set(directory.revision().number as i64);
        self.store_era.set(directory.revision().era as i64);
        self.backends_usable.set((directory.backends().count() - draining) as i64);
        self.backends_draining.set(draining as i64);
        self.members_alive.set(alive as i64 + 1);
        self.members_known.set(view.members.len() as i64 + 1);
        self.ready.set(i64::from(readiness.is_ready()));
        self.open_requests.set(i64::from(exchange.open_requests()));
        let held = gateway.caller_budget.usage();
        self.caller_connections.set(held.connections as i64);
        self.caller_memory_bytes.set(held.memory_bytes as i64);
        let paced = gateway.forwarder.backend_state.pace.paced(Instant::now());
        self.paced_back_ends.set(paced as i64);
        self.log_lines_dropped.set(beamwall_events::dropped_lines() as i64);
        let traffic = &exchange.network.traffic;
        self.peer_messages_dropped.set(traffic.dropped_messages.load(Ordering::Relaxed) as i64);
        self.peer_messages_unreadable.set(traffic.unreadable_messages.load(Ordering::Relaxed) as i64);
        self.peer_messages_unknown.set(traffic.unknown_messages.load(Ordering::Relaxed) as i64);
        self.peer_sent_bytes.set(traffic.sent_bytes.load(Ordering::Relaxed) as i64);
        for (kind, bytes) in traffic.sent_bytes_by_kind() {
            self.peer_sent_bytes_by_kind.with_label_values(&[kind]).set(bytes as f64);
        }
        let quarantine_registry = &gateway.forwarder.quarantine.registry;
        self.requests_held.set(quarantine_registry.held().len() as i64);
        self.requests_suspected.set(quarantine_registry.suspects() as i64);
        self.refused_by_freed_holds.set(gateway.forwarder.quarantine.refused_by_freed_holds() as i64);
        self.peers_ended_abruptly.set(exchange.peer_restarts.ended_abruptly() as i64);
        // New quota accounts are otherwise opened with the heartbeat after a policy change; a scrape before
        // it shows them too.
        exchange.share_limits();
        self.refresh_limits(gateway);
        self.refresh_models(gateway);
    }

    fn refresh_models(&self, gateway: &Gateway) {
        self.engine_model_known.reset();
        let policy = gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.engine.is_some()) {
            let is_known = gateway.forwarder.estimates(&service.name).is_known();
            self.engine_model_known
                .with_label_values(&[service.name.as_str()])
                .set(f64::from(u8::from(is_known)));
        }
        self.refresh_engine_factors(gateway);
    }

    fn refresh_engine_factors(&self, gateway: &Gateway) {
        self.engine_factor.reset();
        let policy = gateway.policy.load();
        for service in policy.policy().services.iter().filter(|service| service.engine.is_some()) {
            let models = &gateway.forwarder.backend_state.models;
            let Some(spread) = models.factor_spread(&service.name) else { continue };
            for (of, factor) in [("fastest", spread.min), ("middle", spread.median), ("slowest", spread.max)]
            {
                self.engine_factor.with_label_values(&[service.name.as_str(), of]).set(factor);
            }
        }
    }

    /// Sets the gauges of quotas and retry budgets; removed tenants and services lose their series.
    fn refresh_limits(&self, gateway: &Gateway) {
        self.nodes_heard.set(gateway.quotas.membership().reachable as i64);
        self.quota_level.reset();
        for (tenant, level) in gateway.quotas.levels() {
            self.quota_level.with_label_values(&[tenant.as_str()]).set(level);
        }
        self.retries_left.reset();
        for (service, available) in gateway.forwarder.retries.available_retries() {
            self.retries_left.with_label_values(&[service.as_str()]).set(available);
        }
        self.refresh_retries(gateway);
    }

    fn refresh_retries(&self, gateway: &Gateway) {
        let retries = &gateway.forwarder.retries;
        self.retry_sharing_nodes.set(retries.sharing_nodes() as i64);
        self.retries.reset();
        for (service, counts) in retries.counts() {
            let by_outcome = [
                ("earned_by", counts.earned_by),
                ("granted", counts.granted),
                ("refused", counts.refused),
                ("returned", counts.returned),
            ];
            for (outcome, count) in by_outcome {
                self.retries.with_label_values(&[service.as_str(), outcome]).set(count as f64);
            }
        }
    }
}
