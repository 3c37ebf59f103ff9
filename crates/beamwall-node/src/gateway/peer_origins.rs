//! Distribution of the origins of streams: each is sent to the few nodes that hold it, as the first event
//! leaves this node, and asked for when a caller takes up a stream that this node does not know.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_config::GatewaySettings;
use beamwall_gateway::{OriginPort, PeerAnswer};
use beamwall_model::{EngineVersion, NodeId, ServiceName, ZoneName};
use beamwall_peer::stream_origin_message::{
    StoredVersionsUpdate, StreamOriginReply, StreamOriginRequest, StreamOriginUpdate,
};
use beamwall_peer::{Body, Envelope, Member, MemberState, PeerNetwork};
use beamwall_stream_origin::holders::{Candidate, holders, nodes_to_ask};
use beamwall_stream_origin::{OriginLookup, OriginRecord, ServiceVersions, StreamKey};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::sharing::may_still_serve;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::watches::BACKENDS;
use crate::gateway::{peer_envelope, stream_origin_wire};
use crate::shared::MembershipView;

/// Minimum time between two messages with origins to the same node. A caller that lost its connection is back
/// after some tens of milliseconds.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Time since the store confirmed the list of back ends until the list no longer tells that there is one version only.
/// Nodes that are not cut off hear a confirmation at least each second and a heartbeat period.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// Timeout for the answers of the nodes that are asked for an origin.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Asks the nodes that hold the origins of streams.
pub struct PeerOrigins {
    envelope: Envelope,
    node: NodeId,
    zone: ZoneName,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    store: Arc<StoreStatus>,
    freshness: Arc<StoreFreshness>,
}

impl PeerOrigins {
    /// Selects nodes among `members` and asks them over `network`.
    pub fn new(
        settings: &GatewaySettings,
        network: Arc<PeerNetwork>,
        members: Arc<ArcSwap<MembershipView>>,
        store: Arc<StoreStatus>,
        freshness: Arc<StoreFreshness>,
    ) -> Self {
        let (node, zone) = (settings.node.clone(), settings.zone.clone());
        Self { envelope: peer_envelope(settings), node, zone, network, members, store, freshness }
    }

    /// Whether the store answers neither this node nor any other that may be serving, so that nobody hears of changes.
    fn is_store_lost_everywhere(&self) -> bool {
        let now = Instant::now();
        let view = self.members.load();
        let mut others = view.members.iter().filter(|member| may_still_serve(member, now));
        self.store.is_lost() && others.all(|member| member.state == MemberState::Alive && member.store_lost)
    }
}

#[async_trait]
impl OriginPort for PeerOrigins {
    async fn ask(&self, key: &StreamKey, service: &ServiceName, span: Duration) -> PeerAnswer {
        let view = self.members.load_full();
        let nodes = candidates(&self.node, &self.zone, &view.members);
        let asked = addresses(&nodes_to_ask(key, &self.zone, &nodes), &view.members);
        if asked.is_empty() {
            return PeerAnswer::NoPeers;
        }
        let request = StreamOriginRequest {
            stream: key.as_bytes().to_vec(),
            service: service.to_string(),
            span_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
        };
        let mut replies = JoinSet::new();
        for address in asked {
            let body = Some(Body::StreamOriginRequest(request.clone()));
            let envelope = Envelope { body, ..self.envelope.clone() };
            let network = self.network.clone();
            replies.spawn(async move { ask_one(&network, address, envelope).await });
        }
        first_known(replies).await
    }

    fn is_list_current(&self) -> bool {
        let confirmed = self.freshness.newest(BACKENDS);
        let is_confirmed = confirmed.is_some_and(|confirmation| confirmation.age() <= MAX_LIST_AGE);
        is_confirmed || self.is_store_lost_everywhere()
    }
}

async fn ask_one(
    network: &PeerNetwork,
    address: SocketAddr,
    envelope: Envelope,
) -> Option<(NodeId, StreamOriginReply)> {
    let answer = network.ask(address, envelope, ANSWER_TIMEOUT).await.ok()?;
    let Some(Body::StreamOriginReply(reply)) = answer.body else { return None };
    Some((NodeId::new(&answer.sender), reply))
}

