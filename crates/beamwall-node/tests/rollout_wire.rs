//! What gateways tell each other of rollouts: counts keep their back ends, and builds that do not tell the old version's back
//! ends apart understand this one and are understood.

use beamwall_model::BackendId;
use beamwall_node::gateway::rollout_wire;
use beamwall_peer::rollout_message::{AnswerCountsMessage, EvidenceMessage, OrderIdMessage, RolloutUpdate};
use beamwall_rollout::{
    AnswerCounts, Evidence, OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Verdict,
};
use prost::Message;
use std::time::Duration;
use tokio::time::Instant;

/// Nodes of a large zone.
const NODES: u32 = 25;
/// Bytes that name a generation, and at most those around all of them.
const GENERATION_BYTES: usize = 4;
const FIELD_BYTES: usize = 3;
/// Back ends of a large service, and its routes.
const BACK_ENDS: usize = 160;
const ROUTES: usize = 5;

fn id() -> OrderId {
    OrderId { service: "pool".into(), target: "v2".into(), made: 7 }
}

fn order() -> OrderUpdate {
    OrderUpdate {
        order: RolloutOrder { id: id(), interval: Duration::from_secs(12) },
        revision: 9.into(),
        age: Duration::ZERO,
        verdict: Verdict::Running,
        is_withdrawn: false,
    }
}

fn key(route: &str, back_end: &str) -> (String, BackendId) {
    (route.to_owned(), BackendId::new(back_end))
}

fn evidence() -> Evidence {
    let mut evidence = Evidence { requests: 100, exposed: 10, ..Evidence::default() };
    evidence.old.insert(key("letters", "old-1"), AnswerCounts { answers: 40, bad: 2 });
    evidence.old.insert(key("letters", "old-2"), AnswerCounts { answers: 30, bad: 1 });
    evidence.old.insert(key("sums", "old-1"), AnswerCounts { answers: 20, bad: 0 });
    evidence.new.insert(key("letters", "new-1"), AnswerCounts { answers: 10, bad: 5 });
    evidence
}

fn tell(evidence: Evidence) -> RolloutUpdate {
    rollout_wire::encode(vec![order()], Vec::new(), vec![(id(), evidence)]).expect("an order runs")
}

fn row(route: &str, back_end: &str, answers: u64, bad: u64) -> AnswerCountsMessage {
    AnswerCountsMessage { route: route.to_owned(), back_end: back_end.to_owned(), answers, bad }
}

#[test]
fn counts_arrive_by_route_and_back_end() {
    let heard = rollout_wire::decode_evidence(&tell(evidence()));
    assert_eq!(heard, vec![(id(), evidence())]);
}

#[test]
fn builds_that_know_sums_only_read_the_same_as_before() {
    let told = tell(evidence());
    let rows = &told.evidence[0].answers;
    assert_eq!(
        *rows,
        vec![row("letters", "", 70, 3), row("sums", "", 20, 0), row("letters", "new-1", 10, 5)]
    );
}

#[test]
fn sums_of_builds_that_tell_nothing_else_count_whole() {
    let told = EvidenceMessage {
        id: Some(OrderIdMessage { service: "pool".to_owned(), target: "v2".to_owned(), made: 7 }),
        requests: 100,
        exposed: 10,
        answers: vec![row("letters", "", 70, 3), row("letters", "new-1", 10, 5)],
        old_answers: Vec::new(),
        generations: Vec::new(),
        ended: None,
    };
    let news = RolloutUpdate { orders: Vec::new(), stages: Vec::new(), evidence: vec![told] };
    let (_, heard) = &rollout_wire::decode_evidence(&news)[0];
    assert_eq!(heard.old[&key("letters", "")], AnswerCounts { answers: 70, bad: 3 });
    assert_eq!((heard.old.len(), heard.new.len()), (1, 1));
}

#[test]
fn what_a_large_service_tells_is_bounded_by_its_back_ends_and_routes() {
    let mut evidence = Evidence::default();
    for number in 0..BACK_ENDS * ROUTES {
        let (route, back_end) = (number % ROUTES, number / ROUTES);
        let counts = AnswerCounts { answers: 1_000, bad: 20 };
        evidence.old.insert(key(&format!("route/{route}"), &format!("i-{back_end:010}")), counts);
    }
    let bytes = tell(evidence).encoded_len();
    println!("{bytes} bytes");
    assert!(bytes < 40 * BACK_ENDS * ROUTES, "{bytes}");
}

