//! Wire format of the object API.

use std::time::Duration;

use beamwall_http::client::ClientResponse;
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::object::{Object, ObjectError, Version, WatchResponse};

/// An object in an answer. Values are UTF-8 text.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireObject {
    /// The key.
    pub key: String,
    /// The version.
    pub version: Version,
    /// The value.
    pub value: String,
}

/// The answer to a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireVersion {
    /// The version after the write, or the current version of a refused write.
    pub version: Version,
}

/// The answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWatch {
    /// The sequence number of the newest change.
    pub sequence: u64,
    /// Keys changed after the sequence asked for.
    pub changed: Vec<String>,
}

/// Path of an object.
pub fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

/// Path of a conditional write.
pub fn conditional_path(key: &str, expected: Version) -> String {
    format!("/objects/{key}?if-version={expected}")
}

/// Path of a listing.
pub fn list_path(prefix: &str) -> String {
    format!("/list?prefix={prefix}")
}

/// Path of a watch.
pub fn watch_path(prefix: &str, sequence: u64, wait: Duration) -> String {
    format!("/watch?prefix={prefix}&after={sequence}&wait-ms={}", wait.as_millis())
}

fn parse_error(error: impl std::fmt::Display) -> ObjectError {
    ObjectError::Unexpected(error.to_string())
}

/// Reads an object from the answer to a GET.
pub fn read_object(key: &str, body: &Bytes) -> Result<Object, ObjectError> {
    let wire: WireObject = serde_json::from_slice(body).map_err(parse_error)?;
    Ok(Object { key: key.to_owned(), version: wire.version, value: Bytes::from(wire.value) })
}

/// Reads a listing.
pub fn read_list(body: &Bytes) -> Result<Vec<Object>, ObjectError> {
    let wire: Vec<WireObject> = serde_json::from_slice(body).map_err(parse_error)?;
    let object =
        |item: WireObject| Object { key: item.key, version: item.version, value: Bytes::from(item.value) };
    Ok(wire.into_iter().map(object).collect())
}

/// Reads the answer to a watch.
pub fn read_watch(body: &Bytes) -> Result<WatchResponse, ObjectError> {
    let wire: WireWatch = serde_json::from_slice(body).map_err(parse_error)?;
    Ok(WatchResponse { sequence: wire.sequence, changed: wire.changed })
}

/// Reads the answer to a conditional write.
pub fn read_version(response: &ClientResponse) -> Result<Version, ObjectError> {
    match response.status {
        StatusCode::OK => {
            let wire: WireVersion = serde_json::from_slice(&response.body).map_err(parse_error)?;
            Ok(wire.version)
        }
        StatusCode::CONFLICT => {
            let wire: WireVersion = serde_json::from_slice(&response.body).map_err(parse_error)?;
            Err(ObjectError::Conflict(wire.version))
        }
        _ => Err(read_error(response)),
    }
}

/// Reads a refusal.
pub fn read_error(response: &ClientResponse) -> ObjectError {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            ObjectError::Unavailable(format!("status {}", response.status))
        }
        _ => ObjectError::Unexpected(format!("status {}: {}", response.status, response.text())),
    }
}
