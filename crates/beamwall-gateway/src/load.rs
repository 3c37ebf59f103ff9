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

impl std::ops::SubAssign for OpenLoad {
    fn sub_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
    }
}

#[derive(Debug, Default)]
struct State {
    own: HashMap<BackendId, OpenLoad>,
    peers: HashMap<NodeId, HashMap<BackendId, OpenLoad>>,
    /// Sums over all peers, so that a look-up does not grow with their number.
    of_peers: HashMap<BackendId, OpenLoad>,
}

impl State {
    fn forget_peer(&mut self, node: &NodeId) {
        for (backend, load) in self.peers.remove(node).unwrap_or_default() {
            if let Some(sum) = self.of_peers.get_mut(&backend) {
                *sum -= load;
                if *sum == OpenLoad::default() {
                    self.of_peers.remove(&backend);
                }
            }
        }
    }
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
        total += state.of_peers.get(backend).copied().unwrap_or_default();
        total
    }

    /// This node's open work, to be told to peers.
    pub fn own(&self) -> Vec<(BackendId, OpenLoad)> {
        self.lock().own.iter().map(|(backend, load)| (backend.clone(), *load)).collect()
    }

    /// Replaces what a peer told before.
    pub fn set_peer(&self, node: &NodeId, loads: HashMap<BackendId, OpenLoad>) {
        let mut state = self.lock();
        state.forget_peer(node);
        for (backend, load) in &loads {
            *state.of_peers.entry(backend.clone()).or_default() += *load;
        }
        state.peers.insert(node.clone(), loads);
    }

    /// Forgets a peer that is not alive.
    pub fn forget_peer(&self, node: &NodeId) {
        self.lock().forget_peer(node);
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
