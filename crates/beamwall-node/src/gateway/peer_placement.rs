//! Sends placement requests to the placement nodes, and answers those of peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_admission::{CapacityClaim, Rejection, RejectionReason};
use beamwall_clock::process_clock;
use beamwall_config::GatewaySettings;
use beamwall_engine_model::PrefillWork;
use beamwall_events::emit;
use beamwall_events::internal_events::PlacementUnanswered;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::{Choice, PlacementOutcome, PlacementPort, PlacementQuery, Prompt, PromptPart};
use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName, TenantName, ZoneName};
use beamwall_peer::placement_message::{PlacementPart, PlacementReply, PlacementRequest};
use beamwall_peer::{Body, Envelope, PeerNetwork};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::placement_router::{LocalNode, PlacementRouter, PlacementTarget};
use crate::gateway::{heartbeat_wire, peer_envelope};
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
        let body = Body::PlacementRequest(encode(question));
        let envelope = Envelope { body: Some(body), ..self.envelope.clone() };
        let stall_time_before = process_clock::stall_time();
        match self.network.ask(target.address, envelope, ANSWER_TIMEOUT).await.map(|answer| answer.body) {
            Ok(Some(Body::PlacementReply(reply))) if !reply.backend.is_empty() => {
                self.lock().note_answer(&target.node);
                PlacementOutcome::Chosen(decode_reply(&reply, target.node))
            }
            Ok(Some(Body::PlacementReply(reply))) if !reply.rejected.is_empty() => {
                self.lock().note_answer(&target.node);
                PlacementOutcome::Rejected(decode_rejection(&reply))
            }
            // The node found no engine, for instance because it has just started, or did not answer in time.
            Ok(_) | Err(_) => {
                // If this process was stalled meanwhile, the answer may have arrived unread, so the node is
                // not blamed.
                if process_clock::stall_time() == stall_time_before {
                    self.note_miss(&target.node);
                }
                PlacementOutcome::Unanswered
            }
        }
    }
}

fn encode(question: &PlacementQuery) -> PlacementRequest {
    let prompt = &question.prompt;
    PlacementRequest {
        service: question.service.to_string(),
        prompt_tokens: prompt.prompt_tokens,
        output_tokens: prompt.output_tokens,
        parts: prompt.parts.iter().map(|part| PlacementPart { id: part.id, tokens: part.tokens }).collect(),
        tried: question.tried.iter().map(ToString::to_string).collect(),
        unreachable: question.unreachable.iter().map(ToString::to_string).collect(),
        pause_objective_ms: question.pause_objective_ms,
        remaining_ms: question.remaining.as_millis() as u64,
        group: question.group.number,
        groups: question.group.count,
        enough_ms: question.enough_ms,
        observed: heartbeat_wire::encode_slowness(question.observed.clone()),
        stream_version: question.stream_version.as_ref().map(EngineVersion::to_string).unwrap_or_default(),
        tenant: question.claim.tenant.as_ref().map(TenantName::to_string).unwrap_or_default(),
        rank: u32::from(question.claim.rank),
        objective_ms: question.claim.objective.as_millis() as u64,
        fingerprint: question.claim.fingerprint.to_vec(),
    }
}

impl PeerExchange {
    /// Places a request for a peer. Placement requests carry no membership information and are frequent, so
    /// they are not passed to membership.
    pub(super) fn answer_placement(&self, envelope: &Envelope, request: PlacementRequest) {
        let question = decode(request, envelope);
        let choice = self.gateway.forwarder.place(&question);
        self.reply(envelope, Body::PlacementReply(encode_reply(choice)));
    }
}

fn decode(request: PlacementRequest, envelope: &Envelope) -> PlacementQuery {
    let parts = request.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens }).collect();
    PlacementQuery {
        sender: NodeId::new(&envelope.sender),
        service: ServiceName::new(&request.service),
        zone: ZoneName::new(&envelope.zone),
        prompt: Prompt { prompt_tokens: request.prompt_tokens, output_tokens: request.output_tokens, parts },
        tried: request.tried.iter().map(BackendId::new).collect(),
        stream_version: (!request.stream_version.is_empty())
            .then(|| EngineVersion::new(&request.stream_version)),
        unreachable: request.unreachable.iter().map(BackendId::new).collect(),
        pause_objective_ms: request.pause_objective_ms,
        remaining: Duration::from_millis(request.remaining_ms),
        group: EngineGroup { number: request.group, count: request.groups.max(1) },
        enough_ms: request.enough_ms,
        observed: heartbeat_wire::decode_slowness(&request.observed),
        claim: CapacityClaim {
            tenant: (!request.tenant.is_empty()).then(|| TenantName::new(&request.tenant)),
            rank: u8::try_from(request.rank).unwrap_or(u8::MAX),
            objective: Duration::from_millis(request.objective_ms),
            fingerprint: request.fingerprint.try_into().unwrap_or_default(),
        },
    }
}

fn encode_reply(choice: Option<Choice>) -> PlacementReply {
    let Some(choice) = choice else { return PlacementReply::default() };
    PlacementReply {
        backend: choice.backend.to_string(),
        cost_ms: choice.cost_ms,
        unread_tokens: choice.prefill.tokens,
        unread_pairs: choice.prefill.pairs,
        tokens_ahead: choice.tokens_ahead,
        expected_ms: choice.expected_ms,
        slowness: choice.slowness,
        open_requests: choice.open_requests,
        failure_share: choice.failure_share,
        candidates: u32::try_from(choice.candidates).unwrap_or(u32::MAX),
        ..PlacementReply::default()
    }
}

/// A reason that this build does not know is read as a lack of capacity.
fn decode_rejection(reply: &PlacementReply) -> Rejection {
    Rejection {
        reason: RejectionReason::parse(&reply.rejected).unwrap_or(RejectionReason::NoCapacity),
        retry_after: Duration::from_millis(reply.retry_after_ms),
    }
}

fn decode_reply(reply: &PlacementReply, chosen_by: NodeId) -> Choice {
    Choice {
        backend: BackendId::new(&reply.backend),
        cost_ms: reply.cost_ms,
        prefill: PrefillWork { tokens: reply.unread_tokens, pairs: reply.unread_pairs },
        tokens_ahead: reply.tokens_ahead,
        expected_ms: reply.expected_ms,
        // Earlier builds do not send the slowness.
        slowness: if reply.slowness > 0.0 { reply.slowness } else { 1.0 },
        open_requests: reply.open_requests,
        failure_share: reply.failure_share,
        candidates: reply.candidates as usize,
        chosen_by,
    }
}
