//! Requests permits for engines that name a limit from the engines' permit nodes.
//!
//! The permit node is found by rendezvous hash among all live nodes, so no election is needed. Unlike
//! placement, a permit node that does not answer is not replaced at once: nodes that chose different permit
//! nodes would together exceed the limit. Membership replaces it, and until then the engine is not used.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_config::GatewaySettings;
use beamwall_engine_limits::Grant;
use beamwall_gateway::engine_gate::{PermitOutcome, PermitPort, PermitRequest};
use beamwall_model::{BackendId, rendezvous};
use beamwall_peer::gateway_message::{PermitReply, PermitRequest as PermitRequestMessage};
use beamwall_peer::{Body, Envelope, Member, MemberState, PeerNetwork, link_weight};

use crate::gateway::exchange::PeerExchange;
use crate::gateway::{heartbeat_wire, peer_envelope};
use crate::shared::MembershipView;

/// Timeout for a permit: a small part of the tightest latency objective.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Requests permits from peers.
pub struct PeerPermits {
    envelope: Envelope,
    node: String,
    link_mbps: u32,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
}

impl PeerPermits {
    /// Selects permit nodes among `members` and sends requests over `network`.
    pub fn new(
        settings: &GatewaySettings,
        network: Arc<PeerNetwork>,
        members: Arc<ArcSwap<MembershipView>>,
    ) -> Self {
        let (envelope, node) = (peer_envelope(settings), settings.node.to_string());
        Self { envelope, node, link_mbps: settings.link_mbps, network, members }
    }

    /// The permit node of an engine; `None`: this node.
    fn permit_node(&self, backend: &BackendId) -> Option<Member> {
        let view = self.members.load();
        let candidates: Vec<&Member> = view.members.iter().filter(|member| may_grant(member)).collect();
        let mut weighted: Vec<(&str, f64)> =
            candidates.iter().map(|member| (member.node.as_str(), link_weight(member.link_mbps))).collect();
        weighted.push((&self.node, link_weight(self.link_mbps)));
        let chosen = rendezvous::choose_weighted(backend.as_str().as_bytes(), &weighted, 1).pop()?;
        candidates.into_iter().find(|member| member.node.as_str() == chosen).cloned()
    }
}

/// Whether a node may grant permits. One that drains hands over while it still answers.
fn may_grant(member: &Member) -> bool {
    member.state == MemberState::Alive && !member.draining
}

#[async_trait]
impl PermitPort for PeerPermits {
    async fn request_permit(&self, request: &PermitRequest) -> PermitOutcome {
        let Some(target) = self.permit_node(&request.backend) else { return PermitOutcome::GrantLocally };
        let body = Body::PermitRequest(encode(request));
        let envelope = Envelope { body: Some(body), ..self.envelope.clone() };
        match self.network.ask(target.address, envelope, ANSWER_TIMEOUT).await.map(|answer| answer.body) {
            Ok(Some(Body::PermitReply(reply))) => PermitOutcome::Answered(decode_reply(reply)),
            Ok(_) | Err(_) => PermitOutcome::Unanswered,
        }
    }

    fn grants(&self, backend: &BackendId) -> bool {
        self.permit_node(backend).is_none()
    }
}

fn encode(request: &PermitRequest) -> PermitRequestMessage {
    PermitRequestMessage {
        backend: request.backend.to_string(),
        limit: request.known.as_ref().map(heartbeat_wire::encode_engine_limit),
        rank: u32::from(request.rank),
        rejection: request.rejection.as_ref().map(heartbeat_wire::encode_rejection),
    }
}

impl PeerExchange {
    /// Grants or denies a peer a permit for an engine that names a limit.
    pub(super) fn answer_permit(&self, envelope: &Envelope, request: &PermitRequestMessage) {
        let grant = self.gateway.forwarder.gate.grant(&decode(request));
        self.reply(envelope, Body::PermitReply(encode_reply(grant)));
    }
}

fn decode(message: &PermitRequestMessage) -> PermitRequest {
    PermitRequest {
        backend: BackendId::new(&message.backend),
        known: message.limit.as_ref().and_then(heartbeat_wire::decode_engine_limit),
        rank: u8::try_from(message.rank).unwrap_or(u8::MAX),
        rejection: message.rejection.as_ref().and_then(heartbeat_wire::decode_rejection),
    }
}

fn encode_reply(grant: Grant) -> PermitReply {
    match grant {
        Grant::Granted => PermitReply { is_granted: true, wait_ms: 0 },
        Grant::Denied(wait) => {
            PermitReply { is_granted: false, wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX) }
        }
    }
}

fn decode_reply(reply: PermitReply) -> Grant {
    if reply.is_granted {
        return Grant::Granted;
    }
    Grant::Denied(Duration::from_millis(u64::from(reply.wait_ms)))
}
