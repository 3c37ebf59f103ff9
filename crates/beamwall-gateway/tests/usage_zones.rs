//! Usage counts in a deployment of three zones whose nodes know other zones by summaries only.
//!
//! Each test forces an order of events: requests, heartbeats, summaries, kills, recoveries and checkpoints. A
//! count is told to a ledger if the ledger counted it, or merged a message or restored a checkpoint whose
//! sender had been told it. What was told to a process remains told until that process ends.

use std::collections::BTreeMap;
use std::time::{Duration, UNIX_EPOCH};

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_gateway::usage::{PartialSum, UsageCheckpoint, UsageLedger, WindowCounts};
use beamwall_model::{NodeId, ZoneName};

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
/// The window in which all requests start.
const WINDOW: u64 = 2;
/// Number of windows in a message.
const REPORTED_WINDOWS: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];
const NODES_PER_ZONE: usize = 3;
const NODES: usize = ZONES.len() * NODES_PER_ZONE;
/// Number of seeds of a random play.
const SEEDS: u32 = 2_000;

// Nodes in the order of `Deployment::nodes`.
const A1: usize = 0;
const A2: usize = 1;
const B1: usize = 3;
const B2: usize = 4;
const B3: usize = 5;
const C1: usize = 6;

/// Counts by node and generation: what a receiver would know if messages carried every generation's count.
type Told = BTreeMap<(usize, u64), u64>;

fn tell(told: &mut Told, news: &Told) {
    for (generation, count) in news {
        let known = told.entry(*generation).or_default();
        *known = (*known).max(*count);
    }
}

/// Content of a message.
#[derive(Clone)]
enum Content {
    /// Counts of the sender.
    Heartbeat(Vec<WindowCounts>),
    /// Sum of the sender's zone.
    Summary(PartialSum),
    /// Recorded counts, for one process of one node.
    Recovery { node: usize, generation: u64, recorded: Recorded },
}

/// What a node answers to one that starts.
#[derive(Clone)]
struct Recorded {
    /// Counts of ended and running processes, for nodes that report their own counts.
    generations: Vec<(NodeId, u64, Vec<WindowCounts>)>,
    /// Sums of zones.
    zone_sums: Vec<(ZoneName, PartialSum)>,
}

/// A message, which may be delivered to several nodes, late, repeatedly or never.
#[derive(Clone)]
struct Message {
    sender: usize,
    generation: u64,
    content: Content,
    told: Told,
    past: Told,
}

impl Message {
    /// The relay, its generation, and the sum of a summary; an empty sum for other messages.
    fn into_sum(self) -> (usize, u64, PartialSum) {
        let sum = if let Content::Summary(sum) = self.content { sum } else { PartialSum::default() };
        (self.sender, self.generation, sum)
    }
}

/// A checkpoint in the store, and what its writer had been told.
struct Stored {
    checkpoint: UsageCheckpoint,
    told: Told,
    past: Told,
}

struct Node {
    generation: u64,
    ledger: UsageLedger,
    told: Told,
    /// Counts that this process may know by any message or checkpoint, whatever these carry.
    past: Told,
    /// Whether this node regards the deployment as large.
    is_large: bool,
}

/// Three zones, and the checkpoint in the store.
struct Deployment {
    nodes: Vec<Node>,
    stored: Option<Stored>,
    ran: u64,
}

fn node_name(node: usize) -> NodeId {
    format!("{}{}", zone_of(node), node % NODES_PER_ZONE + 1).as_str().into()
}

fn zone_of(node: usize) -> &'static str {
    ZONES[node / NODES_PER_ZONE]
}

fn start(node: usize, generation: u64, is_large: bool) -> Node {
    let ledger = UsageLedger::new(WINDOW_LENGTH)
        .for_generation(&node_name(node), generation)
        .in_zone(&ZoneName::new(zone_of(node)));
    Node { generation, ledger, told: Told::new(), past: Told::new(), is_large }
}

