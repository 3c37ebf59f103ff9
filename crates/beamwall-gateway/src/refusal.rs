//! The gateway's own answers: why a request got none from a back end.

use std::time::Duration;

use beamwall_http::{Body, full};
use beamwall_quarantine::HeldRequest;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::admission::Unservable;
use crate::ports::Dialect;
use crate::quota::QuotaExceeded;

/// When a caller may come back after a refusal for a passing reason.
const SOON: Duration = Duration::from_millis(100);

/// Why a request got no answer from a back end.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// No policy is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body could not be read.
    BadBody(String),
    /// The body is too large.
    BodyTooLarge,
    /// The tenant is beyond its quota.
    QuotaExceeded(QuotaExceeded),
    /// No back end could take it; it has not run.
    NotRun(String),
    /// It may have run and its answer is lost.
    AnswerLost(String),
    /// It may have run and no answer came in time.
    TimedOut,
    /// It was not begun in time.
    TooLate,
    /// Back ends ended under the request: it is not sent.
    Held(HeldRequest),
    /// No back end would begin to answer within the caller's patience; it was not sent.
    Unservable(Unservable),
}

impl From<HeldRequest> for Refusal {
    fn from(held: HeldRequest) -> Self {
        Self::Held(held)
    }
}

impl Refusal {
    /// The status that is answered.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotReady | Self::NotRun(_) | Self::TooLate | Self::Unservable(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            // The caller is told that the request itself is at fault, unless another one may be.
            Self::Held(HeldRequest { retry_after: None, .. }) => StatusCode::BAD_REQUEST,
            Self::Held(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadBody(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::QuotaExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::AnswerLost(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may come back, where the request has not run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QuotaExceeded(exceeded) => Some(exceeded.retry_after),
            Self::Unservable(unservable) => Some(unservable.retry_after),
            Self::Held(held) => held.retry_after,
            Self::NotReady | Self::NotRun(_) => Some(SOON),
            _ => None,
        }
    }

    /// What is said in logs and in the answer.
    pub fn reason(&self) -> String {
        match self {
            Self::NotReady => "this node knows no policy yet".to_owned(),
            Self::NoRoute => "no route matches".to_owned(),
            Self::UnknownKey => "the key is missing or unknown".to_owned(),
            Self::BadBody(reason) => reason.clone(),
            Self::BodyTooLarge => "the body is too large".to_owned(),
            Self::QuotaExceeded(exceeded) => format!(
                "the tenant is beyond its quota: {:.0} asked for, {:.0} left, {} of {} nodes heard",
                exceeded.amount, exceeded.level, exceeded.membership.reachable, exceeded.membership.known
            ),
            Self::NotRun(reason) => format!("not run: {reason}"),
            Self::AnswerLost(reason) => format!("the answer is lost: {reason}"),
            Self::TimedOut => "no answer in time".to_owned(),
            Self::TooLate => "not begun in time".to_owned(),
            Self::Held(held) => held.reason(),
            Self::Unservable(unservable) => format!(
                "not run: the best back end would begin to answer in {} ms, after the caller's patience",
                unservable.expected.as_millis()
            ),
        }
    }

    /// The answer.
    pub fn response(&self, dialect: &dyn Dialect, request_id: Option<&str>) -> Response<Body> {
        let mut response = Response::new(full(self.reason()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after()
            && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        if let Some(id) = request_id {
            dialect.mark_refusal(headers, id);
        }
        response
    }
}
