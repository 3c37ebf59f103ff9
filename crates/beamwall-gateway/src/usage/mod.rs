//! Usage to be billed: the requests that started to execute, by tenant and window.
//!
//! Every node counts its own requests and sends its counts to all other nodes with each heartbeat, so the
//! other nodes know the counts of a killed node except for those of its last heartbeat interval. Counts are
//! kept by node generation: a restarted node starts counting again, and both generations are added. A node
//! that starts requests the counts known to others, since nobody reports a generation's counts after its end.
//!
//! The counts exchanged between nodes are lost if all nodes are killed. The node that reports usage therefore
//! stores a checkpoint, from which its successor continues: sums, and the generations that they include.
//!
//! In a large deployment other zones are known by sums that their relays report, together with the
//! generations that they include. Counts only grow, so of two sums over the same generations the larger one
//! is correct, and sums over different generations are added; [`overlap`] covers what lies between.

pub mod checkpoint;
mod overlap;
pub mod partial_sum;
mod windows;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, TenantName, ZoneName, generation_hash};

pub use checkpoint::{CheckpointPart, UsageCheckpoint};
pub use partial_sum::PartialSum;
pub use windows::WindowCounts;

use checkpoint::RestoredSums;
use overlap::{GenerationStatus, Included, Origin, Overlaps, Source, Unnamed};
use partial_sum::ZoneSums;
use windows::{KEPT_WINDOWS, Windows};

#[derive(Debug, Default)]
struct State {
    own: Windows,
    peers: HashMap<(NodeId, u64), Windows>,
    zones: HashMap<ZoneName, ZoneSums>,
    restored: RestoredSums,
    /// Incremented whenever a count grows.
    changes: u64,
}

impl State {
    /// Removes generations that have counted nothing within the windows that are kept; otherwise each restart
    /// of a node would leave an entry forever.
    fn remove_stale_generations(&mut self) {
        let newest = self.peers.values().filter_map(windows::newest_number).max().unwrap_or(0);
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        let is_kept =
            |counted: &Windows| windows::newest_number(counted).is_some_and(|newest| newest >= oldest);
        self.peers.retain(|_, counted| is_kept(counted));
    }

    /// The counts of this node and of all nodes that report their own counts.
    fn nodes<'a>(&'a self, own: &'a OwnNode) -> impl Iterator<Item = Source<'a>> {
        let source = |hash, windows, status| Source {
            origin: Origin::Node,
            zone: own.zone.as_ref(),
            included: Included::One(hash),
            unnamed: Unnamed::Nothing,
            windows,
            status,
        };
        let peers = self.peers.iter().map(move |((node, generation), windows)| {
            let hash = generation_hash(node, *generation);
            source(Some(hash), windows, GenerationStatus::Reported)
        });
        std::iter::once(source(own.hash(), &self.own, GenerationStatus::Own)).chain(peers)
    }

    /// The sums of one zone. Those of this node's own zone are not reported again.
    fn zone_sources<'a>(&'a self, zone: &'a ZoneName, own: &OwnNode) -> impl Iterator<Item = Source<'a>> {
        let is_own = own.zone.as_ref() == Some(zone);
        let sources = self.zones.get(zone).into_iter().flat_map(|sums| sums.sources(zone));
        sources.map(move |source| Source {
            status: if is_own { GenerationStatus::Unreported } else { source.status },
            ..source
        })
    }

    /// All counts and sums.
    fn sources<'a>(&'a self, own: &'a OwnNode) -> impl Iterator<Item = Source<'a>> {
        let zones = self.zones.keys().flat_map(|zone| self.zone_sources(zone, own));
        let known = self.nodes(own).chain(zones).map(|source| match self.restored.was_unreported(&source) {
            true => Source { status: GenerationStatus::Unreported, ..source },
            false => source,
        });
        known.chain(self.restored.sources())
    }
}

/// The node that holds a ledger.
#[derive(Debug, Default)]
struct OwnNode {
    generation: Option<(NodeId, u64)>,
    zone: Option<ZoneName>,
}

impl OwnNode {
    fn hash(&self) -> Option<u32> {
        self.generation.as_ref().map(|(node, generation)| generation_hash(node, *generation))
    }
}

/// The counts of all nodes, as far as this node knows them.
#[derive(Debug)]
pub struct UsageLedger {
    window_length: Duration,
    own: OwnNode,
    state: Mutex<State>,
}

impl UsageLedger {
    /// Creates an empty ledger with windows of `window_length`.
    pub fn new(window_length: Duration) -> Self {
        Self { window_length, own: OwnNode::default(), state: Mutex::default() }
    }

    /// Makes this the ledger of the given generation of a node.
    pub fn for_generation(self, node: &NodeId, generation: u64) -> Self {
        Self { own: OwnNode { generation: Some((node.clone(), generation)), ..self.own }, ..self }
    }