impl Node {
    /// Merges recorded counts as the exchange does. In a large deployment nodes of other zones count in their
    /// zones' sums.
    fn merge_recovered(&self, own: usize, recorded: &Recorded) {
        for (name, life, counts) in &recorded.generations {
            let node = (0..NODES).find(|node| node_name(*node) == *name).expect("a known node");
            if (node, *life) == (own, self.generation) {
                continue;
            }
            if self.is_large && zone_of(node) != zone_of(own) {
                let sum = PartialSum::of_node(name, *life, counts.clone());
                self.ledger.merge_zone(&ZoneName::new(zone_of(node)), sum);
            } else {
                self.ledger.merge(name, *life, counts.clone());
            }
        }
        recorded.zone_sums.iter().for_each(|(zone, sum)| self.ledger.merge_zone(zone, sum.clone()));
    }
}

impl Deployment {
    fn new(is_large: bool) -> Self {
        let nodes = (0..NODES).map(|node| start(node, node as u64, is_large)).collect();
        Self { nodes, stored: None, ran: 0 }
    }

    fn large() -> Self {
        Self::new(true)
    }

    fn small() -> Self {
        Self::new(false)
    }

    fn requests(&mut self, node: usize, count: u64) {
        let here = &mut self.nodes[node];
        for _ in 0..count {
            here.ledger.record(&"alder".into(), UNIX_EPOCH + WINDOW_LENGTH * WINDOW as u32);
        }
        for known in [&mut here.told, &mut here.past] {
            *known.entry((node, here.generation)).or_default() += count;
        }
        self.ran += count;
    }

    fn message(&self, sender: usize, content: Content, told: Told) -> Message {
        let from = &self.nodes[sender];
        Message { sender, generation: from.generation, content, told, past: from.past.clone() }
    }

    fn heartbeat(&self, sender: usize) -> Message {
        let from = &self.nodes[sender];
        let own = (sender, from.generation);
        let told = from.told.get(&own).map(|count| (own, *count)).into_iter().collect();
        self.message(sender, Content::Heartbeat(from.ledger.recent(REPORTED_WINDOWS)), told)
    }

    /// The summary of a relay that regards the deployment as large.
    fn summary(&self, sender: usize) -> Message {
        let from = &self.nodes[sender];
        let is_of_zone = |generation: &(usize, u64)| zone_of(generation.0) == zone_of(sender);
        let told = from
            .told
            .iter()
            .filter(|(generation, _)| is_of_zone(generation))
            .map(|(key, count)| (*key, *count));
        let sums = from.ledger.sum_of_nodes(REPORTED_WINDOWS);
        self.message(sender, Content::Summary(sums), told.collect())
    }

    /// The answer of `sender` to the process that runs at `node`. In a large deployment, nodes of another zone
    /// get the sums of zones.
    fn recovery(&self, sender: usize, node: usize) -> Message {
        let from = &self.nodes[sender];
        let generation = self.nodes[node].generation;
        let mut generations = Vec::new();
        if !from.is_large || zone_of(sender) == zone_of(node) {
            generations = from.ledger.generations(REPORTED_WINDOWS);
            generations.push((node_name(sender), from.generation, from.ledger.recent(REPORTED_WINDOWS)));
        }
        let is_recorded = |key: &(usize, u64)| {
            let is_generation = |(name, life, _): &(NodeId, u64, Vec<WindowCounts>)| {
                (&node_name(key.0), key.1) == (name, *life)
            };
            zone_of(key.0) != zone_of(sender) || generations.iter().any(is_generation)
        };
        let told = from.told.iter().filter(|(key, _)| is_recorded(key));
        let told = told.map(|(key, count)| (*key, *count)).collect();
        let recorded = Recorded { generations, zone_sums: from.ledger.zone_sums(REPORTED_WINDOWS) };
        self.message(sender, Content::Recovery { node, generation, recorded }, told)
    }

    /// Delivers a message to one node, which applies it as the exchange does.
    fn deliver(&mut self, message: &Message, receiver: usize) {
        let here = &mut self.nodes[receiver];
        let is_same_zone = zone_of(receiver) == zone_of(message.sender);
        tell(&mut here.past, &message.past);
        match &message.content {
            _ if receiver == message.sender => return,
            Content::Heartbeat(counts) if !here.is_large || is_same_zone => {
                here.ledger.merge(&node_name(message.sender), message.generation, counts.clone());
            }
            Content::Summary(sums) if here.is_large && !is_same_zone => {
                here.ledger.merge_zone(&ZoneName::new(zone_of(message.sender)), sums.clone());
            }
            Content::Recovery { node, generation, recorded }
                if (*node, *generation) == (receiver, here.generation) =>
            {
                here.merge_recovered(receiver, recorded);
            }
            _ => return,
        }
        tell(&mut here.told, &message.told);
    }

