//! A tenant: who may send requests, and how much.

use beamwall_model::TenantName;
use serde::{Deserialize, Serialize};

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name.
    pub name: TenantName,
    /// Keys that its requests may carry.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Work allowed a second over all nodes; 0 for no limit.
    pub rate_per_second: f64,
    /// Work allowed at once after a quiet time.
    pub burst: f64,
    /// Whether work is counted in tokens; otherwise each request counts 1.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count is charged.
    pub plain_tokens: u32,
}
