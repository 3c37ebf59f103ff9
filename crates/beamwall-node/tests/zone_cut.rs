//! A zone that is cut off from the other zones and the platform serves what it can, and heals.

mod support;

use std::time::{Duration, Instant};

use beamwall_model::NodeId;
use serde_json::json;
use support::{ALDER_KEY, Cluster, Plan, question, wait_until};

/// Cuts node 0 from its peers and from the platform, or mends the cut.
fn set_cut(cluster: &Cluster, cut: bool) {
    let names: Vec<NodeId> = cluster.nodes.iter().map(|node| node.settings.node.clone()).collect();
    let others = names[1..].iter().cloned().collect();
    let first = std::iter::once(names[0].clone()).collect();
    cluster.nodes[0].shared().network.block(if cut { others } else { Default::default() });
    for node in &cluster.nodes[1..] {
        node.shared().network.block(if cut { Clone::clone(&first) } else { Default::default() });
    }
    cluster.platform_links[0].set_cut(cut);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_zone_serves_what_it_can_and_catches_up() {
    let cluster = Cluster::start(Plan { speed: 8.0, ..Plan::default() }).await;
    set_cut(&cluster, true);
    let alive = |node: usize| cluster.nodes[node].shared().members.load().alive_with(&"x".into()).len() - 1;
    wait_until("both sides to see the cut", || alive(0) == 0 && alive(1) == 1).await;
    let asked = question(1, 20);
    let caller = cluster.nodes[0].caller(ALDER_KEY);
    assert!(caller.stream(&asked).await.is_exact(&asked), "the cut side must serve model requests");
    let unkeyed = caller.call("game", "saves", "", "unkeyed", &json!({})).await;
    assert_eq!(unkeyed.status, 200, "the cut side must serve calls that need no claim");
    let keyed = caller.call("game", "badges", "key", "keyed", &json!({})).await;
    assert_eq!((keyed.status, keyed.outcome.as_str()), (503, "not-run"), "a claim cannot be written there");
    let connected =
        cluster.nodes[1].caller(ALDER_KEY).call("game", "badges", "key", "connected", &json!({})).await;
    assert_eq!(connected.status, 200, "the connected side has the platform");
    let edited = cluster.put(1, "/studios/cedar", "kind = \"tenant\"\n[tenant]\nweight = 9\n").await;
    let revision = edited["revision"].as_u64().expect("accepted on the connected side");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(cluster.nodes[0].shared().tree.load().revision < revision);
    set_cut(&cluster, false);
    let mended = Instant::now();
    wait_until("the cut side to catch up", || cluster.nodes[0].shared().tree.load().revision >= revision)
        .await;
    assert!(mended.elapsed() < Duration::from_secs(8));
    wait_until("membership to heal", || (0..3).all(|node| alive(node) == 2)).await;
    let again = caller.call("game", "badges", "key", "again", &json!({})).await;
    assert!(again.replayed, "the key ran on the connected side: {again:?}");
    let runs = cluster.ran().iter().filter(|call| call.key == "key").count();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_cut_from_the_platform_alone_hears_of_edits_from_peers() {
    let cluster = Cluster::start(Plan::default()).await;
    cluster.platform_links[0].set_cut(true);
    let edited = cluster.put(1, "/studios/cedar", "kind = \"tenant\"\n").await;
    let revision = edited["revision"].as_u64().expect("accepted");
    wait_until("the edit to arrive", || cluster.nodes[0].shared().tree.load().revision >= revision).await;
}
