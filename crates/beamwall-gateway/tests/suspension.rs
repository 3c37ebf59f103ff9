//! A machine that was suspended: its steady clock stood still, the time of day and the world did not.

mod support;

use std::time::{Duration, SystemTime};

use beamwall_clock::{now, simulation};
use beamwall_gateway::fleet_clock::FleetClock;

const ASLEEP: Duration = Duration::from_secs(4);

#[test]
fn the_time_of_day_that_peers_told_has_run_on() {
    let clock = FleetClock::default();
    for peer in ["n1", "n2"] {
        clock.hear(&peer.into(), SystemTime::now(), now());
    }
    simulation::simulate_suspension(ASLEEP);
    // In the simulation the own clock of the day has stood still, and is outvoted by two.
    let ahead = clock.now().duration_since(SystemTime::now()).unwrap_or_default();
    assert!(ahead > ASLEEP - Duration::from_millis(100), "{ahead:?}");
}

#[test]
fn what_peers_told_long_before_does_not_count() {
    let clock = FleetClock::default();
    for peer in ["n1", "n2"] {
        clock.hear(&peer.into(), SystemTime::now() + Duration::from_secs(60), now());
    }
    simulation::simulate_suspension(Duration::from_secs(10));
    let ahead = clock.now().duration_since(SystemTime::now()).unwrap_or_default();
    assert!(ahead < Duration::from_millis(100), "{ahead:?}");
}

/// A caller with 4 s of patience, whose engine is silent, got its answer 4 s after the machine woke, however long it had slept: the
/// timer that ends a request stood still with the steady clock. What was left by the counting clock was 0 all that time.
#[tokio::test]
async fn the_time_of_an_open_request_is_up_soon_after_the_machine_wakes() {
    let mut call = support::call(0, None, 100);
    call.deadline = call.received + ASLEEP;
    let mut time_is_up = std::pin::pin!(call.time_is_up());
    let at_once = tokio::time::timeout(Duration::from_millis(100), &mut time_is_up).await;
    assert!(at_once.is_err(), "{:?} are left", call.remaining());
    simulation::simulate_suspension(ASLEEP);
    assert_eq!(call.remaining(), Duration::ZERO);
    tokio::time::timeout(ASLEEP * 3 / 4, time_is_up).await.expect("it is up");
}
