//! Bad input gets a clear error with the right status and loses nothing.

mod support;

use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use support::{ALDER_KEY, Cluster, Plan, question};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn post(
    cluster: &Cluster,
    key: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> (u16, Value) {
    let caller = cluster.nodes[0].caller(key);
    let (status, _, body) = caller.fetch(Method::POST, path, headers, body.into()).await.expect("an answer");
    (status.as_u16(), serde_json::from_slice(&body).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_bad_request_gets_its_own_typed_error() {
    let other = "kind = \"tenant\"\n[tenant]\nservices = [\"game\"]\nkey_digests = [\"".to_owned()
        + &beamwall_config::KeyDigest::of("game-only").to_string()
        + "\"]\n";
    let documents = vec![("/studios/game-only".to_owned(), other)];
    let cluster = Cluster::start(Plan { documents, ..Plan::default() }).await;
    let chat = "/v1/chat/completions";
    let good = json!({"model": "helper", "messages": [{"role": "user", "content": "x"}], "max_tokens": 2});
    let mut unknown = good.clone();
    unknown["model"] = json!("nothing");
    let mut too_long = good.clone();
    too_long["max_tokens"] = json!(1_000_000);
    let mut empty = good.clone();
    empty["messages"] = json!([]);
    let large = "x".repeat(5 << 20);
    let cases = [
        ("a wrong key", "wrong", chat, vec![], good.to_string(), 401, "unauthorized"),
        ("a tenant without the service", "game-only", chat, vec![], good.to_string(), 403, "forbidden"),
        ("an unknown model", ALDER_KEY, chat, vec![], unknown.to_string(), 404, "unknown_model"),
        ("broken JSON", ALDER_KEY, chat, vec![], "{\"model\":".to_owned(), 400, "invalid_request"),
        ("JSON of another shape", ALDER_KEY, chat, vec![], "[1, 2]".to_owned(), 400, "invalid_request"),
        ("no messages", ALDER_KEY, chat, vec![], empty.to_string(), 400, "invalid_request"),
        ("too many tokens", ALDER_KEY, chat, vec![], too_long.to_string(), 400, "invalid_request"),
        (
            "an unknown class",
            ALDER_KEY,
            chat,
            vec![("beamwall-class", "urgent")],
            good.to_string(),
            400,
            "invalid_request",
        ),
        ("too large a body", ALDER_KEY, chat, vec![], large, 413, "unreadable_body"),
        (
            "an unknown service",
            ALDER_KEY,
            "/services/nothing/x",
            vec![],
            String::new(),
            404,
            "unknown_service",
        ),
        (
            "a model as plain service",
            ALDER_KEY,
            "/services/helper/x",
            vec![],
            String::new(),
            404,
            "unknown_service",
        ),
        ("an unknown path", ALDER_KEY, "/v2/nothing", vec![], String::new(), 404, "no_such_path"),
    ];
    for (what, key, path, headers, body, status, kind) in cases {
        let (got, answer) = post(&cluster, key, path, &headers, body).await;
        assert_eq!((got, answer["error"]["type"].as_str()), (status, Some(kind)), "{what}: {answer}");
        assert_eq!(answer["error"]["outcome"], "not-run", "{what}");
    }
    let long_key = "k".repeat(200);
    let headers = [("idempotency-key", long_key.as_str())];
    let (status, _) = post(&cluster, ALDER_KEY, "/services/game/saves", &headers, String::new()).await;
    assert_eq!(status, 400);
    assert!(cluster.ran().is_empty(), "a refused request must run nowhere");
    let asked = question(1, 5);
    assert!(
        cluster.nodes[0].caller(ALDER_KEY).stream(&asked).await.is_exact(&asked),
        "the node still serves"
    );
}

async fn raw(cluster: &Cluster, text: &[u8], wait: Duration) -> String {
    let mut stream = TcpStream::connect(cluster.nodes[0].settings.callers).await.expect("a connection");
    stream.write_all(text).await.expect("it can be sent");
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(wait, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_framing_and_slow_senders_are_cut_off() {
    let cluster = Cluster::start(Plan::default()).await;
    let wait = Duration::from_secs(3);
    let garbage = raw(&cluster, b"\x16\x03\x01garbage\r\n\r\n", wait).await;
    assert!(garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    let both = b"POST /services/game/saves HTTP/1.1\r\nhost: x\r\nauthorization: Bearer alder-key\r\n\
        content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n";
    let both = raw(&cluster, both, wait).await;
    assert!(!both.contains("no_such_path"), "a second request was read out of the first one's body: {both}");
    let lengths = b"POST /services/game/saves HTTP/1.1\r\nhost: x\r\nauthorization: Bearer alder-key\r\n\
        content-length: 3\r\ncontent-length: 7\r\n\r\nabcdefg";
    let lengths = raw(&cluster, lengths, wait).await;
    assert!(lengths.is_empty() || lengths.starts_with("HTTP/1.1 400"), "{lengths}");
    let slow = b"POST /services/game/saves HTTP/1.1\r\nhost: x\r\nauthorization: Bearer alder-key\r\ncontent-length: 100\r\n\r\nabc";
    let slow = raw(&cluster, slow, wait).await;
    assert!(slow.starts_with("HTTP/1.1 408") && slow.contains("unreadable_body"), "{slow}");
    assert!(cluster.ran().iter().all(|call| call.path != "/smuggled"));
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_refuse_at_once_and_say_when_to_come_back() {
    let document = format!(
        "kind = \"tenant\"\n[tenant]\nservices = [\"helper\", \"game\"]\ncalls_per_second = 6\nkey_digests = [\"{}\"]\n",
        beamwall_config::KeyDigest::of("small")
    );
    let cluster =
        Cluster::start(Plan { documents: vec![("/studios/small".to_owned(), document)], ..Plan::default() })
            .await;
    let mut refused = None;
    for _ in 0..40 {
        let caller = cluster.nodes[0].caller("small");
        let (status, headers, body) = caller
            .fetch(Method::POST, "/services/game/saves", &[], bytes::Bytes::new())
            .await
            .expect("an answer");
        if status.as_u16() == 429 {
            refused = Some((headers, body));
            break;
        }
    }
    let (headers, body) = refused.expect("the limit holds");
    assert!(headers.contains_key("retry-after"));
    let body: Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(body["error"]["type"], "limit_exceeded");
    assert!(body["error"]["retry_after_ms"].as_u64() > Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_name_node_back_end_and_reason_and_metrics_count_by_tenant_and_class() {
    let cluster = Cluster::start(Plan::default()).await;
    let asked = question(1, 5);
    assert!(cluster.nodes[0].caller(ALDER_KEY).stream(&asked).await.is_exact(&asked));
    let answer = cluster.nodes[0].caller(ALDER_KEY).call("game", "saves", "", "", &json!({})).await;
    assert!(answer.backend.starts_with("game-"));
    let metrics = cluster.nodes[0].operator().get("/metrics").await.expect("an answer").text();
    for name in ["first_token", "between_tokens", "queue_wait", "request"] {
        let line = format!("beamwall_{name}_seconds_count{{class=\"interactive\",tenant=\"alder\"}}");
        assert!(metrics.contains(&line), "no {line} in\n{metrics}");
    }
    let explained = cluster.nodes[0].operator().get("/v1/admin/explain/route?service=helper&session=s").await;
    let explained: Value = explained.expect("an answer").json().expect("JSON");
    assert_eq!(explained["decision"]["reason"], "session-affinity");
    assert_eq!(explained["candidates"].as_array().map(Vec::len), Some(3));
}
