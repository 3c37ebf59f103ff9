//! How gateways know of orders to move a service to another version: the nodes that watch the store for their zone read them,
//! and heartbeats tell all others the orders, how far they have come and what was counted.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::RolloutOrdered;
use beamwall_gateway::ControlStoreError;
use beamwall_gateway::ports::{ListedOrder, ListedOrders, RolloutStore};
use beamwall_model::{NodeId, ServiceName, ZoneName};
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_rollout::{OrderUpdate, RolloutRegistry};

use crate::gateway::exchange::Exchange;
use crate::gateway::rollout_wire;
use crate::gateway::watches::Followed;

/// Longest wait of one watch call: orders are rare, and each call has its price.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time between two cheaper readings: orders are rare, and take longer than this.
const REVIEW_PERIOD: Duration = Duration::from_secs(10);

/// Time before a new version takes all requests from which nodes tell at each news what they counted.
const TOLD_AT_ONCE: Duration = Duration::from_millis(500);

/// The orders in the store.
pub struct FollowedOrders {
    /// The store.
    pub store: Arc<dyn RolloutStore>,
    /// What is known of orders; its owner forwards requests by it.
    pub exchange: Arc<Exchange>,
}

impl Followed for FollowedOrders {
    const SUBJECT: &'static str = "rollouts";
    const GATHERING_TIME: Duration = Duration::ZERO;
    const REVIEW_PERIOD: Duration = REVIEW_PERIOD;

    async fn step(&self, reached: Option<u64>) -> Result<u64, ControlStoreError> {
        if let Some(revision) = reached {
            let (now_at, has_changed) = self.store.wait_for_orders(revision, WATCH_WAIT).await?;
            if !has_changed {
                return Ok(now_at);
            }
        }
        let listed = self.store.orders().await?;
        let revision = listed.revision;
        self.take(listed);
        Ok(revision)
    }

    async fn review(&self) -> Result<Option<u64>, ControlStoreError> {
        let listed = self.store.recent_orders().await?;
        let revision = listed.revision;
        Ok(self.take(listed).then_some(revision))
    }

    fn entries(&self) -> usize {
        self.exchange.rollouts().orders(beamwall_clock::now()).len()
    }
}

impl FollowedOrders {
    /// Takes the orders as listed; returns whether anything is new.
    fn take(&self, listed: ListedOrders) -> bool {
        let services: Vec<ServiceName> =
            listed.orders.iter().map(|listed| listed.order.id.service.clone()).collect();
        let book = self.exchange.rollouts();
        let mut has_changed = book.withdraw_unlisted(&services, listed.revision);
        for order in listed.orders {
            has_changed |= take_order(book, order);
        }
        if has_changed {
            self.exchange.news.notify_one();
        }
        has_changed
    }
}

fn take_order(book: &RolloutRegistry, listed: ListedOrder) -> bool {
    let news = OrderUpdate {
        order: listed.order,
        revision: listed.revision,
        age: Duration::ZERO,
        verdict: listed.verdict,
        is_withdrawn: false,
    };
    hear_order(book, news)
}

/// Takes an order; what it says anew is logged.
fn hear_order(book: &RolloutRegistry, news: OrderUpdate) -> bool {
    let event = RolloutOrdered {
        service: news.order.id.service.to_string(),
        target: news.order.id.target.to_string(),
        interval_ms: news.order.interval.as_millis().to_string(),
        verdict: format!("{:?}", news.verdict),
        withdrawn: news.is_withdrawn.to_string(),
    };
    let is_new = book.merge_order(news, beamwall_clock::now());
    if is_new {
        emit(&event);
    }
    is_new
}

impl Exchange {
    /// The orders as this node knows them.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.gateway.forwarder.rollouts
    }

    /// What this node knows of rollouts, with what it counted itself.
    pub(super) fn rollouts_to_tell(&self) -> Option<RolloutUpdate> {
        let (book, now) = (self.rollouts(), beamwall_clock::now());
        rollout_wire::encode(book.orders(now), book.stages(now), book.own_evidence())
    }

    /// The same for other zones, with what all nodes of this one counted.
    pub(super) fn rollouts_of_zone(&self) -> Option<RolloutUpdate> {
        let (book, now) = (self.rollouts(), beamwall_clock::now());
        rollout_wire::encode(book.orders(now), book.stages(now), book.evidence_of_nodes())
    }

    /// Takes what a node tells of rollouts and counted itself.
    pub(super) fn take_rollouts_of_node(&self, node: &NodeId, life: u64, news: &RolloutUpdate) {
        self.take_rollouts(news);
        self.rollouts().merge_node_evidence(node, life, &rollout_wire::decode_evidence(news));
    }

    /// Takes what a relay tells of rollouts and its zone counted.
    pub(super) fn take_rollouts_of_zone(&self, zone: &ZoneName, news: &RolloutUpdate) {
        self.take_rollouts(news);
        self.rollouts().merge_zone_evidence(zone, &rollout_wire::decode_evidence(news));
    }

    /// Takes orders and stages; news of an order goes on at once.
    fn take_rollouts(&self, news: &RolloutUpdate) {
        let book = self.rollouts();
        let mut has_changed = false;
        for order in rollout_wire::decode_orders(news) {
            has_changed |= hear_order(book, order);
        }
        for stage in rollout_wire::decode_stages(news) {
            let is_new = book.merge_stage(&stage, beamwall_clock::now());
            // While the new version takes all, what it does must be known at once.
            has_changed |= is_new && stage.stage.takes_all_in.is_some_and(|left| left <= TOLD_AT_ONCE);
        }
        if has_changed {
            self.news.notify_one();
        }
    }
}
