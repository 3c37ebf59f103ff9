//! How evidence against requests reaches all gateways.
//!
//! Who sees the end of a back end tells all nodes that it sends heartbeats to, and in a large deployment the relays of the other
//! zones, which pass it on to their own: an end with 20 open requests takes some 400 bytes. Heartbeats and sums of
//! zones carry a digest of all that is known. Who hears another one asks for the whole, and so do nodes that have just started and
//! those that were cut off.

use std::sync::Arc;
use std::time::Duration;

use beamwall_peer::quarantine_message::{QuarantineRequest, QuarantineUpdate};
use beamwall_peer::{Body, Envelope};
use prost::Message;
use tokio::time::Instant;

use crate::gateway::exchange::Exchange;
use crate::gateway::quarantine_wire::{decode, encode};

/// Least time between two questions for all that a peer knows: while news is on its way, digests differ for some milliseconds.
const QUESTION_PAUSE: Duration = Duration::from_millis(300);

impl Exchange {
    /// Tells what this node saw, each time that it saw something, until the task is ended.
    pub async fn tell_quarantine(self: Arc<Self>) {
        let quarantine = self.gateway.forwarder.quarantine.clone();
        loop {
            let untold = quarantine.next_unpublished().await;
            let news = self.envelope(Body::QuarantineNews(encode(&untold)));
            let mut told = self.targets(std::iter::empty());
            told.extend(self.members.load().relays_elsewhere.iter().copied());
            told.remove(&self.address);
            for address in told {
                self.network.send(address, &news);
            }
        }
    }

    /// The digest of what is known of requests under which back ends end; 0 for nothing.
    pub(super) fn quarantine_digest(&self) -> u64 {
        self.gateway.forwarder.quarantine.registry.digest()
    }

    /// Takes the digest of what a peer knows, and asks for it where it is another.
    pub(super) fn hear_quarantine_digest(&self, envelope: &Envelope, digest: u64) {
        if digest == 0
            || digest == self.quarantine_digest()
            || !self.quarantine_questions.admit(QUESTION_PAUSE)
        {
            return;
        }
        self.reply(envelope, Body::QuarantineRequest(QuarantineRequest {}));
    }

    /// Tells a peer all that is known here, as soon as the link has room for it: until then its next question comes.
    pub(super) fn answer_quarantine(&self, envelope: &Envelope) {
        let whole = encode(&self.gateway.forwarder.quarantine.registry.all_evidence());
        if self.transfers.admit(whole.encoded_len(), Instant::now()).is_ok() {
            self.reply(envelope, Body::QuarantineNews(whole));
        }
    }

    /// Takes evidence from a peer; a relay passes on what comes from another zone.
    pub(super) fn take_quarantine_news(&self, envelope: &Envelope, news: &QuarantineUpdate) {
        let new = self.gateway.forwarder.quarantine.merge_evidence(decode(news));
        if new.is_empty() || !self.is_large() || envelope.zone == self.zone.as_str() {
            return;
        }
        let news = self.envelope(Body::QuarantineNews(encode(&new)));
        for member in self.zone_members(&self.members.load().members) {
            self.network.send(member.address, &news);
        }
    }
}
