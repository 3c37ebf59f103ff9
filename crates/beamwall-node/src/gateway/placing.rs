//! Asks the node that places model requests for all, and answers as that node.
//!
//! It is found by rendezvous hash among the ready nodes that are heard, so no election is needed: nodes that
//! see different members ask different ones for a while, and each of those places what it is asked for. In
//! a cut, each side has its own.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_config::GatewaySettings;
use beamwall_engine_model::Reading;
use beamwall_events::emit;
use beamwall_events::internal_events::PlacementUnanswered;
use beamwall_gateway::{Choice, PlacementAnswer, PlacementPort, PlacementQuestion, Prompt, PromptPart};
use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName, rendezvous};
use beamwall_peer::gateway_message::{PlacementPart, PlacementReply, PlacementRequest};
use beamwall_peer::{Body, Envelope, Member, PeerNetwork, link_weight};
use tokio::time::Instant;

use crate::shared::MembershipView;

/// The duty by whose hash the node is found.
const PLACEMENT: &[u8] = b"placement";
/// Longest wait for a placement: a small part of the tightest objective.
const ANSWER_LIMIT: Duration = Duration::from_millis(30);
/// Time after a missing answer in which the same node is not asked again.
const PAUSE: Duration = Duration::from_secs(1);

/// Asks the node that places model requests.
pub struct PeerPlacement {
    envelope: Envelope,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The members by which `placer` was found.
    view: Option<Arc<MembershipView>>,
    /// The node that places requests; `None`: this one.
    placer: Option<Member>,
    /// A node that did not answer, and when it may be asked again.
    paused: Option<(NodeId, Instant)>,
}

impl PeerPlacement {
    /// Asks among `members` over `network`.
    pub fn new(
        settings: &GatewaySettings,
        network: Arc<PeerNetwork>,
        members: Arc<ArcSwap<MembershipView>>,
    ) -> Self {
        let envelope = Envelope {
            sender: settings.node.to_string(),
            zone: settings.zone.to_string(),
            address: settings.peers.to_string(),
            link_mbps: settings.link_mbps,
            ..Envelope::default()
        };
        Self { envelope, network, members, state: Mutex::default() }
    }

    /// The node that places requests, as the newest members tell; `None`: this one.
    fn placer(&self) -> Option<Member> {
        let view = self.members.load_full();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_current = state.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, &view));
        if !is_current {
            state.placer = find_placer(&self.envelope, &view);
            state.view = Some(view);
        }
        state.placer.clone()
    }

    fn is_paused(&self, node: &NodeId) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.paused.as_ref().is_some_and(|(paused, until)| paused == node && Instant::now() < *until)
    }

    fn pause(&self, node: NodeId) {
        let was_paused = self.is_paused(&node);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !was_paused {
            emit(&PlacementUnanswered { peer: node.to_string(), pause_ms: PAUSE.as_millis().to_string() });
        }
        state.paused = Some((node, Instant::now() + PAUSE));
    }
}

/// The ready member that is chosen, or `None` when this node is. A node with a fast network link is chosen more
/// often: all questions and answers pass over it.
fn find_placer(own: &Envelope, view: &MembershipView) -> Option<Member> {
    let usable = || view.members.iter().filter(|member| member.is_usable());
    let mut candidates: Vec<(&str, f64)> =
        usable().map(|member| (member.node.as_str(), link_weight(member.link_mbps))).collect();
    candidates.push((&own.sender, link_weight(own.link_mbps)));
    let chosen = rendezvous::choose_weighted(PLACEMENT, &candidates, 1).into_iter().next()?;
    usable().find(|member| member.node.as_str() == chosen).cloned()
}

#[async_trait]
impl PlacementPort for PeerPlacement {
    async fn place(&self, question: &PlacementQuestion) -> PlacementAnswer {
        let Some(placer) = self.placer() else { return PlacementAnswer::PlaceHere };
        if self.is_paused(&placer.node) {
            return PlacementAnswer::Unanswered;
        }
        let body = Body::PlacementRequest(encode(question));
        let envelope = Envelope { body: Some(body), ..self.envelope.clone() };
        match self.network.ask(placer.address, envelope, ANSWER_LIMIT).await.map(|answer| answer.body) {
            Ok(Some(Body::PlacementReply(reply))) if !reply.backend.is_empty() => {
                PlacementAnswer::Chosen(decode_reply(&reply, placer.node))
            }
            Ok(_) => PlacementAnswer::Unanswered,
            Err(_) => {
                self.pause(placer.node);
                PlacementAnswer::Unanswered
            }
        }
    }
}

fn encode(question: &PlacementQuestion) -> PlacementRequest {
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
    }
}

/// The question of a peer.
pub(super) fn decode(request: PlacementRequest, envelope: &Envelope) -> PlacementQuestion {
    let parts = request.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens }).collect();
    PlacementQuestion {
        sender: NodeId::new(&envelope.sender),
        service: ServiceName::new(&request.service),
        zone: ZoneName::new(&envelope.zone),
        prompt: Prompt { prompt_tokens: request.prompt_tokens, output_tokens: request.output_tokens, parts },
        tried: request.tried.iter().map(BackendId::new).collect(),
        unreachable: request.unreachable.iter().map(BackendId::new).collect(),
        pause_objective_ms: request.pause_objective_ms,
        remaining: Duration::from_millis(request.remaining_ms),
    }
}

/// The answer to a peer.
pub(super) fn encode_reply(choice: Option<Choice>) -> PlacementReply {
    let Some(choice) = choice else { return PlacementReply::default() };
    PlacementReply {
        backend: choice.backend.to_string(),
        cost_ms: choice.cost_ms,
        unread_tokens: choice.reading.tokens,
        unread_pairs: choice.reading.pairs,
        tokens_ahead: choice.tokens_ahead,
        expected_ms: choice.expected_ms,
        open_requests: choice.open_requests,
        failure_share: choice.failure_share,
        candidates: u32::try_from(choice.candidates).unwrap_or(u32::MAX),
    }
}

fn decode_reply(reply: &PlacementReply, chosen_by: NodeId) -> Choice {
    Choice {
        backend: BackendId::new(&reply.backend),
        cost_ms: reply.cost_ms,
        reading: Reading { tokens: reply.unread_tokens, pairs: reply.unread_pairs },
        tokens_ahead: reply.tokens_ahead,
        expected_ms: reply.expected_ms,
        open_requests: reply.open_requests,
        failure_share: reply.failure_share,
        candidates: reply.candidates as usize,
        chosen_by,
    }
}
