//! Sums of the counts of several node generations, as exchanged between zones.

use beamwall_model::{GenerationSet, NodeId, ZoneName, generation_hash};

use super::overlap::{GenerationStatus, Included, Origin, Overlaps, Source, Unnamed};
use super::windows::{self, KEPT_WINDOWS, WindowCounts, Windows};

/// Number of sums kept for a zone: one for each time that all its nodes restart within the windows that are
/// kept. Beyond, two are combined, and of sums that overlap with both only the larger total counts.
const MAX_SUMS_OF_ZONE: usize = 8;

/// Counts that are summed over node generations. Each is a lower bound, since the generations may have
/// counted more than was known when the sum was computed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialSum {
    /// The generations that are included; empty if they are unknown, as in reports of earlier builds.
    pub generations: GenerationSet,
    /// The sums by window.
    pub windows: Vec<WindowCounts>,
}

impl PartialSum {
    /// The counts of a single generation of a node.
    pub fn of_node(node: &NodeId, generation: u64, windows: Vec<WindowCounts>) -> Self {
        Self { generations: std::iter::once(generation_hash(node, generation)).collect(), windows }
    }
}

/// A sum whose generations are known.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownSum {
    pub generations: GenerationSet,
    pub windows: Windows,
}

/// The sums that the relays of one zone reported.
#[derive(Debug, Default)]
pub(super) struct ZoneSums {
    /// Sums none of which includes all generations of another, the last reported one at the end.
    known: Vec<KnownSum>,
    /// The largest sum over unknown generations.
    unknown: Windows,
}

impl ZoneSums {
    /// Merges a report. Returns whether any count has grown.
    pub(super) fn merge(&mut self, zone: &ZoneName, reported: PartialSum) -> bool {
        if reported.generations.is_empty() {
            return windows::raise_all(&mut self.unknown, reported.windows);
        }
        // A part's counts are a lower bound of the whole one, so either may raise the other.
        let mut sum = self.take_including(&reported.generations).unwrap_or_else(|| KnownSum {
            windows: total_of(zone, &self.take_included_in(&reported.generations)),
            generations: reported.generations,
        });
        let has_grown = windows::raise_all(&mut sum.windows, reported.windows);
        self.known.push(sum);
        self.remove_stale();
        self.limit(zone);
        has_grown
    }

    fn take_including(&mut self, generations: &GenerationSet) -> Option<KnownSum> {
        let position = self.known.iter().position(|sum| sum.generations.contains_all(generations))?;
        Some(self.known.remove(position))
    }

    fn take_included_in(&mut self, generations: &GenerationSet) -> Vec<KnownSum> {
        self.known.extract_if(.., |sum| generations.contains_all(&sum.generations)).collect()
    }

    /// Removes sums without any of the windows that are kept.
    fn remove_stale(&mut self) {
        let newest = self.known.iter().filter_map(|sum| windows::newest_number(&sum.windows)).max();
        let oldest = newest.unwrap_or(0).saturating_sub(KEPT_WINDOWS);
        self.known.retain(|sum| windows::newest_number(&sum.windows).is_some_and(|newest| newest >= oldest));
    }

    /// Combines the sums that were reported the longest time ago while there are too many.
    fn limit(&mut self, zone: &ZoneName) {
        while self.known.len() > MAX_SUMS_OF_ZONE {
            let oldest: Vec<KnownSum> = self.known.drain(..2).collect();
            let hashes = oldest.iter().flat_map(|sum| sum.generations.as_slice()).copied();
            let combined = KnownSum { generations: hashes.collect(), windows: total_of(zone, &oldest) };
            self.known.insert(0, combined);
        }
    }

    /// The sums in their newest windows, at most `windows`.
    pub(super) fn newest(&self, windows: usize) -> impl Iterator<Item = PartialSum> {
        let known = self.known.iter().map(move |sum| PartialSum {
            generations: sum.generations.clone(),
            windows: windows::newest(&sum.windows, windows),
        });
        let unknown = PartialSum {
            generations: GenerationSet::default(),
            windows: windows::newest(&self.unknown, windows),
        };
        known.chain((!self.unknown.is_empty()).then_some(unknown))
    }

    /// The sums of the zone as sources of a total. The last one is taken for what the zone's relays still
    /// report, since a zone that restarts reports another sum.
    pub(super) fn sources<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = Source<'a>> {
        let last = self.known.len().saturating_sub(1);
        let known = self.known.iter().enumerate().map(move |(number, sum)| Source {
            status: if number == last { GenerationStatus::Reported } else { GenerationStatus::Unreported },
            ..source_of(zone, sum)
        });
        let unknown = Source {
            origin: Origin::Zone,
            zone: Some(zone),
            included: Included::One(None),
            unnamed: Unnamed::OfItsZone,
            windows: &self.unknown,
            status: GenerationStatus::Reported,
        };
        known.chain((!self.unknown.is_empty()).then_some(unknown))
    }
}

fn source_of<'a>(zone: &'a ZoneName, sum: &'a KnownSum) -> Source<'a> {
    Source {
        origin: Origin::Zone,
        zone: Some(zone),
        included: Included::Several(&sum.generations),
        unnamed: Unnamed::Nothing,
        windows: &sum.windows,
        status: GenerationStatus::Unreported,
    }
}

/// The total of several sums of a zone by window.
fn total_of(zone: &ZoneName, sums: &[KnownSum]) -> Windows {
    let overlaps = Overlaps::new(sums.iter().map(|sum| source_of(zone, sum)).collect());
    let numbers = sums.iter().flat_map(|sum| sum.windows.keys().copied());
    numbers.map(|window| (window, overlaps.total(window))).collect()
}
