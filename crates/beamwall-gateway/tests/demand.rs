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
