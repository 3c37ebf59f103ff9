//! Distribution of newer lists of back ends to nodes that did not receive them from the control store.
//!
//! A node that learns of a newer list requests it from one of the peers that hold it, and receives the
//! changes since its own revision, or the whole list when that revision is no longer in the history. Whole
//! lists are paced by the link: a node that sends many of them turns further requesters away, which by then
//! find another holder. Changes are short and never wait.

use std::net::SocketAddr;
use std::sync::Arc;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerDirectoryUnusable;
use beamwall_model::StoreRevision;
use beamwall_peer::Body;
use beamwall_peer::gateway_message::{DirectoryAnswer, DirectoryRequest};
use prost::Message;
use tokio::time::Instant;

use crate::actors::directory::{ApplyTold, TakeSnapshot};
use crate::gateway::directory_wire::{self, DirectoryUpdate};
use crate::gateway::exchange::{ANSWER_TIMEOUT, PeerExchange, WATCH_HEAD_START};
use crate::gateway::peer_versions::{pause_for_busy, to_busy_ms};
use crate::gateway::watches::{BACKENDS, WATCHERS_PER_ZONE};

impl PeerExchange {
    /// Answers a peer with the changes since its revision, the whole list, or the time after which to ask
    /// again.
    pub(super) fn answer_directory(&self, request: DirectoryRequest) -> DirectoryAnswer {
        let directory = self.directory.load();
        let held = StoreRevision::new(request.held_era, request.held_revision);
        // Builds that read JSON only can't read changes, and send no revision of their own.
        let may_read_whole_only = request.held_revision == 0 && !request.reads_names;
        let changes = directory.changes_since(held).filter(|_| !may_read_whole_only);
        if let Some(changes) = changes {
            return directory_wire::encode(&DirectoryUpdate::Changes(changes));
        }
        let whole = directory_wire::encode_for(&request, &DirectoryUpdate::Whole(directory.snapshot()));
        match self.transfers.admit(whole.encoded_len(), Instant::now()) {
            Ok(()) => whole,
            Err(wait) => DirectoryAnswer { busy_for_ms: to_busy_ms(wait), ..DirectoryAnswer::default() },
        }
    }

    /// Records the revision and digest of the list that a peer holds, and fetches the list if it is newer.
    pub(super) fn note_directory_revision(
        self: &Arc<Self>,
        peer: SocketAddr,
        revision: StoreRevision,
        digest: u64,
    ) {
        self.store_eras.learn_era_from_peer(revision.era);
        let directory = self.directory.load();
        // A node that has just started reports no list at all.
        let names_no_era = revision.era == 0 && revision.number > 0;
        if names_no_era && directory.revision().era > 0 {
            self.selector.note_peer_without_eras();
        }
        self.gateway.forwarder.backend_state.staleness.note_peer(peer, revision, digest, Instant::now());
        let differs = digest != directory.digest();
        if differs && self.directory_versions.note(peer, revision, directory.revision()) {
            tokio::spawn(self.clone().fetch_directory());
        }
    }

    fn directory_revision(&self) -> StoreRevision {
        self.directory.load().revision()
    }

    /// Requests the list from peers until this node holds the newest reported one, or no holder answers.
    async fn fetch_directory(self: Arc<Self>) {
        if self.selector.is_watcher(BACKENDS, WATCHERS_PER_ZONE) {
            tokio::time::sleep(WATCH_HEAD_START).await;
        }
        while let Some(peer) = self.directory_versions.pick_holder(self.directory_revision()) {
            let held = self.directory_revision();
            let is_taken = match self.ask_for_directory(peer, held).await {
                Some(answer) if answer.busy_for_ms > 0 => {
                    pause_for_busy(answer.busy_for_ms).await;
                    continue;
                }
                Some(answer) => self.take_directory(peer, held, &answer).await,
                None => false,
            };
            // If the own list changed during the request, the peer is not at fault: the request is repeated
            // from the new revision.
            let has_moved_on = self.directory_revision() != held;
            if !is_taken && !has_moved_on {
                self.directory_versions.remove_holder(peer);
            }
        }
        self.directory_versions.finish_fetch(self.directory_revision());
    }

    async fn ask_for_directory(&self, peer: SocketAddr, held: StoreRevision) -> Option<DirectoryAnswer> {
        let request = DirectoryRequest { held_revision: held.number, held_era: held.era, reads_names: true };
        let question = self.envelope(Body::DirectoryRequest(request));
        let answer = self.network.ask(peer, question, ANSWER_TIMEOUT).await;
        match answer.map(|envelope| envelope.body) {
            Ok(Some(Body::DirectoryAnswer(answer))) => Some(answer),
            _ => None,
        }
    }

    /// Applies a peer's answer to a request sent at revision `held`; returns whether it was newer.
    async fn take_directory(&self, peer: SocketAddr, held: StoreRevision, answer: &DirectoryAnswer) -> bool {
        let source = peer.to_string();
        // The actor stops only together with the node.
        match directory_wire::decode(answer) {
            Ok(DirectoryUpdate::Whole(snapshot)) => {
                self.directory_actor.ask(TakeSnapshot { snapshot, source }).await.unwrap_or(false)
            }
            Ok(DirectoryUpdate::Changes(changes)) => {
                let offer = ApplyTold { held, changes, source };
                self.directory_actor.ask(offer).await.unwrap_or(false)
            }
            Err(error) => {
                emit(&PeerDirectoryUnusable { peer: source, reason: error.to_string() });
                false
            }
        }
    }
}
