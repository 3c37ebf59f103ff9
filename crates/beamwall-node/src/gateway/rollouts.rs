//! Distribution of rollout orders (moves of a service to another version): the nodes selected to watch the
//! store for their zone read the orders, and heartbeats carry the orders, their progress and the evidence to
//! all other nodes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::RolloutOrdered;
use beamwall_gateway::ControlStoreError;
use beamwall_gateway::ports::{ListedOrder, ListedOrders, RolloutStore};
use beamwall_model::{NodeId, ServiceName, StoreRevision, ZoneName};
use beamwall_peer::MemberState;
use beamwall_peer::rollout_message::RolloutUpdate;
use beamwall_rollout::{OrderUpdate, RolloutRegistry};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::rollout_wire;
use crate::gateway::watches::{ROLLOUT_ORDERS, WatchedResource};

/// Longest wait of one watch call: orders are rare, and each call to the store has a cost.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time between two verifications: orders are rare, and take longer than this.
const VERIFY_PERIOD: Duration = Duration::from_secs(10);

/// Time after the beginning of an era of the store in which an order that is not listed may have been lost, and is
/// written again by the operator.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(5);

/// Time before a new version receives all requests from which each stage update triggers an immediate
/// heartbeat with the evidence.
const IMMEDIATE_REPORT_WINDOW: Duration = Duration::from_millis(500);

/// What one node saw of the store's eras.
#[derive(Debug, Default)]
pub struct LastRestore {
    /// The era in which orders were read last; `None` before the first reading.
    era: Option<u64>,
    /// When an era began that was not the first one read.
    at: Option<Instant>,
}

/// Rollout orders in the store.
pub struct WatchedOrders {
    /// The control store.
    pub store: Arc<dyn RolloutStore>,
    /// Owns the rollouts by which requests are forwarded.
    pub exchange: Arc<PeerExchange>,
    /// The era of the store in which orders were read last, and when this node saw the store being restored.
    pub restored: Mutex<LastRestore>,
}

impl WatchedResource for WatchedOrders {
    const SUBJECT: &'static str = ROLLOUT_ORDERS;
    const WATCH_WAIT: Duration = WATCH_WAIT;
    const BATCH_DELAY: Duration = Duration::ZERO;
    const VERIFY_PERIOD: Duration = VERIFY_PERIOD;
    const MAX_CONFIRMATION_AGE: Duration = WATCH_WAIT;

    async fn read_or_watch(
        &self,
        last_revision: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<StoreRevision, ControlStoreError> {
        if let Some(revision) = last_revision {
            let (now_at, has_changed) = self.store.wait_for_orders(revision, wait).await?;
            if !has_changed {
                return Ok(now_at);
            }
        }
        let listed = self.store.orders().await?;
        let revision = listed.revision;
        self.apply_list(listed);
        Ok(revision)
    }

    async fn verify(&self) -> Result<Option<StoreRevision>, ControlStoreError> {
        let listed = self.store.recent_orders().await?;
        let revision = listed.revision;
        Ok(self.apply_list(listed).then_some(revision))
    }

    fn era(&self) -> watch::Receiver<u64> {
        self.store.era()
    }

    fn entries(&self) -> usize {
        self.exchange.rollouts().orders(beamwall_clock::now()).len()
    }
}

impl WatchedOrders {
    /// Whether this node has seen the store being restored into this era a short time ago.
    fn is_restored_lately(&self, era: u64) -> bool {
        let now = beamwall_clock::now();
        let mut last = self.restored.lock().unwrap_or_else(PoisonError::into_inner);
        if last.era.replace(era).is_some_and(|known| known < era) {
            last.at = Some(now);
        }
        last.at.is_some_and(|at| now.saturating_duration_since(at) < WRITTEN_AGAIN_WITHIN)
    }

