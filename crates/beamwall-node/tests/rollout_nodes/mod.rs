//! Nodes that exchange evidence of a rollout in the bytes that gateways send.

use std::time::Duration;

use beamwall_node::gateway::rollout_wire;
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_rollout::{OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Verdict};
use prost::Message;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

pub const SERVICE: &str = "pool";
pub const NEW_VERSION: &str = "v2";
pub const ZONE: &str = "b";
pub const OTHER_ZONE: &str = "c";
/// Nodes that send sums to other zones.
pub const RELAYS: usize = 2;
/// Reports of each node after which all nodes know the same: one that lists what the sender knows, one that
/// contains what a receiver lacks, one for what was learned meanwhile.
pub const ROUNDS_UNTIL_EQUAL: usize = 3;
/// Back ends of a large service, and its routes.
pub const BACK_ENDS: usize = 160;
pub const ROUTES: usize = 5;

pub fn order() -> OrderUpdate {
    let id = OrderId { service: SERVICE.into(), target: NEW_VERSION.into(), made: 7 };
    OrderUpdate {
        order: RolloutOrder { id, interval: Duration::from_secs(12) },
        revision: 9.into(),
        age: Duration::ZERO,
        verdict: Verdict::Running,
        is_withdrawn: false,
    }
}

/// What a node sends to all its peers.
pub fn report_bytes(registry: &RolloutRegistry) -> Vec<u8> {
    let update =
        rollout_wire::encode_node(registry.orders(Instant::now()), Vec::new(), registry.own_evidence());
    update.expect("an order runs").encode_to_vec()
}

/// What a relay sends to other zones.
pub fn sum_bytes(registry: &RolloutRegistry) -> Vec<u8> {
    let update =
        rollout_wire::encode(registry.orders(Instant::now()), Vec::new(), registry.evidence_of_nodes());
    update.expect("an order runs").encode_to_vec()
}

pub fn receive_report(receiver: &RolloutRegistry, zone: &str, node: &str, generation: u64, bytes: &[u8]) {
    let update = RolloutUpdate::decode(bytes).expect("readable");
    learn_orders(receiver, &update);
    let evidence = rollout_wire::decode_node_evidence(&update);
    receiver.merge_node_evidence_of_zone(&zone.into(), &node.into(), generation, &evidence);
}

pub fn receive_sum(receiver: &RolloutRegistry, zone: &str, bytes: &[u8]) {
    let update = RolloutUpdate::decode(bytes).expect("readable");
    learn_orders(receiver, &update);
    receiver.merge_zone_evidence(&zone.into(), &rollout_wire::decode_evidence(&update));
}

pub fn learn_orders(receiver: &RolloutRegistry, update: &RolloutUpdate) {
    for order in rollout_wire::decode_orders(update) {
        receiver.merge_order(order, Instant::now());
    }
}

/// The bytes of a report as an earlier build sends or reads them.
pub fn as_earlier_build(bytes: &[u8]) -> Vec<u8> {
    let mut update = RolloutUpdate::decode(bytes).expect("readable");
    update.evidence.iter_mut().for_each(|evidence| evidence.ended = None);
    update.encode_to_vec()
}

/// Requests, exposed requests, answers and bad answers of the new version. Each request counts once in all.
pub fn known_counts(registry: &RolloutRegistry) -> [u64; 4] {
    let known = registry.evidence(&order().order.id);
    [known.requests, known.exposed, known.new_answers(), known.new_bad_answers()]
}

pub struct Node {
    pub zone: &'static str,
    pub name: String,
    pub generation: u64,
    pub registry: RolloutRegistry,
    pub is_earlier_build: bool,
}

impl Node {
    pub fn new(zone: &'static str, number: usize) -> Self {
        let name = format!("{zone}{number}");
        let registry = Self::registry(&name, 1, zone);
        registry.merge_order(order(), Instant::now());
        Self { zone, name, generation: 1, registry, is_earlier_build: false }
    }

    /// A process that has not learned of the order yet.
    pub fn registry(name: &str, generation: u64, zone: &str) -> RolloutRegistry {
        RolloutRegistry::default().for_generation(&name.into(), generation).in_zone(&zone.into())
    }

    pub fn restart(&mut self) {
        self.generation += 1;
        self.registry = Self::registry(&self.name, self.generation, self.zone);
    }

    pub fn knows_order(&self) -> bool {
        !self.registry.orders(Instant::now()).is_empty()
    }

    pub fn serve(&self, requests: u64) {
        for number in 0..requests {
            self.serve_at(&format!("e{}", number % 3), "chat");
        }
    }

    pub fn serve_at(&self, back_end: &str, route: &str) {
        self.registry.note_request(&SERVICE.into());
        self.registry.note_sent(&SERVICE.into(), &NEW_VERSION.into());
        self.registry.note_answer(&SERVICE.into(), route, &back_end.into(), &NEW_VERSION.into(), true);
    }

    pub fn report(&self) -> Vec<u8> {
        let bytes = report_bytes(&self.registry);
        if self.is_earlier_build { as_earlier_build(&bytes) } else { bytes }
    }

    pub fn receive_from(&self, sender: &Self, bytes: &[u8]) {
        self.receive(&sender.name, sender.generation, sender.zone, bytes);
    }

