//! The largest total that is certain when several sums may include the same requests.
//!
//! Each sum is a lower bound of what a set of node generations counted. Sums over disjoint sets count
//! different requests and are added; of sums whose sets overlap, the requests that both include are unknown,
//! so only one of them counts. The total is that of the disjoint sums that yield the most.

use std::collections::{BTreeSet, HashMap};

use beamwall_model::{GenerationSet, ZoneName};

use super::windows::{self, Counts, WindowCounts, Windows};

/// Where a sum comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// The counts of one node.
    Node,
    /// A report of the zone's relays.
    Zone,
    /// The checkpoint of an earlier lease holder.
    Checkpoint,
}

/// The generations that a sum includes.
#[derive(Debug, Clone, Copy)]
pub(super) enum Included<'a> {
    /// One generation; `None` if the sum names none.
    One(Option<u32>),
    /// Several generations.
    Several(&'a GenerationSet),
}

/// Generations whose counts a sum may include without naming them, since an earlier build computed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unnamed<'a> {
    /// None: the sum names all its generations.
    Nothing,
    /// Generations of the zone that the sum is of.
    OfItsZone,
    /// Generations of several zones.
    OfZones(&'a BTreeSet<ZoneName>),
    /// Generations of any zone whose relays report sums.
    OfAllSums,
}

/// Whether other nodes are told the counts of generations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationStatus {
    /// This node's own generation, whose latest counts no other node may know.
    Own,
    /// Running nodes report the counts, whether or not the generations have ended.
    Reported,
    /// No running node reports the counts any more, as far as this node knows.
    Unreported,
}

/// A sum of counts.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source<'a> {
    pub origin: Origin,
    /// The zone of the included generations, if it is known and a single one.
    pub zone: Option<&'a ZoneName>,
    pub included: Included<'a>,
    pub unnamed: Unnamed<'a>,
    pub windows: &'a Windows,
    pub status: GenerationStatus,
}

impl Source<'_> {
    /// Hashes of the included generations, as far as they are known.
    pub(super) fn hashes(&self) -> impl Iterator<Item = u32> {
        let (one, several) = match self.included {
            Included::One(hash) => (hash, [].as_slice()),
            Included::Several(generations) => (None, generations.as_slice()),
        };
        one.into_iter().chain(several.iter().copied())
    }

    /// Whether both sums may include the same generation, if they have a hash in common. Relays sum nodes of
    /// their own zone only, so a hash in the sums of two zones is taken for a collision.
    fn may_share_with(&self, other: &Source) -> bool {
        (self.origin, other.origin) != (Origin::Zone, Origin::Zone) || self.zone == other.zone
    }

    /// Whether this sum may include generations of the other one without naming them.
    fn may_include_unnamed(&self, other: &Source) -> bool {
        match self.unnamed {
            Unnamed::Nothing => false,
            // The nodes that report their own counts are of another zone. A restored sum may be of any zone.
            Unnamed::OfItsZone => {
                other.origin != Origin::Node && (other.zone.is_none() || other.zone == self.zone)
            }
            Unnamed::OfZones(zones) => other.zone.is_some_and(|zone| zones.contains(zone)),
            Unnamed::OfAllSums => other.origin == Origin::Zone,
        }
    }
}

/// Sums and which of them overlap.
#[derive(Debug)]
pub(super) struct Overlaps<'a> {
    sources: Vec<Source<'a>>,
    /// For each source, those that overlap with it.
    neighbours: Vec<BTreeSet<usize>>,
}

impl<'a> Overlaps<'a> {
    /// Finds the overlaps of `sources`.
    pub(super) fn new(sources: Vec<Source<'a>>) -> Self {
        let mut neighbours = vec![BTreeSet::new(); sources.len()];
        let mut connect = |one: usize, other: usize| {
            neighbours[one].insert(other);
            neighbours[other].insert(one);
        };
        let mut by_hash: HashMap<u32, Vec<usize>> = HashMap::new();
        for (number, source) in sources.iter().enumerate() {
            for hash in source.hashes() {
                let sharing = by_hash.entry(hash).or_default();
                sharing
                    .iter()
                    .filter(|other| source.may_share_with(&sources[**other]))
                    .for_each(|other| connect(number, *other));
                sharing.push(number);
            }
        }
        let with_unnamed = sources.iter().enumerate().filter(|(_, sum)| sum.unnamed != Unnamed::Nothing);
        for (number, sum) in with_unnamed {
            let others = sources.iter().enumerate().filter(|(other, _)| *other != number);
            others
                .filter(|(_, other)| sum.may_include_unnamed(other))
                .for_each(|(other, _)| connect(number, other));
        }
        Self { sources, neighbours }
    }

