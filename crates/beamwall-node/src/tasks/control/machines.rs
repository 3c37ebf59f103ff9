//! Machines of a zone: asks the cloud for those that the plan lacks and gives back those it does
//! not need.
//!
//! The machine list lags and an answer of the cloud may be lost, so every start is written to the
//! platform before it is asked for. A start counts as held until the list shows its machine; a
//! successor finds the record and asks again under the same identifier.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{MachineReleased, MachineRequested};
use beamwall_fleet::LeavingSource;
use beamwall_fleet::planner::{ExistingMachine, MachineStart, PlacementPlan, PlanningInput, plan};
use beamwall_model::{BackendId, ZoneName};
use beamwall_store::cloud::MachineRequest;
use beamwall_store::object::ABSENT;
use beamwall_store::{CloudError, Machine, MachineState, Object, Settled, Version, put_settled};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::actors::fleet::MarkLeaving;
use crate::shared::Shared;

/// Time for which a plan must ask for a stop before a machine is given back.
const STOP_HYSTERESIS: Duration = Duration::from_secs(30);
/// Time for which a refused start is remembered.
const REFUSAL_MEMORY: Duration = Duration::from_secs(20);
/// Starts asked for in one period.
const STARTS_PER_PERIOD: usize = 4;
/// Periods for which a start counts as held although the list does not show its machine.
const UNLISTED_PERIODS: u32 = 300;

/// A start that was asked for or is about to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedStart {
    request: MachineRequest,
    /// The machine, once the cloud has answered.
    machine: Option<BackendId>,
    /// Periods for which the list has not shown the machine.
    unlisted: u32,
}

/// The starts of one zone, as kept in the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StartRecord {
    epoch: u64,
    next: u64,
    starts: Vec<RecordedStart>,
}

/// The machines of one zone, as its coordinator handles them.
#[derive(Debug, Default)]
pub struct ZoneMachines {
    record: Option<(Version, StartRecord)>,
    stop_wanted: HashMap<BackendId, Instant>,
    refused: Vec<(ZoneName, bool, Instant)>,
}

impl ZoneMachines {
    /// Brings the machines of the zone nearer to the plan.
    pub async fn step(&mut self, shared: &Arc<Shared>, epoch: u64) {
        if shared.tree.load().resolved.placements.is_empty() || !self.take_record(shared, epoch).await {
            return;
        }
        let Ok(machines) = shared.cloud.machines().await else { return };
        self.forget_listed(&machines);
        self.repeat_undecided(shared).await;
        let Some(plan) = self.make_plan(shared, &machines).await else { return };
        self.start_machines(shared, &plan).await;
        self.stop_machines(shared, &plan).await;
        release_idle(shared).await;
    }

    /// Reads the record and makes it this epoch's. False while the platform does not answer or a
    /// newer coordinator is at work.
    async fn take_record(&mut self, shared: &Arc<Shared>, epoch: u64) -> bool {
        if self.record.as_ref().is_some_and(|(_, record)| record.epoch == epoch) {
            return true;
        }
        let (version, found) = match shared.store.get(&key(shared)).await {
            Ok(Some(object)) => (object.version, serde_json::from_slice(&object.value).unwrap_or_default()),
            Ok(None) => (ABSENT, StartRecord::default()),
            Err(_) => return false,
        };
        if found.epoch > epoch {
            return false;
        }
        self.record = Some((version, found.clone()));
        self.write(shared, StartRecord { epoch, ..found }).await
    }

    /// Replaces the record. On failure it is read again in the next period.
    async fn write(&mut self, shared: &Arc<Shared>, next: StartRecord) -> bool {
        let Some((version, _)) = self.record.take() else { return false };
        let Ok(value) = serde_json::to_vec(&next) else { return false };
        let mine = |object: &Object| object.value.as_ref() == value.as_slice();
        let deadline = Instant::now() + shared.control_limit();
        let written =
            put_settled(&shared.store, &key(shared), version, value.clone().into(), deadline, mine).await;
        if let Some(version) = written.ok().and_then(Settled::written_version) {
            self.record = Some((version, next));
            return true;
        }
        false
    }

    fn starts(&self) -> &[RecordedStart] {
        self.record.as_ref().map_or(&[], |(_, record)| record.starts.as_slice())
    }

    /// Drops starts whose machine the list shows, or has not shown for long. The change is written
    /// with the next start.
    fn forget_listed(&mut self, machines: &[Machine]) {
        let Some((_, record)) = &mut self.record else { return };
        for start in &mut record.starts {
            start.unlisted += 1;
        }
        let is_listed = |id: &BackendId| machines.iter().any(|machine| machine.id == *id);
        record.starts.retain(|start| {
            start.unlisted <= UNLISTED_PERIODS && !start.machine.as_ref().is_some_and(is_listed)
        });
    }

