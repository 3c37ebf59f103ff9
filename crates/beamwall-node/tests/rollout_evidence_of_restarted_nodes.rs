//! Evidence of rollouts while nodes of a zone restart, through the bytes that gateways send: reports between
//! the nodes of a zone, and sums of its relays to another zone.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_node::gateway::rollout_wire;
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_rollout::{OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Verdict};
use prost::Message;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const SERVICE: &str = "pool";
const NEW_VERSION: &str = "v2";
const ZONE: &str = "b";
const OTHER_ZONE: &str = "c";
/// Nodes that send sums to other zones.
const RELAYS: usize = 2;
/// Plays of each property.
const PLAYS: u64 = 300;
/// Restarts of a part of the zone in one play, at most.
const MAX_RESTARTS: usize = 10;
/// Reports of each node after which all nodes know the same: one that lists what the sender knows, one that
/// contains what a receiver lacks, one for what was learned meanwhile.
const ROUNDS_UNTIL_EQUAL: usize = 3;
/// Nodes of a large zone; back ends and routes of a large service.
const LARGE_ZONE: usize = 25;
const BACK_ENDS: usize = 160;
const ROUTES: usize = 5;
/// Nodes of it that are upgraded one after another, and reports of each node before the next one follows.
const UPGRADED: usize = 12;
const ROUNDS_WHILE_UPGRADED: usize = 2;
/// Bytes of a list entry, and at most those around a list.
const DIGEST_BYTES: usize = 8;
const LIST_BYTES: usize = 8;

fn order() -> OrderUpdate {
    let id = OrderId { service: SERVICE.into(), target: NEW_VERSION.into(), made: 7 };
    OrderUpdate {
        order: RolloutOrder { id, interval: Duration::from_secs(12) },
        revision: 9,
        age: Duration::ZERO,
        verdict: Verdict::Running,
        is_withdrawn: false,
    }
}

/// What a node sends to all its peers.
fn report_bytes(registry: &RolloutRegistry) -> Vec<u8> {
    let update =
        rollout_wire::encode_node(registry.orders(Instant::now()), Vec::new(), registry.own_evidence());
    update.expect("an order runs").encode_to_vec()
}

/// What a relay sends to other zones.
fn sum_bytes(registry: &RolloutRegistry) -> Vec<u8> {
    let update =
        rollout_wire::encode(registry.orders(Instant::now()), Vec::new(), registry.evidence_of_nodes());
    update.expect("an order runs").encode_to_vec()
}

fn receive_report(receiver: &RolloutRegistry, zone: &str, node: &str, generation: u64, bytes: &[u8]) {
    let update = RolloutUpdate::decode(bytes).expect("readable");
    learn_orders(receiver, &update);
    let evidence = rollout_wire::decode_node_evidence(&update);
    receiver.merge_node_evidence_of_zone(&zone.into(), &node.into(), generation, &evidence);
}

fn receive_sum(receiver: &RolloutRegistry, zone: &str, bytes: &[u8]) {
    let update = RolloutUpdate::decode(bytes).expect("readable");
    learn_orders(receiver, &update);
    receiver.merge_zone_evidence(&zone.into(), &rollout_wire::decode_evidence(&update));
}

fn learn_orders(receiver: &RolloutRegistry, update: &RolloutUpdate) {
    for order in rollout_wire::decode_orders(update) {
        receiver.merge_order(order, Instant::now());
    }
}

/// The bytes of a report as an earlier build sends or reads them.
fn as_earlier_build(bytes: &[u8]) -> Vec<u8> {
    let mut update = RolloutUpdate::decode(bytes).expect("readable");
    update.evidence.iter_mut().for_each(|evidence| evidence.ended = None);
    update.encode_to_vec()
}

/// Requests, exposed requests, answers and bad answers of the new version. Each request counts once in all.
fn known_counts(registry: &RolloutRegistry) -> [u64; 4] {
    let known = registry.evidence(&order().order.id);
    [known.requests, known.exposed, known.new_answers(), known.new_bad_answers()]
}