/// Returns the first origin that a peer holds, or what all of them know of the service's versions.
async fn first_known(mut replies: JoinSet<Option<(NodeId, StreamOriginReply)>>) -> PeerAnswer {
    let mut seen: Option<ServiceVersions> = None;
    while let Some(reply) = replies.join_next().await {
        let Ok(Some((peer, reply))) = reply else { continue };
        let (known, versions) = stream_origin_wire::decode_reply(&reply);
        if let Some(known) = known {
            return PeerAnswer::Known { origin: known.origin, peer, age: known.age };
        }
        seen = Some(seen.unwrap_or(ServiceVersions::Unknown).and(versions));
    }
    seen.map_or(PeerAnswer::Unanswered, |versions| PeerAnswer::Unknown { versions })
}

impl PeerExchange {
    /// Sends the origins of this node's streams to the nodes that hold them, until the task is aborted.
    pub async fn send_stream_origins(self: Arc<Self>) {
        loop {
            let records = self.gateway.forwarder.origins.next_unsent().await;
            for (address, update) in self.updates_by_holder(&records) {
                self.network.send(address, &self.envelope(Body::StreamOriginUpdate(update)));
            }
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }

    fn updates_by_holder(&self, records: &[OriginRecord]) -> Vec<(SocketAddr, StreamOriginUpdate)> {
        let view = self.members.load();
        let nodes = candidates(&self.node, &self.zone, &view.members);
        let mut by_holder: HashMap<SocketAddr, Vec<&OriginRecord>> = HashMap::new();
        for record in records {
            for address in addresses(&holders(&record.key, &self.zone, &nodes), &view.members) {
                by_holder.entry(address).or_default().push(record);
            }
        }
        let encoded = |records: Vec<&OriginRecord>| stream_origin_wire::encode(records.into_iter());
        by_holder.into_iter().map(|(address, records)| (address, encoded(records))).collect()
    }

    /// Keeps the origins that a peer sent.
    pub(super) fn merge_stream_origins(&self, update: &StreamOriginUpdate) {
        for record in stream_origin_wire::decode(update) {
            self.gateway.forwarder.origins.registry.merge(record, Instant::now());
        }
    }

    /// Tells the peers that the control store holds these versions, so that streams may begin at them.
    pub(super) fn tell_stored_versions(
        &self,
        era: u64,
        versions: impl Iterator<Item = (ServiceName, EngineVersion)>,
    ) {
        let update = stream_origin_wire::encode_stored(era, versions);
        let message = self.envelope(Body::StoredVersions(update));
        let mut recipients = self.targets(std::iter::empty());
        recipients.extend(self.members.load().relays_elsewhere.iter().copied());
        recipients.remove(&self.address);
        recipients.into_iter().for_each(|address| self.network.send(address, &message));
    }

    /// Records the versions that a peer knows to be stored.
    pub(super) fn note_stored_versions(&self, update: &StoredVersionsUpdate) {
        let origins = &self.gateway.forwarder.origins;
        origins.stored_versions.note(update.era, stream_origin_wire::decode_stored(update));
        origins.check_stored_versions(&self.directory.load());
    }

    /// Answers a peer that asks for a stream's origin.
    pub(super) fn answer_stream_origin(&self, envelope: &Envelope, request: &StreamOriginRequest) {
        let origins = &self.gateway.forwarder.origins;
        let now = Instant::now();
        let key = stream_origin_wire::key(&request.stream);
        let span = Duration::from_millis(request.span_ms);
        let versions = || origins.known_versions(&ServiceName::new(&request.service), span, now);
        let reply = match key.map_or(OriginLookup::Unknown, |key| origins.registry.find(&key, now)) {
            OriginLookup::Known(known) => stream_origin_wire::encode_reply(Some(known), versions()),
            OriginLookup::Ambiguous => stream_origin_wire::encode_reply(None, ServiceVersions::Several),
            OriginLookup::Unknown => stream_origin_wire::encode_reply(None, versions()),
        };
        self.reply(envelope, Body::StreamOriginReply(reply));
    }
}

/// The nodes that may hold origins: this one and the members that may be alive.
fn candidates<'a>(node: &'a NodeId, zone: &'a ZoneName, members: &'a [Member]) -> Vec<Candidate<'a>> {
    let may_live = members.iter().filter(|member| member.state <= MemberState::Suspect);
    let mut nodes: Vec<Candidate<'a>> =
        may_live.map(|member| Candidate { node: member.node.as_str(), zone: &member.zone }).collect();
    nodes.push(Candidate { node: node.as_str(), zone });
    nodes
}

/// Addresses of the named members; this node is none of them.
fn addresses(names: &[&str], members: &[Member]) -> Vec<SocketAddr> {
    let is_named = |member: &&Member| names.contains(&member.node.as_str());
    members.iter().filter(is_named).map(|member| member.address).collect()
}
