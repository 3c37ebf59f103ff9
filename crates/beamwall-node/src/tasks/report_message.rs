//! Reports of back ends as messages between nodes, and back.

use beamwall_fleet::BackendReport;
use beamwall_model::{BackendId, NodeId};
use beamwall_peer::message;
use tokio::time::Instant;

/// A report as a message.
pub fn encode(report: &BackendReport) -> message::BackendReport {
    message::BackendReport {
        backend: report.backend.to_string(),
        observer: report.observer.to_string(),
        sequence: report.sequence,
        up: report.up,
        running: report.running,
        waiting: report.waiting,
        queued_tokens: report.queued_tokens,
        prefill_tokens_per_second: report.prefill_tokens_per_second,
        leaving: report.leaving,
        model: report.model.clone(),
        version: report.version.clone(),
    }
}

/// A report from a message that arrived at `learned`.
pub fn decode(report: &message::BackendReport, learned: Instant) -> BackendReport {
    BackendReport {
        backend: BackendId::new(&report.backend),
        observer: NodeId::new(&report.observer),
        sequence: report.sequence,
        received_at: learned,
        up: report.up,
        running: report.running,
        waiting: report.waiting,
        queued_tokens: report.queued_tokens,
        prefill_tokens_per_second: report.prefill_tokens_per_second,
        leaving: report.leaving,
        model: report.model.clone(),
        version: report.version.clone(),
    }
}
