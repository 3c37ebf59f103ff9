//! How a newer list of back ends reaches the nodes that the store did not tell: whole, since it is short.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerDirectoryUnusable;
use beamwall_gateway::Backend;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_peer::gateway_message::{DirectoryRequest, DirectoryWhole};
use beamwall_peer::{Body, compressed};

use crate::actors::directory::TakeSnapshot;
use crate::gateway::exchange::{ANSWER_LIMIT, Exchange, OWN_WATCH_TIME};
use crate::gateway::watches::{BACKENDS, WATCHERS_PER_ZONE};

impl Exchange {
    /// The list held here, for a peer.
    pub(super) fn whole_directory(&self) -> Option<DirectoryWhole> {
        let snapshot = self.directory.load().snapshot();
        match compressed::encode(&snapshot.backends) {
            Ok(backends) => Some(DirectoryWhole { revision: snapshot.revision, backends }),
            Err(error) => {
                emit(&PeerDirectoryUnusable { peer: self.address.to_string(), reason: error.to_string() });
                None
            }
        }
    }

    /// Takes the revision and the digest of the list that a peer holds, and asks for it where they tell of a
    /// newer one.
    pub(super) fn hear_directory(self: &Arc<Self>, peer: SocketAddr, revision: u64, digest: u64) {
        let directory = self.directory.load();
        let is_newer = revision > directory.revision() && digest != directory.digest();
        if is_newer && !self.fetching_directory.swap(true, Ordering::Relaxed) {
            tokio::spawn(self.clone().fetch_directory(peer, revision));
        }
    }

    async fn fetch_directory(self: Arc<Self>, peer: SocketAddr, revision: u64) {
        if self.chooser.is_chosen(BACKENDS, WATCHERS_PER_ZONE) {
            tokio::time::sleep(OWN_WATCH_TIME).await;
        }
        if self.directory.load().revision() < revision {
            self.ask_for_directory(peer).await;
        }
        self.fetching_directory.store(false, Ordering::Relaxed);
    }

    /// Asks once: a peer that does not answer is asked again when it is next heard.
    async fn ask_for_directory(&self, peer: SocketAddr) {
        let question = self.envelope(Body::DirectoryRequest(DirectoryRequest {}));
        let answer = self.network.ask(peer, question, ANSWER_LIMIT).await;
        let Ok(Some(Body::DirectoryWhole(whole))) = answer.map(|envelope| envelope.body) else { return };
        match compressed::decode::<Vec<Backend>>(&whole.backends) {
            Ok(backends) => {
                let snapshot = DirectorySnapshot { revision: whole.revision, backends };
                let offer = TakeSnapshot { snapshot, source: peer.to_string() };
                // The actor ends only with the node.
                let _ = self.directory_actor.ask(offer).await;
            }
            Err(error) => {
                emit(&PeerDirectoryUnusable { peer: peer.to_string(), reason: error.to_string() });
            }
        }
    }
}
