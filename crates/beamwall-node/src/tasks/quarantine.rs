//! Requests under which back ends end, at the nodes' own interface: what one node sees, all hear, and the store keeps.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_fleet::FleetView;
use beamwall_gateway::lost_responses::{LossKind, ResponseLoss};
use beamwall_gateway::quarantine::{BackendLookup, ListedBackend, Quarantine};
use beamwall_model::{BackendId, EngineVersion, to_ms};
use beamwall_peer::quarantine_message::QuarantineUpdate;
use beamwall_peer::{Body, Envelope, MemberState};
use beamwall_quarantine::{Admission, Evidence, Fingerprint, HeldRequest, Survival};
use beamwall_request::RequestGuard;

use crate::gateway::quarantine_wire;
use crate::gateway::stored_quarantine::StoredQuarantine;
use crate::shared::Shared;

/// Time between two looks at what is old, and at what the store does not know yet.
const UPKEEP_PERIOD: Duration = Duration::from_secs(1);

/// What one node does about requests under which back ends end.
#[derive(Clone)]
pub struct NodeQuarantine {
    /// What is known, and what is done about it.
    pub quarantine: Arc<Quarantine>,
    /// What the store keeps of it.
    pub kept: Arc<StoredQuarantine>,
}

/// The back ends as the fleet is seen now.
pub struct ListedInView(pub Arc<ArcSwap<FleetView>>);

impl BackendLookup for ListedInView {
    fn find(&self, backend: &BackendId) -> Option<ListedBackend> {
        let view = self.0.load();
        let listed = view.backend(backend)?;
        Some(ListedBackend {
            id: backend.clone(),
            address: listed.backend.address,
            version: None,
            is_leaving: listed.leaving,
        })
    }

    fn versions(&self) -> Vec<EngineVersion> {
        Vec::new()
    }
}

#[async_trait]
impl RequestGuard for NodeQuarantine {
    async fn admit(&self, request: &Fingerprint) -> Result<Admission, HeldRequest> {
        self.quarantine.admit(request).await
    }

    fn is_held(&self, request: &Fingerprint) -> bool {
        self.quarantine.is_held(request)
    }

    async fn note_lost(&self, request: &Fingerprint, backend: &BackendId, exposure: Duration) {
        let loss = ResponseLoss { kind: LossKind::Closed, exposure };
        self.quarantine.note_lost_and_wait(*request, backend, loss).await;
    }

    fn note_writing(&self, request: &Fingerprint, written_for: Duration) {
        let survival = Survival::Writing(to_ms(written_for));
        self.quarantine.note_survival(request, std::iter::empty(), None, survival);
    }

    fn note_refused(&self, backend: &BackendId) {
        self.quarantine.note_terminated(backend);
    }

    fn note_completed(&self, request: &Fingerprint) {
        self.quarantine.note_completed(request, None);
    }
}

/// Tells the other nodes what this one saw, each time that it saw something, until the node stops.
pub async fn tell(shared: Arc<Shared>) {
    let quarantine = &shared.quarantine.quarantine;
    loop {
        let untold = quarantine.next_unpublished().await;
        send(&shared, &untold, |_| true);
    }
}

/// Takes what a peer tells. A relay passes on what is new to it: to its zone what comes from others, to the other zones what comes
/// from its own.
pub fn hear(shared: &Shared, envelope: &Envelope, news: &QuarantineUpdate) {
    let new = shared.quarantine.quarantine.merge_evidence(quarantine_wire::decode(news));
    if new.is_empty() || !shared.members.load().is_relay {
        return;
    }
    let is_own = |zone: &str| zone == shared.settings.zone.as_str();
    let is_from_own_zone = is_own(&envelope.zone);
    send(shared, &new, |zone| is_own(zone) != is_from_own_zone);
}

/// Sends evidence to the members of this zone, and to relays of other zones where this node is a relay, as far as their zone
/// `gets` it.
fn send(shared: &Shared, evidence: &Evidence, gets: impl Fn(&str) -> bool) {
    let news = shared.envelope(Body::QuarantineNews(quarantine_wire::encode(evidence)));
    let view = shared.members.load();
    let is_told = |zone: &str, address| {
        gets(zone) && (zone == shared.settings.zone.as_str() || view.relays_elsewhere.contains(address))
    };
    let alive = view.members.iter().filter(|member| member.state == MemberState::Alive);
    for member in alive.filter(|member| is_told(member.zone.as_str(), &member.address)) {
        shared.network.send(member.address, &news);
    }
}

/// Reads at the start what the store keeps; then forgets what is old, and has one node keep what is new, until the node stops.
pub async fn upkeep(shared: Arc<Shared>) {
    shared.quarantine.kept.restore().await;
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        shared.quarantine.quarantine.remove_expired();
        if shared.is_chosen(b"held-requests", 1) {
            shared.quarantine.kept.write_if_due().await;
        }
    }
}
