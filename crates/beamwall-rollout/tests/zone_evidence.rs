//! Tests of the evidence of other zones: zone sums restart at zero when nodes of a zone restart, arrive
//! repeatedly and from several relays, and replace or are replaced by the reports of single nodes.

use std::time::Duration;

use beamwall_rollout::history::History;
use beamwall_rollout::{Evidence, OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Verdict};
use tokio::time::Instant;

const SERVICE: &str = "pool";
const NEW_VERSION: &str = "v2";
const ROUTE: &str = "chat";
/// More starts of a zone than sums that a node keeps apart.
const MANY_STARTS: u64 = 40;

fn order_id() -> OrderId {
    OrderId { service: SERVICE.into(), target: NEW_VERSION.into(), made: 7 }
}

fn registry_with_order() -> RolloutRegistry {
    with_order(RolloutRegistry::default())
}

fn registry_of_node(name: &str, generation: u64) -> RolloutRegistry {
    with_order(RolloutRegistry::default().for_generation(&name.into(), generation))
}

fn with_order(registry: RolloutRegistry) -> RolloutRegistry {
    let order_update = OrderUpdate {
        order: RolloutOrder { id: order_id(), interval: Duration::from_secs(12) },
        revision: 10.into(),
        age: Duration::ZERO,
        verdict: Verdict::Running,
        is_withdrawn: false,
    };
    registry.merge_order(order_update, Instant::now());
    registry
}

/// One node of a zone, with the generation of its present process.
struct Node {
    name: &'static str,
    generation: u64,
    registry: RolloutRegistry,
}

impl Node {
    fn serve(&self, requests: u64) {
        for _ in 0..requests {
            self.registry.note_request(&SERVICE.into());
            self.registry.note_sent(&SERVICE.into(), &NEW_VERSION.into());
            self.registry.note_answer(&SERVICE.into(), ROUTE, &"e1".into(), &NEW_VERSION.into(), true);
        }
    }
}

/// The nodes of a zone, which report to each other.
struct Zone {
    nodes: Vec<Node>,
}

impl Zone {
    fn new(names: &[&'static str]) -> Self {
        let node = |name: &&'static str| Node { name, generation: 1, registry: registry_of_node(name, 1) };
        Self { nodes: names.iter().map(node).collect() }
    }

    fn serve(&self, requests_of_each: u64) {
        self.nodes.iter().for_each(|node| node.serve(requests_of_each));
    }

    fn exchange_heartbeats(&self) {
        for sender in &self.nodes {
            let reported = sender.registry.own_evidence();
            for receiver in self.nodes.iter().filter(|receiver| receiver.name != sender.name) {
                receiver.registry.merge_node_evidence(&sender.name.into(), sender.generation, &reported);
            }
        }
    }

    /// Kills the named nodes at the same time and starts them anew.
    fn restart(&mut self, names: &[&str]) {
        for node in self.nodes.iter_mut().filter(|node| names.contains(&node.name)) {
            node.generation += 1;
            node.registry = registry_of_node(node.name, node.generation);
        }
    }

    fn summary_of(&self, relay: &str) -> Vec<(OrderId, Evidence)> {
        let relay = self.nodes.iter().find(|node| node.name == relay).expect("a node of the zone");
        relay.registry.evidence_of_nodes()
    }
}

fn receive(receiver: &RolloutRegistry, summaries: &[Vec<(OrderId, Evidence)>]) {
    summaries.iter().for_each(|summary| receiver.merge_zone_evidence(&"b".into(), summary));
}

/// Requests, exposed requests, answers and bad answers of the new version, as known to a node. Each request
/// of these tests counts once in all four.
fn known_counts(receiver: &RolloutRegistry) -> [u64; 4] {
    let known = receiver.evidence(&order_id());
    [known.requests, known.exposed, known.new_answers(), known.new_bad_answers()]
}

/// Guards against evidence that stays hidden behind the larger sum from before all nodes of a zone were killed.
#[test]
fn evidence_of_a_zone_that_restarts_is_added_to_its_earlier_evidence() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    zone.serve(50);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    assert_eq!(known_counts(&receiver), [100; 4], "before the kill");
    zone.restart(&["b1", "b2"]);
    zone.serve(50);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2"), zone.summary_of("b1")]);
    assert_eq!(known_counts(&receiver), [200; 4], "100 before and 100 after the kill");
}