struct Node {
    name: String,
    generation: u64,
    registry: RolloutRegistry,
    is_earlier_build: bool,
}

impl Node {
    fn new(zone: &str, number: usize) -> Self {
        let name = format!("{zone}{number}");
        let registry = Self::registry(&name, 1, zone);
        registry.merge_order(order(), Instant::now());
        Self { name, generation: 1, registry, is_earlier_build: false }
    }

    /// A process that has not learned of the order yet.
    fn registry(name: &str, generation: u64, zone: &str) -> RolloutRegistry {
        RolloutRegistry::default().for_generation(&name.into(), generation).in_zone(&zone.into())
    }

    fn restart(&mut self) {
        self.generation += 1;
        self.registry = Self::registry(&self.name, self.generation, ZONE);
    }

    fn knows_order(&self) -> bool {
        !self.registry.orders(Instant::now()).is_empty()
    }

    fn serve(&self, requests: u64) {
        for number in 0..requests {
            self.serve_at(&format!("e{}", number % 3), "chat");
        }
    }

    fn serve_at(&self, back_end: &str, route: &str) {
        self.registry.note_request(&SERVICE.into());
        self.registry.note_sent(&SERVICE.into(), &NEW_VERSION.into());
        self.registry.note_answer(&SERVICE.into(), route, &back_end.into(), &NEW_VERSION.into(), true);
    }

    fn report(&self) -> Vec<u8> {
        let bytes = report_bytes(&self.registry);
        if self.is_earlier_build { as_earlier_build(&bytes) } else { bytes }
    }

    fn receive(&self, zone: &str, sender: &str, generation: u64, bytes: &[u8]) {
        let as_read = if self.is_earlier_build { as_earlier_build(bytes) } else { bytes.to_vec() };
        receive_report(&self.registry, zone, sender, generation, &as_read);
    }
}

/// A zone, and a node of another zone that receives the sums of its relays.
struct Play {
    nodes: Vec<Node>,
    receiver: Node,
    served: u64,
    random: SmallRng,
}

impl Play {
    fn new(nodes: usize, seed: u64) -> Self {
        let nodes = (1..=nodes).map(|number| Node::new(ZONE, number)).collect();
        Self { nodes, receiver: Node::new(OTHER_ZONE, 1), served: 0, random: SmallRng::seed_from_u64(seed) }
    }

    fn serve(&mut self) {
        for node in &self.nodes {
            let requests = self.random.random_range(0..20);
            // A node that does not know the order yet counts nothing.
            if node.knows_order() {
                node.serve(requests);
                self.served += requests;
            }
        }
    }

    /// Each node sends one report to all others, in any order.
    fn exchange_reports(&mut self) {
        self.exchange_some_reports(0.0);
    }

