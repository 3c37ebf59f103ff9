//! State of the duties that is stored with the lease and restored by the next holder: open usage windows,
//! needs of services, and orders.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_duties::{DutyCheckpoint, SavedOrder};
use beamwall_events::emit;
use beamwall_events::internal_events::{DutiesNotKept, DutiesTakenOver};
use beamwall_gateway::Gateway;
use beamwall_gateway::sizing::Needed;
use beamwall_model::ServiceName;
use beamwall_peer::compressed;
use beamwall_store::Checkpoint;

/// Maximum size of a checkpoint, as text: the platform limits the size of an object.
const CHECKPOINT_LIMIT_BYTES: usize = 256 << 10;

#[derive(Debug)]
struct State {
    first_open_window: u64,
    needs: BTreeMap<ServiceName, Needed>,
    /// Needs that the previous lease holder saved.
    inherited_needs: BTreeMap<ServiceName, Needed>,
    orders: Vec<SavedOrder>,
}

/// Saves and restores the state of the duties.
pub(super) struct DutyCheckpointer {
    gateway: Arc<Gateway>,
    state: Mutex<State>,
}

impl DutyCheckpointer {
    /// Starts without restored state: usage begins with the current window.
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        let (current, _) = gateway.forwarder.usage.window_at(gateway.forwarder.clock.now());
        let state = State {
            first_open_window: current,
            needs: BTreeMap::new(),
            inherited_needs: BTreeMap::new(),
            orders: Vec::new(),
        };
        Self { gateway, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The oldest usage window that is not fixed, as far as this node knows.
    pub(super) fn first_open_window(&self) -> u64 {
        self.lock().first_open_window
    }

    /// Records the oldest window that is not fixed.
    pub(super) fn note_first_open_window(&self, window: u64) {
        self.lock().first_open_window = window;
    }

    /// Records the needs of a service.
    pub(super) fn note_needs(&self, service: &ServiceName, needed: Needed) {
        self.lock().needs.insert(service.clone(), needed);
    }

    /// Needs of a service at the last evaluation of the previous lease holder.
    pub(super) fn inherited_needs(&self, service: &ServiceName) -> Option<Needed> {
        self.lock().inherited_needs.get(service).copied()
    }

    /// Records the current orders.
    pub(super) fn note_orders(&self, orders: Vec<SavedOrder>) {
        self.lock().orders = orders;
    }

    /// The last orders known to this node.
    pub(super) fn orders(&self) -> Vec<SavedOrder> {
        self.lock().orders.clone()
    }

    fn checkpoint(&self) -> DutyCheckpoint {
        let state = self.lock();
        let mut needs = state.inherited_needs.clone();
        needs.extend(state.needs.clone());
        DutyCheckpoint {
            first_open_window: Some(state.first_open_window),
            usage: self.gateway.forwarder.usage.to_checkpoint(state.first_open_window),
            needs,
            orders: state.orders.clone(),
        }
    }

    fn forget_orders(&self) {
        let mut state = self.lock();
        state.orders.clear();
        state.inherited_needs.clear();
    }

    fn resume_from(&self, saved: DutyCheckpoint) {
        let DutyCheckpoint { first_open_window, usage, needs, orders } = saved;
        let mut state = self.lock();
        if let Some(first) = first_open_window {
            state.first_open_window = state.first_open_window.min(first);
        }
        let requests: u64 = usage.windows.iter().flat_map(|window| window.counts.values()).sum();
        emit(&DutiesTakenOver {
            first_window: state.first_open_window.to_string(),
            windows: usage.windows.len().to_string(),
            requests: requests.to_string(),
            services: needs.len().to_string(),
        });
        state.inherited_needs = needs;
        state.orders = orders;
        self.gateway.forwarder.usage.restore_checkpoint(usage);
    }
}

impl Checkpoint for DutyCheckpointer {
    fn saved_state(&self) -> String {
        let text = compressed::encode(&self.checkpoint()).map(hex::encode);
        match text {
            Ok(text) if text.len() <= CHECKPOINT_LIMIT_BYTES => text,
            Ok(text) => {
                emit(&DutiesNotKept { reason: format!("{} bytes are too many", text.len()) });
                String::new()
            }
            Err(error) => {
                emit(&DutiesNotKept { reason: error.to_string() });
                String::new()
            }
        }
    }

    fn change_count(&self) -> u64 {
        self.gateway.forwarder.usage.changes()
    }

    fn restore(&self, saved: &str) {
        // A lease holder of an earlier build saves nothing, and its orders may differ from those of this
        // node's last term.
        if saved.is_empty() {
            return self.forget_orders();
        }
        let bytes = hex::decode(saved).map_err(|error| error.to_string());
        let read = bytes.and_then(|bytes| compressed::decode(&bytes).map_err(|error| error.to_string()));
        match read {
            Ok(checkpoint) => self.resume_from(checkpoint),
            Err(reason) => {
                emit(&DutiesNotKept { reason });
                self.forget_orders();
            }
        }
    }
}
