//! Client of the object API: versioned objects, conditional writes and watches.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_http::{ClientError, JsonClient};
use beamwall_model::StoreRevision;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use quick_error::quick_error;

use crate::budget::CallBudget;
use crate::object_wire;

/// Version of an object: the revision of the store that wrote it. It increases with every write.
pub type Version = StoreRevision;

/// The expected version of a conditional write that creates an object, in any era of the store.
pub const ABSENT: Version = StoreRevision::new(0, 0);

quick_error! {
    /// Why a call to the object API failed.
    #[derive(Debug)]
    pub enum ObjectError {
        /// The object does not have the expected version, or that version is of an ended era of the store, so that
        /// another write may have been given the same number. The write did not take effect as a change of the
        /// expected version.
        Conflict(current: Version) {
            display("object has version {}", current)
        }
        /// The platform rejected the call before executing it, or could not be reached.
        Unavailable(reason: String) {
            display("platform unavailable: {}", reason)
        }
        /// The call was sent and its response was lost: a write may have taken effect.
        Ambiguous(reason: String) {
            display("answer from the platform was lost: {}", reason)
        }
        /// The platform sent a response that this client does not understand.
        Unexpected(reason: String) {
            display("unexpected answer from the platform: {}", reason)
        }
    }
}

impl From<ClientError> for ObjectError {
    fn from(error: ClientError) -> Self {
        if error.nothing_sent() {
            Self::Unavailable(error.to_string())
        } else {
            Self::Ambiguous(error.to_string())
        }
    }
}

/// An object as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The key.
    pub key: String,
    /// The version at the time of the read.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchResponse {
    /// Sequence number to pass to the next watch.
    pub sequence: u64,
    /// Keys of the objects that changed.
    pub changed: Vec<String>,
}

/// A store of versioned objects with conditional writes, as leases and settled writes need it.
#[async_trait]
pub trait VersionedObjects: Send + Sync + 'static {
    /// Reads an object; `None` when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError>;
    /// Writes an object if it has the version `expected`; [`ABSENT`] creates it.
    async fn put(&self, key: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError>;
    /// The newest era of the store that is known; 0 if the store names none.
    fn era(&self) -> u64 {
        0
    }
}

#[async_trait]
impl VersionedObjects for ObjectStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        Self::get(self, key).await
    }

    async fn put(&self, key: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        Self::put(self, key, expected, value).await
    }
}

/// Client of the object API. Clones share the call budget and the health flag.
#[derive(Clone)]
pub struct ObjectStore {
    client: JsonClient,
    budget: Arc<CallBudget>,
    healthy: Arc<AtomicBool>,
}

impl ObjectStore {
    /// Creates a client whose calls are limited by `budget`.
    pub fn new(client: JsonClient, budget: Arc<CallBudget>) -> Self {
        Self { client, budget, healthy: Arc::new(AtomicBool::new(true)) }
    }

    /// Whether the last call got a response other than 503 (Service Unavailable).
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    /// The call budget, for metrics.
    pub fn budget(&self) -> &CallBudget {
        &self.budget
    }

    /// Reads an object; `None` when it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        let response =
            self.call(&self.client, Method::GET, &object_wire::object_path(key), Bytes::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => object_wire::read_object(key, &response.body).map(Some),
            _ => Err(object_wire::read_error(&response)),
        }
    }

    /// Writes an object if it has the version `expected`; [`ABSENT`] creates it.
    pub async fn put(&self, key: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        let path = object_wire::conditional_path(key, expected);
        let response = self.call(&self.client, Method::PUT, &path, value).await?;
        object_wire::read_version(&response)
    }

    /// Deletes an object if it has the expected version.
    pub async fn delete(&self, key: &str, expected: Version) -> Result<(), ObjectError> {
        let path = object_wire::conditional_path(key, expected);
        let response = self.call(&self.client, Method::DELETE, &path, Bytes::new()).await?;
        object_wire::read_version(&response).map(|_| ())
    }

    /// Reads all objects whose key starts with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Object>, ObjectError> {
        let response =
            self.call(&self.client, Method::GET, &object_wire::list_path(prefix), Bytes::new()).await?;
        if response.status != StatusCode::OK {
            return Err(object_wire::read_error(&response));
        }
        object_wire::read_list(&response.body)
    }

    /// Waits up to `wait` for a change with a sequence number above `sequence` to a key that starts with
    /// `prefix`.
    pub async fn watch(
        &self,
        prefix: &str,
        sequence: u64,
        wait: Duration,
    ) -> Result<WatchResponse, ObjectError> {
        let path = object_wire::watch_path(prefix, sequence, wait);
        let client = self.client.clone().with_timeout(wait + Duration::from_secs(2));
        let response = self.call(&client, Method::GET, &path, Bytes::new()).await?;
        if response.status != StatusCode::OK {
            return Err(object_wire::read_error(&response));
        }
        object_wire::read_watch(&response.body)
    }

    async fn call(
        &self,
        client: &JsonClient,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<beamwall_http::client::ClientResponse, ObjectError> {
        let is_write = method != Method::GET;
        if is_write {
            self.budget.acquire_write().await;
        } else {
            self.budget.acquire().await;
        }
        let result = client.call(method, path, body).await;
        if let Ok(response) = &result
            && is_write
        {
            self.budget.record_write(response.status != StatusCode::TOO_MANY_REQUESTS).await;
        }
        let is_available =
            matches!(&result, Ok(response) if response.status != StatusCode::SERVICE_UNAVAILABLE);
        self.healthy.store(is_available, Ordering::Relaxed);
        Ok(result?)
    }
}
