//! `GET /v1/requests/{id}`: asynchronous and handed-over requests, from any node.
//!
//! With `Last-Event-ID` the answer is a stream from there on. A request that another node holds is
//! answered with a redirect to that node.

use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{Body, empty, json_response};
use beamwall_model::{RequestId, TenantName};
use beamwall_peer::Body as PeerBody;
use beamwall_peer::message::RequestQuery;
use beamwall_request::async_record::AsyncRecord;
use beamwall_request::{ModelRequest, RequestState};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, LOCATION};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::json;

use crate::callers::access::tenant;
use crate::callers::api_error::ApiError;
use crate::callers::model::{add_headers, completion};
use crate::callers::stream;
use crate::shared::Shared;

/// Paths of stored requests start with this.
pub const PREFIX: &str = "/v1/requests/";
/// Longest wait for a peer's word on a request.
const QUERY_LIMIT: Duration = Duration::from_millis(500);

/// Answers a question for a stored request.
pub async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, ApiError> {
    let tree = shared.tree.load_full();
    let tenant = tenant(&tree, request.headers())?.name.clone();
    let id = RequestId::new(request.uri().path().trim_start_matches(PREFIX));
    let from = last_event(request.headers(), &id)?;
    if let Some((model_request, state)) = shared.registry.find(&id, &tenant) {
        return Ok(local(shared, model_request, &state, from));
    }
    if from.is_some()
        && let Some(location) = find_holder(shared, &id, &tenant).await
    {
        return Ok(redirect(&location, &id));
    }
    recorded(shared, &id, &tenant).await
}

/// The number of tokens that the caller has, from `Last-Event-ID`.
fn last_event(headers: &HeaderMap, id: &RequestId) -> Result<Option<usize>, ApiError> {
    let Some(value) = headers.get("last-event-id") else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.rsplit_once(':'));
    match parsed {
        Some((request, count)) if request == id.as_str() => {
            let count = count.parse().map_err(|_| ApiError::bad_request("Last-Event-ID is not readable"))?;
            Ok(Some(count))
        }
        _ => Err(ApiError::bad_request("Last-Event-ID is of another request")),
    }
}

fn local(
    shared: &Arc<Shared>,
    request: Arc<ModelRequest>,
    state: &Arc<RequestState>,
    from: Option<usize>,
) -> Response<Body> {
    let usage = state.usage();
    let mut response = match (from, state.end()) {
        (Some(from), _) => stream::response(request, state.reader(), from.min(state.token_count()), None),
        (None, Some(end)) => {
            let tokens = state.tokens_from(0);
            let result = completion(&request, &tokens, &usage);
            let status = json!({"id": state.id.as_str(), "status": end.outcome.as_str(), "response": result});
            json_response(StatusCode::OK, &status)
        }
        (None, None) => {
            let status = json!({"id": state.id.as_str(), "status": "running", "tokens": state.token_count()});
            json_response(StatusCode::OK, &status)
        }
    };
    add_headers(response.headers_mut(), shared, state.id.as_str(), &usage);
    response
}

async fn find_holder(shared: &Arc<Shared>, id: &RequestId, tenant: &TenantName) -> Option<String> {
    let members = shared.members.load_full();
    let query = RequestQuery { request: id.to_string(), tenant: tenant.to_string() };
    let questions: Vec<_> = members
        .members
        .iter()
        .filter(|member| member.is_usable())
        .map(|member| {
            let network = shared.network.clone();
            let envelope = shared.envelope(PeerBody::RequestQuery(query.clone()));
            let address = member.address;
            tokio::spawn(async move { network.ask(address, envelope, QUERY_LIMIT).await })
        })
        .collect();
    for question in questions {
        if let Ok(Ok(envelope)) = question.await
            && let Some(PeerBody::RequestFound(found)) = envelope.body
            && found.found
        {
            return Some(found.callers);
        }
    }
    None
}

fn redirect(callers: &str, id: &RequestId) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    if let Ok(location) = HeaderValue::from_str(&format!("http://{callers}{PREFIX}{id}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}

async fn recorded(
    shared: &Arc<Shared>,
    id: &RequestId,
    tenant: &TenantName,
) -> Result<Response<Body>, ApiError> {
    let not_found =
        || ApiError::refused(StatusCode::NOT_FOUND, "unknown_request", format!("no request {id}"));
    let (_, record) = shared.records.get(id).await?.ok_or_else(not_found)?;
    if record.tenant != tenant.as_str() {
        return Err(not_found());
    }
    Ok(json_response(StatusCode::OK, &record_json(&record)))
}

fn record_json(record: &AsyncRecord) -> serde_json::Value {
    match &record.result {
        Some(result) => json!({
            "id": record.request,
            "status": result.outcome,
            "response": {"text": result.text, "tokens": result.tokens, "reason": result.reason},
        }),
        None => json!({"id": record.request, "status": "running", "holder": record.holder}),
    }
}
