//! Two engines crash, and two more soon after, while a new shared part of prompts is a second old. See
//! `review/9/claim.txt`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_platform_stand_ins::{DutiesStandIn, EngineStandIn, ObjectsStandIn};
use review_stand_ins_2::client::{Client, Outcome, Request};
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::{Bounds, Machine, Plan};
use review_stand_ins_2::record::Record;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The machines of moistatus-beam by zone, and its model engines.
const ZONES_OF_MACHINES: [&str; 6] = ["ulemiste", "ulemiste", "ulemiste", "kopli", "kopli", "mustamae"];
const ZONES: [&str; 3] = ["ulemiste", "kopli", "mustamae"];
const ENGINES: usize = 9;
const HOST: &str = "puzzles.example";
const SERVICE: &str = "beam-llm";
const KEY: &str = "key-of-the-tenant";
/// `hint-nudge`: 78 events, 15 s, 172 shared tokens and 543 own ones. Pauses of 140 ms where 500 are allowed.
const PATH: &str = "/hints/stream-78";
const EVENT_GAP: Duration = Duration::from_millis(140);
const DEADLINE: Duration = Duration::from_secs(15);
/// 20 streams a second, as on the sheet (story-draft and hint-nudge).
const STREAM_GAP: Duration = Duration::from_millis(50);
/// When, after the first stream, all prompts begin to share another part; when, after that, engines crash; the last stream.
const NEW_PART_AT: Duration = Duration::from_secs(15);
const CRASH_AT: [Duration; 2] = [Duration::from_millis(900), Duration::from_millis(1_200)];
const LAST_STREAM_AT: Duration = Duration::from_secs(21);
/// A quarter of the nine engines each time, as at the site.
const CRASHING: usize = 2;
/// An engine that crashed is back after so long, under another id; `srv_crash`: for_s 2.0.
const AWAY: Duration = Duration::from_secs(2);
/// The platform takes the entry of an engine away after three heartbeats.
const UNLISTED_AFTER: Duration = Duration::from_millis(3_600);

#[tokio::main]
async fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/9".to_owned());
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
async fn add_engine(store: &ObjectsStandIn, id: &str, zone: &str) -> Result<EngineStandIn, String> {
    let engine = EngineStandIn::start(id, loopback()).await.map_err(|error| error.to_string())?;
    engine.set_event_gap(EVENT_GAP);
    let entry = json!({"service": SERVICE, "address": engine.address.to_string(), "zone": zone,
        "version": "v1", "slots": 128, "state": "ready", "cold_left_ms": 0, "seq": 1});
    store.write("servers", id, entry);
    Ok(engine)
}

async fn play(record: &Record) -> Result<u8, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = ObjectsStandIn::new();
    store.write("config", "main", configuration());
    let store_server = Running::start(loopback(), store.clone()).await.map_err(text)?;
    let duties = Running::start(loopback(), DutiesStandIn::new()).await.map_err(text)?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(Some(add_engine(&store, &format!("i-{number}"), ZONES[number % ZONES.len()]).await?));
    }
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
    let begun = Instant::now();
    let callers = tokio::spawn(call(fronts, begun));
    if has_trouble() {
        let mut crashed = Vec::new();
        for at in CRASH_AT {
            sleep_until(begun + NEW_PART_AT + at).await;
            let crashing = busiest(&engines);
            let runs: Vec<usize> =
                crashing.iter().map(|number| runs_of_new_part(&engines[*number])).collect();
            for number in &crashing {
                // Dropping it closes its listener and all its connections.
                engines[*number].take().iter().for_each(|engine| record.note_runs(engine));
            }
            record.tell(&format!(
                "engines {crashing:?} crash {at:?} after the first prompt with the new part; they run {runs:?} of these"
            ));
            crashed.extend(crashing);
        }
        for (place, number) in crashed.iter().enumerate() {
            sleep_until(begun + NEW_PART_AT + CRASH_AT[place / CRASHING] + AWAY).await;
            let zone = ZONES[number % ZONES.len()];
            engines.push(Some(add_engine(&store, &format!("again-{number}"), zone).await?));
        }
        for (place, number) in crashed.iter().enumerate() {
            sleep_until(begun + NEW_PART_AT + CRASH_AT[place / CRASHING] + UNLISTED_AFTER).await;
            store.remove("servers", &format!("i-{number}"));
        }
    }
    let outcomes = callers.await.map_err(|error| error.to_string())?;
    for machine in &mut machines {
        machine.kill().await;
    }
    engines.iter().flatten().for_each(|engine| record.note_runs(engine));
    Ok(judge(&outcomes, record))
}