    /// Asks again for machines whose answer was lost, under the same identifiers.
    async fn repeat_undecided(&mut self, shared: &Arc<Shared>) {
        let undecided = self.starts().iter().filter(|start| start.machine.is_none());
        let requests: Vec<MachineRequest> = undecided.map(|start| start.request.clone()).collect();
        for request in requests {
            self.ask(shared, &request).await;
        }
    }

    async fn make_plan(&mut self, shared: &Arc<Shared>, machines: &[Machine]) -> Option<PlacementPlan> {
        self.refused.retain(|(_, _, since)| since.elapsed() < REFUSAL_MEMORY);
        let offers = shared.cloud.offers().await.ok()?;
        let view = shared.dispatcher.view.load_full();
        let stays = |machine: &&Machine| {
            let leaving = view.backend(&machine.id).is_some_and(|backend| backend.leaving);
            machine.state != MachineState::Leaving && !leaving
        };
        let listed = machines.iter().filter(stays).map(to_held);
        let unlisted = self.starts().iter().map(to_expected);
        let input = PlanningInput {
            placements: shared.tree.load().resolved.placements.clone(),
            machines: listed.chain(unlisted).collect(),
            offers,
            refused: self.refused.iter().map(|(zone, kind, _)| (zone.clone(), *kind)).collect(),
        };
        Some(plan(&input))
    }

    async fn start_machines(&mut self, shared: &Arc<Shared>, plan: &PlacementPlan) {
        let in_zone = |start: &&MachineStart| start.zone == shared.settings.zone;
        let wanted: Vec<&MachineStart> = plan.starts.iter().filter(in_zone).take(STARTS_PER_PERIOD).collect();
        let Some((_, record)) = self.record.clone().filter(|_| !wanted.is_empty()) else { return };
        let mut next = record;
        let mut requests = Vec::new();
        for start in wanted {
            next.next += 1;
            let request = to_request(start, next.epoch, next.next);
            next.starts.push(RecordedStart { request: request.clone(), machine: None, unlisted: 0 });
            requests.push(request);
        }
        if !self.write(shared, next).await {
            return;
        }
        for request in requests {
            self.ask(shared, &request).await;
        }
    }

    async fn ask(&mut self, shared: &Arc<Shared>, request: &MachineRequest) {
        let result = shared.cloud.start(request).await;
        if let Some((_, record)) = &mut self.record {
            let position = record.starts.iter().position(|start| start.request == *request);
            match (&result, position) {
                (Ok(machine), Some(position)) => record.starts[position].machine = Some(machine.id.clone()),
                (Err(CloudError::Refused(_)), Some(position)) => {
                    record.starts.remove(position);
                }
                _ => {}
            }
        }
        if matches!(result, Err(CloudError::Refused(_))) {
            self.refused.push((request.zone.clone(), request.reclaimable, Instant::now()));
        }
        emit(&MachineRequested {
            zone: request.zone.to_string(),
            class: request.class.clone(),
            result: result.map_or_else(|error| error.to_string(), |machine| machine.id.to_string()),
        });
    }

    /// Marks machines as leaving that the plan has not needed for a while.
    async fn stop_machines(&mut self, shared: &Arc<Shared>, plan: &PlacementPlan) {
        let view = shared.dispatcher.view.load_full();
        let in_zone = |id: &&BackendId| {
            view.backend(id).is_some_and(|backend| backend.backend.zone == shared.settings.zone)
        };
        let wanted: Vec<BackendId> = plan.stops.iter().filter(in_zone).cloned().collect();
        self.stop_wanted.retain(|id, _| wanted.contains(id));
        for id in wanted {
            let since = *self.stop_wanted.entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() >= STOP_HYSTERESIS {
                let _ = shared.fleet_actor.ask(MarkLeaving(vec![(id, LeavingSource::Plan, None)])).await;
            }
        }
    }
}

fn key(shared: &Shared) -> String {
    format!("starts/{}", shared.settings.zone)
}

fn to_held(machine: &Machine) -> ExistingMachine {
    ExistingMachine {
        id: machine.id.clone(),
        zone: machine.zone.clone(),
        service: machine.service.clone(),
        reclaimable: machine.reclaimable,
        price_micros_per_hour: machine.price_micros_per_hour,
    }
}

fn to_expected(start: &RecordedStart) -> ExistingMachine {
    let request = &start.request;
    ExistingMachine {
        id: start.machine.clone().unwrap_or_else(|| BackendId::new(&request.request)),
        zone: request.zone.clone(),
        service: request.service.clone(),
        reclaimable: request.reclaimable,
        price_micros_per_hour: 0,
    }
}

fn to_request(start: &MachineStart, epoch: u64, number: u64) -> MachineRequest {
    MachineRequest {
        request: format!("{}-{epoch}-{number}", start.zone),
        zone: start.zone.clone(),
        class: start.class.clone(),
        reclaimable: start.reclaimable,
        service: start.service.clone(),
    }
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
