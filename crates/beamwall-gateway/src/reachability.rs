//! Detects that this node is partitioned from the engines of a service.
//!
//! A single engine that can't be reached has probably crashed. If several can't be reached and none has
//! responded since, either all of them are down or this node is partitioned from them; peers know which. Until
//! a response arrives, the service counts as unreachable from this node.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

/// Engines that must have failed without a response in between, where there are as many.
const MIN_FAILED_ENGINES: usize = 2;
/// Time for which a failure is remembered.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// What this node observed of one service's engines.
#[derive(Debug, Default)]
struct ServiceState {
    /// Engines that could not be reached since the last response of any engine.
    failed: HashMap<BackendId, Instant>,
    unreachable_since: Option<Instant>,
}

/// The services whose engines this node can't reach.
#[derive(Debug, Default)]
pub struct EngineReachability {
    services: Mutex<HashMap<ServiceName, ServiceState>>,
}

impl EngineReachability {
    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that one of `usable` engines of a service could not be reached or was silent. Returns whether
    /// the service has become unreachable by that.
    pub fn note_failure(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        usable: usize,
        now: Instant,
    ) -> bool {
        let mut services = self.lock();
        let state = services.entry(service.clone()).or_default();
        state.failed.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_MEMORY);
        state.failed.insert(backend.clone(), now);
        let is_new =
            state.unreachable_since.is_none() && state.failed.len() >= MIN_FAILED_ENGINES.min(usable);
        if is_new {
            state.unreachable_since = Some(now);
        }
        is_new
    }

    /// Records that an engine of a service responded. Returns for how long the service was unreachable, if it
    /// was.
    pub fn note_response(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let since = self.lock().remove(service)?.unreachable_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Whether this node can't reach the engines of a service.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        self.lock().get(service).is_some_and(|state| state.unreachable_since.is_some())
    }

    /// The services whose engines this node can't reach.
    pub fn unreachable(&self) -> Vec<ServiceName> {
        let services = self.lock();
        let unreachable = services.iter().filter(|(_, state)| state.unreachable_since.is_some());
        unreachable.map(|(service, _)| service.clone()).collect()
    }
}
