//! The checkpoint of usage, stored by the node that reports it, from which its successor continues.

use std::collections::BTreeSet;

use beamwall_model::ZoneName;
use serde::{Deserialize, Serialize};

use super::overlap::{GenerationStatus, Included, Origin, Overlaps, Source, Unnamed};
use super::partial_sum::KnownSum;
use super::windows::{self, WindowCounts};

/// Sums of several windows and the node generations that they include.
///
/// The total alone would hide what is counted later: a successor may never be told some of the counts in it,
/// so what the others count would not exceed the total for long. The counts that it may not be told are
/// therefore also stored separately. Earlier builds neither write nor read these parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Hashes of all node generations, which stored data calls lives; 300 of them take about 3 kB.
    pub lives: BTreeSet<u32>,
    /// The sums of all generations by window.
    pub windows: Vec<WindowCounts>,
    /// The part of the generations that no running node reports any more.
    #[serde(default)]
    pub unreported: CheckpointPart,
    /// The part of the writer's own generation, whose latest counts no other node may know.
    #[serde(default)]
    pub own: CheckpointPart,
    /// Zones whose counts are included although their generations are not in `lives`. Missing in checkpoints
    /// of earlier builds, which name the generations of the writer's zone only.
    #[serde(default)]
    pub unnamed_zones: Option<BTreeSet<ZoneName>>,
}

/// Sums over some of the node generations of a checkpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Hashes of the node generations.
    pub lives: BTreeSet<u32>,
    /// The sums of these generations by window.
    pub windows: Vec<WindowCounts>,
}

/// The sums of a restored checkpoint, over different generations.
#[derive(Debug, Default)]
pub(super) struct RestoredSums {
    unreported: KnownSum,
    own: KnownSum,
    /// What the parts leave of the total.
    remaining: KnownSum,
    /// Zones of which `remaining` includes counts without naming their generations; `None` if any zone's sum
    /// may be included so.
    unnamed_zones: Option<BTreeSet<ZoneName>>,
}

impl UsageCheckpoint {
    /// Creates a checkpoint of the windows from `oldest` on.
    pub(super) fn of(sources: Vec<Source>, oldest: u64) -> Self {
        let unnamed_zones = unnamed_zones(&sources);
        let overlaps = Overlaps::new(sources);
        let groups = overlaps.groups();
        let part_of = |status: GenerationStatus| {
            let has_status = |group: &&Vec<Source>| group.iter().all(|source| source.status == status);
            part(groups.iter().filter(has_status).flatten().copied().collect(), oldest)
        };
        Self {
            unreported: part_of(GenerationStatus::Unreported),
            own: part_of(GenerationStatus::Own),
            lives: overlaps.hashes().collect(),
            windows: overlaps.totals_from(oldest),
            unnamed_zones,
        }
    }
}

/// Zones of which the sources include counts without naming their generations; `None` if these may be any
/// zones.
fn unnamed_zones(sources: &[Source]) -> Option<BTreeSet<ZoneName>> {
    let mut zones = BTreeSet::new();
    for source in sources {
        match source.unnamed {
            Unnamed::Nothing => {}
            Unnamed::OfItsZone => zones.extend(source.zone.cloned()),
            Unnamed::OfZones(more) => zones.extend(more.iter().cloned()),
            Unnamed::OfAllSums => return None,
        }
    }
    Some(zones)
}

fn part(sources: Vec<Source>, oldest: u64) -> CheckpointPart {
    let overlaps = Overlaps::new(sources);
    CheckpointPart { lives: overlaps.hashes().collect(), windows: overlaps.totals_from(oldest) }
}

impl RestoredSums {
    /// Splits a checkpoint into its parts and what they leave. Parts that do not fit the total are ignored.
    pub(super) fn new(checkpoint: UsageCheckpoint) -> Self {
        let UsageCheckpoint { lives, windows, unreported, own, unnamed_zones } = checkpoint;
        let total = windows::by_number(windows);
        let (unreported, own) = (unreported.into_sum(), own.into_sum());
        let without_unreported = windows::subtract(total.clone(), &unreported.windows);
        match without_unreported.and_then(|rest| windows::subtract(rest, &own.windows)) {
            Some(windows) => {
                let is_in_part =
                    |hash: &u32| unreported.generations.contains(*hash) || own.generations.contains(*hash);
                let generations = lives.into_iter().filter(|hash| !is_in_part(hash)).collect();
                let remaining = KnownSum { generations, windows };
                Self { unreported, own, remaining, unnamed_zones }
            }
            None => {
                let remaining = KnownSum { generations: lives.into_iter().collect(), windows: total };
                Self { remaining, unnamed_zones, ..Self::default() }
            }
        }
    }

    /// The sums as sources of a total.
    pub(super) fn sources(&self) -> impl Iterator<Item = Source<'_>> {
        let remaining = Source { unnamed: self.unnamed(), ..restored(&self.remaining) };
        // What it includes without naming it may still be reported.
        let status = match remaining.unnamed {
            Unnamed::Nothing => GenerationStatus::Unreported,
            _ => GenerationStatus::Reported,
        };
        [restored(&self.unreported), restored(&self.own), Source { status, ..remaining }].into_iter()
    }

    fn unnamed(&self) -> Unnamed<'_> {
        let counts_nothing = self.remaining.windows.is_empty();
        match &self.unnamed_zones {
            _ if counts_nothing => Unnamed::Nothing,
            None => Unnamed::OfAllSums,
            Some(zones) if zones.is_empty() => Unnamed::Nothing,
            Some(zones) => Unnamed::OfZones(zones),
        }
    }

    /// Whether no running node reported the generations of a source any more when the checkpoint was written.
    pub(super) fn was_unreported(&self, source: &Source) -> bool {
        let mut hashes = source.hashes().peekable();
        hashes.peek().is_some() && hashes.all(|hash| self.unreported.generations.contains(hash))
    }
}

impl CheckpointPart {
    fn into_sum(self) -> KnownSum {
        KnownSum { generations: self.lives.into_iter().collect(), windows: windows::by_number(self.windows) }
    }
}

fn restored(sum: &KnownSum) -> Source<'_> {
    Source {
        origin: Origin::Checkpoint,
        zone: None,
        included: Included::Several(&sum.generations),
        unnamed: Unnamed::Nothing,
        windows: &sum.windows,
        status: GenerationStatus::Unreported,
    }
}