/// Guards against evidence of the second and third start of a zone that is lost when it restarts twice.
#[test]
fn evidence_of_a_zone_that_restarts_twice_is_added_each_time() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    for _ in 0..3 {
        zone.serve(50);
        zone.exchange_heartbeats();
        receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
        zone.restart(&["b1", "b2"]);
    }
    assert_eq!(known_counts(&receiver), [300; 4], "100 of each of three starts");
}

/// Guards against lost evidence when the half of a zone that includes both relays restarts.
#[test]
fn evidence_is_complete_after_the_half_of_a_zone_with_both_relays_restarts() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2", "b3", "b4"]), registry_with_order());
    zone.serve(25);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    zone.restart(&["b1", "b2"]);
    zone.serve(25);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    assert_eq!(known_counts(&receiver), [200; 4], "100 before and 100 after the restart");
}

/// Guards against lost evidence when the nodes of a zone restart one after another, as in an upgrade.
#[test]
fn evidence_is_complete_after_the_nodes_of_a_zone_restart_one_after_another() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2", "b3", "b4"]), registry_with_order());
    for restarted in ["b3", "b4", "b1", "b2"] {
        zone.serve(10);
        zone.exchange_heartbeats();
        receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
        zone.restart(&[restarted]);
        zone.exchange_heartbeats();
        receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    }
    zone.serve(10);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    assert_eq!(known_counts(&receiver), [200; 4], "five times ten requests at each of four nodes");
}

/// Guards against evidence of a single restarted node that is lost or counted twice.
#[test]
fn evidence_is_complete_after_one_node_that_is_no_relay_restarts() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2", "b3"]), registry_with_order());
    zone.serve(10);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    zone.restart(&["b3"]);
    zone.serve(10);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2"), zone.summary_of("b1")]);
    assert_eq!(known_counts(&receiver), [60; 4], "two times ten requests at each of three nodes");
}

/// Guards against double counting of a relay that has just started and knows fewer nodes of its zone.
#[test]
fn a_relay_that_knows_fewer_nodes_adds_nothing() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2", "b3"]), registry_with_order());
    zone.serve(10);
    zone.exchange_heartbeats();
    let before = zone.summary_of("b1");
    zone.restart(&["b2"]);
    let knows_no_other_node = zone.summary_of("b2");
    zone.exchange_heartbeats();
    let knows_live_generations = zone.summary_of("b2");
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let receiver_of_order = registry_with_order();
        let summaries = [&before, &knows_no_other_node, &knows_live_generations];
        let in_order: Vec<_> = order.iter().map(|index| summaries[*index].clone()).collect();
        receive(&receiver_of_order, &in_order);
        assert_eq!(known_counts(&receiver_of_order), [30; 4], "order {order:?}");
    }
    receive(&receiver, &[before.clone(), knows_live_generations, before]);
    assert_eq!(known_counts(&receiver), [30; 4], "repeated");
}

/// Guards against double counting of summaries from before a zone's restart that arrive after those of it.
#[test]
fn summaries_that_arrive_late_and_repeatedly_are_counted_once() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    zone.serve(50);
    zone.exchange_heartbeats();
    let before = zone.summary_of("b1");
    zone.restart(&["b1", "b2"]);
    zone.serve(30);
    zone.exchange_heartbeats();
    let after = zone.summary_of("b2");
    receive(&receiver, &[after.clone(), before.clone(), after, before]);
    assert_eq!(known_counts(&receiver), [160; 4], "100 before and 60 after the restart");
}

