//! Why a setting has its value, and why a request would go where.

use std::time::Duration;

use beamwall_config::{OperatorKey, ServiceType};
use beamwall_http::{Body, json_response, query};
use beamwall_model::{RequestId, ServiceName};
use beamwall_request::ModelRequest;
use beamwall_routing::prefix::block_hashes;
use beamwall_routing::route::predict_ms;
use beamwall_routing::{RouteQuery, choose_backend};
use hyper::{Response, StatusCode, Uri};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::callers::api_error::ApiError;
use crate::operators::access::may_view;
use crate::operators::status::backend_json;
use crate::operators::tree::parse_path;
use crate::shared::Shared;

/// Explains the settings in force at a node: each value with the ancestor that gave it.
pub fn setting(shared: &Shared, operator: &OperatorKey, uri: &Uri) -> Result<Response<Body>, ApiError> {
    let path = parse_path(query::text(uri, "path").unwrap_or("/"))?;
    may_view(operator, &path)?;
    let active = shared.tree.load();
    if active.tree.node(&path).is_none() {
        return Err(ApiError::refused(StatusCode::NOT_FOUND, "unknown_node", format!("no node {path}")));
    }
    let wanted = query::text(uri, "key");
    let origins = active.tree.explain_all(&path);
    let shown: Vec<Value> = origins
        .iter()
        .filter(|(key, _)| wanted.is_none_or(|wanted| wanted == key.as_str()))
        .map(|(key, origin)| {
            let giver = origin.path.as_ref().map_or("built-in default", |path| path.as_str());
            json!({"key": key, "value": origin.value, "given_by": giver})
        })
        .collect();
    Ok(json_response(
        StatusCode::OK,
        &json!({"path": path.as_str(), "revision": active.revision, "settings": shown}),
    ))
}

/// Explains where a request of a service would go now, with every candidate.
pub fn route(shared: &Shared, uri: &Uri) -> Result<Response<Body>, ApiError> {
    let active = shared.tree.load();
    let name = query::text(uri, "service").unwrap_or_default();
    let unknown =
        || ApiError::refused(StatusCode::NOT_FOUND, "unknown_service", format!("no service {name:?}"));
    let service = active.resolved.services.get(&ServiceName::new(name)).ok_or_else(unknown)?;
    let tenant =
        active.resolved.tenants.values().next().ok_or_else(|| ApiError::bad_request("no tenants"))?;
    let session = query::text(uri, "session").map(str::to_owned);
    let prompt_tokens: u32 = query::number(uri, "prompt-tokens").unwrap_or(100);
    let now = Instant::now();
    let request = ModelRequest {
        id: RequestId::new("explain"),
        tenant: tenant.clone(),
        service: service.clone(),
        prompt: "x".repeat(prompt_tokens as usize * beamwall_request::model_request::BYTES_PER_TOKEN),
        session,
        class: tenant.class,
        max_tokens: 1,
        chat: false,
        deadline: now + Duration::from_secs(1),
        accepted: now,
    };
    let query = RouteQuery {
        service,
        session: request.session.as_deref(),
        prompt_tokens,
        zone: &shared.settings.zone,
        round_robin_index: 0,
        excluded: &[],
        cached_tokens: &|_| 0,
    };
    let view = shared.dispatcher.view.load();
    let chosen = match service.service_type {
        ServiceType::Model => shared.dispatcher.route(&request, &block_hashes(&request.prompt), &[]),
        ServiceType::Plain => choose_backend(&view, &query),
    };
    let candidate = |backend: &std::sync::Arc<beamwall_fleet::BackendView>| {
        let mut shown = backend_json(backend);
        shown["predicted_first_token_ms"] = json!(predict_ms(backend, &query));
        shown
    };
    let candidates: Vec<Value> = view.of_service(&service.name).iter().map(candidate).collect();
    let decision = match chosen {
        Ok(route) => json!({
            "backend": route.backend.backend.id.as_str(),
            "reason": route.reason.as_str(),
            "predicted_first_token_ms": route.predicted_ms,
        }),
        Err(refusal) => json!({"refused": refusal.to_string()}),
    };
    Ok(json_response(StatusCode::OK, &json!({"decision": decision, "candidates": candidates})))
}
