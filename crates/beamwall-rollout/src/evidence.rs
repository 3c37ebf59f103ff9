//! Counts of good and bad answers of both versions.

use std::collections::BTreeMap;

use beamwall_model::BackendId;

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
}

impl Evidence {
    /// Adds the counts of other nodes.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.exposed += other.exposed;
        merge(&mut self.old, &other.old, AnswerCounts::add);
        merge(&mut self.new, &other.new, AnswerCounts::add);
    }

    /// Raises each count to the value in a later report of the same nodes.
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
