//! The callers' interface: model requests, plain services and stored requests.

pub mod access;
pub mod api_error;
pub mod model;
pub mod model_input;
pub mod plain;
pub mod stored;
pub mod stream;

use std::sync::Arc;

use beamwall_http::{Body, Handler};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::callers::api_error::ApiError;
use crate::shared::Shared;

/// Answers callers.
pub struct CallerHandler {
    shared: Arc<Shared>,
}

impl CallerHandler {
    /// A handler over the node's parts.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self { shared })
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, ApiError> {
        let path = request.uri().path();
        if path.starts_with(plain::PREFIX) {
            return plain::answer(&self.shared, request).await;
        }
        let is = |method: &Method, wanted: &str| request.method() == method && path == wanted;
        if is(&Method::POST, "/v1/chat/completions") {
            return model::answer(&self.shared, request, true).await;
        }
        if is(&Method::POST, "/v1/completions") {
            return model::answer(&self.shared, request, false).await;
        }
        if is(&Method::GET, "/v1/models") {
            return model::list(&self.shared, &request);
        }
        if request.method() == Method::GET && path.starts_with(stored::PREFIX) {
            return stored::answer(&self.shared, request).await;
        }
        Err(ApiError::no_such_path(path))
    }
}

impl Handler for CallerHandler {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.route(request).await {
            Ok(response) => response,
            Err(error) => error.into_response(&self.shared.settings.node),
        }
    }
}
