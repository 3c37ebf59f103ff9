//! Helpers shared by the tests.

use beamwall_policy::{Route, RouteKind, WeightedService};

/// Creates a route of `a.example`, the host of the test requests.
pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        hold_limit_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: None,
        rank: 0,
        targets: vec![WeightedService { service: "one".into(), weight: 1 }],
        attempt_limit: 1,
        public: false,
    }
}
