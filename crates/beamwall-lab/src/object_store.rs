//! Stand-in for the platform's object API: versions, conditional writes, watches, call rates, and
//! faults on demand (outage, slowness, answers lost after the write took effect).

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use beamwall_http::{Body, Handler, json_response, query, read_limited};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;

/// Largest value: a megabyte.
const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Longest time a write's body may take.
const BODY_LIMIT: Duration = Duration::from_secs(5);
/// Changes remembered for watches.
const WATCH_HISTORY: usize = 65_536;
/// Longest wait of one watch call.
const WATCH_LIMIT_MS: u64 = 60_000;

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectFaults {
    /// Every call gets 503.
    pub outage: bool,
    /// Milliseconds every call takes longer.
    pub slow_ms: u64,
    /// The next writes take effect and their connection is cut before the answer.
    pub lose_write_answers: u64,
}

/// Call rates.
#[derive(Debug, Clone, Copy)]
pub struct ObjectRates {
    /// Writes a second.
    pub writes_per_second: u32,
    /// Reads a second; a waiting watch counts as one.
    pub reads_per_second: u32,
}

impl Default for ObjectRates {
    fn default() -> Self {
        Self { writes_per_second: 100, reads_per_second: 2000 }
    }
}

/// Calls counted since start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ObjectCounts {
    /// Writes accepted, conflicts included.
    pub writes: u64,
    /// Reads, lists and watches.
    pub reads: u64,
    /// Calls refused by rate.
    pub refused: u64,
}

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    value: String,
}

#[derive(Debug)]
struct Window {
    started: Instant,
    used: u32,
}

impl Window {
    fn take(&mut self, limit: u32) -> bool {
        if self.started.elapsed() >= Duration::from_secs(1) {
            self.started = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.used <= limit
    }
}

#[derive(Debug)]
struct State {
    objects: BTreeMap<String, Stored>,
    changes: VecDeque<(u64, String)>,
    sequence: u64,
    faults: ObjectFaults,
    counts: ObjectCounts,
    write_window: Window,
    read_window: Window,
}

/// The stand-in.
#[derive(Debug)]
pub struct ObjectStandIn {
    state: Mutex<State>,
    rates: ObjectRates,
    changed: Notify,
}

enum WriteResult {
    Done(u64),
    Conflict(u64),
}

impl ObjectStandIn {
    /// An empty store.
    pub fn new(rates: ObjectRates) -> Arc<Self> {
        let window = || Window { started: Instant::now(), used: 0 };
        Arc::new(Self {
            state: Mutex::new(State {
                objects: BTreeMap::new(),
                changes: VecDeque::new(),
                sequence: 0,
                faults: ObjectFaults::default(),
                counts: ObjectCounts::default(),
                write_window: window(),
                read_window: window(),
            }),
            rates,
            changed: Notify::new(),
        })
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: ObjectFaults) {
        self.lock().faults = faults;
    }

    /// Calls counted since start.
    pub fn counts(&self) -> ObjectCounts {
        self.lock().counts
    }

    /// The values of all objects whose key starts with `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.lock();
        let matching = state.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(key, stored)| (key.clone(), stored.value.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: &str, expected: u64, value: Option<String>) -> WriteResult {
        let mut state = self.lock();
        let current = state.objects.get(key).map_or(0, |stored| stored.version);
        if current != expected {
            return WriteResult::Conflict(current);
        }
        state.sequence += 1;
        let version = state.sequence;
        match value {
            Some(value) => state.objects.insert(key.to_owned(), Stored { version, value }),
            None => state.objects.remove(key),
        };
        state.changes.push_back((version, key.to_owned()));
        if state.changes.len() > WATCH_HISTORY {
            state.changes.pop_front();
        }
        drop(state);
        self.changed.notify_waiters();
        WriteResult::Done(version)
    }

    fn within_rate(&self, is_write: bool) -> bool {
        let mut state = self.lock();
        let allowed = if is_write {
            state.counts.writes += 1;
            state.write_window.take(self.rates.writes_per_second)
        } else {
            state.counts.reads += 1;
            state.read_window.take(self.rates.reads_per_second)
        };
        if !allowed {
            state.counts.refused += 1;
        }
        allowed
    }

