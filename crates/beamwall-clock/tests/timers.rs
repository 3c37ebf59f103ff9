//! Timers on a machine that was suspended.

use std::time::Duration;

use beamwall_clock::{simulation, timers};
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn without_a_suspension_a_timer_ends_on_time() {
    let begun = Instant::now();
    timers::sleep(Duration::from_millis(100)).await;
    assert!(begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
    assert_eq!(timers::timeout(LIMIT, async { 7 }).await, Some(7));
}

#[tokio::test]
async fn what_is_over_when_the_machine_wakes_ends_within_a_look() {
    let begun = Instant::now();
    let mut waits = std::pin::pin!(timers::timeout(LIMIT, std::future::pending::<()>()));
    let at_once = tokio::time::timeout(Duration::from_millis(50), &mut waits).await;
    assert!(at_once.is_err());
    simulation::suspend_for(LIMIT);
    assert_eq!(waits.await, None);
    assert!(begun.elapsed() < LIMIT / 2, "{:?}", begun.elapsed());
}
