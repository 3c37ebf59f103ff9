//! Streams of a version that the store doesn't know yet, when all machines are killed. See `review/6/claim.txt`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_platform_stand_ins::store_entrance::{Refusal, StoreEntrances};
use beamwall_platform_stand_ins::{DutiesStandIn, EngineStandIn, ObjectsStandIn};
use review_stand_ins_2::client::Client;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::{Bounds, Machine, Plan};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::streams::{Kind, Stream};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The machines of moistatus-beam by zone, and its model engines.
const ZONES_OF_MACHINES: [&str; 6] = ["ulemiste", "ulemiste", "ulemiste", "kopli", "kopli", "mustamae"];
const ZONES: [&str; 3] = ["ulemiste", "kopli", "mustamae"];
const OLD_ENGINES: usize = 8;
const HOST: &str = "puzzles.example";
const SERVICE: &str = "beam-llm";
const KEY: &str = "key-of-the-tenant";
/// Streams that begin, and the time between two: 20 a second, as on the sheet (story-draft and hint-nudge).
const STREAMS: usize = 56;
const STREAM_GAP: Duration = Duration::from_millis(50);
/// Events of each; one retry, as on the sheet.
const KIND: Kind = Kind { host: HOST, key: KEY, events: 60, max_tries: 2, deadline: Duration::from_secs(15) };
const EVENT_GAP: Duration = Duration::from_millis(60);
/// The store turns the machine that leads away; `platform_down`, nodes leader busy: 7 s at most.
const TURNED_AWAY_BEFORE: Duration = Duration::from_millis(300);
/// Time from the new version's first engine to the first stream, and from the last one to the end of all machines.
const NEW_VERSION_BEFORE: Duration = Duration::from_millis(200);
const STREAMS_BEFORE: Duration = Duration::from_millis(300);
/// Time without any machine; `herd_kill` of all: 1.0 s at the site.
const DOWN: Duration = Duration::from_millis(1_000);
/// ORDER: more than two streams hold events of two versions.
const MIXED_ALLOWED: usize = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/6".to_owned());
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
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
        "tenants": [{"name": "studio", "api_keys": [KEY], "priority": 1, "unit": "token_count", "plain_tokens": 200}],
    })
}

/// An engine and its entry in the store.
async fn add_engine(store: &ObjectsStandIn, number: usize, version: &str) -> Result<EngineStandIn, String> {
    let id = format!("{version}-{number}");
    let engine = EngineStandIn::start(&id, loopback()).await.map_err(|error| error.to_string())?;
    engine.set_event_gap(EVENT_GAP);
    let entry = json!({"service": SERVICE, "address": engine.address.to_string(), "zone": ZONES[number % ZONES.len()],
        "version": version, "slots": 128, "state": "ready", "cold_left_ms": 0, "seq": 1});
    store.write("servers", &id, entry);
    Ok(engine)
}

async fn play(record: &Record) -> Result<u8, String> {
    let store = ObjectsStandIn::new();
    store.write("config", "main", configuration());
    let text = |error: std::io::Error| error.to_string();
    let duties = Running::start(loopback(), DutiesStandIn::new()).await.map_err(text)?;
    let entrances = StoreEntrances::start(&store, ZONES_OF_MACHINES.len()).await.map_err(text)?;
    let mut old = Vec::new();
    for number in 0..OLD_ENGINES {
        old.push(add_engine(&store, number, "v1").await?);
    }
    let mut machines = start_machines(&entrances, duties.address)?;
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(10)).await {
            return Err(format!("{} is not ready", machine.plan.name));
        }
    }
    let leader = wait_for_leader(&store).await?;
    let leads = machines.iter().position(|machine| machine.plan.name == leader).ok_or("no such leader")?;
    record.tell(&format!("{leader} leads, and has stored the versions {}", versions_stored(&store)));
    if has_trouble() {
        record.tell(&format!("the store turns {leader} away with 503 and serves all others"));
        let busy = Refusal::Status(hyper::StatusCode::SERVICE_UNAVAILABLE);
        entrances.refuse(leads, Some(busy));
    }
    sleep(TURNED_AWAY_BEFORE).await;
    let new = add_engine(&store, OLD_ENGINES, "v2").await?;
    record.tell("the first engine of v2 is listed");
    sleep(NEW_VERSION_BEFORE).await;
    let clients: Vec<Client> = machines.iter().map(|machine| Client::new(machine.plan.listen[0])).collect();
    let mut begun = JoinSet::new();
    for number in 0..STREAMS {
        let mut stream = Stream::new(KIND, number);
        let client = clients[number % clients.len()].clone();
        let record = record.clone();
        begun.spawn(async move {
            stream.ask(&client, &record).await;
            stream
        });
        sleep(STREAM_GAP).await;
    }
    if has_trouble() {
        sleep(STREAMS_BEFORE).await;
        record.tell(&format!(
            "all machines are killed; the store holds the versions {}",
            versions_stored(&store)
        ));
        for machine in &mut machines {
            machine.kill().await;
        }
        // It states nothing and serves on: "their entry is removed, and they continue to serve for as long".
        store.remove("servers", &new.id);
        record.tell("the engine of v2 is taken away: its entry is removed, and it serves on");
        entrances.refuse(leads, None);
        sleep(DOWN).await;
        for machine in &mut machines {
            machine.start_again().map_err(text)?;
        }
    }
    let streams = begun.join_all().await;
    let mut ended = JoinSet::new();
    for (place, mut stream) in streams.into_iter().enumerate() {
        // Retries reach other machines.
        let clients: Vec<Client> =
            machines.iter().map(|machine| Client::new(machine.plan.listen[0])).collect();
        let record = record.clone();
        ended.spawn(async move {
            stream.take_up(&clients, place, &record).await;
            stream
        });
    }
    let streams = ended.join_all().await;
    for machine in &mut machines {
        machine.kill().await;
    }
    old.iter().chain([&new]).for_each(|engine| record.note_runs(engine));
    Ok(judge(&streams, record))
}

