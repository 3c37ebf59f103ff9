//! Clocks and timers across a suspension of the machine, in which its monotonic clock stops but real time
//! advances.

mod support;

use std::time::{Duration, SystemTime};

use beamwall_clock::{now, simulation};
use beamwall_gateway::fleet_clock::FleetClock;

const SUSPENDED_FOR: Duration = Duration::from_secs(4);

#[test]
fn the_time_of_day_from_peers_advances_during_a_suspension() {
    let clock = FleetClock::default();
    for peer in ["n1", "n2"] {
        clock.record_peer_time(&peer.into(), SystemTime::now(), now());
    }
    simulation::simulate_suspension(SUSPENDED_FOR);
    // The simulation also stops the local wall clock, which is outvoted by two peers.
    let ahead = clock.now().duration_since(SystemTime::now()).unwrap_or_default();
    assert!(ahead > SUSPENDED_FOR - Duration::from_millis(100), "{ahead:?}");
}

#[test]
fn old_peer_clock_readings_are_ignored() {
    let clock = FleetClock::default();
    for peer in ["n1", "n2"] {
        clock.record_peer_time(&peer.into(), SystemTime::now() + Duration::from_secs(60), now());
    }
    simulation::simulate_suspension(Duration::from_secs(10));
    let ahead = clock.now().duration_since(SystemTime::now()).unwrap_or_default();
    assert!(ahead < Duration::from_millis(100), "{ahead:?}");
}

/// Guards against: a caller with a deadline of 4 s and a silent engine gets its response 4 s after the
/// machine resumes, however long the suspension was. The timer that ends a request stopped with the monotonic
/// clock, although the clock that includes suspensions showed 0 s remaining all that time.
#[tokio::test]
async fn an_open_request_times_out_soon_after_the_machine_wakes() {
    let mut call = support::call(0, None, 100);
    call.deadline = call.received + SUSPENDED_FOR;
    let mut time_is_up = std::pin::pin!(call.deadline_elapsed());
    let before_suspension = tokio::time::timeout(Duration::from_millis(100), &mut time_is_up).await;
    assert!(before_suspension.is_err(), "{:?} remaining", call.remaining());
    simulation::simulate_suspension(SUSPENDED_FOR);
    assert_eq!(call.remaining(), Duration::ZERO);
    tokio::time::timeout(SUSPENDED_FOR * 3 / 4, time_is_up).await.expect("the request times out");
}