    fn heartbeat_to(&mut self, sender: usize, receivers: &[usize]) {
        let message = self.heartbeat(sender);
        receivers.iter().for_each(|receiver| self.deliver(&message, *receiver));
    }

    fn summary_to(&mut self, sender: usize, receivers: &[usize]) {
        let message = self.summary(sender);
        receivers.iter().for_each(|receiver| self.deliver(&message, *receiver));
    }

    /// Kills a node and starts it again with an empty ledger.
    fn restart(&mut self, node: usize) {
        // A generation is a time in milliseconds, so no two nodes share one.
        let generation = self.nodes.iter().map(|known| known.generation).max().unwrap_or(0) + 1;
        self.nodes[node] = start(node, generation, self.nodes[node].is_large);
    }

    fn restart_all(&mut self, nodes: &[usize]) {
        nodes.iter().for_each(|node| self.restart(*node));
    }

    fn store_checkpoint(&mut self, holder: usize) {
        let here = &self.nodes[holder];
        let checkpoint = here.ledger.to_checkpoint(0);
        self.stored = Some(Stored { checkpoint, told: here.told.clone(), past: here.past.clone() });
    }

    fn restore_checkpoint(&mut self, holder: usize) {
        let Some(stored) = &self.stored else { return };
        let here = &mut self.nodes[holder];
        here.ledger.restore_checkpoint(stored.checkpoint.clone());
        tell(&mut here.told, &stored.told);
        tell(&mut here.past, &stored.past);
    }

    /// The node regards the deployment as large. The reports of single nodes of other zones become part of the
    /// sums of their zones.
    fn grow(&mut self, node: usize) {
        let here = &mut self.nodes[node];
        here.is_large = true;
        for other in (0..NODES).filter(|other| zone_of(*other) != zone_of(node)) {
            here.ledger.move_to_zone(&node_name(other), &ZoneName::new(zone_of(other)));
        }
    }

    /// The node regards the deployment as small.
    fn shrink(&mut self, node: usize) {
        self.nodes[node].is_large = false;
    }

    /// Every node sends a heartbeat to its direct peers, then a summary to the other zones; nothing is lost.
    fn settle(&mut self) {
        let all: Vec<usize> = (0..NODES).collect();
        all.iter().for_each(|node| self.heartbeat_to(*node, &all));
        let relays: Vec<usize> = all.iter().copied().filter(|node| self.nodes[*node].is_large).collect();
        relays.iter().for_each(|relay| self.summary_to(*relay, &all));
    }

    /// Kills nodes at once and starts them again. Each recovers from the longest-running node of its zone, and
    /// from one of another zone; then all nodes report as usual.
    fn restart_and_recover(&mut self, nodes: &[usize]) {
        self.restart_all(nodes);
        for node in nodes {
            for is_same_zone in [true, false] {
                let may_answer =
                    |other: &usize| other != node && (zone_of(*other) == zone_of(*node)) == is_same_zone;
                let answering =
                    (0..NODES).filter(may_answer).min_by_key(|other| self.nodes[*other].generation);
                let answer = self.recovery(answering.expect("another node"), *node);
                self.deliver(&answer, *node);
            }
        }
        self.settle();
    }

    fn total(&self, node: usize) -> u64 {
        self.nodes[node].ledger.total(WINDOW).counts.values().sum()
    }

    /// The sum of all counts told to the node.
    fn told(&self, node: usize) -> u64 {
        self.nodes[node].told.values().sum()
    }

    /// Asserts the total at the holder where it was told every request that ran.
    fn assert_total_of_all(&self, holder: usize) {
        assert_eq!(self.told(holder), self.ran, "the test tells the holder every request");
        assert_eq!(self.total(holder), self.ran);
    }
}

