//! Evidence of another zone, from the sums that its relays send. A node that restarts counts from zero, so
//! sums of a zone are compared by the node generations that they include: counts of different generations
//! are added, and of counts that may be the same the larger one is taken.

use beamwall_model::GenerationSet;

use crate::evidence::Evidence;

/// Sums over different generations that are kept for a zone; beyond, the two that changed least recently
/// become one.
const MAX_SUMS: usize = 16;

/// Evidence of a zone.
#[derive(Debug, Default)]
pub struct ZoneEvidence {
    /// Sums that have no generation in common; the one that changed last is at the end.
    sums: Vec<Evidence>,
    /// Sum by builds that do not name generations.
    unnamed: Option<Evidence>,
}

impl ZoneEvidence {
    /// Merges a sum that a relay of the zone reported.
    pub fn merge(&mut self, reported: &Evidence) {
        if !reported.has_counts() {
            return;
        }
        if reported.generations.is_empty() {
            self.unnamed.get_or_insert_default().merge_max(reported);
            return;
        }
        let known: Vec<Evidence> =
            self.sums.extract_if(.., |known| known.shares_generations(reported)).collect();
        let mut merged = Evidence::sum(&known);
        merged.merge_max(reported);
        merged.generations = union(known.iter().chain([reported]));
        self.sums.push(merged);
        self.combine_oldest();
    }

    /// Whether a relay reported a sum without naming its generations.
    pub fn has_unnamed_sum(&self) -> bool {
        self.unnamed.is_some()
    }

    /// Counts of the zone. Removes from `direct` the reports of single nodes that its sums include.
    pub fn total(&self, direct: &mut Vec<&Evidence>) -> Evidence {
        let sums: Vec<Evidence> = self.sums.iter().map(|sum| larger(sum, direct)).collect();
        let mut total = Evidence::sum(&sums);
        if let Some(unnamed) = &self.unnamed {
            total.merge_max(unnamed);
        }
        total
    }

    fn combine_oldest(&mut self) {
        if self.sums.len() > MAX_SUMS {
            let oldest = self.sums.remove(0);
            self.sums[0] = Evidence::sum([&oldest, &self.sums[0]]);
        }
    }
}

/// The larger, count by count, of a sum and the direct reports of its generations, which it removes.
fn larger(sum: &Evidence, direct: &mut Vec<&Evidence>) -> Evidence {
    let included: Vec<&Evidence> = direct.extract_if(.., |node| sum.shares_generations(node)).collect();
    let mut larger = sum.clone();
    larger.merge_max(&Evidence::sum(included));
    larger
}

fn union<'a>(parts: impl Iterator<Item = &'a Evidence>) -> GenerationSet {
    parts.flat_map(|part| part.generations.as_slice()).copied().collect()
}
