//! How a newer list of back ends reaches the nodes that the store did not tell: whole, since it is short.
//!
//! A node that hears of a newer list asks one of those that hold it. Lists are given at the pace of the link: a node that
//! gives many sends further ones away, which by then find another node that holds the list.

use std::net::SocketAddr;
use std::sync::Arc;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerDirectoryUnusable;
use beamwall_gateway::Backend;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_peer::gateway_message::{DirectoryRequest, DirectoryWhole};
use beamwall_peer::{Body, compressed};
use tokio::time::Instant;

use crate::actors::directory::TakeSnapshot;
use crate::gateway::exchange::{ANSWER_LIMIT, Exchange, OWN_WATCH_TIME};
use crate::gateway::heard_versions::{pause_for_busy, to_busy_ms};
use crate::gateway::watches::{BACKENDS, WATCHERS_PER_ZONE};

impl Exchange {
    /// The list held here, for a peer, or when to ask again; `None` where it can't be written.
    pub(super) fn answer_directory(&self) -> Option<DirectoryWhole> {
        let snapshot = self.directory.load().snapshot();
        let backends = match compressed::encode(&snapshot.backends) {
            Ok(backends) => backends,
            Err(error) => {
                emit(&PeerDirectoryUnusable { peer: self.address.to_string(), reason: error.to_string() });
                return None;
            }
        };
        match self.transfers.admit(backends.len(), Instant::now()) {
            Ok(()) => Some(DirectoryWhole { revision: snapshot.revision, backends, busy_for_ms: 0 }),
            Err(wait) => Some(DirectoryWhole { busy_for_ms: to_busy_ms(wait), ..DirectoryWhole::default() }),
        }
    }

    /// Takes the revision and the digest of the list that a peer holds, and asks for it where they tell of a
    /// newer one.
    pub(super) fn hear_directory(self: &Arc<Self>, peer: SocketAddr, revision: u64, digest: u64) {
        let directory = self.directory.load();
        let differs = digest != directory.digest();
        if differs && self.directories.note(peer, revision, directory.revision()) {
            tokio::spawn(self.clone().fetch_directory());
        }
    }

    fn directory_revision(&self) -> u64 {
        self.directory.load().revision()
    }

    /// Asks peers until this node holds the newest list told, or none that holds it answers.
    async fn fetch_directory(self: Arc<Self>) {
        if self.chooser.is_chosen(BACKENDS, WATCHERS_PER_ZONE) {
            tokio::time::sleep(OWN_WATCH_TIME).await;
        }
        while let Some(peer) = self.directories.holder(self.directory_revision()) {
            let is_taken = match self.ask_for_directory(peer).await {
                Some(whole) if whole.busy_for_ms > 0 => {
                    pause_for_busy(whole.busy_for_ms).await;
                    continue;
                }
                Some(whole) => self.take_directory(peer, whole).await,
                None => false,
            };
            if !is_taken {
                self.directories.drop_holder(peer);
            }
        }
        self.directories.end_fetching(self.directory_revision());
    }

    async fn ask_for_directory(&self, peer: SocketAddr) -> Option<DirectoryWhole> {
        let question = self.envelope(Body::DirectoryRequest(DirectoryRequest {}));
        let answer = self.network.ask(peer, question, ANSWER_LIMIT).await;
        match answer.map(|envelope| envelope.body) {
            Ok(Some(Body::DirectoryWhole(whole))) => Some(whole),
            _ => None,
        }
    }

    /// Takes a peer's list; returns whether it was newer.
    async fn take_directory(&self, peer: SocketAddr, whole: DirectoryWhole) -> bool {
        match compressed::decode::<Vec<Backend>>(&whole.backends) {
            Ok(backends) => {
                let snapshot = DirectorySnapshot { revision: whole.revision, backends };
                let offer = TakeSnapshot { snapshot, source: peer.to_string() };
                // The actor ends only with the node.
                self.directory_actor.ask(offer).await.unwrap_or(false)
            }
            Err(error) => {
                emit(&PeerDirectoryUnusable { peer: peer.to_string(), reason: error.to_string() });
                false
            }
        }
    }
}