    /// Only the sources that overlap, directly or through others, with the counts of a node.
    pub(super) fn with_nodes(self) -> Self {
        let has_node = |group: &Vec<Source>| group.iter().any(|source| source.origin == Origin::Node);
        Self::new(self.groups().into_iter().filter(has_node).flatten().collect())
    }

    /// Hashes of all generations that are included.
    pub(super) fn hashes(&self) -> impl Iterator<Item = u32> {
        self.sources.iter().flat_map(Source::hashes)
    }

    /// Numbers of all windows that have counts.
    fn window_numbers(&self) -> BTreeSet<u64> {
        self.sources.iter().flat_map(|source| source.windows.keys().copied()).collect()
    }

    /// The totals of the newest windows, at most `count`, the newest first.
    pub(super) fn newest_totals(&self, count: usize) -> Vec<WindowCounts> {
        let numbers = self.window_numbers();
        numbers.into_iter().rev().take(count).map(|window| self.window_total(window)).collect()
    }

    /// The totals of the windows from `oldest` on.
    pub(super) fn totals_from(&self, oldest: u64) -> Vec<WindowCounts> {
        self.window_numbers().range(oldest..).map(|window| self.window_total(*window)).collect()
    }

    fn window_total(&self, window: u64) -> WindowCounts {
        WindowCounts { window, counts: self.total(window) }
    }

    /// The groups of sources that overlap directly or through others. No two groups include the same
    /// requests.
    pub(super) fn groups(&self) -> Vec<Vec<Source<'a>>> {
        let groups = self.groups_among(&self.all()).into_iter();
        groups.map(|group| group.into_iter().map(|number| self.sources[number]).collect()).collect()
    }

    fn all(&self) -> BTreeSet<usize> {
        (0..self.sources.len()).collect()
    }

    fn groups_among(&self, members: &BTreeSet<usize>) -> Vec<Vec<usize>> {
        let mut ungrouped = members.clone();
        let mut groups = Vec::new();
        while let Some(first) = ungrouped.pop_first() {
            let mut group = vec![first];
            let mut next = 0;
            while let Some(member) = group.get(next).copied() {
                let connected: Vec<usize> =
                    self.neighbours[member].intersection(&ungrouped).copied().collect();
                connected.iter().for_each(|number| {
                    ungrouped.remove(number);
                });
                group.extend(connected);
                next += 1;
            }
            groups.push(group);
        }
        groups
    }

    /// Counts of all sources in a window.
    pub(super) fn total(&self, window: u64) -> Counts {
        self.total_of(&self.all(), window)
    }

    fn total_of(&self, members: &BTreeSet<usize>, window: u64) -> Counts {
        let mut total = Counts::new();
        for group in self.groups_among(members) {
            windows::add(&mut total, &self.total_of_group(&group, window));
        }
        total
    }

    /// Counts of one group in a window: the larger total, for each tenant, with and without one source. Each
    /// total is a lower bound of every tenant's count, so the larger one is too. A restored sum is chosen
    /// first, since what it joins are different zones, which fall apart without it; then the source that
    /// overlaps with the most others.
    fn total_of_group(&self, group: &[usize], window: u64) -> Counts {
        let counts_of =
            |number: usize| self.sources[number].windows.get(&window).cloned().unwrap_or_default();
        if let [single] = group {
            return counts_of(*single);
        }
        let members: BTreeSet<usize> = group.iter().copied().collect();
        let priority = |number: &usize| {
            let is_restored = self.sources[*number].origin == Origin::Checkpoint;
            (is_restored, self.neighbours[*number].intersection(&members).count())
        };
        let Some(hub) = members.iter().copied().max_by_key(priority) else { return Counts::new() };
        let mut others = members;
        others.remove(&hub);
        let apart: BTreeSet<usize> = others.difference(&self.neighbours[hub]).copied().collect();
        let mut with_hub = self.total_of(&apart, window);
        windows::add(&mut with_hub, &counts_of(hub));
        let mut total = self.total_of(&others, window);
        windows::raise(&mut total, &with_hub);
        total
    }
}
