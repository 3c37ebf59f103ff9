//! Events are admitted at most once per period.

use std::time::Duration;

use beamwall_clock::Throttle;

const PERIOD: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn admits_first_call_and_one_per_period() {
    let throttle = Throttle::default();
    assert!(throttle.admit(PERIOD));
    assert!(!throttle.admit(PERIOD));
    tokio::time::advance(PERIOD / 2).await;
    assert!(!throttle.admit(PERIOD), "a rejected call must not extend the period");
    tokio::time::advance(PERIOD / 2).await;
    assert!(throttle.admit(PERIOD));
    assert!(!throttle.admit(PERIOD));
}
