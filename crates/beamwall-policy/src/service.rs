//! A service: a group of equal back ends.

use std::collections::BTreeMap;

use beamwall_model::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one back end accepts from all callers together.
    pub connection_limit: u32,
    /// What its model engines can do; absent for plain services.
    pub engine: Option<EngineTraits>,
    /// How many back ends each zone may hold; absent where the number is not ours to set.
    pub scaling: Option<ScalingLimits>,
}

/// What a model engine of a service can do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests at once.
    pub slots: u32,
    /// Memory for running requests and kept prompt parts, in tokens.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream carries.
    pub tokens_per_event: u32,
}

/// How many back ends a zone may hold and what they cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// Fewest in a zone, lasting and reclaimable together.
    pub minimum: u32,
    /// Most in a zone, lasting and reclaimable together.
    pub maximum: u32,
    /// Time from an order to the first request, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable back end as a part of a lasting one's; absent where there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of one back end for one second, by zone.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}
