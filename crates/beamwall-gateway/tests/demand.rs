//! Demand computed from request arrivals alone.

use std::time::Duration;

use beamwall_engine_model::{PrefillWork, Workload};
use beamwall_gateway::Reporter;
use beamwall_gateway::demand::DemandTracker;

const PERIOD: Duration = Duration::from_millis(500);

/// Records `count` requests per period for `periods` periods.
fn record_arrivals(tracker: &DemandTracker, count: usize, periods: usize) -> Workload {
    let mut work = Workload::default();
    for _ in 0..periods {
        for _ in 0..count {
            tracker.note_request(&"model".into(), "drafts", PrefillWork::of_uncached(0, 3_200));
        }
        work = tracker.close_period(PERIOD)[&"model".into()];
    }
    work
}

fn assert_close(work: Workload, expected: Workload) {
    let pairs = [
        (work.requests, expected.requests),
        (work.tokens, expected.tokens),
        (work.pairs, expected.pairs),
        (work.events, expected.events),
    ];
    for (measured, expected_value) in pairs {
        assert!(
            (measured - expected_value).abs() <= expected_value * 0.05,
            "{work:?} instead of {expected:?}"
        );
    }
}

#[test]
fn demand_is_the_work_that_arrives_in_a_second() {
    let tracker = DemandTracker::default();
    tracker.note_events("drafts", 30);
    let per_second =
        Workload { requests: 20.0, tokens: 64_000.0, pairs: 20.0 * 3_200.0 * 1_600.0, events: 600.0 };
    assert_close(record_arrivals(&tracker, 10, 40), per_second);
    let falling = record_arrivals(&tracker, 0, 40);
    assert!(falling.requests < 0.1 && falling.tokens < 300.0, "{falling:?}");
}

#[test]
fn demand_of_all_nodes_is_summed_and_unknown_before_any_request() {
    let tracker = DemandTracker::default();
    let service = "model".into();
    let requests = |requests: f64| Workload { requests, ..Workload::default() };
    assert_eq!(tracker.total(&service), None);
    tracker.set_peer(&Reporter::Node("n1".into()), [(service.clone(), requests(1.5))].into());
    tracker.set_peer(&Reporter::Node("n2".into()), [(service.clone(), requests(0.5))].into());
    tracker.set_peer(&Reporter::Node("n2".into()), [(service.clone(), requests(1.0))].into());
    assert_eq!(tracker.total(&service), Some(requests(2.5)));
    tracker.remove_peer(&Reporter::Node("n1".into()));
    assert_eq!(tracker.total(&service), Some(requests(1.0)));
}

#[test]
fn long_streams_count_more_once_their_length_is_known() {
    let (short, long) = (DemandTracker::default(), DemandTracker::default());
    for _ in 0..100 {
        short.note_events("drafts", 2);
        long.note_events("drafts", 200);
    }
    assert!(record_arrivals(&long, 5, 20).events > record_arrivals(&short, 5, 20).events * 50.0);
}

/// Nodes of a deployment in a test of returning callers.
const NODES: usize = 3;
/// Requests that arrive for the first time in a period.
const FIRST_TRIES: usize = 300;

/// The largest demand of all nodes during ten periods of shortage, in which all but `served` of the requests
/// of a period are refused, relative to the one before. Each refused caller returns after a second to the next
/// node, if `returns`.
fn growth_in_shortage(deducts_returns: bool, served: usize, returns: bool) -> f64 {
    let nodes: [DemandTracker; NODES] = std::array::from_fn(|_| DemandTracker::new(deducts_returns));
    let (service, prefill) = ("model".into(), PrefillWork::of_uncached(0, 100));
    let mut due = [0; 80];
    let (mut before, mut largest) = (0.0, 0.0_f64);
    for period in 0..50 {
        let arriving = FIRST_TRIES + due[period];
        let served = if period < 40 { arriving } else { served.min(arriving) };
        for request in 0..arriving {
            let node = &nodes[(request + period) % NODES];
            node.note_request(&service, "drafts", prefill);
            if request >= served {
                node.note_refusal(&service, "drafts", prefill, Duration::from_secs(1));
                due[period + 2] += usize::from(returns);
            }
        }
        let demand: f64 = nodes.iter().map(|node| node.close_period(PERIOD)[&service].requests).sum();
        before = if period < 40 { demand } else { before };
        largest = largest.max(demand);
    }
    largest / before
}

/// Guards against: half of the engines are gone for 5 s, each refused caller returns, and the number of
/// engines is planned for several times the work.
#[test]
fn callers_that_return_after_a_refusal_are_counted_once() {
    for served in [60, 150, 240] {
        let growth = growth_in_shortage(true, served, true);
        assert!(growth <= 1.1, "{served} of {FIRST_TRIES} served: demand grows by {growth}");
        assert!(growth_in_shortage(false, served, true) > 1.1, "the shortage inflates the arrivals");
    }
}

/// Guards against: refused callers give up, and the demand is taken for less than what is served.
#[test]
fn callers_that_give_up_leave_at_least_the_served_work() {
    let tracker = DemandTracker::new(true);
    let (service, prefill) = ("model".into(), PrefillWork::of_uncached(0, 100));
    let mut demand = 0.0;
    for _ in 0..40 {
        for request in 0..100 {
            tracker.note_request(&service, "drafts", prefill);
            if request >= 60 {
                tracker.note_refusal(&service, "drafts", prefill, Duration::from_secs(1));
            }
        }
        demand = tracker.close_period(PERIOD)[&service].requests;
    }
    assert!((119.0..=200.0).contains(&demand), "120 a second are served: {demand}");
}
