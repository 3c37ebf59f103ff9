//! Control duties of a zone under a lease: orders to its back ends, and its machines.
//!
//! Only a few nodes contend for the lease, so that the platform is not asked by all. The holder is
//! the only one to give orders to the zone's back ends and cloud.

mod machines;
mod orders;

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{LeaseLost, LeaseTaken};
use beamwall_store::{Lease, LeaseState};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::shared::{Shared, lock};
use crate::tasks::control::machines::ZoneMachines;

/// Nodes that contend for one lease.
const CONTENDERS: usize = 2;
/// Time between looks at what is to be done.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Contends for the zone's coordination and carries it out, until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let name = format!("coordinator-{}", shared.settings.zone);
    let mut contending: Option<(JoinHandle<()>, watch::Receiver<LeaseState>)> = None;
    let mut held: Option<u64> = None;
    let mut machines = ZoneMachines::default();
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
        if held != epoch {
            machines = ZoneMachines::default();
        }
        held = epoch;
        if let (Some(epoch), Some((_, state))) = (epoch, &contending) {
            orders::order_loads(&shared, epoch, state).await;
            machines.step(&shared, epoch).await;
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
    shared.is_chosen_in_zone(name.as_bytes(), CONTENDERS)
}

fn contend(shared: &Shared, name: &str) -> (JoinHandle<()>, watch::Receiver<LeaseState>) {
    let (lease, state) = Lease::new(name, shared.settings.node.clone(), shared.store.clone());
    let lease = lease.with_address(shared.settings.peers);
    lock(&shared.leases).insert(name.to_owned(), state.clone());
    (tokio::spawn(lease.run()), state)
}
