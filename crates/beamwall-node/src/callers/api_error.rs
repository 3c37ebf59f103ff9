//! Errors as callers see them: a status, a typed JSON body, an outcome and a time to come back.

use std::time::Duration;

use beamwall_http::body::ReadError;
use beamwall_http::{Body, json_response};
use beamwall_model::{NodeId, Outcome};
use beamwall_quarantine::HeldRequest;
use beamwall_request::End;
use beamwall_request::async_record::RecordError;
use beamwall_request::plain_call::CallError;
use beamwall_routing::LimitExceeded;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// Header that tells what is known of the request.
pub const OUTCOME: &str = "beamwall-outcome";
/// Header that names the node that answered.
pub const NODE: &str = "beamwall-node";

/// An error answer.
#[derive(Debug, Clone)]
pub struct ApiError {
    status: StatusCode,
    kind: &'static str,
    message: String,
    outcome: Outcome,
    retry_after: Option<Duration>,
}

impl ApiError {
    /// An error about a request that ran nowhere.
    pub fn refused(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self { status, kind, message: message.into(), outcome: Outcome::NotRun, retry_after: None }
    }

    /// The path leads nowhere.
    pub fn no_such_path(path: &str) -> Self {
        Self::refused(StatusCode::NOT_FOUND, "no_such_path", format!("no such path: {path}"))
    }

    /// The request is not well formed.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// The node is not ready.
    pub fn not_ready() -> Self {
        let error = Self::refused(StatusCode::SERVICE_UNAVAILABLE, "not_ready", "this node is not ready");
        error.retry_after(Duration::from_secs(1))
    }

    /// Adds the time after which to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the outcome.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The JSON body.
    pub fn to_json(&self) -> serde_json::Value {
        json!({"error": {
            "type": self.kind,
            "message": self.message,
            "outcome": self.outcome.as_str(),
            "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
        }})
    }

    /// The whole response.
    pub fn into_response(self, node: &NodeId) -> Response<Body> {
        let mut response = json_response(self.status, &self.to_json());
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Ok(value) = HeaderValue::from_str(node.as_str()) {
            headers.insert(NODE, value);
        }
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(after.as_secs_f64().ceil() as u64));
        }
        response
    }
}

impl From<ReadError> for ApiError {
    fn from(error: ReadError) -> Self {
        let status = match &error {
            ReadError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::TooSlow(_) => StatusCode::REQUEST_TIMEOUT,
            ReadError::NoRoom(_) => StatusCode::SERVICE_UNAVAILABLE,
            ReadError::Broken(_) => StatusCode::BAD_REQUEST,
        };
        Self::refused(status, "unreadable_body", error.to_string())
    }
}

impl From<LimitExceeded> for ApiError {
    fn from(error: LimitExceeded) -> Self {
        let after = match &error {
            LimitExceeded::Rate(after) => *after,
            LimitExceeded::Concurrency(_) => Duration::from_secs(1),
        };
        Self::refused(StatusCode::TOO_MANY_REQUESTS, "limit_exceeded", error.to_string()).retry_after(after)
    }
}

impl From<CallError> for ApiError {
    fn from(error: CallError) -> Self {
        let (status, kind) = match &error {
            CallError::NotRun(..) => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
            CallError::Held(HeldRequest { retry_after: None, .. }) => (StatusCode::BAD_REQUEST, "held"),
            CallError::Held(_) => (StatusCode::SERVICE_UNAVAILABLE, "held"),
            CallError::Unknown(_) => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
            CallError::InProgress => (StatusCode::CONFLICT, "call_in_progress"),
            CallError::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
            CallError::KeyRequired => (StatusCode::BAD_REQUEST, "key_required"),
        };
        let outcome = error.outcome();
        let answer = Self::refused(status, kind, error.to_string()).outcome(outcome);
        match error {
            CallError::NotRun(_, after) => answer.retry_after(after),
            CallError::Held(held) => Self { retry_after: held.retry_after, ..answer },
            _ => answer,
        }
    }
}

impl From<RecordError> for ApiError {
    fn from(error: RecordError) -> Self {
        let answer =
            Self::refused(StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable", error.to_string());
        let outcome =
            if matches!(error, RecordError::Undecided(_)) { Outcome::Unknown } else { Outcome::NotRun };
        answer.outcome(outcome).retry_after(Duration::from_secs(2))
    }
}

impl From<End> for ApiError {
    fn from(end: End) -> Self {
        let (status, kind) = match end.outcome {
            // The request itself is at fault.
            Outcome::NotRun if end.retry_after.is_none() => (StatusCode::BAD_REQUEST, "held"),
            Outcome::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
            Outcome::Interrupted => (StatusCode::SERVICE_UNAVAILABLE, "interrupted"),
            Outcome::Unknown | Outcome::Completed => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
        };
        Self { status, kind, message: end.reason, outcome: end.outcome, retry_after: end.retry_after }
    }
}
