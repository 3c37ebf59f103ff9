//! An accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use beamwall_lab::object_store::ObjectFaults;
use beamwall_node::shared::Shared;
use serde_json::{Value, json};
use support::{Cluster, Plan, wait_until};

/// Bound of the users' letter on the time until an edit is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);

fn tenant(weight: u64) -> String {
    format!("kind = \"tenant\"\n[tenant]\nweight = {weight}\nservices = [\"helper\"]\n")
}

fn weight(shared: &Shared, tenant: &str) -> Option<u32> {
    Some(shared.tree.load().resolved.tenants.get(&tenant.into())?.weight)
}

/// Follows the revisions of nodes and notes any that falls.
fn watch_for_reverts(cluster: &Cluster) -> (Arc<AtomicBool>, Arc<AtomicBool>) {
    let (stop, reverted) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    for node in &cluster.nodes {
        let (shared, stop, reverted) = (node.shared(), stop.clone(), reverted.clone());
        tokio::spawn(async move {
            let mut highest = 0;
            while !stop.load(Ordering::Relaxed) {
                let revision = shared.tree.load().revision;
                if revision < highest {
                    reverted.store(true, Ordering::Relaxed);
                }
                highest = highest.max(revision);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
    }
    (stop, reverted)
}

async fn edit(cluster: &Cluster, node: usize, base: u64, path: &str, text: &str) -> (u16, Value) {
    let edit = json!({"base_revision": base, "changes": [{"path": path, "text": text}]});
    let answer = cluster.nodes[node].operator().post("/v1/admin/tree", &edit).await.expect("an answer");
    (answer.status.as_u16(), answer.json().unwrap_or_default())
}

async fn in_force_everywhere(cluster: &Cluster, revision: u64) {
    for node in &cluster.nodes {
        let shared = node.shared();
        let started = std::time::Instant::now();
        wait_until("the revision to be in force", || shared.tree.load().revision >= revision).await;
        assert!(started.elapsed() < IN_FORCE);
    }
    let digests: BTreeSet<(u64, u64)> = cluster
        .nodes
        .iter()
        .map(|node| {
            let tree = node.shared().tree.load_full();
            (tree.revision, tree.resolved.digest)
        })
        .collect();
    assert_eq!(digests.len(), 1, "one revision, one meaning: {digests:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_each_and_nothing_is_lost() {
    let cluster = Cluster::start(Plan::default()).await;
    let (stop, reverted) = watch_for_reverts(&cluster);
    let mut accepted = Vec::new();
    for round in 1..=12 {
        let base = cluster.nodes.iter().map(|node| node.shared().tree.load().revision).max().expect("nodes");
        let edits = (0..3).map(|node| {
            let text = tenant(round * 10 + node as u64);
            let cluster = &cluster;
            async move { (node, edit(cluster, node, base, &format!("/studios/racer-{node}"), &text).await) }
        });
        let mut winners = 0;
        for (node, (status, body)) in futures_join(edits).await {
            match status {
                200 => {
                    winners += 1;
                    accepted.push((
                        node,
                        round * 10 + node as u64,
                        body["revision"].as_u64().expect("a revision"),
                    ));
                }
                409 => assert!(body["error"]["difference"].is_array(), "{body}"),
                other => panic!("status {other}: {body}"),
            }
        }
        assert_eq!(winners, 1, "round {round}");
        let newest = accepted.last().expect("one").2;
        in_force_everywhere(&cluster, newest).await;
    }
    let revisions: BTreeSet<u64> = accepted.iter().map(|(_, _, revision)| *revision).collect();
    assert_eq!(revisions.len(), accepted.len(), "two edits got the same revision");
    for node in 0..3 {
        let last = accepted.iter().rev().find(|(winner, _, _)| *winner == node);
        if let Some((_, value, _)) = last {
            let shared = cluster.nodes[0].shared();
            assert_eq!(
                weight(&shared, &format!("racer-{node}")),
                Some(*value as u32),
                "an accepted edit was lost"
            );
        }
    }
    stop.store(true, Ordering::Relaxed);
    assert!(!reverted.load(Ordering::Relaxed), "a node went back to an older revision");
}

async fn futures_join<T: Send + 'static>(futures: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    let mut running: Vec<_> = futures.map(Box::pin).collect();
    let mut results = Vec::new();
    std::future::poll_fn(|context| {
        running.retain_mut(|future| match future.as_mut().poll(context) {
            std::task::Poll::Ready(result) => {
                results.push(result);
                false
            }
            std::task::Poll::Pending => true,
        });
        if running.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    results
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_is_lost_is_applied_once() {
    let cluster = Cluster::start(Plan::default()).await;
    for round in 1..=6_u64 {
        let base = cluster.nodes[0].shared().tree.load().revision;
        cluster.platform.set_faults(ObjectFaults { lose_write_answers: 3, ..ObjectFaults::default() });
        let (status, body) = edit(&cluster, 0, base, "/studios/racer", &tenant(round)).await;
        cluster.platform.set_faults(ObjectFaults::default());
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["revision"].as_u64(), Some(base + 1));
        in_force_everywhere(&cluster, base + 1).await;
        assert_eq!(weight(&cluster.nodes[2].shared(), "racer"), Some(round as u32));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_away_edits_are_refused_and_a_restarted_node_learns_from_peers() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let base = cluster.nodes[0].shared().tree.load().revision;
    let (status, _) = edit(&cluster, 1, base, "/studios/racer", &tenant(7)).await;
    assert_eq!(status, 200);
    in_force_everywhere(&cluster, base + 1).await;
    cluster.platform.set_faults(ObjectFaults { outage: true, ..ObjectFaults::default() });
    let (status, body) = edit(&cluster, 1, base + 1, "/studios/racer", &tenant(8)).await;
    assert_eq!(status, 503, "{body}");
    cluster.nodes[0].restart();
    let restarted = cluster.nodes[0].shared();
    wait_until("the restarted node to be ready from peers", || restarted.is_ready()).await;
    assert_eq!(restarted.tree.load().revision, base + 1);
    assert_eq!(weight(&restarted, "racer"), Some(7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_restarts_serves_only_with_the_newest_revision() {
    let mut cluster = Cluster::start(Plan::default()).await;
    for round in 1..=3_u64 {
        let base = cluster.nodes[1].shared().tree.load().revision;
        cluster.nodes[0].kill();
        let (status, _) = edit(&cluster, 1, base, "/studios/racer", &tenant(round)).await;
        assert_eq!(status, 200);
        cluster.nodes[0].restart();
        let shared = cluster.nodes[0].shared();
        wait_until("the node to be ready", || shared.is_ready()).await;
        assert_eq!(shared.tree.load().revision, base + 1, "it was ready with an older revision");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_edit_is_refused_whole_with_every_fault() {
    let cluster = Cluster::start(Plan::default()).await;
    let base = cluster.nodes[0].shared().tree.load().revision;
    let edit = json!({"base_revision": base, "changes": [
        {"path": "/studios/cedar", "text": "kind = \"tenant\"\n[tenant]\nweight = 0\nspeed = 1\nservices = [\"nothing\"]\n"},
        {"path": "/studios/oak", "text": "kind = \"tenant\"\n[tenant]\nservices = [\"nothing\"]\n"},
    ]});
    let answer = cluster.nodes[0].operator().post("/v1/admin/tree", &edit).await.expect("an answer");
    assert_eq!(answer.status.as_u16(), 422);
    let body: Value = answer.json().expect("JSON");
    let faults = body["error"]["faults"].as_array().expect("faults");
    let has = |key: &str, line: u64| faults.iter().any(|fault| fault["key"] == key && fault["line"] == line);
    assert!(has("tenant.weight", 3) && has("tenant.speed", 4) && has("tenant.services", 0), "{body}");
    assert_eq!(cluster.nodes[0].shared().tree.load().revision, base);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_bound_to_a_subtree_edits_only_there() {
    let key = beamwall_config::KeyDigest::of("studio-key");
    let group = format!("kind = \"group\"\n[operator]\nkey_digests = [\"{key}\"]\n");
    let documents = vec![("/studios".to_owned(), group)];
    let cluster = Cluster::start(Plan { documents, ..Plan::default() }).await;
    let operator = cluster.nodes[0].operator_with("studio-key");
    let base = cluster.nodes[0].shared().tree.load().revision;
    let inside =
        json!({"base_revision": base, "changes": [{"path": "/studios/oak", "text": "kind = \"tenant\"\n"}]});
    let outside = json!({"base_revision": base, "changes": [{"path": "/game", "text": null}]});
    assert_eq!(operator.post("/v1/admin/tree", &outside).await.expect("an answer").status.as_u16(), 403);
    assert_eq!(operator.post("/v1/admin/tree", &inside).await.expect("an answer").status.as_u16(), 200);
    assert_eq!(operator.post("/v1/admin/drain", &json!({})).await.expect("an answer").status.as_u16(), 403);
    let unknown = cluster.nodes[0].operator_with("nobody").get("/v1/admin/status").await.expect("an answer");
    assert_eq!(unknown.status.as_u16(), 401);
}
