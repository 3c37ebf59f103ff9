//! Estimate of the prompt prefixes that engines have cached, from the requests that this node sent.
//!
//! Engines publish cache events late and with gaps. The estimate is therefore based on which prompt
//! was sent to which engine, and is corrected by the cache hits that engines report in each response.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use beamwall_model::BackendId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes in one block; prefixes are compared in whole blocks.
const BLOCK_BYTES: usize = 1_024;
/// Leading blocks of a prompt that are hashed; the rest of a longer prompt is ignored.
const BLOCKS_PER_PROMPT: usize = 64;
/// Blocks in the index; when it is exceeded, the half that was used least recently is dropped.
const BLOCK_LIMIT: usize = 65_536;

#[derive(Debug, Default)]
struct State {
    use_counter: u64,
    blocks: HashMap<u64, Vec<(BackendId, u64)>>,
}

/// Index of prompt blocks by the engines that are expected to have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    state: Mutex<State>,
}

/// Returns the block hashes of a prompt. Each hash covers all blocks before it, so that equal hashes mean
/// equal prefixes.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut previous = 0;
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCKS_PER_PROMPT);
    chunks
        .map(|chunk| {
            previous = xxh3_64_with_seed(chunk, previous);
            previous
        })
        .collect()
}

impl PrefixIndex {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Estimated bytes of the prompt prefix that each engine has cached.
    pub fn cached_bytes(&self, blocks: &[u64]) -> HashMap<BackendId, usize> {
        let state = self.lock();
        let mut cached = HashMap::new();
        for (position, block) in blocks.iter().enumerate() {
            for (engine, _) in state.blocks.get(block).map_or(&[][..], Vec::as_slice) {
                let known = cached.entry(engine.clone()).or_insert(0);
                if *known == position * BLOCK_BYTES {
                    *known = (position + 1) * BLOCK_BYTES;
                }
            }
        }
        cached
    }

    /// Records that an engine computed a prompt.
    pub fn record_computed(&self, engine: &BackendId, blocks: &[u64]) {
        let mut state = self.lock();
        state.use_counter += 1;
        let now = state.use_counter;
        for block in blocks {
            let engines = state.blocks.entry(*block).or_default();
            match engines.iter_mut().find(|(known, _)| known == engine) {
                Some((_, used)) => *used = now,
                None => engines.push((engine.clone(), now)),
            }
        }
        if state.blocks.len() > BLOCK_LIMIT {
            drop_oldest_half(&mut state);
        }
    }

    /// Removes an engine from the blocks of a prompt beyond the `cached_bytes` that it reported as cached.
    pub fn correct(&self, engine: &BackendId, blocks: &[u64], cached_bytes: usize) {
        let mut state = self.lock();
        for block in &blocks[(cached_bytes / BLOCK_BYTES).min(blocks.len())..] {
            if let Some(engines) = state.blocks.get_mut(block) {
                engines.retain(|(known, _)| known != engine);
            }
        }
    }

    /// Removes an engine that no longer exists.
    pub fn remove_engine(&self, engine: &BackendId) {
        let mut state = self.lock();
        for engines in state.blocks.values_mut() {
            engines.retain(|(known, _)| known != engine);
        }
        state.blocks.retain(|_, engines| !engines.is_empty());
    }
}

fn drop_oldest_half(state: &mut State) {
    let mut last_uses: Vec<u64> = state.blocks.values().filter_map(|engines| last_used(engines)).collect();
    last_uses.sort_unstable();
    let median = last_uses.get(last_uses.len() / 2).copied().unwrap_or(0);
    state.blocks.retain(|_, engines| last_used(engines).is_some_and(|used| used > median));
}

fn last_used(engines: &[(BackendId, u64)]) -> Option<u64> {
    engines.iter().map(|(_, used)| *used).max()
}
