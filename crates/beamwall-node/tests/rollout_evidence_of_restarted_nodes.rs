//! Evidence of rollouts while nodes of a zone restart, through the bytes that gateways send: reports between
//! the nodes of a zone, and sums of its relays to another zone.

mod rollout_nodes;

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_node::gateway::rollout_wire;
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_rollout::{OrderId, OrderUpdate, RolloutOrder};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rollout_nodes::{
    BACK_ENDS, Node, Play, ROUNDS_UNTIL_EQUAL, ROUTES, SERVICE, ZONE, check_at_most, exchange, known_counts,
    largest_report, nodes_of_three_zones, order, report_bytes, serve_at_all_back_ends,
};
use tokio::time::Instant;

/// Plays of each property.
const PLAYS: u64 = 300;
/// Restarts of a part of the zone in one play, at most.
const MAX_RESTARTS: usize = 10;
/// Nodes of a large zone.
const LARGE_ZONE: usize = 25;
/// Nodes of it that are upgraded one after another, and reports of each node before the next one follows.
const UPGRADED: usize = 12;
const ROUNDS_WHILE_UPGRADED: usize = 2;
/// Bytes of a list entry, and at most those around a list.
const DIGEST_BYTES: usize = 8;
const LIST_BYTES: usize = 8;

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
        play.nodes[number].receive(&name, generation, ZONE, &without_order);
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
    play.nodes[1].receive(&name, 1, ZONE, &late);
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
    play.check_complete();
    for node in play.nodes.iter().chain([&play.receiver]) {
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
        let mut nodes = nodes_of_three_zones(2);
        let mut served: BTreeMap<&str, u64> = BTreeMap::new();
        let mut is_large = false;
        for _ in 0..MAX_RESTARTS {
            is_large ^= random.random_bool(0.4);
            for node in nodes.iter().filter(|node| node.knows_order()) {
                let requests = random.random_range(0..20);
                node.serve(requests);
                *served.entry(node.zone).or_default() += requests;
            }
            let total: u64 = served.values().sum();
            for _ in 0..ROUNDS_UNTIL_EQUAL {
                exchange(&nodes, is_large);
                check_at_most(&nodes, total);
            }
            let restarted = random.random_range(0..nodes.len());
            nodes[restarted].restart();
        }
        // Each zone's sum has only its own zone's counts.
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| exchange(&nodes, true));
        for node in &nodes {
            let (sum, served) = (node.registry.evidence_of_nodes()[0].1.requests, served[node.zone]);
            assert!(sum <= served, "{}: {sum} of {served}", node.name);
        }
    }
}

/// Guards against a restarted node that lacks its own earlier counts because it is alone in its zone.
#[test]
fn a_restarted_node_of_a_small_deployment_learns_all_ended_generations() {
    let mut nodes = nodes_of_three_zones(1);
    for restarted in [0, 1, 2, 0] {
        nodes.iter().for_each(|node| node.serve(10));
        exchange(&nodes, false);
        nodes[restarted].restart();
        (0..ROUNDS_UNTIL_EQUAL).for_each(|_| exchange(&nodes, false));
    }
    let known: Vec<[u64; 4]> = nodes.iter().map(|node| known_counts(&node.registry)).collect();
    assert_eq!(known, vec![[120; 4]; 3]);
}

/// Guards against counts taken twice by a process that is told its own present generation as an ended one.
#[test]
fn what_a_node_hears_of_its_own_present_generation_counts_once() {
    let play = Play::new(2, 1);
    play.nodes[0].serve(10);
    play.nodes[1].receive("b1", 1, ZONE, &play.nodes[0].report());
    // Another process with the name of the first one: its generation counts as ended, although it runs on.
    play.nodes[1].receive("b1", 2, ZONE, &report_bytes(&Node::new(ZONE, 1).registry));
    play.nodes[1].receive("b1", 1, ZONE, &play.nodes[0].report());
    play.nodes[0].receive("b2", 1, ZONE, &play.nodes[1].report());
    play.nodes[0].serve(5);
    for _ in 0..2 {
        play.nodes[1].receive("b1", 1, ZONE, &play.nodes[0].report());
        play.nodes[0].receive("b2", 1, ZONE, &play.nodes[1].report());
    }
    assert_eq!(known_counts(&play.nodes[0].registry), [15; 4]);
    assert_eq!(known_counts(&play.nodes[1].registry), [15; 4]);
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
        revision: 20.into(),
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
