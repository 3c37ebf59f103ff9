//! Rendezvous (highest random weight) hashing.
//!
//! When a candidate is removed, only the keys assigned to it move. It is used for session affinity, for
//! selecting the nodes that watch or poll, and for the owner of a claim shard.

use xxhash_rust::xxh3::Xxh3;

/// The pseudorandom weight of one candidate for one key.
pub fn weight(key: &[u8], candidate: &str) -> u64 {
    weight_of(key, candidate.as_bytes())
}

fn weight_of(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(candidate);
    hasher.digest()
}

/// The score of one candidate for one key (logarithmic method). It is at most 0, and the candidate with the
/// highest score is chosen. The probability of each candidate is its share of the sum of all shares given; a
/// share below 1 counts as 1.
pub fn weighted_score(key: &[u8], candidate: &[u8], share: f64) -> f64 {
    // The hash, mapped to a number above 0 and at most 1.
    let hash = (weight_of(key, candidate) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    hash.min(1.0).ln() / share.max(1.0)
}

/// The `count` candidates with the highest [`weighted_score`], highest first.
pub fn choose_weighted<'a>(key: &[u8], candidates: &[(&'a str, f64)], count: usize) -> Vec<&'a str> {
    let score = |name: &str, share: f64| weighted_score(key, name.as_bytes(), share);
    let mut scored: Vec<(f64, &str)> =
        candidates.iter().map(|(name, share)| (score(name, *share), *name)).collect();
    scored.sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    scored.into_iter().take(count).map(|(_, name)| name).collect()
}

/// The `count` candidates with the highest [`weight`], highest first.
pub fn choose<'a, T, F>(key: &[u8], candidates: &'a [T], count: usize, name: F) -> Vec<&'a T>
where
    F: Fn(&T) -> &str,
{
    let mut weighted: Vec<(u64, &T)> =
        candidates.iter().map(|candidate| (weight(key, name(candidate)), candidate)).collect();
    weighted.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| name(left.1).cmp(name(right.1))));
    weighted.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}
