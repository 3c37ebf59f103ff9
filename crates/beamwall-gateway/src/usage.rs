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
pub struct CarriedUsage {
    /// The lives, as short marks: 300 of them take some 3 kB.
    pub lives: BTreeSet<u32>,
    /// The sums.
    pub windows: Vec<WindowCounts>,
}

type Windows = BTreeMap<u64, BTreeMap<TenantName, u64>>;

#[derive(Debug, Default)]
struct State {
    own: Windows,
    others: HashMap<(NodeId, u64), Windows>,
    zones: HashMap<ZoneName, Windows>,
    carried: Windows,
    carried_lives: BTreeSet<u32>,
    /// Rises with each count that grows.
    changes: u64,
}

impl State {
    /// Forgets lives that have counted nothing for as many windows as are kept: else each restart of a node would stay.
    fn forget_old_lives(&mut self) {
        let newest_of = |windows: &Windows| windows.keys().next_back().copied();
        let newest = self.others.values().filter_map(newest_of).max().unwrap_or(0);
        let oldest = newest.saturating_sub(KEPT_WINDOWS);
        self.others.retain(|_, windows| newest_of(windows).is_some_and(|newest| newest >= oldest));
    }
}

/// The mark of a node's life.
fn mark(node: &NodeId, life: u64) -> u32 {
    xxh3_64(format!("{node}/{life}").as_bytes()) as u32
}

/// The counts of all nodes that are known here.
#[derive(Debug)]
pub struct UsageLedger {
    window_length: Duration,
    /// The mark of this life.
    own_mark: u32,
    state: Mutex<State>,
}

impl UsageLedger {
    /// An empty ledger with windows of `window_length`.
    pub fn new(window_length: Duration) -> Self {
        Self { window_length, own_mark: 0, state: Mutex::default() }
    }

    /// The same as the ledger of one life of a node.
    pub fn of_life(self, node: &NodeId, life: u64) -> Self {
        Self { own_mark: mark(node, life), ..self }
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
    pub fn merge(&self, node: &NodeId, incarnation: u64, told: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown = raise(state.others.entry((node.clone(), incarnation)).or_default(), told);
        state.changes += u64::from(has_grown);
        state.forget_old_lives();
    }

    /// Takes the sums that a relay of another zone told.
    pub fn merge_zone(&self, zone: &ZoneName, told: Vec<WindowCounts>) {
        let mut state = self.lock();
        let has_grown = raise(state.zones.entry(zone.clone()).or_default(), told);
        state.changes += u64::from(has_grown);
    }

    /// Forgets all lives of a node whose counts come with its zone's sums from now on.
    pub fn forget_node(&self, node: &NodeId) {
        self.lock().others.retain(|(known, _), _| known != node);
    }

    /// What others' lives counted that are not forgotten yet: the node, its life and the counts in its newest windows, at
    /// most `windows`.
    pub fn lives(&self, windows: usize) -> Vec<(NodeId, u64, Vec<WindowCounts>)> {
        let state = self.lock();
        let life = |((node, life), counted): (&(NodeId, u64), &Windows)| {
            (node.clone(), *life, newest(counted, windows))
        };
        state.others.iter().map(life).collect()
    }

    /// The sums of this node and all nodes that told their own, in the newest `windows` windows.
    pub fn sum_of_nodes(&self, windows: usize) -> Vec<WindowCounts> {
        let state = self.lock();
        let mut sums = Windows::new();
        for counted in std::iter::once(&state.own).chain(state.others.values()) {
            for (window, counts) in counted {
                add(sums.entry(*window).or_default(), counts);
            }
        }
        sums.into_iter().rev().take(windows).map(|(window, counts)| WindowCounts { window, counts }).collect()
    }

    /// A number that changes when any count has grown.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// What is to be written down of the windows from `oldest` on.
    pub fn to_carry(&self, oldest: u64) -> CarriedUsage {
        let state = self.lock();
        let sources = state.sources(self.own_mark).flat_map(|(_, windows)| windows.keys());
        let windows: BTreeSet<u64> = sources.chain(state.carried.keys()).copied().collect();
        let counted = windows.range(oldest..).map(|window| state.total(self.own_mark, *window));
        let of_nodes = state.others.keys().map(|(node, life)| mark(node, *life));
        let lives = state.carried_lives.iter().copied().chain(of_nodes).chain([self.own_mark]);
        CarriedUsage { lives: lives.collect(), windows: counted.collect() }
    }

    /// Takes what another one wrote down, in place of what was taken before.
    pub fn carry(&self, carried: CarriedUsage) {
        let mut state = self.lock();
        state.carried = carried.windows.into_iter().map(|counted| (counted.window, counted.counts)).collect();
        state.carried_lives = carried.lives;
    }

    /// The counts of all nodes for one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        self.lock().total(self.own_mark, window)
    }
}

impl State {
    /// Who counted, each with the mark of the life; sums of other zones have none.
    fn sources(&self, own_mark: u32) -> impl Iterator<Item = (Option<u32>, &Windows)> {
        let others = self.others.iter().map(|((node, life), windows)| (Some(mark(node, *life)), windows));
        let zones = self.zones.values().map(|windows| (None, windows));
        std::iter::once((Some(own_mark), &self.own)).chain(others).chain(zones)
    }

    fn total(&self, own_mark: u32, window: u64) -> WindowCounts {
        let is_carried = |mark: Option<u32>| mark.is_none_or(|mark| self.carried_lives.contains(&mark));
        let (mut of_carried, mut of_others) = (BTreeMap::new(), BTreeMap::new());
        for (mark, windows) in self.sources(own_mark) {
            if let Some(counts) = windows.get(&window) {
                add(if is_carried(mark) { &mut of_carried } else { &mut of_others }, counts);
            }
        }
        if let Some(carried) = self.carried.get(&window) {
            raise_counts(&mut of_carried, carried);
        }
        add(&mut of_others, &of_carried);
        WindowCounts { window, counts: of_others }
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

fn add(sum: &mut BTreeMap<TenantName, u64>, counts: &BTreeMap<TenantName, u64>) {
    for (tenant, count) in counts {
        *sum.entry(tenant.clone()).or_default() += count;
    }
}

/// Raises counts to those that were told; counts only grow. Returns whether any did.
fn raise(known: &mut Windows, told: Vec<WindowCounts>) -> bool {
    let mut has_grown = false;
    for window in told {
        has_grown |= raise_counts(known.entry(window.window).or_default(), &window.counts);
    }
    if let Some(newest) = known.keys().next_back().copied() {
        prune(known, newest);
    }
    has_grown
}

fn raise_counts(known: &mut BTreeMap<TenantName, u64>, told: &BTreeMap<TenantName, u64>) -> bool {
    let mut has_grown = false;
    for (tenant, count) in told {
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
