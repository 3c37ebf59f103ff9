//! The paces of all servers at one node.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::ramp::Ramp;

/// Why a server has a pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceCause {
    /// It was listed for the first time.
    Started,
    /// It responds again after it could not be reached or wanted no requests.
    Returned,
}

impl PaceCause {
    /// The value used in logs and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Returned => "returned",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    ramps: HashMap<BackendId, Ramp>,
    /// Servers that are listed; empty before the first whole list.
    listed: HashSet<BackendId>,
}

/// The paces of all servers at one node, by generation of the server.
#[derive(Debug, Default)]
pub struct PaceTracker {
    is_enabled: bool,
    state: Mutex<State>,
}

impl PaceTracker {
    /// A tracker that sets paces.
    pub fn enabled() -> Self {
        Self { is_enabled: true, ..Self::default() }
    }

    /// Whether it sets paces.
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the whole list of servers and returns those that start with it. Servers of the first list are none of
    /// them: it is this node that has started. `is_listed` tells whether a server is still known.
    pub fn set_listed<'a>(
        &self,
        servers: impl Iterator<Item = &'a BackendId>,
        is_listed: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<BackendId> {
        if !self.is_enabled {
            return Vec::new();
        }
        let mut state = self.lock();
        let State { ramps, listed } = &mut *state;
        ramps.retain(|server, ramp| is_listed(server) && !ramp.is_over(now));
        let is_first_list = listed.is_empty();
        listed.retain(|server| is_listed(server));
        let added: Vec<BackendId> = servers.filter(|server| !listed.contains(*server)).cloned().collect();
        listed.extend(added.iter().cloned());
        if is_first_list {
            return Vec::new();
        }
        ramps.extend(added.iter().map(|server| (server.clone(), Ramp::new(now))));
        added
    }

    /// Records that a server takes requests again from `at` on. Returns whether it had no pace before.
    pub fn note_returned(&self, server: &BackendId, at: Instant) -> bool {
        if !self.is_enabled {
            return false;
        }
        self.lock().ramps.insert(server.clone(), Ramp::new(at)).is_none()
    }

    /// Records a response that took `ratio` times as long as expected.
    pub fn note_response(&self, server: &BackendId, ratio: f64, now: Instant) {
        if let Some(ramp) = self.lock().ramps.get_mut(server) {
            ramp.note_response(ratio, now);
        }
    }

    /// Records a request that failed at a server.
    pub fn note_failure(&self, server: &BackendId, now: Instant) {
        if let Some(ramp) = self.lock().ramps.get_mut(server) {
            ramp.note_failure(now);
        }
    }

    /// Part of the requests of an equal server that this one gets, 0 to 1.
    pub fn share(&self, server: &BackendId, now: Instant) -> f64 {
        share_of(&self.lock().ramps, server, now)
    }

    /// The shares of several servers in order; `None` if no server at all has a pace.
    pub fn shares<'a>(&self, servers: impl Iterator<Item = &'a BackendId>, now: Instant) -> Option<Vec<f64>> {
        let state = self.lock();
        if state.ramps.is_empty() {
            return None;
        }
        Some(servers.map(|server| share_of(&state.ramps, server, now)).collect())
    }

    /// Number of servers with a pace.
    pub fn paced(&self, now: Instant) -> usize {
        let mut state = self.lock();
        state.ramps.retain(|_, ramp| !ramp.is_over(now));
        state.ramps.len()
    }
}

fn share_of(ramps: &HashMap<BackendId, Ramp>, server: &BackendId, now: Instant) -> f64 {
    let ramp = ramps.get(server).filter(|ramp| !ramp.is_over(now));
    ramp.map_or(1.0, |ramp| ramp.share(now))
}
