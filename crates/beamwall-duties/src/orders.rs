//! Capacity orders of one term and their results, carried over to the next term.
//!
//! A new lease holder that did not know its predecessor's orders would compute orders from the running back
//! ends alone: it would release on-demand back ends that substitute for reclaimable ones and are still
//! booting, and order them again once it learns that no reclaimable ones are available.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{OrderKey, SubmittedOrder};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Delay before an order that failed is attempted again.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// An order as saved for the next lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOrder {
    /// Service, zone and kind of back end of the order.
    pub key: OrderKey,
    /// The last ordered number of back ends; `None` if no order was placed.
    pub wanted: Option<u32>,
    /// Whether no capacity was available at the last attempt.
    pub is_exhausted: bool,
}

/// An order whose last attempt failed.
#[derive(Debug, Clone, Copy)]
struct FailedOrder {
    failed_at: Instant,
    /// Whether no capacity was available; otherwise the request got no answer.
    is_exhausted: bool,
}

/// Capacity orders of one term.
#[derive(Debug)]
pub struct OrderTracker {
    placed: BTreeMap<OrderKey, SubmittedOrder>,
    failed: BTreeMap<OrderKey, FailedOrder>,
    /// Delay before an order that got no answer is attempted again.
    unanswered_retry_delay: Duration,
}

impl Default for OrderTracker {
    fn default() -> Self {
        Self { placed: BTreeMap::new(), failed: BTreeMap::new(), unanswered_retry_delay: RETRY_DELAY }
    }
}

impl OrderTracker {
    /// Restores the orders of the previous lease holder. They count as placed now, since their time is not
    /// saved.
    pub fn restore(saved: Vec<SavedOrder>, now: Instant) -> Self {
        let mut tracker = Self::default();
        for SavedOrder { key, wanted, is_exhausted } in saved {
            if is_exhausted {
                tracker.failed.insert(key.clone(), FailedOrder { failed_at: now, is_exhausted });
            }
            tracker.placed.extend(wanted.map(|wanted| (key, SubmittedOrder::new(wanted, now))));
        }
        tracker
    }

    /// Attempts orders that got no answer again after `delay`.
    pub fn retrying_unanswered_after(mut self, delay: Duration) -> Self {
        self.unanswered_retry_delay = delay;
        self
    }

    /// Returns the orders to save for the next lease holder.
    pub fn to_saved(&self) -> Vec<SavedOrder> {
        let exhausted = self.failed.iter().filter(|(_, failure)| failure.is_exhausted).map(|(key, _)| key);
        let mut keys: Vec<&OrderKey> = self.placed.keys().chain(exhausted).collect();
        keys.sort();
        keys.dedup();
        let saved = |key: &OrderKey| SavedOrder {
            key: key.clone(),
            wanted: self.placed.get(key).map(|order| order.wanted),
            is_exhausted: self.is_exhausted(key),
        };
        keys.into_iter().map(saved).collect()
    }

    /// Returns the orders that were placed.
    pub fn placed(&self) -> &BTreeMap<OrderKey, SubmittedOrder> {
        &self.placed
    }

    /// Returns the placed orders for updating with their results.
    pub fn placed_mut(&mut self) -> &mut BTreeMap<OrderKey, SubmittedOrder> {
        &mut self.placed
    }

    /// Returns the last ordered number of back ends.
    pub fn last_ordered(&self, key: &OrderKey) -> Option<u32> {
        self.placed.get(key).map(|order| order.wanted)
    }

    /// Returns whether no capacity was available at the last attempt.
    pub fn is_exhausted(&self, key: &OrderKey) -> bool {
        self.failed.get(key).is_some_and(|failure| failure.is_exhausted)
    }

    /// Returns whether the last attempt got no answer.
    pub fn is_unanswered(&self, key: &OrderKey) -> bool {
        self.failed.get(key).is_some_and(|failure| !failure.is_exhausted)
    }

    /// Returns whether an order may be attempted: it has not failed within the retry delay.
    pub fn may_attempt(&self, key: &OrderKey, now: Instant) -> bool {
        let Some(failure) = self.failed.get(key) else { return true };
        let delay = if failure.is_exhausted { RETRY_DELAY } else { self.unanswered_retry_delay };
        now.saturating_duration_since(failure.failed_at) >= delay
    }

    /// Records that an order was placed.
    pub fn record_placed(&mut self, order: &CapacityOrder, now: Instant) {
        let key = OrderKey::of(order);
        self.failed.remove(&key);
        self.placed.insert(key, SubmittedOrder::new(order.wanted, now));
    }

    /// Records that an order failed. Returns whether it failed for lack of capacity and the last attempt did not.
    pub fn record_failure(&mut self, order: &CapacityOrder, is_exhausted: bool, now: Instant) -> bool {
        let failure = FailedOrder { failed_at: now, is_exhausted };
        let before = self.failed.insert(OrderKey::of(order), failure);
        is_exhausted && !before.is_some_and(|before| before.is_exhausted)
    }
}
