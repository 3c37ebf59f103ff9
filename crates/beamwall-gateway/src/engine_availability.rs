//! What engines say of themselves in their responses: that they leave, or that they want no requests from this
//! node for a while.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use beamwall_engine_limits::{KnownDepartures, KnownRests, RestNotice, UnreadableRest};
use beamwall_events::emit;
use beamwall_events::internal_events::{EngineLeaves, EngineRestUnreadable, EngineRests};
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::ports::ResponseHead;

/// The engines that leave or rest, as one node knows them.
#[derive(Debug, Default)]
pub struct EngineAvailability {
    departures: KnownDepartures,
    rests: KnownRests,
    /// Engines whose unreadable rest was logged.
    unreadable: Mutex<HashSet<BackendId>>,
}

impl EngineAvailability {
    /// Records what a response says about its engine.
    pub fn note_response(&self, backend: &BackendId, head: &ResponseHead) {
        if head.is_leaving {
            self.note_leaving(backend);
        }
        self.note_rest(backend, &head.rest);
    }

    fn note_leaving(&self, backend: &BackendId) {
        if self.departures.note(backend, Instant::now()) {
            emit(&EngineLeaves { backend: backend.to_string(), source: "response".to_owned() });
        }
    }

    fn note_rest(&self, backend: &BackendId, notice: &RestNotice) {
        let rest = match notice {
            RestNotice::NoRest => return,
            RestNotice::Unreadable(reason) => return self.report_unreadable(backend, reason),
            RestNotice::Rest(rest) => *rest,
        };
        let now = Instant::now();
        if self.rests.note(backend, now + rest, now) {
            emit(&EngineRests { backend: backend.to_string(), rest_ms: rest.as_millis().to_string() });
        }
    }

    fn report_unreadable(&self, backend: &BackendId, reason: &UnreadableRest) {
        let is_new = self.unreadable.lock().unwrap_or_else(PoisonError::into_inner).insert(backend.clone());
        if is_new {
            emit(&EngineRestUnreadable { backend: backend.to_string(), reason: reason.to_string() });
        }
    }

    /// Removes the state of engines that are not in the directory.
    pub fn retain_listed(&self, directory: &Directory) {
        self.departures.retain(|backend| directory.get(backend).is_some(), Instant::now());
        let mut unreadable = self.unreadable.lock().unwrap_or_else(PoisonError::into_inner);
        unreadable.retain(|backend| directory.get(backend).is_some());
    }
}
