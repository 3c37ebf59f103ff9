//! Real processes: killed, frozen and terminated while they serve.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use beamwall_ctl::lab::deployment::{Deployment, Programs};
use beamwall_ctl::lab::sample::{Sample, TENANT_KEY};
use beamwall_http::{JsonClient, Pool};
use beamwall_lab::application::RanCall;
use beamwall_lab::caller::{CallAnswer, Caller, Question, StreamAnswer};
use serde_json::{Value, json};

const SPEED: f64 = 4.0;

fn programs() -> Programs {
    let control = PathBuf::from(env!("CARGO_BIN_EXE_beamwallctl"));
    Programs { node: control.with_file_name("beamwall"), control }
}

struct Started {
    deployment: Deployment,
    directory: PathBuf,
}

async fn start(name: &str, nodes_per_zone: usize) -> Started {
    let directory = std::env::temp_dir().join(format!("beamwall-test-{name}-{}", std::process::id()));
    let sample = Sample {
        zones: 3,
        nodes_per_zone,
        engines_per_zone: 1,
        applications_per_zone: 1,
        threads: 2,
        ..Sample::default()
    };
    sample.write(&directory).expect("the directory can be written");
    let deployment =
        Deployment::start_with(programs(), &directory, SPEED).await.expect("the deployment starts");
    Started { deployment, directory }
}

impl Started {
    async fn stop(self) {
        self.deployment.stop().await;
        let _ = std::fs::remove_dir_all(&self.directory);
    }

    fn caller(&self, node: usize) -> Caller {
        Caller::new(self.deployment.nodes[node].callers, TENANT_KEY)
    }

    async fn status(&self, node: usize) -> Value {
        self.deployment.operator(node).get("/v1/admin/status").await.unwrap_or_default()
    }

    async fn ran(&self) -> Vec<RanCall> {
        let mut ran = Vec::new();
        for machine in self.deployment.machines.iter().filter(|machine| machine.class == "application") {
            ran.extend(self.ask::<Vec<RanCall>>(&machine.address, "/_lab/ran").await);
        }
        ran
    }

    async fn ask<T: serde::de::DeserializeOwned>(&self, address: &str, path: &str) -> T {
        let client = JsonClient::new(
            Pool::new(Duration::from_secs(1)),
            address.parse().expect("an address"),
            Duration::from_secs(5),
        );
        client.get(path).await.expect("an answer").json().expect("JSON")
    }
}

fn question(number: usize, max_tokens: u32) -> Question {
    Question {
        model: "helper".to_owned(),
        prompt: format!("question {number} {}", "with some context ".repeat(6)),
        max_tokens,
        session: String::new(),
        class: String::new(),
    }
}

fn ask_all(
    started: &Started,
    count: usize,
    tokens: u32,
) -> Vec<tokio::task::JoinHandle<(usize, usize, StreamAnswer)>> {
    let nodes = started.deployment.nodes.len();
    (0..count)
        .map(|number| {
            let caller = started.caller(number % nodes);
            tokio::spawn(
                async move { (number, number % nodes, caller.stream(&question(number, tokens)).await) },
            )
        })
        .collect()
}

fn call_all(started: &Started, count: usize) -> Vec<tokio::task::JoinHandle<(String, CallAnswer)>> {
    let nodes = started.deployment.nodes.len();
    (0..count)
        .map(|number| {
            // Each key is sent at two nodes.
            let caller = started.caller(number % nodes);
            let (key, call) = (format!("key-{}", number / 2), format!("call-{number}"));
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(number as u64 * 10)).await;
                let body = json!({"badge": key});
                (call.clone(), caller.call("game", "badges", &key, &call, &body).await)
            })
        })
        .collect()
}

