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
    /// How it moves the memory of running requests; `None` if it can't. Builds that know no moves neither
    /// send nor read this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_moves: Option<MemoryMoves>,
}

/// How engines move the memory of a running request to one another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MemoryMoves {
    /// Size of one token in an engine's memory, in bytes.
    pub token_bytes: u64,
    /// Capacity of the link over which an engine moves memory, in Mbit/s.
    pub link_mbps: f64,
    /// Time for which an unused copy is kept, in milliseconds.
    pub copy_lifetime_ms: u64,
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
