//! Rollout orders of an operator.

use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies an order. An order for another version, or one that is placed again, is a different order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId {
    /// The service.
    pub service: ServiceName,
    /// The version that is to receive the traffic.
    pub target: EngineVersion,
    /// The store's revision at which the order was placed.
    pub made: u64,
}

impl OrderId {
    /// Hash seed, which differs between orders and is the same on all nodes.
    pub fn seed(&self) -> u64 {
        xxh3_64_with_seed(self.target.as_str().as_bytes(), self.made)
    }
}

/// An order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The order's identifier.
    pub id: OrderId,
    /// Time from the order until the rollout is to be complete.
    pub interval: Duration,
}
