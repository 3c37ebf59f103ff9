//! Timers on a machine that is suspended.

use std::time::Duration;

use beamwall_clock::{simulation, timers};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn timers_are_on_time_without_a_suspension() {
    let started = Instant::now();
    timers::sleep(Duration::from_millis(100)).await;
    assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
    assert_eq!(timers::timeout(TIMEOUT, async { 7 }).await, Some(7));
}

#[tokio::test]
async fn timeout_during_suspension_fires_within_a_poll_interval_of_resume() {
    let started = Instant::now();
    let mut wait = std::pin::pin!(timers::timeout(TIMEOUT, std::future::pending::<()>()));
    let early = tokio::time::timeout(Duration::from_millis(50), &mut wait).await;
    assert!(early.is_err());
    simulation::simulate_suspension(TIMEOUT);
    assert_eq!(wait.await, None);
    assert!(started.elapsed() < TIMEOUT / 2, "{:?}", started.elapsed());
}
