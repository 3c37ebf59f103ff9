//! Usage to be billed: the requests that started to execute, by tenant and window.
//!
//! Every node counts its own requests and sends its counts to all other nodes with each heartbeat, so the
//! other nodes know the counts of a killed node except for those of its last heartbeat interval. Counts are
//! kept by node generation: a restarted node starts counting again, and both generations are added. A node
//! that starts requests the counts known to others, since nobody reports a generation's counts after its end.
//!
//! The counts exchanged between nodes are lost if all nodes are killed. The node that reports usage therefore
//! stores a checkpoint, from which its successor continues: sums, and the generations that they include.
//! Counts only grow, so for these generations the larger one of the checkpoint and the known counts is
//! correct; the counts of all other generations are added.
//!
//! In a large deployment other zones are known by sums that their relays report. Each sum is a lower bound of
//! what the zone counted, so the largest one is correct.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, TenantName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of windows kept before the newest.
const KEPT_WINDOWS: u64 = 12;

/// The requests that started in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's number: window k starts k window lengths after 1970.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<TenantName, u64>,
}

/// Checkpoint stored by the node that reports usage: the sums of several windows and the generations that
/// they include.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Hashes of the node generations; 300 of them take about 3 kB.
    pub lives: BTreeSet<u32>,
    /// The sums by window.
    pub windows: Vec<WindowCounts>,
}

type Windows = BTreeMap<u64, BTreeMap<TenantName, u64>>;

#[derive(Debug, Default)]
struct State {
    own: Windows,
    peers: HashMap<(NodeId, u64), Windows>,
    zones: HashMap<ZoneName, Windows>,
    checkpointed: Windows,
    checkpointed_generations: BTreeSet<u32>,
    /// Incremented whenever a count grows.
    changes: u64,
}

impl State {
    /// Removes generations that have counted nothing within the windows that are kept; otherwise each restart
    /// of a node would leave an entry forever.
    fn remove_stale_generations(&mut self) {
        let newest_of = |windows: &Windows| windows.keys().next_back().copied();
        let newest = self.peers.values().filter_map(newest_of).max().unwrap_or(0);
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        self.peers.retain(|_, windows| newest_of(windows).is_some_and(|newest| newest >= oldest));
    }
}

/// Hash of a node generation.
fn generation_hash(node: &NodeId, generation: u64) -> u32 {
    xxh3_64(format!("{node}/{generation}").as_bytes()) as u32
}

/// The counts of all nodes, as far as this node knows them.
#[derive(Debug)]
pub struct UsageLedger {
    window_length: Duration,
    /// Hash of this node's generation.
    own_hash: u32,
    state: Mutex<State>,
}

impl UsageLedger {
    /// Creates an empty ledger with windows of `window_length`.
    pub fn new(window_length: Duration) -> Self {
        Self { window_length, own_hash: 0, state: Mutex::default() }
    }

    /// Makes this the ledger of the given generation of a node.
    pub fn for_generation(self, node: &NodeId, generation: u64) -> Self {
        Self { own_hash: generation_hash(node, generation), ..self }
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
        prune(&mut state.own, window);
    }

    /// This node's own counts in its newest windows, at most `windows`, to be sent to its peers.
    pub fn recent(&self, windows: usize) -> Vec<WindowCounts> {
        newest(&self.lock().own, windows)
    }

    /// Merges the counts of one generation of another node. Counts only grow.
    pub fn merge(&self, node: &NodeId, generation: u64, reported: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown =
            raise_to_reported(state.peers.entry((node.clone(), generation)).or_default(), reported);
        state.changes += u64::from(has_grown);
        state.remove_stale_generations();
    }

    /// Merges the sums reported by a relay of another zone.
    pub fn merge_zone(&self, zone: &ZoneName, reported: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown = raise_to_reported(state.zones.entry(zone.clone()).or_default(), reported);
        state.changes += u64::from(has_grown);
    }

    /// Removes all generations of a node whose counts are included in its zone's sums from now on.
    pub fn remove_node_counts(&self, node: &NodeId) {
        self.lock().peers.retain(|(known, _), _| known != node);
    }

    /// Known counts of other nodes: the node, its generation, and the counts in its newest windows, at most
    /// `windows`.
    pub fn generations(&self, windows: usize) -> Vec<(NodeId, u64, Vec<WindowCounts>)> {
        let state = self.lock();
        let generation = |((node, generation), counted): (&(NodeId, u64), &Windows)| {
            (node.clone(), *generation, newest(counted, windows))
        };
        state.peers.iter().map(generation).collect()
    }

