//! Client of the cloud API: machines, their prices and notices that machines are reclaimed.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_http::{ClientError, JsonClient};
use beamwall_model::{BackendId, ServiceName, ZoneName};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::cloud_wire;

quick_error! {
    /// Why a call to the cloud API failed.
    #[derive(Debug)]
    pub enum CloudError {
        /// The cloud rejected the request, for example because no such machine is available.
        Refused(reason: String) {
            display("cloud refused: {}", reason)
        }
        /// The cloud could not be reached, or its response could not be read.
        Unavailable(reason: String) {
            display("cloud unavailable: {}", reason)
        }
    }
}

impl From<ClientError> for CloudError {
    fn from(error: ClientError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

/// State in the life cycle of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Requested, and not serving yet.
    Starting,
    /// Serving requests.
    Running,
    /// About to be reclaimed.
    Leaving,
}

/// A back-end machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine and of the back end on it.
    pub id: BackendId,
    /// The zone of the machine.
    pub zone: ZoneName,
    /// Machine class, for example `large`.
    pub class: String,
    /// Whether the cloud may reclaim the machine on short notice.
    pub reclaimable: bool,
    /// Price per hour, in millionths of the currency unit.
    pub price_micros_per_hour: u64,
    /// Where the back end listens.
    pub address: SocketAddr,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// State in the life cycle.
    pub state: MachineState,
}

/// A notice that a machine is about to be reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice, increasing.
    pub sequence: u64,
    /// The machine to be reclaimed.
    pub machine: BackendId,
    /// Milliseconds from the notice until the machine stops.
    pub deadline_ms: u64,
}

/// A request for a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRequest {
    /// Idempotency key: requests with the same key yield one machine.
    pub request: String,
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: String,
    /// Whether the cloud may reclaim the machine on short notice.
    pub reclaimable: bool,
    /// The service that the machine will run.
    pub service: ServiceName,
}

/// The price of a machine class in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: String,
    /// Whether the cloud may reclaim the machine on short notice.
    pub reclaimable: bool,
    /// Price per hour, in millionths of the currency unit.
    pub price_micros_per_hour: u64,
}

/// Client of the cloud API and the machine list.
#[derive(Clone)]
pub struct CloudClient {
    client: JsonClient,
}

impl CloudClient {
    /// Creates a client that calls the cloud API through `client`.
    pub fn new(client: JsonClient) -> Self {
        Self { client }
    }

    /// Lists all machines, those about to be reclaimed included. The list may be out of date.
    pub async fn machines(&self) -> Result<Vec<Machine>, CloudError> {
        self.read(cloud_wire::MACHINES).await
    }

    /// The current prices.
    pub async fn offers(&self) -> Result<Vec<Offer>, CloudError> {
        self.read(cloud_wire::OFFERS).await
    }

    /// Waits up to `wait` for notices with a sequence number above `sequence`.
    pub async fn notices(&self, sequence: u64, wait: Duration) -> Result<Vec<Notice>, CloudError> {
        let client = self.client.clone().with_timeout(wait + Duration::from_secs(2));
        let response = client.get(&cloud_wire::notices_path(sequence, wait)).await?;
        Ok(response.json()?)
    }

    /// Requests a machine.
    pub async fn start(&self, request: &MachineRequest) -> Result<Machine, CloudError> {
        let response = self.client.post(cloud_wire::MACHINES, request).await?;
        match response.status {
            StatusCode::OK => Ok(response.json()?),
            _ => Err(CloudError::Refused(response.text())),
        }
    }

    /// Releases a machine.
    pub async fn stop(&self, machine: &BackendId) -> Result<(), CloudError> {
        let path = cloud_wire::machine_path(machine);
        let response = self.client.call(Method::DELETE, &path, Bytes::new()).await?;
        if response.status.is_success() { Ok(()) } else { Err(CloudError::Refused(response.text())) }
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CloudError> {
        let response = self.client.get(path).await?;
        if response.status != StatusCode::OK {
            return Err(CloudError::Unavailable(format!("status {}", response.status)));
        }
        Ok(response.json()?)
    }
}
