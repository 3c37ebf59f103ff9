//! Usage counts beside gateways of an earlier build, while members are forgotten, windows pass and zones end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_gateway::usage::{PartialSum, UsageCheckpoint, UsageLedger, WindowCounts};
use beamwall_model::{NodeId, ZoneName, generation_hash};

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
/// The window in which all requests of the forced orders of events start.
const WINDOW: u64 = 2;
/// Number of windows in a message.
const REPORTED_WINDOWS: usize = 3;
/// Number of seeds of a random play.
const SEEDS: u32 = 2_000;

fn ledger(node: &str, generation: u64) -> UsageLedger {
    let zone = ZoneName::new(&node[..1]);
    UsageLedger::new(WINDOW_LENGTH).for_generation(&node.into(), generation).in_zone(&zone)
}

fn serve(ledger: &UsageLedger, count: u64) {
    for _ in 0..count {
        ledger.record(&"alder".into(), UNIX_EPOCH + WINDOW_LENGTH * WINDOW as u32);
    }
}

fn counted(count: u64) -> Vec<WindowCounts> {
    vec![WindowCounts { window: WINDOW, counts: BTreeMap::from([("alder".into(), count)]) }]
}

fn total(ledger: &UsageLedger) -> u64 {
    ledger.total(WINDOW).counts.values().sum()
}

/// A zone's sum as a relay of an earlier build tells it.
fn without_names(sum: PartialSum) -> PartialSum {
    PartialSum { generations: std::iter::empty().collect(), ..sum }
}

/// Guards against: the first holder of this build adds zones to an earlier build's checkpoint that includes them.
#[test]
fn a_checkpoint_of_an_earlier_build_includes_other_zones_once() {
    let served_in_a = ledger("a1", 1);
    serve(&served_in_a, 10);
    let served_in_b = ledger("b1", 2);
    serve(&served_in_b, 10);
    // A holder of an earlier build in zone a names the generations of its zone, and sums all zones.
    let lives = BTreeSet::from([generation_hash(&"a1".into(), 1)]);
    let stored = UsageCheckpoint { lives, windows: counted(20), ..UsageCheckpoint::default() };
    let successor = ledger("a2", 3);
    successor.restore_checkpoint(stored);
    successor.merge(&"a1".into(), 1, served_in_a.recent(REPORTED_WINDOWS));
    successor.merge_zone(&"b".into(), served_in_b.sum_of_nodes(REPORTED_WINDOWS));
    assert_eq!(total(&successor), 20);
}

/// Guards against: a sum of a relay of an earlier build, once stored, counts beside that of a relay of this build.
#[test]
fn a_stored_sum_of_an_earlier_relay_counts_once_beside_a_named_one() {
    let served_in_b = ledger("b1", 2);
    serve(&served_in_b, 10);
    let named = served_in_b.sum_of_nodes(REPORTED_WINDOWS);
    let holder = ledger("a1", 1);
    serve(&holder, 10);
    holder.merge_zone(&"b".into(), without_names(named.clone()));
    let successor = ledger("c1", 3);
    successor.restore_checkpoint(holder.to_checkpoint(0));
    successor.merge_zone(&"b".into(), named);
    assert_eq!(total(&successor), 20);
}

/// Guards against: a successor adds its own zone to a checkpoint that has it by a relay of an earlier build.
#[test]
fn a_stored_sum_of_an_earlier_relay_counts_once_beside_its_nodes() {
    let successor = ledger("b1", 2);
    serve(&successor, 10);
    let holder = ledger("a1", 1);
    serve(&holder, 10);
    holder.merge_zone(&"b".into(), without_names(successor.sum_of_nodes(REPORTED_WINDOWS)));
    successor.restore_checkpoint(holder.to_checkpoint(0));
    assert_eq!(total(&successor), 20);
}

/// Guards against: relays of several zones sum a member that all have forgotten before the deployment grows.
#[test]
fn a_forgotten_node_counts_once_after_growth() {
    let ended = ledger("b9", 1);
    serve(&ended, 10);
    let [holder, relay_of_b, relay_of_c] =
        [("a1", 2), ("b1", 3), ("c1", 4)].map(|(node, generation)| ledger(node, generation));
    for heard in [&holder, &relay_of_b, &relay_of_c] {
        heard.merge(&"b9".into(), 1, ended.recent(REPORTED_WINDOWS));
    }
    // Membership has forgotten the ended node, so its counts move to no zone.
    holder.merge_zone(&"b".into(), relay_of_b.sum_of_nodes(REPORTED_WINDOWS));
    holder.merge_zone(&"c".into(), relay_of_c.sum_of_nodes(REPORTED_WINDOWS));
    assert_eq!(total(&holder), 10);
}

