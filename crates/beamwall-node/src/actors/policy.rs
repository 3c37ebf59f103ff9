//! Owner of the traffic policy in force: a version only grows.

use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::PolicyActivated;
use beamwall_policy::{PolicyIndex, TrafficPolicy};
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::sync::Notify;

/// Owner of the policy in force.
#[derive(Actor)]
pub struct PolicyActor {
    view: Arc<ArcSwap<PolicyIndex>>,
    news: Arc<Notify>,
}

impl PolicyActor {
    /// An owner that publishes to `view` and tells `news` of a newer version.
    pub fn new(view: Arc<ArcSwap<PolicyIndex>>, news: Arc<Notify>) -> Self {
        Self { view, news }
    }
}

/// A policy was read or heard of.
pub struct OfferPolicy {
    /// The policy.
    pub policy: TrafficPolicy,
    /// Where it came from, for logs.
    pub source: String,
}

impl Message<OfferPolicy> for PolicyActor {
    type Reply = bool;

    /// Takes the policy if it is newer; answers whether it was.
    async fn handle(&mut self, offer: OfferPolicy, _: &mut Context<Self, Self::Reply>) -> bool {
        if offer.policy.version <= self.view.load().version() {
            return false;
        }
        emit(&PolicyActivated {
            version: offer.policy.version.to_string(),
            source: offer.source,
            routes: offer.policy.routes.len().to_string(),
            tenants: offer.policy.tenants.len().to_string(),
        });
        self.view.store(Arc::new(PolicyIndex::new(offer.policy)));
        self.news.notify_one();
        true
    }
}
