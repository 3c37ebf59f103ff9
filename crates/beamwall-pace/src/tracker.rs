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
    /// Servers that are listed; `None` before the first whole list.
    listed: Option<HashSet<BackendId>>,
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the list of servers and returns those that start with it. Servers of the first list are none of them:
    /// it is this node that has started.
    pub fn set_listed<'a>(
        &self,
        servers: impl Iterator<Item = &'a BackendId>,
        now: Instant,
    ) -> Vec<BackendId> {
        if !self.is_enabled {
            return Vec::new();
        }
        let listed: HashSet<BackendId> = servers.cloned().collect();
        let mut state = self.lock();
        let State { ramps, listed: known } = &mut *state;
        ramps.retain(|server, ramp| listed.contains(server) && !ramp.is_over(now));
        let before = known.replace(listed);
        let (Some(before), Some(listed)) = (before, &*known) else { return Vec::new() };
        let started: Vec<BackendId> = listed.difference(&before).cloned().collect();
        ramps.extend(started.iter().map(|server| (server.clone(), Ramp::new(now))));
        started
    }

    /// Records that a server returns. Returns whether it had no pace before.
    pub fn note_returned(&self, server: &BackendId, now: Instant) -> bool {
        if !self.is_enabled {
            return false;
        }
        self.lock().ramps.insert(server.clone(), Ramp::new(now)).is_none()
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
        let state = self.lock();
        let ramp = state.ramps.get(server).filter(|ramp| !ramp.is_over(now));
        ramp.map_or(1.0, |ramp| ramp.share(now))
    }

    /// Number of servers with a pace.
    pub fn paced(&self, now: Instant) -> usize {
        let mut state = self.lock();
        state.ramps.retain(|_, ramp| !ramp.is_over(now));
        state.ramps.len()
    }
}