/// The message of evidence as earlier builds know it.
#[derive(Clone, PartialEq, Message)]
struct EarlierEvidenceMessage {
    #[prost(message, optional, tag = "1")]
    id: Option<OrderIdMessage>,
    #[prost(uint64, tag = "2")]
    requests: u64,
    #[prost(uint64, tag = "3")]
    exposed: u64,
    #[prost(message, repeated, tag = "4")]
    answers: Vec<AnswerCountsMessage>,
    #[prost(message, repeated, tag = "5")]
    old_answers: Vec<AnswerCountsMessage>,
}

/// A rollout update as earlier builds know it.
#[derive(Clone, PartialEq, Message)]
struct EarlierRolloutUpdate {
    #[prost(message, repeated, tag = "3")]
    evidence: Vec<EarlierEvidenceMessage>,
}

fn registry_of_node(node: &str, generation: u64) -> RolloutRegistry {
    let registry = RolloutRegistry::default().for_generation(&node.into(), generation);
    registry.merge_order(order(), Instant::now());
    registry
}

/// What a relay that counted some requests tells other zones.
fn sum_of_relay(generation: u64, requests: u64) -> RolloutUpdate {
    let relay = registry_of_node("relay", generation);
    (0..requests).for_each(|_| relay.note_request(&id().service));
    let evidence = relay.evidence_of_nodes();
    rollout_wire::encode(relay.orders(Instant::now()), Vec::new(), evidence).expect("an order runs")
}

/// The same update without what earlier builds do not know.
fn as_earlier_build(update: &RolloutUpdate) -> RolloutUpdate {
    let earlier = EarlierRolloutUpdate::decode(update.encode_to_vec().as_slice()).expect("readable");
    RolloutUpdate::decode(earlier.encode_to_vec().as_slice()).expect("readable")
}

fn known_requests(updates: &[RolloutUpdate]) -> u64 {
    let receiver = registry_of_node("receiver", 1);
    for update in updates {
        receiver.merge_zone_evidence(&"b".into(), &rollout_wire::decode_evidence(update));
    }
    receiver.evidence(&id()).requests
}

/// Guards against sums of a restarted zone that are compared with earlier ones after they crossed the network.
#[test]
fn generations_of_a_sum_arrive_so_that_a_restarted_zone_counts_on() {
    let (before, after) = (sum_of_relay(1, 100), sum_of_relay(2, 60));
    assert_eq!(known_requests(&[before.clone(), after.clone(), before, after]), 160);
}

/// Guards against sums that an earlier build reads differently because they name generations.
#[test]
fn earlier_builds_read_the_counts_of_a_sum_that_names_generations() {
    let mut named = evidence();
    named.generations = (1..=NODES).collect();
    let expected = EarlierRolloutUpdate::decode(tell(evidence()).encode_to_vec().as_slice());
    let read = EarlierRolloutUpdate::decode(tell(named).encode_to_vec().as_slice());
    assert_eq!(read, expected);
}

/// Guards against sums of earlier builds that are added to sums of the same nodes that name generations.
#[test]
fn sums_of_relays_of_both_builds_are_counted_once() {
    let (fewer, more) = (sum_of_relay(1, 60), sum_of_relay(1, 100));
    assert_eq!(known_requests(&[as_earlier_build(&fewer), more.clone()]), 100);
    assert_eq!(known_requests(&[more.clone(), as_earlier_build(&fewer)]), 100);
    assert_eq!(known_requests(&[fewer, as_earlier_build(&more)]), 100);
}

/// Guards against sums that grow by more than four bytes for each node generation.
#[test]
fn a_sum_names_each_generation_in_four_bytes() {
    let mut named = evidence();
    named.generations = (1..=NODES).collect();
    let added = tell(named).encoded_len() - tell(evidence()).encoded_len();
    println!("{added} bytes for {NODES} generations");
    assert!(added <= GENERATION_BYTES * NODES as usize + FIELD_BYTES, "{added}");
}
