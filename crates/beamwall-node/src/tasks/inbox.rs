//! Handles messages from peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beamwall_fleet::{BackendReport, LeavingSource};
use beamwall_model::{BackendId, NodeId, TenantName};
use beamwall_peer::message::{self, HandoverAnswer, Heartbeat, ProbeRequest, RequestQueryAnswer};
use beamwall_peer::{Body, Envelope};
use beamwall_routing::tenant_limit::Demand;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::actors::fleet::{AllReports, ApplyReports, MarkLeaving};
use crate::actors::membership::{Hear, Introduction};
use crate::shared::{Shared, lock};
use crate::tasks::{claims, drain, quarantine, report_message, tree_spread};

/// Nodes that tell a newcomer the reports of all back ends.
const INTRODUCERS: usize = 3;

/// Runs until the peer network closes.
pub async fn run(shared: Arc<Shared>, mut inbox: mpsc::Receiver<Envelope>) {
    while let Some(envelope) = inbox.recv().await {
        handle(&shared, envelope).await;
    }
}

async fn handle(shared: &Arc<Shared>, mut envelope: Envelope) {
    let body = envelope.body.take();
    let members = match &body {
        Some(Body::Heartbeat(heartbeat)) => heartbeat.members.clone(),
        _ => Vec::new(),
    };
    let hear = Hear { envelope: envelope.clone(), members, knows: None };
    if let Ok(Introduction(members)) = shared.membership_actor.ask(hear).await
        && !members.is_empty()
    {
        tokio::spawn(introduce(shared.clone(), envelope.clone(), members));
    }
    compare_revisions(shared, &envelope);
    match body {
        Some(Body::Heartbeat(heartbeat)) => {
            if heartbeat.wants_answer {
                answer(shared, &envelope, Body::Heartbeat(Heartbeat::default()));
            }
            take_heartbeat(shared, &envelope, heartbeat).await;
        }
        Some(Body::ProbeRequest(probe)) => probe_for(shared, &probe),
        Some(Body::TreeRequest(request)) => {
            let body = tree_spread::answer_for(&shared.tree.load(), request.have_revision);
            answer(shared, &envelope, body);
        }
        Some(Body::TreeChange(change)) => tree_spread::take_change(shared, change).await,
        Some(Body::Handover(handover)) => {
            let taken = drain::take_handover(shared, handover);
            answer(shared, &envelope, Body::HandoverAnswer(HandoverAnswer { taken }));
        }
        Some(Body::RequestQuery(query)) => {
            let id = beamwall_model::RequestId::new(&query.request);
            let found = shared.registry.find(&id, &TenantName::new(&query.tenant)).is_some();
            let callers = shared.settings.callers.to_string();
            answer(shared, &envelope, Body::RequestFound(RequestQueryAnswer { found, callers }));
        }
        Some(Body::ClaimRequest(request)) => {
            tokio::spawn(claims::decide(shared.clone(), envelope, request));
        }
        Some(Body::QuarantineNews(news)) => quarantine::hear(shared, &envelope, &news),
        Some(
            Body::TreeWhole(_)
            | Body::TreeChanges(_)
            | Body::HandoverAnswer(_)
            | Body::RequestFound(_)
            | Body::ClaimAnswer(_)
            | Body::GatewayBeat(_)
            | Body::QuarantineRequest(_)
            | Body::PolicyRequest(_)
            | Body::PolicyAnswer(_)
            | Body::DirectoryRequest(_)
            | Body::DirectoryAnswer(_)
            | Body::VersionNews(_)
            | Body::UsageRequest(_)
            | Body::UsageKnown(_)
            | Body::ZoneSummary(_)
            | Body::PlacementRequest(_)
            | Body::PlacementReply(_)
            | Body::PermitRequest(_)
            | Body::PermitReply(_)
            | Body::DelegationRequest(_)
            | Body::DelegationOffer(_)
            | Body::StreamOriginUpdate(_)
            | Body::StreamOriginRequest(_)
            | Body::StreamOriginReply(_)
            | Body::StoredVersions(_),
        )
        | None => {}
    }
}

