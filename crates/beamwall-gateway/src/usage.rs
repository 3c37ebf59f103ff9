//! What is billed: the requests that began to run, by tenant and window.
//!
//! Every node counts its own and tells its counts to all others with each heartbeat, so the counts of
//! a node that is killed are known to the rest but for its last heartbeat period. A node's counts
//! carry its incarnation: a restarted node counts anew and both lives are summed. A node that starts asks for what
//! others know, since nobody tells a life's counts after its end.
//!
//! In a large deployment other zones are known by sums that their relays tell. Each sum is a lower bound
//! of what the zone counted, so of several the largest is right.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, TenantName, ZoneName};
use serde::{Deserialize, Serialize};

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

type Windows = BTreeMap<u64, BTreeMap<TenantName, u64>>;

#[derive(Debug, Default)]
struct State {
    own: Windows,
    others: HashMap<(NodeId, u64), Windows>,
    zones: HashMap<ZoneName, Windows>,
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

/// The counts of all nodes that are known here.
#[derive(Debug)]
pub struct UsageLedger {
    window_length: Duration,
    state: Mutex<State>,
}

impl UsageLedger {
    /// An empty ledger with windows of `window_length`.
    pub fn new(window_length: Duration) -> Self {
        Self { window_length, state: Mutex::default() }
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
        prune(&mut state.own, window);
    }

    /// This node's own counts in its newest windows, at most `windows`, to be told to the others.
    pub fn recent(&self, windows: usize) -> Vec<WindowCounts> {
        newest(&self.lock().own, windows)
    }

    /// Takes what one life of another node counted; counts only grow.
    pub fn merge(&self, node: &NodeId, incarnation: u64, told: Vec<WindowCounts>) {
        let mut state = self.lock();
        raise(state.others.entry((node.clone(), incarnation)).or_default(), told);
        state.forget_old_lives();
    }

    /// Takes the sums that a relay of another zone told.
    pub fn merge_zone(&self, zone: &ZoneName, told: Vec<WindowCounts>) {
        let mut state = self.lock();
        raise(state.zones.entry(zone.clone()).or_default(), told);
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

    /// The counts of all nodes for one window.
    pub fn total(&self, window: u64) -> WindowCounts {
        let state = self.lock();
        let mut total = WindowCounts { window, counts: BTreeMap::new() };
        let sources = std::iter::once(&state.own).chain(state.others.values()).chain(state.zones.values());
        for counts in sources.filter_map(|windows| windows.get(&window)) {
            add(&mut total.counts, counts);
        }
        total
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

/// Raises counts to those that were told; counts only grow.
fn raise(known: &mut Windows, told: Vec<WindowCounts>) {
    for window in told {
        let counts = known.entry(window.window).or_default();
        for (tenant, count) in window.counts {
            let entry = counts.entry(tenant).or_default();
            *entry = (*entry).max(count);
        }
    }
    if let Some(newest) = known.keys().next_back().copied() {
        prune(known, newest);
    }
}

fn prune(windows: &mut Windows, newest: u64) {
    let oldest = newest.saturating_sub(KEPT_WINDOWS);
    windows.retain(|window, _| *window >= oldest);
}
