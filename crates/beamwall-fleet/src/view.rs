//! Immutable snapshots of the fleet for the request path.

use std::collections::HashMap;
use std::sync::Arc;

use beamwall_model::{BackendId, ServiceName};
use tokio::time::Instant;

use crate::backend::{Backend, BackendReport};
use crate::local_load::LocalLoad;

/// Snapshot of one back end for the request path.
#[derive(Debug, Clone)]
pub struct BackendView {
    /// Identity and properties of the back end.
    pub backend: Backend,
    /// The newest successful poll; `None` before the first.
    pub report: Option<BackendReport>,
    /// Whether any source reports the back end as leaving.
    pub leaving: bool,
    /// Whether the placement plan releases its machine.
    pub released: bool,
    /// When the back end stops; `None` if it is not leaving or stops after its requests have ended.
    pub deadline: Option<Instant>,
    /// Whether its most recent polls failed.
    pub down: bool,
    /// Open requests of this node at the back end.
    pub load: Arc<LocalLoad>,
}

impl BackendView {
    /// Whether new requests may be sent to the back end.
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.down && self.report.is_some()
    }

    /// Running and waiting requests: the reported ones of other nodes and the current ones of this node.
    pub fn requests(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.running + report.waiting);
        self.load.total_requests(reported)
    }

    /// Prompt tokens not yet computed: the reported ones of other nodes and the current ones of this node.
    pub fn queued_tokens(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.queued_tokens);
        self.load.total_tokens(reported)
    }
}

/// Snapshot of all back ends.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    by_service: HashMap<ServiceName, Vec<Arc<BackendView>>>,
    by_id: HashMap<BackendId, Arc<BackendView>>,
}

impl FleetView {
    /// Creates a snapshot of these back ends.
    pub fn new(backends: Vec<BackendView>) -> Self {
        let mut view = Self::default();
        for backend in backends {
            let shared = Arc::new(backend);
            view.by_id.insert(shared.backend.id.clone(), shared.clone());
            view.by_service.entry(shared.backend.service.clone()).or_default().push(shared);
        }
        view
    }

    /// The back ends of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<BackendView>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Looks up a back end by identifier.
    pub fn backend(&self, id: &BackendId) -> Option<&Arc<BackendView>> {
        self.by_id.get(id)
    }

    /// All back ends.
    pub fn backends(&self) -> impl Iterator<Item = &Arc<BackendView>> {
        self.by_id.values()
    }
}
