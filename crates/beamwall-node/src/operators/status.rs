//! The status of the deployment as this node sees it.

use std::collections::BTreeMap;

use beamwall_fleet::BackendView;
use beamwall_peer::Member;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::shared::{Shared, lock};

/// Everything an operator asks first.
pub fn status(shared: &Shared) -> Value {
    let tree = shared.tree.load();
    let members = shared.members.load();
    let view = shared.dispatcher.view.load();
    let mut backends: Vec<Value> = view.backends().map(|backend| backend_json(backend)).collect();
    backends.sort_by_key(|backend| backend["id"].as_str().map(str::to_owned));
    json!({
        "node": shared.settings.node.as_str(),
        "zone": shared.settings.zone.as_str(),
        "ready": shared.is_ready(),
        "draining": shared.is_draining(),
        "revision": tree.revision,
        "digest": format!("{:016x}", tree.resolved.digest),
        "platform_healthy": shared.store.healthy(),
        "zones": zones(shared, &members.members),
        "members": members.members.iter().map(member_json).collect::<Vec<_>>(),
        "leases": leases(shared),
        "backends": backends,
        "open_requests": shared.registry.open().len(),
        "queues": queues(shared),
    })
}

fn member_json(member: &Member) -> Value {
    json!({
        "node": member.node.as_str(),
        "zone": member.zone.as_str(),
        "state": member.state.as_str(),
        "incarnation": member.incarnation,
        "revision": member.revision,
        "ready": member.ready,
        "draining": member.draining,
        "silent_ms": member.last_received.map(|heard| heard.elapsed().as_millis() as u64),
    })
}

/// Zones with their members; a zone whose members are all silent is cut off from here.
fn zones(shared: &Shared, members: &[Member]) -> Value {
    let mut alive: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    alive.insert(shared.settings.zone.as_str(), (1, 1));
    for member in members {
        let (known, up) = alive.entry(member.zone.as_str()).or_default();
        *known += 1;
        *up += usize::from(member.state == beamwall_peer::MemberState::Alive);
    }
    let zone = |(name, (known, up)): (&str, (usize, usize))| json!({"zone": name, "known": known, "alive": up, "reachable": up > 0});
    Value::Array(alive.into_iter().map(zone).collect())
}

fn leases(shared: &Shared) -> Value {
    let leases = lock(&shared.leases);
    let lease = |(name, state): (&String, &tokio::sync::watch::Receiver<beamwall_store::LeaseState>)| {
        let state = state.borrow();
        json!({"lease": name, "holder": state.holder, "epoch": state.epoch, "held_here": state.held_epoch().is_some()})
    };
    Value::Array(leases.iter().map(lease).collect())
}

fn queues(shared: &Shared) -> Value {
    let tree = shared.tree.load();
    let queue = |name: &beamwall_model::ServiceName| {
        let (open, waiting) = shared.dispatcher.lane(name).queue.depth();
        json!({"service": name.as_str(), "open": open, "waiting": waiting})
    };
    Value::Array(tree.resolved.services.keys().map(queue).collect())
}

/// A back end as JSON.
pub fn backend_json(backend: &BackendView) -> Value {
    let report = backend.report.as_ref();
    json!({
        "id": backend.backend.id.as_str(),
        "service": backend.backend.service.as_str(),
        "zone": backend.backend.zone.as_str(),
        "class": backend.backend.class,
        "reclaimable": backend.backend.reclaimable,
        "accepts_work": backend.accepts_work(),
        "leaving": backend.leaving,
        "stops_in_ms": backend.deadline.map(|at| at.saturating_duration_since(Instant::now()).as_millis() as u64),
        "down": backend.down,
        "model": report.map(|report| report.model.clone()),
        "version": report.map(|report| report.version.clone()),
        "requests": backend.requests(),
        "queued_tokens": backend.queued_tokens(),
    })
}
