//! Calls that may not be repeated take effect at most once, and "not run" means ran nowhere.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use beamwall_lab::application::ApplicationFaults;
use beamwall_lab::caller::CallAnswer;
use beamwall_lab::object_store::ObjectFaults;
use serde_json::json;
use support::{ALDER_KEY, BIRCH_KEY, Cluster, Plan, wait_until};

/// How often each of the callers' own call numbers ran.
fn runs_by_call(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for ran in cluster.ran() {
        *runs.entry(ran.call).or_insert(0) += 1;
    }
    runs
}

/// How often each idempotency key ran.
fn runs_by_key(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for ran in cluster.ran() {
        *runs.entry(ran.key).or_insert(0) += 1;
    }
    runs
}

async fn keyed(cluster: &Cluster, node: usize, key: &str) -> CallAnswer {
    let body = json!({"badge": key});
    cluster.nodes[node].caller(ALDER_KEY).call("game", "badges", key, key, &body).await
}

fn assert_not_run_is_true(cluster: &Cluster, answers: &[(String, CallAnswer)]) {
    let runs = runs_by_call(cluster);
    for (call, answer) in answers {
        if answer.outcome == "not-run" {
            assert_eq!(runs.get(call), None, "call {call} was told not run, but it ran");
        }
        if answer.outcome == "completed" {
            assert!(
                runs.contains_key(call) || answer.replayed,
                "call {call} was told completed and ran nowhere"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_all_nodes_at_once_runs_once() {
    let cluster = Cluster::start(Plan::default()).await;
    let mut calls = Vec::new();
    for number in 0..30 {
        for node in 0..cluster.nodes.len() {
            let caller = cluster.nodes[node].caller(ALDER_KEY);
            let key = format!("key-{number}");
            calls.push(tokio::spawn(async move {
                caller.call("game", "badges", &key, "", &json!({"badge": key})).await
            }));
        }
    }
    let mut completed = 0;
    for call in calls {
        let answer = call.await.expect("no panic");
        assert!(matches!(answer.status, 200 | 409), "status {}", answer.status);
        completed += usize::from(answer.status == 200);
    }
    assert!(completed >= 30);
    let runs = runs_by_key(&cluster);
    assert_eq!(runs.len(), 30);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused_and_of_another_tenant_is_another_key() {
    let cluster = Cluster::start(Plan::default()).await;
    let alder = cluster.nodes[0].caller(ALDER_KEY);
    assert_eq!(alder.call("game", "badges", "k", "1", &json!({"badge": 1})).await.status, 200);
    let reused =
        cluster.nodes[1].caller(ALDER_KEY).call("game", "badges", "k", "2", &json!({"badge": 2})).await;
    assert_eq!((reused.status, reused.outcome.as_str()), (422, "not-run"));
    let birch =
        cluster.nodes[1].caller(BIRCH_KEY).call("game", "badges", "k", "3", &json!({"badge": 3})).await;
    assert_eq!((birch.status, birch.replayed), (200, false));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_the_call_is_not_sent_again() {
    let cluster = Cluster::start(Plan { applications_per_zone: 1, ..Plan::default() }).await;
    for application in &cluster.applications {
        application.set_faults(ApplicationFaults { lose_answers: 1, ..ApplicationFaults::default() });
    }
    let mut answers = Vec::new();
    for number in 0..6 {
        let key = format!("key-{number}");
        answers.push((key.clone(), keyed(&cluster, number % 3, &key).await));
    }
    assert!(answers.iter().any(|(_, answer)| answer.outcome == "unknown"), "no answer was lost");
    for (key, answer) in &answers {
        if answer.outcome == "unknown" {
            let again = keyed(&cluster, 0, key).await;
            assert_eq!(
                (again.status, again.outcome.as_str()),
                (409, "unknown"),
                "the second try must not run"
            );
        }
    }
    assert!(runs_by_key(&cluster).values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_whose_write_answers_are_lost_run_once() {
    let cluster = Cluster::start(Plan::default()).await;
    let mut answers = Vec::new();
    for round in 0..10 {
        cluster.platform.set_faults(ObjectFaults { lose_write_answers: 2, ..ObjectFaults::default() });
        for node in 0..cluster.nodes.len() {
            let key = format!("key-{round}");
            answers.push((key.clone(), keyed(&cluster, node, &key).await));
        }
    }
    assert!(answers.iter().filter(|(_, answer)| answer.status == 200).count() >= 20);
    let runs = runs_by_key(&cluster);
    assert_eq!(runs.len(), 10);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_away_a_keyed_call_is_refused_as_not_run_and_can_be_sent_later() {
    let cluster = Cluster::start(Plan::default()).await;
    cluster.platform.set_faults(ObjectFaults { outage: true, ..ObjectFaults::default() });
    let mut answers = Vec::new();
    for node in 0..cluster.nodes.len() {
        answers.push((format!("key-{node}"), keyed(&cluster, node, &format!("key-{node}")).await));
    }
    assert!(answers.iter().all(|(_, answer)| answer.outcome == "not-run" && answer.status == 503));
    assert_not_run_is_true(&cluster, &answers);
    let plain = cluster.nodes[0].caller(ALDER_KEY).call("game", "saves", "", "unkeyed", &json!({})).await;
    assert_eq!(plain.status, 200, "a call without a key needs no platform");
    cluster.platform.set_faults(ObjectFaults::default());
    for node in 0..cluster.nodes.len() {
        let key = format!("key-{node}");
        let mut answer = keyed(&cluster, (node + 1) % 3, &key).await;
        for _ in 0..50 {
            if answer.status == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            answer = keyed(&cluster, (node + 1) % 3, &key).await;
        }
        assert_eq!(answer.status, 200, "the key must be free again after the platform is back");
    }
    assert!(runs_by_key(&cluster).iter().all(|(key, count)| key.is_empty() || *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_leaves_claims_that_nobody_runs_again() {
    let mut cluster = Cluster::start(Plan::default()).await;
    for application in &cluster.applications {
        application.set_faults(ApplicationFaults { service_ms: 400, ..ApplicationFaults::default() });
    }
    let calls: Vec<_> = (0..10)
        .map(|number| {
            let caller = cluster.nodes[0].caller(ALDER_KEY);
            let key = format!("key-{number}");
            tokio::spawn(
                async move { caller.call("game", "badges", &key, &key, &json!({"badge": key})).await },
            )
        })
        .collect();
    wait_until("the calls to run", || cluster.ran().len() >= 10).await;
    cluster.nodes[0].kill();
    for call in calls {
        let answer = call.await.expect("no panic");
        assert_ne!(answer.outcome, "not-run", "it ran");
    }
    for number in 0..10 {
        let again = keyed(&cluster, 1, &format!("key-{number}")).await;
        assert_eq!((again.status, again.outcome.as_str()), (409, "unknown"));
    }
    assert!(runs_by_key(&cluster).values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_another_back_end_only_when_the_first_did_not_run_them() {
    let cluster = Cluster::start(Plan::default()).await;
    cluster.applications[0].set_faults(ApplicationFaults { refuse: true, ..ApplicationFaults::default() });
    let mut answers = Vec::new();
    for number in 0..12 {
        let call = format!("call-{number}");
        let answer = cluster.nodes[0].caller(ALDER_KEY).call("game", "saves", "", &call, &json!({})).await;
        answers.push((call, answer));
    }
    assert!(
        answers.iter().all(|(_, answer)| answer.status == 200),
        "a refusal before running must be routed around"
    );
    assert_eq!(cluster.applications[0].ran_count(), 0);
    for application in &cluster.applications {
        application.set_faults(ApplicationFaults { refuse: true, ..ApplicationFaults::default() });
    }
    let refused = cluster.nodes[0].caller(ALDER_KEY).call("game", "saves", "", "last", &json!({})).await;
    answers.push(("last".to_owned(), refused.clone()));
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert_not_run_is_true(&cluster, &answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_requires_keys_refuses_calls_without_one() {
    let plain_service = "[service]\ntype = \"plain\"\nidempotency_key = \"required\"\n".to_owned();
    let cluster = Cluster::start(Plan { plain_service, ..Plan::default() }).await;
    let answer = cluster.nodes[0].caller(ALDER_KEY).call("game", "payments", "", "1", &json!({})).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (400, "not-run"));
    assert!(cluster.ran().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn many_claims_share_few_platform_writes() {
    let cluster = Cluster::start(Plan::default()).await;
    let before = cluster.platform.counts().writes;
    let calls: Vec<_> = (0..400)
        .map(|number| {
            let caller = cluster.nodes[number % 3].caller(ALDER_KEY);
            let key = format!("key-{number}");
            tokio::spawn(
                async move { caller.call("game", "badges", &key, &key, &json!({"badge": key})).await },
            )
        })
        .collect();
    let mut statuses = BTreeSet::new();
    for call in calls {
        statuses.insert(call.await.expect("no panic").status);
    }
    assert_eq!(statuses, BTreeSet::from([200]));
    let writes = cluster.platform.counts().writes - before;
    println!("400 claims and 400 answers took {writes} writes");
    assert!(writes < 400, "400 claims and 400 answers took {writes} writes");
    assert!(runs_by_key(&cluster).values().all(|count| *count == 1));
}