fn start_machines(entrances: &StoreEntrances, duties: SocketAddr) -> Result<Vec<Machine>, String> {
    let addresses = free_addresses(ZONES_OF_MACHINES.len() * 4);
    let seeds: Vec<SocketAddr> = addresses.chunks(4).take(3).map(|four| four[2]).collect();
    let bounds = Bounds { retry_extra: 52, quota_slack: 72_000, report_window_s: 5, grace_s: 8 };
    let mut machines = Vec::new();
    for (number, four) in addresses.chunks(4).enumerate() {
        let plan = Plan {
            name: format!("front-{number}"),
            zone: ZONES_OF_MACHINES[number].to_owned(),
            listen: [four[0], four[1], four[2], four[3]],
            seeds: seeds.clone(),
            advertised: None,
            store: entrances.address(number),
            duties,
            bounds,
        };
        machines.push(Machine::start(plan).map_err(|error| error.to_string())?);
    }
    Ok(machines)
}

/// The text that one of the system's own objects holds.
fn stored(store: &ObjectsStandIn, kind: &str, name: &str) -> Option<Value> {
    let spec = store.read(kind, name)?;
    serde_json::from_str(spec.as_str()?).ok()
}

fn versions_stored(store: &ObjectsStandIn) -> String {
    stored(store, "reports", "engine-versions")
        .map_or_else(|| "none".to_owned(), |value| value["services"].to_string())
}

/// Waits until a machine leads and has stored the versions that are listed.
async fn wait_for_leader(store: &ObjectsStandIn) -> Result<String, String> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let lease = stored(store, "leases", "gateway-duties");
        let holder = lease.and_then(|lease| lease["holder"].as_str().map(str::to_owned));
        if let Some(holder) = holder.filter(|_| stored(store, "reports", "engine-versions").is_some()) {
            // Nothing is due at once after that.
            sleep(Duration::from_secs(2)).await;
            return Ok(holder);
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err("nobody leads".to_owned())
}

fn judge(streams: &[Stream], record: &Record) -> u8 {
    let mixed: Vec<String> = streams
        .iter()
        .filter(|stream| stream.is_mixed())
        .map(|stream| format!("{}: {:?}", stream.number, stream.engines()))
        .collect();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let at_new = streams
        .iter()
        .filter(|stream| stream.writers.first().is_some_and(|writer| writer.starts_with("v2")))
        .count();
    record
        .tell(&format!("{} streams, {at_new} of them begun at v2, {whole} told to be whole", streams.len()));
    record.tell(&format!(
        "{} hold events of two versions ({MIXED_ALLOWED} are allowed): {mixed:?}",
        mixed.len()
    ));
    if streams.iter().filter(|stream| !stream.events.is_empty()).count() < STREAMS / 2
        || at_new <= MIXED_ALLOWED
    {
        record.tell("too few streams began");
        return 2;
    }
    u8::from(mixed.len() > MIXED_ALLOWED)
}
