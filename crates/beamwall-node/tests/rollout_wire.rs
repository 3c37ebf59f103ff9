//! What gateways tell each other of rollouts: counts keep their back ends, and builds that do not tell the old version's back
//! ends apart understand this one and are understood.

use beamwall_model::BackendId;
use beamwall_node::gateway::rollout_wire;
use beamwall_peer::rollout_message::{AnswerCountsMessage, EvidenceMessage, OrderIdMessage, RolloutUpdate};
use beamwall_rollout::{AnswerCounts, Evidence, OrderId, OrderUpdate, RolloutOrder, Verdict};
use prost::Message;
use std::time::Duration;

/// Back ends of a large service, and its routes.
const BACK_ENDS: usize = 160;
const ROUTES: usize = 5;

fn id() -> OrderId {
    OrderId { service: "pool".into(), target: "v2".into(), made: 7 }
}

fn order() -> OrderUpdate {
    OrderUpdate {
        order: RolloutOrder { id: id(), interval: Duration::from_secs(12) },
        revision: 9,
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
