//! A gateway starts with seeds none of which is there any more.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, Question};
use crate::platform::{self, Gateway};
use crate::record::Record;

/// Entry machines that know each other, and the seeds of the one that joins.
const KNOWN: usize = 3;
const SEEDS: usize = 3;
/// The tenant's quota, in tokens, and its requests.
const RATE_PER_S: f64 = 18_000.0;
const BURST: f64 = 18_000.0;
const REQUEST_TOKENS: f64 = 1_000.0;
/// Requests a second at each of two gateways: more than the whole quota.
const REQUESTS_PER_S: f64 = 30.0;
/// The bounds of the rule.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 72_000.0;
/// How long the gateways run before the requests come, and how long these come.
const CALM: Duration = Duration::from_secs(25);
const LENGTH: Duration = Duration::from_secs(24);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"hint\",\"host\":\"{HOST}\",\"path_prefix\":\"/hint/\",\
         \"kind\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":800,\"priority\":2,\"service\":\"pool\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":610}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"studio\",\"api_keys\":[\"key-of-studio\"],\
         \"unit\":\"token_count\",\"plain_tokens\":200,\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}}]}}"
    )
}

/// Sends one request; returns whether an engine ran it.
fn ask(record: &Record, gateway: SocketAddr, id: &str) -> bool {
    let question = Question {
        method: "POST",
        path: "/hint/1",
        id,
        key: "key-of-studio",
        deadline_ms: 4_000,
        headers: "X-Model: m\r\nX-Token-Counts: 900,100\r\nX-Prefix-Hash: c0ffee:400,aa01:500\r\n".to_owned(),
        body: b"a hint",
    };
    record.add(&format!("sent {id}"));
    let answer = question.ask(gateway);
    record.add(&format!("answered {id}: {} engine={}", answer.status, answer.is_signed));
    answer.is_signed
}

/// The most tokens that ran in one window.
fn most_in_window(times: &[Duration]) -> f64 {
    let in_window =
        |from: &Duration| times.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    times.iter().map(in_window).max().unwrap_or(0) as f64 * REQUEST_TOKENS
}

/// Plays the case.
pub fn play(record: Record, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(&config())?;
    deployment.add_engines("pool", 128, 9, &["first_ms=100"])?;
    if !deployment.add_gateways(KNOWN)? {
        deployment.record_logs(&record);
        return Err(io::Error::other("the gateways did not become ready"));
    }
    let stale = platform::free_addresses(SEEDS);
    let sound: Vec<SocketAddr> = deployment.gateways.iter().map(|gateway| gateway.peers).collect();
    let listen: [SocketAddr; 4] =
        platform::free_addresses(4).try_into().map_err(|_| io::ErrorKind::AddrNotAvailable)?;
    deployment.add_gateway(listen, if has_trouble { &stale } else { &sound })?;
    record.tell(&format!("front-{KNOWN} joins; its seeds are there: {}", !has_trouble));
    if !deployment.gateways.iter().all(Gateway::wait_ready) {
        deployment.record_logs(&record);
        return Err(io::Error::other("the gateways did not become ready"));
    }
    thread::sleep(CALM);
    let ran: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let record = Arc::new(record);
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut sent = 0;
    while started.elapsed() < LENGTH {
        if started.elapsed().as_secs_f64() * REQUESTS_PER_S >= f64::from(sent) {
            sent += 1;
            for gateway in [0, KNOWN] {
                let (record, ran, callers) =
                    (record.clone(), ran.clone(), deployment.gateways[gateway].callers);
                clients.push(thread::spawn(move || {
                    let at = started.elapsed();
                    if ask(&record, callers, &format!("front-{gateway}-{sent:04}")) {
                        ran.lock().unwrap().push(at);
                    }
                }));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    for engine in &deployment.engines {
        engine
            .ran
            .lock()
            .unwrap()
            .iter()
            .for_each(|run| record.add(&format!("engine {} ran {run}", engine.id)));
    }
    let most = most_in_window(&ran.lock().unwrap());
    let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    record.tell(&format!("{most:.0} tokens of the tenant ran in one window of 8 s; allowed: {allowed:.0}"));
    Ok(most > allowed)
}