async fn assert_calls_hold(started: &Started, calls: Vec<tokio::task::JoinHandle<(String, CallAnswer)>>) {
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.expect("no panic"));
    }
    let ran = started.ran().await;
    let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for call in &ran {
        *by_key.entry(call.key.as_str()).or_default() += 1;
    }
    assert!(by_key.values().all(|count| *count == 1), "a key ran twice: {by_key:?}");
    for (call, answer) in &told {
        let did_run = ran.iter().any(|ran| ran.call == *call);
        assert!(answer.outcome != "not-run" || !did_run, "{call} was told not run, but ran");
    }
    assert!(
        told.iter().any(|(_, answer)| answer.status == 200),
        "no call succeeded: the test proves nothing"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_harms_no_other_and_no_call_runs_twice() {
    let mut started = start("kill", 1).await;
    let streams = ask_all(&started, 12, 200);
    let calls = call_all(&started, 60);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let victim = started.deployment.nodes[0].node.to_string();
    started.deployment.signal(&victim, "KILL").await.expect("the signal is sent");
    for stream in streams {
        let (number, node, answer) = stream.await.expect("no panic");
        let whole = beamwall_lab::text::answer(&question(number, 200).prompt, 200);
        assert!(whole.starts_with(&answer.text), "stream {number} got a foreign or broken text");
        assert!(
            node == 0 || answer.is_exact(&question(number, 200)),
            "stream {number} at node {node}: {:?}",
            answer.end
        );
    }
    assert_calls_hold(&started, calls).await;
    started.deployment.start_node(0).expect("the node starts again");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while started.status(0).await["ready"] != true {
        assert!(tokio::time::Instant::now() < deadline, "the node did not come back");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    started.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_node_drains_and_exits_cleanly() {
    let mut started = start("term", 1).await;
    let streams = ask_all(&started, 9, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let leaving = started.deployment.nodes[1].node.to_string();
    started.deployment.signal(&leaving, "TERM").await.expect("the signal is sent");
    for stream in streams {
        let (number, _, answer) = stream.await.expect("no panic");
        assert!(answer.is_exact(&question(number, 200)), "stream {number}: {:?}", answer.end);
    }
    assert_eq!(started.deployment.wait_for_end(&leaving, Duration::from_secs(30)).await, Some(0));
    started.stop().await;
}

/// Name and epoch of the node that holds the lease of zone a.
async fn holder(started: &Started, node: usize) -> Option<(String, u64)> {
    let status = started.status(node).await;
    let leases = status["leases"].as_array()?;
    let held = leases.iter().find(|lease| lease["lease"] == "coordinator-a" && lease["held_here"] == true)?;
    Some((status["node"].as_str()?.to_owned(), held["epoch"].as_u64()?))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_coordinator_gives_no_order_after_its_successor() {
    let started = start("freeze", 2).await;
    let calls = call_all(&started, 40);
    let mut first = None;
    for _ in 0..200 {
        for node in 0..2 {
            first = first.or(holder(&started, node).await.map(|(name, epoch)| (node, name, epoch)));
        }
        if first.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (frozen, name, epoch) = first.expect("one node of zone a coordinates");
    started.deployment.signal(&name, "STOP").await.expect("the signal is sent");
    let other = 1 - frozen;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(30);
    let successor = loop {
        if let Some((_, epoch)) = holder(&started, other).await {
            break epoch;
        }
        assert!(tokio::time::Instant::now() < deadline, "nobody took the lease over");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert!(successor > epoch);
    // The successor orders a new version; then the frozen node wakes up and still sees the old one.
    let client = started.deployment.operator(other);
    let tree = client.tree("/helper").await.expect("the tree");
    let text = tree.documents["/helper"].clone() + "version = \"2\"\n";
    let edit = json!({"base_revision": tree.revision, "changes": [{"path": "/helper", "text": text}]});
    client.post("/v1/admin/tree", &edit).await.expect("the edit is accepted");
    started.deployment.signal(&name, "CONT").await.expect("the signal is sent");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(holder(&started, frozen).await, None, "the woken node must know that its lease is over");
    let engine =
        started.deployment.machines.iter().find(|machine| machine.id == "helper-a0").expect("listed");
    let orders: Vec<Value> = started.ask(&engine.address, "/_lab/orders").await;
    let epochs: Vec<u64> = orders.iter().filter_map(|order| order["epoch"].as_u64()).collect();
    assert!(epochs.windows(2).all(|pair| pair[0] <= pair[1]), "an older epoch gave an order: {epochs:?}");
    let load: Value = started.ask(&engine.address, "/load").await;
    assert_eq!(load["version"], "2", "orders {orders:?}");
    assert_calls_hold(&started, calls).await;
    started.stop().await;
}

#[test]
fn settings_with_faults_are_refused_with_every_line() {
    let directory = std::env::temp_dir().join(format!("beamwall-test-settings-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let file = directory.join("node.toml");
    let text = "[node]\nname = \"\"\nzoen = \"a\"\n[listen]\ncallers = \"localhost:1\"\noperators = \"127.0.0.1:2\"\n";
    std::fs::write(&file, text).expect("the file can be written");
    for command in ["validate", "run"] {
        let output = std::process::Command::new(programs().node)
            .args([command, "--settings"])
            .arg(&file)
            .output()
            .expect("the program runs");
        assert_eq!(output.status.code(), Some(2));
        let shown = String::from_utf8_lossy(&output.stderr);
        for part in [
            ":2: node.name",
            ":3: node.zoen: unknown key",
            ":5: listen.callers",
            "listen.peers: key is missing",
            "platform.address",
        ] {
            assert!(shown.contains(part), "{command} does not name {part}: {shown}");
        }
    }
    let _ = std::fs::remove_dir_all(&directory);
}

#[test]
fn the_sample_deployments_are_valid() {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for sample in ["puzzle-world", "kaveri-wheelworks"] {
        let tree = examples.join(sample).join("tree");
        let output = std::process::Command::new(programs().control)
            .arg("validate")
            .arg(&tree)
            .output()
            .expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        for node in std::fs::read_dir(examples.join(sample).join("nodes")).expect("nodes") {
            let file = node.expect("a file").path();
            let output = std::process::Command::new(programs().node)
                .args(["validate", "--settings"])
                .arg(&file)
                .output();
            assert!(output.expect("it runs").status.success(), "{}", file.display());
        }
    }
}

/// A deployment whose addresses another one has: its processes end at once, and the other one's answer at their addresses. It was
/// taken for started, and whoever asked it got the answers of the other.
#[tokio::test]
async fn a_deployment_on_the_addresses_of_another_one_is_not_taken_for_started() {
    let started = start("addresses", 1).await;
    let second = Deployment::start_with(programs(), &started.directory, SPEED).await;
    let reason = second.err().expect("it does not start").to_string();
    assert!(reason.contains("ended"), "{reason}");
    started.stop().await;
}
