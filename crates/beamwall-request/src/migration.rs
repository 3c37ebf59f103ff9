//! Preparing to move a stream off an engine that stops soon.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::StreamMigrated;
use beamwall_fleet::{BackendView, EngineClient};
use beamwall_model::AttemptId;
use beamwall_routing::Route;
use tokio::time::Instant;

use crate::attempt::AttemptInput;
use crate::dispatcher::Dispatcher;

/// Longest time spent on moving KV cache.
const TRANSFER_LIMIT: Duration = Duration::from_secs(3);
/// Time left for the switch before the engine stops.
const SWITCH_MARGIN: Duration = Duration::from_millis(150);
/// Pause before looking for a target again.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Chooses a target and gives it the stream's KV cache if that can be done in time. The old
    /// attempt goes on meanwhile. `None` when there is no target yet.
    pub(crate) async fn prepare_move(&self, input: &AttemptInput<'_>, attempt: AttemptId) -> Option<Route> {
        let source = &input.route.backend;
        let excluded = [source.backend.id.clone()];
        let Ok(route) = self.route(input.request, input.blocks, &excluded) else {
            tokio::time::sleep(NO_TARGET_PAUSE).await;
            return None;
        };
        if route.backend.backend.id == source.backend.id {
            tokio::time::sleep(NO_TARGET_PAUSE).await;
            return None;
        }
        self.transfer_cache(source, &route.backend, &attempt).await;
        self.metrics.migrations.inc();
        emit(&StreamMigrated {
            request: input.request.id.to_string(),
            from: source.backend.id.to_string(),
            to: route.backend.backend.id.to_string(),
            delivered_tokens: input.state.token_count().to_string(),
            recomputed_tokens: input.state.usage().recomputed_tokens.to_string(),
        });
        Some(route)
    }

    async fn transfer_cache(&self, source: &BackendView, target: &BackendView, attempt: &AttemptId) -> bool {
        let stops = self.view.load().backend(&source.backend.id).and_then(|backend| backend.deadline);
        let now = Instant::now();
        let until_stop = stops.map_or(TRANSFER_LIMIT, |stops| stops.saturating_duration_since(now));
        let limit = until_stop.saturating_sub(SWITCH_MARGIN).min(TRANSFER_LIMIT);
        let exporter = EngineClient::new(self.pool.clone(), source.backend.address, limit);
        let importer = EngineClient::new(self.pool.clone(), target.backend.address, limit);
        let transfer = async {
            let exported = exporter.export_cache(attempt).await.ok().flatten()?;
            importer.import_cache(exported).await.ok()
        };
        matches!(tokio::time::timeout(limit, transfer).await, Ok(Some(true)))
    }
}
