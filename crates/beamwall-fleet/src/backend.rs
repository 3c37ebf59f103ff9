//! Back ends and the results of polling them.

use std::net::SocketAddr;

use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName};
use beamwall_store::Machine;
use tokio::time::Instant;

/// A model engine or an application back end, as stated in the machine list.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Identifier of the back end.
    pub id: BackendId,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address that the back end listens on.
    pub address: SocketAddr,
    /// Service it runs.
    pub service: ServiceName,
    /// Machine class.
    pub class: String,
    /// Whether the cloud may reclaim the machine.
    pub reclaimable: bool,
    /// Price per hour in millionths of the currency unit.
    pub price_micros_per_hour: u64,
}

impl From<&Machine> for Backend {
    fn from(machine: &Machine) -> Self {
        Self {
            id: machine.id.clone(),
            zone: machine.zone.clone(),
            address: machine.address,
            service: machine.service.clone(),
            class: machine.class.clone(),
            reclaimable: machine.reclaimable,
            price_micros_per_hour: machine.price_micros_per_hour,
        }
    }
}

/// The result of one poll.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendReport {
    /// The back end polled.
    pub backend: BackendId,
    /// The node that polled it.
    pub observer: NodeId,
    /// Sequence number of the poll at the observer; a newer poll has a larger one.
    pub sequence: u64,
    /// When this node polled the back end or received the report from a peer.
    pub received_at: Instant,
    /// Whether the back end responded.
    pub up: bool,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub queued_tokens: u32,
    /// Prompt tokens computed per second; 0 if unknown.
    pub prefill_tokens_per_second: u32,
    /// Whether the back end reports that it is leaving.
    pub leaving: bool,
    /// Loaded model; empty for plain services.
    pub model: String,
    /// Version of the loaded model.
    pub version: String,
}

/// Requests in one step of a quantised load.
const REQUESTS_STEP: u32 = 4;
/// Prompt tokens in one step of a quantised load.
const TOKENS_STEP: u32 = 2_048;

/// A report with its load rounded to coarse steps. A report that is equal in this form to the last one sent
/// need not be sent again soon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuantisedReport {
    up: bool,
    leaving: bool,
    requests: u32,
    queued_tokens: u32,
    loaded: (String, String),
}

impl BackendReport {
    /// Rounds the load to coarse steps and drops the values that change in every report.
    pub fn quantise(&self) -> QuantisedReport {
        QuantisedReport {
            up: self.up,
            leaving: self.leaving,
            requests: (self.running + self.waiting) / REQUESTS_STEP,
            queued_tokens: self.queued_tokens / TOKENS_STEP,
            loaded: (self.model.clone(), self.version.clone()),
        }
    }
    /// Creates the report of a failed poll.
    pub fn down(backend: BackendId, observer: NodeId, sequence: u64) -> Self {
        Self {
            backend,
            observer,
            sequence,
            received_at: Instant::now(),
            up: false,
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            prefill_tokens_per_second: 0,
            leaving: false,
            model: String::new(),
            version: String::new(),
        }
    }
}
