//! Estimates which back ends cache which prompt parts, from this node's own requests.
//!
//! The placement node records the requests that it places for all nodes. A node that chooses by itself knows
//! only its own requests. All nodes use the same rendezvous hash, so the first engine of that hash is also
//! assumed to cache a shared part.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{BackendId, rendezvous};
use tokio::time::Instant;

use crate::ports::{Prompt, PromptPart};

/// Time after its last use for which a part is assumed to be cached.
const CACHED_PART_TTL: Duration = Duration::from_secs(30);
/// Maximum number of parts tracked; above it, the least recently used ones are evicted.
const MAX_PARTS: usize = 16_384;

#[derive(Debug, Default)]
struct State {
    parts: HashMap<u64, HashMap<BackendId, Instant>>,
}

/// Estimates which back ends cache which prompt parts.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    state: Mutex<State>,
}

impl PrefixCacheIndex {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Estimated number of prompt tokens cached by a back end: the parts in order, up to the first one that
    /// it does not cache.
    pub fn estimated_cached_tokens(&self, backend: &BackendId, prompt: &Prompt, now: Instant) -> u64 {
        let state = self.lock();
        let is_cached = |part: &&PromptPart| {
            let used = state.parts.get(&part.id).and_then(|back_ends| back_ends.get(backend));
            used.is_some_and(|used| now.saturating_duration_since(*used) < CACHED_PART_TTL)
        };
        prompt.parts.iter().take_while(is_cached).map(|part| u64::from(part.tokens)).sum()
    }

    /// Whether a back end is assumed to cache the last shared part of a prompt.
    pub fn caches_shared_part(&self, backend: &BackendId, prompt: &Prompt, now: Instant) -> bool {
        let Some(position) = prompt.parts.len().checked_sub(2) else { return false };
        let state = self.lock();
        let used = state.parts.get(&prompt.parts[position].id).and_then(|back_ends| back_ends.get(backend));
        used.is_some_and(|used| now.saturating_duration_since(*used) < CACHED_PART_TTL)
    }

    /// Records that a back end has prefilled a prompt.
    pub fn note_prefill(&self, backend: &BackendId, prompt: &Prompt, now: Instant) {
        let mut state = self.lock();
        for part in &prompt.parts {
            state.parts.entry(part.id).or_default().insert(backend.clone(), now);
        }
        if state.parts.len() > MAX_PARTS {
            evict_older_half(&mut state);
        }
    }

    /// Removes back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        let mut state = self.lock();
        for back_ends in state.parts.values_mut() {
            back_ends.retain(|backend, _| is_known(backend));
        }
        state.parts.retain(|_, back_ends| !back_ends.is_empty());
    }
}

fn evict_older_half(state: &mut State) {
    let newest = |back_ends: &HashMap<BackendId, Instant>| back_ends.values().max().copied();
    let mut uses: Vec<Instant> = state.parts.values().filter_map(newest).collect();
    uses.sort_unstable();
    let Some(median) = uses.get(uses.len() / 2).copied() else { return };
    state.parts.retain(|_, back_ends| newest(back_ends).is_some_and(|used| used > median));
}

/// Number of tokens in the shared parts of a prompt: all parts but the last, which belongs to this request
/// alone.
pub fn shared_tokens(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].iter().map(|part| u64::from(part.tokens)).sum()
}

/// The back end that all nodes prefer for a prompt, by rendezvous hash of its last shared part.
pub fn preferred_back_end<'a>(
    prompt: &Prompt,
    backends: impl IntoIterator<Item = &'a BackendId>,
) -> Option<&'a BackendId> {
    let shared = prompt.parts.len().checked_sub(2)?;
    let key = prompt.parts[shared].id.to_be_bytes();
    backends.into_iter().max_by_key(|backend| rendezvous::weight(&key, backend.as_str()))
}