    async fn objects(&self, request: Request<Incoming>) -> Response<Body> {
        let key = request.uri().path().trim_start_matches("/objects/").to_owned();
        let is_write = request.method() != Method::GET;
        if !self.within_rate(is_write) {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        if !is_write {
            return self.read(&key);
        }
        let Some(expected) = query::number(request.uri(), "if-version") else {
            return status(StatusCode::BAD_REQUEST);
        };
        let deleted = request.method() == Method::DELETE;
        let value = match read_limited(request.into_body(), VALUE_LIMIT_BYTES, BODY_LIMIT).await {
            Ok(bytes) => bytes,
            Err(_) => return status(StatusCode::PAYLOAD_TOO_LARGE),
        };
        let value = (!deleted).then(|| String::from_utf8_lossy(&value).into_owned());
        let result = self.write(&key, expected, value);
        self.answer_write(result).await
    }

    fn read(&self, key: &str) -> Response<Body> {
        match self.lock().objects.get(key) {
            Some(stored) => {
                let body = json!({"key": key, "version": stored.version, "value": stored.value});
                json_response(StatusCode::OK, &body)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    async fn answer_write(&self, result: WriteResult) -> Response<Body> {
        let lose = {
            let mut state = self.lock();
            let lose = state.faults.lose_write_answers > 0;
            state.faults.lose_write_answers = state.faults.lose_write_answers.saturating_sub(1);
            lose
        };
        if lose {
            return lost_answer().await;
        }
        match result {
            WriteResult::Done(version) => json_response(StatusCode::OK, &json!({"version": version})),
            WriteResult::Conflict(version) => {
                json_response(StatusCode::CONFLICT, &json!({"version": version}))
            }
        }
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let state = self.lock();
        let matching = state.objects.range(prefix.to_owned()..);
        let items: Vec<_> = matching
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| json!({"key": key, "version": stored.version, "value": stored.value}))
            .collect();
        json_response(StatusCode::OK, &items)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Response<Body> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms.min(WATCH_LIMIT_MS));
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let (sequence, changed) = self.changes_after(prefix, after);
            let over = tokio::time::Instant::now() >= deadline;
            if !changed.is_empty() || over || self.lock().faults.outage {
                return json_response(StatusCode::OK, &json!({"sequence": sequence, "changed": changed}));
            }
            let _ = tokio::time::timeout_at(deadline, notified).await;
        }
    }

    fn changes_after(&self, prefix: &str, after: u64) -> (u64, Vec<String>) {
        let state = self.lock();
        let newer = state.changes.iter().rev().take_while(|(sequence, _)| *sequence > after);
        let mut changed: Vec<String> =
            newer.filter(|(_, key)| key.starts_with(prefix)).map(|(_, key)| key.clone()).collect();
        changed.sort_unstable();
        changed.dedup();
        (state.sequence, changed)
    }

    async fn set_faults_from(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited(request.into_body(), VALUE_LIMIT_BYTES, BODY_LIMIT).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                self.changed.notify_waiters();
                status(StatusCode::OK)
            }
            Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
        }
    }
}

fn status(code: StatusCode) -> Response<Body> {
    json_response(code, &json!({"status": code.as_u16()}))
}

/// An answer that never arrives whole: the headers promise a body and the connection is cut.
pub async fn lost_answer() -> Response<Body> {
    let (sender, body) = beamwall_http::channel(1);
    sender.abort("answer lost on purpose").await;
    Response::new(body)
}

impl Handler for ObjectStandIn {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/_lab/faults" {
            return self.set_faults_from(request).await;
        }
        if path == "/_lab/counts" {
            return json_response(StatusCode::OK, &self.counts());
        }
        let faults = self.lock().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        if path.starts_with("/objects/") {
            return self.objects(request).await;
        }
        let uri = request.uri();
        let prefix = query::text(uri, "prefix").unwrap_or("").to_owned();
        if !self.within_rate(false) {
            return status(StatusCode::TOO_MANY_REQUESTS);
        }
        match path.as_str() {
            "/list" => self.list(&prefix),
            "/watch" => {
                let after = query::number(uri, "after").unwrap_or(0);
                let wait_ms = query::number(uri, "wait-ms").unwrap_or(0);
                self.watch(&prefix, after, wait_ms).await
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// A value as bytes, for tests that write directly.
pub fn value(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
