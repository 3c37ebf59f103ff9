//! The traffic policy: which requests a deployment accepts and where they may go.
//!
//! A [`TrafficPolicy`] is one version of the operator's decisions in typed form; it is what nodes
//! tell each other. A [`PolicyIndex`] is the same version compiled for look-ups by host, path and
//! key. Neither is ever changed: a newer version replaces the whole. A [`PolicyChange`] is what differs
//! between two versions, and a [`PolicyArchive`] the last versions that a node held.

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
pub use service::{EngineTraits, ScalingLimits, Service};
pub use shared::Shared;
pub use tenant::Tenant;

use serde::{Deserialize, Serialize};

/// One version of what the operator decided.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficPolicy {
    /// Rises with every change; 0 before the first.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Shared<Route>>,
    /// The services that routes lead to.
    pub services: Vec<Shared<Service>>,
    /// The tenants; without any, requests carry no key.
    pub tenants: Vec<Shared<Tenant>>,
    /// What a caller may send.
    pub caller_limits: CallerLimits,
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request head, in milliseconds.
    pub head_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}
