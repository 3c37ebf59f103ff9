//! The prefix cache of an engine: blocks of prompt, least recently used first out.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::text::BYTES_PER_TOKEN;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 64;

/// A change of the cache, as published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rising number; a gap means lost events.
    pub sequence: u64,
    /// The block's chained hash.
    pub block: u64,
    /// Whether the block was stored (else evicted).
    pub stored: bool,
}

/// Blocks in memory.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
}

/// Events kept for publishing.
const EVENT_HISTORY: usize = 4_096;

/// The chained hashes of the whole blocks of a prompt.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
    let mut previous = 0;
    let chunks = prompt.as_bytes().chunks_exact(block_bytes);
    chunks
        .map(|chunk| {
            previous = xxh3_64_with_seed(chunk, previous);
            previous
        })
        .collect()
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(capacity_tokens: u32) -> Self {
        let capacity_blocks = capacity_tokens as usize / BLOCK_TOKENS;
        Self { capacity_blocks, clock: 0, last_used: HashMap::new(), events: Vec::new(), sequence: 0 }
    }

    /// Tokens of the longest cached prefix; marks its blocks as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> u32 {
        self.clock += 1;
        let mut hits = 0;
        for block in blocks {
            let Some(used) = self.last_used.get_mut(block) else { break };
            *used = self.clock;
            hits += 1;
        }
        u32::try_from(hits * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Stores the blocks of a prompt, evicting the least recently used.
    pub fn store(&mut self, blocks: &[u64]) {
        self.clock += 1;
        for block in blocks {
            if self.last_used.insert(*block, self.clock).is_none() {
                self.publish(*block, true);
            }
        }
        self.evict();
    }

    fn evict(&mut self) {
        let excess = self.last_used.len().saturating_sub(self.capacity_blocks);
        if excess == 0 {
            return;
        }
        let mut by_age: Vec<(u64, u64)> =
            self.last_used.iter().map(|(block, used)| (*used, *block)).collect();
        by_age.sort_unstable();
        for (_, block) in by_age.into_iter().take(excess) {
            self.last_used.remove(&block);
            self.publish(block, false);
        }
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent { sequence: self.sequence, block, stored });
        if self.events.len() > EVENT_HISTORY {
            self.events.drain(..EVENT_HISTORY / 2);
        }
    }

    /// Events after `sequence` that are older than the last `withheld`, so they come late.
    pub fn events_after(&self, sequence: u64, withheld: usize) -> Vec<CacheEvent> {
        let visible = self.events.len().saturating_sub(withheld);
        self.events[..visible].iter().filter(|event| event.sequence > sequence).cloned().collect()
    }

    /// Blocks held.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }
}
