//! Evidence of node generations that have ended. A node that restarts knows nothing of what was counted
//! before, so each report to peers lists the ended generations that its sender knows, and contains the counts
//! of those that a peer did not list.

use std::collections::{BTreeMap, BTreeSet};

use beamwall_model::ZoneName;

use crate::evidence::Evidence;
use crate::node_evidence::{EndedDigest, EndedGeneration, EndedReport};

/// Generations in a list, 8 bytes each. If more are known, those with the lowest hashes are listed and told.
const MAX_LISTED: usize = 1_024;

/// Counts of back ends on routes in one report, about 25 bytes each, as many as a large service has. A report
/// contains at least one generation; the others follow with the next reports.
const MAX_TOLD_ROWS: usize = 1_000;

#[derive(Debug)]
struct KnownGeneration {
    zone: ZoneName,
    counts: Evidence,
    checksum: u32,
}

/// Counts of ended generations, by hash.
#[derive(Debug, Default)]
pub struct EndedEvidence {
    generations: BTreeMap<u32, KnownGeneration>,
    /// Generations that a peer lacks and that no other peer has told since.
    requested: BTreeSet<u32>,
}

impl EndedEvidence {
    /// Merges the counts of a generation of a node in `zone`.
    pub fn merge(&mut self, zone: &ZoneName, generation: u32, counts: &Evidence) {
        if !counts.has_counts() {
            return;
        }
        let known = self.generations.entry(generation).or_insert_with(|| KnownGeneration {
            zone: zone.clone(),
            counts: Evidence::of_generation(generation),
            checksum: 0,
        });
        known.counts.merge_max(counts);
        known.checksum = known.counts.checksum();
    }

    /// Merges what a peer reported, and notes which of the generations in the given zones it lacks.
    pub fn merge_report(&mut self, reported: &EndedReport, is_told: impl Fn(&ZoneName) -> bool) {
        for told in &reported.told {
            self.merge(&told.zone, told.generation, &told.counts);
        }
        let is_requested = |digest: &EndedDigest| {
            is_told(&self.generations[&digest.generation].zone) && lacks(&reported.known, *digest)
        };
        let requested: Vec<u32> =
            self.digests().filter(is_requested).map(|digest| digest.generation).collect();
        self.requested.extend(requested);
        for told in &reported.told {
            self.note_told(told);
        }
    }

    /// The peers that lack a generation receive the same report as this node, and need no other one unless
    /// this node knows more.
    fn note_told(&mut self, told: &EndedGeneration) {
        if self.generations.get(&told.generation).is_some_and(|known| known.counts == told.counts) {
            self.requested.remove(&told.generation);
        }
    }

    /// Returns the list of known generations.
    pub fn list(&self) -> Vec<EndedDigest> {
        self.digests().collect()
    }

    fn digests(&self) -> impl Iterator<Item = EndedDigest> {
        let digest = |(generation, known): (&u32, &KnownGeneration)| EndedDigest {
            generation: *generation,
            checksum: known.checksum,
        };
        self.generations.iter().take(MAX_LISTED).map(digest)
    }

    /// Returns counts that peers lack, as many as one report may contain. Nodes with different `seed`s begin
    /// with different generations, so that together they tell all of them soon.
    pub fn take_requested(&mut self, seed: u32) -> Vec<EndedGeneration> {
        let mut requested: Vec<u32> = self.requested.iter().copied().collect();
        requested.sort_by_key(|generation| generation ^ seed);
        let mut rows = 0;
        let mut told = Vec::new();
        for generation in requested {
            let known = &self.generations[&generation];
            rows += known.counts.rows();
            if rows > MAX_TOLD_ROWS && !told.is_empty() {
                break;
            }
            self.requested.remove(&generation);
            told.push(EndedGeneration { zone: known.zone.clone(), generation, counts: known.counts.clone() });
        }
        told
    }

    /// Counts of the generations of the given zones.
    pub fn of_zones(&self, is_included: impl Fn(&ZoneName) -> bool) -> impl Iterator<Item = &Evidence> {
        self.generations.values().filter(move |known| is_included(&known.zone)).map(|known| &known.counts)
    }
}

/// Whether a peer that reported the list `known` lacks a generation, or knows other counts of it.
fn lacks(known: &[EndedDigest], digest: EndedDigest) -> bool {
    let is_beyond_list = known.len() >= MAX_LISTED && known.last().is_some_and(|last| *last < digest);
    !is_beyond_list && known.binary_search(&digest).is_err()
}
