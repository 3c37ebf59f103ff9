//! Counts of good and bad answers of both versions.

use std::collections::BTreeMap;

use beamwall_model::{BackendId, GenerationSet};
use xxhash_rust::xxh3::Xxh3;

/// Counters of all answers and of the bad ones. Both only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u64,
    /// Answers that failed or took several times as long as expected.
    pub bad: u64,
}

impl AnswerCounts {
    /// Counts one answer.
    pub fn note(&mut self, is_bad: bool) {
        self.answers += 1;
        self.bad += u64::from(is_bad);
    }

    /// Returns the answers counted after `before`.
    pub fn since(self, before: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(before.answers),
            bad: self.bad.saturating_sub(before.bad),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    fn merge_max(&mut self, other: Self) {
        self.answers = self.answers.max(other.answers);
        self.bad = self.bad.max(other.bad);
    }
}

/// Answers by route and back end.
pub type CountsByBackEnd = BTreeMap<(String, BackendId), AnswerCounts>;

/// Counts of one node since it received an order, or the sum over several nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Requests to the service.
    pub requests: u64,
    /// Requests sent to the new version.
    pub exposed: u64,
    /// Answers of the old version.
    pub old: CountsByBackEnd,
    /// Answers of the new version.
    pub new: CountsByBackEnd,
    /// Generations of all nodes whose counts these are; empty where they are not known.
    pub generations: GenerationSet,
}

impl AsRef<Evidence> for Evidence {
    fn as_ref(&self) -> &Evidence {
        self
    }
}

impl Evidence {
    /// Evidence of one generation, which has counted nothing yet.
    pub fn of_generation(hash: u32) -> Self {
        Self { generations: std::iter::once(hash).collect(), ..Self::default() }
    }

    /// Sums the counts of different nodes. The sum names their generations if all of them are known.
    pub fn sum<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        let parts: Vec<&Self> = parts.into_iter().filter(|part| part.has_counts()).collect();
        let mut sum = Self::default();
        parts.iter().for_each(|part| sum.add_counts(part));
        if parts.iter().all(|part| !part.generations.is_empty()) {
            sum.generations = parts.iter().flat_map(|part| part.generations.as_slice()).copied().collect();
        }
        sum
    }

    /// Whether anything was counted.
    pub fn has_counts(&self) -> bool {
        self.requests > 0 || self.exposed > 0 || !self.old.is_empty() || !self.new.is_empty()
    }

    /// Whether a generation is named by both this evidence and another.
    pub fn shares_generations(&self, other: &Self) -> bool {
        other.generations.as_slice().iter().any(|hash| self.generations.contains(*hash))
    }

    /// Number of back ends on routes that have counts, of both versions.
    pub fn rows(&self) -> usize {
        self.old.len() + self.new.len()
    }

    /// Checksum of the counts, the same at each node and in each build.
    pub fn checksum(&self) -> u32 {
        let mut hasher = Xxh3::new();
        for total in [self.requests, self.exposed, self.old.len() as u64] {
            hasher.update(&total.to_le_bytes());
        }
        for ((route, back_end), counts) in self.old.iter().chain(&self.new) {
            for name in [route.as_str(), back_end.as_str()] {
                hasher.update(&(name.len() as u64).to_le_bytes());
                hasher.update(name.as_bytes());
            }
            hasher.update(&counts.answers.to_le_bytes());
            hasher.update(&counts.bad.to_le_bytes());
        }
        hasher.digest() as u32
    }

    fn add_counts(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exposed += other.exposed;
        merge(&mut self.old, &other.old, AnswerCounts::add);
        merge(&mut self.new, &other.new, AnswerCounts::add);
    }

    /// Raises each count to the value in another report of the same nodes.
    pub fn merge_max(&mut self, reported: &Self) {
        self.requests = self.requests.max(reported.requests);
        self.exposed = self.exposed.max(reported.exposed);
        self.merge_old_max(&reported.old);
        merge(&mut self.new, &reported.new, AnswerCounts::merge_max);
    }

    /// During an upgrade, the relays of a zone may report the same answers in two forms: by back end, or
    /// as one sum without a back end id. The former replaces the latter; otherwise the answers would be
    /// counted twice.
    fn merge_old_max(&mut self, reported: &CountsByBackEnd) {
        match (is_by_back_end(&self.old), is_by_back_end(reported)) {
            (true, false) => {}
            (false, true) => self.old.clone_from(reported),
            (true, true) | (false, false) => merge(&mut self.old, reported, AnswerCounts::merge_max),
        }
    }

    /// Bad answers of the new version.
    pub fn new_bad_answers(&self) -> u64 {
        self.new.values().map(|counts| counts.bad).sum()
    }

    /// Answers of the new version.
    pub fn new_answers(&self) -> u64 {
        self.new.values().map(|counts| counts.answers).sum()
    }
}

/// Whether the counts are by back end rather than one sum over all back ends.
fn is_by_back_end(counts: &CountsByBackEnd) -> bool {
    counts.keys().any(|(_, back_end)| !back_end.as_str().is_empty())
}

/// Merges `others` into `own`, entry by entry, with the function `take`.
fn merge(own: &mut CountsByBackEnd, others: &CountsByBackEnd, combine: fn(&mut AnswerCounts, AnswerCounts)) {
    for (key, counts) in others {
        combine(own.entry(key.clone()).or_default(), *counts);
    }
}
