//! Orders to the back ends of a zone, fenced by the epoch of the zone's lease.

use std::sync::Arc;
use std::time::Duration;

use beamwall_config::{Service, ServiceType};
use beamwall_events::emit;
use beamwall_events::internal_events::{OrderGiven, OrderRefused};
use beamwall_fleet::order::{Order, OrderKind};
use beamwall_fleet::{BackendReport, BackendView, EngineClient};
use beamwall_store::object::ABSENT;
use beamwall_store::{LeaseState, Object, Settled, put_settled};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::shared::Shared;

/// Longest order.
const ORDER_LIMIT: Duration = Duration::from_millis(800);

/// An order's intent, written before it is sent to a back end that does not check epochs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Intent {
    epoch: u64,
    plan_revision: u64,
    order: String,
    node: String,
}

/// Orders every engine of the zone to load what the settings say.
pub async fn order_loads(shared: &Arc<Shared>, epoch: u64, lease: &watch::Receiver<LeaseState>) {
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
}

fn needs_load(backend: &BackendView, service: &Service) -> bool {
    let is_model = service.service_type == ServiceType::Model;
    let other = |report: &BackendReport| report.model != service.model || report.version != service.version;
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
    written.ok().and_then(Settled::written_version).is_some()
}
