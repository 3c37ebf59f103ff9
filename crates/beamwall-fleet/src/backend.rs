//! A back end and what polls say of it.

use std::net::SocketAddr;

use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName};
use beamwall_store::Machine;
use tokio::time::Instant;

/// A model engine or an application back end, as the machine list gives it.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name.
    pub id: BackendId,
    /// Zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service it runs.
    pub service: ServiceName,
    /// Machine class.
    pub class: String,
    /// Whether the cloud may take its machine back.
    pub reclaimable: bool,
    /// Price in millionths of the currency an hour.
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
    /// Number of the poll at that node; newer is larger.
    pub sequence: u64,
    /// When this node learned of it.
    pub received_at: Instant,
    /// Whether it answered.
    pub up: bool,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub queued_tokens: u32,
    /// Prompt tokens computed a second; 0 when unknown.
    pub prefill_tokens_per_second: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Model loaded; empty for plain services.
    pub model: String,
    /// Version loaded.
    pub version: String,
}

/// Requests in one step of a quantised load.
const REQUESTS_STEP: u32 = 4;
/// Prompt tokens in one step of a quantised load.
const TOKENS_STEP: u32 = 2_048;

/// A report without what changes all the time: equal ones need not be told again soon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuantisedReport {
    up: bool,
    leaving: bool,
    requests: u32,
    queued_tokens: u32,
    loaded: (String, String),
}

impl BackendReport {
    /// The report in coarse steps.
    pub fn quantise(&self) -> QuantisedReport {
        QuantisedReport {
            up: self.up,
            leaving: self.leaving,
            requests: (self.running + self.waiting) / REQUESTS_STEP,
            queued_tokens: self.queued_tokens / TOKENS_STEP,
            loaded: (self.model.clone(), self.version.clone()),
        }
    }
    /// The report of a poll that got no answer.
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
