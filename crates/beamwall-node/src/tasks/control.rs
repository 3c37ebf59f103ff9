//! Control duties under leases: planning for the deployment, and coordinating one zone.
//!
//! Only a few nodes contend for each lease, so that the platform is not asked by all. The
//! coordinator of a zone is the only one to give orders to that zone's back ends and cloud.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_config::Service;
use beamwall_events::emit;
use beamwall_events::internal_events::{
    LeaseLost, LeaseTaken, MachineReleased, MachineRequested, OrderGiven, OrderRefused,
};
use beamwall_fleet::order::{Order, OrderKind};
use beamwall_fleet::planner::{HeldMachine, MachineStart, PlacementPlan, PlanningInput, plan};
use beamwall_fleet::{BackendView, EngineClient, LeavingSource};
use beamwall_model::{BackendId, NodeId, ZoneName, rendezvous};
use beamwall_peer::MemberState;
use beamwall_platform::CloudError;
use beamwall_platform::cloud::MachineRequest;
use beamwall_platform::object::ABSENT;
use beamwall_platform::{Lease, LeaseState, Object, Settled, put_settled};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::actors::fleet::MarkLeaving;
use crate::shared::{Shared, lock};

/// Nodes that contend for one lease.
const CONTENDERS: usize = 2;
/// Time between looks at what is to be done.
const PERIOD: Duration = Duration::from_millis(1_000);
/// Longest order.
const ORDER_LIMIT: Duration = Duration::from_millis(800);
/// Time for which a plan must ask for a stop before a machine is given back.
const STOP_HYSTERESIS: Duration = Duration::from_secs(30);
/// Time for which a refused start is remembered.
const REFUSAL_MEMORY: Duration = Duration::from_secs(20);
/// Starts asked for in one period.
const STARTS_PER_PERIOD: usize = 4;

/// An order's intent, written before it is sent to a back end that does not check epochs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Intent {
    epoch: u64,
    plan_revision: u64,
    order: String,
    node: String,
}

/// Memory of one coordinator.
#[derive(Debug, Default)]
struct Coordinator {
    stop_wanted: HashMap<BackendId, Instant>,
    refused: Vec<(ZoneName, bool, Instant)>,
    starts_made: u64,
    /// Starts whose answer was lost: asked for again under the same identifier.
    undecided: Vec<MachineRequest>,
}

impl Coordinator {
    /// The request for a machine: one whose answer was lost, or a new one.
    fn next_request(&mut self, start: &MachineStart, epoch: u64) -> MachineRequest {
        let same = |request: &MachineRequest| {
            request.class == start.class
                && request.reclaimable == start.reclaimable
                && request.service == start.service
        };
        if let Some(position) = self.undecided.iter().position(same) {
            return self.undecided.swap_remove(position);
        }
        self.starts_made += 1;
        MachineRequest {
            request: format!("{}-{epoch}-{}", start.zone, self.starts_made),
            zone: start.zone.clone(),
            class: start.class.clone(),
            reclaimable: start.reclaimable,
            service: start.service.clone(),
        }
    }
}

/// Contends for the zone's coordination and carries it out, until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let name = format!("coordinator-{}", shared.settings.zone);
    let mut contending: Option<(JoinHandle<()>, watch::Receiver<LeaseState>)> = None;
    let mut held: Option<u64> = None;
    let mut coordinator = Coordinator::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        contending = match (is_contender(&shared, &name), contending) {
            (true, None) => Some(contend(&shared, &name)),
            (false, Some((task, _))) => {
                task.abort();
                lock(&shared.leases).remove(&name);
                None
            }
            (_, unchanged) => unchanged,
        };
        let epoch = contending.as_ref().and_then(|(_, state)| state.borrow().held_epoch());
        log_lease(&name, held, epoch);
        if held.is_none() {
            coordinator = Coordinator::default();
        }
        held = epoch;
        if let (Some(epoch), Some((_, state))) = (epoch, &contending) {
            coordinate(&shared, epoch, state, &mut coordinator).await;
        }
    }
}

