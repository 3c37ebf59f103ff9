//! Placement requests and replies, as peers send them.

use std::time::Duration;

use beamwall_admission::{CapacityClaim, Rejection, RejectionReason};
use beamwall_engine_model::PrefillWork;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::{Choice, PlacementOutcome, PlacementQuery, Prompt, PromptPart};
use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName, TenantName, ZoneName};
use beamwall_peer::Envelope;
use beamwall_peer::placement_message::{PlacementPart, PlacementReply, PlacementRequest};

use crate::gateway::heartbeat_wire;
use crate::gateway::quarantine_wire::fingerprint;

/// Encodes a query.
pub fn encode_request(question: &PlacementQuery) -> PlacementRequest {
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
        fingerprint: question.claim.fingerprint.as_bytes().to_vec(),
    }
}

/// Decodes the query of the sender of `envelope`.
pub fn decode_request(request: PlacementRequest, envelope: &Envelope) -> PlacementQuery {
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
            fingerprint: fingerprint(&request.fingerprint).unwrap_or_default(),
        },
    }
}

/// Encodes the outcome of a query.
pub fn encode_reply(outcome: PlacementOutcome) -> PlacementReply {
    match outcome {
        PlacementOutcome::Chosen(choice) => encode_choice(choice),
        PlacementOutcome::Rejected(rejection) => encode_rejection(rejection),
        PlacementOutcome::PlaceLocally | PlacementOutcome::Unanswered => PlacementReply::default(),
    }
}

/// Earlier builds read a reply without an engine as one of a node that found none, and choose by themselves.
fn encode_rejection(rejection: Rejection) -> PlacementReply {
    PlacementReply {
        rejected: rejection.reason.as_str().to_owned(),
        retry_after_ms: rejection.retry_after.as_millis() as u64,
        expected_ms: Some(rejection.expected.as_secs_f64() * 1_000.0),
        ..PlacementReply::default()
    }
}

fn encode_choice(choice: Choice) -> PlacementReply {
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
        expected: Duration::try_from_secs_f64(reply.expected_ms.unwrap_or(0.0) / 1_000.0).unwrap_or_default(),
        retry_after: Duration::from_millis(reply.retry_after_ms),
    }
}

/// Decodes the reply of the placement node `sender`; unanswered if it found no engine.
pub fn decode_reply(reply: &PlacementReply, sender: NodeId) -> PlacementOutcome {
    if !reply.backend.is_empty() {
        return PlacementOutcome::Chosen(decode_choice(reply, sender));
    }
    if !reply.rejected.is_empty() {
        return PlacementOutcome::Rejected(decode_rejection(reply));
    }
    PlacementOutcome::Unanswered
}

fn decode_choice(reply: &PlacementReply, chosen_by: NodeId) -> Choice {
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
