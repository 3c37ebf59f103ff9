//! What is billed: the requests that began to run, by tenant and window.
//!
//! Every node counts its own and tells its counts to all others with each heartbeat, so the counts of
//! a node that is killed are known to the rest but for its last heartbeat period. A node's counts
//! carry its incarnation: a restarted node counts anew and both lives are summed. A node that starts asks for what
//! others know, since nobody tells a life's counts after its end.
//!
//! What the nodes told each other is gone when all of them are killed. So whoever reports carries on what an earlier one wrote down:
//! sums, with the lives that they are of. Counts only grow, so of these lives the larger is right, what was written down or what is
//! known of them; whatever other lives counted comes on top.
//!
//! In a large deployment other zones are known by sums that their relays tell. Each sum is a lower bound
//! of what the zone counted, so of several the largest is right.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, TenantName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Windows that are kept after the newest.
const KEPT_WINDOWS: u64 = 12;

/// The requests that began in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's number: window k starts k lengths after 1970.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<TenantName, u64>,
}

/// What somebody who reports wrote down: the sums of some windows, and the lives that they are of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// The lives, as short marks: 300 of them take some 3 kB.
    pub lives: BTreeSet<u32>,
    /// The sums.
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
    /// Rises with each count that grows.
    changes: u64,
}

impl State {
    /// Forgets lives that have counted nothing for as many windows as are kept: else each restart of a node would stay.
    fn remove_stale_generations(&mut self) {
        let newest_of = |windows: &Windows| windows.keys().next_back().copied();
        let newest = self.peers.values().filter_map(newest_of).max().unwrap_or(0);
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        self.peers.retain(|_, windows| newest_of(windows).is_some_and(|newest| newest >= oldest));
    }
}

/// The mark of a node's life.
fn generation_hash(node: &NodeId, generation: u64) -> u32 {
    xxh3_64(format!("{node}/{generation}").as_bytes()) as u32
}

/// The counts of all nodes that are known here.
#[derive(Debug)]
pub struct UsageLedger {
    window_length: Duration,
    /// The mark of this life.
    own_hash: u32,
    state: Mutex<State>,
}

impl UsageLedger {
    /// An empty ledger with windows of `window_length`.
    pub fn new(window_length: Duration) -> Self {
        Self { window_length, own_hash: 0, state: Mutex::default() }
    }

    /// The same as the ledger of one life of a node.
    pub fn for_generation(self, node: &NodeId, generation: u64) -> Self {
        Self { own_hash: generation_hash(node, generation), ..self }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The window of a moment, and how much of it has passed.
    pub fn window_at(&self, at: SystemTime) -> (u64, Duration) {
        let since = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let length = self.window_length.as_millis().max(1) as u64;
        (since / length, Duration::from_millis(since % length))
    }

    /// Counts a request that began to run.
    pub fn record(&self, tenant: &TenantName, began: SystemTime) {
        let (window, _) = self.window_at(began);
        let mut state = self.lock();
        *state.own.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        state.changes += 1;
        prune(&mut state.own, window);
    }

    /// This node's own counts in its newest windows, at most `windows`, to be told to the others.
    pub fn recent(&self, windows: usize) -> Vec<WindowCounts> {
        newest(&self.lock().own, windows)
    }

    /// Takes what one life of another node counted; counts only grow.
    pub fn merge(&self, node: &NodeId, incarnation: u64, reported: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown =
            raise_to_reported(state.peers.entry((node.clone(), incarnation)).or_default(), reported);
        state.changes += u64::from(has_grown);
        state.remove_stale_generations();
    }

    /// Takes the sums that a relay of another zone told.
    pub fn merge_zone(&self, zone: &ZoneName, reported: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown = raise_to_reported(state.zones.entry(zone.clone()).or_default(), reported);
        state.changes += u64::from(has_grown);
    }

    /// Forgets all lives of a node whose counts come with its zone's sums from now on.
    pub fn remove_node_counts(&self, node: &NodeId) {
        self.lock().peers.retain(|(known, _), _| known != node);
    }

    /// What others' lives counted that are not forgotten yet: the node, its life and the counts in its newest windows, at
    /// most `windows`.
    pub fn generations(&self, windows: usize) -> Vec<(NodeId, u64, Vec<WindowCounts>)> {
        let state = self.lock();
        let generation = |((node, generation), counted): (&(NodeId, u64), &Windows)| {
            (node.clone(), *generation, newest(counted, windows))
        };
        state.peers.iter().map(generation).collect()
    }

    /// The sums of this node and all nodes that told their own, in the newest `windows` windows.
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

    /// A number that changes when any count has grown.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// What is to be written down of the windows from `oldest` on.
    pub fn to_checkpoint(&self, oldest: u64) -> UsageCheckpoint {
        let state = self.lock();
        let sources = state.sources(self.own_hash).flat_map(|(_, windows)| windows.keys());
        let windows: BTreeSet<u64> = sources.chain(state.checkpointed.keys()).copied().collect();
        let counted = windows.range(oldest..).map(|window| state.total(self.own_hash, *window));
        let node_hashes = state.peers.keys().map(|(node, generation)| generation_hash(node, *generation));
        let lives = state.checkpointed_generations.iter().copied().chain(node_hashes).chain([self.own_hash]);
        UsageCheckpoint { lives: lives.collect(), windows: counted.collect() }
    }

    /// Takes what another one wrote down, in place of what was taken before.
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
    /// Who counted, each with the mark of the life; sums of other zones have none.
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

/// Raises counts to those that were told; counts only grow. Returns whether any did.
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
