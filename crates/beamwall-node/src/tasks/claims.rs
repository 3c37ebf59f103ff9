//! Sends changes of claims to the owners of their shards, and decides those sent here.

use std::sync::{Arc, Weak};
use std::time::Duration;

use beamwall_model::{AttemptId, NodeId, rendezvous};
use beamwall_peer::claim_message::{CallAnswer, ClaimAnswer, ClaimRequest, ClaimRequestKind, ClaimResult};
use beamwall_peer::{Body, Envelope, Member};
use beamwall_request::claim::ClaimChange;
use beamwall_request::claim_ledger::{Decision, Forwarded};
use beamwall_request::{ClaimDecision, ClaimError, ClaimKey, RecordedAnswer};

use crate::shared::Shared;
use crate::tasks::inbox;

/// Longest wait for an owner; longer than the owner takes to commit.
const OWNER_LIMIT: Duration = Duration::from_millis(1_700);

/// Lets the ledger send changes to the owners of their shards.
pub fn forward_to_owners(shared: &Arc<Shared>) {
    let weak: Weak<Shared> = Arc::downgrade(shared);
    shared.ledger.set_forward(Box::new(move |shard, change| {
        let weak = weak.clone();
        Box::pin(async move {
            match weak.upgrade() {
                Some(shared) => forward(&shared, shard, change).await,
                None => Forwarded::Own,
            }
        })
    }));
}

/// The owner of a shard; `None` when it is this node.
fn owner(shared: &Shared, shard: usize) -> Option<Member> {
    let members = shared.members.load();
    let usable = members.members.iter().filter(|member| member.is_usable());
    let mut nodes: Vec<NodeId> = usable.map(|member| member.node.clone()).collect();
    nodes.push(shared.settings.node.clone());
    let key = format!("claims/{shard}");
    let chosen = rendezvous::choose(key.as_bytes(), &nodes, 1, NodeId::as_str);
    let name = (*chosen.first()?).clone();
    members.members.iter().find(|member| member.node == name).cloned()
}

async fn forward(shared: &Shared, shard: usize, change: ClaimChange) -> Forwarded {
    let Some(owner) = owner(shared, shard) else { return Forwarded::Own };
    let question = shared.envelope(Body::ClaimRequest(to_request(&change)));
    match shared.network.ask(owner.address, question, OWNER_LIMIT).await {
        Ok(Envelope { body: Some(Body::ClaimAnswer(answer)), .. }) => Forwarded::Decided(to_decision(answer)),
        _ => Forwarded::NoAnswer,
    }
}

/// Decides a change that a peer sent here.
pub async fn decide(shared: Arc<Shared>, question: Envelope, request: ClaimRequest) {
    let decision = shared.ledger.change_here(to_change(&request)).await;
    inbox::answer(&shared, &question, Body::ClaimAnswer(to_answer(decision)));
}

fn to_request(change: &ClaimChange) -> ClaimRequest {
    let (kind, attempt, call, answer) = match change {
        ClaimChange::Take { attempt, call, .. } => (ClaimRequestKind::Take, attempt, call.clone(), None),
        ClaimChange::Complete { attempt, answer, .. } => {
            (ClaimRequestKind::Complete, attempt, String::new(), Some(to_call_answer(answer)))
        }
        ClaimChange::Release { attempt, .. } => (ClaimRequestKind::Release, attempt, String::new(), None),
    };
    ClaimRequest {
        kind: kind.into(),
        key: change.key().as_str().to_owned(),
        attempt: attempt.to_string(),
        call,
        answer,
    }
}

fn to_change(request: &ClaimRequest) -> ClaimChange {
    let key = ClaimKey::from_text(&request.key);
    let attempt = AttemptId::new(&request.attempt);
    match request.kind() {
        ClaimRequestKind::Take => ClaimChange::Take { key, attempt, call: request.call.clone() },
        ClaimRequestKind::Complete => {
            let answer = to_recorded(request.answer.clone().unwrap_or_default());
            ClaimChange::Complete { key, attempt, answer }
        }
        ClaimRequestKind::Release => ClaimChange::Release { key, attempt },
    }
}

fn to_call_answer(answer: &RecordedAnswer) -> CallAnswer {
    CallAnswer {
        status: answer.status.into(),
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

fn to_recorded(answer: CallAnswer) -> RecordedAnswer {
    let status = u16::try_from(answer.status).unwrap_or_default();
    RecordedAnswer { status, content_type: answer.content_type, body: answer.body }
}

fn to_answer(decision: Decision) -> ClaimAnswer {
    let (result, reason, answer) = match decision {
        Ok(ClaimDecision::Granted) => (ClaimResult::Granted, String::new(), None),
        Ok(ClaimDecision::Replay(answer)) => {
            (ClaimResult::Replay, String::new(), Some(to_call_answer(&answer)))
        }
        Ok(ClaimDecision::Taken) => (ClaimResult::Taken, String::new(), None),
        Ok(ClaimDecision::OtherCall) => (ClaimResult::OtherCall, String::new(), None),
        Ok(ClaimDecision::Full) => (ClaimResult::Full, String::new(), None),
        Err(ClaimError::NotWritten(reason)) => (ClaimResult::NotWritten, reason, None),
        Err(ClaimError::Undecided(reason)) => (ClaimResult::Undecided, reason, None),
    };
    ClaimAnswer { result: result.into(), reason, answer }
}

/// A result that this version does not know counts as undecided: the call is not sent.
fn to_decision(answer: ClaimAnswer) -> Decision {
    match ClaimResult::try_from(answer.result) {
        Ok(ClaimResult::Granted) => Ok(ClaimDecision::Granted),
        Ok(ClaimResult::Replay) => Ok(ClaimDecision::Replay(to_recorded(answer.answer.unwrap_or_default()))),
        Ok(ClaimResult::Taken) => Ok(ClaimDecision::Taken),
        Ok(ClaimResult::OtherCall) => Ok(ClaimDecision::OtherCall),
        Ok(ClaimResult::Full) => Ok(ClaimDecision::Full),
        Ok(ClaimResult::NotWritten) => Err(ClaimError::NotWritten(answer.reason)),
        Ok(ClaimResult::Undecided) => Err(ClaimError::Undecided(answer.reason)),
        Err(_) => Err(ClaimError::Undecided("the owner answered in an unknown way".to_owned())),
    }
}
