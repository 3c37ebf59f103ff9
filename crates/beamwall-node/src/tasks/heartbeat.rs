//! Sends heartbeats with piggybacked news, every period and at once when news is urgent.

use std::sync::Arc;

use beamwall_fleet::LeavingSource;
use beamwall_model::{BackendId, NodeId};
use beamwall_peer::message::{Heartbeat, LeavingBackend, ProbeRequest, TenantDemand};
use beamwall_peer::{Body, MembershipTiming};
use tokio::time::Instant;

use crate::actors::fleet::{FleetNews, TakeNews};
use crate::actors::membership::{Tick, TickResult};
use crate::shared::{Shared, lock};
use crate::tasks::{asynchronous, cloud_watch, report_message};

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let period = MembershipTiming::default().period;
    loop {
        let _ = tokio::time::timeout(period, shared.urgent.notified()).await;
        beat(&shared).await;
    }
}

async fn beat(shared: &Arc<Shared>) {
    let Ok(tick) = shared.membership_actor.ask(Tick).await else { return };
    let Ok(news) = shared.fleet_actor.ask(TakeNews).await else { return };
    let TickResult { targets, updates, sync, died, suspected } = tick;
    let heartbeat = Heartbeat {
        members: updates,
        backends: news.reports.iter().map(report_message::encode).collect(),
        leaving: to_marks(&news),
        demands: own_demands(shared),
        machines_digest: cloud_watch::told_digest(shared),
        wants_answer: false,
    };
    let probe = shared.envelope(Body::Heartbeat(Heartbeat { wants_answer: true, ..heartbeat.clone() }));
    let plain = shared.envelope(Body::Heartbeat(heartbeat));
    shared.targets.store(Arc::new(targets.iter().map(|target| target.address).collect()));
    for target in &targets {
        shared.network.send(target.address, if target.wants_answer { &probe } else { &plain });
    }
    if let Some((address, members)) = sync {
        let body = Body::Heartbeat(Heartbeat { members, ..Heartbeat::default() });
        shared.network.send(address, &shared.envelope(body));
    }
    let seeds = shared.settings.seeds.iter().filter(|seed| **seed != shared.settings.peers);
    for seed in seeds.filter(|seed| !knows(shared, seed)) {
        shared.network.send(*seed, &probe);
    }
    for (node, address, probers) in suspected {
        ask_to_probe(shared, &node, address, &probers);
    }
    for node in died {
        tokio::spawn(asynchronous::recover_after(shared.clone(), node));
    }
}

fn knows(shared: &Shared, address: &std::net::SocketAddr) -> bool {
    shared.members.load().members.iter().any(|member| member.address == *address)
}

fn ask_to_probe(
    shared: &Shared,
    node: &NodeId,
    address: std::net::SocketAddr,
    probers: &[std::net::SocketAddr],
) {
    let body = Body::ProbeRequest(ProbeRequest { node: node.to_string(), address: address.to_string() });
    let envelope = shared.envelope(body);
    for prober in probers {
        shared.network.send(*prober, &envelope);
    }
}

fn own_demands(shared: &Shared) -> Vec<TenantDemand> {
    let demands = lock(&shared.own_demands);
    let demand =
        |(tenant, demand): (&beamwall_model::TenantName, &beamwall_routing::tenant_limit::Demand)| {
            TenantDemand {
                tenant: tenant.to_string(),
                tokens_per_second: demand.tokens as u64,
                calls_per_second: demand.calls as u64,
            }
        };
    demands.iter().map(demand).collect()
}

fn to_marks(news: &FleetNews) -> Vec<LeavingBackend> {
    let now = Instant::now();
    let mark = |(backend, source, deadline): &(BackendId, LeavingSource, Option<Instant>)| LeavingBackend {
        backend: backend.to_string(),
        source: source.as_str().to_owned(),
        remaining_ms: deadline.map(|at| at.saturating_duration_since(now).as_millis() as u64),
    };
    news.leaving.iter().map(mark).collect()
}
