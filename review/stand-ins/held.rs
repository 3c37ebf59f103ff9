//! A quarter of a service's engines lose power at once while a new shared part of prompts is in its first answers.

use std::cmp::Reverse;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, Question};
use crate::platform::EngineProcess;
use crate::record::Record;

/// Entry machines and engines, as on a small deployment; the crash takes a quarter of the engines.
const GATEWAYS: usize = 6;
const ENGINES: usize = 12;
const CRASHED: usize = 3;
/// Requests a second of the tenant. From a moment on all of them begin with another shared part: its new prompt.
const REQUESTS_PER_S: f64 = 20.0;
/// When the requests with the new part begin, when the engines crash, and when all ends.
const NEW_AT: Duration = Duration::from_secs(15);
const CRASH_AT: Duration = Duration::from_secs(23);
const END_AT: Duration = Duration::from_secs(40);
/// How the engines answer: 78 events in 11.5 s.
const ANSWERS: [&str; 3] = ["events=78", "first_ms=600", "gap_ms=140"];
/// Time for which the crashed engines are down, as on the site; then they start again, each under a new id.
const DOWN_FOR: Duration = Duration::from_secs(2);
/// Time after the crash until the platform takes the engines' entries away: three heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);
/// What the rule allows: five, and one in 500 of all requests.
const DENIED_ALLOWED: usize = 5;
const DENIED_ALLOWED_OF: usize = 500;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"story\",\"host\":\"{HOST}\",\"path_prefix\":\"/stream/\",\
         \"kind\":\"streaming\",\"resumable\":true,\"timeout_ms\":15000,\"slo_ms\":1200,\"gap_target_ms\":500,\
         \"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true}}],\
         \"services\":[{{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":610,\
         \"engine\":{{\"slots\":128,\"kv_capacity_tokens\":264479,\"stride\":3}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"studio\",\"api_keys\":[\"key-of-studio\"],\"unit\":\"token_count\",\"plain_tokens\":200}}]}}"
    )
}

/// What became of the requests.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    denied: AtomicUsize,
    whole: AtomicUsize,
    statuses: Mutex<std::collections::BTreeMap<String, usize>>,
}

struct Scene {
    record: Record,
    counts: Counts,
    gateways: Vec<std::net::SocketAddr>,
}

impl Scene {
    /// Sends one request of a kind and records its answer.
    fn ask(&self, kind: &str, number: usize) {
        let id = format!("{kind}{number:05}");
        let parts = match kind {
            "new" => format!("c0ffee:2520,beef01:1800,{:x}:900", 0x100000 + number),
            _ => format!("c0ffee:2520,{:x}:1800,{:x}:900", 0xaa00 + number % 4, 0x200000 + number),
        };
        let headers = format!("X-Model: m\r\nX-Token-Counts: 5220,234\r\nX-Prefix-Hash: {parts}\r\n");
        let body = format!("prompt {id}");
        let question = Question {
            method: "POST",
            path: "/stream/draft",
            id: &id,
            key: "key-of-studio",
            deadline_ms: 15_000,
            headers,
            body: body.as_bytes(),
        };
        let gateway = number % self.gateways.len();
        self.record.add(&format!("sent {id} to front-{gateway}"));
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let answer = question.ask(self.gateways[gateway]);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let told = if answer.status == 200 { "" } else { text.as_str() };
        self.record.add(&format!(
            "answered {id}: {} whole={} engine={} retry_after={:?} {told}",
            answer.status, answer.is_whole, answer.is_signed, answer.retry_after_s
        ));
        let is_own_4xx = (300..500).contains(&answer.status)
            && !matches!(answer.status, 408 | 421 | 429)
            && !answer.is_signed;
        self.counts.denied.fetch_add(usize::from(is_own_4xx), Ordering::Relaxed);
        self.counts.whole.fetch_add(usize::from(answer.status == 200 && answer.is_whole), Ordering::Relaxed);
        let name = format!("{kind} {}{}", answer.status, if answer.is_whole { "" } else { " broken off" });
        *self.counts.statuses.lock().unwrap().entry(name).or_default() += 1;
    }
}

/// Plays the case.
pub fn play(record: Record, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(&config())?;
    deployment.add_engines("pool", 128, ENGINES, &ANSWERS)?;
    if !deployment.add_gateways(GATEWAYS)? {
        deployment.record_logs(&record);
        return Err(io::Error::other("the gateways did not become ready"));
    }
    let gateways = deployment.gateways.iter().map(|gateway| gateway.callers).collect();
    let scene = Arc::new(Scene { record, counts: Counts::default(), gateways });
    let started = Instant::now();
    let mut sent = 0;
    let mut crashed = Vec::new();
    let (mut has_crashed, mut has_returned, mut has_lapsed) = (!has_trouble, !has_trouble, !has_trouble);
    let mut clients = Vec::new();
    while started.elapsed() < END_AT {
        let now = started.elapsed();
        if !has_crashed && now >= CRASH_AT {
            has_crashed = true;
            crashed = busiest(&deployment);
            for engine in crashed.iter().map(|number| &deployment.engines[*number]) {
                engine.kill();
                scene.record.tell(&format!("engine {} was killed", engine.id));
            }
        }
        if !has_returned && now >= CRASH_AT + DOWN_FOR {
            has_returned = true;
            deployment.add_engines("pool", 128, CRASHED, &ANSWERS)?;
            scene.record.tell("as many engines have started again");
        }
        if !has_lapsed && now >= CRASH_AT + ENTRY_LAPSE {
            has_lapsed = true;
            let crashed = crashed.iter().map(|number| &deployment.engines[*number]);
            crashed.for_each(|engine| deployment.store.remove("servers", &engine.id));
        }
        if now.as_secs_f64() * REQUESTS_PER_S >= sent as f64 {
            sent += 1;
            clients.push(spawn(&scene, if now < NEW_AT { "usual" } else { "new" }, sent));
        }
        thread::sleep(Duration::from_millis(5));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    for engine in &deployment.engines {
        for run in engine.ran.lock().unwrap().iter() {
            scene.record.add(&format!("engine {} ran {run}", engine.id));
        }
    }
    for gateway in &deployment.gateways {
        for line in gateway.log_lines("part:beef01") {
            scene.record.add(&format!("{} logged {line}", gateway.name));
        }
    }
    let counts = &scene.counts;
    let (sent, denied) = (counts.sent.load(Ordering::Relaxed), counts.denied.load(Ordering::Relaxed));
    scene.record.tell(&format!("answers: {:?}", counts.statuses.lock().unwrap()));
    let allowed = DENIED_ALLOWED + sent / DENIED_ALLOWED_OF;
    scene
        .record
        .tell(&format!("{denied} of {sent} proper requests got a 4xx of the system; allowed: {allowed}"));
    Ok(denied > allowed)
}

fn spawn(scene: &Arc<Scene>, kind: &'static str, number: usize) -> thread::JoinHandle<()> {
    let scene = scene.clone();
    thread::spawn(move || scene.ask(kind, number))
}

/// The engines that ran most of the requests with the new part.
fn busiest(deployment: &Deployment) -> Vec<usize> {
    let ran = |engine: &EngineProcess| {
        engine.ran.lock().unwrap().iter().filter(|run| run.starts_with("new")).count()
    };
    let mut numbers: Vec<usize> = (0..deployment.engines.len()).collect();
    numbers.sort_by_key(|number| Reverse(ran(&deployment.engines[*number])));
    numbers.truncate(CRASHED);
    numbers
}