    /// The sums of this node and all nodes that report their own counts, in the newest `windows` windows.
    pub fn sum_of_nodes(&self, windows: usize) -> Vec<WindowCounts> {
        let state = self.lock();
        let mut sums = Windows::new();
        for counted in std::iter::once(&state.own).chain(state.peers.values()) {
            for (window, counts) in counted {
                add_counts(sums.entry(*window).or_default(), counts);
            }
        }
        sums.into_iter().rev().take(windows).map(|(window, counts)| WindowCounts { window, counts }).collect()
    }

    /// A number that changes whenever a count has grown.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Creates a checkpoint of the windows from `oldest` on.
    pub fn to_checkpoint(&self, oldest: u64) -> UsageCheckpoint {
        let state = self.lock();
        let sources = state.sources(self.own_hash).flat_map(|(_, windows)| windows.keys());
        let windows: BTreeSet<u64> = sources.chain(state.checkpointed.keys()).copied().collect();
        let counted = windows.range(oldest..).map(|window| state.total(self.own_hash, *window));
        let node_hashes = state.peers.keys().map(|(node, generation)| generation_hash(node, *generation));
        let lives = state.checkpointed_generations.iter().copied().chain(node_hashes).chain([self.own_hash]);
        UsageCheckpoint { lives: lives.collect(), windows: counted.collect() }
    }

    /// Replaces the checkpointed sums with those of a stored checkpoint.
    pub fn restore_checkpoint(&self, checkpointed: UsageCheckpoint) {
        let mut state = self.lock();
        state.checkpointed =
            checkpointed.windows.into_iter().map(|counted| (counted.window, counted.counts)).collect();
        state.checkpointed_generations = checkpointed.lives;
    }

    /// The counts of all nodes for one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        self.lock().total(self.own_hash, window)
    }
}

impl State {
    /// All sources of counts with the hash of their generation; sums of other zones have none.
    fn sources(&self, own_hash: u32) -> impl Iterator<Item = (Option<u32>, &Windows)> {
        let peers = self
            .peers
            .iter()
            .map(|((node, generation), windows)| (Some(generation_hash(node, *generation)), windows));
        let zones = self.zones.values().map(|windows| (None, windows));
        std::iter::once((Some(own_hash), &self.own)).chain(peers).chain(zones)
    }

    fn total(&self, own_hash: u32, window: u64) -> WindowCounts {
        let is_checkpointed = |generation_hash: Option<u32>| {
            generation_hash
                .is_none_or(|generation_hash| self.checkpointed_generations.contains(&generation_hash))
        };
        let (mut from_checkpointed, mut from_others) = (BTreeMap::new(), BTreeMap::new());
        for (generation_hash, windows) in self.sources(own_hash) {
            if let Some(counts) = windows.get(&window) {
                add_counts(
                    if is_checkpointed(generation_hash) { &mut from_checkpointed } else { &mut from_others },
                    counts,
                );
            }
        }
        if let Some(checkpointed) = self.checkpointed.get(&window) {
            raise_counts(&mut from_checkpointed, checkpointed);
        }
        add_counts(&mut from_others, &from_checkpointed);
        WindowCounts { window, counts: from_others }
    }
}

/// The newest windows, at most `count`, the newest first.
fn newest(windows: &Windows, count: usize) -> Vec<WindowCounts> {
    let counted = |(window, counts): (&u64, &BTreeMap<TenantName, u64>)| WindowCounts {
        window: *window,
        counts: counts.clone(),
    };
    windows.iter().rev().take(count).map(counted).collect()
}

fn add_counts(sum: &mut BTreeMap<TenantName, u64>, counts: &BTreeMap<TenantName, u64>) {
    for (tenant, count) in counts {
        *sum.entry(tenant.clone()).or_default() += count;
    }
}

/// Raises counts to the reported values, since counts only grow. Returns whether any count has grown.
fn raise_to_reported(known: &mut Windows, reported: Vec<WindowCounts>) -> bool {
    let mut has_grown = false;
    for window in reported {
        has_grown |= raise_counts(known.entry(window.window).or_default(), &window.counts);
    }
    if let Some(newest) = known.keys().next_back().copied() {
        prune(known, newest);
    }
    has_grown
}

fn raise_counts(known: &mut BTreeMap<TenantName, u64>, reported: &BTreeMap<TenantName, u64>) -> bool {
    let mut has_grown = false;
    for (tenant, count) in reported {
        let entry = known.entry(tenant.clone()).or_default();
        has_grown |= *count > *entry;
        *entry = (*entry).max(*count);
    }
    has_grown
}

fn prune(windows: &mut Windows, newest: u64) {
    let oldest = newest.saturating_sub(KEPT_WINDOWS);
    windows.retain(|window, _| *window >= oldest);
}
