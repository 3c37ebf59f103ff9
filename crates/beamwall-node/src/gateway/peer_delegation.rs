//! Finds peers that take the requests of a node that is partitioned from the engines.
//!
//! Peers are asked only while they are needed: a few of the own zone, and as many of other zones, since a whole
//! zone may be partitioned. A peer that can't reach the engines either declines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_config::GatewaySettings;
use beamwall_gateway::delegation::{DelegationPeer, DelegationPort};
use beamwall_model::{NodeId, ServiceName, ZoneName};
use beamwall_peer::gateway_message::{DelegationOffer, DelegationRequest};
use beamwall_peer::{Body, Envelope, Member, PeerNetwork};
use rand::seq::IteratorRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::peer_envelope;
use crate::shared::MembershipView;

/// Peers asked in the own zone, and again in all other zones together.
const ASKED_PEERS: usize = 4;
/// Timeout for a peer's offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which offers are used before peers are asked again.
const OFFERS_VALID: Duration = Duration::from_secs(1);
/// Shorter time if no peer made an offer.
const NO_OFFERS_VALID: Duration = Duration::from_millis(300);

/// A peer's offer to take delegated requests.
#[derive(Debug, Clone)]
struct Offer {
    peer: DelegationPeer,
    open_requests: u32,
}

#[derive(Debug, Clone)]
struct Offers {
    offers: Vec<Offer>,
    asked: Instant,
}

impl Offers {
    fn are_valid(&self, now: Instant) -> bool {
        let valid = if self.offers.is_empty() { NO_OFFERS_VALID } else { OFFERS_VALID };
        now.saturating_duration_since(self.asked) < valid
    }
}

/// Finds peers for delegated requests.
pub struct PeerDelegation {
    envelope: Envelope,
    zone: ZoneName,
    callers: SocketAddr,
    token: u64,
    network: Arc<PeerNetwork>,
    members: Arc<ArcSwap<MembershipView>>,
    offers: Mutex<HashMap<ServiceName, Offers>>,
    /// Held while peers are asked, so that waiting requests use the same offers.
    asking: tokio::sync::Mutex<()>,
}

impl PeerDelegation {
    /// Selects peers among `members` and asks them over `network`.
    pub fn new(
        settings: &GatewaySettings,
        network: Arc<PeerNetwork>,
        members: Arc<ArcSwap<MembershipView>>,
    ) -> Self {
        Self {
            envelope: peer_envelope(settings),
            zone: settings.zone.clone(),
            callers: settings.callers,
            token: rand::random(),
            network,
            members,
            offers: Mutex::default(),
            asking: tokio::sync::Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Offers>> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer to a peer that asks for help with a service.
    pub fn offer(&self, is_able: bool, open_requests: u32) -> DelegationOffer {
        DelegationOffer {
            is_able,
            callers: self.callers.to_string(),
            token: self.token,
            open_requests,
            heeds_earned: true,
        }
    }

    fn valid_offers(&self, service: &ServiceName) -> Option<Vec<Offer>> {
        let offers = self.lock();
        let known = offers.get(service).filter(|offers| offers.are_valid(Instant::now()))?;
        Some(known.offers.clone())
    }

    async fn offers(&self, service: &ServiceName) -> Vec<Offer> {
        if let Some(offers) = self.valid_offers(service) {
            return offers;
        }
        let _asking = self.asking.lock().await;
        if let Some(offers) = self.valid_offers(service) {
            return offers;
        }
        let offers = self.ask_peers(service).await;
        self.lock().insert(service.clone(), Offers { offers: offers.clone(), asked: Instant::now() });
        offers
    }

    async fn ask_peers(&self, service: &ServiceName) -> Vec<Offer> {
        let mut asked = JoinSet::new();
        for peer in self.peers_to_ask() {
            let request = DelegationRequest { service: service.to_string() };
            let envelope = Envelope { body: Some(Body::DelegationRequest(request)), ..self.envelope.clone() };
            let network = self.network.clone();
            asked.spawn(async move { ask(&network, peer, envelope).await });
        }
        asked.join_all().await.into_iter().flatten().collect()
    }

    fn peers_to_ask(&self) -> Vec<Member> {
        let view = self.members.load();
        let usable = || view.members.iter().filter(|member| member.is_usable());
        let same_zone = usable().filter(|member| member.zone == self.zone);
        let elsewhere = usable().filter(|member| member.zone != self.zone);
        let mut random = rand::rng();
        let mut peers: Vec<Member> =
            same_zone.sample(&mut random, ASKED_PEERS).into_iter().cloned().collect();
        peers.extend(elsewhere.sample(&mut random, ASKED_PEERS).into_iter().cloned());
        peers
    }
}

async fn ask(network: &PeerNetwork, peer: Member, envelope: Envelope) -> Option<Offer> {
    let answer = network.ask(peer.address, envelope, OFFER_TIMEOUT).await.ok()?;
    let Some(Body::DelegationOffer(offer)) = answer.body else { return None };
    let address = offer.callers.parse().ok().filter(|_| offer.is_able)?;
    let peer =
        DelegationPeer { node: peer.node, address, token: offer.token, heeds_earned: offer.heeds_earned };
    Some(Offer { peer, open_requests: offer.open_requests })
}

impl PeerExchange {
    /// Answers a peer that can't reach the engines of a service.
    pub(super) fn answer_delegation(&self, envelope: &Envelope, request: &DelegationRequest) {
        let service = ServiceName::new(&request.service);
        let is_able =
            self.readiness.is_ready() && !self.gateway.forwarder.reachability.is_unreachable(&service);
        let offer = self.delegation.offer(is_able, self.open_requests());
        self.reply(envelope, Body::DelegationOffer(offer));
    }
}

#[async_trait]
impl DelegationPort for PeerDelegation {
    async fn find_peer(&self, service: &ServiceName, avoided: &[NodeId]) -> Option<DelegationPeer> {
        let offers = self.offers(service).await;
        let allowed = offers.iter().filter(|offer| !avoided.contains(&offer.peer.node));
        // The less busy of two random peers: all of them would otherwise send to the same one.
        let two = allowed.sample(&mut rand::rng(), 2);
        let chosen = two.into_iter().min_by_key(|offer| offer.open_requests)?;
        Some(chosen.peer.clone())
    }

    fn note_unreachable(&self, peer: &NodeId) {
        for offers in self.lock().values_mut() {
            offers.offers.retain(|offer| &offer.peer.node != peer);
        }
    }

    fn is_own_token(&self, token: u64) -> bool {
        token == self.token
    }
}
