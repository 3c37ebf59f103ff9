//! Whether the node takes callers, and the pages for the balancer and for metrics.

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

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Whether the node takes callers.
pub struct Readiness {
    policy: Arc<ArcSwap<PolicyIndex>>,
    directory: Arc<ArcSwap<Directory>>,
    status: Arc<StoreStatus>,
    draining: AtomicBool,
}

impl Readiness {
    /// Not ready until a policy and back ends are known.
    pub fn new(
        policy: Arc<ArcSwap<PolicyIndex>>,
        directory: Arc<ArcSwap<Directory>>,
        status: Arc<StoreStatus>,
    ) -> Self {
        Self { policy, directory, status, draining: AtomicBool::new(false) }
    }

    /// Whether the node takes callers. What peers told suffices only where the store failed.
    pub fn is_ready(&self) -> bool {
        let knows = self.policy.load().version() > 0 && self.directory.load().is_whole();
        knows && self.status.has_settled(&[POLICY, BACKENDS]) && !self.is_draining()
    }

    /// Whether the node is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining; returns false when it had begun before.
    pub fn begin_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::Relaxed)
    }
}

/// Answers the balancer and whoever reads metrics.
pub struct StatusHandler {
    /// Whether the node takes callers.
    pub readiness: Arc<Readiness>,
    /// All metrics.
    pub registry: Registry,
    /// Gauges to be set before metrics are read.
    pub gauges: GatewayGauges,
    /// What the gauges read.
    pub gateway: Arc<Gateway>,
    /// What the gauges read.
    pub exchange: Arc<PeerExchange>,
    /// Path of the balancer's question.
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
