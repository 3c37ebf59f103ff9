//! The traffic policy: which requests a deployment accepts and to which services they are routed.
//!
//! A [`TrafficPolicy`] is one version of the operator's settings in typed form; nodes exchange it with each
//! other. A [`PolicyIndex`] is the same version, indexed for lookups by host, path and API key. Both are
//! immutable: a newer version replaces the whole. A [`PolicyChange`] contains the differences between two
//! versions, and a [`PolicyHistory`] the most recent versions at a node.

pub mod change;
pub mod history;
pub mod index;
pub mod route;
pub mod service;
pub mod shared;
pub mod tenant;

pub use change::{ChangeError, PolicyChange};
pub use history::PolicyHistory;
pub use index::{PolicyIndex, TenantRef};
pub use route::{DEFAULT_HOLD_LIMIT_MS, DEFAULT_OBJECTIVE_MS, Route, RouteKind, WeightedService};
pub use service::{EngineTraits, MemoryMoves, ScalingLimits, Service};
pub use shared::Shared;
pub use tenant::Tenant;

use serde::{Deserialize, Serialize};

/// One version of the traffic policy that the operator has set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficPolicy {
    /// Version number, which increases with every change; 0 before the first.
    pub version: u64,
    /// Routes by host and path.
    pub routes: Vec<Shared<Route>>,
    /// Services that the routes refer to.
    pub services: Vec<Shared<Service>>,
    /// Tenants; if there are none, requests need no API key.
    pub tenants: Vec<Shared<Tenant>>,
    /// Limits for connections and requests of callers.
    pub caller_limits: CallerLimits,
}

/// Size and time limits for connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Longest idle time of a connection between two requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}
