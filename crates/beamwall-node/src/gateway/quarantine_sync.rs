//! Distribution of the evidence against requests to all gateways.
//!
//! A node that observes the termination of a back end sends it to all its heartbeat targets, and in a large
//! deployment to the relays of the other zones, which forward it within their zones: a termination with 20
//! open requests takes about 400 bytes. Heartbeats and zone summaries carry a digest of all evidence. A node
//! that receives a different digest requests all evidence, and so do nodes that have just started or were cut
//! off.

use std::sync::Arc;
use std::time::Duration;

use beamwall_peer::quarantine_message::{QuarantineRequest, QuarantineUpdate};
use beamwall_peer::{Body, Envelope};
use prost::Message;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::quarantine_wire::{decode, encode};

/// Minimum time between two requests for all evidence of a peer: while evidence is in transit, digests differ
/// for some milliseconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl PeerExchange {
    /// Sends new evidence of this node as it is recorded, until the task is aborted.
    pub async fn broadcast_evidence(self: Arc<Self>) {
        let quarantine = self.gateway.forwarder.quarantine.clone();
        loop {
            let unsent = quarantine.next_unpublished().await;
            let message = self.envelope(Body::QuarantineNews(encode(&unsent)));
            let mut recipients = self.targets(std::iter::empty());
            recipients.extend(self.members.load().relays_elsewhere.iter().copied());
            recipients.remove(&self.address);
            for address in recipients {
                self.network.send(address, &message);
            }
        }
    }

    /// Digest of the evidence held here; 0 if there is none.
    pub(super) fn quarantine_digest(&self) -> u64 {
        self.gateway.forwarder.quarantine.registry.digest()
    }

    /// Compares a peer's digest with the one of this node, and requests the peer's evidence if they differ.
    pub(super) fn compare_quarantine_digest(&self, envelope: &Envelope, digest: u64) {
        if digest == 0
            || digest == self.quarantine_digest()
            || !self.quarantine_request_throttle.admit(REQUEST_INTERVAL)
        {
            return;
        }
        self.reply(envelope, Body::QuarantineRequest(QuarantineRequest {}));
    }

    /// Sends all evidence to a peer if the link has room for it; otherwise the peer asks again later.
    pub(super) fn send_all_evidence(&self, envelope: &Envelope) {
        let evidence = encode(&self.gateway.forwarder.quarantine.registry.all_evidence());
        if self.transfers.admit(evidence.encoded_len(), Instant::now()).is_ok() {
            self.reply(envelope, Body::QuarantineNews(evidence));
        }
    }

    /// Merges evidence from a peer; a relay forwards evidence from other zones.
    pub(super) fn handle_quarantine_update(&self, envelope: &Envelope, update: &QuarantineUpdate) {
        let new = self.gateway.forwarder.quarantine.merge_evidence(decode(update));
        if new.is_empty() || !self.is_large_deployment() || envelope.zone == self.zone.as_str() {
            return;
        }
        let message = self.envelope(Body::QuarantineNews(encode(&new)));
        for member in self.zone_members(&self.members.load().members) {
            self.network.send(member.address, &message);
        }
    }
}
