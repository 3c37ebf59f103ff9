//! Engines in trouble send bytes without end, and the platform kills the gateways that go over their memory.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, PROGRAM, Question};
use crate::platform::Gateway;
use crate::record::Record;

/// Entry machines, one in each zone, and model engines; a third of the engines is in trouble.
const GATEWAYS: usize = 4;
const ENGINES: usize = 18;
const IN_TROUBLE: usize = 6;
const SLOTS: u32 = 24;
/// How sound engines answer: 55 events in 1.75 s.
const SOUND: [&str; 3] = ["first_ms=100", "events=55", "gap_ms=30"];
/// How the others do: bytes without end, so many a second from one engine to one gateway. From all of them it gets
/// 120 MB/s at most; its link carries 125.
const ENDLESS: [&str; 2] = ["first_ms=100", "endless=20000000"];
/// Requests a second, as on the sheet, for all zones together; one of them has a single machine there, too.
const REQUESTS_PER_S: f64 = 39.5;
/// How long the clients wait, in milliseconds.
const DEADLINE_MS: u64 = 12_000;
/// Memory of a machine: a process that goes over it is killed, and started again after a short delay.
const MEMORY_MB: u64 = 260;
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How long clients send requests.
const LENGTH: Duration = Duration::from_secs(95);
/// Ends of one machine's processes, and machines with so many, at which the rule is broken.
const ENDS_ALLOWED: usize = 2;
const MACHINES_ALLOWED: usize = 1;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"quote\",\"host\":\"{HOST}\",\"path_prefix\":\"/stream/\",\
         \"kind\":\"streaming\",\"resumable\":true,\"timeout_ms\":12000,\"slo_ms\":500,\"gap_target_ms\":250,\
         \"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true}}],\
         \"services\":[{{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":200,\
         \"engine\":{{\"slots\":{SLOTS},\"kv_capacity_tokens\":731070,\"stride\":7}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"dealer\",\"api_keys\":[\"key-of-dealer\"],\"unit\":\"token_count\",\
         \"plain_tokens\":200}}]}}"
    )
}

struct Scene {
    deployment: Deployment,
    record: Record,
    /// Whether the balancer sends new connections to each gateway.
    is_in: Vec<AtomicBool>,
    is_over: AtomicBool,
    answers: Mutex<BTreeMap<String, usize>>,
}

impl Scene {
    /// The gateway for a new connection: that of the client's zone, else the next one that is in.
    fn gateway(&self, client: usize) -> usize {
        let order = (0..GATEWAYS).map(|offset| (client + offset) % GATEWAYS);
        order.clone().find(|number| self.is_in[*number].load(Ordering::Relaxed)).unwrap_or(client % GATEWAYS)
    }

