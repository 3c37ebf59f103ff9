//! Engines of one service fail part of their requests with a body that has no end. See `review/6/claim.txt`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beamwall_lab::Running;
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_platform_stand_ins::{DutiesStandIn, ObjectsStandIn};
use rand::RngExt;
use review_stand_ins_2::client::{Client, Request};
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::machine::{Bounds, Machine, Plan};
use review_stand_ins_2::record::Record;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The sheet of lahtekoht-quotes: memory and link of a machine.
const MEMORY_BYTES: u64 = 260 << 20;
const LINK_BYTES_PER_S: u64 = 125_000_000;
/// Requests a second of the zone `lasnamae`, which has one machine.
const REQUESTS_PER_S: f64 = 47.6;
/// Weights of the kinds in its mix.
const MIX: [(Kind, f64); 5] = [
    (Kind::Draft, 46.5),
    (Kind::Explain, 42.9),
    (Kind::Check, 94.9),
    (Kind::Lookup, 46.1),
    (Kind::Card, 18.4),
];
/// The dose of `srv_grey`, `errors all`, in the site file: share of the requests, and length.
const FAILING_SHARE: f64 = 0.45;
const TROUBLE_LENGTH: Duration = Duration::from_secs(4);
/// When it comes.
const TROUBLES_AT_S: [u64; 3] = [10, 28, 46];
const END_S: u64 = 60;
/// The platform starts an ended process again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const MACHINES: usize = 2;
const ZONES: [&str; 2] = ["a", "b"];
const HOST: &str = "quotes.example";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Draft,
    Explain,
    Check,
    Lookup,
    Card,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Draft => "/draft/1",
            Self::Explain => "/explain/1",
            Self::Check => "/check/1",
            Self::Lookup => "/lookup/1",
            Self::Card => "/card/1",
        }
    }

    fn deadline(self) -> Duration {
        Duration::from_millis(match self {
            Self::Draft => 12_000,
            Self::Explain => 10_000,
            Self::Check => 2_500,
            Self::Lookup | Self::Card => 4_000,
        })
    }

    fn events(self) -> u64 {
        match self {
            Self::Draft => 55,
            Self::Explain => 42,
            _ => 3,
        }
    }

    fn tokens(self) -> Option<(u64, u64)> {
        match self {
            Self::Draft => Some((6_610, 385)),
            Self::Explain => Some((628, 294)),
            Self::Check => Some((1_800, 21)),
            Self::Lookup | Self::Card => None,
        }
    }
}

/// What the engines share.
struct Engines {
    failing: AtomicBool,
    /// Bytes sent on each machine's link without end, by the tenant whose callers come to that machine.
    links: HashMap<String, Link>,
    /// Requests that engines of the sound service ran, by id.
    ran: Mutex<HashMap<String, u32>>,
    record: Record,
}

/// A machine's link: what may be sent so far.
struct Link {
    opened: Instant,
    sent: AtomicU64,
}