/// Guards against: after a kill of all nodes, a zone's new requests hide behind its stored sum.
#[test]
fn after_a_kill_of_all_a_zone_adds_to_its_stored_sum() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    deployment.store_checkpoint(A1);
    deployment.restart_all(&(0..NODES).collect::<Vec<_>>());
    deployment.restore_checkpoint(A1);
    deployment.requests(B1, 4);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: after a kill of one zone, its new requests hide behind the sum that the holder remembers.
#[test]
fn after_a_kill_of_one_zone_its_sum_continues() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    deployment.restart_all(&[B1, B2, B3]);
    deployment.requests(B1, 4);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: a relay's counts that only another zone heard hide the requests of the rest of its zone.
#[test]
fn counts_of_a_killed_relay_add_to_those_of_the_other_relay() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    // B1 ends before its next heartbeat and never starts again.
    deployment.requests(B2, 4);
    deployment.summary_to(B2, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: a restarted relay that was not told its earlier generation hides what it counts next.
#[test]
fn a_relay_that_recovers_nothing_adds_to_its_earlier_generation() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.heartbeat_to(B1, &[B3]);
    deployment.summary_to(B1, &[A1]);
    deployment.restart(B1);
    // Of the members of its zone, the one that answers missed the heartbeat.
    let answer = deployment.recovery(B2, B1);
    deployment.deliver(&answer, B1);
    deployment.requests(B1, 4);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: of two relays that hear different nodes of their zone, only the larger sum counts.
#[test]
fn relays_that_hear_different_nodes_add_up() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.requests(B2, 4);
    deployment.summary_to(B1, &[A1]);
    deployment.summary_to(B2, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: what one node counted before the checkpoint hides what another counted after it.
#[test]
fn a_killed_holder_s_stored_count_adds_to_a_later_count_of_a_running_node() {
    let mut deployment = Deployment::small();
    deployment.requests(A1, 10);
    deployment.requests(A2, 1);
    deployment.heartbeat_to(A2, &[A1]);
    deployment.store_checkpoint(A1);
    // A1 ends before its next heartbeat.
    deployment.requests(A2, 10);
    deployment.restore_checkpoint(A2);
    deployment.assert_total_of_all(A2);
}

/// Guards against: what the holder counted before the checkpoint hides a sum that is not in it.
#[test]
fn a_killed_holder_s_stored_count_adds_to_a_later_sum_of_a_running_zone() {
    let mut deployment = Deployment::large();
    deployment.requests(A1, 10);
    deployment.store_checkpoint(A1);
    // A1 ends before its next heartbeat.
    deployment.restore_checkpoint(A2);
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A2]);
    deployment.assert_total_of_all(A2);
}

/// Guards against: the stored sum of a zone that has ended hides a later sum of another zone.
#[test]
fn a_stored_sum_of_an_ended_zone_adds_to_a_later_sum_of_another_zone() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    deployment.store_checkpoint(A1);
    // Zone B ends for good.
    deployment.restart(A1);
    deployment.restore_checkpoint(A1);
    deployment.requests(C1, 10);
    deployment.summary_to(C1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: a holder in another zone adds its own zone's counts to a checkpoint that includes them.
#[test]
fn a_holder_in_another_zone_counts_its_own_zone_once() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    deployment.store_checkpoint(A1);
    deployment.restore_checkpoint(B1);
    deployment.assert_total_of_all(B1);
}

/// Guards against: nodes that report their own counts after a shrink count on top of their zone's sum.
#[test]
fn a_node_counts_once_after_the_deployment_shrinks() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1]);
    deployment.shrink(A1);
    deployment.heartbeat_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: counts reported while the deployment was small for the second time stay beside the sums.
