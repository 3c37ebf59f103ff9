//! Case 10: a request is passed to a peer after it was sent to as many engines as its route allows, and the peer sends it
//! to further ones.
//!
//! The site's eight machines, its nine model engines and three application engines, and the traffic of four of its kinds of
//! request. Six in ten engines of each service lose the answers of some requests that they ran; nothing else happens.

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

const APPLICATION: &str = "bay-app";
const MODEL: &str = "model-pool";
const HOST: &str = "kaveri.example";
const KEY: &str = "key-of-a-branch";
const ZONES: [&str; 3] = ["kakkanad", "edappally", "aluva"];
/// Machines of the site.
const MACHINES: usize = 8;
/// Engines to which one client attempt may be sent.
const MAX_ATTEMPTS: usize = 2;
/// Requests beyond that which the rule tolerates.
const TOLERATED: usize = 3;
/// A kind of request of the site.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    per_s: f64,
    deadline: Duration,
    /// `X-Token-Counts`; empty for plain requests.
    tokens: &'static str,
    /// Whether a request may run again.
    repeatable: bool,
}

const KINDS: [Kind; 4] = [
    Kind {
        name: "payment-confirm",
        method: "GET",
        path: "/payments/",
        per_s: 6.79,
        deadline: Duration::from_millis(600),
        tokens: "",
        repeatable: true,
    },
    Kind {
        name: "bay-booking",
        method: "POST",
        path: "/bookings/",
        per_s: 11.0,
        deadline: Duration::from_millis(600),
        tokens: "",
        repeatable: false,
    },
    Kind {
        name: "counter-chat",
        method: "POST",
        path: "/chat/stream-",
        per_s: 17.1,
        deadline: Duration::from_secs(15),
        tokens: "715,234",
        repeatable: true,
    },
    Kind {
        name: "warranty-review",
        method: "POST",
        path: "/review/stream-",
        per_s: 11.5,
        deadline: Duration::from_secs(8),
        tokens: "9190,51",
        repeatable: true,
    },
];
/// Events of a stream.
const EVENTS: u32 = 17;
/// Engines of each service, with the work of a request and the places of an engine.
const APPLICATION_ENGINES: usize = 3;
const MODEL_ENGINES: usize = 9;
const APPLICATION_CAPACITY: Capacity = Capacity { requests: 6, work: Duration::from_millis(15) };
const MODEL_CAPACITY: Capacity = Capacity { requests: 128, work: Duration::from_millis(20) };
const TRAFFIC: Duration = Duration::from_secs(90);
/// A run that takes longer, for example since machines start slowly, is given up: 120 s are allowed.
const LONGEST_RUN: Duration = Duration::from_secs(115);
/// The disruption, at each service: six in ten of its engines reset the connections of four in ten requests that they ran, for 4 s,
/// again and again.
const LOSSY_SHARE: f64 = 0.6;
const LOST_SHARE: f64 = 0.4;
const LOSES_FOR: Duration = Duration::from_secs(4);
const FIRST_AT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(500);
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
    let route = |prefix: &str, kind: &str, service: &str, attempts: usize, timeout_ms: u32, slo_ms: u32| {
        json!({
            "name": format!("route{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "slo_ms": slo_ms, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
            "sticky_sessions": service == MODEL, "resumable": kind == "streaming",
        })
    };
    json!({
        "version": 7,
        "routes": [
            route("/payments/", "safe", APPLICATION, MAX_ATTEMPTS, 600, 100),
            route("/bookings/", "unsafe", APPLICATION, 1, 600, 100),
            route("/chat/", "streaming", MODEL, MAX_ATTEMPTS, 15_000, 800),
            route("/review/", "streaming", MODEL, MAX_ATTEMPTS, 8_000, 1_200),
        ],
        "services": [
            {"name": APPLICATION, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
            {"name": MODEL, "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false,
             "engine": {"slots": 128, "kv_capacity_tokens": 287136, "stride": 3, "models": [{"name": "m"}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "kakkanad-branch", "api_keys": [KEY], "priority": 1, "unit": "token_count", "plain_tokens": 200}],
    })
}

fn entry(engine: &EngineStandIn, service: &str, zone: &str, slots: usize) -> serde_json::Value {
    json!({
        "service": service, "address": engine.address.to_string(), "zone": zone, "version": "v1", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "seq": 1,
    })
}

/// Starts the engines of a service and lists them.
async fn start_engines(
    store: &ObjectsStandIn,
    service: &str,
    count: usize,
    capacity: Capacity,
) -> std::io::Result<Vec<EngineStandIn>> {
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = EngineStandIn::start(&format!("{service}-{number}"), loopback()).await?;
        engine.set_capacity(Some(capacity));
        store.write(
            "servers",
            &engine.id,
            entry(&engine, service, ZONES[number % ZONES.len()], capacity.requests),
        );
        engines.push(engine);
    }
    Ok(engines)
}

fn plans(store: &Running, duties: &Running) -> Vec<Plan> {
    let addresses = free_addresses(MACHINES * 4);
    let listen: Vec<[_; 4]> = addresses.chunks(4).map(|four| [four[0], four[1], four[2], four[3]]).collect();
    let seeds: Vec<_> = listen.iter().take(3).map(|four| four[2]).collect();
    let bounds = Bounds { retry_extra: 56, quota_slack: 72_000, report_window_s: 5, grace_s: 8 };
    let plan = |(number, listen): (usize, &[_; 4])| Plan {
        name: format!("front-{}-{}", ZONES[number % ZONES.len()], number / ZONES.len() + 1),
        zone: ZONES[number % ZONES.len()].to_owned(),
        listen: *listen,
        seeds: seeds.clone(),
        advertised: None,
        store: store.address,
        duties: duties.address,
        bounds,
    };
    listen.iter().enumerate().map(plan).collect()
}

/// Sends requests of one kind, spread over the machines, until the time is up.
async fn send_all(clients: Vec<Client>, record: Record, kind: Kind, answers: Answers) {
    let mut random = Random(0x9e37_79b9 ^ kind.name.len() as u64);
    let mut sent = JoinSet::new();
    let until = Instant::now() + TRAFFIC;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let client = clients[(random.next() * clients.len() as f64) as usize % clients.len()].clone();
        let request = request(kind, number);
        let (record, answers) = (record.clone(), answers.clone());
        sent.spawn(async move {
            record.note(&format!("sent {}", request.id));
            let outcome = client.send(&request).await;
            record.note(&format!("answered {} {:?} whole {}", request.id, outcome.status, outcome.whole));
            *answers.lock().unwrap().entry((kind.name, outcome.status)).or_default() += 1;
        });
        tokio::time::sleep(Duration::from_secs_f64(-random.next().max(1e-9).ln() / kind.per_s)).await;
    }
    sent.join_all().await;
}

fn request(kind: Kind, number: u32) -> Request {
    let is_stream = !kind.tokens.is_empty();
    let prompt = || {
        let parts = format!("5c1e07a2:100,{:x}:68,{:x}:500", 1 + number % 50, 0x0010_0000 + number);
        vec![
            ("X-Model", "m".to_owned()),
            ("X-Token-Counts", kind.tokens.to_owned()),
            ("X-Prefix-Hash", parts),
        ]
    };
    let headers = if is_stream { prompt() } else { Vec::new() };
    Request {
        method: kind.method,
        path: format!("{}{}", kind.path, if is_stream { EVENTS } else { number }),
        host: HOST,
        id: format!("{}-{number}", kind.name),
        key: KEY.to_owned(),
        deadline: kind.deadline,
        headers: headers.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
        body: if kind.method == "GET" { Vec::new() } else { format!("request {number}").into_bytes() },
    }
}

type Answers = Arc<Mutex<BTreeMap<(&'static str, Option<u16>), usize>>>;

/// The disruption at the engines of one service, until the task is aborted.
async fn lose_answers(engines: Arc<Vec<EngineStandIn>>, record: Record) {
    let mut random = Random(0x2545_f491 ^ engines.len() as u64);
    // Share 0.6 of three engines is two, and of nine five.
    let lossy = (engines.len() as f64 * LOSSY_SHARE).round() as usize;
    tokio::time::sleep(FIRST_AT).await;
    loop {
        let first = (random.next() * engines.len() as f64) as usize;
        for engine in engines.iter().cycle().skip(first).take(lossy) {
            record.note(&format!("{} loses answers", engine.id));
            // A stream that is cut after more events than it has is a usual one, and a plain answer as well.
            let treat = |random: &mut Random| match random.next() < LOST_SHARE {
                true => EngineFault::ResetAnswer,
                false => EngineFault::CutStreamAfter(u64::MAX),
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
fn engines_by_request<'a>(
    engines: impl Iterator<Item = &'a EngineStandIn>,
) -> BTreeMap<String, BTreeSet<String>> {
    let mut ran: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for engine in engines {
        for run in engine.runs().iter().filter(|run| run.ran) {
            let id = run.request.header("x-request-id");
            if KINDS.iter().any(|kind| kind.repeatable && id.starts_with(kind.name)) {
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
    let store_server =
        Running::start(loopback(), store.clone()).await.map_err(|error| format!("{error:?}"))?;
    let duties_server = Running::start(loopback(), duties).await.map_err(|error| format!("{error:?}"))?;
    let application =
        start_engines(&store, APPLICATION, APPLICATION_ENGINES, APPLICATION_CAPACITY).await.map_err(text)?;
    let model = start_engines(&store, MODEL, MODEL_ENGINES, MODEL_CAPACITY).await.map_err(text)?;
    let services = [Arc::new(application), Arc::new(model)];
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
    let mut trouble = JoinSet::new();
    if has_trouble() {
        services
            .iter()
            .for_each(|engines| drop(trouble.spawn(lose_answers(engines.clone(), record.clone()))));
    }
    let answers = Answers::default();
    let kinds =
        KINDS.map(|kind| tokio::spawn(send_all(clients.clone(), record.clone(), kind, answers.clone())));
    for kind in kinds {
        kind.await.map_err(|error| error.to_string())?;
    }
    trouble.abort_all();
    let engines = || services.iter().flat_map(|engines| engines.iter());
    engines().for_each(|engine| record.note_runs(engine));
    let ran = engines_by_request(engines());
    let beyond: Vec<_> = ran.iter().filter(|(_, engines)| engines.len() > MAX_ATTEMPTS).collect();
    for (id, engines) in &beyond {
        record.tell(&format!("{id} was run by {engines:?}, and its route allows {MAX_ATTEMPTS} engines"));
    }
    record.tell(&format!("answers: {:?}", answers.lock().unwrap()));
    record.tell(&format!("requests run that may run again: {}, by more than {MAX_ATTEMPTS} engines: {}, tolerated: {TOLERATED}", ran.len(), beyond.len()));
    record.flush();
    for machine in &mut machines {
        machine.kill().await;
    }
    Ok(beyond.len() > TOLERATED)
}

#[tokio::main]
async fn main() {
    let Some(folder) = std::env::args().nth(1).map(PathBuf::from) else { exit(2) };
    // A run that is given up is dropped, which kills the machines.
    let played = tokio::time::timeout(LONGEST_RUN, play(&folder)).await;
    match played.unwrap_or_else(|_| Err(format!("not done within {LONGEST_RUN:?}"))) {
        Ok(false) => exit(0),
        Ok(true) => exit(1),
        Err(reason) => {
            eprintln!("the case couldn't run: {reason}");
            exit(2)
        }
    }
}
