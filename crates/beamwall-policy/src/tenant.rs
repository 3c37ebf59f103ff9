//! Tenants: the API keys and the rate limit of a group of callers.

use beamwall_model::TenantName;
use serde::{Deserialize, Serialize};

/// A tenant of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// API keys that identify its requests.
    pub keys: Vec<String>,
    /// Rank that is compared before the rank of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Work allowed per second over all nodes; 0 means unlimited.
    pub rate_per_second: f64,
    /// Work allowed at once after an idle period.
    pub burst: f64,
    /// Whether work is counted in tokens; otherwise each request counts as 1.
    pub counts_tokens: bool,
    /// Tokens charged for a request that has no token count.
    pub plain_tokens: u32,
}
