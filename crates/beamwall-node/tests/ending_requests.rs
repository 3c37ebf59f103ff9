//! Requests that end what runs them, at the nodes' own interface.
//!
//! One caller sends one request again and again, each time at another node; each back end that begins to run it ends within 0.1 s.
//! Nodes limited the attempts of one try only, and nothing connected the tries of a request, so nine of nine back ends were gone
//! after a few tries and other callers had none left. These tests showed it: all that ends a back end here is that one text.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use beamwall_lab::caller::StreamEnd;
use beamwall_request::async_record::{AsyncRecord, AsyncWork};
use serde_json::json;
use support::{ALDER_KEY, BIRCH_KEY, Cluster, Plan, TestEngine, question, wait_until};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Text under which back ends end.
const MARKER: &str = "ends back ends";
/// Tries of the request.
const TRIES: usize = 8;
/// Pause between two tries: longer than nodes take to tell each other what they saw.
const PAUSE: Duration = Duration::from_millis(500);
/// Ends of back ends after which a request is known for what it is.
const ENDS_UNTIL_KNOWN: usize = 3;
/// Callers that send one request.
const CALLERS_OF_ONE_REQUEST: usize = 18;
/// Times that a request may be taken over from nodes that died with it, plus one.
const MOST_HOLDERS: u32 = 4;

async fn start() -> (Cluster, Arc<AtomicUsize>) {
    let plan = Plan {
        engines_per_zone: 3,
        applications_per_zone: 3,
        plain_service: "[service]\ntype = \"plain\"\nrequest_timeout_ms = 5000\nrepeatable = true\n"
            .to_owned(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    let ended = cluster.end_back_ends_under(MARKER);
    (cluster, ended)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_request_that_ends_engines_ends_no_more_than_three() {
    let (cluster, ended) = start().await;
    // More tokens than an engine makes before it ends.
    let mut harmful = question(0, 2_000);
    harmful.prompt += MARKER;
    let mut last = StreamEnd::Done;
    for number in 0..TRIES {
        last = cluster.nodes[number % 3].caller(ALDER_KEY).stream(&harmful).await.end;
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(ended.load(Ordering::Relaxed), ENDS_UNTIL_KNOWN);
    let is_not_run = matches!(&last, StreamEnd::Refused { outcome, .. } if outcome == "not-run");
    assert!(is_not_run, "{last:?}");
    for node in &cluster.nodes {
        let other = question(1, 20);
        let answer = node.caller(BIRCH_KEY).stream(&other).await;
        assert!(answer.is_exact(&other), "{:?}", answer.end);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_that_ends_back_ends_ends_no_more_than_three() {
    let (cluster, ended) = start().await;
    let mut last = String::new();
    for number in 0..TRIES {
        let caller = cluster.nodes[number % 3].caller(ALDER_KEY);
        last = caller.call("game", "badges", "", "", &json!({"badge": MARKER})).await.outcome;
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(ended.load(Ordering::Relaxed), ENDS_UNTIL_KNOWN);
    assert_eq!(last, "not-run");
    let answer =
        cluster.nodes[1].caller(BIRCH_KEY).call("game", "badges", "", "", &json!({"badge": 1})).await;
    assert_eq!(answer.status, 200);
}

/// Guards against: a request that many callers send is refused, since engines that had written on it for seconds lost their power.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_engines_wrote_on_for_seconds_is_not_held_when_three_lose_power_at_once() {
    let (cluster, _) = start().await;
    // Far more tokens than an engine makes before the test ends.
    let same = question(0, 2_000);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS_OF_ONE_REQUEST {
        let caller = cluster.nodes[number % 3].caller(ALDER_KEY);
        let same = same.clone();
        callers.spawn(async move { caller.stream(&same).await });
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let is_busy = |engine: &&TestEngine| !engine.engine.ran().is_empty();
    let busy: Vec<&TestEngine> = cluster.engines.iter().filter(is_busy).take(ENDS_UNTIL_KNOWN).collect();
    assert_eq!(busy.len(), ENDS_UNTIL_KNOWN, "the request runs at several engines");
    busy.iter().for_each(|engine| engine.engine.ending().end_now());
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        for node in &cluster.nodes {
            let held = node.shared().quarantine.quarantine.registry.held();
            assert!(held.is_empty(), "{held:?}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// An asynchronous request that ends the nodes that hold it was taken over by one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn an_asynchronous_request_is_not_taken_over_for_ever() {
    let cluster = Cluster::start(Plan::default()).await;
    let record = AsyncRecord {
        request: "r-1".to_owned(),
        tenant: "alder".to_owned(),
        holder: "a-node-that-died".to_owned(),
        holders: MOST_HOLDERS,
        work: AsyncWork {
            service: "helper".to_owned(),
            prompt: "a prompt".to_owned(),
            session: None,
            class: "batch".to_owned(),
            max_tokens: 5,
            chat: false,
        },
        result: None,
    };
    let records = cluster.nodes[0].shared().records.clone();
    records.create(&record, Instant::now() + Duration::from_secs(2)).await.expect("it is written");
    let read = async || records.get(&"r-1".into()).await.ok().flatten().and_then(|(_, record)| record.result);
    let deadline = Instant::now() + Duration::from_secs(20);
    let result = loop {
        if let Some(result) = read().await {
            break result;
        }
        assert!(Instant::now() < deadline, "no result");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(result.outcome, "unknown", "{}", result.reason);
    wait_until("no engine to have run it", || {
        cluster.engines.iter().all(|engine| engine.engine.ran().is_empty())
    })
    .await;
}
