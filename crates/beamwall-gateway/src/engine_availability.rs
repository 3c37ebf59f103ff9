//! What engines say of themselves in their responses: that they leave, or that they want no requests from this
//! node for a while.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beamwall_engine_limits::{DepartureReport, KnownDepartures, KnownRests, RestNotice, UnreadableRest};
use beamwall_events::emit;
use beamwall_events::internal_events::{EngineLeaves, EngineRestUnreadable, EngineRests};
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::ports::ResponseHead;

/// Longest time that is added to an engine's rest, and its part of the rest: nodes that it rejected together do
/// not return to it together.
const LONGEST_RETURN_SPREAD: Duration = Duration::from_millis(500);
const RETURN_SPREAD_FRACTION: f64 = 0.125;

/// Why an engine takes no requests from this node, whatever the list of back ends says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// It announced that it leaves.
    Leaving,
    /// It wants nothing from this node for so long.
    Resting(Duration),
}

impl fmt::Display for Unavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leaving => write!(formatter, "the engine leaves by its own word"),
            Self::Resting(left) => {
                write!(formatter, "the engine wants no requests for {} ms", left.as_millis())
            }
        }
    }
}

/// The engines that leave or rest, as one node knows them.
#[derive(Debug, Default)]
pub struct EngineAvailability {
    departures: Arc<KnownDepartures>,
    rests: KnownRests,
    /// Engines whose unreadable rest was logged.
    unreadable: Mutex<HashSet<BackendId>>,
}

impl EngineAvailability {
    /// The departures that engines announced.
    pub fn departures(&self) -> Arc<KnownDepartures> {
        self.departures.clone()
    }

    /// Whether an engine takes requests from this node now, as far as its own words tell.
    pub fn check(&self, backend: &BackendId) -> Result<(), Unavailable> {
        if self.departures.is_leaving(backend) {
            return Err(Unavailable::Leaving);
        }
        match self.rests.remaining(backend, Instant::now()) {
            Some(left) => Err(Unavailable::Resting(left)),
            None => Ok(()),
        }
    }

    /// The engines that take no requests from any node.
    pub fn leaving(&self) -> Vec<BackendId> {
        self.departures.leaving()
    }

    /// The engines that want nothing from this node now.
    pub fn resting(&self) -> Vec<BackendId> {
        self.rests.resting(Instant::now())
    }

    /// Records what a response says about its engine. Returns whether peers should learn of it at once.
    pub fn note_response(&self, backend: &BackendId, head: &ResponseHead) -> bool {
        self.note_rest(backend, &head.rest);
        let is_news = head.is_leaving && self.departures.note(backend, Instant::now());
        if is_news {
            emit(&EngineLeaves { backend: backend.to_string(), source: "response".to_owned() });
        }
        is_news
    }

    /// Records that an engine was listed as leaving before the store was restored.
    pub fn note_left(&self, backend: &BackendId) {
        if self.departures.note(backend, Instant::now()) {
            emit(&EngineLeaves {
                backend: backend.to_string(),
                source: "earlier era of the store".to_owned(),
            });
        }
    }

    /// Takes over the departures that a peer knows. `source` names the message in the log.
    pub fn merge_departures(&self, reports: &[DepartureReport], source: &str) {
        let now = Instant::now();
        for report in reports.iter().filter(|report| self.departures.merge(report, now)) {
            emit(&EngineLeaves { backend: report.backend.to_string(), source: source.to_owned() });
        }
    }

    /// The departures to be reported to peers.
    pub fn departure_reports(&self) -> Vec<DepartureReport> {
        self.departures.reports(Instant::now())
    }

    fn note_rest(&self, backend: &BackendId, notice: &RestNotice) {
        let rest = match notice {
            RestNotice::NoRest => return,
            RestNotice::Unreadable(reason) => return self.report_unreadable(backend, reason),
            RestNotice::Rest(rest) => *rest,
        };
        let now = Instant::now();
        if self.rests.note(backend, now + rest + return_spread(rest), now) {
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

fn return_spread(rest: Duration) -> Duration {
    rest.mul_f64(RETURN_SPREAD_FRACTION).min(LONGEST_RETURN_SPREAD).mul_f64(rand::random())
}
