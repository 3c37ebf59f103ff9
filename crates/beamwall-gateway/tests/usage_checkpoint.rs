//! Usage counts that pass through the checkpoint of one lease holder after another.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_gateway::usage::{PartialSum, UsageCheckpoint, UsageLedger, WindowCounts};
use beamwall_model::generation_hash;

const WINDOW: Duration = Duration::from_secs(5);
const KEPT_WINDOWS: usize = 3;
/// Part of the requests by which a report may be off.
const USAGE_MAY_BE_OFF: f64 = 0.05;

fn time_in_window(window: u64) -> SystemTime {
    UNIX_EPOCH + WINDOW * u32::try_from(window).expect("a small window")
}

fn requests(counted: &WindowCounts) -> u64 {
    counted.counts.values().sum()
}

/// A deployment whose heartbeats reach all running nodes.
struct Nodes {
    ledgers: Vec<UsageLedger>,
    generations: Vec<u64>,
    window: u64,
    ran: BTreeMap<u64, u64>,
}

impl Nodes {
    fn new(count: usize) -> Self {
        let ledgers = (0..count).map(|node| Self::ledger(node, 0)).collect();
        Self { ledgers, generations: vec![0; count], window: 2, ran: BTreeMap::new() }
    }

    fn ledger(node: usize, generation: u64) -> UsageLedger {
        UsageLedger::new(WINDOW).for_generation(&format!("n{node}").as_str().into(), generation)
    }

    fn serve(&mut self, node: usize, count: u64) {
        for _ in 0..count {
            self.ledgers[node].record(&"alder".into(), time_in_window(self.window));
        }
        *self.ran.entry(self.window).or_default() += count;
    }

    fn serve_on_all(&mut self, count: u64) {
        for node in 0..self.ledgers.len() {
            self.serve(node, count);
        }
    }

    /// Every running node receives the counts of every other running node.
    fn exchange_heartbeats(&self) {
        for (sender, ledger) in self.ledgers.iter().enumerate() {
            let report = ledger.recent(KEPT_WINDOWS);
            for (receiver, other) in self.ledgers.iter().enumerate() {
                if receiver != sender {
                    let name = format!("n{sender}");
                    other.merge(&name.as_str().into(), self.generations[sender], report.clone());
                }
            }
        }
    }

    /// Kills a node. It starts again and recovers what another node has recorded.
    fn restart(&mut self, node: usize) {
        self.start_again(node);
        let other = (node + 1) % self.ledgers.len();
        for (known, generation, counts) in self.ledgers[other].generations(KEPT_WINDOWS) {
            self.ledgers[node].merge(&known, generation, counts);
        }
        self.exchange_heartbeats();
    }

    /// Kills all nodes, and they start again.
    fn restart_all(&mut self) {
        for node in 0..self.ledgers.len() {
            self.start_again(node);
        }
    }

    fn start_again(&mut self, node: usize) {
        self.generations[node] += 1;
        self.ledgers[node] = Self::ledger(node, self.generations[node]);
    }

    /// The checkpoint that a holder writes.
    fn write(&self, holder: usize) -> UsageCheckpoint {
        self.ledgers[holder].to_checkpoint(self.window)
    }

    fn take_over(&self, holder: usize, checkpoint: &UsageCheckpoint) {
        self.ledgers[holder].restore_checkpoint(checkpoint.clone());
    }

    /// The total of a node is at most what ran, and at least the part that a report must contain.
    fn assert_total(&self, holder: usize) {
        let total = requests(&self.ledgers[holder].total(self.window));
        let ran = self.ran.get(&self.window).copied().unwrap_or_default();
        assert!(total <= ran, "{total} of {ran}: more than ran");
        let least = ran as f64 * (1.0 - USAGE_MAY_BE_OFF);
        assert!(total as f64 >= least, "{total} of {ran}: too few");
    }
}

/// Three nodes, all killed after 30 requests. Node 0 takes over, and 9 more requests are stored.
fn stored_after_a_kill_of_all() -> (Nodes, UsageCheckpoint) {
    let mut nodes = Nodes::new(3);
    nodes.serve_on_all(10);
    nodes.exchange_heartbeats();
    let before = nodes.write(0);
    nodes.restart_all();
    nodes.take_over(0, &before);
    nodes.serve_on_all(3);
    nodes.exchange_heartbeats();
    nodes.assert_total(0);
    let after = nodes.write(0);
    (nodes, after)
}

/// Guards against requests of surviving nodes that stay hidden behind the stored counts of ended generations.
#[test]
fn survivors_of_a_holder_that_had_restored_counts_are_counted_on() {
    let (mut nodes, stored) = stored_after_a_kill_of_all();
    nodes.restart(0);
    nodes.take_over(1, &stored);
    nodes.serve_on_all(7);
    nodes.exchange_heartbeats();
    nodes.assert_total(1);
}

