//! Tests of the rollout registry: verdicts are final, newer orders replace older ones, and stages
//! expire.

use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_rollout::{
    AnswerCounts, Evidence, OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Stage, StageUpdate, Verdict,
    VersionChoice,
};
use tokio::time::Instant;

fn id(target: &str) -> OrderId {
    OrderId { service: "pool".into(), target: target.into(), made: 7 }
}

fn order(target: &str, revision: u64, verdict: Verdict) -> OrderUpdate {
    OrderUpdate {
        order: RolloutOrder { id: id(target), interval: Duration::from_secs(12) },
        revision: revision.into(),
        age: Duration::ZERO,
        verdict,
        is_withdrawn: false,
    }
}

fn stage(number: u64, share: f64, takes_all_in_ms: Option<u64>) -> StageUpdate {
    let takes_all_in = takes_all_in_ms.map(Duration::from_millis);
    let stage = Stage { share, back_ends: 5, takes_all_in };
    StageUpdate { order: id("v2"), sequence: (1, number), stage, age: Duration::ZERO }
}

fn version_choice(registry: &RolloutRegistry, now: Instant) -> Option<VersionChoice> {
    registry.rule(&"pool".into(), Some("request"), now).map(|rule| rule.version_choice)
}

#[test]
fn no_requests_go_to_a_new_version_before_a_stage_and_after_its_ttl() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    assert_eq!(version_choice(&registry, now), None);
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    assert_eq!(version_choice(&registry, now), Some(VersionChoice::Old));
    assert!(registry.merge_stage(&stage(1, 1.0, None), now));
    assert_eq!(version_choice(&registry, now), Some(VersionChoice::Canary));
    assert_eq!(version_choice(&registry, now + Duration::from_secs(4)), Some(VersionChoice::Old));
}

#[test]
fn the_new_version_receives_all_requests_from_the_given_time() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    registry.merge_stage(&stage(2, 0.0, Some(800)), now);
    assert!(!registry.merge_stage(&stage(1, 1.0, Some(0)), now), "older than the known stage");
    assert_eq!(version_choice(&registry, now + Duration::from_millis(700)), Some(VersionChoice::Old));
    assert_eq!(version_choice(&registry, now + Duration::from_millis(900)), Some(VersionChoice::New));
}

#[test]
fn a_verdict_is_final_for_its_order() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    assert!(registry.merge_verdict(&id("v2"), Verdict::RolledBack, now));
    assert!(!registry.merge_order(order("v2", 12, Verdict::Running), now));
    registry.merge_stage(&stage(9, 1.0, Some(0)), now);
    assert_eq!(version_choice(&registry, now), Some(VersionChoice::Old));
    // A success that was reported to the operator overrides a concurrent rollback.
    assert!(registry.merge_order(order("v2", 13, Verdict::Succeeded), now));
    assert_eq!(version_choice(&registry, now), Some(VersionChoice::New));
    assert!(!registry.merge_verdict(&id("v2"), Verdict::RolledBack, now));
}

#[test]
fn a_newer_order_replaces_an_older_one() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::RolledBack), now);
    assert!(registry.merge_order(order("v3", 20, Verdict::Running), now));
    assert!(!registry.merge_order(order("v2", 15, Verdict::Succeeded), now));
    assert_eq!(registry.orders(now)[0].order.id, id("v3"));
    assert!(registry.merge_order(order("v2", 30, Verdict::Running), now), "ordered once more");
    assert_eq!(version_choice(&registry, now), Some(VersionChoice::Old));
}

#[test]
fn a_withdrawn_order_applies_no_rule() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    assert!(!registry.withdraw_unlisted(&["pool".into()], 30.into()));
    assert!(registry.withdraw_unlisted(&[], 30.into()));
    assert_eq!(version_choice(&registry, now), None);
    assert!(!registry.is_running(&"pool".into()));
}

