//! The engine's HTTP interface and its step loop.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beamwall_http::{Body, Handler, json_response, query, read_limited};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::batch::{Batch, GenerateCall};
use super::timing::EngineTiming;
use crate::ending::Ending;
use crate::running::Running;

const BODY_LIMIT_BYTES: usize = 16 << 20;
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Cache events that are not yet published.
const WITHHELD_EVENTS: usize = 16;
/// Of this many cache events one is lost.
const LOST_EVENT_PERIOD: u64 = 23;
/// Pieces a slow reader may lag behind.
const OUTPUT_CAPACITY: usize = 64;

/// What an engine is.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its name.
    pub name: String,
    /// Its timing.
    pub timing: EngineTiming,
    /// Whether it refuses orders of an older epoch.
    pub checks_orders: bool,
    /// Model it has loaded.
    pub model: String,
    /// Version it has loaded.
    pub version: String,
}

/// An order as given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Epoch of the lease under which the order was given.
    pub epoch: u64,
    /// Revision of the plan the order carries out.
    pub plan_revision: u64,
    /// The order: `load`, `leave` or `stay`.
    pub order: String,
    /// Model to load.
    #[serde(default)]
    pub model: String,
    /// Version to load.
    #[serde(default)]
    pub version: String,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    leaving: bool,
    epoch: u64,
    model: String,
    version: String,
    orders: Vec<OrderCall>,
    reports: VecDeque<(Instant, Value)>,
}

/// The stand-in.
#[derive(Debug)]
pub struct EngineStandIn {
    options: EngineOptions,
    state: Mutex<State>,
    work: Notify,
    dead: AtomicBool,
    stalled: AtomicBool,
    died: Notify,
    ending: Arc<Ending>,
}

/// Starts an engine on an address.
pub async fn start_engine(
    address: SocketAddr,
    options: EngineOptions,
) -> io::Result<(Arc<EngineStandIn>, Running)> {
    let engine = EngineStandIn::new(options);
    let running = Running::start(address, engine.clone()).await?;
    tokio::spawn(engine.clone().step_loop());
    Ok((engine, running))
}

