//! Owner of the fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_config::Service;
use beamwall_events::emit;
use beamwall_events::internal_events::{BackendDown, BackendLeaving, BackendUp};
use beamwall_fleet::backend::QuantisedReport;
use beamwall_fleet::{BackendReport, Fleet, FleetChange, LeavingSource};
use beamwall_model::BackendId;
use beamwall_request::Dispatcher;
use beamwall_store::Machine;
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::time::Instant;

use crate::shared::ActiveTree;

/// Time after which a report is told again although nothing changed.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);

/// Owner of the fleet.
#[derive(Actor)]
pub struct FleetActor {
    fleet: Fleet,
    dispatcher: Arc<Dispatcher>,
    tree: Arc<ArcSwap<ActiveTree>>,
    unpublished: bool,
    untold: HashMap<BackendId, (BackendReport, u8)>,
    told: HashMap<BackendId, (QuantisedReport, Instant)>,
}

impl FleetActor {
    /// An owner that publishes to the dispatcher.
    pub fn new(dispatcher: Arc<Dispatcher>, tree: Arc<ArcSwap<ActiveTree>>) -> Self {
        Self {
            fleet: Fleet::default(),
            dispatcher,
            tree,
            unpublished: false,
            untold: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// Logs changes and publishes at once when work must be routed otherwise.
    fn after(&mut self, changes: &[FleetChange]) -> bool {
        for change in changes {
            self.log(change);
        }
        self.unpublished = true;
        // A back end that came up can wait for the next regular publication; one that must get no
        // more work cannot.
        if changes.iter().any(|change| !matches!(change, FleetChange::Up(..))) {
            self.publish();
        }
        changes.iter().any(|change| matches!(change, FleetChange::Leaving(..)))
    }

    fn log(&self, change: &FleetChange) {
        match change {
            FleetChange::Leaving(id, source) => {
                emit(&BackendLeaving { backend: id.to_string(), source: source.as_str().to_owned() });
            }
            FleetChange::Down(id) => {
                self.dispatcher.prefixes.remove_engine(id);
                emit(&BackendDown { backend: id.to_string(), reason: "polls failed".to_owned() });
            }
            FleetChange::Up(id, zone) => emit(&BackendUp { backend: id.to_string(), zone: zone.to_string() }),
        }
    }

    /// Keeps a report for the next heartbeats, unless a like one was told lately.
    fn keep_for_telling(&mut self, report: &BackendReport, tell: Tell) {
        let times = match tell {
            Tell::No => return,
            Tell::Times(times) => times,
        };
        let quantised = report.quantise();
        let is_known = self.told.get(&report.backend).is_some_and(|(told, at)| {
            *told == quantised && report.received_at.duration_since(*at) < REFRESH_PERIOD
        });
        if !is_known {
            self.told.insert(report.backend.clone(), (quantised, report.received_at));
            self.untold.insert(report.backend.clone(), (report.clone(), times));
        }
    }

    fn publish(&mut self) {
        self.unpublished = false;
        let tree = self.tree.load();
        let services: Vec<&Service> = tree.resolved.services.values().collect();
        self.dispatcher.set_view(self.fleet.view(), &services);
    }
}

/// The machine list as read.
pub struct ApplyMachines(pub Vec<Machine>);

impl Message<ApplyMachines> for FleetActor {
    type Reply = bool;

    async fn handle(&mut self, message: ApplyMachines, _: &mut Context<Self, Self::Reply>) -> bool {
        let changes = self.fleet.apply_machines(&message.0, Instant::now());
        self.after(&changes)
    }
}

/// In how many heartbeats a report is told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tell {
    /// In none: all who need it have it from its observer.
    No,
    /// In the next few.
    Times(u8),
}

/// Poll results.
pub struct ApplyReports {
    /// The results.
    pub reports: Vec<BackendReport>,
    /// Whether to tell peers of them.
    pub tell: Tell,
}

impl Message<ApplyReports> for FleetActor {
    type Reply = bool;

    async fn handle(&mut self, message: ApplyReports, _: &mut Context<Self, Self::Reply>) -> bool {
        let mut urgent = false;
        for report in message.reports {
            let Some(changes) = self.fleet.apply_report(report.clone()) else { continue };
            self.keep_for_telling(&report, message.tell);
            urgent |= self.after(&changes);
        }
        urgent
    }
}

/// Back ends are leaving.
pub struct MarkLeaving(pub Vec<(BackendId, LeavingSource, Option<Instant>)>);

impl Message<MarkLeaving> for FleetActor {
    type Reply = bool;

    async fn handle(&mut self, message: MarkLeaving, _: &mut Context<Self, Self::Reply>) -> bool {
        let mark = |(id, source, deadline): &(BackendId, LeavingSource, Option<Instant>)| {
            self.fleet.mark_leaving(id, *source, *deadline)
        };
        let changes: Vec<FleetChange> = message.0.iter().filter_map(mark).collect();
        if changes.is_empty() { false } else { self.after(&changes) }
    }
}

/// The plan wants a back end again.
pub struct UnmarkPlan(pub BackendId);

impl Message<UnmarkPlan> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, message: UnmarkPlan, _: &mut Context<Self, Self::Reply>) {
        self.fleet.unmark(&message.0, LeavingSource::Plan);
        self.unpublished = true;
    }
}

/// Publishes if something changed since the last time.
pub struct Publish;

impl Message<Publish> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _: Publish, _: &mut Context<Self, Self::Reply>) {
        if self.unpublished {
            self.publish();
        }
    }
}

/// Asks for the newest report of every back end, for a node that has just joined.
pub struct AllReports;

impl Message<AllReports> for FleetActor {
    type Reply = Vec<BackendReport>;

    async fn handle(&mut self, _: AllReports, _: &mut Context<Self, Self::Reply>) -> Vec<BackendReport> {
        self.fleet.reports().cloned().collect()
    }
}

/// What to tell peers.
#[derive(Debug, Default, kameo::Reply)]
pub struct FleetNews {
    /// Poll results since the last time.
    pub reports: Vec<BackendReport>,
    /// Marks in force.
    pub leaving: Vec<(BackendId, LeavingSource, Option<Instant>)>,
}

/// Takes what to tell peers.
pub struct TakeNews;

impl Message<TakeNews> for FleetActor {
    type Reply = FleetNews;

    async fn handle(&mut self, _: TakeNews, _: &mut Context<Self, Self::Reply>) -> FleetNews {
        let reports = self.untold.values().map(|(report, _)| report.clone()).collect();
        self.untold.retain(|_, (_, times)| {
            *times = times.saturating_sub(1);
            *times > 0
        });
        FleetNews { reports, leaving: self.fleet.leaving_marks() }
    }
}