    fn exchange_some_reports(&mut self, lost_share: f64) {
        let mut senders: Vec<usize> = (0..self.nodes.len()).collect();
        senders.shuffle(&mut self.random);
        for sender in senders {
            if !self.nodes[sender].knows_order() {
                continue;
            }
            let bytes = self.nodes[sender].report();
            let mut receivers: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != sender).collect();
            receivers.shuffle(&mut self.random);
            for receiver in receivers {
                if !self.random.random_bool(lost_share) {
                    let sender = &self.nodes[sender];
                    self.nodes[receiver].receive(ZONE, &sender.name, sender.generation, &bytes);
                }
                self.check_never_too_much();
            }
        }
    }

    fn send_sums(&mut self) {
        for relay in 0..RELAYS {
            if self.nodes[relay].knows_order() {
                receive_sum(&self.receiver.registry, ZONE, &sum_bytes(&self.nodes[relay].registry));
                self.check_never_too_much();
            }
        }
    }

    /// Kills some nodes at the same time and starts them anew; at least one runs on.
    fn restart_some(&mut self) {
        let count = self.random.random_range(1..self.nodes.len());
        let mut numbers: Vec<usize> = (0..self.nodes.len()).collect();
        numbers.shuffle(&mut self.random);
        numbers.into_iter().take(count).for_each(|number| self.nodes[number].restart());
    }

    fn check_never_too_much(&self) {
        for node in self.nodes.iter().chain([&self.receiver]) {
            let known = known_counts(&node.registry);
            assert!(
                known.iter().all(|count| *count <= self.served),
                "{}: {known:?} of {}",
                node.name,
                self.served
            );
        }
    }

    /// All nodes of the zone and the receiver know what the zone served.
    fn check_complete(&self) {
        for node in self.nodes.iter().chain([&self.receiver]) {
            assert_eq!(known_counts(&node.registry), [self.served; 4], "{}", node.name);
        }
    }

    /// All nodes of the zone know the same.
    fn check_agreement(&self) {
        let known: Vec<[u64; 4]> = self.nodes.iter().map(|node| known_counts(&node.registry)).collect();
        assert!(known.iter().all(|counts| *counts == known[0]), "{known:?}");
    }

    /// Each node sends a report to all others; returns the size of the largest.
    fn exchange_without_checks(&mut self) -> usize {
        let mut largest = 0;
        for sender in 0..self.nodes.len() {
            if !self.nodes[sender].knows_order() {
                continue;
            }
            let bytes = self.nodes[sender].report();
            largest = largest.max(bytes.len());
            let sender = &self.nodes[sender];
            for receiver in self.nodes.iter().filter(|receiver| receiver.name != sender.name) {
                receiver.receive(ZONE, &sender.name, sender.generation, &bytes);
            }
        }
        largest
    }

    fn exchange_until_equal(&mut self) {
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| self.exchange_reports());
        self.send_sums();
    }
}

/// Guards against evidence that is lost as nodes of a zone restart in any order, again and again.
#[test]
fn evidence_is_complete_everywhere_while_parts_of_a_zone_restart() {
    for seed in 0..PLAYS {
        println!("seed {seed}");
        let mut play = Play::new(3 + seed as usize % 4, seed);
        for _ in 0..play.random.random_range(3..=MAX_RESTARTS) {
            play.serve();
            play.exchange_until_equal();
            play.restart_some();
        }
        play.exchange_until_equal();
        play.serve();
        play.exchange_until_equal();
        play.check_complete();
    }
}

/// Guards against evidence that is lost in an upgrade in which each node begins after the one before it has
/// been heard, three times over.
#[test]
fn evidence_is_complete_after_upgrades_one_node_after_another() {
    let mut play = Play::new(6, 1);
    for upgrade in 0..18 {
        play.serve();
        play.exchange_reports();
        play.send_sums();
        play.nodes[upgrade % 6].restart();
        play.exchange_reports();
    }
    play.exchange_until_equal();
    play.check_complete();
}

/// Guards against nodes that know different evidence for good, or too much, after lost reports and restarts
/// of nodes whose last counts nobody was told.
#[test]
fn nodes_agree_although_reports_are_lost() {
    for seed in 0..PLAYS {
        println!("seed {seed}");
        let mut play = Play::new(3 + seed as usize % 4, seed);
        for _ in 0..MAX_RESTARTS {
            play.serve();
            play.exchange_some_reports(0.4);
            play.send_sums();
            play.restart_some();
            play.exchange_some_reports(0.4);
        }
        play.exchange_until_equal();
        play.exchange_until_equal();
        play.check_agreement();
    }
}

