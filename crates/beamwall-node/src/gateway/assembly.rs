//! Builds a gateway and its exchange with peers from the settings.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_config::GatewaySettings;
use beamwall_gateway::admission_metrics::AdmissionMetrics;
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::choice::Chooser;
use beamwall_gateway::demand::DemandTracker;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::forward::Forwarder;
use beamwall_gateway::group_admission::GroupAdmission;
use beamwall_gateway::metrics::GatewayMetrics;
use beamwall_gateway::planned_stop::PlannedStop;
use beamwall_gateway::ports::StoreEras;
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::quota::{QuotaLimiter, Tolerance};
use beamwall_gateway::reachability::EngineReachability;
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_gateway::usage::UsageLedger;
use beamwall_gateway::{
    DelegationPort, Directory, EngineGate, Gateway, OriginPort, PermitPort, PlacementPort, StreamOrigins,
};
use beamwall_http::Pool;
use beamwall_http::caller_budget::{BudgetLimits, CallerBudget};
use beamwall_pace::PaceTracker;
use beamwall_peer::{Membership, MembershipTiming, PeerNetwork, TransferPacer};
use beamwall_policy::{PolicyHistory, PolicyIndex};
use beamwall_quarantine::QuarantineRegistry;
use beamwall_rollout::RolloutRegistry;
use kameo::actor::Spawn;
use prometheus::Registry;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::actors::directory::DirectoryActor;
use crate::actors::membership::MembershipActor;
use crate::actors::policy::PolicyActor;
use crate::error::NodeError;
use crate::gateway::Ports;
use crate::gateway::exchange::PeerExchange;
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::peer_delegation::PeerDelegation;
use crate::gateway::peer_restarts::PeerRestarts;
use crate::gateway::peer_versions::PeerVersions;
use crate::gateway::policy_sync::PolicyDistribution;
use crate::gateway::readiness::Readiness;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::shared::MembershipView;

/// Timeout for opening a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Fraction of the allowed retries per request that each request earns. Together with the saved fraction,
/// nodes use nine tenths of the allowed retries; the rest is a margin.
const RETRY_RATIO_EARNED: f64 = 0.5;
/// Fraction of the allowed retries per request of the last window that may be saved.
const RETRY_RATIO_SAVED: f64 = 0.4;
/// Fraction of the fixed extra retries that all nodes together use.
const RETRY_EXTRA_USED: f64 = 0.7;
/// Fraction of the tolerated work beyond quotas that all nodes together use.
const QUOTA_SLACK_USED: f64 = 0.5;
/// Fraction of the tolerated share beyond quotas that nodes use continuously. The rest covers what many nodes
/// admit at once before usage reports reach them: with half of it used, a fleet of 295 nodes went 4 in 100
/// beyond what is tolerated.
const QUOTA_OVERAGE_USED: f64 = 0.05;
/// Additional fraction that starting nodes use: all of them may start at once.
const QUOTA_OVERAGE_USED_AT_START: f64 = 0.35;

/// Ports to peers that take part in the handling of a request.
pub(super) struct PeerPorts {
    pub(super) placement: Arc<dyn PlacementPort>,
    pub(super) permits: Box<dyn PermitPort>,
    pub(super) delegation: Arc<dyn DelegationPort>,
    pub(super) origins: Arc<dyn OriginPort>,
}

/// What a node uses to reach its peers.
pub(super) struct PeerLinks {
    pub(super) network: Arc<PeerNetwork>,
    pub(super) members: Arc<ArcSwap<MembershipView>>,
    pub(super) delegation: Arc<PeerDelegation>,
    pub(super) store_eras: Arc<dyn StoreEras>,
    pub(super) freshness: Arc<StoreFreshness>,
}

/// Parts of the quarantine besides the pool and the directory.
pub(super) struct QuarantineParts {
    pub(super) quarantine_registry: Arc<QuarantineRegistry>,
    pub(super) clock: Arc<FleetClock>,
    pub(super) trials: Arc<dyn TrialPort>,
}

