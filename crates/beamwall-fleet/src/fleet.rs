//! The `Fleet` aggregate: all back ends with their reports and leaving marks.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::{BackendId, ZoneName};
use beamwall_store::{Machine, MachineState};
use tokio::time::Instant;

use crate::backend::{Backend, BackendReport};
use crate::leaving::{LeavingMarks, LeavingSource};
use crate::local_load::LocalLoad;
use crate::view::{BackendView, FleetView};

/// Consecutive failed polls, by any observers, after which a back end is considered down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Maximum age of a load report when it is received.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Past counts of own requests kept for comparison with delayed reports.
const MAX_OWN_COUNTS: usize = 16;
/// Time after which an unresponsive back end that is no longer in the machine list is removed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

/// A change that is logged and sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// A source reported a back end as leaving.
    Leaving(BackendId, LeavingSource),
    /// A back end stopped responding to polls.
    Down(BackendId),
    /// A back end responds to polls for the first time or again.
    Up(BackendId, ZoneName),
}

/// Open requests and pending tokens of this node at a back end at one time.
#[derive(Debug, Clone, Copy)]
struct OwnCount {
    at: Instant,
    requests: u32,
    tokens: u32,
}

#[derive(Debug)]
struct Entry {
    backend: Backend,
    report: Option<BackendReport>,
    newest_by_observer: BTreeMap<String, u64>,
    failures: u32,
    leaving: LeavingMarks,
    load: Arc<LocalLoad>,
    own_counts: VecDeque<OwnCount>,
    listed: bool,
    unlisted_since: Instant,
}

/// All back ends with their reports and leaving marks.
#[derive(Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<BackendId, Entry>,
    unlisted_marks: BTreeMap<BackendId, LeavingMarks>,
}

impl Fleet {
    /// Applies the machine list. The list lags behind, so a machine that is missing from it is kept while its
    /// back end responds to polls.
    pub fn apply_machines(&mut self, machines: &[Machine], now: Instant) -> Vec<FleetChange> {
        for entry in self.entries.values_mut().filter(|entry| entry.listed) {
            let is_listed = machines.iter().any(|machine| machine.id == entry.backend.id);
            if !is_listed {
                entry.listed = false;
                entry.unlisted_since = now;
            }
        }
        let mut changes = Vec::new();
        for machine in machines.iter().filter(|machine| machine.state != MachineState::Starting) {
            self.list_machine(machine, now);
            if machine.state == MachineState::Leaving {
                changes.extend(self.mark_leaving(&machine.id, LeavingSource::List, None));
            }
        }
        self.entries.retain(|_, entry| !entry.is_expired(now));
        changes
    }

