//! Rendezvous (highest random weight) hashing.
//!
//! When a candidate leaves, only the keys that were on it move. Used for session affinity, for
//! choosing the nodes that watch or poll, and for the owner of a claim shard.

use xxhash_rust::xxh3::Xxh3;

/// The weight of one candidate for one key.
pub fn weight(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// The `count` candidates of highest weight, highest first.
pub fn choose<'a, T, F>(key: &[u8], candidates: &'a [T], count: usize, name: F) -> Vec<&'a T>
where
    F: Fn(&T) -> &str,
{
    let mut weighted: Vec<(u64, &T)> =
        candidates.iter().map(|candidate| (weight(key, name(candidate)), candidate)).collect();
    weighted.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| name(left.1).cmp(name(right.1))));
    weighted.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}
