//! How evidence against requests reaches all gateways.
//!
//! Who sees the end of a back end tells all nodes that it sends heartbeats to, and in a large deployment the relays of the other
//! zones, which pass it on to their own: an end with 20 open requests takes some 400 bytes. Heartbeats and sums of
//! zones carry a digest of all that is known. Who hears another one asks for the whole, and so do nodes that have just started and
//! those that were cut off.

use std::sync::Arc;
use std::time::Duration;

use beamwall_peer::quarantine_message::{QuarantineNews, QuarantineRequest};
use beamwall_peer::{Body, Envelope};
use prost::Message;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::quarantine_wire::{decode, encode};

/// Least time between two questions for all that a peer knows: while news is on its way, digests differ for some milliseconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl PeerExchange {
    /// Tells what this node saw, each time that it saw something, until the task is ended.
    pub async fn broadcast_evidence(self: Arc<Self>) {
        let quarantine = self.gateway.forwarder.quarantine.clone();
        loop {
            let unsent = quarantine.next_untold().await;
            let news = self.envelope(Body::QuarantineNews(encode(&unsent)));
            let mut recipients = self.targets(std::iter::empty());
            recipients.extend(self.members.load().relays_elsewhere.iter().copied());
            recipients.remove(&self.address);
            for address in recipients {
                self.network.send(address, &news);
            }
        }
    }

    /// The digest of what is known of requests under which back ends end; 0 for nothing.
    pub(super) fn quarantine_digest(&self) -> u64 {
        self.gateway.forwarder.quarantine.book.digest()
    }

    /// Takes the digest of what a peer knows, and asks for it where it is another.
    pub(super) fn compare_quarantine_digest(&self, envelope: &Envelope, digest: u64) {
        if digest == 0
            || digest == self.quarantine_digest()
            || !self.quarantine_request_throttle.admit(REQUEST_INTERVAL)
        {
            return;
        }
        self.reply(envelope, Body::QuarantineRequest(QuarantineRequest {}));
    }

    /// Tells a peer all that is known here, as soon as the link has room for it: until then its next question comes.
    pub(super) fn send_all_evidence(&self, envelope: &Envelope) {
        let whole = encode(&self.gateway.forwarder.quarantine.book.whole());
        if self.transfers.admit(whole.encoded_len(), Instant::now()).is_ok() {
            self.reply(envelope, Body::QuarantineNews(whole));
        }
    }

    /// Takes evidence from a peer; a relay passes on what comes from another zone.
    pub(super) fn handle_quarantine_news(&self, envelope: &Envelope, news: &QuarantineNews) {
        let new = self.gateway.forwarder.quarantine.hear(decode(news));
        if new.is_empty() || !self.is_large_deployment() || envelope.zone == self.zone.as_str() {
            return;
        }
        let news = self.envelope(Body::QuarantineNews(encode(&new)));
        for member in self.zone_members(&self.members.load().members) {
            self.network.send(member.address, &news);
        }
    }
}
