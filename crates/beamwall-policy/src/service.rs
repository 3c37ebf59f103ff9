//! Services: groups of interchangeable back ends.

use std::collections::BTreeMap;

use beamwall_model::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A group of interchangeable back ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one back end accepts from all callers in total.
    pub connection_limit: u32,
    /// Capacity of its model engines; `None` for plain services.
    pub engine: Option<EngineTraits>,
    /// Limits for the number of back ends in each zone; `None` if Beamwall does not scale the service.
    pub scaling: Option<ScalingLimits>,
}

/// Capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory for running requests and cached prompt prefixes, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits for the number of back ends in a zone, and their prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// Minimum number in a zone, on-demand and reclaimable together.
    pub minimum: u32,
    /// Maximum number in a zone, on-demand and reclaimable together.
    pub maximum: u32,
    /// Time from a capacity order until a back end serves its first request, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable back end as a fraction of the on-demand price; `None` if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price of one back end per second, by zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}