pub(super) fn assemble_gateway(
    settings: &GatewaySettings,
    ports: &Ports,
    registry: &Registry,
    generation: u64,
    peers: PeerPorts,
    quarantine: QuarantineParts,
) -> Result<Arc<Gateway>, NodeError> {
    let nodes = settings.expected_nodes.max(1);
    let pool = Pool::new(CONNECT_TIMEOUT);
    let directory: Arc<ArcSwap<Directory>> = Arc::default();
    let peer_notify: Arc<Notify> = Arc::default();
    let QuarantineParts { quarantine_registry, clock, trials } = quarantine;
    let gate = EngineGate::new(peers.permits, nodes, peer_notify.clone());
    let quarantine =
        Quarantine::new(quarantine_registry, pool.clone(), directory.clone(), clock.clone(), trials)
            .with_departures(gate.availability.departures());
    let retries = RetryAllowance {
        earned_percent: percent(settings.retry_ratio * RETRY_RATIO_EARNED),
        saved_percent: percent(settings.retry_ratio * RETRY_RATIO_SAVED),
        extra: settings.retry_extra * RETRY_EXTRA_USED,
        window: settings.retry_window,
    };
    let policy: Arc<ArcSwap<PolicyIndex>> = Arc::default();
    let admission = match settings.admission {
        true => Some(GroupAdmission::new(policy.clone(), AdmissionMetrics::new(registry)?)),
        false => None,
    };
    let forwarder = Arc::new(Forwarder {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        dialect: ports.dialect.clone(),
        pool,
        directory,
        backend_state: BackendState {
            pace: assemble_pace(settings),
            ..BackendState::new(settings.learn_speeds)
        },
        chooser: Chooser::new(settings.choice),
        placement: peers.placement,
        admission,
        gate,
        reachability: EngineReachability::default(),
        delegation: peers.delegation,
        demand: DemandTracker::new(settings.capacity_ahead),
        rollouts: RolloutRegistry::default()
            .for_generation(&settings.node, generation)
            .in_zone(&settings.zone),
        origins: StreamOrigins::new(peers.origins),
        move_on_reclaim: settings.move_on_reclaim,
        retries: RetryBudgets::new(retries, nodes),
        usage: UsageLedger::new(settings.usage_window)
            .for_generation(&settings.node, generation)
            .in_zone(&settings.zone),
        clock,
        quarantine: Arc::new(quarantine),
        metrics: GatewayMetrics::new(registry)?,
    });
    let tolerance = Tolerance {
        sustained: settings.quota_overage * QUOTA_OVERAGE_USED,
        in_window: settings.quota_overage,
        at_start: settings.quota_overage * QUOTA_OVERAGE_USED_AT_START,
        window: settings.quota_window,
    };
    let quotas = QuotaLimiter::new(settings.quota_slack * QUOTA_SLACK_USED, nodes)
        .with_tolerance(tolerance)
        .with_overdraft(settings.quota_overdraft)
        .with_generation(generation);
    let caller_limits = BudgetLimits::of_process(settings.memory_bytes, settings.descriptors);
    let caller_budget = CallerBudget::new(caller_limits);
    let planned_stop = PlannedStop::default();
    Ok(Arc::new(Gateway { policy, quotas, forwarder, caller_budget, peer_notify, planned_stop }))
}

fn assemble_pace(settings: &GatewaySettings) -> PaceTracker {
    if settings.paces_back_ends { PaceTracker::enabled() } else { PaceTracker::default() }
}

/// Converts a ratio to whole percent.
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}

pub(super) fn assemble_exchange(
    settings: &GatewaySettings,
    links: PeerLinks,
    gateway: &Arc<Gateway>,
    readiness: &Arc<Readiness>,
    status: &Arc<StoreStatus>,
    generation: u64,
) -> PeerExchange {
    let PeerLinks { network, members, delegation, store_eras, freshness } = links;
    let membership = Membership::new(
        settings.node.clone(),
        settings.zone.clone(),
        generation,
        MembershipTiming::default(),
    )
    .with_link(settings.link_mbps)
    .with_seeds(&settings.seeds, settings.advertised_peers)
    .with_broadcast();
    let directory = gateway.forwarder.directory.clone();
    let versions_changed: Arc<Notify> = Arc::default();
    let transfers = Arc::new(TransferPacer::new(settings.link_mbps));
    let policy_history: Arc<PolicyHistory> = Arc::default();
    PeerExchange {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps,
        address: settings.advertised_peers,
        seeds: settings.seeds.clone(),
        expected_nodes: settings.expected_nodes,
        generation,
        network,
        membership: MembershipActor::spawn(MembershipActor::new(membership, members.clone())),
        selector: NodeSelector::new(
            settings.node.clone(),
            settings.zone.clone(),
            settings.link_mbps,
            members.clone(),
            status.clone(),
        ),
        members,
        gateway: gateway.clone(),
        policy_actor: PolicyActor::spawn(PolicyActor::new(
            gateway.policy.clone(),
            policy_history.clone(),
            versions_changed.clone(),
        )),
        directory_actor: DirectoryActor::spawn(DirectoryActor::new(
            directory.clone(),
            gateway.clone(),
            status.clone(),
            versions_changed.clone(),
        )),
        directory,
        readiness: readiness.clone(),
        heartbeat_trigger: gateway.peer_notify.clone(),
        versions_changed,
        freshness,
        store_status: status.clone(),
        started: Instant::now(),
        demand_measured_at: Mutex::new(Instant::now()),
        urgent_summary_throttle: Default::default(),
        model_fit_throttle: Default::default(),
        model_report_throttle: Default::default(),
        directory_versions: PeerVersions::default(),
        store_eras,
        peer_restarts: PeerRestarts::default(),
        policies: PolicyDistribution::new(policy_history, transfers.clone()),
        transfers,
        delegation,
        zones: Default::default(),
        quarantine_request_throttle: Default::default(),
        reported_usage: Default::default(),
        usage_deltas: Mutex::default(),
    }
}
