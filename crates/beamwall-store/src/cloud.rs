//! The cloud API port: machines, their prices and notices that machines are taken back.

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
        /// The cloud has no such machine to give now.
        Refused(reason: String) {
            display("cloud refused: {}", reason)
        }
        /// The cloud could not be reached or its answer not read.
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

/// Where a machine is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Asked for; not yet serving.
    Starting,
    /// Serving.
    Running,
    /// To be taken back.
    Leaving,
}

/// A back-end machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine and of the back end on it.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneName,
    /// Machine class, for example `large`.
    pub class: String,
    /// Whether the cloud may take it back on short notice.
    pub reclaimable: bool,
    /// Price in millionths of the currency an hour.
    pub price_micros_per_hour: u64,
    /// Where the back end listens.
    pub address: SocketAddr,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it is in its life.
    pub state: MachineState,
}

/// A notice that a machine is taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Rising number of the notice.
    pub sequence: u64,
    /// The machine.
    pub machine: BackendId,
    /// Milliseconds from the notice until the machine stops.
    pub deadline_ms: u64,
}

/// What to ask the cloud for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRequest {
    /// Identifier of the request: the same one asked for twice gives one machine.
    pub request: String,
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// The service it will run.
    pub service: ServiceName,
}

/// An offer: a machine class in a zone with its price.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: String,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// Price in millionths of the currency an hour.
    pub price_micros_per_hour: u64,
}

/// Client of the cloud API and the machine list.
#[derive(Clone)]
pub struct CloudClient {
    client: JsonClient,
}

impl CloudClient {
    /// A client of one address.
    pub fn new(client: JsonClient) -> Self {
        Self { client }
    }

    /// The list of live and leaving machines. It lags.
    pub async fn machines(&self) -> Result<Vec<Machine>, CloudError> {
        self.read(cloud_wire::MACHINES).await
    }

    /// Prices now.
    pub async fn offers(&self) -> Result<Vec<Offer>, CloudError> {
        self.read(cloud_wire::OFFERS).await
    }

    /// Waits up to `wait` for notices after `sequence`.
    pub async fn notices(&self, sequence: u64, wait: Duration) -> Result<Vec<Notice>, CloudError> {
        let client = self.client.clone().with_timeout(wait + Duration::from_secs(2));
        let response = client.get(&cloud_wire::notices_path(sequence, wait)).await?;
        Ok(response.json()?)
    }

    /// Asks for a machine.
    pub async fn start(&self, request: &MachineRequest) -> Result<Machine, CloudError> {
        let response = self.client.post(cloud_wire::MACHINES, request).await?;
        match response.status {
            StatusCode::OK => Ok(response.json()?),
            _ => Err(CloudError::Refused(response.text())),
        }
    }

    /// Gives a machine back.
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
