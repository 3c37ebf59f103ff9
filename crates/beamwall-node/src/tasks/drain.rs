//! Leaving service: finish what can be finished, hand the rest to a peer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{DrainFinished, DrainStarted, RequestHandedOver};
use beamwall_model::{RequestId, ServiceClass, ServiceName, TenantName};
use beamwall_peer::message::Handover;
use beamwall_peer::{Body, Member};
use beamwall_request::{End, ModelRequest, RequestState};
use tokio::time::Instant;

use crate::shared::Shared;

/// Time kept at the end of a drain for handing requests over.
const HANDOVER_TIME: Duration = Duration::from_secs(3);
/// Longest wait for a peer to take one request.
const HANDOVER_LIMIT: Duration = Duration::from_millis(800);
/// Time for the balancer to see that the node is not ready.
const BALANCER_TIME: Duration = Duration::from_millis(500);
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Drains the node: not ready, then no new connections; open requests finish, and what cannot
/// finish before the limit is handed over.
pub async fn run(shared: Arc<Shared>) {
    if shared.draining.swap(true, Ordering::Relaxed) {
        return;
    }
    let limit = shared.settings.drain_limit;
    let deadline = Instant::now() + limit;
    emit(&DrainStarted {
        node: shared.settings.node.to_string(),
        open_requests: shared.registry.open().len().to_string(),
        limit_ms: limit.as_millis().to_string(),
    });
    shared.urgent.notify_one();
    tokio::time::sleep(BALANCER_TIME.min(limit / 4)).await;
    shared.stopping.send_replace(true);
    let hand_over_at = deadline - HANDOVER_TIME.min(limit / 2);
    while !shared.registry.open().is_empty() && Instant::now() < hand_over_at {
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    let (handed_over, abandoned) = hand_over_all(&shared).await;
    emit(&DrainFinished {
        node: shared.settings.node.to_string(),
        handed_over: handed_over.to_string(),
        abandoned: abandoned.to_string(),
    });
}

async fn hand_over_all(shared: &Arc<Shared>) -> (usize, usize) {
    let mut handed_over = 0;
    let mut abandoned = 0;
    for (request, state) in shared.registry.open() {
        if hand_over(shared, &request, &state).await {
            handed_over += 1;
        } else {
            abandoned += 1;
        }
    }
    (handed_over, abandoned)
}

/// Peers that can take requests: those of other zones first, since this zone may be going.
fn successors(shared: &Shared) -> Vec<Member> {
    let members = shared.members.load();
    let mut usable: Vec<Member> =
        members.members.iter().filter(|member| member.is_usable()).cloned().collect();
    usable.sort_by_key(|member| (member.zone == shared.settings.zone, member.node.clone()));
    usable
}

async fn hand_over(shared: &Arc<Shared>, request: &ModelRequest, state: &Arc<RequestState>) -> bool {
    for peer in successors(shared) {
        // The successor generates from here; what this node still receives is dropped with it.
        let handover = to_handover(request, state);
        let question = shared.envelope(Body::Handover(handover));
        let answer = shared.network.ask(peer.address, question, HANDOVER_LIMIT).await;
        if let Ok(Some(Body::HandoverAnswer(answer))) = answer.map(|envelope| envelope.body)
            && answer.taken
        {
            emit(&RequestHandedOver { request: request.id.to_string(), peer: peer.node.to_string() });
            state.finish(End::interrupted(format!("continues at {}", peer.node)));
            return true;
        }
    }
    false
}

fn to_handover(request: &ModelRequest, state: &RequestState) -> Handover {
    Handover {
        request: request.id.to_string(),
        tenant: request.tenant.name.to_string(),
        service: request.service.name.to_string(),
        prompt: request.prompt.clone(),
        session: request.session.clone().unwrap_or_default(),
        class: request.class.to_string(),
        max_tokens: request.max_tokens,
        generated: state.tokens_from(0),
        chat: request.chat,
        remaining_ms: request.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
    }
}

/// Takes a request from a leaving peer. Asked again for the same request, it takes it once.
pub fn take_handover(shared: &Arc<Shared>, handover: Handover) -> bool {
    if shared.is_draining() {
        return false;
    }
    let id = RequestId::new(&handover.request);
    let tenant = TenantName::new(&handover.tenant);
    if shared.registry.find(&id, &tenant).is_some() {
        return true;
    }
    let tree = shared.tree.load();
    let Some(tenant) = tree.resolved.tenants.get(&tenant).cloned() else { return false };
    let Some(service) = tree.resolved.services.get(&ServiceName::new(&handover.service)).cloned() else {
        return false;
    };
    let now = Instant::now();
    let request = Arc::new(ModelRequest {
        id: id.clone(),
        tenant,
        service,
        prompt: handover.prompt,
        session: Some(handover.session).filter(|session| !session.is_empty()),
        class: handover.class.parse().unwrap_or(ServiceClass::Standard),
        max_tokens: handover.max_tokens,
        chat: handover.chat,
        deadline: now + Duration::from_millis(handover.remaining_ms),
        accepted: now,
    });
    let state = RequestState::new(id, request.tenant.name.clone(), handover.generated);
    state.detach();
    start_request(shared, request, state, true);
    true
}

/// Registers a request and runs it. It can be read for a while after its end when `keep`.
pub fn start_request(shared: &Arc<Shared>, request: Arc<ModelRequest>, state: Arc<RequestState>, keep: bool) {
    shared.registry.insert(request.clone(), state.clone());
    let shared = shared.clone();
    tokio::spawn(async move {
        shared.dispatcher.run(&request, &state).await;
        shared.registry.end(&request.id, keep);
    });
}
