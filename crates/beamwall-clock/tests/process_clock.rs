//! The clock that excludes stalls of this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beamwall_clock::{process_clock, simulation};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(1_500);
const STALL: Duration = Duration::from_millis(2_000);

#[tokio::test(start_paused = true)]
async fn sleep_is_not_prolonged_without_a_stall() {
    let started = Instant::now();
    process_clock::sleep(TIMEOUT).await;
    assert!(started.elapsed() < TIMEOUT + Duration::from_millis(50), "{:?}", started.elapsed());
}

/// Guards against treating peers as silent after a stall of this process, before the messages that they sent
/// meanwhile have been read.
#[tokio::test(start_paused = true)]
async fn a_stall_does_not_count_toward_a_timeout() {
    let mut wait = std::pin::pin!(process_clock::sleep(TIMEOUT));
    assert!(tokio::time::timeout(Duration::from_millis(100), &mut wait).await.is_err());
    let start = process_clock::now();
    tokio::time::advance(STALL).await;
    simulation::simulate_stall(STALL);
    assert!(process_clock::now().duration_since(start) < Duration::from_millis(50));
    let early = tokio::time::timeout(TIMEOUT / 2, &mut wait).await;
    assert!(early.is_err(), "the sleep ended before its duration had elapsed without the stall");
    tokio::time::timeout(TIMEOUT, wait).await.expect("the sleep ends once its duration has elapsed");
}

/// Guards against a stall that is only counted at the monitor's next poll: other timers may fire before that
/// poll and act on the stalled time.
#[tokio::test]
async fn stall_time_includes_a_stall_that_has_not_been_polled_yet() {
    let max_delay_ms = Arc::new(AtomicU64::new(0));
    let recorder = max_delay_ms.clone();
    let monitor = tokio::spawn(process_clock::monitor(move |delay| {
        recorder.fetch_max(delay.as_millis() as u64, Ordering::Relaxed);
    }));
    tokio::time::sleep(Duration::from_millis(250)).await;
    let (start, before) = (process_clock::now(), process_clock::stall_time());
    std::thread::sleep(Duration::from_millis(900));
    let stalled = process_clock::stall_time() - before;
    assert!(stalled >= Duration::from_millis(600), "{stalled:?}");
    assert!(process_clock::now().duration_since(start) <= Duration::from_millis(300));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(max_delay_ms.load(Ordering::Relaxed) >= 600);
    monitor.abort();
}
