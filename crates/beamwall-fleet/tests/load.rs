//! Tests of a back end's load at one node: delayed reports of all nodes' requests, combined with the exact
//! count of the node's own requests.

use std::sync::Arc;
use std::time::Duration;

use beamwall_fleet::{BackendReport, Fleet, FleetView};
use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName};
use beamwall_store::{Machine, MachineState};
use tokio::time::Instant;

fn machine() -> Machine {
    Machine {
        id: BackendId::new("engine"),
        zone: ZoneName::new("a"),
        class: "large".to_owned(),
        reclaimable: false,
        price_micros_per_hour: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: ServiceName::new("helper"),
        state: MachineState::Running,
    }
}

fn report(sequence: u64, received_at: Instant, running: u32) -> BackendReport {
    BackendReport {
        received_at,
        up: true,
        running,
        ..BackendReport::down(BackendId::new("engine"), NodeId::new("node"), sequence)
    }
}

fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_machines(&[machine()], now);
    fleet.apply_report(report(1, now, 0));
    fleet
}

fn requests(view: &FleetView) -> u32 {
    view.backend(&BackendId::new("engine")).expect("the engine is listed").requests()
}

#[test]
fn finished_requests_do_not_count_as_load() {
    let now = Instant::now();
    let fleet = fleet(now);
    let view = fleet.view();
    let load = view.backend(&BackendId::new("engine")).expect("listed").load.clone();
    for _ in 0..200 {
        drop(load.dispatch(10));
    }
    assert_eq!(requests(&view), 0);
}

#[test]
fn open_requests_count_before_any_report_includes_them() {
    let now = Instant::now();
    let view = fleet(now).view();
    let load = view.backend(&BackendId::new("engine")).expect("listed").load.clone();
    let open: Vec<_> = (0..5).map(|_| load.dispatch(10)).collect();
    assert_eq!(requests(&view), 5);
    drop(open);
}

#[test]
fn own_work_in_a_late_report_is_not_counted_twice() {
    let start = Instant::now();
    let mut fleet = fleet(start);
    let load = fleet.view().backend(&BackendId::new("engine")).expect("listed").load.clone();
    let open: Vec<_> = (0..4).map(|_| load.dispatch(10)).collect();
    // The report received after two seconds states 7 requests: 4 of this node and 3 of other nodes.
    fleet.apply_report(report(2, start + Duration::from_secs(1), 0));
    fleet.apply_report(report(3, start + Duration::from_secs(2), 7));
    assert_eq!(requests(&fleet.view()), 7);
    drop(open);
    assert_eq!(requests(&fleet.view()), 3);
    assert!(Arc::strong_count(&load) > 1, "views share one counter");
}