/// Guards against the same loss without a kill, at a holder that lost the lease and takes it again.
#[test]
fn a_holder_that_takes_its_lease_again_counts_on() {
    let (mut nodes, stored) = stored_after_a_kill_of_all();
    nodes.take_over(0, &stored);
    nodes.serve_on_all(7);
    nodes.exchange_heartbeats();
    nodes.assert_total(0);
}

/// Guards against a checkpoint that grows with each lease holder until it is too large to be stored.
#[test]
fn a_checkpoint_names_no_generations_that_counted_in_earlier_windows_only() {
    let mut nodes = Nodes::new(3);
    for _ in 0..100 {
        nodes.serve_on_all(1);
        nodes.exchange_heartbeats();
        let stored = nodes.write(0);
        nodes.window += 1;
        nodes.restart(0);
        nodes.take_over(0, &stored);
    }
    nodes.serve_on_all(1);
    nodes.exchange_heartbeats();
    let named = nodes.write(0).lives.len();
    assert!(named <= nodes.ledgers.len(), "{named} generations are named, 3 have counted");
}

/// Guards against any order of restarts and lease holders that loses or repeats requests which were reported and stored.
#[test]
fn reported_and_stored_requests_are_counted_once_in_any_order_of_holders() {
    beamwall_seeds::on_seeds(2_000, |random| {
        let mut nodes = Nodes::new(3);
        let mut holder = 0;
        for _ in 0..random.int_in_range(1..=12)? {
            let node = random.int_in_range(0..=2)?;
            nodes.serve(node, random.int_in_range(0..=20)?);
            nodes.exchange_heartbeats();
            nodes.assert_total(holder);
            let stored = nodes.write(holder);
            match random.int_in_range(0..=4)? {
                0 => nodes.restart_all(),
                1 => nodes.restart(node),
                2 => nodes.restart(holder),
                _ => {}
            }
            holder = random.int_in_range(0..=2)?;
            nodes.take_over(holder, &stored);
            nodes.assert_total(holder);
        }
        Ok(())
    });
}

/// Guards against a successor in another zone that adds the counts of its own zone to a stored sum that includes them.
#[test]
fn successors_in_other_zones_count_their_own_zones_once() {
    let zones = ["a", "b", "c"];
    let ledgers = zones.map(|zone| UsageLedger::new(WINDOW).for_generation(&zone.into(), 1));
    for ledger in &ledgers {
        (0..10).for_each(|_| ledger.record(&"alder".into(), time_in_window(2)));
    }
    for (sender, zone) in zones.iter().enumerate() {
        let sum = ledgers[sender].sum_of_nodes(KEPT_WINDOWS);
        let others = ledgers.iter().enumerate().filter(|(receiver, _)| *receiver != sender);
        others.for_each(|(_, other)| other.merge_zone(&(*zone).into(), sum.clone()));
    }
    let mut totals = vec![requests(&ledgers[0].total(2))];
    for (holder, successor) in [(0, 1), (1, 2), (2, 0)] {
        ledgers[successor].restore_checkpoint(ledgers[holder].to_checkpoint(2));
        totals.push(requests(&ledgers[successor].total(2)));
    }
    assert_eq!(totals, [30; 4]);
}

/// Number of zones whose sums one checkpoint overlaps with.
const ZONES_JOINED: usize = 24;

fn window_of(count: u64) -> Vec<WindowCounts> {
    vec![WindowCounts { window: 2, counts: [("alder".into(), count)].into() }]
}

/// Guards against: sums that overlap within several zones, and a checkpoint that joins these, block all requests.
#[test]
fn a_total_over_zones_joined_by_a_checkpoint_ends() {
    let holder = UsageLedger::new(WINDOW);
    let generations = |zone: &str, first: u64, count: u64| -> Vec<u32> {
        (first..first + count).map(|generation| generation_hash(&zone.into(), generation)).collect()
    };
    let mut lives = BTreeSet::new();
    for zone in (0..ZONES_JOINED).map(|zone| format!("zone-{zone}")) {
        let zone = zone.as_str();
        lives.extend(generations(zone, 0, 1));
        for first in 0..16 {
            let generations = generations(zone, first, 8).into_iter().collect();
            holder.merge_zone(
                &zone.into(),
                PartialSum { generations, windows: window_of(100 + first * 37 % 50) },
            );
        }
    }
    holder.restore_checkpoint(UsageCheckpoint {
        lives,
        windows: window_of(900),
        ..UsageCheckpoint::default()
    });
    // Each of these zones would multiply the time by eight if their sums were not taken apart.
    assert!(requests(&holder.total(2)) >= 900);
}
