//! A route: which requests it matches, where they go and how they may be treated.

use beamwall_model::ServiceName;
use serde::{Deserialize, Serialize};

/// How the requests of a route may be treated after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with an event stream and runs at most once.
    Stream,
    /// Answers with an event stream that another engine may continue.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services among which a route's requests are split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Longest time that requests of a route are held that states none, in milliseconds.
pub const DEFAULT_HOLD_LIMIT_MS: u64 = 15_000;
/// Objective of a route that states none, in milliseconds.
pub const DEFAULT_OBJECTIVE_MS: u64 = 1_000;

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it matches, in lower case and without a port.
    pub host: String,
    /// Path prefix that it matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Treatment after failures.
    pub kind: RouteKind,
    /// Longest time a request may be held, in milliseconds.
    pub hold_limit_ms: u64,
    /// Time within which an answer (of a stream: its first event) earns its full credit, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between two events that keeps a stream in time, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Rank among requests; 0 is the most urgent.
    pub rank: u8,
    /// Services among which requests are split.
    pub targets: Vec<WeightedService>,
    /// Most back ends to which one request may be sent.
    pub attempt_limit: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request, from a number that is spread evenly over requests.
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
