//! An accepted request completes, and each caller gets the whole answer to its own request.

mod support;

use std::time::Duration;

use beamwall_lab::caller::{StreamAnswer, StreamEnd};
use support::{ALDER_KEY, BIRCH_KEY, Cluster, Plan, question, wait_until};

/// Starts `count` streams of `tokens` tokens over all nodes.
async fn start_streams(
    cluster: &Cluster,
    count: usize,
    tokens: u32,
) -> Vec<tokio::task::JoinHandle<(usize, StreamAnswer)>> {
    (0..count)
        .map(|number| {
            let key = if number % 2 == 0 { ALDER_KEY } else { BIRCH_KEY };
            let caller = cluster.nodes[number % cluster.nodes.len()].caller(key);
            tokio::spawn(async move { (number, caller.stream(&question(number, tokens)).await) })
        })
        .collect()
}

async fn assert_all_exact(
    streams: Vec<tokio::task::JoinHandle<(usize, StreamAnswer)>>,
    tokens: u32,
) -> Vec<StreamAnswer> {
    let mut answers = Vec::new();
    for stream in streams {
        let (number, answer) = stream.await.expect("no panic");
        assert!(
            answer.is_exact(&question(number, tokens)),
            "stream {number}: {:?} after {} tokens",
            answer.end,
            answer.tokens
        );
        answers.push(answer);
    }
    answers
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_reclaim_of_their_zone_after_a_notice() {
    let cluster = Cluster::start(Plan { engines_per_zone: 2, speed: 2.0, ..Plan::default() }).await;
    let streams = start_streams(&cluster, 24, 200).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.reclaim_zone("a", Duration::from_millis(800));
    let answers = assert_all_exact(streams, 200).await;
    let moved = answers.iter().filter(|answer| answer.usage["attempts"].as_u64() > Some(1)).count();
    assert!(moved > 0, "no stream had to move: the test proves nothing");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_an_engine_that_dies_without_a_word() {
    let cluster = Cluster::start(Plan { engines_per_zone: 2, speed: 2.0, ..Plan::default() }).await;
    let streams = start_streams(&cluster, 24, 120).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.engine("helper-a0").engine.kill();
    cluster.engine("helper-b1").engine.kill();
    let answers = assert_all_exact(streams, 120).await;
    let moved = answers.iter().filter(|answer| answer.usage["attempts"].as_u64() > Some(1)).count();
    assert!(moved > 0, "no stream had to move: the test proves nothing");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_leave_an_engine_that_answers_polls_but_computes_nothing() {
    let cluster = Cluster::start(Plan { speed: 4.0, ..Plan::default() }).await;
    let streams = start_streams(&cluster, 12, 150).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.engine("helper-a0").engine.stall();
    let answers = assert_all_exact(streams, 150).await;
    let moved = answers.iter().filter(|answer| answer.usage["attempts"].as_u64() > Some(1)).count();
    assert!(moved > 0, "no stream had to move: the test proves nothing");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_interrupts_no_request_that_can_finish() {
    let mut cluster = Cluster::start(Plan { speed: 4.0, drain_ms: 20_000, ..Plan::default() }).await;
    let streams = start_streams(&cluster, 12, 150).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.nodes[0].drain().await;
    assert_all_exact(streams, 150).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_finish_on_a_leaving_node_continues_at_another() {
    let mut cluster = Cluster::start(Plan { speed: 2.0, drain_ms: 1_200, ..Plan::default() }).await;
    let caller = cluster.nodes[0].caller(ALDER_KEY);
    let stream = tokio::spawn(async move { caller.stream(&question(1, 400)).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.nodes[0].drain().await;
    let first = stream.await.expect("no panic");
    assert_eq!(first.end, StreamEnd::Interrupted, "{first:?}");
    assert!(first.tokens > 0);
    let rest = cluster.nodes[1].caller(ALDER_KEY).resume(&first.request, &first.last_event).await;
    assert_eq!(rest.end, StreamEnd::Done);
    let whole = StreamAnswer { text: format!("{}{}", first.text, rest.text), ..rest };
    assert!(whole.is_exact(&question(1, 400)), "tokens lost or doubled at the seam");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_tenant_cannot_read_the_request_of_another() {
    let cluster = Cluster::start(Plan::default()).await;
    let body = serde_json::json!({"model": "helper", "prompt": "a draft", "max_tokens": 20}).to_string();
    let headers = [("prefer", "respond-async")];
    let alder = cluster.nodes[0].caller(ALDER_KEY);
    let accepted =
        alder.fetch(hyper::Method::POST, "/v1/completions", &headers, body.into()).await.expect("an answer");
    assert_eq!(accepted.0.as_u16(), 202);
    let value: serde_json::Value = serde_json::from_slice(&accepted.2).expect("JSON");
    let path = format!("/v1/requests/{}", value["id"].as_str().expect("an id"));
    for node in &cluster.nodes {
        let stranger =
            node.caller(BIRCH_KEY).fetch(hyper::Method::GET, &path, &[], bytes::Bytes::new()).await;
        assert_eq!(stranger.expect("an answer").0.as_u16(), 404);
    }
    let owner =
        cluster.nodes[2].caller(ALDER_KEY).fetch(hyper::Method::GET, &path, &[], bytes::Bytes::new()).await;
    assert_eq!(owner.expect("an answer").0.as_u16(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_asynchronous_request_survives_the_kill_of_its_node() {
    let mut cluster = Cluster::start(Plan { speed: 4.0, ..Plan::default() }).await;
    let asked = question(7, 300);
    let body = serde_json::json!({"model": "helper", "prompt": asked.prompt, "max_tokens": 300}).to_string();
    let caller = cluster.nodes[0].caller(ALDER_KEY);
    let headers = [("prefer", "respond-async")];
    let accepted =
        caller.fetch(hyper::Method::POST, "/v1/completions", &headers, body.into()).await.expect("an answer");
    assert_eq!(accepted.0.as_u16(), 202);
    let value: serde_json::Value = serde_json::from_slice(&accepted.2).expect("JSON");
    let key = format!("async/{}", value["id"].as_str().expect("an id"));
    cluster.nodes[0].kill();
    let text = || {
        let stored = cluster.platform.values(&key);
        let record: serde_json::Value = serde_json::from_str(&stored.first()?.1).ok()?;
        record["result"]["text"].as_str().map(str::to_owned)
    };
    wait_until("the request to be taken over and finished", || text().is_some()).await;
    assert_eq!(text().as_deref(), Some(beamwall_lab::text::answer(&asked.prompt, 300).as_str()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_its_engine() {
    let cluster = Cluster::start(Plan { speed: 1.0, ..Plan::default() }).await;
    let caller = cluster.nodes[0].caller(ALDER_KEY);
    let stream = tokio::spawn(async move { caller.stream(&question(1, 3_000)).await });
    let open = || cluster.nodes[0].shared().registry.open().len();
    wait_until("the request to run", || open() == 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    stream.abort();
    wait_until("the request to be cancelled", || open() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_engine_has_begun_leaves_one_that_computes_nothing_in_time() {
    let cluster = Cluster::start(Plan { speed: 8.0, ..Plan::default() }).await;
    cluster.engine("helper-a0").engine.stall();
    let answers = assert_all_exact(start_streams(&cluster, 9, 20).await, 20).await;
    let moved = answers.iter().filter(|answer| answer.usage["attempts"].as_u64() > Some(1)).count();
    assert!(moved > 0, "no stream had to move: the test proves nothing");
}