impl EngineStandIn {
    /// An engine that is not stepping yet.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        let state = State {
            batch: Batch::new(options.timing),
            leaving: false,
            epoch: 0,
            model: options.model.clone(),
            version: options.version.clone(),
            orders: Vec::new(),
            reports: VecDeque::new(),
        };
        Arc::new(Self {
            options,
            state: Mutex::new(state),
            work: Notify::new(),
            dead: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            died: Notify::new(),
            ending: Arc::default(),
        })
    }

    /// Computes steps until killed.
    pub async fn step_loop(self: Arc<Self>) {
        while !self.dead.load(Ordering::Relaxed) {
            if self.stalled.load(Ordering::Relaxed) || self.lock().batch.is_idle() {
                let _ = tokio::time::timeout(Duration::from_millis(100), self.work.notified()).await;
                continue;
            }
            let length = self.lock().batch.begin_step();
            tokio::time::sleep(length).await;
            self.lock().batch.finish_step();
        }
    }

    /// Stops at once: open streams break and later calls are cut.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
        self.lock().batch.abort_all();
        self.died.notify_waiters();
    }

    /// Under which prompts it ends.
    pub fn ending(&self) -> Arc<Ending> {
        self.ending.clone()
    }

    /// Runs a request under which the engine ends.
    fn begin_end(self: &Arc<Self>) {
        let engine = self.clone();
        tokio::spawn(async move {
            engine.ending.run_up_to_end().await;
            engine.kill();
            engine.ending.end_now();
        });
    }

    /// Stops computing while still answering polls, as a wedged accelerator would.
    pub fn stall(&self) {
        self.stalled.store(true, Ordering::Relaxed);
    }

    /// Marks the engine as leaving and kills it after `notice`.
    pub fn reclaim(self: &Arc<Self>, notice: Duration) {
        self.lock().leaving = true;
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            engine.kill();
        });
    }

    /// Attempts that ran.
    pub fn ran(&self) -> Vec<super::RanAttempt> {
        self.lock().batch.ran().to_vec()
    }

    /// Orders that were accepted.
    pub fn orders(&self) -> Vec<OrderCall> {
        self.lock().orders.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn generate(self: &Arc<Self>, body: Bytes) -> Response<Body> {
        let call: GenerateCall = match serde_json::from_slice(&body) {
            Ok(call) => call,
            Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if self.ending.ends_under(call.prompt.as_bytes()) {
            self.begin_end();
        }
        let mut output = self.lock().batch.submit(call);
        self.work.notify_one();
        let (sender, body) = beamwall_http::channel(OUTPUT_CAPACITY);
        let name = self.options.name.clone();
        tokio::spawn(async move {
            while let Some(item) = output.recv().await {
                let mut line = serde_json::to_vec(&item).unwrap_or_default();
                line.push(b'\n');
                if sender.send(Bytes::from(line)).await.is_err() {
                    return;
                }
                if matches!(item, super::batch::Output::Finished { .. }) {
                    return;
                }
            }
            sender.abort(&format!("{name} ended the attempt")).await;
        });
        Response::new(body)
    }

    fn load(&self) -> Response<Body> {
        let mut state = self.lock();
        let (running, waiting) = state.batch.depth();
        let report = json!({
            "running": running,
            "waiting": waiting,
            "queued_tokens": state.batch.queued_tokens(),
            "prefill_tokens_per_second": self.options.timing.prefill_tokens_per_second * self.options.timing.speed,
            "cached_blocks": state.batch.cache.len(),
        });
        let now = Instant::now();
        state.reports.push_back((now, report));
        let lag = self.options.timing.load_lag;
        while state.reports.len() > 1 && now.duration_since(state.reports[1].0) >= lag {
            state.reports.pop_front();
        }
        let mut shown = state.reports[0].1.clone();
        shown["leaving"] = json!(state.leaving);
        shown["model"] = json!(state.model);
        shown["version"] = json!(state.version);
        shown["epoch"] = json!(state.epoch);
        json_response(StatusCode::OK, &shown)
    }

    fn order(&self, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<OrderCall>(body) else {
            return refusal(StatusCode::BAD_REQUEST, "order not readable");
        };
        let mut state = self.lock();
        if self.options.checks_orders && order.epoch < state.epoch {
            let message = format!("epoch {} is older than {}", order.epoch, state.epoch);
            return refusal(StatusCode::CONFLICT, &message);
        }
        state.epoch = state.epoch.max(order.epoch);
        match order.order.as_str() {
            "load" => {
                state.model = order.model.clone();
                state.version = order.version.clone();
            }
            "leave" => state.leaving = true,
            _ => state.leaving = false,
        }
        state.orders.push(order);
        json_response(StatusCode::OK, &json!({}))
    }

    async fn export(&self, attempt: &str) -> Response<Body> {
        let exported = self.lock().batch.export(attempt);
        let Some((prompt_hash, blocks, tokens)) = exported else {
            return refusal(StatusCode::NOT_FOUND, "no such attempt is running");
        };
        tokio::time::sleep(self.options.timing.transfer(tokens)).await;
        json_response(
            StatusCode::OK,
            &json!({"prompt_hash": prompt_hash, "blocks": blocks, "tokens": tokens}),
        )
    }

    async fn import(&self, body: &Bytes) -> Response<Body> {
        #[derive(Deserialize)]
        struct Import {
            prompt_hash: u64,
            blocks: Vec<u64>,
            tokens: u32,
        }
        let Ok(import) = serde_json::from_slice::<Import>(body) else {
            return refusal(StatusCode::BAD_REQUEST, "import not readable");
        };
        tokio::time::sleep(self.options.timing.transfer(import.tokens)).await;
        self.lock().batch.import(import.prompt_hash, &import.blocks, import.tokens);
        json_response(StatusCode::OK, &json!({}))
    }

    fn cache_events(&self, after: u64) -> Response<Body> {
        let events = self.lock().batch.cache.events_after(after, WITHHELD_EVENTS);
        let kept: Vec<_> =
            events.into_iter().filter(|event| event.sequence % LOST_EVENT_PERIOD != 0).collect();
        json_response(StatusCode::OK, &kept)
    }

    async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/load" => return self.load(),
            "/cache-events" => return self.cache_events(query::number(request.uri(), "after").unwrap_or(0)),
            "/_lab/ran" => return json_response(StatusCode::OK, &self.ran()),
            "/_lab/orders" => return json_response(StatusCode::OK, &self.orders()),
            _ => {}
        }
        if let Some(attempt) = path.strip_prefix("/kv/") {
            return self.export(attempt).await;
        }
        let body = match read_limited(request.into_body(), BODY_LIMIT_BYTES, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match path.as_str() {
            "/generate" => self.generate(body).await,
            "/orders" => self.order(&body),
            "/kv" => self.import(&body).await,
            "/cancel" => {
                let attempt = String::from_utf8_lossy(&body).into_owned();
                let found = self.lock().batch.cancel(&attempt);
                json_response(StatusCode::OK, &json!({"found": found}))
            }
            _ => refusal(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn until_dead(&self) {
        loop {
            let died = self.died.notified();
            tokio::pin!(died);
            died.as_mut().enable();
            if self.dead.load(Ordering::Relaxed) {
                return;
            }
            died.await;
        }
    }
}

fn refusal(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({"error": message}))
}

impl Handler for EngineStandIn {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if let Some(notice_ms) = request.uri().path().strip_prefix("/_lab/reclaim/") {
            self.reclaim(Duration::from_millis(notice_ms.parse().unwrap_or(0)));
            return json_response(StatusCode::OK, &json!({}));
        }
        tokio::select! {
            biased;
            () = self.until_dead() => crate::object_store::lost_answer().await,
            response = self.answer(request) => response,
        }
    }
}
