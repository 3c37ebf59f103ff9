//! `/services/{name}/{path}`: plain services.

use std::sync::Arc;
use std::time::Duration;

use beamwall_config::{Service, ServiceType};
use beamwall_http::{Body, full, read_limited};
use beamwall_model::{Outcome, ServiceName};
use beamwall_request::claim::RecordedAnswer;
use beamwall_request::plain_call::{CallError, PlainAnswer, PlainCall, is_passed_on};
use beamwall_routing::Route;
use beamwall_routing::tenant_limit::Work;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::Instant;

use crate::callers::access::{check_service, open_work, tenant};
use crate::callers::api_error::{ApiError, NODE, OUTCOME};
use crate::callers::model::{BACKEND, REASON};
use crate::callers::model_input::class;
use crate::shared::{ActiveTree, Shared};

/// Paths of plain services start with this.
pub const PREFIX: &str = "/services/";
/// Header with the caller's key of a call that may not run twice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest key.
const KEY_LIMIT: usize = 128;
/// Header that marks an answer given before.
const REPLAYED: HeaderName = HeaderName::from_static("beamwall-replayed");

/// Answers a call to a plain service.
pub async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, ApiError> {
    if !shared.is_ready() {
        return Err(ApiError::not_ready());
    }
    let accepted = Instant::now();
    let tree = shared.tree.load();
    let (head, body) = request.into_parts();
    let tenant = tenant(&tree, &head.headers)?;
    let (service, path) = find_service(&tree, head.uri.path_and_query().map_or("", |path| path.as_str()))?;
    check_service(tenant, service)?;
    let class = class(&head.headers, tenant)?;
    let key = idempotency_key(&head.headers)?;
    let _work = open_work(shared, tenant, Work::Call)?;
    let body = read_limited(body, shared.settings.max_body_bytes, shared.settings.body_read_limit).await?;
    let call = PlainCall {
        tenant,
        service,
        method: head.method,
        path,
        headers: &head.headers,
        body,
        key,
        class,
        deadline: accepted + Duration::from_millis(service.request_timeout_ms),
    };
    let result = shared.dispatcher.call(&call, &shared.ledger, shared.settings.max_body_bytes).await;
    let metrics = &shared.dispatcher.metrics;
    metrics.of(&tenant.name, class).whole_request(accepted.elapsed());
    metrics.count_outcome(
        &tenant.name,
        class,
        result.as_ref().map_or_else(CallError::outcome, |_| Outcome::Completed),
    );
    Ok(to_response(shared, result?))
}

/// The service of a path, and the path below it.
fn find_service<'a, 'b>(tree: &'a ActiveTree, path: &'b str) -> Result<(&'a Service, &'b str), ApiError> {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let name = &rest[..end];
    let below = if rest[end..].starts_with('/') { &rest[end..] } else { "/" };
    let service = tree.resolved.services.get(&ServiceName::new(name));
    let plain = service.filter(|service| service.service_type == ServiceType::Plain);
    let unknown = || {
        ApiError::refused(
            StatusCode::NOT_FOUND,
            "unknown_service",
            format!("service {name:?} is not served here"),
        )
    };
    Ok((plain.ok_or_else(unknown)?, below))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let text = value.to_str().ok().filter(|text| !text.is_empty() && text.len() <= KEY_LIMIT);
    let message = format!("idempotency key must be 1 to {KEY_LIMIT} characters of plain text");
    text.map(Some).ok_or_else(|| ApiError::bad_request(message))
}

fn to_response(shared: &Shared, answer: PlainAnswer) -> Response<Body> {
    match answer {
        PlainAnswer::Fresh { response, route } => {
            let (head, body) = response.into_parts();
            let mut response = Response::new(body.map_err(Into::into).boxed_unsync());
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response.headers_mut().remove(hyper::header::CONNECTION);
            add_route_headers(response.headers_mut(), shared, &route);
            response
        }
        PlainAnswer::Whole { status, headers, body, route } => {
            let mut response = Response::new(full(body));
            *response.status_mut() = status;
            for (name, value) in headers.iter().filter(|(name, _)| is_passed_on(name)) {
                response.headers_mut().append(name.clone(), value.clone());
            }
            add_route_headers(response.headers_mut(), shared, &route);
            response
        }
        PlainAnswer::Replayed(answer) => replayed(shared, answer),
    }
}

fn replayed(shared: &Shared, answer: RecordedAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body.unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    insert(headers, NODE, shared.settings.node.as_str());
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Completed.as_str()));
    response
}

fn add_route_headers(headers: &mut HeaderMap, shared: &Shared, route: &Route) {
    insert(headers, NODE, shared.settings.node.as_str());
    insert(headers, BACKEND, route.backend.backend.id.as_str());
    headers.insert(REASON, HeaderValue::from_static(route.reason.as_str()));
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Completed.as_str()));
}

fn insert(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