impl Link {
    /// Waits until the link has room for so many bytes. Room that was not used is lost.
    async fn wait_for_room(&self, bytes: u64) {
        let capacity = |elapsed: Duration| (elapsed.as_secs_f64() * LINK_BYTES_PER_S as f64) as u64;
        let now = capacity(self.opened.elapsed());
        self.sent.fetch_max(now.saturating_sub(LINK_BYTES_PER_S / 100), Ordering::Relaxed);
        let due = self.sent.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let until = self.opened + Duration::from_secs_f64(due as f64 / LINK_BYTES_PER_S as f64);
        tokio::time::sleep_until(until).await;
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/6".to_owned());
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else { return ExitCode::from(2) };
    let status = play(&record).await;
    record.flush();
    ExitCode::from(status)
}

fn configuration() -> serde_json::Value {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 slo: u32,
                 attempts: u32,
                 resumable: bool| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": timeout,
               "slo_ms": slo, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
               "sticky_sessions": kind == "streaming", "resumable": resumable, "gap_target_ms": 250})
    };
    let tenant = |number: usize| {
        json!({"name": format!("tenant-{number}"), "api_keys": [format!("key-{number}")], "priority": 1,
               "unit": "token_count", "plain_tokens": 200})
    };
    json!({
        "version": 1,
        "routes": [
            route("draft", "streaming", "quote-llm", 12_000, 500, 2, true),
            route("explain", "streaming", "quote-llm", 10_000, 250, 1, false),
            route("check", "streaming", "quote-llm", 2_500, 300, 2, true),
            route("lookup", "unsafe", "lease-api", 2_000, 300, 1, false),
            route("card", "safe", "lease-api", 2_000, 300, 2, false),
        ],
        "services": [
            {"name": "quote-llm", "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false,
             "engine": {"slots": 24, "kv_capacity_tokens": 731_070, "kv_token_bytes": 18_432, "link_mbps": 370_000.0,
                        "stride": 7, "models": [{"name": "m"}]}},
            {"name": "lease-api", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
        "tenants": (0..MACHINES).map(tenant).collect::<Vec<_>>(),
    })
}

async fn play(record: &Record) -> u8 {
    let store = ObjectsStandIn::new();
    store.write("config", "main", configuration());
    let (Ok(store_server), Ok(duties_server)) = (
        Running::start(loopback(), store.clone()).await,
        Running::start(loopback(), DutiesStandIn::new()).await,
    ) else {
        return 2;
    };
    let link = |number: usize| {
        (format!("tenant-{number}"), Link { opened: Instant::now(), sent: AtomicU64::new(0) })
    };
    let engines = Arc::new(Engines {
        failing: AtomicBool::new(false),
        links: (0..MACHINES).map(link).collect(),
        ran: Mutex::default(),
        record: record.clone(),
    });
    for (service, count, slots) in [("quote-llm", 18, 24), ("lease-api", 4, 6)] {
        for number in 0..count {
            let id = format!("{service}-{number}");
            let Ok(address) = start_engine(id.clone(), service == "quote-llm", engines.clone()).await else {
                return 2;
            };
            let zone = ZONES[number % ZONES.len()];
            let entry = json!({"service": service, "address": address.to_string(), "zone": zone,
                "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1});
            store.write("servers", &id, entry);
        }
    }
    let addresses = free_addresses(MACHINES * 4);
    let seeds: Vec<SocketAddr> = addresses.chunks(4).map(|four| four[2]).collect();
    let bounds = Bounds { retry_extra: 54, quota_slack: 140_000, report_window_s: 5, grace_s: 8 };
    let mut machines = Vec::new();
    for (number, four) in addresses.chunks(4).enumerate() {
        let plan = Plan {
            name: format!("front-{number}"),
            zone: ZONES[number % ZONES.len()].to_owned(),
            listen: [four[0], four[1], four[2], four[3]],
            seeds: seeds.clone(),
            store: store_server.address,
            duties: duties_server.address,
            bounds,
        };
        let Ok(machine) = Machine::start(plan) else { return 2 };
        machines.push(machine);
    }
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(10)).await {
            return 2;
        }
    }
    let begun = Instant::now();
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU32::new(0));
    let mut tasks = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        let traffic = Traffic {
            number,
            client: Client::new(machine.plan.listen[0]),
            engines: engines.clone(),
            cut: cut.clone(),
            answered: answered.clone(),
            record: record.clone(),
        };
        tasks.push(tokio::spawn(traffic.send_until(begun + Duration::from_secs(END_S - 6))));
    }
    if has_trouble() {
        tasks.push(tokio::spawn(trouble(engines.clone(), begun, record.clone())));
    }
    let kills = watch_memory(&mut machines, begun + Duration::from_secs(END_S), record).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    for machine in &mut machines {
        machine.kill().await;
    }
    judge(&kills, &cut.lock().unwrap(), answered.load(Ordering::Relaxed), record)
}

/// The engines of `quote-llm` fail part of their requests, and the body of such an answer has no end.
async fn trouble(engines: Arc<Engines>, begun: Instant, record: Record) {
    for at in TROUBLES_AT_S {
        tokio::time::sleep_until(begun + Duration::from_secs(at)).await;
        record.note("trouble begins at the engines of quote-llm");
        engines.failing.store(true, Ordering::Relaxed);
        tokio::time::sleep(TROUBLE_LENGTH).await;
        engines.failing.store(false, Ordering::Relaxed);
        record.note("trouble ends");
    }
}