/// Guards against double counting of nodes that report directly again after a deployment became small.
#[test]
fn nodes_that_report_directly_after_their_zone_did_are_counted_once() {
    let (zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    zone.serve(50);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1")]);
    for node in &zone.nodes {
        receiver.merge_node_evidence(&node.name.into(), node.generation, &node.registry.own_evidence());
    }
    assert_eq!(known_counts(&receiver), [100; 4], "summaries of the zone do not arrive any more");
}

/// Guards against lost evidence of earlier generations at a node that restarts and may become the lease holder.
#[test]
fn a_restarted_node_learns_evidence_of_earlier_generations_of_its_zone() {
    let mut zone = Zone::new(&["b1", "b2", "b3"]);
    zone.serve(10);
    zone.exchange_heartbeats();
    zone.restart(&["b1"]);
    zone.exchange_heartbeats();
    let of = |name: &str| known_counts(&zone.nodes.iter().find(|node| node.name == name).unwrap().registry);
    assert_eq!(of("b2"), [30; 4], "a node that ran on");
    assert_eq!(of("b1"), [30; 4], "the restarted node, whose earlier generation counted ten");
}

/// Guards against answers evaluated twice when nodes stop reporting directly and their zone's sum comes later.
#[test]
fn answers_of_nodes_that_report_through_their_zone_later_are_evaluated_once() {
    let (zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    zone.serve(50);
    zone.exchange_heartbeats();
    for node in &zone.nodes {
        receiver.merge_node_evidence(&node.name.into(), node.generation, &node.registry.own_evidence());
    }
    let mut history = History::default();
    history.update_counts(&receiver.evidence(&order_id()).new);
    zone.nodes.iter().for_each(|node| receiver.remove_node_evidence(&node.name.into()));
    history.update_counts(&receiver.evidence(&order_id()).new);
    receive(&receiver, &[zone.summary_of("b1")]);
    assert_eq!(known_counts(&receiver), [100; 4], "known once more");
    history.update_counts(&receiver.evidence(&order_id()).new);
    assert_eq!(history.answers(None), 100.0, "evaluated answers");
}

/// Guards against lost or repeated evidence when a zone restarts more often than sums are kept apart.
#[test]
fn evidence_of_a_zone_that_restarts_often_is_counted_once() {
    let (mut zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    let mut summaries = Vec::new();
    for _ in 0..MANY_STARTS {
        zone.serve(5);
        zone.exchange_heartbeats();
        summaries.push(zone.summary_of("b1"));
        receive(&receiver, &summaries);
        zone.restart(&["b1", "b2"]);
    }
    assert_eq!(known_counts(&receiver), [10 * MANY_STARTS; 4], "ten of each start");
}

/// Guards against sums kept apart although a later sum includes both: what both relays know is counted once.
#[test]
fn sums_of_two_parts_of_a_zone_are_replaced_by_a_sum_of_both() {
    let (zone, receiver) = (Zone::new(&["b1", "b2"]), registry_with_order());
    zone.serve(20);
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    assert_eq!(known_counts(&receiver), [40; 4], "relays that do not know each other");
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1"), zone.summary_of("b2")]);
    assert_eq!(known_counts(&receiver), [40; 4], "relays that know each other");
    zone.serve(10);
    zone.exchange_heartbeats();
    receive(&receiver, &[zone.summary_of("b1")]);
    assert_eq!(known_counts(&receiver), [60; 4], "counted on");
}

/// Guards against a node whose counts its own zone's sums include and that another zone reports, too.
#[test]
fn nodes_that_reported_directly_before_are_not_part_of_this_zones_sums() {
    let (zone, receiver) = (Zone::new(&["b1", "b2"]), registry_of_node("a1", 1));
    zone.serve(50);
    for node in &zone.nodes {
        receiver.merge_node_evidence(&node.name.into(), node.generation, &node.registry.own_evidence());
        receiver.remove_node_evidence(&node.name.into());
    }
    assert_eq!(receiver.evidence_of_nodes()[0].1.requests, 0, "sum of this zone");
    assert_eq!(known_counts(&receiver), [100; 4], "known until their zone's sums arrive");
}
