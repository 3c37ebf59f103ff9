//! Plain calls: one request to one application back end, sent once unless it may be repeated.

use std::time::Duration;

use beamwall_config::{Service, Tenant};
use beamwall_fleet::BackendView;
use beamwall_http::{PoolError, PooledBody, full};
use beamwall_model::{AttemptId, BackendId, Outcome, ServiceClass};
use beamwall_quarantine::{Fingerprint, FingerprintHasher, HeldRequest};
use beamwall_routing::{NoRoute, Route, RouteQuery, choose_backend};
use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Request, Response, StatusCode, Uri};
use quick_error::quick_error;
use tokio::time::Instant;

use crate::claim::RecordedAnswer;
use crate::claim_ledger::ClaimLedger;
use crate::dispatcher::{Dispatcher, GuardedRequest};

/// Header in which a back end says that it refused a call before running it.
const NOT_RUN: &str = "not-run";
/// Header that carries the attempt to the back end.
const ATTEMPT: HeaderName = HeaderName::from_static("beamwall-attempt");
/// When to come back after no back end was reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a call got no answer from a back end.
    #[derive(Debug)]
    pub enum CallError {
        /// The call ran nowhere.
        NotRun(reason: String, retry_after: Duration) {
            display("not run: {}", reason)
        }
        /// The call ran nowhere, since back ends ended under it before.
        Held(held: HeldRequest) {
            display("{}", held.reason())
        }
        /// The call may have run.
        Unknown(reason: String) {
            display("outcome unknown: {}", reason)
        }
        /// The same key is in use by a call whose answer is not known.
        InProgress {
            display("a call with this idempotency key was sent and its answer is not known")
        }
        /// The same key was used for another call.
        KeyReused {
            display("this idempotency key was used for another call")
        }
        /// The service takes only calls with an idempotency key.
        KeyRequired {
            display("this service requires an idempotency key")
        }
    }
}

impl CallError {
    /// The outcome to tell the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotRun(..) | Self::Held(_) | Self::KeyReused | Self::KeyRequired => Outcome::NotRun,
            Self::Unknown(_) | Self::InProgress => Outcome::Unknown,
        }
    }
}

/// A call as accepted from a caller.
pub struct PlainCall<'a> {
    /// Who asked.
    pub tenant: &'a Tenant,
    /// What was asked.
    pub service: &'a Service,
    /// Method.
    pub method: Method,
    /// Path and query below the service.
    pub path: &'a str,
    /// Headers as received.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub key: Option<&'a str>,
    /// Its class.
    pub class: ServiceClass,
    /// When the caller gives up.
    pub deadline: Instant,
}

impl PlainCall<'_> {
    /// What all tries of this call have in common.
    pub fn fingerprint(&self) -> Fingerprint {
        let service = self.service.name.as_str();
        let mut hasher = FingerprintHasher::new(Some(self.tenant.name.as_str()), service, self.path);
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(&self.body);
        hasher.finish()
    }
}

/// The answer to a call.
pub enum PlainAnswer {
    /// From a back end, now.
    Fresh {
        /// The response.
        response: Response<PooledBody>,
        /// Where it ran and why there.
        route: Route,
    },
    /// From a back end, now, with the body read for recording.
    Whole {
        /// Status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
        /// Where it ran and why there.
        route: Route,
    },
    /// From an earlier run of the same call.
    Replayed(RecordedAnswer),
}

impl Dispatcher {
    /// Runs a call.
    pub async fn call(
        &self,
        call: &PlainCall<'_>,
        ledger: &ClaimLedger,
        body_limit: usize,
    ) -> Result<PlainAnswer, CallError> {
        let fingerprint = call.fingerprint();
        let admission = self.guard.admit(&fingerprint).await.map_err(CallError::Held)?;
        let guarded = GuardedRequest { fingerprint, admission };
        let result = self.call_admitted(call, &guarded, ledger, body_limit).await;
        if matches!(result, Ok(PlainAnswer::Fresh { .. } | PlainAnswer::Whole { .. })) {
            self.guard.note_completed(&fingerprint);
        }
        result
    }

    async fn call_admitted(
        &self,
        call: &PlainCall<'_>,
        guarded: &GuardedRequest,
        ledger: &ClaimLedger,
        body_limit: usize,
    ) -> Result<PlainAnswer, CallError> {
        if call.service.repeatable {
            return self.call_repeatable(call, guarded).await;
        }
        match call.key {
            Some(key) => self.call_with_claim(call, key, ledger, body_limit).await,
            None if call.service.key_required => Err(CallError::KeyRequired),
            None => {
                let attempt = self.identifiers.attempt();
                let (response, route) = self.send_once(call, &attempt).await?;
                Ok(PlainAnswer::Fresh { response, route })
            }
        }
    }

