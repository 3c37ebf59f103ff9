//! `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`.

use std::sync::Arc;

use beamwall_config::{Service, ServiceType, Tenant};
use beamwall_http::{Body, json_response, read_limited};
use beamwall_model::Outcome;
use beamwall_request::async_record::{AsyncRecord, AsyncWork};
use beamwall_request::request_state::{RequestReader, Usage};
use beamwall_request::{ModelRequest, RequestState};
use beamwall_routing::tenant_limit::Work;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, LOCATION};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::callers::access::{OpenWork, check_service, open_work, tenant};
use crate::callers::api_error::{ApiError, NODE, OUTCOME};
use crate::callers::model_input::{ModelInput, to_request};
use crate::callers::stream;
use crate::shared::{ActiveTree, Shared};
use crate::tasks::{asynchronous, drain};

/// Header that names the request.
pub const REQUEST: &str = "beamwall-request";
/// Header that names the back end.
pub const BACKEND: &str = "beamwall-backend";
/// Header that tells why the back end was chosen.
pub const REASON: &str = "beamwall-reason";

/// Answers a model request.
pub async fn answer(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Response<Body>, ApiError> {
    if !shared.is_ready() {
        return Err(ApiError::not_ready());
    }
    let tree = shared.tree.load_full();
    let tenant = tenant(&tree, request.headers())?.clone();
    let (head, body) = request.into_parts();
    let body = read_limited(body, shared.settings.max_body_bytes, shared.settings.body_read_limit).await?;
    let input = ModelInput::parse(&body)?;
    let service = find_service(&tree, &input.model)?;
    check_service(&tenant, service)?;
    let id = shared.dispatcher.identifiers.request();
    let request = to_request(id, &input, chat, &head.headers, &tenant, service)?;
    let work = open_work(shared, &tenant, Work::Tokens(request.work_tokens()))?;
    if wants_async(&head.headers) {
        return accept_async(shared, &request).await;
    }
    let request = Arc::new(request);
    let state = RequestState::new(request.id.clone(), tenant.name.clone(), Vec::new());
    let reader = state.reader();
    drain::start_request(shared, request.clone(), state, false);
    if input.stream {
        begin_stream(shared, &request, reader, work).await
    } else {
        answer_whole(shared, &request, reader).await
    }
}

fn find_service<'a>(tree: &'a ActiveTree, model: &str) -> Result<&'a Service, ApiError> {
    tree.resolved.service_of_model(model).ok_or_else(|| {
        ApiError::refused(
            StatusCode::NOT_FOUND,
            "unknown_model",
            format!("model {model:?} is not served here"),
        )
    })
}

fn wants_async(headers: &HeaderMap) -> bool {
    let value = headers.get("prefer").and_then(|value| value.to_str().ok());
    value.is_some_and(|text| text.split(',').any(|part| part.trim() == "respond-async"))
}

/// Accepts a request to be fetched later. It is accepted only once its record stands.
async fn accept_async(shared: &Arc<Shared>, request: &ModelRequest) -> Result<Response<Body>, ApiError> {
    let record = AsyncRecord {
        request: request.id.to_string(),
        tenant: request.tenant.name.to_string(),
        holder: shared.settings.node.to_string(),
        holders: 1,
        work: AsyncWork {
            service: request.service.name.to_string(),
            prompt: request.prompt.clone(),
            session: request.session.clone(),
            class: request.class.to_string(),
            max_tokens: request.max_tokens,
            chat: request.chat,
        },
        result: None,
    };
    let deadline = Instant::now() + shared.control_limit() * 2;
    let version = shared.records.create(&record, deadline).await?;
    asynchronous::start(shared, record, version);
    let path = format!("/v1/requests/{}", request.id);
    let mut response =
        json_response(StatusCode::ACCEPTED, &json!({"id": request.id.as_str(), "status": "accepted"}));
    if let Ok(location) = HeaderValue::from_str(&path) {
        response.headers_mut().insert(LOCATION, location);
    }
    add_headers(response.headers_mut(), shared, request.id.as_str(), &Usage::default());
    Ok(response)
}

async fn begin_stream(
    shared: &Arc<Shared>,
    request: &Arc<ModelRequest>,
    mut reader: RequestReader,
    work: OpenWork,
) -> Result<Response<Body>, ApiError> {
    let progress = reader.started().await;
    if let Some(end) = progress.end.filter(|end| end.outcome != Outcome::Completed && progress.tokens == 0) {
        return Err(end.into());
    }
    let usage = reader.state.usage();
    let mut response = stream::response(request.clone(), reader, 0, Some(work));
    add_headers(response.headers_mut(), shared, request.id.as_str(), &usage);
    Ok(response)
}

async fn answer_whole(
    shared: &Arc<Shared>,
    request: &ModelRequest,
    mut reader: RequestReader,
) -> Result<Response<Body>, ApiError> {
    let progress = reader.ended().await;
    match progress.end {
        Some(end) if end.outcome == Outcome::Completed => {}
        Some(end) => return Err(end.into()),
        None => return Err(ApiError::bad_request("request ended without an outcome")),
    }
    let state = &reader.state;
    let usage = state.usage();
    let body = completion(request, &state.tokens_from(0), &usage);
    let mut response = json_response(StatusCode::OK, &body);
    add_headers(response.headers_mut(), shared, request.id.as_str(), &usage);
    Ok(response)
}

/// The whole answer in the callers' format.
pub fn completion(request: &ModelRequest, tokens: &[String], usage: &Usage) -> Value {
    let text = tokens.concat();
    let choice = if request.chat {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    json!({
        "id": request.id.as_str(),
        "object": if request.chat { "chat.completion" } else { "text_completion" },
        "model": request.service.model,
        "choices": [choice],
        "usage": usage_json(request, tokens.len(), usage),
    })
}

/// Token counts in the callers' format.
pub fn usage_json(request: &ModelRequest, tokens: usize, usage: &Usage) -> Value {
    let prompt = request.prompt_tokens();
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": tokens,
        "total_tokens": prompt as usize + tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
        "recomputed_tokens": usage.recomputed_tokens,
        "attempts": usage.attempts,
    })
}

/// Adds the headers that tell where the request went and why.
pub fn add_headers(headers: &mut HeaderMap, shared: &Shared, request: &str, usage: &Usage) {
    let backend = usage.backend.as_ref().map_or("", beamwall_model::BackendId::as_str);
    let pairs = [
        (NODE, shared.settings.node.as_str()),
        (REQUEST, request),
        (BACKEND, backend),
        (REASON, usage.reason.as_str()),
        (OUTCOME, Outcome::Completed.as_str()),
    ];
    for (name, text) in pairs {
        if let Ok(value) = HeaderValue::from_str(text)
            && !text.is_empty()
        {
            headers.insert(name, value);
        }
    }
}

/// Lists the models the tenant may use.
pub fn list(shared: &Arc<Shared>, request: &Request<Incoming>) -> Result<Response<Body>, ApiError> {
    let tree = shared.tree.load_full();
    let tenant: &Tenant = tenant(&tree, request.headers())?;
    let services = tenant.services.iter().filter_map(|name| tree.resolved.services.get(name));
    let models: Vec<Value> = services
        .filter(|service| service.service_type == ServiceType::Model)
        .map(|service| json!({"id": service.model, "object": "model", "owned_by": "beamwall"}))
        .collect();
    Ok(json_response(StatusCode::OK, &json!({"object": "list", "data": models})))
}