    pub fn receive(&self, sender: &str, generation: u64, zone: &str, bytes: &[u8]) {
        let as_read = if self.is_earlier_build { as_earlier_build(bytes) } else { bytes.to_vec() };
        receive_report(&self.registry, zone, sender, generation, &as_read);
    }
}

/// No node knows more than what was served.
pub fn check_at_most<'a>(nodes: impl IntoIterator<Item = &'a Node>, served: u64) {
    for node in nodes {
        let known = known_counts(&node.registry);
        assert!(known.iter().all(|count| *count <= served), "{}: {known:?} of {served}", node.name);
    }
}

/// A zone, and a node of another zone that receives the sums of its relays.
pub struct Play {
    pub nodes: Vec<Node>,
    pub receiver: Node,
    pub served: u64,
    pub random: SmallRng,
}

impl Play {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let nodes = (1..=nodes).map(|number| Node::new(ZONE, number)).collect();
        Self { nodes, receiver: Node::new(OTHER_ZONE, 1), served: 0, random: SmallRng::seed_from_u64(seed) }
    }

    pub fn serve(&mut self) {
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
    pub fn exchange_reports(&mut self) {
        self.exchange_some_reports(0.0);
    }

    pub fn exchange_some_reports(&mut self, lost_share: f64) {
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
                    self.nodes[receiver].receive_from(&self.nodes[sender], &bytes);
                }
                self.check_never_too_much();
            }
        }
    }

    pub fn send_sums(&mut self) {
        for relay in 0..RELAYS {
            if self.nodes[relay].knows_order() {
                receive_sum(&self.receiver.registry, ZONE, &sum_bytes(&self.nodes[relay].registry));
                self.check_never_too_much();
            }
        }
    }

    /// Kills some nodes at the same time and starts them anew; at least one runs on.
    pub fn restart_some(&mut self) {
        let count = self.random.random_range(1..self.nodes.len());
        let mut numbers: Vec<usize> = (0..self.nodes.len()).collect();
        numbers.shuffle(&mut self.random);
        numbers.into_iter().take(count).for_each(|number| self.nodes[number].restart());
    }

    pub fn check_never_too_much(&self) {
        check_at_most(self.nodes.iter().chain([&self.receiver]), self.served);
    }

    /// All nodes of the zone and the receiver know what the zone served.
    pub fn check_complete(&self) {
        for node in self.nodes.iter().chain([&self.receiver]) {
            assert_eq!(known_counts(&node.registry), [self.served; 4], "{}", node.name);
        }
    }

    /// All nodes of the zone know the same.
    pub fn check_agreement(&self) {
        let known: Vec<[u64; 4]> = self.nodes.iter().map(|node| known_counts(&node.registry)).collect();
        assert!(known.iter().all(|counts| *counts == known[0]), "{known:?}");
    }

    /// Each node sends a report to all others; returns the size of the largest.
    pub fn exchange_without_checks(&mut self) -> usize {
        let mut largest = 0;
        for sender in 0..self.nodes.len() {
            if !self.nodes[sender].knows_order() {
                continue;
            }
            let bytes = self.nodes[sender].report();
            largest = largest.max(bytes.len());
            let sender = &self.nodes[sender];
            for receiver in self.nodes.iter().filter(|receiver| receiver.name != sender.name) {
                receiver.receive_from(sender, &bytes);
            }
        }
        largest
    }

    pub fn exchange_until_equal(&mut self) {
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| self.exchange_reports());
        self.send_sums();
    }
}

pub fn nodes_of_three_zones(nodes_of_zone: usize) -> Vec<Node> {
    let nodes = |zone| (1..=nodes_of_zone).map(move |number| Node::new(zone, number));
    ["a", "b", "c"].into_iter().flat_map(nodes).collect()
}

/// One report and one sum of each node, as a large deployment sends them or a small one.
pub fn exchange(nodes: &[Node], is_large: bool) {
    let others = |zone| nodes.iter().filter(move |other| other.zone != zone);
    for node in nodes.iter().filter(|_| is_large) {
        others(node.zone).for_each(|other| node.registry.remove_node_evidence(&other.name.as_str().into()));
    }
    for sender in nodes.iter().filter(|node| node.knows_order()) {
        let bytes = sender.report();
        for receiver in nodes.iter().filter(|receiver| receiver.name != sender.name) {
            if !is_large || receiver.zone == sender.zone {
                receiver.receive_from(sender, &bytes);
            }
        }
    }
    for relay in nodes.iter().filter(|node| is_large && node.knows_order()) {
        let sum = sum_bytes(&relay.registry);
        others(relay.zone).for_each(|receiver| receive_sum(&receiver.registry, relay.zone, &sum));
    }
}

/// Bytes of the largest report of a node, as it would be sent now.
pub fn largest_report(play: &Play) -> usize {
    play.nodes.iter().map(|node| report_bytes(&node.registry).len()).max().expect("nodes")
}

pub fn serve_at_all_back_ends(play: &Play) {
    for node in &play.nodes {
        for number in 0..BACK_ENDS * ROUTES {
            node.serve_at(&format!("i-{:010}", number / ROUTES), &format!("route/{}", number % ROUTES));
        }
    }
}
