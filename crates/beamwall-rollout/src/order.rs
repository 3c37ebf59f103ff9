//! What an operator orders.

use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies an order: one of another version, or made anew, is another order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId {
    /// The service.
    pub service: ServiceName,
    /// The version that shall take the traffic.
    pub target: EngineVersion,
    /// The store's revision at which the order was made.
    pub made: u64,
}

impl OrderId {
    /// A number that differs from order to order, the same at all nodes.
    pub fn seed(&self) -> u64 {
        xxh3_64_with_seed(self.target.as_str().as_bytes(), self.made)
    }
}

/// An order to move a service's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Identifies it.
    pub id: OrderId,
    /// Time from the order in which it shall be done.
    pub interval: Duration,
}
