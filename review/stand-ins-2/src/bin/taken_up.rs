//! All machines are killed for a second while engines of two versions serve. See `review/7/claim.txt`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_platform_stand_ins::{DutiesStandIn, EngineStandIn, ObjectsStandIn};
use review_stand_ins_2::client::Client;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::{Bounds, Machine, Plan};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::streams::{Kind, Stream};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The machines of kaveri-beamwall by zone, and its model engines, a third of them of a newer version.
const ZONES_OF_MACHINES: [&str; 8] =
    ["kakkanad", "kakkanad", "kakkanad", "edappally", "edappally", "edappally", "aluva", "aluva"];
const ZONES: [&str; 3] = ["kakkanad", "edappally", "aluva"];
const VERSIONS: [&str; 9] = ["v1", "v1", "v2", "v1", "v2", "v1", "v1", "v2", "v1"];
const HOST: &str = "bays.example";
const SERVICE: &str = "model-pool";
const KEY: &str = "key-of-the-tenant";
const KIND: Kind = Kind { host: HOST, key: KEY, events: 60, max_tries: 6, deadline: Duration::from_secs(15) };
const EVENT_GAP: Duration = Duration::from_millis(60);
/// 20 streams a second, as on the sheet (story-draft and hint-nudge).
const STREAM_GAP: Duration = Duration::from_millis(50);
/// When, after the first stream, all machines are killed, and streams begin for the last time.
const KILL_AT: Duration = Duration::from_secs(8);
const LAST_STREAM_AT: Duration = Duration::from_secs(20);
/// All stay dark so long; `herd_kill`: share 1.0, for_s 1.0.
const DOWN: Duration = Duration::from_millis(1_000);
/// LOST: 12 streams or more that are taken up, and under half of the share of new ones.
const TAKEN_UP_COUNTED: usize = 12;

#[tokio::main]
async fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/7".to_owned());
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else { return ExitCode::from(2) };
    let status = play(&record).await.unwrap_or_else(|reason| {
        record.tell(&format!("the case couldn't run: {reason}"));
        2
    });
    record.flush();
    ExitCode::from(status)
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "hint-nudge", "host": HOST, "path_prefix": "/hints/", "kind": "streaming",
            "timeout_ms": 15_000, "slo_ms": 800, "priority": 2, "service": SERVICE, "max_attempts": 2,
            "public": false, "sticky_sessions": true, "resumable": true, "gap_target_ms": 500}],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
        "tenants": [{"name": "studio", "api_keys": [KEY], "priority": 1, "unit": "token_count", "plain_tokens": 200}],
    })
}

async fn start_engines(store: &ObjectsStandIn) -> Result<Vec<EngineStandIn>, String> {
    let mut engines = Vec::new();
    for (number, version) in VERSIONS.into_iter().enumerate() {
        let id = format!("{version}-{number}");
        let engine = EngineStandIn::start(&id, loopback()).await.map_err(|error| error.to_string())?;
        engine.set_event_gap(EVENT_GAP);
        let entry = json!({"service": SERVICE, "address": engine.address.to_string(), "zone": ZONES[number % ZONES.len()],
            "version": version, "slots": 128, "state": "ready", "cold_left_ms": 0, "seq": 1});
        store.write("servers", &id, entry);
        engines.push(engine);
    }
    Ok(engines)
}

