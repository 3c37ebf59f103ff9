//! A small JSON client over the pool, for control calls between processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{ReadError, full, read_limited};
use crate::pool::{Pool, PoolError};

/// Largest answer to a control call.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

quick_error! {
    /// Why a control call failed.
    #[derive(Debug)]
    pub enum ClientError {
        /// The request did not get an answer.
        Transport(cause: PoolError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The answer could not be read.
        Answer(cause: ReadError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The answer did not come in time; the call may have taken effect.
        TimedOut(limit: Duration) {
            display("no answer within {} ms", limit.as_millis())
        }
        /// The call could not be formed.
        Malformed(reason: String) {
            display("malformed call: {}", reason)
        }
    }
}

impl ClientError {
    /// Whether it is certain that the other side received nothing.
    pub fn nothing_sent(&self) -> bool {
        match self {
            Self::Transport(cause) => cause.nothing_sent(),
            Self::Malformed(_) => true,
            Self::Answer(_) | Self::TimedOut(_) => false,
        }
    }
}

/// An answer to a control call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Malformed(error.to_string()))
    }

    /// The body as text, for messages.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Calls one address.
#[derive(Clone)]
pub struct JsonClient {
    pool: Pool,
    address: SocketAddr,
    limit: Duration,
    bearer: Option<String>,
}

impl JsonClient {
    /// A client of `address` whose calls end after `limit`.
    pub fn new(pool: Pool, address: SocketAddr, limit: Duration) -> Self {
        Self { pool, address, limit, bearer: None }
    }

    /// Sends `key` as bearer key with every call.
    pub fn with_bearer(mut self, key: impl Into<String>) -> Self {
        self.bearer = Some(key.into());
        self
    }

    /// The same client with another time limit.
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// The address called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// GET.
    pub async fn get(&self, path: &str) -> Result<Answer, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// POST of a JSON value.
    pub async fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(value).map_err(|error| ClientError::Malformed(error.to_string()))?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    /// Any call.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, ClientError> {
        self.call_with(method, path, HeaderMap::new(), body).await
    }

    /// Any call with headers beside the usual.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, ClientError> {
        let mut request = self.request(method, path, body)?;
        request.headers_mut().extend(headers);
        match tokio::time::timeout(self.limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::TimedOut(self.limit)),
        }
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

    async fn exchange(&self, request: Request<crate::Body>) -> Result<Answer, ClientError> {
        let response = self.pool.send(self.address, request).await?;
        let status = response.status();
        let body = read_limited(response.into_body(), ANSWER_LIMIT_BYTES, self.limit).await?;
        Ok(Answer { status, body })
    }
}
