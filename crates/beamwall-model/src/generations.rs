//! Generations of nodes: a node that restarts begins a new one and counts from zero. Sums over several nodes
//! name the generations that they include, so that a receiver knows which counts of two sums may be the same.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::identifiers::NodeId;

/// Hash of a node generation, which identifies it in four bytes.
pub fn generation_hash(node: &NodeId, generation: u64) -> u32 {
    xxh3_64(format!("{node}/{generation}").as_bytes()) as u32
}

/// Hashes of node generations, in ascending order. Cloning is cheap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSet(Arc<[u32]>);

impl GenerationSet {
    /// The hashes in ascending order.
    pub fn as_slice(&self) -> &[u32] {
        &self.0
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a generation is in this set.
    pub fn contains(&self, hash: u32) -> bool {
        self.0.binary_search(&hash).is_ok()
    }

    /// Whether all generations of `other` are in this set.
    pub fn contains_all(&self, other: &Self) -> bool {
        self == other || (other.0.len() < self.0.len() && other.0.iter().all(|hash| self.contains(*hash)))
    }
}

impl Default for GenerationSet {
    fn default() -> Self {
        std::iter::empty().collect()
    }
}

impl FromIterator<u32> for GenerationSet {
    fn from_iter<I: IntoIterator<Item = u32>>(hashes: I) -> Self {
        let mut hashes: Vec<u32> = hashes.into_iter().collect();
        hashes.sort_unstable();
        hashes.dedup();
        Self(hashes.into())
    }
}