async fn play(record: &Record) -> Result<u8, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = ObjectsStandIn::new();
    store.write("config", "main", configuration());
    let store_server = Running::start(loopback(), store.clone()).await.map_err(text)?;
    let duties = Running::start(loopback(), DutiesStandIn::new()).await.map_err(text)?;
    let engines = start_engines(&store).await?;
    let addresses = free_addresses(ZONES_OF_MACHINES.len() * 4);
    let seeds: Vec<SocketAddr> = addresses.chunks(4).take(3).map(|four| four[2]).collect();
    let bounds = Bounds { retry_extra: 56, quota_slack: 72_000, report_window_s: 5, grace_s: 8 };
    let mut machines = Vec::new();
    for (number, four) in addresses.chunks(4).enumerate() {
        let plan = Plan {
            name: format!("front-{number}"),
            zone: ZONES_OF_MACHINES[number].to_owned(),
            listen: [four[0], four[1], four[2], four[3]],
            seeds: seeds.clone(),
            advertised: None,
            store: store_server.address,
            duties: duties.address,
            bounds,
        };
        machines.push(Machine::start(plan).map_err(text)?);
    }
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(10)).await {
            return Err(format!("{} is not ready", machine.plan.name));
        }
    }
    sleep(Duration::from_secs(3)).await;
    let fronts: Vec<SocketAddr> = machines.iter().map(|machine| machine.plan.listen[0]).collect();
    let down: Arc<Vec<AtomicBool>> = Arc::new(fronts.iter().map(|_| AtomicBool::new(false)).collect());
    let begun = Instant::now();
    let callers = tokio::spawn(call(fronts, down.clone(), begun, record.clone()));
    if has_trouble() {
        tokio::time::sleep_until(begun + KILL_AT).await;
        record.tell("all machines are killed");
        down.iter().for_each(|down| down.store(true, Ordering::Relaxed));
        for machine in &mut machines {
            machine.kill().await;
        }
        sleep(DOWN).await;
        for machine in &mut machines {
            machine.start_again().map_err(text)?;
        }
        for (machine, down) in machines.iter().zip(down.iter()) {
            if !machine.wait_ready(Duration::from_secs(5)).await {
                return Err(format!("{} is not ready again", machine.plan.name));
            }
            down.store(false, Ordering::Relaxed);
        }
        record.tell("all are ready again");
    }
    let streams = callers.await.map_err(|error| error.to_string())?;
    for machine in &mut machines {
        machine.kill().await;
    }
    engines.iter().for_each(|engine| record.note_runs(engine));
    Ok(judge(&streams, record))
}

/// Begins streams at the machines in turn, and takes up at others what breaks off.
async fn call(
    fronts: Vec<SocketAddr>,
    down: Arc<Vec<AtomicBool>>,
    begun: Instant,
    record: Record,
) -> Vec<Stream> {
    let clients: Vec<Client> = fronts.into_iter().map(Client::new).collect();
    let mut streams = JoinSet::new();
    for number in 0.. {
        if begun.elapsed() >= LAST_STREAM_AT {
            break;
        }
        // New connections go to machines that are ready.
        let up: Vec<usize> =
            (0..clients.len()).filter(|place| !down[*place].load(Ordering::Relaxed)).collect();
        if let Some(place) = up.get(number % up.len().max(1)) {
            let (client, all) = (clients[*place].clone(), clients.clone());
            let (record, down) = (record.clone(), down.clone());
            streams.spawn(async move {
                let mut stream = Stream::new(KIND, number);
                stream.ask(&client, &record).await;
                // It is taken up once the machines are ready again.
                while !stream.is_whole && down.iter().any(|down| down.load(Ordering::Relaxed)) {
                    sleep(STREAM_GAP).await;
                }
                if !stream.events.is_empty() {
                    stream.take_up(&all, number, &record).await;
                }
                stream
            });
        }
        sleep(STREAM_GAP).await;
    }
    streams.join_all().await
}

fn judge(streams: &[Stream], record: &Record) -> u8 {
    let began = streams.iter().filter(|stream| !stream.events.is_empty()).count();
    let taken_up: Vec<&Stream> =
        streams.iter().filter(|stream| stream.first_try.is_some() && stream.tries > 1).collect();
    let went_on = taken_up.iter().filter(|stream| stream.went_on).count();
    let new_share = began as f64 / streams.len().max(1) as f64;
    let taken_up_share = went_on as f64 / taken_up.len().max(1) as f64;
    record.tell(&format!("{began} of {} new streams began ({new_share:.2})", streams.len()));
    record.tell(&format!(
        "{went_on} of {} that were taken up again went on ({taken_up_share:.2})",
        taken_up.len()
    ));
    if began < 200 || has_trouble() && taken_up.len() < TAKEN_UP_COUNTED {
        record.tell("too few streams");
        return 2;
    }
    u8::from(taken_up.len() >= TAKEN_UP_COUNTED && taken_up_share < new_share / 2.0)
}