    /// A repeatable call is sent again after a lost answer, within the retry budget.
    async fn call_repeatable(
        &self,
        call: &PlainCall<'_>,
        guarded: &GuardedRequest,
    ) -> Result<PlainAnswer, CallError> {
        let lane = self.lane(&call.service.name);
        lane.retries.earn(call.service.retry_budget_percent);
        let mut attempts = 1;
        loop {
            let attempt = self.identifiers.attempt();
            match self.send_once(call, &attempt).await {
                Ok((response, route)) => return Ok(PlainAnswer::Fresh { response, route }),
                Err(CallError::Unknown(_))
                    if guarded.may_go_on(self.guard.as_ref())
                        && attempts < call.service.max_attempts
                        && lane.retries.take()
                        && Instant::now() < call.deadline =>
                {
                    attempts += 1;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a call so that at most one back end can run it. Another back end is tried only when it
    /// is certain that the one before did not.
    pub(crate) async fn send_once(
        &self,
        call: &PlainCall<'_>,
        attempt: &AttemptId,
    ) -> Result<(Response<PooledBody>, Route), CallError> {
        let mut excluded: Vec<BackendId> = Vec::new();
        loop {
            let route =
                self.route_call(call, &excluded).map_err(|error| not_run(&error.to_string(), RETRY_AFTER))?;
            let backend = route.backend.clone();
            let sent_at = Instant::now();
            match self.send_to(call, &backend, attempt).await {
                Ok(response) if refused_before_running(&response) => {}
                Ok(response) => return Ok((response, route)),
                Err(SendFailure::Pool(PoolError::Refused(_))) => self.guard.note_refused(&backend.backend.id),
                Err(SendFailure::Pool(error)) if error.nothing_sent() => {}
                Err(failure) => {
                    let exposure = sent_at.elapsed();
                    self.guard.note_lost(&call.fingerprint(), &backend.backend.id, exposure).await;
                    return Err(CallError::Unknown(failure.reason()));
                }
            }
            excluded.push(backend.backend.id.clone());
        }
    }

    fn route_call(&self, call: &PlainCall<'_>, excluded: &[BackendId]) -> Result<Route, NoRoute> {
        let query = RouteQuery {
            service: call.service,
            session: None,
            prompt_tokens: 0,
            zone: &self.zone,
            round_robin_index: 0,
            excluded,
            cached_tokens: &|_| 0,
        };
        choose_backend(&self.view.load(), &query)
    }

    async fn send_to(
        &self,
        call: &PlainCall<'_>,
        backend: &BackendView,
        attempt: &AttemptId,
    ) -> Result<Response<PooledBody>, SendFailure> {
        let _open = backend.load.dispatch(0);
        let mut request = Request::new(full(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = Uri::try_from(call.path).unwrap_or_default();
        copy_headers(call.headers, request.headers_mut());
        if let Ok(host) = HeaderValue::from_str(&backend.backend.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        if let Ok(value) = HeaderValue::from_str(attempt.as_str()) {
            request.headers_mut().insert(ATTEMPT, value);
        }
        let sending = self.pool.send(backend.backend.address, request);
        match tokio::time::timeout_at(call.deadline, sending).await {
            Ok(result) => result.map_err(SendFailure::Pool),
            Err(_) => Err(SendFailure::TimedOut),
        }
    }
}

enum SendFailure {
    Pool(PoolError),
    TimedOut,
}

impl SendFailure {
    fn reason(&self) -> String {
        match self {
            Self::Pool(error) => error.to_string(),
            Self::TimedOut => "no answer before the deadline".to_owned(),
        }
    }
}

pub(crate) fn not_run(reason: &str, retry_after: Duration) -> CallError {
    CallError::NotRun(reason.to_owned(), retry_after)
}

fn refused_before_running(response: &Response<PooledBody>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE && response.headers().contains_key(NOT_RUN)
}

/// Headers that concern one connection, or that the node sets itself, are not passed on.
pub fn is_passed_on(name: &HeaderName) -> bool {
    let own = [&CONNECTION, &HOST, &CONTENT_LENGTH, &TRANSFER_ENCODING, &hyper::header::AUTHORIZATION];
    !own.contains(&name)
        && !matches!(name.as_str(), "keep-alive" | "te" | "upgrade" | "proxy-connection" | "trailer")
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from.iter().filter(|(name, _)| is_passed_on(name)) {
        to.append(name.clone(), value.clone());
    }
}
