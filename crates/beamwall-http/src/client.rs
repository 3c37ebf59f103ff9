//! A JSON client on top of the connection pool, for control calls between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::body::{ReadError, full, read_limited};
use crate::patience::{LATE_RESPONSE_LIMIT, Patience};
use crate::pool::{Pool, PoolError};

/// Maximum size of the response body of a control call.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

quick_error! {
    /// Why a control call failed.
    #[derive(Debug)]
    pub enum ClientError {
        /// No response was received.
        Transport(cause: PoolError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The response body could not be read.
        ResponseBody(cause: ReadError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The response did not arrive in time; the call may have taken effect.
        TimedOut(call_timeout: Duration) {
            display("no answer within {} ms", call_timeout.as_millis())
        }
        /// The request could not be built, or a JSON body could not be encoded or decoded.
        Malformed(reason: String) {
            display("malformed call: {}", reason)
        }
    }
}

impl ClientError {
    /// Whether it is certain that the server received nothing of the call.
    pub fn nothing_sent(&self) -> bool {
        match self {
            Self::Transport(cause) => cause.nothing_sent(),
            Self::Malformed(_) => true,
            Self::ResponseBody(_) | Self::TimedOut(_) => false,
        }
    }
}

/// The response to a control call.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Deserializes the body from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Malformed(error.to_string()))
    }

    /// The body as text, for use in messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Client for control calls to one address.
#[derive(Clone)]
pub struct JsonClient {
    pool: Pool,
    address: SocketAddr,
    call_timeout: Duration,
    /// What is known of the server's speed; `None`: calls time out as early however slow it is.
    patience: Option<Arc<Patience>>,
    bearer: Option<String>,
}

impl JsonClient {
    /// Creates a client of `address` whose calls time out after `call_timeout`.
    pub fn new(pool: Pool, address: SocketAddr, call_timeout: Duration) -> Self {
        Self { pool, address, call_timeout, patience: None, bearer: None }
    }

    /// Waits longer than the timeout for a server that is seen to take longer.
    pub fn with_patience(mut self) -> Self {
        self.patience = Some(Arc::new(Patience::new(self.call_timeout)));
        self
    }

    /// Sends `key` as bearer token with every call.
    pub fn with_bearer(mut self, key: impl Into<String>) -> Self {
        self.bearer = Some(key.into());
        self
    }

    /// The same client with another timeout, for calls that the server holds open.
    pub fn with_timeout(mut self, call_timeout: Duration) -> Self {
        self.call_timeout = call_timeout;
        self
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Result<ClientResponse, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with `value` as its JSON body.
    pub async fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<ClientResponse, ClientError> {
        let body = serde_json::to_vec(value).map_err(|error| ClientError::Malformed(error.to_string()))?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    /// Sends a request of any method.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<ClientResponse, ClientError> {
        self.call_with(method, path, HeaderMap::new(), body).await
    }

    /// Sends a request of any method with additional headers.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<ClientResponse, ClientError> {
        let mut request = self.request(method, path, body)?;
        request.headers_mut().extend(headers);
        let limit = self.patience.as_ref().map_or(self.call_timeout, |known| known.limit(self.call_timeout));
        let sent = Instant::now();
        let mut exchange = Box::pin(self.clone().exchange(request, limit + LATE_RESPONSE_LIMIT));
        let Ok(result) = tokio::time::timeout(limit, &mut exchange).await else {
            if let Some(patience) = self.observed_patience() {
                patience.await_late_response(sent, exchange);
            }
            return Err(ClientError::TimedOut(limit));
        };
        if result.is_ok()
            && let Some(patience) = self.observed_patience()
        {
            patience.note_response(sent.elapsed());
        }
        result
    }

    /// What is known of the server's speed, if the time of this client's calls tells more: not if the server holds them
    /// open.
    fn observed_patience(&self) -> Option<&Arc<Patience>> {
        self.patience.as_ref().filter(|patience| patience.usual_timeout() == self.call_timeout)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<crate::Body>, ClientError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(key) = &self.bearer {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        builder.body(full(body)).map_err(|error| ClientError::Malformed(error.to_string()))
    }

    async fn exchange(
        self,
        request: Request<crate::Body>,
        body_limit: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let response = self.pool.send(self.address, request).await?;
        let (parts, body) = response.into_parts();
        let body = read_limited(body, MAX_RESPONSE_BYTES, body_limit).await?;
        Ok(ClientResponse { status: parts.status, headers: parts.headers, body })
    }
}
