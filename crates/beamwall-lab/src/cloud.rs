//! Stand-in for the cloud API and the machine list.
//!
//! It lists machines with a lag, gives prices by zone and class, starts and refuses machines, and
//! sends reclaim notices in waves. A machine started at run time is an engine inside this process.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beamwall_http::{Body, Handler, JsonClient, Pool, json_response, query, read_limited};
use beamwall_model::BackendId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::engine::{EngineOptions, EngineStandIn, EngineTiming, start_engine};
use crate::running::{Running, free_addresses};

const BODY_LIMIT_BYTES: usize = 1 << 20;
const BODY_LIMIT: Duration = Duration::from_secs(5);
const WAIT_LIMIT_MS: u64 = 30_000;
/// Time a machine takes from request to serving, before scaling.
const START_TIME: Duration = Duration::from_secs(20);

/// A machine, in the form of the published list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LabMachine {
    /// Name of the machine and of the back end on it.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its class.
    pub class: String,
    /// Whether it may be taken back.
    pub reclaimable: bool,
    /// Price in millionths of the currency an hour.
    pub price_micros_per_hour: u64,
    /// Where the back end listens.
    pub address: String,
    /// The service it runs.
    pub service: String,
    /// `starting`, `running` or `leaving`.
    pub state: String,
}

/// A reclaim wave as ordered by an experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Wave {
    /// Machines taken back.
    pub machines: Vec<String>,
    /// Milliseconds of notice.
    pub notice_ms: u64,
}

/// How the cloud behaves.
#[derive(Debug, Clone)]
pub struct CloudOptions {
    /// Age of the machine list.
    pub list_lag: Duration,
    /// Speed of engines that are started at run time.
    pub speed: f64,
}

#[derive(Debug)]
struct State {
    machines: Vec<LabMachine>,
    snapshots: Vec<(Instant, Vec<LabMachine>)>,
    notices: Vec<Value>,
    refuse_starts: bool,
    refused: u64,
    requests: HashMap<String, String>,
    started: HashMap<String, (Arc<EngineStandIn>, Running)>,
    next: u64,
}

/// The stand-in.
#[derive(Debug)]
pub struct CloudStandIn {
    options: CloudOptions,
    state: Mutex<State>,
    noticed: Notify,
}

#[derive(Debug, Deserialize)]
struct StartCall {
    request: String,
    zone: String,
    class: String,
    reclaimable: bool,
    service: String,
}

impl CloudStandIn {
    /// A cloud that already runs `machines`.
    pub fn new(machines: Vec<LabMachine>, options: CloudOptions) -> Arc<Self> {
        let state = State {
            snapshots: vec![(Instant::now(), machines.clone())],
            machines,
            notices: Vec::new(),
            refuse_starts: false,
            refused: 0,
            requests: HashMap::new(),
            started: HashMap::new(),
            next: 1,
        };
        Arc::new(Self { options, state: Mutex::new(state), noticed: Notify::new() })
    }

    /// Refuses every start from now on, or no longer.
    pub fn refuse_starts(&self, refuse: bool) {
        self.lock().refuse_starts = refuse;
    }

    /// Starts refused so far.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Machines as they truly are.
    pub fn machines(&self) -> Vec<LabMachine> {
        self.lock().machines.clone()
    }

    /// Announces that machines are taken back and takes them at the deadline.
    pub fn reclaim(self: &Arc<Self>, wave: &Wave) {
        self.announce(wave);
        for id in &wave.machines {
            tokio::spawn(self.clone().take_back(id.clone(), wave.notice_ms));
        }
    }

    fn announce(&self, wave: &Wave) {
        let mut state = self.lock();
        for id in &wave.machines {
            let sequence = state.notices.len() as u64 + 1;
            state.notices.push(json!({"sequence": sequence, "machine": id, "deadline_ms": wave.notice_ms}));
            if let Some(machine) = state.machines.iter_mut().find(|machine| &machine.id == id) {
                machine.state = "leaving".to_owned();
            }
        }
        record_snapshot(&mut state, self.options.list_lag);
        drop(state);
        self.noticed.notify_waiters();
    }

    async fn take_back(self: Arc<Self>, id: String, notice_ms: u64) {
        let address =
            self.machines().into_iter().find(|machine| machine.id == id).map(|machine| machine.address);
        if let Some(address) = address.and_then(|text| text.parse().ok()) {
            let client = JsonClient::new(Pool::new(Duration::from_secs(1)), address, Duration::from_secs(1));
            let _ = client.call(Method::POST, &format!("/_lab/reclaim/{notice_ms}"), Bytes::new()).await;
        }
        tokio::time::sleep(Duration::from_millis(notice_ms)).await;
        self.remove(&id);
    }

    fn remove(&self, id: &str) {
        let mut state = self.lock();
        state.machines.retain(|machine| machine.id != id);
        if let Some((engine, running)) = state.started.remove(id) {
            engine.kill();
            running.stop();
        }
        record_snapshot(&mut state, self.options.list_lag);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> Response<Body> {
        let state = self.lock();
        let now = Instant::now();
        let old_enough =
            |(taken, _): &&(Instant, Vec<LabMachine>)| now.duration_since(*taken) >= self.options.list_lag;
        let shown = state.snapshots.iter().rev().find(old_enough).or(state.snapshots.first());
        json_response(StatusCode::OK, &shown.map(|(_, machines)| machines.clone()).unwrap_or_default())
    }

    fn offers(&self) -> Response<Body> {
        let machines = self.machines();
        let mut zones: Vec<&str> = machines.iter().map(|machine| machine.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let offers: Vec<Value> =
            zones.iter().enumerate().flat_map(|(index, zone)| zone_offers(zone, index as u64)).collect();
        json_response(StatusCode::OK, &offers)
    }

    async fn notices(&self, after: u64, wait_ms: u64) -> Response<Body> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms.min(WAIT_LIMIT_MS));
        loop {
            let noticed = self.noticed.notified();
            tokio::pin!(noticed);
            noticed.as_mut().enable();
            let skip = usize::try_from(after).unwrap_or(usize::MAX);
            let newer: Vec<Value> = self.lock().notices.iter().skip(skip).cloned().collect();
            if !newer.is_empty() || tokio::time::Instant::now() >= deadline {
                return json_response(StatusCode::OK, &newer);
            }
            let _ = tokio::time::timeout_at(deadline, noticed).await;
        }
    }