fn log_lease(name: &str, before: Option<u64>, now: Option<u64>) {
    let lease = name.to_owned();
    match (before, now) {
        (None, Some(epoch)) => emit(&LeaseTaken { lease, epoch: epoch.to_string() }),
        (Some(epoch), None) => emit(&LeaseLost { lease, epoch: epoch.to_string() }),
        _ => {}
    }
}

fn is_contender(shared: &Shared, name: &str) -> bool {
    if shared.is_draining() || !shared.is_ready() {
        return false;
    }
    let members = shared.members.load();
    let own = &shared.settings.node;
    let in_zone = members
        .members
        .iter()
        .filter(|member| member.zone == shared.settings.zone && member.state == MemberState::Alive);
    let nodes: Vec<NodeId> =
        in_zone.map(|member| member.node.clone()).chain(std::iter::once(own.clone())).collect();
    rendezvous::choose(name.as_bytes(), &nodes, CONTENDERS, NodeId::as_str)
        .into_iter()
        .any(|node| node == own)
}

fn contend(shared: &Shared, name: &str) -> (JoinHandle<()>, watch::Receiver<LeaseState>) {
    let (lease, state) = Lease::new(name, shared.settings.node.clone(), shared.store.clone());
    lock(&shared.leases).insert(name.to_owned(), state.clone());
    (tokio::spawn(lease.run()), state)
}

async fn coordinate(
    shared: &Arc<Shared>,
    epoch: u64,
    lease: &watch::Receiver<LeaseState>,
    coordinator: &mut Coordinator,
) {
    let tree = shared.tree.load_full();
    let view = shared.dispatcher.view.load_full();
    for service in tree.resolved.services.values() {
        for backend in view.of_service(&service.name) {
            if backend.backend.zone == shared.settings.zone && needs_load(backend, service) {
                let kind = OrderKind::Load { model: service.model.clone(), version: service.version.clone() };
                let order = Order { epoch, plan_revision: tree.revision, kind };
                give_order(shared, backend, service, &order, lease).await;
            }
        }
    }
    if let Some(plan) = make_plan(shared, coordinator).await {
        carry_out(shared, &plan, epoch, coordinator).await;
    }
}

fn needs_load(backend: &BackendView, service: &Service) -> bool {
    let is_model = service.service_type == beamwall_config::ServiceType::Model;
    let other = |report: &beamwall_fleet::BackendReport| {
        report.model != service.model || report.version != service.version
    };
    is_model && backend.accepts_work() && backend.report.as_ref().is_some_and(other)
}

/// Gives an order. For back ends that do not check epochs the intent is written first, so that a
/// successor finds it, and the lease is looked at again right before sending.
async fn give_order(
    shared: &Arc<Shared>,
    backend: &BackendView,
    service: &Service,
    order: &Order,
    lease: &watch::Receiver<LeaseState>,
) {
    if !service.orders_checked && !write_intent(shared, backend, order).await {
        return;
    }
    if lease.borrow().held_epoch() != Some(order.epoch) {
        return;
    }
    let client = EngineClient::new(shared.dispatcher.pool.clone(), backend.backend.address, ORDER_LIMIT);
    let name = order.kind.as_str().to_owned();
    let id = backend.backend.id.to_string();
    match client.order(order).await {
        Ok(()) => emit(&OrderGiven { backend: id, order: name, epoch: order.epoch.to_string() }),
        Err(error) => emit(&OrderRefused {
            backend: id,
            order: name,
            epoch: order.epoch.to_string(),
            reason: error.to_string(),
        }),
    }
}

async fn write_intent(shared: &Arc<Shared>, backend: &BackendView, order: &Order) -> bool {
    let key = format!("orders/{}", backend.backend.id);
    let intent = Intent {
        epoch: order.epoch,
        plan_revision: order.plan_revision,
        order: order.kind.as_str().to_owned(),
        node: shared.settings.node.to_string(),
    };
    let Ok(found) = shared.store.get(&key).await else { return false };
    let known = found.as_ref().and_then(|object| serde_json::from_slice::<Intent>(&object.value).ok());
    if known.as_ref().is_some_and(|known| known.epoch > order.epoch) {
        return false;
    }
    if known.as_ref() == Some(&intent) {
        return true;
    }
    let Ok(value) = serde_json::to_vec(&intent) else { return false };
    let mine = |object: &Object| object.value.as_ref() == value.as_slice();
    let version = found.map_or(ABSENT, |object| object.version);
    let deadline = Instant::now() + shared.control_limit();
    let written = put_settled(&shared.store, &key, version, value.clone().into(), deadline, mine).await;
    matches!(written, Ok(Settled::Written(_)))
}

