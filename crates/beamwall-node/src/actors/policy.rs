//! Owner of the traffic policy in force: a version only grows.

use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::PolicyActivated;
use beamwall_policy::{ChangeError, PolicyChange, PolicyHistory, PolicyIndex, TrafficPolicy};
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Owner of the policy in force.
#[derive(Actor)]
pub struct PolicyActor {
    view: Arc<ArcSwap<PolicyIndex>>,
    archive: Arc<PolicyHistory>,
    news: Arc<Notify>,
}

impl PolicyActor {
    fn activate(&self, policy: TrafficPolicy, source: String, begun: Instant) {
        let policy = Arc::new(policy);
        self.archive.push(policy.clone());
        self.view.store(Arc::new(PolicyIndex::new(policy.clone())));
        emit(&PolicyActivated {
            version: policy.version.to_string(),
            source,
            routes: policy.routes.len().to_string(),
            tenants: policy.tenants.len().to_string(),
            apply_ms: begun.elapsed().as_millis().to_string(),
        });
        self.news.notify_one();
    }

    /// An owner that publishes to `view`, keeps versions in `archive` and tells `news` of a newer one.
    pub fn new(view: Arc<ArcSwap<PolicyIndex>>, archive: Arc<PolicyHistory>, news: Arc<Notify>) -> Self {
        Self { view, archive, news }
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
        let held = self.view.load().policy().clone();
        if offer.policy.version <= held.version {
            return false;
        }
        let begun = Instant::now();
        self.activate(offer.policy.sharing_with(&held), offer.source, begun);
        true
    }
}

/// A peer told what changed since the version held.
pub struct ApplyPolicyChange {
    /// The change.
    pub change: PolicyChange,
    /// The peer, for logs.
    pub source: String,
}

impl Message<ApplyPolicyChange> for PolicyActor {
    type Reply = Result<(), ChangeError>;

    /// Takes the change if it leads to a newer version; one that starts from nothing replaces what is held.
    async fn handle(
        &mut self,
        offer: ApplyPolicyChange,
        _: &mut Context<Self, Self::Reply>,
    ) -> Result<(), ChangeError> {
        let held = self.view.load().policy().clone();
        if offer.change.version <= held.version {
            return Ok(());
        }
        let begun = Instant::now();
        let base = if offer.change.base == 0 { Arc::default() } else { held.clone() };
        let policy = offer.change.apply(&base)?;
        self.activate(policy.sharing_with(&held), offer.source, begun);
        Ok(())
    }
}