    /// Accepts a start at once; the machine serves after its start time.
    fn start(self: &Arc<Self>, body: &Bytes) -> Response<Body> {
        let Ok(call) = serde_json::from_slice::<StartCall>(body) else {
            return json_response(StatusCode::BAD_REQUEST, &json!({"error": "start not readable"}));
        };
        if let Some(machine) = self.already_started(&call.request) {
            return json_response(StatusCode::OK, &machine);
        }
        if self.lock().refuse_starts {
            self.lock().refused += 1;
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "no capacity"}));
        }
        let machine = self.add_starting(&call);
        tokio::spawn(self.clone().bring_up(machine.clone()));
        json_response(StatusCode::OK, &machine)
    }

    fn already_started(&self, request: &str) -> Option<LabMachine> {
        let state = self.lock();
        let id = state.requests.get(request)?;
        state.machines.iter().find(|machine| &machine.id == id).cloned()
    }

    fn add_starting(&self, call: &StartCall) -> LabMachine {
        let price = zone_offers(&call.zone, 0)
            .iter()
            .find(|offer| offer["class"] == call.class.as_str() && offer["reclaimable"] == call.reclaimable)
            .and_then(|offer| offer["price_micros_per_hour"].as_u64());
        let mut state = self.lock();
        state.next += 1;
        let machine = LabMachine {
            id: format!("{}-{}-{}", call.service, call.zone, state.next),
            zone: call.zone.clone(),
            class: call.class.clone(),
            reclaimable: call.reclaimable,
            price_micros_per_hour: price.unwrap_or(0),
            address: free_addresses(1)[0].to_string(),
            service: call.service.clone(),
            state: "starting".to_owned(),
        };
        state.requests.insert(call.request.clone(), machine.id.clone());
        state.machines.push(machine.clone());
        record_snapshot(&mut state, self.options.list_lag);
        machine
    }

    async fn bring_up(self: Arc<Self>, machine: LabMachine) {
        tokio::time::sleep(START_TIME.div_f64(self.options.speed)).await;
        let options = EngineOptions {
            name: machine.id.clone(),
            timing: EngineTiming::at_speed(self.options.speed),
            checks_orders: true,
            model: String::new(),
            version: String::new(),
        };
        let Ok(address) = machine.address.parse() else { return };
        let Ok((engine, running)) = start_engine(address, options).await else { return };
        let mut state = self.lock();
        state.started.insert(machine.id.clone(), (engine, running));
        if let Some(known) = state.machines.iter_mut().find(|known| known.id == machine.id) {
            known.state = "running".to_owned();
        }
        record_snapshot(&mut state, self.options.list_lag);
    }
}

/// Two classes, each reclaimable and on demand; zones differ in price.
fn zone_offers(zone: &str, index: u64) -> Vec<Value> {
    let classes = [("large", 4_000_000_u64), ("small", 1_500_000)];
    let offer = |class: &str, price: u64, reclaimable: bool| json!({"zone": zone, "class": class, "reclaimable": reclaimable, "price_micros_per_hour": price});
    let both = |(class, price): (&str, u64)| {
        let zoned = price + price * index / 10;
        [offer(class, zoned, false), offer(class, zoned * 35 / 100, true)]
    };
    classes.into_iter().flat_map(both).collect()
}

fn record_snapshot(state: &mut State, lag: Duration) {
    let now = Instant::now();
    let machines = state.machines.clone();
    state.snapshots.push((now, machines));
    while state.snapshots.len() > 2 && now.duration_since(state.snapshots[1].0) > lag {
        state.snapshots.remove(0);
    }
}

impl Handler for CloudStandIn {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let after = query::number(request.uri(), "after").unwrap_or(0);
        let wait_ms = query::number(request.uri(), "wait-ms").unwrap_or(0);
        let method = request.method().clone();
        if method == Method::GET {
            return match path.as_str() {
                "/cloud/machines" => self.list(),
                "/cloud/offers" => self.offers(),
                "/cloud/notices" => self.notices(after, wait_ms).await,
                "/_lab/machines" => json_response(StatusCode::OK, &self.machines()),
                _ => json_response(StatusCode::NOT_FOUND, &json!({})),
            };
        }
        if let Some(id) = path.strip_prefix("/cloud/machines/") {
            self.remove(BackendId::new(id).as_str());
            return json_response(StatusCode::OK, &json!({}));
        }
        let body = read_limited(request.into_body(), BODY_LIMIT_BYTES, BODY_LIMIT).await.unwrap_or_default();
        match path.as_str() {
            "/cloud/machines" => self.start(&body),
            "/_lab/wave" => match serde_json::from_slice::<Wave>(&body) {
                Ok(wave) => {
                    self.reclaim(&wave);
                    json_response(StatusCode::OK, &json!({}))
                }
                Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
            },
            "/_lab/refuse-starts" => {
                self.refuse_starts(body.as_ref() == b"true");
                json_response(StatusCode::OK, &json!({}))
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}
