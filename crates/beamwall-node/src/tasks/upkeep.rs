//! Sweeps ended requests, refreshes gauges and tells when the platform goes away and comes back.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{PlatformAway, PlatformBack};
use tokio::time::Instant;

use crate::shared::Shared;

const PERIOD: Duration = Duration::from_secs(1);

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let mut away_since: Option<Instant> = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        shared.registry.sweep();
        refresh_gauges(&shared);
        match (shared.store.healthy(), away_since) {
            (false, None) => {
                away_since = Some(Instant::now());
                emit(&PlatformAway { reason: "last call was not answered".to_owned() });
            }
            (true, Some(since)) => {
                away_since = None;
                emit(&PlatformBack { away_ms: since.elapsed().as_millis().to_string() });
            }
            _ => {}
        }
    }
}

fn gauge(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn refresh_gauges(shared: &Shared) {
    let metrics = &shared.metrics;
    let alive = shared.members.load().alive_with(&shared.settings.node).len();
    let usable = shared.dispatcher.view.load().backends().filter(|backend| backend.accepts_work()).count();
    let traffic = &shared.network.traffic;
    let read =
        |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed) as i64;
    metrics.revision.set(shared.tree.load().revision as i64);
    metrics.members_alive.set(gauge(alive));
    metrics.backends_usable.set(gauge(usable));
    metrics.platform_calls.set(shared.store.budget().calls_made() as i64);
    metrics.platform_healthy.set(shared.store.healthy().into());
    metrics.peer_bytes_sent.set(read(&traffic.sent_bytes));
    metrics.peer_messages_dropped.set(read(&traffic.dropped_messages));
    metrics.open_requests.set(gauge(shared.registry.open().len()));
}