    fn list_machine(&mut self, machine: &Machine, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&machine.id) {
            entry.backend = Backend::from(machine);
            entry.listed = true;
            return;
        }
        let leaving = self.unlisted_marks.remove(&machine.id).unwrap_or_default();
        let entry = Entry {
            backend: Backend::from(machine),
            report: None,
            newest_by_observer: BTreeMap::new(),
            failures: 0,
            leaving,
            load: Arc::default(),
            own_counts: VecDeque::new(),
            listed: true,
            unlisted_since: now,
        };
        self.entries.insert(machine.id.clone(), entry);
    }

    /// Applies a poll result of this node or of a peer. Returns `None` if it is not newer than the last one
    /// from the same observer, or if the back end is unknown.
    pub fn apply_report(&mut self, report: BackendReport) -> Option<Vec<FleetChange>> {
        let entry = self.entries.get_mut(&report.backend)?;
        let newest = entry.newest_by_observer.entry(report.observer.to_string()).or_insert(0);
        if report.sequence <= *newest {
            return None;
        }
        *newest = report.sequence;
        let mut changes = entry.update_health(&report);
        if !report.up {
            return Some(changes);
        }
        entry.record_own_load(report.received_at);
        let id = report.backend.clone();
        let leaving = report.leaving;
        entry.report = Some(report);
        if leaving {
            changes.extend(self.mark_leaving(&id, LeavingSource::Engine, None));
        } else if let Some(entry) = self.entries.get_mut(&id) {
            entry.leaving.unmark(LeavingSource::Engine);
        }
        Some(changes)
    }

    /// Marks a back end as leaving. A mark for a back end that is not listed yet is kept and applied when it
    /// is listed.
    pub fn mark_leaving(
        &mut self,
        id: &BackendId,
        source: LeavingSource,
        deadline: Option<Instant>,
    ) -> Option<FleetChange> {
        let leaving = match self.entries.get_mut(id) {
            Some(entry) => &mut entry.leaving,
            None => self.unlisted_marks.entry(id.clone()).or_default(),
        };
        leaving.mark(source, deadline).then(|| FleetChange::Leaving(id.clone(), source))
    }

    /// Removes the mark that a source has set on a back end.
    pub fn unmark(&mut self, id: &BackendId, source: LeavingSource) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.leaving.unmark(source);
        }
    }

    /// Leaving marks to send to other nodes: back end, source and deadline.
    pub fn leaving_marks(&self) -> Vec<(BackendId, LeavingSource, Option<Instant>)> {
        let listed = self.entries.iter().map(|(id, entry)| (id, &entry.leaving));
        let all = listed.chain(self.unlisted_marks.iter());
        all.flat_map(|(id, leaving)| {
            leaving.sources().map(move |(source, deadline)| (id.clone(), source, deadline))
        })
        .collect()
    }

    /// The back ends to poll.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.entries.values().map(|entry| &entry.backend)
    }

    /// The newest successful poll of each back end that has one.
    pub fn reports(&self) -> impl Iterator<Item = &BackendReport> {
        self.entries.values().filter_map(|entry| entry.report.as_ref())
    }

    /// The newest successful poll of a back end.
    pub fn report(&self, id: &BackendId) -> Option<&BackendReport> {
        self.entries.get(id)?.report.as_ref()
    }

    /// Creates an immutable snapshot for the request path.
    pub fn view(&self) -> FleetView {
        FleetView::new(self.entries.values().map(Entry::view).collect())
    }
}

impl Entry {
    fn update_health(&mut self, report: &BackendReport) -> Vec<FleetChange> {
        let id = report.backend.clone();
        let was_down = self.failures >= FAILURES_UNTIL_DOWN;
        if report.up {
            let came_up = was_down || self.report.is_none();
            self.failures = 0;
            return if came_up { vec![FleetChange::Up(id, self.backend.zone.clone())] } else { Vec::new() };
        }
        self.failures = self.failures.saturating_add(1);
        let is_down = self.failures >= FAILURES_UNTIL_DOWN;
        if is_down && !was_down { vec![FleetChange::Down(id)] } else { Vec::new() }
    }

    /// Records the open requests of this node and determines which of them a report received now includes.
    /// The report describes the back end as it was [`REPORT_LAG`] ago.
    fn record_own_load(&mut self, received_at: Instant) {
        let now = OwnCount {
            at: received_at,
            requests: self.load.open_requests(),
            tokens: self.load.pending_tokens(),
        };
        self.own_counts.push_back(now);
        if self.own_counts.len() > MAX_OWN_COUNTS {
            self.own_counts.pop_front();
        }
        let old_enough = |count: &&OwnCount| received_at.duration_since(count.at) >= REPORT_LAG;
        if let Some(at_report) = self.own_counts.iter().rev().find(old_enough) {
            self.load.set_reported(at_report.requests, at_report.tokens);
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let unresponsive = self.failures >= FAILURES_UNTIL_DOWN || self.report.is_none();
        !self.listed && unresponsive && now.duration_since(self.unlisted_since) >= UNLISTED_RETENTION
    }

    fn view(&self) -> BackendView {
        BackendView {
            backend: self.backend.clone(),
            report: self.report.clone(),
            leaving: self.leaving.is_leaving(),
            released: self.leaving.has(LeavingSource::Plan),
            deadline: self.leaving.deadline(),
            down: self.failures >= FAILURES_UNTIL_DOWN,
            load: self.load.clone(),
        }
    }
}
