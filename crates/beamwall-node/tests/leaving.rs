//! A back end that is leaving receives no new work after a few seconds, whichever node heard of it.

mod support;

use std::time::{Duration, Instant};

use beamwall_lab::application::ApplicationFaults;
use beamwall_lab::cloud::Wave;
use serde_json::json;
use support::{ALDER_KEY, Cluster, Plan, question, wait_until};

/// Bound on the time until a leaving back end gets no new work.
const BOUND: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn an_announced_reclaim_ends_new_work_at_all_nodes_within_the_bound() {
    let cluster = Cluster::start(Plan { nodes_per_zone: 2, speed: 20.0, ..Plan::default() }).await;
    cluster.cloud.reclaim(&Wave { machines: vec!["helper-b0".to_owned()], notice_ms: 20_000 });
    tokio::time::sleep(BOUND).await;
    let before = cluster.engine("helper-b0").engine.ran().len();
    for number in 0..60 {
        let caller = cluster.nodes[number % 6].caller(ALDER_KEY);
        let asked = question(number, 4);
        assert!(caller.stream(&asked).await.is_exact(&asked));
    }
    assert_eq!(cluster.engine("helper-b0").engine.ran().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_says_itself_that_it_leaves_gets_no_new_work() {
    let cluster = Cluster::start(Plan { nodes_per_zone: 2, ..Plan::default() }).await;
    cluster.applications[1].set_faults(ApplicationFaults { leaving: true, ..ApplicationFaults::default() });
    tokio::time::sleep(BOUND).await;
    let before = cluster.applications[1].ran_count();
    for number in 0..60 {
        let answer =
            cluster.nodes[number % 6].caller(ALDER_KEY).call("game", "saves", "", "", &json!({})).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(cluster.applications[1].ran_count(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_engine_interrupts_no_request() {
    let cluster = Cluster::start(Plan { speed: 4.0, ..Plan::default() }).await;
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let caller = cluster.nodes[number % 3].caller(ALDER_KEY);
            tokio::spawn(async move {
                let asked = question(number, 150);
                let answer = caller.stream(&asked).await;
                (answer.is_exact(&asked), answer)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let engine = &cluster.engine("helper-a0").engine;
    let ran = engine.ran().len();
    assert!(ran > 0, "the engine has no work: the test proves nothing");
    let address = cluster
        .cloud
        .machines()
        .into_iter()
        .find(|machine| machine.id == "helper-a0")
        .expect("listed")
        .address;
    let client = beamwall_http::JsonClient::new(
        beamwall_http::Pool::new(Duration::from_secs(1)),
        address.parse().expect("an address"),
        Duration::from_secs(1),
    );
    let order = json!({"epoch": 1_000, "plan_revision": 1, "order": "leave"});
    assert!(client.post("/orders", &order).await.expect("an answer").status.is_success());
    for stream in streams {
        let (exact, answer) = stream.await.expect("no panic");
        assert!(exact, "{:?}", answer.end);
        assert_eq!(answer.usage["attempts"], 1, "a planned stop must not move a stream");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_machine_that_the_plan_asks_for_comes_into_service() {
    let placement = "kind = \"placement\"\n[placement]\nservice = \"/helper\"\nzones = [\"a\", \"b\", \"c\"]\nreplicas = 2\n";
    let documents = vec![("/engines".to_owned(), placement.to_owned())];
    let cluster =
        Cluster::start(Plan { speed: 20.0, list_lag_ms: 4_000, documents, ..Plan::default() }).await;
    cluster.reclaim_zone("c", Duration::from_millis(500));
    let started = Instant::now();
    let is_new = |id: &str| id.starts_with("helper-c-");
    wait_until("a replacement in zone c", || {
        cluster.cloud.machines().iter().any(|machine| is_new(&machine.id))
    })
    .await;
    let shared = cluster.nodes[0].shared();
    wait_until("the replacement to serve", || {
        let view = shared.dispatcher.view.load();
        let backends: Vec<_> = view.backends().cloned().collect();
        backends.iter().any(|backend| {
            let model = backend.report.as_ref().is_some_and(|report| report.model == "helper");
            is_new(backend.backend.id.as_str()) && backend.accepts_work() && model
        })
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(20));
    let replacements = cluster.cloud.machines().iter().filter(|machine| is_new(&machine.id)).count();
    assert_eq!(replacements, 1, "the list lags: a start must not be made twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_restarted_node_polls_is_believed_by_the_others() {
    let mut cluster = Cluster::start(Plan::default()).await;
    // Long enough that the polls of the earlier life outnumber those of the next few seconds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.nodes[0].restart();
    let restarted = cluster.nodes[0].shared();
    wait_until("the restarted node to be ready", || restarted.is_ready()).await;
    // Only the node of zone a polls the application of zone a.
    tokio::time::sleep(BOUND).await;
    let shared = cluster.nodes[1].shared();
    let view = shared.dispatcher.view.load();
    let report =
        view.backend(&"game-a0".into()).and_then(|backend| backend.report.clone()).expect("a report");
    assert!(report.received_at.elapsed() < BOUND, "the reports of the restarted node were ignored");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_are_not_relays_hear_of_back_ends_in_other_zones() {
    // The start waits until every node sees every back end as usable.
    let cluster = Cluster::start(Plan { nodes_per_zone: 3, ..Plan::default() }).await;
    let relays = cluster.nodes.iter().filter(|node| node.shared().members.load().is_relay).count();
    assert_eq!(relays, 6, "two relays a zone");
}
