//! The checkpoint of usage, stored by the node that reports it, from which its successor continues.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::overlap::{GenerationStatus, Included, Origin, Overlaps, Source};
use super::partial_sum::KnownSum;
use super::windows::{self, WindowCounts};

/// Sums of several windows and the node generations that they include.
///
/// The total alone would hide what is counted later: a successor may never be told some of the counts in it,
/// so what the others count would not exceed the total for long. The counts that it may not be told are
/// therefore also stored separately. Earlier builds neither write nor read these parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Hashes of all node generations; 300 of them take about 3 kB.
    pub lives: BTreeSet<u32>,
    /// The sums of all generations by window.
    pub windows: Vec<WindowCounts>,
    /// The part of the generations that no running node reports any more.
    #[serde(default)]
    pub unreported: CheckpointPart,
    /// The part of the writer's own generation, whose latest counts no other node may know.
    #[serde(default)]
    pub own: CheckpointPart,
}

/// Sums over some of the node generations of a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Hashes of the node generations.
    pub lives: BTreeSet<u32>,
    /// The sums of these generations by window.
    pub windows: Vec<WindowCounts>,
}

impl UsageCheckpoint {
    /// Creates a checkpoint of the windows from `oldest` on.
    pub(super) fn of(sources: Vec<Source>, oldest: u64) -> Self {
        let overlaps = Overlaps::new(sources);
        let groups = overlaps.groups();
        let part_of = |status: GenerationStatus| {
            let has_status = |group: &&Vec<Source>| group.iter().all(|source| source.status == status);
            let sources = groups.iter().filter(has_status).flatten().copied();
            let overlaps = Overlaps::new(sources.collect());
            CheckpointPart { lives: overlaps.hashes().collect(), windows: overlaps.totals_from(oldest) }
        };
        Self {
            lives: overlaps.hashes().collect(),
            windows: overlaps.totals_from(oldest),
            unreported: part_of(GenerationStatus::Unreported),
            own: part_of(GenerationStatus::Own),
        }
    }

    /// Splits the checkpoint into sums over different generations: its parts, and what they leave of the
    /// total.
    pub(super) fn into_sums(self) -> [KnownSum; 3] {
        let Self { mut lives, windows, unreported, own } = self;
        let mut remaining = windows::by_number(windows);
        let parts = [unreported, own].map(|part| {
            lives.retain(|hash| !part.lives.contains(hash));
            let windows = windows::by_number(part.windows);
            windows::subtract(&mut remaining, &windows);
            KnownSum { generations: part.lives.into_iter().collect(), windows }
        });
        let [unreported, own] = parts;
        [unreported, own, KnownSum { generations: lives.into_iter().collect(), windows: remaining }]
    }
}

/// A restored sum as a source of a total.
pub(super) fn source_of(sum: &KnownSum) -> Source<'_> {
    Source {
        origin: Origin::Checkpoint,
        zone: None,
        included: Included::Several(&sum.generations),
        windows: &sum.windows,
        status: GenerationStatus::Unreported,
    }
}
