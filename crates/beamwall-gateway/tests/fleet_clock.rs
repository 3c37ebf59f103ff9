//! The time of day agreed on by most nodes, which single clocks that are off or step do not affect.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::usage::UsageLedger;
use tokio::time::Instant;

/// True time at the start, three seconds into a window of five.
const START: Duration = Duration::from_secs(1_733_187_603);
const WINDOW: Duration = Duration::from_secs(5);
/// Offset of the clocks that step.
const STEP: Duration = Duration::from_secs(2);

fn true_time(after: Duration) -> SystemTime {
    UNIX_EPOCH + START + after
}

fn is_near(left: SystemTime, right: SystemTime) -> bool {
    let apart = left.duration_since(right).or_else(|_| right.duration_since(left)).unwrap_or_default();
    apart < Duration::from_millis(30)
}

/// Reports the clocks of `peers` peers, of which the first `off` are off by [`STEP`].
fn report_clocks(clock: &FleetClock, peers: usize, off: usize, after: Duration) {
    for number in 0..peers {
        let reported = if number < off { true_time(after) + STEP } else { true_time(after) };
        clock.record_peer_time(&format!("n{number}").as_str().into(), reported, Instant::now());
    }
}

#[tokio::test(start_paused = true)]
async fn a_step_of_the_local_clock_has_no_effect() {
    let clock = FleetClock::default();
    report_clocks(&clock, 9, 0, Duration::ZERO);
    tokio::time::advance(Duration::from_secs(1)).await;
    let after = Duration::from_secs(1);
    for local_time in [true_time(after), true_time(after) + STEP, true_time(after) - STEP] {
        assert!(is_near(clock.time(local_time, Instant::now()), true_time(after)));
    }
}

#[tokio::test(start_paused = true)]
async fn a_third_of_the_clocks_may_be_off() {
    let clock = FleetClock::default();
    report_clocks(&clock, 9, 3, Duration::ZERO);
    assert!(is_near(clock.time(true_time(Duration::ZERO) + STEP, Instant::now()), true_time(Duration::ZERO)));
}

#[tokio::test(start_paused = true)]
async fn a_node_without_peers_uses_its_local_clock() {
    let clock = FleetClock::default();
    let local_time = true_time(Duration::ZERO) + STEP;
    assert_eq!(clock.time(local_time, Instant::now()), local_time);
    report_clocks(&clock, 9, 0, Duration::ZERO);
    tokio::time::advance(Duration::from_secs(6)).await;
    let local_time = true_time(Duration::from_secs(6)) + STEP;
    assert_eq!(clock.time(local_time, Instant::now()), local_time, "old readings of peers do not count");
}

/// Load: 70 nodes, 21 of which have clocks that are 2 s off for six seconds, and 400 requests per second.
#[tokio::test(start_paused = true)]
async fn requests_count_in_the_right_window_while_clocks_step() {
    let (nodes, off, seconds) = (70_usize, 21_usize, 12_u64);
    let clocks: Vec<FleetClock> = (0..nodes).map(|_| FleetClock::default()).collect();
    let with = UsageLedger::new(WINDOW);
    let without = UsageLedger::new(WINDOW);
    let true_counts = UsageLedger::new(WINDOW);
    for step in 0..seconds * 20 {
        let after = Duration::from_millis(step * 50);
        let is_off = |node: usize| node < off && (2..8).contains(&after.as_secs());
        let local_time = |node: usize| if is_off(node) { true_time(after) + STEP } else { true_time(after) };
        if step % 20 == 0 {
            for clock in &clocks {
                (0..nodes).for_each(|node| {
                    clock.record_peer_time(
                        &format!("n{node}").as_str().into(),
                        local_time(node),
                        Instant::now(),
                    )
                });
            }
        }
        for request in 0..20 {
            let node = (step as usize * 20 + request) % nodes;
            with.record(&"alder".into(), clocks[node].time(local_time(node), Instant::now()));
            without.record(&"alder".into(), local_time(node));
            true_counts.record(&"alder".into(), true_time(after));
        }
        tokio::time::advance(Duration::from_millis(50)).await;
    }
    let worst = |counted: &UsageLedger| {
        let (first, _) = counted.window_at(true_time(Duration::ZERO));
        let off = |window: u64| {
            let count = |ledger: &UsageLedger| ledger.total(window).counts.values().sum::<u64>() as f64;
            (count(counted) - count(&true_counts)).abs() / count(&true_counts).max(1.0)
        };
        (first..first + 3).map(off).fold(0.0, f64::max)
    };
    let (by_fleet, by_local_clock) = (worst(&with), worst(&without));
    println!(
        "window counts deviate by at most {:.1}%, by {:.1}% with each node's local clock",
        by_fleet * 100.0,
        by_local_clock * 100.0
    );
    assert!(by_fleet < 0.02, "{by_fleet}");
    assert!(by_local_clock > 0.05, "{by_local_clock}: the median would be unnecessary");
}
