//! Calls to a node's operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_config::Edit;
use beamwall_http::client::ClientResponse;
use beamwall_http::{JsonClient, Pool};
use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde_json::Value;

use crate::error::CommandError;

const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// A node as an operator reaches it.
#[derive(Clone)]
pub struct NodeClient {
    client: JsonClient,
}

/// The documents in force with their revision.
#[derive(Debug, Clone, serde::Deserialize)]
pub struct TreeAnswer {
    /// The revision.
    pub revision: u64,
    /// The documents by path.
    pub documents: std::collections::BTreeMap<String, String>,
}

fn checked(answer: ClientResponse) -> Result<ClientResponse, CommandError> {
    if answer.status.is_success() {
        Ok(answer)
    } else {
        Err(CommandError::Refused(answer.status.as_u16(), answer.text()))
    }
}

impl NodeClient {
    /// A client with an operator key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let client = JsonClient::new(Pool::new(CONNECT_LIMIT), address, CALL_LIMIT).with_bearer(key);
        Self { client }
    }

    /// Reads a page as JSON.
    pub async fn get(&self, path: &str) -> Result<Value, CommandError> {
        Ok(checked(self.client.get(path).await?)?.json()?)
    }

    /// Sends a value.
    pub async fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<Value, CommandError> {
        Ok(checked(self.client.post(path, value).await?)?.json()?)
    }

    /// Sends without a body.
    pub async fn post_empty(&self, path: &str) -> Result<Value, CommandError> {
        Ok(checked(self.client.call(Method::POST, path, Bytes::new()).await?)?.json()?)
    }

    /// The tree at and below a path.
    pub async fn tree(&self, path: &str) -> Result<TreeAnswer, CommandError> {
        Ok(checked(self.client.get(&format!("/v1/admin/tree?path={path}")).await?)?.json()?)
    }

    /// Commits an edit.
    pub async fn edit(&self, edit: &Edit) -> Result<u64, CommandError> {
        let answer = self.post("/v1/admin/tree", edit).await?;
        Ok(answer["revision"].as_u64().unwrap_or(0))
    }
}
