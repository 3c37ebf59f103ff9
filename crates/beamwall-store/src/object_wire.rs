//! Wire format of the object API, whose store names no eras.

use std::time::Duration;

use beamwall_http::client::ClientResponse;
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::object::{Object, ObjectError, Version, WatchResponse};

/// An object in a response. Values are UTF-8 text.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireObject {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// The response to a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireVersion {
    /// The version after the write; for a rejected write, the current version of the object.
    pub version: u64,
}

/// The response to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWatch {
    /// The sequence number of the newest change.
    pub sequence: u64,
    /// Keys that changed after the sequence number of the request.
    pub changed: Vec<String>,
}

/// Path to read an object.
pub fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

/// Path of a conditional write or delete.
pub fn conditional_path(key: &str, expected: Version) -> String {
    format!("/objects/{key}?if-version={}", expected.number)
}

/// Path to list objects by key prefix.
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

/// Parses the response to reading one object.
pub fn read_object(key: &str, body: &Bytes) -> Result<Object, ObjectError> {
    let wire: WireObject = serde_json::from_slice(body).map_err(parse_error)?;
    Ok(Object { key: key.to_owned(), version: wire.version.into(), value: Bytes::from(wire.value) })
}

/// Parses the response to listing objects.
pub fn read_list(body: &Bytes) -> Result<Vec<Object>, ObjectError> {
    let wire: Vec<WireObject> = serde_json::from_slice(body).map_err(parse_error)?;
    let object = |item: WireObject| Object {
        key: item.key,
        version: item.version.into(),
        value: Bytes::from(item.value),
    };
    Ok(wire.into_iter().map(object).collect())
}

/// Parses the response to a watch.
pub fn read_watch(body: &Bytes) -> Result<WatchResponse, ObjectError> {
    let wire: WireWatch = serde_json::from_slice(body).map_err(parse_error)?;
    Ok(WatchResponse { sequence: wire.sequence, changed: wire.changed })
}

/// Parses the response to a conditional write or delete.
pub fn read_version(response: &ClientResponse) -> Result<Version, ObjectError> {
    match response.status {
        StatusCode::OK => {
            let wire: WireVersion = serde_json::from_slice(&response.body).map_err(parse_error)?;
            Ok(wire.version.into())
        }
        StatusCode::CONFLICT => {
            let wire: WireVersion = serde_json::from_slice(&response.body).map_err(parse_error)?;
            Err(ObjectError::Conflict(wire.version.into()))
        }
        _ => Err(read_error(response)),
    }
}

/// Converts a response with an error status to an error.
pub fn read_error(response: &ClientResponse) -> ObjectError {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            ObjectError::Unavailable(format!("status {}", response.status))
        }
        _ => ObjectError::Unexpected(format!("status {}: {}", response.status, response.text())),
    }
}