/// The platform: kills a process that goes over its memory, and starts it again. Gives the kills by machine.
async fn watch_memory(machines: &mut [Machine], until: Instant, record: &Record) -> Vec<u32> {
    let mut kills = vec![0; machines.len()];
    let mut peak = vec![0; machines.len()];
    let mut next_line = Instant::now();
    while Instant::now() < until {
        for (number, machine) in machines.iter_mut().enumerate() {
            let bytes = machine.memory_bytes();
            peak[number] = bytes.max(peak[number]);
            let is_over = bytes > MEMORY_BYTES;
            if is_over || machine.has_ended() {
                let how = if is_over { "is over its memory and killed" } else { "has ended" };
                record.tell(&format!("{}: {how}, {} MiB", machine.plan.name, bytes >> 20));
                machine.kill().await;
                kills[number] += 1;
                tokio::time::sleep(RESTART_DELAY).await;
                let _ = machine.start_again();
            }
        }
        if Instant::now() >= next_line {
            next_line = Instant::now() + Duration::from_secs(1);
            let now: Vec<String> =
                machines.iter().map(|machine| format!("{} MiB", machine.memory_bytes() >> 20)).collect();
            record.note(&format!("memory {}", now.join(", ")));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    record.tell(&format!(
        "highest memory seen: {:?} MiB",
        peak.iter().map(|bytes| bytes >> 20).collect::<Vec<_>>()
    ));
    kills
}

/// LOST: more than three requests from kept connections that were passed on to a sound engine and whose connection was
/// closed without an answer. Fault: on two machines or more, processes ended by themselves three times.
fn judge(kills: &[u32], cut: &[String], answered: u32, record: &Record) -> u8 {
    let ended_thrice = kills.iter().filter(|kills| **kills >= 3).count();
    record.tell(&format!("answered by engines: {answered}; processes ended by themselves: {kills:?}"));
    record.tell(&format!("LOST counts {} requests (more than 3 break it): {cut:?}", cut.len()));
    record.tell(&format!("Fault counts {ended_thrice} machines (2 break it)"));
    if answered < 1_000 {
        return 2;
    }
    u8::from(cut.len() > 3 || ended_thrice >= 2)
}

/// The callers of one machine.
struct Traffic {
    number: usize,
    client: Client,
    engines: Arc<Engines>,
    cut: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicU32>,
    record: Record,
}

impl Traffic {
    async fn send_until(self, until: Instant) {
        let shared = Arc::new(self);
        let mut count = 0;
        while Instant::now() < until {
            let gap = -(1.0 - rand::random::<f64>()).ln() / REQUESTS_PER_S;
            tokio::time::sleep(Duration::from_secs_f64(gap)).await;
            count += 1;
            tokio::spawn(shared.clone().send(pick_kind(), count));
        }
    }

    async fn send(self: Arc<Self>, kind: Kind, count: u64) {
        let id = format!("m{}-{count}", self.number);
        let mut headers = vec![("X-Model".to_owned(), "m".to_owned())];
        if let Some((prompt, output)) = kind.tokens() {
            headers.push(("X-Token-Counts".to_owned(), format!("{prompt},{output}")));
            headers.push(("X-Prefix-Hash".to_owned(), format!("{:x}:{prompt}", 1_000_000 + count)));
        }
        let request = Request {
            method: if kind == Kind::Card { "GET" } else { "POST" },
            path: kind.path().to_owned(),
            host: HOST,
            id: id.clone(),
            key: format!("key-{}", self.number),
            deadline: kind.deadline(),
            headers,
            body: if kind == Kind::Card { Vec::new() } else { vec![b'q'; 600] },
        };
        let outcome = self.client.send(&request).await;
        let is_signed = outcome.header("x-server-stamp").is_some();
        if outcome.status == Some(200) && outcome.whole && is_signed {
            self.answered.fetch_add(1, Ordering::Relaxed);
        }
        let ran = self.engines.ran.lock().unwrap().get(&id).copied().unwrap_or(0);
        let is_cut =
            outcome.kept && outcome.written && outcome.status.is_none() && !outcome.gave_up && ran > 0;
        self.record.note(&format!(
            "{id} {kind:?} kept {} status {:?} whole {} gave up {} ran at a sound engine {ran}",
            outcome.kept, outcome.status, outcome.whole, outcome.gave_up
        ));
        if is_cut {
            self.cut.lock().unwrap().push(format!("{id} {kind:?}"));
        }
    }
}

fn pick_kind() -> Kind {
    let total: f64 = MIX.iter().map(|(_, weight)| weight).sum();
    let mut position = rand::rng().random_range(0.0..total);
    for (kind, weight) in MIX {
        if position < weight {
            return kind;
        }
        position -= weight;
    }
    Kind::Check
}

async fn start_engine(id: String, is_model: bool, engines: Arc<Engines>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let engine = Engine { id: id.clone(), is_model, shared: engines.clone() };
            tokio::spawn(engine.serve(stream));
        }
    });
    Ok(address)
}