/// Requests with the new part that an engine has begun; 0 for one that crashed.
fn runs_of_new_part(engine: &Option<EngineStandIn>) -> usize {
    let runs = engine.as_ref().map(EngineStandIn::runs).unwrap_or_default();
    runs.iter().filter(|run| run.request.body.starts_with(b"new")).count()
}

/// The engines that run most requests with the new part: which ones crash is open.
fn busiest(engines: &[Option<EngineStandIn>]) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..engines.len()).filter(|number| engines[*number].is_some()).collect();
    numbers.sort_by_key(|number| std::cmp::Reverse(runs_of_new_part(&engines[*number])));
    numbers.truncate(CRASHING);
    numbers
}

/// Asks the machines in turn, and gives what is known of each request at the end.
async fn call(fronts: Vec<SocketAddr>, begun: Instant) -> Vec<Ask> {
    let clients: Vec<Client> = fronts.into_iter().map(Client::new).collect();
    let mut asking = JoinSet::new();
    for number in 0.. {
        let at = begun.elapsed();
        if at >= LAST_STREAM_AT {
            break;
        }
        let is_new = at >= NEW_PART_AT;
        let client = clients[number % clients.len()].clone();
        asking.spawn(async move {
            let part = if is_new { "beef01" } else { "c0ffee" };
            let own = 0x10_0000 + number;
            let request = Request {
                method: "POST",
                path: PATH.to_owned(),
                host: HOST,
                id: format!("s{number}"),
                key: KEY.to_owned(),
                deadline: DEADLINE,
                headers: vec![
                    ("X-Model".to_owned(), "m".to_owned()),
                    ("X-Token-Counts".to_owned(), "715,180".to_owned()),
                    ("X-Prefix-Hash".to_owned(), format!("{part}:172,{own:x}:543")),
                ],
                body: format!("{} hint {number}", if is_new { "new" } else { "usual" }).into_bytes(),
            };
            let outcome = client.send(&request).await;
            Ask { number, at, is_new, outcome }
        });
        sleep(STREAM_GAP).await;
    }
    asking.join_all().await
}

/// A request, and what came of it.
struct Ask {
    number: usize,
    /// When it was sent, after the first one.
    at: Duration,
    is_new: bool,
    outcome: Outcome,
}

impl Ask {
    /// Whether the system ended it with a 3xx or 4xx of its own, by DENIED.
    fn is_denied(&self) -> bool {
        let is_of_engine = self.outcome.header("x-server-stamp").is_some();
        let status = self.outcome.status.unwrap_or(0);
        (300..500).contains(&status) && ![408, 421, 429].contains(&status) && !is_of_engine
    }
}

fn judge(asks: &[Ask], record: &Record) -> u8 {
    for ask in asks {
        let told = String::from_utf8_lossy(&ask.outcome.body).chars().take(160).collect::<String>();
        let told = if ask.outcome.status == Some(200) { "" } else { &told };
        let at = ask.at.as_secs_f64();
        let (number, is_new, status) = (ask.number, ask.is_new, ask.outcome.status);
        record.note(&format!(
            "s{number} at {at:.3}, new part {is_new}: {status:?}, whole {} {told}",
            ask.outcome.whole
        ));
    }
    let with = |status| asks.iter().filter(|ask| ask.outcome.status == Some(status)).count();
    let denied: Vec<&Ask> = asks.iter().filter(|ask| ask.is_denied()).collect();
    let new = asks.iter().filter(|ask| ask.is_new).count();
    let allowed = 5 + asks.len() / 500;
    record.tell(&format!(
        "{} of {} requests, {new} of them with the new part, got 3xx or 4xx of the system's own, {allowed} are allowed",
        denied.len(),
        asks.len()
    ));
    if let (Some(first), Some(last)) = (denied.first(), denied.last()) {
        let (first, last) = (first.at.as_secs_f64(), last.at.as_secs_f64());
        record.tell(&format!("the first was sent at {first:.2} s, the last at {last:.2} s"));
    }
    record.tell(&format!("{} got 200, {} got 503, {} got 504", with(200), with(503), with(504)));
    if with(200) < 200 {
        record.tell("too few answers");
        return 2;
    }
    u8::from(denied.len() > allowed)
}
