//! Records of asynchronous requests. A request is accepted only once its record stands in the
//! platform, so no kill loses it; any node can read the record and take the request over.

use beamwall_model::{NodeId, RequestId};
use beamwall_store::object::ABSENT;
use beamwall_store::{Object, ObjectError, ObjectStore, SettleError, Version, put_settled};
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Keys of records start with this.
pub const PREFIX: &str = "async/";

quick_error! {
    /// Why a record could not be read or written.
    #[derive(Debug)]
    pub enum RecordError {
        /// The record was not written.
        NotWritten(reason: String) {
            display("record not written: {}", reason)
        }
        /// The record may have been written.
        Undecided(reason: String) {
            display("record may have been written: {}", reason)
        }
        /// Another node changed the record.
        Lost {
            display("record was changed by another node")
        }
        /// The record could not be read.
        Unreadable(reason: String) {
            display("record not readable: {}", reason)
        }
    }
}

impl From<SettleError> for RecordError {
    fn from(error: SettleError) -> Self {
        match error {
            SettleError::NotWritten(cause) => Self::NotWritten(cause.to_string()),
            SettleError::Undecided(cause) => Self::Undecided(cause.to_string()),
        }
    }
}

impl From<ObjectError> for RecordError {
    fn from(error: ObjectError) -> Self {
        Self::Unreadable(error.to_string())
    }
}

/// What was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AsyncWork {
    /// Service name.
    pub service: String,
    /// Prompt.
    pub prompt: String,
    /// Session key.
    pub session: Option<String>,
    /// Class name.
    pub class: String,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Whether the caller asked in chat form.
    pub chat: bool,
}

/// The result of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AsyncResult {
    /// Outcome word.
    pub outcome: String,
    /// Why it ended.
    pub reason: String,
    /// The text generated.
    pub text: String,
    /// Tokens generated.
    pub tokens: usize,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AsyncRecord {
    /// Request.
    pub request: String,
    /// Tenant that may read it.
    pub tenant: String,
    /// Node that runs it.
    pub holder: String,
    /// Times it was taken over, plus one.
    pub holders: u32,
    /// What was asked.
    pub work: AsyncWork,
    /// The result, once there is one.
    pub result: Option<AsyncResult>,
}

/// The records in the platform.
#[derive(Clone)]
pub struct AsyncRecords {
    store: ObjectStore,
}

fn key(request: &str) -> String {
    format!("{PREFIX}{request}")
}

fn read(object: &Object) -> Result<AsyncRecord, RecordError> {
    serde_json::from_slice(&object.value).map_err(|error| RecordError::Unreadable(error.to_string()))
}

impl AsyncRecords {
    /// The records reached through a store.
    pub fn new(store: ObjectStore) -> Self {
        Self { store }
    }

    /// Writes a new record.
    pub async fn create(&self, record: &AsyncRecord, deadline: Instant) -> Result<Version, RecordError> {
        self.write(record, ABSENT, deadline).await
    }

    /// Replaces a record that has the version named.
    pub async fn write(
        &self,
        record: &AsyncRecord,
        version: Version,
        deadline: Instant,
    ) -> Result<Version, RecordError> {
        let value = serde_json::to_vec(record).map_err(|error| RecordError::NotWritten(error.to_string()))?;
        let mine = |object: &Object| read(object).is_ok_and(|found| found == *record);
        let settled =
            put_settled(&self.store, &key(&record.request), version, Bytes::from(value), deadline, mine)
                .await?;
        settled.written_version().ok_or(RecordError::Lost)
    }

    /// Reads a record with its version.
    pub async fn get(&self, request: &RequestId) -> Result<Option<(Version, AsyncRecord)>, RecordError> {
        match self.store.get(&key(request.as_str())).await? {
            Some(object) => Ok(Some((object.version, read(&object)?))),
            None => Ok(None),
        }
    }

    /// Records without a result whose holder is not in `live`.
    pub async fn orphaned(&self, live: &[NodeId]) -> Result<Vec<(Version, AsyncRecord)>, RecordError> {
        let objects = self.store.list(PREFIX).await?;
        let records = objects.iter().filter_map(|object| Some((object.version, read(object).ok()?)));
        let is_orphan = |record: &AsyncRecord| {
            record.result.is_none() && !live.iter().any(|node| node.as_str() == record.holder)
        };
        Ok(records.filter(|(_, record)| is_orphan(record)).collect())
    }
}