/// One engine on one connection.
struct Engine {
    id: String,
    is_model: bool,
    shared: Arc<Engines>,
}

impl Engine {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some((path, headers)) = read_request(&mut stream).await {
            if self.answer(&mut stream, &path, &headers).await.is_none() {
                return;
            }
        }
    }

    async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        path: &str,
        headers: &HashMap<String, String>,
    ) -> Option<()> {
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let request = header("x-request-id");
        if header("x-expect-instance") != self.id {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.get_mut().write_all(refusal.as_bytes()).await.ok();
        }
        let head = |status: &str, framing: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\nX-Server-Stamp: {}\r\n{framing}\r\n",
                self.id
            )
        };
        if !self.is_model {
            *self.shared.ran.lock().unwrap().entry(request.clone()).or_default() += 1;
            self.shared.record.note(&format!("{request} runs at {}", self.id));
            tokio::time::sleep(Duration::from_millis(60)).await;
            let answer = head("200 OK", "Content-Length: 800\r\n") + &"a".repeat(800);
            return stream.get_mut().write_all(answer.as_bytes()).await.ok();
        }
        if self.shared.failing.load(Ordering::Relaxed) && rand::random_bool(FAILING_SHARE) {
            self.shared.record.note(&format!("{request} fails at {} with a body without end", self.id));
            let begin = head("500 Internal Server Error", "Transfer-Encoding: chunked\r\n");
            stream.get_mut().write_all(begin.as_bytes()).await.ok()?;
            return self.send_without_end(stream, &header("x-tenant")).await;
        }
        let (_, kind) = [("/draft", Kind::Draft), ("/explain", Kind::Explain), ("/check", Kind::Check)]
            .into_iter()
            .find(|(prefix, _)| path.starts_with(prefix))?;
        let begin = head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        tokio::time::sleep(Duration::from_millis(60)).await;
        stream.get_mut().write_all(begin.as_bytes()).await.ok()?;
        let first = header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
        for number in first..=kind.events() {
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(50));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.get_mut().write_all(chunk.as_bytes()).await.ok()?;
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        stream.get_mut().write_all(b"0\r\n\r\n").await.ok()
    }

    /// Sends bytes until the caller closes, within what the link of its machine carries.
    async fn send_without_end(&self, stream: &mut BufReader<TcpStream>, tenant: &str) -> Option<()> {
        let piece = format!("4000\r\n{}\r\n", "z".repeat(0x4000));
        let link = self.shared.links.get(tenant)?;
        loop {
            link.wait_for_room(piece.len() as u64).await;
            stream.get_mut().write_all(piece.as_bytes()).await.ok()?;
        }
    }
}

/// Reads a request with its body: its path and its headers.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let first = read_line(stream).await?;
    let path = first.split(' ').nth(1)?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let line = read_line(stream).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((path, headers))
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = stream.read_line(&mut line).await.ok()?;
    (read > 0).then(|| line.trim_end().to_owned())
}
