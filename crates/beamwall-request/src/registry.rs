//! The requests that this node holds, by identifier.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{RequestId, TenantName};
use tokio::time::Instant;

use crate::model_request::ModelRequest;
use crate::request_state::RequestState;

/// Time for which an ended request can still be read.
const KEEP_ENDED: Duration = Duration::from_secs(120);
/// Requests kept at most after their end.
const KEEP_LIMIT: usize = 10_000;

#[derive(Debug, Clone)]
struct Held {
    request: Arc<ModelRequest>,
    state: Arc<RequestState>,
    ended: Option<Instant>,
}

/// The requests that this node holds.
#[derive(Debug, Default)]
pub struct RequestRegistry {
    held: Mutex<HashMap<RequestId, Held>>,
}

impl RequestRegistry {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    pub fn insert(&self, request: Arc<ModelRequest>, state: Arc<RequestState>) {
        self.lock().insert(request.id.clone(), Held { request, state, ended: None });
    }

    /// A request of this tenant; another tenant's is not found.
    pub fn find(
        &self,
        id: &RequestId,
        tenant: &TenantName,
    ) -> Option<(Arc<ModelRequest>, Arc<RequestState>)> {
        let held = self.lock();
        let found = held.get(id).filter(|held| held.state.tenant == *tenant)?;
        Some((found.request.clone(), found.state.clone()))
    }

    /// Notes that a request ended. It is kept for a while when `keep`.
    pub fn end(&self, id: &RequestId, keep: bool) {
        let mut held = self.lock();
        if !keep {
            held.remove(id);
            return;
        }
        let now = Instant::now();
        if let Some(entry) = held.get_mut(id) {
            entry.ended = Some(now);
        }
        if held.len() > KEEP_LIMIT {
            held.retain(|_, entry| entry.ended.is_none());
        }
    }

    /// Drops requests that ended long ago.
    pub fn sweep(&self) {
        let now = Instant::now();
        let old = |held: &Held| held.ended.is_some_and(|ended| now.duration_since(ended) > KEEP_ENDED);
        self.lock().retain(|_, held| !old(held));
    }

    /// Requests that have not ended.
    pub fn open(&self) -> Vec<(Arc<ModelRequest>, Arc<RequestState>)> {
        let held = self.lock();
        let open = held.values().filter(|held| held.ended.is_none());
        open.map(|held| (held.request.clone(), held.state.clone())).collect()
    }
}
