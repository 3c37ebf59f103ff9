//! What was ordered of back ends and what came of it, in one tenure and on to the next.
//!
//! A holder that did not know what its predecessor had ordered would order anew by what it finds: lasting back ends that stand in for
//! reclaimable ones and are still booting would be given back, and ordered once more when it is told that no reclaimable ones can be had.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{GivenOrder, OrderKey};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Pause after an order that could not be carried out.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// An order as kept for the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedOrder {
    /// What it is about.
    pub key: OrderKey,
    /// How many were ordered last; `None` where no order was carried out.
    pub wanted: Option<u32>,
    /// Whether none could be had at the last try.
    pub is_exhausted: bool,
}

/// An order whose last try was not taken.
#[derive(Debug, Clone, Copy)]
struct FailedOrder {
    failed_at: Instant,
    /// Whether none could be had; otherwise no answer came.
    is_exhausted: bool,
}

/// The orders of one tenure.
#[derive(Debug, Default)]
pub struct OrderTracker {
    placed: BTreeMap<OrderKey, GivenOrder>,
    failed: BTreeMap<OrderKey, FailedOrder>,
}

impl OrderTracker {
    /// Goes on from what the last holder kept. Its orders count as given now, since it is not known when they were.
    pub fn restore(saved: Vec<SavedOrder>, now: Instant) -> Self {
        let mut tracker = Self::default();
        for SavedOrder { key, wanted, is_exhausted } in saved {
            if is_exhausted {
                tracker.failed.insert(key.clone(), FailedOrder { failed_at: now, is_exhausted });
            }
            tracker.placed.extend(wanted.map(|wanted| (key, GivenOrder::new(wanted, now))));
        }
        tracker
    }

    /// What the next holder goes on from.
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

    /// The orders that were given.
    pub fn placed(&self) -> &BTreeMap<OrderKey, GivenOrder> {
        &self.placed
    }

    /// The same, to note what came of them.
    pub fn placed_mut(&mut self) -> &mut BTreeMap<OrderKey, GivenOrder> {
        &mut self.placed
    }

    /// How many were ordered last.
    pub fn last_ordered(&self, key: &OrderKey) -> Option<u32> {
        self.placed.get(key).map(|order| order.wanted)
    }

    /// Whether none could be had at the last try.
    pub fn is_exhausted(&self, key: &OrderKey) -> bool {
        self.failed.get(key).is_some_and(|failure| failure.is_exhausted)
    }

    /// Whether an order may be tried: it was not refused a moment ago.
    pub fn may_attempt(&self, key: &OrderKey, now: Instant) -> bool {
        let elapsed_since = |failure: &FailedOrder| now.saturating_duration_since(failure.failed_at);
        self.failed.get(key).is_none_or(|failure| elapsed_since(failure) >= RETRY_DELAY)
    }

    /// Notes that an order was carried out.
    pub fn record_placed(&mut self, order: &CapacityOrder, now: Instant) {
        let key = OrderKey::of(order);
        self.failed.remove(&key);
        self.placed.insert(key, GivenOrder::new(order.wanted, now));
    }

    /// Notes that an order was not carried out; returns whether it is news that none can be had.
    pub fn record_failure(&mut self, order: &CapacityOrder, is_exhausted: bool, now: Instant) -> bool {
        let failure = FailedOrder { failed_at: now, is_exhausted };
        let before = self.failed.insert(OrderKey::of(order), failure);
        is_exhausted && !before.is_some_and(|before| before.is_exhausted)
    }
}
