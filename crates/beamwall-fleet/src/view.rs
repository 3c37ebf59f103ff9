//! Immutable views of the fleet for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::backend::{Backend, BackendReport};
use crate::local_load::LocalLoad;

/// One back end as the request path sees it.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// What it is.
    pub backend: Backend,
    /// The newest report; `None` before the first poll.
    pub report: Option<BackendReport>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the plan gives its machine back.
    pub released: bool,
    /// When it stops; `None` when it is not leaving or waits for its requests.
    pub deadline: Option<Instant>,
    /// Whether its newest reports say that it does not answer.
    pub down: bool,
    /// What this node has sent to it.
    pub load: Arc<LocalLoad>,
}

impl BackendView {
    /// Whether it may get new work.
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.down && self.report.is_some()
    }

    /// Running and waiting requests, with this node's own as they are now.
    pub fn requests(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.running + report.waiting);
        self.load.total_requests(reported)
    }

    /// Prompt tokens not yet computed, with this node's own as they are now.
    pub fn queued_tokens(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.queued_tokens);
        self.load.total_tokens(reported)
    }
}

/// All back ends at one moment.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    by_service: HashMap<ServiceName, Vec<Arc<BackendView>>>,
    by_id: HashMap<BackendId, Arc<BackendView>>,
}

impl FleetView {
    /// A view of these back ends.
    pub fn new(backends: Vec<BackendView>) -> Self {
        let mut view = Self::default();
        for backend in backends {
            let shared = Arc::new(backend);
            view.by_id.insert(shared.backend.id.clone(), shared.clone());
            view.by_service.entry(shared.backend.service.clone()).or_default().push(shared);
        }
        view
    }

    /// Back ends of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<BackendView>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// One back end.
    pub fn backend(&self, id: &BackendId) -> Option<&Arc<BackendView>> {
        self.by_id.get(id)
    }

    /// All back ends.
    pub fn backends(&self) -> impl Iterator<Item = &Arc<BackendView>> {
        self.by_id.values()
    }
}