    /// The balancer: asks each gateway every second, and takes it out after two misses.
    fn balance(&self) {
        let mut misses = [0; GATEWAYS];
        while !self.is_over.load(Ordering::Relaxed) {
            for (number, gateway) in self.deployment.gateways.iter().enumerate() {
                misses[number] = if gateway.is_ready() { 0 } else { misses[number] + 1 };
                self.is_in[number].store(misses[number] < 2, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// The platform at one machine: kills the process when it goes over its memory; returns how often.
    fn watch(&self, gateway: &Gateway) -> usize {
        let (mut kills, mut peak, mut told) = (0, 0, Instant::now());
        while !self.is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
            let memory = gateway.memory_mb().unwrap_or(0);
            peak = peak.max(memory);
            if told.elapsed() > Duration::from_secs(1) {
                self.record.add(&format!("{} holds {memory} MB", gateway.name));
                told = Instant::now();
            }
            if memory <= MEMORY_MB && !gateway.has_ended() {
                continue;
            }
            gateway.kill();
            kills += 1;
            self.record
                .tell(&format!("{} was killed over its memory: {memory} MB of {MEMORY_MB}", gateway.name));
            thread::sleep(RESTART_DELAY);
            if gateway.start_again(PROGRAM).is_err() {
                break;
            }
        }
        self.record.tell(&format!("{}: {kills} ends, at most {peak} MB", gateway.name));
        kills
    }

    /// One request; the record tells what became of it.
    fn ask(&self, number: usize) {
        let id = format!("r{number:05}");
        let parts = format!("c0ffee:2520,{:x}:2862,{:x}:6610", 0xaa00 + number % 40, 0x200000 + number);
        let gateway = self.gateway(number);
        let headers = format!(
            "X-Model: m\r\nX-Token-Counts: 11992,385\r\nX-Prefix-Hash: {parts}\r\nX-Entry: front-{gateway}\r\n"
        );
        let question = Question {
            method: "POST",
            path: "/stream/quote",
            id: &id,
            key: "key-of-dealer",
            deadline_ms: DEADLINE_MS,
            headers,
            body: b"a lease",
        };
        self.record.add(&format!("sent {id} to front-{gateway}"));
        let answer = question.ask(self.deployment.gateways[gateway].callers);
        self.record.add(&format!("answered {id}: {} whole={}", answer.status, answer.is_whole));
        let name = if answer.status == 0 { "no answer".to_owned() } else { answer.status.to_string() };
        *self.answers.lock().unwrap().entry(name).or_default() += 1;
    }
}

/// Plays the case.
pub fn play(record: Record, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(&config())?;
    deployment.zones = GATEWAYS;
    let troubled: &[&str] = if has_trouble { &ENDLESS } else { &SOUND };
    deployment.add_engines("pool", SLOTS, IN_TROUBLE, troubled)?;
    deployment.add_engines("pool", SLOTS, ENGINES - IN_TROUBLE, &SOUND)?;
    if !deployment.add_gateways(GATEWAYS)? {
        deployment.record_logs(&record);
        return Err(io::Error::other("the gateways did not become ready"));
    }
    let is_in = (0..GATEWAYS).map(|_| AtomicBool::new(true)).collect();
    let scene = Arc::new(Scene {
        deployment,
        record,
        is_in,
        is_over: AtomicBool::default(),
        answers: Mutex::default(),
    });
    let ends = thread::scope(|scope| {
        scope.spawn(|| scene.balance());
        let watchers: Vec<_> =
            scene.deployment.gateways.iter().map(|gateway| scope.spawn(|| scene.watch(gateway))).collect();
        send_requests(&scene);
        scene.is_over.store(true, Ordering::Relaxed);
        watchers.into_iter().map(|watcher| watcher.join().unwrap_or(0)).collect::<Vec<usize>>()
    });
    for engine in &scene.deployment.engines {
        for run in engine.ran.lock().unwrap().iter() {
            scene.record.add(&format!("engine {} ran {run}", engine.id));
        }
    }
    scene.record.tell(&format!("answers: {:?}", scene.answers.lock().unwrap()));
    let machines = ends.iter().filter(|ends| **ends > ENDS_ALLOWED).count();
    scene.record.tell(&format!(
        "ends by machine: {ends:?}; {machines} of {GATEWAYS} machines ended three times or more"
    ));
    Ok(machines > MACHINES_ALLOWED)
}

/// Sends requests at an even rate, and waits for the last ones.
fn send_requests(scene: &Arc<Scene>) {
    let started = Instant::now();
    let open = Arc::new(AtomicUsize::new(0));
    let mut sent = 0;
    while started.elapsed() < LENGTH {
        if started.elapsed().as_secs_f64() * REQUESTS_PER_S >= sent as f64 {
            sent += 1;
            let (scene, open, number) = (scene.clone(), open.clone(), sent);
            open.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                scene.ask(number);
                // Whoever drops the scene last ends its processes, and that must be the main thread.
                drop(scene);
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
        thread::sleep(Duration::from_millis(2));
    }
    while open.load(Ordering::Relaxed) > 0 {
        thread::sleep(Duration::from_millis(10));
    }
}
