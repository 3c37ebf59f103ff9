//! Polls back ends. Each is polled by two nodes of its zone, which tell the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beamwall_fleet::{Backend, EngineClient};
use beamwall_model::{NodeId, rendezvous};
use beamwall_peer::MemberState;

use crate::actors::fleet::{ApplyReports, Publish};
use crate::shared::Shared;

/// Shortest time between polls of one back end.
const SHORTEST_PERIOD: Duration = Duration::from_millis(200);
/// Longest time between polls of one back end: news of its leaving must reach the zone in two seconds.
const LONGEST_PERIOD: Duration = Duration::from_millis(1_000);
/// Added to the period for each back end that this node polls, to bound the polls a second.
const PERIOD_PER_BACKEND: Duration = Duration::from_millis(100);
/// Longest poll.
const POLL_LIMIT: Duration = Duration::from_millis(500);
/// Polls that no node reaches in a millisecond.
const SEQUENCES_PER_MILLISECOND: u64 = 1_024;
/// Nodes that poll one back end.
const POLLERS: usize = 2;

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    // Larger than any number of an earlier life, or peers would take the reports for old ones.
    let first = shared.members.load().incarnation.saturating_mul(SEQUENCES_PER_MILLISECOND);
    let sequence = Arc::new(AtomicU64::new(first));
    let mut period = SHORTEST_PERIOD;
    loop {
        tokio::time::sleep(period).await;
        let view = shared.dispatcher.view.load_full();
        let polled: Vec<&Backend> =
            view.backends().map(|view| &view.backend).filter(|backend| polls(&shared, backend)).collect();
        for backend in &polled {
            tokio::spawn(poll(shared.clone(), (*backend).clone(), sequence.clone()));
        }
        let count = u32::try_from(polled.len()).unwrap_or(u32::MAX);
        period = PERIOD_PER_BACKEND.saturating_mul(count).clamp(SHORTEST_PERIOD, LONGEST_PERIOD);
        let _ = shared.fleet_actor.tell(Publish).await;
    }
}

/// Whether this node is one of the pollers of a back end: of its zone's nodes, or of all when none
/// of that zone can be reached from here.
fn polls(shared: &Shared, backend: &Backend) -> bool {
    let members = shared.members.load();
    let own = &shared.settings.node;
    let alive = members.members.iter().filter(|member| member.state == MemberState::Alive);
    let mut candidates: Vec<NodeId> =
        alive.filter(|member| member.zone == backend.zone).map(|member| member.node.clone()).collect();
    if shared.settings.zone == backend.zone {
        candidates.push(own.clone());
    }
    if candidates.is_empty() {
        candidates = members.alive_with(own);
    }
    let key = backend.id.as_str().as_bytes();
    rendezvous::choose(key, &candidates, POLLERS, NodeId::as_str).into_iter().any(|node| node == own)
}

async fn poll(shared: Arc<Shared>, backend: Backend, sequence: Arc<AtomicU64>) {
    let client = EngineClient::new(shared.dispatcher.pool.clone(), backend.address, POLL_LIMIT);
    let number = sequence.fetch_add(1, Ordering::Relaxed);
    let report = client.poll(&backend.id, &shared.settings.node, number).await;
    let tell = shared.members.load().tell_polled();
    let apply = ApplyReports { reports: vec![report], tell };
    if shared.fleet_actor.ask(apply).await.unwrap_or(false) {
        shared.urgent.notify_one();
    }
}
