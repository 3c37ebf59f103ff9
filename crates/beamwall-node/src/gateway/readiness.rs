//! Readiness of the node, and the HTTP pages for the load balancer and for metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use beamwall_gateway::{Directory, Gateway};
use beamwall_http::{Body, Handler, empty, full};
use beamwall_policy::PolicyIndex;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prometheus::{Encoder, Registry, TextEncoder};

use crate::gateway::exchange::PeerExchange;
use crate::gateway::gauges::GatewayGauges;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::watches::{BACKENDS, POLICY};

const METRICS_PATH: &str = "/metrics";

/// Something that a node needs before it accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// A traffic policy.
    Policy,
    /// A list of back ends.
    Backends,
    /// An answer of the store on both, or a failed call: what peers have told may be older.
    StoreAnswer,
    /// Not to be draining.
    NotDraining,
}

impl Missing {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Policy, Self::Backends, Self::StoreAnswer, Self::NotDraining];

    /// The name used in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Backends => "back ends",
            Self::StoreAnswer => "answer of the store",
            Self::NotDraining => "not draining",
        }
    }
}

/// Decides whether the node accepts callers.
pub struct Readiness {
    policy: Arc<ArcSwap<PolicyIndex>>,
    directory: Arc<ArcSwap<Directory>>,
    status: Arc<StoreStatus>,
    draining: AtomicBool,
}

impl Readiness {
    /// Not ready until a policy and a list of back ends are known.
    pub fn new(
        policy: Arc<ArcSwap<PolicyIndex>>,
        directory: Arc<ArcSwap<Directory>>,
        status: Arc<StoreStatus>,
    ) -> Self {
        Self { policy, directory, status, draining: AtomicBool::new(false) }
    }

    /// Whether the node accepts callers. State received from peers is sufficient only if the store failed.
    pub fn is_ready(&self) -> bool {
        !Missing::ALL.into_iter().any(|what| self.is_missing(what))
    }

    /// What the node needs and doesn't have.
    pub fn missing(&self) -> Vec<Missing> {
        Missing::ALL.into_iter().filter(|what| self.is_missing(*what)).collect()
    }

    fn is_missing(&self, what: Missing) -> bool {
        match what {
            Missing::Policy => self.policy_version() == 0,
            Missing::Backends => !self.knows_backends(),
            Missing::StoreAnswer => !self.status.has_settled(&[POLICY, BACKENDS]),
            Missing::NotDraining => self.is_draining(),
        }
    }

    /// Whether the list of back ends is known, or a part of it and the rest can't be read: whoever is served from a part
    /// is better off than with no node at all.
    fn knows_backends(&self) -> bool {
        let directory = self.directory.load();
        directory.is_fully_loaded() || (directory.is_known() && self.status.is_failing(BACKENDS))
    }

    /// Version of the policy in force; 0 while none is.
    pub fn policy_version(&self) -> u64 {
        self.policy.load().version()
    }

    /// Number of back ends that are known, those of a list that was read in part included.
    pub fn known_backends(&self) -> usize {
        self.directory.load().known().count()
    }

    /// How the last failed call for each subject failed, as one text; empty if none did.
    pub fn last_store_failures(&self) -> String {
        self.status.last_failures()
    }

    /// Whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining; returns false if it had already started.
    pub fn begin_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::Relaxed)
    }
}

/// Serves readiness checks and metrics.
pub struct StatusHandler {
    /// Readiness of this node.
    pub readiness: Arc<Readiness>,
    /// All metrics.
    pub registry: Registry,
    /// Gauges that are refreshed before each scrape.
    pub gauges: GatewayGauges,
    /// Source of the gauges.
    pub gateway: Arc<Gateway>,
    /// Source of the gauges.
    pub exchange: Arc<PeerExchange>,
    /// Path of the balancer's readiness check.
    pub readiness_path: &'static str,
}

impl StatusHandler {
    fn metrics(&self) -> Response<Body> {
        self.gauges.refresh(&self.gateway, &self.exchange, &self.readiness);
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        Response::new(full(text))
    }
}

fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

impl Handler for StatusHandler {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == METRICS_PATH {
            return self.metrics();
        }
        if path != self.readiness_path {
            return status_only(StatusCode::NOT_FOUND);
        }
        let is_ready = self.readiness.is_ready();
        status_only(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}