    /// Makes this the ledger of a node of the given zone.
    pub fn in_zone(self, zone: &ZoneName) -> Self {
        Self { own: OwnNode { zone: Some(zone.clone()), ..self.own }, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The window that contains a time, and the time elapsed since the start of that window.
    pub fn window_at(&self, at: SystemTime) -> (u64, Duration) {
        let since = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let length = self.window_length.as_millis().max(1) as u64;
        (since / length, Duration::from_millis(since % length))
    }

    /// Counts a request that started to execute.
    pub fn record(&self, tenant: &TenantName, began: SystemTime) {
        let (window, _) = self.window_at(began);
        let mut state = self.lock();
        *state.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        state.changes += 1;
        windows::prune(&mut state.own, window);
    }

    /// This node's own counts in its newest windows, at most `windows`, to be sent to its peers.
    pub fn recent(&self, windows: usize) -> Vec<WindowCounts> {
        windows::newest(&self.lock().own, windows)
    }

    /// Merges the counts of one generation of another node. Counts only grow.
    pub fn merge(&self, node: &NodeId, generation: u64, reported: Vec<WindowCounts>) {
        let mut state = self.lock();
        let known = state.peers.entry((node.clone(), generation)).or_default();
        let has_grown = windows::raise_all(known, reported);
        state.changes += u64::from(has_grown);
        state.remove_stale_generations();
    }

    /// Merges a sum over nodes of a zone: of another zone, as its relays report it, or of this node's own zone
    /// before all its nodes were killed, as other zones recall it. A sum of the own zone over unknown
    /// generations is ignored: it may include running nodes, whose counts are known.
    pub fn merge_zone(&self, zone: &ZoneName, reported: PartialSum) {
        if self.own.zone.as_ref() == Some(zone) && reported.generations.is_empty() {
            return;
        }
        let mut state = self.lock();
        let has_grown = state.zones.entry(zone.clone()).or_default().merge(zone, reported);
        state.changes += u64::from(has_grown);
    }

    /// Moves the counts of a node of another zone to the sums of that zone, whose relays report them from now
    /// on. They no longer count as reported by the node itself, but remain until a sum includes them.
    pub fn move_to_zone(&self, node: &NodeId, zone: &ZoneName) {
        let mut state = self.lock();
        let moved: Vec<((NodeId, u64), Windows)> =
            state.peers.extract_if(|(known, _), _| known == node).collect();
        let sums = state.zones.entry(zone.clone()).or_default();
        for ((node, generation), counted) in moved {
            let counted = windows::newest(&counted, counted.len());
            sums.merge(zone, PartialSum::of_node(&node, generation, counted));
        }
    }

    /// Known counts of other nodes: the node, its generation, and the counts in its newest windows, at most
    /// `windows`.
    pub fn generations(&self, windows: usize) -> Vec<(NodeId, u64, Vec<WindowCounts>)> {
        let state = self.lock();
        let generation = |((node, generation), counted): (&(NodeId, u64), &Windows)| {
            (node.clone(), *generation, windows::newest(counted, windows))
        };
        state.peers.iter().map(generation).collect()
    }

    /// The sum of this node and all nodes that report their own counts, in the newest `windows` windows. Sums
    /// of this zone that other zones recall are included where they overlap with the counts of these nodes;
    /// the others were reported before.
    pub fn sum_of_nodes(&self, windows: usize) -> PartialSum {
        let state = self.lock();
        let counting = state.nodes(&self.own).filter(|node| !node.windows.is_empty());
        let recalled = self.own.zone.iter().flat_map(|zone| state.zone_sources(zone, &self.own));
        let overlaps = Overlaps::new(counting.chain(recalled).collect()).with_nodes();
        PartialSum { generations: overlaps.hashes().collect(), windows: overlaps.newest_totals(windows) }
    }

    /// Known sums of zones, in their newest windows, at most `windows`.
    pub fn zone_sums(&self, windows: usize) -> Vec<(ZoneName, PartialSum)> {
        let state = self.lock();
        let sums_of = |(zone, sums): (&ZoneName, &ZoneSums)| -> Vec<(ZoneName, PartialSum)> {
            sums.newest(windows).map(|sum| (zone.clone(), sum)).collect()
        };
        state.zones.iter().flat_map(sums_of).collect()
    }

    /// A number that changes whenever a count has grown.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Creates a checkpoint of the windows from `oldest` on.
    pub fn to_checkpoint(&self, oldest: u64) -> UsageCheckpoint {
        let state = self.lock();
        let is_open = |source: &Source| windows::newest_number(source.windows) >= Some(oldest);
        UsageCheckpoint::of(state.sources(&self.own).filter(is_open).collect(), oldest)
    }

    /// Replaces the checkpointed sums with those of a stored checkpoint.
    pub fn restore_checkpoint(&self, checkpointed: UsageCheckpoint) {
        self.lock().restored = RestoredSums::new(checkpointed);
    }

    /// The counts of all nodes for one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        let state = self.lock();
        let counted = state.sources(&self.own).filter(|source| source.windows.contains_key(&window));
        WindowCounts { window, counts: Overlaps::new(counted.collect()).total(window) }
    }
}
