//! Open work by back end: this node's own, exactly, and the peers', as they last told it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::{BackendId, NodeId};

/// Open work at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub prompt_tokens: u64,
}

impl std::ops::AddAssign for OpenLoad {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
    }
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<BackendId, OpenLoad>,
    peers: HashMap<NodeId, HashMap<BackendId, OpenLoad>>,
}

/// Open work by back end.
#[derive(Debug, Default)]
pub struct LoadBook {
    state: Mutex<State>,
}

impl LoadBook {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens one request; it counts until the guard is dropped.
    pub fn open(self: &Arc<Self>, backend: &BackendId, prompt_tokens: u64) -> OpenWork {
        let mut state = self.lock();
        let load = state.own.entry(backend.clone()).or_default();
        *load += OpenLoad { requests: 1, prompt_tokens };
        OpenWork { book: self.clone(), backend: backend.clone(), prompt_tokens }
    }

    /// Open work of all nodes at a back end.
    pub fn total(&self, backend: &BackendId) -> OpenLoad {
        let state = self.lock();
        let mut total = state.own.get(backend).copied().unwrap_or_default();
        for loads in state.peers.values() {
            if let Some(load) = loads.get(backend) {
                total += *load;
            }
        }
        total
    }

    /// This node's open work, to be told to peers.
    pub fn own(&self) -> Vec<(BackendId, OpenLoad)> {
        self.lock().own.iter().map(|(backend, load)| (backend.clone(), *load)).collect()
    }

    /// Replaces what a peer told before.
    pub fn set_peer(&self, node: &NodeId, loads: HashMap<BackendId, OpenLoad>) {
        self.lock().peers.insert(node.clone(), loads);
    }

    /// Forgets peers that are not alive.
    pub fn retain_peers(&self, is_alive: impl Fn(&NodeId) -> bool) {
        self.lock().peers.retain(|node, _| is_alive(node));
    }
}

/// One open request at one back end.
#[derive(Debug)]
pub struct OpenWork {
    book: Arc<LoadBook>,
    backend: BackendId,
    prompt_tokens: u64,
}

impl OpenWork {
    /// Notes that the back end has read the prompt.
    pub fn begin_answer(&mut self) {
        let read = std::mem::take(&mut self.prompt_tokens);
        if let Some(load) = self.book.lock().own.get_mut(&self.backend) {
            load.prompt_tokens = load.prompt_tokens.saturating_sub(read);
        }
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.begin_answer();
        let mut state = self.book.lock();
        if let Some(load) = state.own.get_mut(&self.backend) {
            load.requests = load.requests.saturating_sub(1);
            if load.requests == 0 {
                state.own.remove(&self.backend);
            }
        }
    }
}
