//! What was ordered of back ends and what came of it, in one tenure and on to the next.
//!
//! A holder that did not know what its predecessor had ordered would order anew by what it finds: lasting back ends that stand in for
//! reclaimable ones and are still booting would be given back, and ordered once more when it is told that no reclaimable ones can be had.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{OrderKey, SubmittedOrder};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Pause after an order that could not be carried out.
const ORDER_PAUSE: Duration = Duration::from_secs(3);

/// An order as kept for the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptOrder {
    /// What it is about.
    pub key: OrderKey,
    /// How many were ordered last; `None` where no order was carried out.
    pub wanted: Option<u32>,
    /// Whether none could be had at the last try.
    pub is_exhausted: bool,
}

/// An order whose last try was not taken.
#[derive(Debug, Clone, Copy)]
struct RefusedOrder {
    at: Instant,
    /// Whether none could be had; otherwise no answer came.
    is_exhausted: bool,
}

/// The orders of one tenure.
#[derive(Debug, Default)]
pub struct OrderBook {
    given: BTreeMap<OrderKey, SubmittedOrder>,
    refused: BTreeMap<OrderKey, RefusedOrder>,
}

impl OrderBook {
    /// Goes on from what the last holder kept. Its orders count as given now, since it is not known when they were.
    pub fn continuing(kept: Vec<KeptOrder>, now: Instant) -> Self {
        let mut book = Self::default();
        for KeptOrder { key, wanted, is_exhausted } in kept {
            if is_exhausted {
                book.refused.insert(key.clone(), RefusedOrder { at: now, is_exhausted });
            }
            book.given.extend(wanted.map(|wanted| (key, SubmittedOrder::new(wanted, now))));
        }
        book
    }

    /// What the next holder goes on from.
    pub fn to_keep(&self) -> Vec<KeptOrder> {
        let exhausted = self.refused.iter().filter(|(_, refused)| refused.is_exhausted).map(|(key, _)| key);
        let mut keys: Vec<&OrderKey> = self.given.keys().chain(exhausted).collect();
        keys.sort();
        keys.dedup();
        let kept = |key: &OrderKey| KeptOrder {
            key: key.clone(),
            wanted: self.given.get(key).map(|given| given.wanted),
            is_exhausted: self.is_exhausted(key),
        };
        keys.into_iter().map(kept).collect()
    }

    /// The orders that were given.
    pub fn given(&self) -> &BTreeMap<OrderKey, SubmittedOrder> {
        &self.given
    }

    /// The same, to note what came of them.
    pub fn given_mut(&mut self) -> &mut BTreeMap<OrderKey, SubmittedOrder> {
        &mut self.given
    }

    /// How many were ordered last.
    pub fn ordered(&self, key: &OrderKey) -> Option<u32> {
        self.given.get(key).map(|given| given.wanted)
    }

    /// Whether none could be had at the last try.
    pub fn is_exhausted(&self, key: &OrderKey) -> bool {
        self.refused.get(key).is_some_and(|refused| refused.is_exhausted)
    }

    /// Whether an order may be tried: it was not refused a moment ago.
    pub fn may_try(&self, key: &OrderKey, now: Instant) -> bool {
        let since = |refused: &RefusedOrder| now.saturating_duration_since(refused.at);
        self.refused.get(key).is_none_or(|refused| since(refused) >= ORDER_PAUSE)
    }

    /// Notes that an order was carried out.
    pub fn note_done(&mut self, order: &CapacityOrder, now: Instant) {
        let key = OrderKey::of(order);
        self.refused.remove(&key);
        self.given.insert(key, SubmittedOrder::new(order.wanted, now));
    }

    /// Notes that an order was not carried out; returns whether it is news that none can be had.
    pub fn note_refused(&mut self, order: &CapacityOrder, is_exhausted: bool, now: Instant) -> bool {
        let refused = RefusedOrder { at: now, is_exhausted };
        let before = self.refused.insert(OrderKey::of(order), refused);
        is_exhausted && !before.is_some_and(|before| before.is_exhausted)
    }
}
