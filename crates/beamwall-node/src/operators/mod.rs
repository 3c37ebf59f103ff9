//! The operators' interface: health, metrics, status, settings tree, explanations and drain.

pub mod access;
pub mod explain;
pub mod status;
pub mod tree;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{Body, Handler, full, json_response, query, read_limited};
use beamwall_model::NodeId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::callers::api_error::ApiError;
use crate::shared::Shared;
use crate::tasks::drain;

/// Largest body of an operator's call.
const BODY_LIMIT_BYTES: usize = 8 << 20;
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// Answers operators.
pub struct OperatorHandler {
    shared: Arc<Shared>,
}

impl OperatorHandler {
    /// A handler over the node's parts.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self { shared })
    }

    fn ready(&self) -> Response<Body> {
        let ready = self.shared.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(
            status,
            &json!({
                "ready": ready,
                "draining": self.shared.is_draining(),
                "revision": self.shared.tree.load().revision,
            }),
        )
    }

    async fn administer(&self, request: Request<Incoming>) -> Result<Response<Body>, ApiError> {
        let shared = &self.shared;
        let operator = access::operator(shared, request.headers())?;
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if head.method == Method::GET {
            return match path {
                "/v1/admin/tree" => tree::get(shared, &operator, query::text(&head.uri, "path")),
                "/v1/admin/history" => tree::history(shared, query::number(&head.uri, "limit")).await,
                "/v1/admin/status" => Ok(json_response(StatusCode::OK, &status::status(shared))),
                "/v1/admin/explain/setting" => explain::setting(shared, &operator, &head.uri),
                "/v1/admin/explain/route" => explain::route(shared, &head.uri),
                _ => Err(ApiError::no_such_path(path)),
            };
        }
        let body: Bytes = read_limited(body, BODY_LIMIT_BYTES, BODY_LIMIT).await?;
        match path {
            "/v1/admin/tree" => tree::edit(shared, &operator, &body).await,
            "/v1/admin/validate" => tree::validate(shared, &body),
            "/v1/admin/drain" => {
                access::whole_tree(&operator)?;
                tokio::spawn(drain::run(shared.clone()));
                Ok(json_response(StatusCode::ACCEPTED, &json!({"draining": true})))
            }
            "/v1/admin/block-peers" => {
                access::whole_tree(&operator)?;
                let names: Vec<String> = serde_json::from_slice(&body).map_err(|error| {
                    ApiError::bad_request(format!("a list of node names is expected: {error}"))
                })?;
                shared.network.block(names.iter().map(NodeId::new).collect::<HashSet<_>>());
                Ok(json_response(StatusCode::OK, &json!({"blocked": names})))
            }
            _ => Err(ApiError::no_such_path(path)),
        }
    }
}

impl Handler for OperatorHandler {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/livez" => json_response(StatusCode::OK, &json!({"live": true})),
            "/readyz" => self.ready(),
            "/metrics" => Response::new(full(self.shared.metrics.encode())),
            _ => match self.administer(request).await {
                Ok(response) => response,
                Err(error) => error.into_response(&self.shared.settings.node),
            },
        }
    }
}