    /// Applies the list of orders from the store; returns whether anything changed.
    fn apply_list(&self, listed: ListedOrders) -> bool {
        let services: Vec<ServiceName> =
            listed.orders.iter().map(|listed| listed.order.id.service.clone()).collect();
        let registry = self.exchange.rollouts();
        let may_be_lost = self.is_restored_lately(listed.revision.era);
        let mut has_changed = !may_be_lost && registry.withdraw_unlisted(&services, listed.revision);
        for order in listed.orders {
            has_changed |= apply_listed_order(registry, order);
        }
        if has_changed {
            self.exchange.heartbeat_trigger.notify_one();
        }
        has_changed
    }
}

fn apply_listed_order(registry: &RolloutRegistry, listed: ListedOrder) -> bool {
    let order_update = OrderUpdate {
        order: listed.order,
        revision: listed.revision,
        age: Duration::ZERO,
        verdict: listed.verdict,
        is_withdrawn: false,
    };
    merge_order_update(registry, order_update)
}

/// Applies an order and logs it if it changed.
fn merge_order_update(registry: &RolloutRegistry, order_update: OrderUpdate) -> bool {
    let event = RolloutOrdered {
        service: order_update.order.id.service.to_string(),
        target: order_update.order.id.target.to_string(),
        interval_ms: order_update.order.interval.as_millis().to_string(),
        verdict: format!("{:?}", order_update.verdict),
        withdrawn: order_update.is_withdrawn.to_string(),
    };
    let is_new = registry.merge_order(order_update, beamwall_clock::now());
    if is_new {
        emit(&event);
    }
    is_new
}

impl PeerExchange {
    /// The orders known to this node.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.gateway.forwarder.rollouts
    }

    /// Orders, stages and the evidence counted by this node, for all peers.
    pub(super) fn node_rollout_update(&self) -> Option<RolloutUpdate> {
        let (registry, now) = (self.rollouts(), beamwall_clock::now());
        let view = self.members.load();
        let ended = view.members.iter().filter(|member| member.state >= MemberState::Dead);
        registry.note_ended(ended.map(|member| &member.node));
        rollout_wire::encode_node(registry.orders(now), registry.stages(now), registry.own_evidence())
    }

    /// The same for a single peer. What other peers lack is left for the update that all of them receive.
    pub(super) fn node_rollout_update_for_one_peer(&self) -> Option<RolloutUpdate> {
        let (registry, now) = (self.rollouts(), beamwall_clock::now());
        let evidence = registry.own_evidence_for_one_peer();
        rollout_wire::encode_node(registry.orders(now), registry.stages(now), evidence)
    }

    /// Orders, stages and the evidence counted by all nodes of this zone, for other zones.
    pub(super) fn zone_rollout_update(&self) -> Option<RolloutUpdate> {
        let (registry, now) = (self.rollouts(), beamwall_clock::now());
        rollout_wire::encode(registry.orders(now), registry.stages(now), registry.evidence_of_nodes())
    }

    /// Applies the rollouts and the evidence reported by a node.
    pub(super) fn apply_node_rollouts(
        &self,
        zone: &ZoneName,
        node: &NodeId,
        generation: u64,
        update: &RolloutUpdate,
    ) {
        self.apply_rollout_update(update);
        let evidence = rollout_wire::decode_node_evidence(update);
        self.rollouts().merge_node_evidence_of_zone(zone, node, generation, &evidence);
    }

    /// Applies the rollouts reported by a relay and the evidence of its zone.
    pub(super) fn apply_zone_rollouts(&self, zone: &ZoneName, update: &RolloutUpdate) {
        self.apply_rollout_update(update);
        self.rollouts().merge_zone_evidence(zone, &rollout_wire::decode_evidence(update));
    }

    /// Applies orders and stages; a changed order triggers a heartbeat at once.
    fn apply_rollout_update(&self, update: &RolloutUpdate) {
        let registry = self.rollouts();
        let mut has_changed = false;
        for order in rollout_wire::decode_orders(update) {
            has_changed |= merge_order_update(registry, order);
        }
        for stage in rollout_wire::decode_stages(update) {
            let is_new = registry.merge_stage(&stage, beamwall_clock::now());
            // When the new version takes all requests, its evidence must reach other nodes without delay.
            has_changed |=
                is_new && stage.stage.takes_all_in.is_some_and(|left| left <= IMMEDIATE_REPORT_WINDOW);
        }
        if has_changed {
            self.heartbeat_trigger.notify_one();
        }
    }
}