/// Guards against counts taken twice, or lost, beside nodes and relays of an earlier build.
#[test]
fn counts_are_taken_once_beside_an_earlier_build() {
    for seed in 0..PLAYS {
        println!("seed {seed}");
        let mut play = Play::new(4, seed);
        let earlier = play.random.random_range(0..4);
        play.nodes[earlier].is_earlier_build = true;
        for _ in 0..MAX_RESTARTS {
            play.serve();
            play.exchange_until_equal();
            // The node of the earlier build is replaced, and may be rolled back.
            play.nodes[earlier].is_earlier_build = play.random.random();
            play.restart_some();
        }
        play.nodes[earlier].is_earlier_build = false;
        play.exchange_until_equal();
        play.exchange_until_equal();
        play.check_never_too_much();
        play.check_agreement();
    }
}

/// Guards against evidence that is told once, to a node that does not know the order yet, and then never
/// again.
#[test]
fn a_node_that_learns_the_order_late_learns_its_evidence() {
    let mut play = Play::new(3, 1);
    play.serve();
    play.exchange_until_equal();
    play.nodes[0].restart();
    let name = play.nodes[0].name.clone();
    let generation = play.nodes[0].generation;
    let without_order = RolloutUpdate::default().encode_to_vec();
    for number in [1, 2] {
        play.nodes[number].receive(ZONE, &name, generation, &without_order);
        let bytes = play.nodes[number].report();
        let evidence = rollout_wire::decode_node_evidence(&RolloutUpdate::decode(bytes.as_slice()).unwrap());
        let teller = &play.nodes[number];
        play.nodes[0].registry.merge_node_evidence(&teller.name.as_str().into(), 1, &evidence);
    }
    play.exchange_until_equal();
    assert_eq!(known_counts(&play.nodes[0].registry), [play.served; 4]);
}

/// Guards against counts lost when the last report of an ended process arrives after the first one of its
/// successor, and against counting its successor as ended.
#[test]
fn late_reports_of_an_ended_process_count_at_all_nodes() {
    let mut play = Play::new(4, 1);
    play.serve();
    play.exchange_until_equal();
    play.nodes[0].serve(5);
    play.served += 5;
    let (late, name) = (play.nodes[0].report(), play.nodes[0].name.clone());
    play.nodes[0].restart();
    play.exchange_until_equal();
    play.nodes[0].serve(3);
    play.served += 3;
    play.exchange_reports();
    play.nodes[1].receive(ZONE, &name, 1, &late);
    play.check_never_too_much();
    play.exchange_until_equal();
    play.check_complete();
}

/// Guards against evidence of a node that died for good, which is lost as the others restart.
#[test]
fn evidence_of_a_node_that_is_gone_outlives_those_that_heard_it() {
    let mut play = Play::new(4, 1);
    play.serve();
    play.exchange_until_equal();
    let gone = play.nodes.remove(0);
    for restarted in [0, 1, 2, 0] {
        let survivors = play.nodes.iter();
        survivors.for_each(|node| node.registry.note_ended([&gone.name.as_str().into()].into_iter()));
        play.serve();
        play.exchange_until_equal();
        play.nodes[restarted].restart();
        play.exchange_until_equal();
    }
    play.check_complete();
}

/// Guards against counts that are lost, taken twice or told with every report after a node that stood still
/// was taken for dead and goes on.
#[test]
fn a_node_that_was_taken_for_dead_counts_on() {
    let mut play = Play::new(4, 1);
    play.serve();
    play.exchange_until_equal();
    let frozen = play.nodes[2].name.as_str().into();
    [0, 1].iter().for_each(|number| play.nodes[*number].registry.note_ended([&frozen].into_iter()));
    play.nodes[3].restart();
    play.exchange_until_equal();
    for _ in 0..3 {
        play.serve();
        play.exchange_until_equal();
    }
    for node in play.nodes.iter().chain([&play.receiver]) {
        assert_eq!(known_counts(&node.registry), [play.served; 4], "{}", node.name);
        let report = node.registry.own_evidence().remove(0).1;
        assert!(report.ended.is_some_and(|ended| ended.told.is_empty()), "{}", node.name);
    }
}

