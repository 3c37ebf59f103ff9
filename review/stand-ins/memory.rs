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

/// Entry machines and engines of the application, one of each in each zone; half of the engines are in trouble.
const GATEWAYS: usize = 4;
const ENGINES: usize = 4;
const IN_TROUBLE: usize = 2;
/// Bytes a second of one answer without end.
const ENDLESS: &str = "endless=4000000";
/// Calls a second: 8 for each machine, as on the sheet.
const CALLS_PER_S: f64 = 32.0;
/// How long the clients wait, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// Memory of a machine: a process that goes over it is killed, and started again after a short delay.
const MEMORY_MB: u64 = 260;
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// How long clients call.
const LENGTH: Duration = Duration::from_secs(102);
/// Ends of one machine's processes, and machines with so many, at which the rule is broken.
const ENDS_ALLOWED: usize = 2;
const MACHINES_ALLOWED: usize = 1;

fn config() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":4000,\"slo_ms\":300,\"priority\":1,\"service\":\"app\",\"max_attempts\":{attempts},\
             \"public\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"dealer\",\"api_keys\":[\"key-of-dealer\"],\"unit\":\"token_count\",\
         \"plain_tokens\":200}}]}}",
        route("/lookup/", "unsafe", 1),
        route("/card/", "safe", 2)
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

    /// One call; the record tells what became of it.
    fn call(&self, number: usize) {
        let id = format!("r{number:05}");
        let path = if number % 7 < 5 { "/lookup/1" } else { "/card/1" };
        let question = Question {
            method: "POST",
            path,
            id: &id,
            key: "key-of-dealer",
            deadline_ms: DEADLINE_MS,
            headers: String::new(),
            body: b"an account",
        };
        let gateway = self.gateway(number);
        self.record.add(&format!("sent {id} {path} to front-{gateway}"));
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
    let sound = ["first_ms=60"];
    let endless = ["first_ms=60", ENDLESS];
    deployment.add_engines("app", 6, IN_TROUBLE, if has_trouble { &endless } else { &sound })?;
    deployment.add_engines("app", 6, ENGINES - IN_TROUBLE, &sound)?;
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
        send_calls(&scene);
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

/// Sends calls at an even rate, and waits for the last ones.
fn send_calls(scene: &Arc<Scene>) {
    let started = Instant::now();
    let open = Arc::new(AtomicUsize::new(0));
    let mut sent = 0;
    while started.elapsed() < LENGTH {
        if started.elapsed().as_secs_f64() * CALLS_PER_S >= sent as f64 {
            sent += 1;
            let (scene, open, number) = (scene.clone(), open.clone(), sent);
            open.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                scene.call(number);
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
        thread::sleep(Duration::from_millis(2));
    }
    while open.load(Ordering::Relaxed) > 0 {
        thread::sleep(Duration::from_millis(10));
    }
}