#[test]
fn counts_of_nodes_and_zones_are_summed_and_only_grow() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    registry.note_request(&"pool".into());
    registry.note_sent(&"pool".into(), &"v2".into());
    registry.note_answer(&"pool".into(), "draft", &"e1".into(), &"v2".into(), true);
    let reported = registry.own_evidence();
    for _ in 0..2 {
        registry.merge_node_evidence(&"n1".into(), 1, &reported);
        registry.merge_node_evidence(&"n1".into(), 2, &reported);
        registry.merge_zone_evidence(&"b".into(), &reported);
    }
    let all = registry.evidence(&id("v2"));
    assert_eq!((all.requests, all.exposed, all.new_answers(), all.new_bad_answers()), (4, 4, 4, 4));
    assert_eq!(registry.evidence_of_nodes()[0].1.requests, 3, "sums of other zones are not forwarded");
}

/// Answers of the old version, given as rows of back end, answers and bad answers. Later versions may
/// come without an order, as engines that replace others one by one.
fn old_answers(rows: &[(&str, u64, u64)]) -> Vec<(OrderId, Evidence)> {
    let counts = |(back_end, answers, bad): &(&str, u64, u64)| {
        (("chat".to_owned(), BackendId::new(*back_end)), AnswerCounts { answers: *answers, bad: *bad })
    };
    let old = rows.iter().map(counts).collect();
    vec![(id("v2"), Evidence { requests: 100, old, ..Evidence::default() })]
}

/// Guards against counting the answers of a zone's old version twice during an upgrade. The two relays
/// of a zone may run different builds: one reports the old version's answers by back end, the other as
/// one sum without a back end id. Both used to be added up, so 100 answers became 200, whichever relay
/// reported first.
#[test]
fn answers_of_a_zone_are_counted_once_while_its_relays_run_different_builds() {
    let sums = old_answers(&[("", 100, 8)]);
    let by_back_end = old_answers(&[("e1", 60, 7), ("e2", 40, 1)]);
    for reported in [[&sums, &by_back_end], [&by_back_end, &sums]] {
        let (registry, now) = (RolloutRegistry::default(), Instant::now());
        registry.merge_order(order("v2", 10, Verdict::Running), now);
        reported.iter().for_each(|reported| registry.merge_zone_evidence(&"b".into(), reported));
        let old = registry.evidence(&id("v2")).old;
        assert_eq!(old.values().map(|counts| counts.answers).sum::<u64>(), 100, "{old:?}");
        assert_eq!(old.values().map(|counts| counts.bad).sum::<u64>(), 8, "{old:?}");
    }
}

/// With nodes of both builds in a zone, the relay that reports by back end also reports the sum of the
/// earlier build's nodes, which must be kept.
#[test]
fn a_zone_with_both_builds_keeps_the_sum_of_the_earlier_build() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    registry.merge_zone_evidence(&"b".into(), &old_answers(&[("", 30, 2), ("e1", 70, 6)]));
    registry.merge_zone_evidence(&"b".into(), &old_answers(&[("", 40, 3), ("e1", 75, 6)]));
    let old = registry.evidence(&id("v2")).old;
    assert_eq!(old.values().map(|counts| counts.answers).sum::<u64>(), 115, "{old:?}");
}

#[test]
fn a_succeeded_order_applies_only_while_the_old_back_ends_are_stopped() {
    let (registry, now) = (RolloutRegistry::default(), Instant::now());
    registry.merge_order(order("v2", 10, Verdict::Running), now);
    registry.merge_order(order("v2", 11, Verdict::Succeeded), now);
    assert_eq!(version_choice(&registry, now + Duration::from_secs(5)), Some(VersionChoice::New));
    assert_eq!(version_choice(&registry, now + Duration::from_secs(30)), None);
    // A node that reads the order long after the success, for example at startup, applies no rule.
    let started = RolloutRegistry::default();
    started.merge_order(order("v2", 11, Verdict::Succeeded), now);
    assert_eq!(version_choice(&started, now), None);
}