/// Guards against ended generations in the sum of another zone: in a small deployment nodes of all zones report
/// directly, and once it has grown each zone's sum includes only its own.
#[test]
fn ended_generations_count_once_while_a_deployment_grows_and_shrinks() {
    for seed in 0..PLAYS {
        println!("seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let zones = ["a", "b", "c"];
        let mut nodes: Vec<(&str, Node)> = zones
            .iter()
            .flat_map(|zone| (1..=2).map(move |number| (*zone, Node::new(zone, number))))
            .collect();
        let mut served: BTreeMap<&str, u64> = BTreeMap::new();
        let mut is_large = false;
        for _ in 0..MAX_RESTARTS {
            is_large ^= random.random_bool(0.4);
            for (zone, node) in nodes.iter().filter(|(_, node)| node.knows_order()) {
                let requests = random.random_range(0..20);
                node.serve(requests);
                *served.entry(zone).or_default() += requests;
            }
            let total: u64 = served.values().sum();
            for _ in 0..ROUNDS_UNTIL_EQUAL {
                exchange(&nodes, is_large);
                for (_, node) in &nodes {
                    let known = known_counts(&node.registry);
                    assert!(known.iter().all(|count| *count <= total), "{}: {known:?} of {total}", node.name);
                }
            }
            let restarted = random.random_range(0..nodes.len());
            let (zone, node) = &mut nodes[restarted];
            node.generation += 1;
            node.registry = Node::registry(&node.name, node.generation, zone);
        }
        // Each zone's sum has only its own zone's counts.
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| exchange(&nodes, true));
        for (zone, node) in &nodes {
            let sum = node.registry.evidence_of_nodes()[0].1.requests;
            assert!(sum <= served[zone], "{}: {sum} of {}", node.name, served[zone]);
        }
    }
}

/// One report and one sum of each node, as a large deployment sends them or a small one.
fn exchange(nodes: &[(&str, Node)], is_large: bool) {
    if is_large {
        for (zone, node) in nodes {
            let others = nodes.iter().filter(|(other, _)| other != zone);
            others.for_each(|(_, other)| node.registry.remove_node_evidence(&other.name.as_str().into()));
        }
    }
    for (zone, sender) in nodes.iter().filter(|(_, node)| node.knows_order()) {
        let bytes = sender.report();
        for (other_zone, receiver) in nodes.iter().filter(|(_, receiver)| receiver.name != sender.name) {
            if !is_large || zone == other_zone {
                receiver.receive(zone, &sender.name, sender.generation, &bytes);
            }
        }
    }
    for (zone, relay) in nodes.iter().filter(|(_, node)| is_large && node.knows_order()) {
        let sum = sum_bytes(&relay.registry);
        let others = nodes.iter().filter(|(other, _)| other != zone);
        others.for_each(|(_, receiver)| receive_sum(&receiver.registry, zone, &sum));
    }
}

/// Guards against a restarted node that lacks its own earlier counts because it is alone in its zone.
#[test]
fn a_restarted_node_of_a_small_deployment_learns_all_ended_generations() {
    let mut nodes: Vec<(&str, Node)> =
        ["a", "b", "c"].iter().map(|zone| (*zone, Node::new(zone, 1))).collect();
    for restarted in [0, 1, 2, 0] {
        nodes.iter().for_each(|(_, node)| node.serve(10));
        exchange(&nodes, false);
        let (zone, node) = &mut nodes[restarted];
        node.generation += 1;
        node.registry = Node::registry(&node.name, node.generation, zone);
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| exchange(&nodes, false));
    }
    let known: Vec<[u64; 4]> = nodes.iter().map(|(_, node)| known_counts(&node.registry)).collect();
    assert_eq!(known, vec![[120; 4]; 3]);
}

