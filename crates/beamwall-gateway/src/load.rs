//! Open requests by back end: this node's own, counted exactly, and its peers', as last reported.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::BackendId;

use crate::reporter::Reporter;

/// Weight of a newly reported number of prompt tokens in the moving average, in percent. A prompt is
/// prefilled in a fraction of the time between two reports, so a single report says little about the current
/// load; the average shows how busy the back end usually is.
const NEWEST_REPORT_PERCENT: u64 = 30;

/// Open requests at one back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenLoad {
    /// Requests sent and not completed.
    pub requests: u32,
    /// Prompt tokens to be prefilled for requests without a response so far.
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
    /// Own requests that have begun to respond.
    responding: HashMap<BackendId, u32>,
    peers: HashMap<Reporter, HashMap<BackendId, OpenLoad>>,
    /// Sums over all peers, so that the cost of a lookup does not grow with the number of peers.
    peer_sums: HashMap<BackendId, OpenLoad>,
}

impl State {
    fn remove_peer(&mut self, peer: &Reporter) {
        for (backend, load) in self.peers.remove(peer).unwrap_or_default() {
            if let Some(sum) = self.peer_sums.get_mut(&backend) {
                *sum -= load;
                if *sum == OpenLoad::default() {
                    self.peer_sums.remove(&backend);
                }
            }
        }
    }
}

/// Open requests by back end.
#[derive(Debug, Default)]
pub struct LoadTracker {
    state: Mutex<State>,
}

impl LoadTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a request; it is counted until the guard is dropped.
    pub fn open(self: &Arc<Self>, backend: &BackendId, prompt_tokens: u64) -> OpenRequestGuard {
        let mut state = self.lock();
        let load = state.own.entry(backend.clone()).or_default();
        *load += OpenLoad { requests: 1, prompt_tokens };
        OpenRequestGuard {
            tracker: self.clone(),
            backend: backend.clone(),
            prompt_tokens,
            is_responding: false,
        }
    }

    /// Open requests of this node to which a back end has begun to respond.
    pub fn responding_requests(&self, backend: &BackendId) -> u32 {
        self.lock().responding.get(backend).copied().unwrap_or(0)
    }

    /// Back ends that have begun to respond to open requests of this node.
    pub fn back_ends_responding(&self) -> Vec<BackendId> {
        self.lock().responding.keys().cloned().collect()
    }

    /// Open requests of all nodes at a back end.
    pub fn total(&self, backend: &BackendId) -> OpenLoad {
        let state = self.lock();
        let mut total = state.own.get(backend).copied().unwrap_or_default();
        total += state.peer_sums.get(backend).copied().unwrap_or_default();
        total
    }

    /// This node's open requests, to be reported to peers.
    pub fn own(&self) -> Vec<(BackendId, OpenLoad)> {
        self.lock().own.iter().map(|(backend, load)| (backend.clone(), *load)).collect()
    }

    /// Replaces a peer's previous report; the prompt tokens of both are averaged.
    pub fn set_peer(&self, peer: &Reporter, mut loads: HashMap<BackendId, OpenLoad>) {
        let mut state = self.lock();
        if let Some(before) = state.peers.get(peer) {
            average_prompt_tokens(before, &mut loads);
        }
        state.remove_peer(peer);
        for (backend, load) in &loads {
            *state.peer_sums.entry(backend.clone()).or_default() += *load;
        }
        state.peers.insert(peer.clone(), loads);
    }

    /// Removes a peer that is not alive.
    pub fn remove_peer(&self, peer: &Reporter) {
        self.lock().remove_peer(peer);
    }

    /// Open requests of this node and of all nodes that report their own, to be reported to other zones.
    pub fn sum_of_nodes(&self) -> HashMap<BackendId, OpenLoad> {
        let state = self.lock();
        let mut sum = state.own.clone();
        let node_loads = state.peers.iter().filter(|(peer, _)| matches!(peer, Reporter::Node(_)));
        for (backend, load) in node_loads.flat_map(|(_, loads)| loads) {
            *sum.entry(backend.clone()).or_default() += *load;
        }
        sum
    }
}

/// Guard that counts one open request at a back end until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    tracker: Arc<LoadTracker>,
    backend: BackendId,
    prompt_tokens: u64,
    is_responding: bool,
}

impl OpenRequestGuard {
    /// Records that the back end has prefilled the prompt and begun to respond.
    pub fn start_response(&mut self) {
        let tracker = self.tracker.clone();
        let mut state = tracker.lock();
        self.clear_prompt_tokens(&mut state);
        if !std::mem::replace(&mut self.is_responding, true) {
            *state.responding.entry(self.backend.clone()).or_default() += 1;
        }
    }

    fn clear_prompt_tokens(&mut self, state: &mut State) {
        let prefilled = std::mem::take(&mut self.prompt_tokens);
        if let Some(load) = state.own.get_mut(&self.backend) {
            load.prompt_tokens = load.prompt_tokens.saturating_sub(prefilled);
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let tracker = self.tracker.clone();
        let mut state = tracker.lock();
        self.clear_prompt_tokens(&mut state);
        if self.is_responding {
            decrement(&mut state.responding, &self.backend);
        }
        if let Some(load) = state.own.get_mut(&self.backend) {
            load.requests = load.requests.saturating_sub(1);
            if load.requests == 0 {
                state.own.remove(&self.backend);
            }
        }
    }
}

/// Averages newly reported prompt tokens with the previous ones. Reports omit back ends without open
/// requests.
fn average_prompt_tokens(before: &HashMap<BackendId, OpenLoad>, reported: &mut HashMap<BackendId, OpenLoad>) {
    for backend in before.keys() {
        reported.entry(backend.clone()).or_default();
    }
    for (backend, load) in reported.iter_mut() {
        let earlier = before.get(backend).map_or(0, |load| load.prompt_tokens);
        load.prompt_tokens =
            (load.prompt_tokens * NEWEST_REPORT_PERCENT + earlier * (100 - NEWEST_REPORT_PERCENT)) / 100;
    }
    reported.retain(|_, load| *load != OpenLoad::default());
}

fn decrement(counts: &mut HashMap<BackendId, u32>, backend: &BackendId) {
    if let Some(count) = counts.get_mut(backend) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(backend);
        }
    }
}
