//! Distribution of newer policy versions to nodes that did not receive them from the control store.
//!
//! A node that learns of a newer version requests the changes since its own version from one of the peers
//! that hold it. Versions superseded meanwhile are skipped. A large answer, such as the whole policy for a
//! node that has just started, occupies the sender's link for a while: until then the sender turns other
//! requesters away, which by then find a further holder.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{PolicyBehind, PolicyChangeUnusable};
use beamwall_peer::gateway_message::{PolicyAnswer, PolicyRequest};
use beamwall_peer::{Body, TransferPacer, compressed};
use beamwall_policy::{PolicyChange, PolicyHistory};
use tokio::time::Instant;

use crate::actors::policy::ApplyPolicyChange;
use crate::gateway::exchange::{ANSWER_TIMEOUT, PeerExchange, WATCH_HEAD_START};
use crate::gateway::peer_versions::{PeerVersions, pause_for_busy, to_busy_ms};
use crate::gateway::watches::{POLICY, WATCHERS_PER_ZONE};

/// Time after which a node that lacks a version held by others logs it: an eighth of the 8 s within which an
/// accepted edit must be in effect everywhere.
const BEHIND_AFTER: Duration = Duration::from_secs(1);
/// Size of the cache of encoded changes: nodes that ask within a short time mostly hold the same few
/// versions.
const ENCODED_CACHE_SIZE: usize = 8;

/// An encoded change and the request that it answers.
#[derive(Debug)]
struct EncodedChange {
    request: PolicyRequest,
    version: u64,
    change: Vec<u8>,
}

/// Policy versions sent to peers and reported by them.
#[derive(Debug)]
pub struct PolicyDistribution {
    history: Arc<PolicyHistory>,
    transfers: Arc<TransferPacer>,
    peer_versions: PeerVersions<u64>,
    encoded: Mutex<Vec<EncodedChange>>,
}

impl PolicyDistribution {
    /// Sends versions of `history`, paced by `transfers`.
    pub fn new(history: Arc<PolicyHistory>, transfers: Arc<TransferPacer>) -> Self {
        Self { history, transfers, peer_versions: PeerVersions::default(), encoded: Mutex::default() }
    }

    /// The newest version that a peer reported, and for how long this node has lacked it.
    pub fn newest_reported(&self) -> (u64, Duration) {
        self.peer_versions.newest_reported()
    }

    /// Answers a peer that requests the changes since its version.
    pub(super) fn answer(&self, request: PolicyRequest, now: Instant) -> PolicyAnswer {
        let Some(change) = self.encoded_change(request) else { return PolicyAnswer::default() };
        match self.transfers.admit(change.len(), now) {
            Ok(()) => PolicyAnswer { change, busy_for_ms: 0 },
            Err(wait) => PolicyAnswer { change: Vec::new(), busy_for_ms: to_busy_ms(wait) },
        }
    }

    fn encoded_change(&self, request: PolicyRequest) -> Option<Vec<u8>> {
        let newest = self.history.newest_version()?;
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        encoded.retain(|known| known.version == newest);
        if let Some(known) = encoded.iter().find(|known| known.request == request) {
            return Some(known.change.clone());
        }
        let change = self.history.change_from(request.held_version, request.held_digest)?;
        let bytes = match compressed::encode(&change) {
            Ok(bytes) => bytes,
            Err(error) => {
                emit(&PolicyChangeUnusable { peer: String::new(), reason: error.to_string() });
                return None;
            }
        };
        if encoded.len() == ENCODED_CACHE_SIZE {
            encoded.remove(0);
        }
        encoded.push(EncodedChange { request, version: change.version, change: bytes.clone() });
        Some(bytes)
    }
}

impl PeerExchange {
    /// Records the version that a peer holds, and fetches it if this node lacks it.
    pub(super) fn note_policy_version(self: &Arc<Self>, peer: SocketAddr, version: u64) {
        if self.policies.peer_versions.note(peer, version, self.policy_version()) {
            tokio::spawn(self.clone().fetch_policy());
        }
    }

    fn policy_version(&self) -> u64 {
        self.gateway.policy.load().version()
    }

    /// Requests changes from peers until this node holds the newest reported version, or no holder answers.
    async fn fetch_policy(self: Arc<Self>) {
        if self.selector.is_watcher(POLICY, WATCHERS_PER_ZONE) {
            tokio::time::sleep(WATCH_HEAD_START).await;
        }
        let mut wants_whole = false;
        let mut has_logged = false;
        while let Some(peer) = self.policies.peer_versions.pick_holder(self.policy_version()) {
            match self.ask_for_change(peer, wants_whole).await {
                FetchResult::Applied => wants_whole = false,
                FetchResult::Unusable => wants_whole = true,
                FetchResult::Busy(busy_for_ms) => pause_for_busy(busy_for_ms).await,
                FetchResult::Unanswered => self.policies.peer_versions.remove_holder(peer),
            }
            has_logged = has_logged || self.log_if_behind();
        }
        self.policies.peer_versions.finish_fetch(self.policy_version());
    }

    /// Logs that this node has lacked a version for too long; returns whether it did.
    fn log_if_behind(&self) -> bool {
        let (newest_peer_version, behind) = self.policies.newest_reported();
        let held = self.policy_version();
        if held >= newest_peer_version || behind < BEHIND_AFTER {
            return false;
        }
        emit(&PolicyBehind {
            held: held.to_string(),
            told: newest_peer_version.to_string(),
            behind_ms: behind.as_millis().to_string(),
        });
        true
    }

    async fn ask_for_change(&self, peer: SocketAddr, wants_whole: bool) -> FetchResult {
        let held = self.gateway.policy.load().policy().clone();
        let request = if wants_whole || held.version == 0 {
            PolicyRequest::default()
        } else {
            PolicyRequest { held_version: held.version, held_digest: held.digest() }
        };
        let question = self.envelope(Body::PolicyRequest(request));
        let answer =
            match self.network.ask(peer, question, ANSWER_TIMEOUT).await.map(|envelope| envelope.body) {
                Ok(Some(Body::PolicyAnswer(answer))) => answer,
                _ => return FetchResult::Unanswered,
            };
        if answer.busy_for_ms > 0 {
            return FetchResult::Busy(answer.busy_for_ms);
        }
        if answer.change.is_empty() {
            return FetchResult::Unanswered;
        }
        match self.apply(peer, &answer.change).await {
            Ok(()) => FetchResult::Applied,
            Err(reason) => {
                emit(&PolicyChangeUnusable { peer: peer.to_string(), reason });
                if wants_whole { FetchResult::Unanswered } else { FetchResult::Unusable }
            }
        }
    }

    async fn apply(&self, peer: SocketAddr, change: &[u8]) -> Result<(), String> {
        let change: PolicyChange = compressed::decode(change).map_err(|error| error.to_string())?;
        let offer = ApplyPolicyChange { change, source: peer.to_string() };
        self.policy_actor.ask(offer).await.map_err(|error| error.to_string())
    }
}

/// Result of a request to one peer.
enum FetchResult {
    /// The change is in effect.
    Applied,
    /// The change can't be applied to the version held here.
    Unusable,
    /// The peer is busy with other transfers for this many milliseconds.
    Busy(u32),
    /// The peer did not answer, or holds no policy.
    Unanswered,
}
