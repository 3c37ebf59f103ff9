//! A machine that was suspended: its steady clock stood still, the time of day and the world did not.

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
    simulation::suspend_for(ASLEEP);
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
    simulation::suspend_for(Duration::from_secs(10));
    let ahead = clock.now().duration_since(SystemTime::now()).unwrap_or_default();
    assert!(ahead < Duration::from_millis(100), "{ahead:?}");
}