/// The plan for this zone, made from the machine list; `None` when the cloud does not answer.
async fn make_plan(shared: &Arc<Shared>, coordinator: &mut Coordinator) -> Option<PlacementPlan> {
    coordinator.refused.retain(|(_, _, since)| since.elapsed() < REFUSAL_MEMORY);
    let tree = shared.tree.load_full();
    if tree.resolved.placements.is_empty() {
        return None;
    }
    let machines = shared.cloud.machines().await.ok()?;
    let offers = shared.cloud.offers().await.ok()?;
    let view = shared.dispatcher.view.load_full();
    let stays = |id: &BackendId| view.backend(id).is_none_or(|backend| !backend.leaving);
    let running = |machine: &&beamwall_platform::Machine| {
        machine.state != beamwall_platform::MachineState::Leaving && stays(&machine.id)
    };
    let held = machines.iter().filter(running).map(|machine| HeldMachine {
        id: machine.id.clone(),
        zone: machine.zone.clone(),
        service: machine.service.clone(),
        reclaimable: machine.reclaimable,
        price_micros_per_hour: machine.price_micros_per_hour,
    });
    let input = PlanningInput {
        placements: tree.resolved.placements.clone(),
        machines: held.collect(),
        offers,
        refused: coordinator.refused.iter().map(|(zone, kind, _)| (zone.clone(), *kind)).collect(),
    };
    Some(plan(&input))
}

async fn carry_out(shared: &Arc<Shared>, plan: &PlacementPlan, epoch: u64, coordinator: &mut Coordinator) {
    let in_zone = |start: &&MachineStart| start.zone == shared.settings.zone;
    for start in plan.starts.iter().filter(in_zone).take(STARTS_PER_PERIOD) {
        request_machine(shared, start, epoch, coordinator).await;
    }
    let view = shared.dispatcher.view.load_full();
    let in_zone = |id: &&BackendId| {
        view.backend(id).is_some_and(|backend| backend.backend.zone == shared.settings.zone)
    };
    let wanted: Vec<BackendId> = plan.stops.iter().filter(in_zone).cloned().collect();
    coordinator.stop_wanted.retain(|id, _| wanted.contains(id));
    for id in wanted {
        let since = *coordinator.stop_wanted.entry(id.clone()).or_insert_with(Instant::now);
        if since.elapsed() >= STOP_HYSTERESIS {
            let _ = shared.fleet_actor.ask(MarkLeaving(vec![(id, LeavingSource::Plan, None)])).await;
        }
    }
    release_idle(shared).await;
}

async fn request_machine(
    shared: &Arc<Shared>,
    start: &MachineStart,
    epoch: u64,
    coordinator: &mut Coordinator,
) {
    let request = coordinator.next_request(start, epoch);
    let result = shared.cloud.start(&request).await;
    match &result {
        Ok(_) => {}
        Err(CloudError::Refused(_)) => {
            coordinator.refused.push((start.zone.clone(), start.reclaimable, Instant::now()));
        }
        Err(CloudError::Unavailable(_)) => coordinator.undecided.push(request),
    }
    emit(&MachineRequested {
        zone: start.zone.to_string(),
        class: start.class.clone(),
        result: result.map_or_else(|error| error.to_string(), |machine| machine.id.to_string()),
    });
}

/// Gives back machines that the plan marked and that have no requests left.
async fn release_idle(shared: &Arc<Shared>) {
    let view = shared.dispatcher.view.load_full();
    for backend in view.backends().filter(|backend| backend.backend.zone == shared.settings.zone) {
        if backend.released && backend.requests() == 0 && shared.cloud.stop(&backend.backend.id).await.is_ok()
        {
            emit(&MachineReleased {
                machine: backend.backend.id.to_string(),
                reason: "not needed".to_owned(),
            });
        }
    }
}
