//! A node without a network: its ports are stubs.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::choice::Chooser;
use beamwall_gateway::demand::DemandTracker;
use beamwall_gateway::engine_gate::{EngineGate, PermitOutcome, PermitPort, PermitRequest};
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::forward::Forwarder;
use beamwall_gateway::metrics::GatewayMetrics;
use beamwall_gateway::ports::{DelegationMark, MoveReply, MoveRequest};
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_gateway::usage::UsageLedger;
use beamwall_gateway::{
    CallHead, DelegationPeer, DelegationPort, Dialect, Directory, ForwardHead, OriginPort, PeerAnswer,
    PlacementOutcome, PlacementPort, PlacementQuery, ResponseHead, StreamOrigins,
};
use beamwall_http::Pool;
use beamwall_model::{BackendId, ChoiceStrategy, NodeId, ServiceName};
use beamwall_quarantine::{Fingerprint, QuarantineRegistry};
use beamwall_rollout::RolloutRegistry;
use beamwall_stream_origin::StreamKey;
use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode};

const SECOND: Duration = Duration::from_secs(1);

/// Stubs: a dialect, a placement and a permit node that these tests don't use, and trials that are never granted.
pub struct StubPorts;

impl Dialect for StubPorts {
    fn read_call(&self, _: &HeaderMap) -> CallHead {
        CallHead::default()
    }
    fn forward_headers(&self, _: &HeaderMap, _: &ForwardHead<'_>) -> HeaderMap {
        HeaderMap::new()
    }
    fn read_response_head(&self, _: StatusCode, _: &HeaderMap) -> ResponseHead {
        ResponseHead::default()
    }
    fn delegated_headers(&self, _: &HeaderMap, _: Duration, _: DelegationMark) -> HeaderMap {
        HeaderMap::new()
    }
    fn probe_headers(&self) -> HeaderMap {
        HeaderMap::new()
    }
    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }
    fn move_request(&self, _: &MoveRequest<'_>) -> Request<Bytes> {
        Request::default()
    }
    fn read_move_reply(&self, _: StatusCode, _: &[u8]) -> MoveReply {
        MoveReply::RunEnded
    }
    fn release_request(&self, _: &str) -> Request<Bytes> {
        Request::default()
    }
    fn mark_refusal(&self, _: &mut HeaderMap, _: &str) {}
    fn mark_sent(&self, _: &mut HeaderMap, _: u32) {}
}

#[async_trait]
impl PlacementPort for StubPorts {
    async fn place(&self, _: &PlacementQuery) -> PlacementOutcome {
        PlacementOutcome::Unanswered
    }
}

#[async_trait]
impl PermitPort for StubPorts {
    async fn request_permit(&self, _: &PermitRequest) -> PermitOutcome {
        PermitOutcome::Unanswered
    }
    fn grants(&self, _: &BackendId) -> bool {
        false
    }
}

#[async_trait]
impl DelegationPort for StubPorts {
    async fn find_peer(&self, _: &ServiceName, _: &[NodeId]) -> Option<DelegationPeer> {
        None
    }
    fn note_unreachable(&self, _: &NodeId) {}
    fn is_own_token(&self, _: u64) -> bool {
        false
    }
}

#[async_trait]
impl OriginPort for StubPorts {
    async fn ask(&self, _: &StreamKey, _: &ServiceName, _: Duration) -> PeerAnswer {
        PeerAnswer::NoPeers
    }
    fn is_list_current(&self) -> bool {
        true
    }
}

#[async_trait]
impl TrialPort for StubPorts {
    async fn claim_trial(&self, _: &Fingerprint, _: u32, _: u64) -> bool {
        false
    }
}

/// A node with `engines` engines and a budget of `retries` extra retries.
pub fn forwarder(engines: usize, retries: f64) -> Forwarder {
    forwarder_with(super::directory(engines, 8), retries)
}

/// A node with these engines and a budget of `retries` extra retries.
pub fn forwarder_with(directory: Directory, retries: f64) -> Forwarder {
    let directory = Arc::new(ArcSwap::from_pointee(directory));
    let (pool, clock): (Pool, Arc<FleetClock>) = (Pool::new(SECOND), Arc::default());
    let registry: Arc<QuarantineRegistry> = Arc::default();
    let quarantine =
        Quarantine::new(registry, pool.clone(), directory.clone(), clock.clone(), Arc::new(StubPorts));
    let allowance =
        RetryAllowance { earned_percent: 100, saved_percent: 0, extra: retries, window: SECOND * 10 };
    Forwarder {
        node: "n1".into(),
        zone: "a".into(),
        dialect: Arc::new(StubPorts),
        pool,
        directory,
        backend_state: BackendState::default(),
        chooser: Chooser::new(ChoiceStrategy::ExpectedTime),
        placement: Arc::new(StubPorts),
        admission: None,
        gate: EngineGate::new(Box::new(StubPorts), 1, Arc::default()),
        reachability: Default::default(),
        delegation: Arc::new(StubPorts),
        demand: DemandTracker::default(),
        rollouts: RolloutRegistry::default(),
        origins: StreamOrigins::new(Arc::new(StubPorts)),
        quarantine: Arc::new(quarantine),
        move_on_reclaim: false,
        retries: RetryBudgets::new(allowance, 1),
        usage: UsageLedger::new(SECOND),
        clock,
        metrics: GatewayMetrics::new(&prometheus::Registry::new()).expect("they register"),
    }
}
