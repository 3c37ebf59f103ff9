//! Case 10: a request is passed to a peer after it was sent to as many engines as its route allows, and the peer sends it
//! to further ones.
//!
//! Three machines, three engines of an application service, the traffic of the site's two plain kinds of request. Two of
//! the three engines lose the answers of some requests that they ran; nothing else happens.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_platform_stand_ins::{Capacity, DutiesStandIn, EngineFault, EngineStandIn, ObjectsStandIn};
use review_stand_ins_2::client::{Client, Request};
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::{Bounds, Machine, Plan};
use review_stand_ins_2::record::Record;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

const SERVICE: &str = "bay-app";
const HOST: &str = "kaveri.example";
const KEY: &str = "key-of-a-branch";
const ZONES: [&str; 3] = ["kakkanad", "edappally", "aluva"];
/// Engines to which one client attempt may be sent.
const MAX_ATTEMPTS: usize = 2;
/// Requests beyond that which the rule tolerates.
const TOLERATED: usize = 3;
/// Requests a second of the site: `payment-confirm` and `bay-booking`.
const SAFE_PER_S: f64 = 6.79;
const UNSAFE_PER_S: f64 = 11.0;
const DEADLINE: Duration = Duration::from_millis(600);
/// Work of a request, and places of an engine.
const CAPACITY: Capacity = Capacity { requests: 6, work: Duration::from_millis(15) };
const TRAFFIC: Duration = Duration::from_secs(95);
/// The disruption: two of three engines (share 0.6) reset the connections of four in ten requests that they ran, for 4 s,
/// again and again.
const LOSSY_ENGINES: usize = 2;
const LOST_SHARE: f64 = 0.4;
const LOSES_FOR: Duration = Duration::from_secs(4);
const FIRST_AT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(1);
/// Longest queue of treatments that an engine needs in one spell.
const QUEUED: usize = 1_000;

/// Random numbers from a fixed seed, 0 to 1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn configuration() -> serde_json::Value {
    let route = |prefix: &str, kind: &str, attempts: usize| {
        json!({
            "name": format!("route{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 600,
            "slo_ms": 100, "priority": 2, "service": SERVICE, "max_attempts": attempts, "public": false,
            "sticky_sessions": false, "resumable": false,
        })
    };
    json!({
        "version": 7,
        "routes": [route("/payments/", "safe", MAX_ATTEMPTS), route("/bookings/", "unsafe", 1)],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "kakkanad-branch", "api_keys": [KEY], "priority": 1, "unit": "token_count", "plain_tokens": 200}],
    })
}

fn entry(engine: &EngineStandIn, zone: &str) -> serde_json::Value {
    json!({
        "service": SERVICE, "address": engine.address.to_string(), "zone": zone, "version": "v1", "slots": CAPACITY.requests,
        "state": "ready", "cold_left_ms": 0, "seq": 1,
    })
}

fn plans(store: &Running, duties: &Running) -> Vec<Plan> {
    let addresses = free_addresses(ZONES.len() * 4);
    let listen: Vec<[_; 4]> = addresses.chunks(4).map(|four| [four[0], four[1], four[2], four[3]]).collect();
    let seeds: Vec<_> = listen.iter().map(|four| four[2]).collect();
    let bounds = Bounds { retry_extra: 56, quota_slack: 72_000, report_window_s: 5, grace_s: 8 };
    let plan = |(zone, listen): (&&str, &[_; 4])| Plan {
        name: format!("front-{zone}-1"),
        zone: (*zone).to_owned(),
        listen: *listen,
        seeds: seeds.clone(),
        advertised: None,
        store: store.address,
        duties: duties.address,
        bounds,
    };
    ZONES.iter().zip(&listen).map(plan).collect()
}

/// Sends requests of one kind, spread over the machines, until the time is up.
async fn send_all(clients: Vec<Client>, record: Record, kind: &'static str, per_s: f64, answers: Answers) {
    let (method, prefix) = if kind == "safe" { ("GET", "/payments/") } else { ("POST", "/bookings/") };
    let mut random = Random(if kind == "safe" { 0x9e37_79b9 } else { 0x51ed_270b });
    let mut sent = JoinSet::new();
    let until = Instant::now() + TRAFFIC;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let client = clients[(random.next() * clients.len() as f64) as usize % clients.len()].clone();
        let request = Request {
            method,
            path: format!("{prefix}{number}"),
            host: HOST,
            id: format!("{kind}-{number}"),
            key: KEY.to_owned(),
            deadline: DEADLINE,
            headers: Vec::new(),
            body: if kind == "safe" { Vec::new() } else { format!("slot {number}").into_bytes() },
        };
        let (record, answers) = (record.clone(), answers.clone());
        sent.spawn(async move {
            record.note(&format!("sent {}", request.id));
            let outcome = client.send(&request).await;
            record.note(&format!("answered {} {:?}", request.id, outcome.status));
            *answers.lock().unwrap().entry((kind, outcome.status)).or_default() += 1;
        });
        tokio::time::sleep(Duration::from_secs_f64(-random.next().max(1e-9).ln() / per_s)).await;
    }
    sent.join_all().await;
}