const ZONES: usize = 3;
const NODES_PER_ZONE: usize = 2;
const NODES: usize = ZONES * NODES_PER_ZONE;

// Nodes in the order of `Zones::ledgers`.
const A1: usize = 0;
const A2: usize = 1;
const B1: usize = 2;
const C1: usize = 4;

/// Requests by window and tenant.
type Served = BTreeMap<(u64, &'static str), u64>;

/// Three zones in which several tenants are served while windows pass.
struct Zones {
    ledgers: Vec<UsageLedger>,
    generations: Vec<u64>,
    next_generation: u64,
    window: u64,
    served: Served,
    stored: Option<UsageCheckpoint>,
    holder: usize,
}

fn zone_of(node: usize) -> usize {
    node / NODES_PER_ZONE
}

fn zone_name(node: usize) -> ZoneName {
    ["a", "b", "c"][zone_of(node)].into()
}

fn name_of(node: usize) -> NodeId {
    format!("{}{node}", ["a", "b", "c"][zone_of(node)]).as_str().into()
}

impl Zones {
    fn new() -> Self {
        let ledgers = (0..NODES).map(|node| ledger(name_of(node).as_str(), node as u64)).collect();
        let generations = (0..NODES as u64).collect();
        Self {
            ledgers,
            generations,
            next_generation: NODES as u64,
            window: 20,
            served: Served::new(),
            stored: None,
            holder: 0,
        }
    }

    fn serve(&mut self, node: usize, tenant: &'static str, count: u64) {
        for _ in 0..count {
            self.ledgers[node].record(&tenant.into(), UNIX_EPOCH + WINDOW_LENGTH * self.window as u32);
        }
        *self.served.entry((self.window, tenant)).or_default() += count;
    }

    fn heartbeat(&self, sender: usize, receiver: usize) {
        if sender != receiver && zone_of(sender) == zone_of(receiver) {
            let recent = self.ledgers[sender].recent(REPORTED_WINDOWS);
            self.ledgers[receiver].merge(&name_of(sender), self.generations[sender], recent);
        }
    }

    fn summary(&self, sender: usize, receiver: usize, is_named: bool) {
        if zone_of(sender) == zone_of(receiver) {
            return;
        }
        let sum = self.ledgers[sender].sum_of_nodes(REPORTED_WINDOWS);
        let sum = if is_named { sum } else { without_names(sum) };
        self.ledgers[receiver].merge_zone(&zone_name(sender), sum);
    }

    /// Tells all nodes everything, and stores it.
    fn settle(&mut self, relay_in_zone: usize) {
        for sender in 0..NODES {
            (0..NODES).for_each(|receiver| self.heartbeat(sender, receiver));
        }
        for zone in 0..ZONES {
            let relay = zone * NODES_PER_ZONE + relay_in_zone;
            (0..NODES).for_each(|receiver| self.summary(relay, receiver, true));
        }
        self.store();
    }

    fn first_open_window(&self) -> u64 {
        self.window.saturating_sub(2)
    }

    fn store(&mut self) {
        self.stored = Some(self.ledgers[self.holder].to_checkpoint(self.first_open_window()));
    }

    fn restart(&mut self, node: usize) {
        self.generations[node] = self.next_generation;
        self.next_generation += 1;
        self.ledgers[node] = ledger(name_of(node).as_str(), self.generations[node]);
    }

    /// The node gets the recorded counts of another one.
    fn recover(&self, node: usize, answering: usize) {
        if node == answering {
            return;
        }
        let (asking, answering_ledger) = (&self.ledgers[node], &self.ledgers[answering]);
        if zone_of(node) == zone_of(answering) {
            for (name, generation, counts) in answering_ledger.generations(REPORTED_WINDOWS) {
                if (&name, generation) != (&name_of(node), self.generations[node]) {
                    asking.merge(&name, generation, counts);
                }
            }
            let recent = answering_ledger.recent(REPORTED_WINDOWS);
            asking.merge(&name_of(answering), self.generations[answering], recent);
        }
        for (zone, sum) in answering_ledger.zone_sums(REPORTED_WINDOWS) {
            asking.merge_zone(&zone, sum);
        }
    }

    /// Kills nodes at once and starts them again. Each recovers from the longest-running node of its zone, and
    /// from one of another zone.
    fn restart_and_recover(&mut self, killed: &[usize]) {
        killed.iter().for_each(|node| self.restart(*node));
        for node in killed {
            for is_same_zone in [true, false] {
                let may_answer =
                    |other: &usize| other != node && (zone_of(*other) == zone_of(*node)) == is_same_zone;
                let answering = (0..NODES).filter(may_answer).min_by_key(|other| self.generations[*other]);
                self.recover(*node, answering.expect("another node"));
            }
        }
        if killed.contains(&self.holder) {
            self.take_over(self.holder);
        }
    }

    fn take_over(&mut self, node: usize) {
        self.holder = node;
        if let Some(stored) = self.stored.clone() {
            self.ledgers[node].restore_checkpoint(stored);
        }
    }

    /// The open windows' counts at the holder, and what was served.
    fn open_counts(&self) -> Vec<(u64, &'static str, u64, u64)> {
        let mut counts = Vec::new();
        for window in self.first_open_window()..=self.window {
            let total = self.ledgers[self.holder].total(window);
            for tenant in ["alder", "birch"] {
                let served = self.served.get(&(window, tenant)).copied().unwrap_or(0);
                let reported = total.counts.get(&tenant.into()).copied().unwrap_or(0);
                counts.push((window, tenant, reported, served));
            }
        }
        counts
    }
}

fn play_any_event(random: &mut Unstructured<'_>, zones: &mut Zones) -> Result<()> {
    let node = random.int_in_range(0..=NODES - 1)?;
    let other = random.int_in_range(0..=NODES - 1)?;
    match random.int_in_range(0..=11)? {
        0..=2 => zones.serve(node, random.choose(&["alder", "birch"])?, random.int_in_range(1..=4)?),
        3 | 4 => zones.heartbeat(node, other),
        5 | 6 => zones.summary(node, other, true),
        7 => zones.recover(node, other),
        8 => zones.store(),
        9 => {
            zones.restart(node);
            if zones.holder == node {
                zones.take_over(other);
            }
        }
        10 => zones.take_over(node),
        _ => zones.window += 1,
    }
    Ok(())
}

/// Guards against: a request counts twice for one of several tenants while windows pass, in any order of events.
#[test]
fn totals_by_tenant_and_window_are_at_most_the_requests_run() {
    beamwall_seeds::on_seeds(SEEDS, |random| {
        let mut zones = Zones::new();
        for _ in 0..random.int_in_range(1..=200)? {
            play_any_event(random, &mut zones)?;
            for (window, tenant, reported, served) in zones.open_counts() {
                assert!(reported <= served, "{reported} of {served} for {tenant} in window {window}");
            }
        }
        Ok(())
    });
}

/// Guards against: counts from before a kill of all join those of running nodes in the second next checkpoint.
#[test]
fn counts_of_an_ended_zone_do_not_hide_later_ones_behind_a_checkpoint() {
    let mut zones = Zones::new();
    zones.serve(B1, "alder", 1);
    zones.settle(0);
    zones.restart_and_recover(&(0..NODES).collect::<Vec<_>>());
    zones.settle(0);
    zones.serve(A1, "alder", 2);
    zones.settle(0);
    zones.restart_and_recover(&[A1, A2]);
    zones.settle(0);
    zones.take_over(B1);
    zones.settle(0);
    zones.serve(C1, "alder", 3);
    zones.settle(0);
    zones.take_over(C1);
    zones.settle(0);
    zones.serve(C1, "alder", 2);
    zones.settle(0);
    let open = zones.open_counts();
    let alder = open.iter().find(|(window, tenant, ..)| (*window, *tenant) == (zones.window, "alder"));
    assert_eq!(alder, Some(&(zones.window, "alder", 8, 8)));
}

/// Guards against: told and stored counts of one of several tenants are lost or repeated while windows pass.
#[test]
fn told_counts_by_tenant_and_window_are_exact() {
    beamwall_seeds::on_seeds(SEEDS, |random| {
        let mut zones = Zones::new();
        for _ in 0..random.int_in_range(1..=120)? {
            let node = random.int_in_range(0..=NODES - 1)?;
            let of_zone: Vec<usize> = (0..NODES).filter(|other| zone_of(*other) == zone_of(node)).collect();
            let killed = match random.int_in_range(0..=9)? {
                0 => vec![node],
                1 => of_zone,
                2 => (0..NODES).collect(),
                3 => {
                    zones.take_over(node);
                    Vec::new()
                }
                4 | 5 => {
                    zones.window += 1;
                    Vec::new()
                }
                _ => {
                    zones.serve(node, random.choose(&["alder", "birch"])?, random.int_in_range(1..=4)?);
                    Vec::new()
                }
            };
            zones.restart_and_recover(&killed);
            zones.settle(random.int_in_range(0..=NODES_PER_ZONE - 1)?);
            for (window, tenant, reported, served) in zones.open_counts() {
                assert_eq!(reported, served, "{tenant} in window {window}");
            }
        }
        Ok(())
    });
}