/// Guards against counts taken twice by a process that is told its own present generation as an ended one.
#[test]
fn what_a_node_hears_of_its_own_present_generation_counts_once() {
    let play = Play::new(2, 1);
    play.nodes[0].serve(10);
    play.nodes[1].receive(ZONE, "b1", 1, &play.nodes[0].report());
    // Another process with the name of the first one: its generation counts as ended, although it runs on.
    play.nodes[1].receive(ZONE, "b1", 2, &report_bytes(&Node::new(ZONE, 1).registry));
    play.nodes[1].receive(ZONE, "b1", 1, &play.nodes[0].report());
    play.nodes[0].receive(ZONE, "b2", 1, &play.nodes[1].report());
    play.nodes[0].serve(5);
    for _ in 0..2 {
        play.nodes[1].receive(ZONE, "b1", 1, &play.nodes[0].report());
        play.nodes[0].receive(ZONE, "b2", 1, &play.nodes[1].report());
    }
    assert_eq!(known_counts(&play.nodes[0].registry), [15; 4]);
    assert_eq!(known_counts(&play.nodes[1].registry), [15; 4]);
}

/// Bytes of the largest report of a node, as it would be sent now.
fn largest_report(play: &Play) -> usize {
    play.nodes.iter().map(|node| report_bytes(&node.registry).len()).max().expect("nodes")
}

fn serve_at_all_back_ends(play: &Play) {
    for node in &play.nodes {
        for number in 0..BACK_ENDS * ROUTES {
            node.serve_at(&format!("i-{:010}", number / ROUTES), &format!("route/{}", number % ROUTES));
        }
    }
}

/// Guards against reports that contain the whole past of a zone for ever. In calm each ended generation takes
/// eight bytes; while some node lacks something, a report contains at most as much of it as of the sender.
#[test]
fn reports_stay_small_while_a_large_zone_is_upgraded() {
    let mut play = Play::new(LARGE_ZONE, 1);
    serve_at_all_back_ends(&play);
    play.exchange_without_checks();
    let before = largest_report(&play);
    let mut largest = before;
    for upgraded in 0..UPGRADED {
        play.nodes[upgraded].restart();
        for _ in 0..ROUNDS_WHILE_UPGRADED {
            largest = largest.max(play.exchange_without_checks());
        }
    }
    play.exchange_without_checks();
    let calm = largest_report(&play);
    let full = (BACK_ENDS * ROUTES * LARGE_ZONE) as u64;
    for node in &play.nodes {
        assert_eq!(known_counts(&node.registry), [full; 4], "{}", node.name);
    }
    println!("{before} bytes before, {largest} at most during the upgrade, {calm} after it");
    let list = LIST_BYTES + DIGEST_BYTES * UPGRADED;
    assert!(calm <= before + list, "{calm} after the upgrade, {before} before");
    assert!(largest <= 2 * before + list, "{largest} during the upgrade, {before} before");
}

/// Guards against memory that grows with each restart: an order's evidence goes when another order replaces
/// it, and nothing of it is reported any more.
#[test]
fn evidence_of_an_order_ends_with_it() {
    let mut play = Play::new(3, 1);
    for _ in 0..40 {
        play.serve();
        play.exchange_until_equal();
        play.restart_some();
        play.exchange_until_equal();
    }
    let newer = OrderUpdate {
        order: RolloutOrder {
            id: OrderId { service: SERVICE.into(), target: "v3".into(), made: 20 },
            interval: Duration::from_secs(12),
        },
        revision: 20,
        ..order()
    };
    for node in &play.nodes {
        assert!(node.registry.merge_order(newer.clone(), Instant::now()));
    }
    play.exchange_reports();
    for node in &play.nodes {
        let reported = node.registry.own_evidence();
        assert!(
            reported
                .iter()
                .all(|(_, report)| report.ended.as_ref().is_some_and(|ended| ended.known.is_empty()))
        );
        assert_eq!(node.registry.evidence(&newer.order.id).requests, 0, "{}", node.name);
    }
}