/// Tells a sender what it lacks: members, and from a few nodes only, the reports of back ends.
async fn introduce(shared: Arc<Shared>, newcomer: Envelope, members: Vec<message::MemberUpdate>) {
    let mut backends = Vec::new();
    if shared.is_chosen(newcomer.sender.as_bytes(), INTRODUCERS) {
        let reports = shared.fleet_actor.ask(AllReports).await.unwrap_or_default();
        backends = reports.iter().map(report_message::encode).collect();
    }
    answer(&shared, &newcomer, Body::Heartbeat(Heartbeat { members, backends, ..Heartbeat::default() }));
}

/// Answers a peer's question.
pub fn answer(shared: &Shared, question: &Envelope, body: Body) {
    let Ok(address) = question.address.parse() else { return };
    let mut envelope = shared.envelope(body);
    envelope.answers = question.question;
    shared.network.send(address, &envelope);
}

/// A peer with a newer revision is asked for it; one with the same revision must have resolved it
/// to the same values.
fn compare_revisions(shared: &Arc<Shared>, envelope: &Envelope) {
    shared.note_revision(envelope.revision);
    let active = shared.tree.load();
    if envelope.revision == active.revision
        && envelope.revision > 0
        && envelope.digest != active.resolved.digest
    {
        let detail = format!("{} resolved revision {} otherwise", envelope.sender, envelope.revision);
        shared.dispatcher.metrics.break_invariant("same-revision-same-settings", detail);
    }
    if let Some(peer) = tree_spread::newer_at(shared, envelope) {
        tree_spread::fetch_later(shared, peer);
    }
}

fn probe_for(shared: &Shared, probe: &ProbeRequest) {
    if let Ok(address) = probe.address.parse() {
        let heartbeat = Heartbeat { wants_answer: true, ..Heartbeat::default() };
        shared.network.send(address, &shared.envelope(Body::Heartbeat(heartbeat)));
    }
}

async fn take_heartbeat(shared: &Arc<Shared>, envelope: &Envelope, heartbeat: Heartbeat) {
    if heartbeat.machines_digest != 0 && envelope.zone == shared.settings.zone.as_str() {
        shared.peer_machines_digest.store(heartbeat.machines_digest, Ordering::Relaxed);
    }
    let now = Instant::now();
    let mark = |mark: &message::LeavingBackend| {
        let deadline = mark.remaining_ms.map(|left| now + Duration::from_millis(left));
        (BackendId::new(&mark.backend), LeavingSource::parse(&mark.source), deadline)
    };
    let marks: Vec<_> = heartbeat.leaving.iter().map(mark).collect();
    if !marks.is_empty() {
        tokio::spawn(take_marks(shared.clone(), marks));
    }
    let reports: Vec<BackendReport> =
        heartbeat.backends.iter().map(|report| report_message::decode(report, now)).collect();
    if !reports.is_empty() {
        let tell = shared.members.load().tell_learned();
        // A busy fleet loses reports, which come again; it must not hold up settings and membership.
        let _ = shared.fleet_actor.tell(ApplyReports { reports, tell }).try_send();
    }
    take_demands(shared, envelope, &heartbeat);
}

async fn take_marks(shared: Arc<Shared>, marks: Vec<(BackendId, LeavingSource, Option<Instant>)>) {
    if shared.fleet_actor.ask(MarkLeaving(marks)).await.unwrap_or(false) {
        shared.urgent.notify_one();
    }
}

fn take_demands(shared: &Shared, envelope: &Envelope, heartbeat: &Heartbeat) {
    let demand = |demand: &message::TenantDemand| {
        let rates = Demand { tokens: demand.tokens_per_second as f64, calls: demand.calls_per_second as f64 };
        (TenantName::new(&demand.tenant), rates)
    };
    let demands: HashMap<TenantName, Demand> = heartbeat.demands.iter().map(demand).collect();
    lock(&shared.peer_demands).insert(NodeId::new(&envelope.sender), demands);
}
