//! Stand-in for an application back end: it records every call that it truly ran.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_http::{Body, Handler, json_response, read_limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::ending::Ending;

const BODY_LIMIT_BYTES: usize = 8 << 20;
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Calls recorded at most; a throughput run stops recording there.
const RECORD_LIMIT: usize = 200_000;

/// One call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanCall {
    /// Path.
    pub path: String,
    /// Idempotency key; empty when none was sent.
    pub key: String,
    /// Attempt identifier given by the node.
    pub attempt: String,
    /// Caller's own identifier of the call; empty when none was sent.
    pub call: String,
}

/// Behaviour in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ApplicationFaults {
    /// Milliseconds a call takes.
    pub service_ms: u64,
    /// The next calls run and their connection is cut before the answer.
    pub lose_answers: u64,
    /// Health polls say that this back end is leaving.
    pub leaving: bool,
    /// Calls are refused with 503 and the header that says they did not run.
    pub refuse: bool,
}

#[derive(Debug, Default)]
struct State {
    ran: Vec<RanCall>,
    ran_count: u64,
    open: u64,
    faults: ApplicationFaults,
}

/// The stand-in.
#[derive(Debug)]
pub struct ApplicationStandIn {
    name: String,
    state: Mutex<State>,
    ending: Arc<Ending>,
}

impl ApplicationStandIn {
    /// A back end of the given name.
    pub fn new(name: &str) -> Arc<Self> {
        Arc::new(Self { name: name.to_owned(), state: Mutex::default(), ending: Arc::default() })
    }

    /// Under which calls it ends.
    pub fn ending(&self) -> Arc<Ending> {
        self.ending.clone()
    }

    /// Sets the behaviour in force.
    pub fn set_faults(&self, faults: ApplicationFaults) {
        self.lock().faults = faults;
    }

    /// The calls that ran.
    pub fn ran(&self) -> Vec<RanCall> {
        self.lock().ran.clone()
    }

    /// How many calls ran.
    pub fn ran_count(&self) -> u64 {
        self.lock().ran_count
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Response<Body> {
        let state = self.lock();
        json_response(
            StatusCode::OK,
            &json!({"running": state.open, "waiting": 0, "leaving": state.faults.leaving}),
        )
    }

    async fn configure(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited(request.into_body(), BODY_LIMIT_BYTES, BODY_LIMIT).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                json_response(StatusCode::OK, &json!({}))
            }
            Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
        };
        let call = RanCall {
            path: request.uri().path().to_owned(),
            key: header("idempotency-key"),
            attempt: header("beamwall-attempt"),
            call: header("lab-call"),
        };
        let body = match read_limited(request.into_body(), BODY_LIMIT_BYTES, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => {
                return json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()}));
            }
        };
        let (number, faults, lose) = self.record(call);
        if self.ending.ends_under(&body) {
            self.ending.run_up_to_end().await;
            self.ending.end_now();
            return crate::object_store::lost_answer().await;
        }
        if faults.service_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.service_ms)).await;
        }
        self.lock().open -= 1;
        if lose {
            return crate::object_store::lost_answer().await;
        }
        json_response(StatusCode::OK, &json!({"ran_by": self.name, "number": number, "bytes": body.len()}))
    }

    fn record(&self, call: RanCall) -> (u64, ApplicationFaults, bool) {
        let mut state = self.lock();
        state.ran_count += 1;
        state.open += 1;
        if state.ran.len() < RECORD_LIMIT {
            state.ran.push(call);
        }
        let faults = state.faults.clone();
        let lose = faults.lose_answers > 0;
        state.faults.lose_answers = faults.lose_answers.saturating_sub(1);
        (state.ran_count, faults, lose)
    }
}

impl Handler for ApplicationStandIn {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/load" => self.load(),
            "/_lab/faults" => self.configure(request).await,
            "/_lab/ran" => json_response(StatusCode::OK, &self.ran()),
            _ if self.lock().faults.refuse => {
                let mut response =
                    json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "refused"}));
                response.headers_mut().insert("not-run", hyper::header::HeaderValue::from_static("true"));
                response
            }
            _ => self.run(request).await,
        }
    }
}