type Answers = Arc<Mutex<BTreeMap<(&'static str, Option<u16>), usize>>>;

/// The disruption, until the task is aborted.
async fn lose_answers(engines: Arc<Vec<EngineStandIn>>, record: Record) {
    let mut random = Random(0x2545_f491);
    tokio::time::sleep(FIRST_AT).await;
    loop {
        let spared = (random.next() * engines.len() as f64) as usize % engines.len();
        for engine in engines.iter().enumerate().filter(|(number, _)| *number != spared).map(|(_, engine)| engine).take(LOSSY_ENGINES) {
            record.note(&format!("{} loses answers", engine.id));
            // On a plain path the second treatment means a usual answer.
            let treat = |random: &mut Random| match random.next() < LOST_SHARE {
                true => EngineFault::ResetAnswer,
                false => EngineFault::SilentAfter(0),
            };
            engine.fail_next((0..QUEUED).map(|_| treat(&mut random)).collect::<Vec<_>>());
        }
        tokio::time::sleep(LOSES_FOR).await;
        engines.iter().for_each(EngineStandIn::forget_faults);
        record.note("no answer is lost");
        tokio::time::sleep(PAUSE).await;
    }
}

/// The engines that ran each request that may run again.
fn engines_by_request(engines: &[EngineStandIn]) -> BTreeMap<String, BTreeSet<String>> {
    let mut ran: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for engine in engines {
        for run in engine.runs().iter().filter(|run| run.ran) {
            let id = run.request.header("x-request-id");
            if id.starts_with("safe-") {
                ran.entry(id.to_owned()).or_default().insert(engine.id.clone());
            }
        }
    }
    ran
}

async fn play(folder: &Path) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(text)?;
    let (store, duties) = (ObjectsStandIn::new(), DutiesStandIn::new());
    store.write("config", "main", configuration());
    let store_server = Running::start(loopback(), store.clone()).await.map_err(|error| format!("{error:?}"))?;
    let duties_server = Running::start(loopback(), duties).await.map_err(|error| format!("{error:?}"))?;
    let mut engines = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let engine = EngineStandIn::start(&format!("i-{number}"), loopback()).await.map_err(text)?;
        engine.set_capacity(Some(CAPACITY));
        store.write("servers", &engine.id, entry(&engine, zone));
        engines.push(engine);
    }
    let engines = Arc::new(engines);
    let mut machines = Vec::new();
    for plan in plans(&store_server, &duties_server) {
        machines.push(Machine::start(plan).map_err(text)?);
    }
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(15)).await {
            return Err(format!("{} isn't ready", machine.plan.name));
        }
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let clients: Vec<Client> = machines.iter().map(|machine| Client::new(machine.plan.listen[0])).collect();
    let trouble = has_trouble().then(|| tokio::spawn(lose_answers(engines.clone(), record.clone())));
    let answers = Answers::default();
    let safe = send_all(clients.clone(), record.clone(), "safe", SAFE_PER_S, answers.clone());
    let once = send_all(clients, record.clone(), "unsafe", UNSAFE_PER_S, answers.clone());
    tokio::join!(safe, once);
    if let Some(trouble) = trouble {
        trouble.abort();
    }
    engines.iter().for_each(|engine| record.note_runs(engine));
    let ran = engines_by_request(&engines);
    let beyond: Vec<_> = ran.iter().filter(|(_, engines)| engines.len() > MAX_ATTEMPTS).collect();
    for (id, engines) in &beyond {
        record.tell(&format!("{id} was run by {engines:?}, and its route allows {MAX_ATTEMPTS} engines"));
    }
    record.tell(&format!("answers: {:?}", answers.lock().unwrap()));
    record.tell(&format!("safe requests run: {}, by more than {MAX_ATTEMPTS} engines: {}, tolerated: {TOLERATED}", ran.len(), beyond.len()));
    record.flush();
    for machine in &mut machines {
        machine.kill().await;
    }
    Ok(beyond.len() > TOLERATED)
}

#[tokio::main]
async fn main() {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else { exit(2) };
    match play(&folder).await {
        Ok(false) => exit(0),
        Ok(true) => exit(1),
        Err(reason) => {
            eprintln!("the case couldn't run: {reason}");
            exit(2)
        }
    }
}
