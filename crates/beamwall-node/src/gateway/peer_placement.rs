//! Sends placement requests to the placement nodes, and answers those of peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_clock::process_clock;
use beamwall_config::GatewaySettings;
use beamwall_events::emit;
use beamwall_events::internal_events::PlacementUnanswered;
use beamwall_gateway::{PlacementOutcome, PlacementPort, PlacementQuery};
use beamwall_model::NodeId;
use beamwall_peer::placement_message::PlacementRequest;
use beamwall_peer::{Body, Envelope, PeerNetwork};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::placement_router::{LocalNode, PlacementRouter, PlacementTarget};
use crate::gateway::{peer_envelope, placement_wire};
use crate::shared::MembershipView;

/// Timeout for a placement: a small part of the tightest latency objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Sends placement requests to the placement nodes.
pub struct PeerPlacement {
    envelope: Envelope,
    local: LocalNode,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    router: Mutex<PlacementRouter>,
}

impl PeerPlacement {
    /// Selects placement nodes among `members` and sends requests over `network`.
    pub fn new(
        settings: &GatewaySettings,
        network: Arc<PeerNetwork>,
        members: Arc<ArcSwap<MembershipView>>,
    ) -> Self {
        let envelope = peer_envelope(settings);
        let local = LocalNode {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            link_mbps: settings.link_mbps,
        };
        Self { envelope, local, network, members, router: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, PlacementRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_miss(&self, node: &NodeId) {
        if let Some(pause) = self.lock().note_miss(node, Instant::now()) {
            emit(&PlacementUnanswered { peer: node.to_string(), pause_ms: pause.as_millis().to_string() });
        }
    }
}

#[async_trait]
impl PlacementPort for PeerPlacement {
    async fn place(&self, question: &PlacementQuery) -> PlacementOutcome {
        let view = self.members.load_full();
        let target = self.lock().select_target(&self.local, &view, question.group, Instant::now());
        let PlacementTarget::Peer(target) = target else { return PlacementOutcome::PlaceLocally };
        let body = Body::PlacementRequest(placement_wire::encode_request(question));
        let envelope = Envelope { body: Some(body), ..self.envelope.clone() };
        let stall_time_before = process_clock::stall_time();
        let answer = self.network.ask(target.address, envelope, ANSWER_TIMEOUT).await;
        let outcome = match answer.map(|answer| answer.body) {
            Ok(Some(Body::PlacementReply(reply))) => {
                placement_wire::decode_reply(&reply, target.node.clone())
            }
            Ok(_) | Err(_) => PlacementOutcome::Unanswered,
        };
        if outcome != PlacementOutcome::Unanswered {
            self.lock().note_answer(&target.node);
        } else if process_clock::stall_time() == stall_time_before {
            // The node found no engine, for instance because it has just started, or did not answer in time. If
            // this process was stalled meanwhile, the answer may have arrived unread, so the node is not blamed.
            self.note_miss(&target.node);
        }
        outcome
    }
}

impl PeerExchange {
    /// Places a request for a peer. Placement requests carry no membership information and are frequent, so
    /// they are not passed to membership.
    pub(super) fn answer_placement(&self, envelope: &Envelope, request: PlacementRequest) {
        let question = placement_wire::decode_request(request, envelope);
        let outcome = self.gateway.forwarder.place(&question);
        self.reply(envelope, Body::PlacementReply(placement_wire::encode_reply(outcome)));
    }
}