#[test]
fn a_node_counts_once_after_the_deployment_grows_again() {
    let mut deployment = Deployment::large();
    deployment.shrink(A1);
    deployment.requests(B1, 10);
    deployment.heartbeat_to(B1, &[A1]);
    deployment.grow(A1);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: a relay that was small for the second time reports other zones' nodes as its own zone's.
#[test]
fn a_relay_sums_its_own_zone_only_after_the_deployment_grows_again() {
    let mut deployment = Deployment::large();
    deployment.shrink(C1);
    deployment.requests(B1, 10);
    deployment.heartbeat_to(B1, &[C1]);
    deployment.grow(C1);
    deployment.summary_to(B1, &[A1]);
    deployment.summary_to(C1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: an answer that was asked for while the deployment seemed small counts beside the sums.
#[test]
fn a_recovery_that_arrives_after_growth_counts_once() {
    let mut deployment = Deployment::small();
    deployment.requests(B1, 10);
    deployment.heartbeat_to(B1, &[C1]);
    let answer = deployment.recovery(C1, A1);
    deployment.grow(A1);
    deployment.deliver(&answer, A1);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: growth drops counts of a node that its zone's sums never include.
#[test]
fn growth_keeps_counts_that_no_sum_includes() {
    let mut deployment = Deployment::small();
    deployment.requests(B1, 10);
    deployment.heartbeat_to(B1, &[A1]);
    // B1 ends before its zone hears it.
    deployment.grow(A1);
    deployment.assert_total_of_all(A1);
}

/// Guards against: a sum of a zone that was told to others is lost with the process of the holder.
#[test]
fn a_restarted_holder_recovers_sums_of_other_zones() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.summary_to(B1, &[A1, A2]);
    // Zone B ends for good.
    deployment.restart(A1);
    let answer = deployment.recovery(A2, A1);
    deployment.deliver(&answer, A1);
    assert_eq!(deployment.total(A1), deployment.told(A2));
}

/// Guards against: a node that answers a starting node leaves out its own counts, and ends before it reports.
#[test]
fn an_answer_includes_the_counts_of_the_node_that_answers() {
    let mut deployment = Deployment::small();
    deployment.requests(A2, 10);
    deployment.heartbeat_to(A2, &[A1]);
    deployment.restart(A1);
    let answer = deployment.recovery(A2, A1);
    deployment.deliver(&answer, A1);
    // A2 ends before its next heartbeat.
    assert_eq!(deployment.total(A1), deployment.ran);
}

/// Guards against: an earlier node generation is missing in the sums of a zone whose nodes end one after another.
#[test]
fn counts_of_a_zone_whose_nodes_end_one_after_another_add_up() {
    let mut deployment = Deployment::large();
    deployment.requests(B1, 10);
    deployment.requests(B2, 3);
    deployment.heartbeat_to(B2, &[B1]);
    deployment.summary_to(B1, &[A1, C1]);
    deployment.restart(B1);
    deployment.heartbeat_to(B2, &[B1]);
    deployment.restart(B2);
    // No node of the zone remembers the first counts of B1, but zone C remembers its sum.
    let answer = deployment.recovery(C1, B1);
    deployment.deliver(&answer, B1);
    deployment.requests(B1, 4);
    deployment.summary_to(B1, &[A1]);
    deployment.assert_total_of_all(A1);
}

/// Guards against: the summaries of a relay that lost counts equal those of one that hears a node again.
#[test]
fn summaries_after_a_restart_tell_lost_counts_from_late_ones() {
    let mut lost = Deployment::large();
    lost.requests(B1, 10);
    let before = lost.summary(B1);
    lost.restart(B1);
    lost.requests(B1, 4);
    let lost_sums = [before, lost.summary(B1)].map(Message::into_sum);
    let mut late = Deployment::large();
    late.requests(B1, 6);
    late.requests(B2, 4);
    late.heartbeat_to(B2, &[B1]);
    let before = late.summary(B1);
    late.restart(B1);
    late.heartbeat_to(B2, &[B1]);
    let late_sums = [before, late.summary(B1)].map(Message::into_sum);
    assert_eq!((lost.ran, late.ran), (14, 10));
    assert_ne!(lost_sums, late_sums);
}

/// Guards against: the summaries of two relays that share counts equal those of relays that share none.
#[test]
fn summaries_of_two_relays_tell_whether_they_share_counts() {
    let mut apart = Deployment::large();
    apart.requests(B1, 10);
    apart.requests(B2, 4);
    let apart_sums = [apart.summary(B1), apart.summary(B2)].map(Message::into_sum);
    let mut shared = Deployment::large();
    shared.requests(B1, 6);
    shared.requests(B2, 4);
    shared.heartbeat_to(B2, &[B1]);
    let shared_sums = [shared.summary(B1), shared.summary(B2)].map(Message::into_sum);
    assert_eq!((apart.ran, shared.ran), (14, 10));
    assert_ne!(apart_sums, shared_sums);
}

/// Guards against: a sum that includes a node's count equals one that does not.
#[test]
fn summaries_tell_which_nodes_they_include() {
    let mut included = Deployment::large();
    included.requests(B1, 10);
    let included_sums = included.summary(B1).into_sum();
    let mut other = Deployment::large();
    other.requests(B2, 10);
    other.heartbeat_to(B2, &[B1]);
    let other_sums = other.summary(B1).into_sum();
    // B2 ends, and B1 counts as many requests before its own report.
    other.requests(B1, 10);
    assert_eq!((included.ran, other.ran), (10, 20));
    assert_ne!(included_sums, other_sums);
}

/// Guards against: a checkpoint that includes another zone's count equals one that does not.
#[test]
fn checkpoints_tell_which_zone_counted() {
    let mut counted_here = Deployment::large();
    counted_here.requests(A1, 10);
    counted_here.store_checkpoint(A1);
    let mut counted_there = Deployment::large();
    counted_there.requests(B1, 10);
    counted_there.summary_to(B1, &[A1]);
    counted_there.store_checkpoint(A1);
    let checkpoint = |deployment: Deployment| deployment.stored.map(|stored| stored.checkpoint);
    assert_ne!(checkpoint(counted_here), checkpoint(counted_there));
}

/// The events that may happen in a random play.
#[derive(Debug, Clone, Copy)]
struct Events {
    restarts: bool,
    checkpoints: bool,
    size_changes: bool,
}

const NO_EVENTS: Events = Events { restarts: false, checkpoints: false, size_changes: false };

/// Plays random events, and checks the holder after each of them. Returns the last holder.
fn play(
    random: &mut Unstructured<'_>,
    deployment: &mut Deployment,
    events: Events,
    check: impl Fn(&Deployment, usize),
) -> Result<Option<usize>> {
    let last = NODES - 1;
    let mut holder = None;
    let mut sent: Vec<Message> = Vec::new();
    for _ in 0..random.int_in_range(1..=200)? {
        let node = random.int_in_range(0..=last)?;
        match random.int_in_range(0..=12)? {
            0..=2 => deployment.requests(node, random.int_in_range(1..=5)?),
            3 => sent.push(deployment.heartbeat(node)),
            4 if deployment.nodes[node].is_large => sent.push(deployment.summary(node)),
            5..=8 if !sent.is_empty() => {
                // Each message may arrive at any node or any zone, late and repeatedly.
                let message = random.choose(&sent)?.clone();
                let is_one: bool = random.arbitrary()?;
                let is_receiver =
                    |other: &usize| *other == node || !is_one && zone_of(*other) == zone_of(node);
                (0..NODES).filter(is_receiver).for_each(|receiver| deployment.deliver(&message, receiver));
            }
            9 if events.restarts => {
                deployment.restart(node);
                holder = holder.filter(|holder| *holder != node);
            }
            10 => sent.push(deployment.recovery(random.int_in_range(0..=last)?, node)),
            11 if events.checkpoints => match holder {
                // The lease is held by one node at a time, which restores the checkpoint once.
                Some(holder) if random.arbitrary()? => deployment.store_checkpoint(holder),
                _ => {
                    deployment.restore_checkpoint(node);
                    holder = Some(node);
                }
            },
            11 => holder = Some(node),
            12 if events.size_changes && deployment.nodes[node].is_large => deployment.shrink(node),
            12 if events.size_changes => deployment.grow(node),
            _ => {}
        }
        holder.into_iter().for_each(|holder| check(deployment, holder));
    }
    Ok(holder)
}

fn assert_at_most_known(deployment: &Deployment, holder: usize) {
    let total = deployment.total(holder);
    let known: u64 = deployment.nodes[holder].past.values().sum();
    assert!(deployment.told(holder) <= known && known <= deployment.ran);
    assert!(total <= known, "total {total} exceeds the {known} requests run that the holder may know");
}

fn assert_at_least_told(deployment: &Deployment, holder: usize) {
    let (total, told) = (deployment.total(holder), deployment.told(holder));
    assert!(total >= told, "total {total} is below the {told} requests told");
}

/// Guards against: a request counts twice under some order of all events.
#[test]
fn totals_are_at_most_the_requests_run() {
    let events = Events { restarts: true, checkpoints: true, size_changes: true };
    beamwall_seeds::on_seeds(SEEDS, |random| {
        play(random, &mut Deployment::large(), events, assert_at_most_known).map(drop)
    });
}

/// Guards against: a request counts twice although no checkpoint is written and no size changes.
#[test]
fn totals_of_large_deployments_without_checkpoints_are_at_most_the_requests_run() {
    let events = Events { restarts: true, ..NO_EVENTS };
    beamwall_seeds::on_seeds(SEEDS, |random| {
        play(random, &mut Deployment::large(), events, assert_at_most_known).map(drop)
    });
}

/// Guards against: a small deployment counts wrong without checkpoints, whichever nodes restart.
#[test]
fn totals_of_small_deployments_without_checkpoints_are_between_told_and_run() {
    let events = Events { restarts: true, ..NO_EVENTS };
    beamwall_seeds::on_seeds(SEEDS, |random| {
        play(random, &mut Deployment::small(), events, |deployment, holder| {
            assert_at_most_known(deployment, holder);
            assert_at_least_told(deployment, holder);
        })
        .map(drop)
    });
}

/// What is killed at once in a play, besides the nodes of a zone.
#[derive(Debug, Clone, Copy)]
struct Kills {
    single_nodes: bool,
    all_nodes: bool,
}

/// Plays one event. Every count is told to all nodes, and stored, before the next one.
fn play_one_told_event(
    random: &mut Unstructured<'_>,
    deployment: &mut Deployment,
    holder: &mut usize,
    kills: Kills,
) -> Result<()> {
    let node = random.int_in_range(0..=NODES - 1)?;
    let all: Vec<usize> = (0..NODES).collect();
    let of_zone: Vec<usize> = all.iter().copied().filter(|other| zone_of(*other) == zone_of(node)).collect();
    let killed = match random.int_in_range(0..=9)? {
        0 => {
            *holder = node;
            deployment.restore_checkpoint(node);
            return Ok(());
        }
        1 if kills.single_nodes => vec![node],
        2 if kills.all_nodes => all,
        3 => of_zone,
        _ => {
            deployment.requests(node, random.int_in_range(1..=5)?);
            deployment.heartbeat_to(node, &all);
            deployment.summary_to(*random.choose(&of_zone)?, &all);
            deployment.store_checkpoint(*holder);
            return Ok(());
        }
    };
    deployment.restart_and_recover(&killed);
    if killed.contains(holder) {
        deployment.restore_checkpoint(*holder);
    }
    Ok(())
}

fn assert_totals_are_exact(kills: Kills) {
    beamwall_seeds::on_seeds(SEEDS, |random| {
        let mut deployment = Deployment::large();
        let mut holder = A1;
        for _ in 0..random.int_in_range(1..=60)? {
            play_one_told_event(random, &mut deployment, &mut holder, kills)?;
            assert_eq!(deployment.total(holder), deployment.ran);
        }
        Ok(())
    });
}

/// Guards against: told and stored counts are lost or repeated, whichever nodes and zones are killed.
#[test]
fn totals_are_exact_after_told_counts_and_kills_of_nodes_and_zones() {
    assert_totals_are_exact(Kills { single_nodes: true, all_nodes: false });
}

/// Guards against: told and stored counts are lost or repeated, whenever zones and all nodes are killed.
#[test]
fn totals_are_exact_after_told_counts_and_kills_of_zones_and_all_nodes() {
    assert_totals_are_exact(Kills { single_nodes: false, all_nodes: true });
}

/// Guards against: told and stored counts are lost or repeated, whatever is killed.
#[test]
fn totals_are_exact_after_told_counts_and_kills_of_any_kind() {
    assert_totals_are_exact(Kills { single_nodes: true, all_nodes: true });
}
