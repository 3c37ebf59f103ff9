//! Routes: which requests they match, to which services requests go and how failures are handled.

use beamwall_model::ServiceName;
use serde::{Deserialize, Serialize};

/// How requests of a route may be retried after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Repeatable,
    /// A request is executed at most once.
    Once,
    /// The response is an event stream, and a request is executed at most once.
    Stream,
    /// The response is an event stream that another engine may continue.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be executed again after an attempt that may have executed it.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that receives part of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service; its share of requests is the weight divided by the sum of the route's weights.
    pub weight: u32,
}

/// Hold limit of a route that sets none, in milliseconds.
pub const DEFAULT_HOLD_LIMIT_MS: u64 = 15_000;
/// Response time objective of a route that sets none, in milliseconds.
pub const DEFAULT_OBJECTIVE_MS: u64 = 1_000;

/// A route of the traffic policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host that it matches, in lower case and without a port.
    pub host: String,
    /// Path prefix that it matches; starts and ends with a slash.
    pub path_prefix: String,
    /// How requests may be retried after a failure.
    pub kind: RouteKind,
    /// Longest time that a gateway may hold a request, in milliseconds.
    pub hold_limit_ms: u64,
    /// Objective for the time to the response (of a stream: to its first event), in milliseconds. A response
    /// within this time gets full credit.
    pub objective_ms: u64,
    /// Objective for the gap between two events: a stream with a longer one is late. In milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Priority rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Services among which requests are split by weight.
    pub targets: Vec<WeightedService>,
    /// Maximum number of back ends to which one request may be sent.
    pub attempt_limit: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Selects the service of a request by weight. `request_hash` must be uniformly distributed over the
    /// requests.
    pub fn service_for(&self, request_hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut position = request_hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if position < weight {
                return Some(&target.service);
            }
            position -= weight;
        }
        None
    }
}
