//! Notices that the machine was suspended: the clock that counts the time asleep has run ahead of the steady one.
//!
//! What holds by a term looks at that clock by itself (`beamwall-clock`). Here the node tells of it, and tells its peers at once
//! that it is back, so that they tell it what is new.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::MachineSuspended;
use tokio::sync::Notify;

/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// A shorter suspension is within what terms allow anyway.
const SHORTEST: Duration = Duration::from_millis(250);

/// Looks at the clocks until the task is ended; `news` is told after each suspension.
pub async fn watch(news: Arc<Notify>) {
    let mut before = beamwall_clock::asleep();
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        let asleep = beamwall_clock::asleep();
        let length = asleep.saturating_sub(before);
        before = asleep;
        if length >= SHORTEST {
            emit(&MachineSuspended { asleep_ms: length.as_millis().to_string() });
            news.notify_one();
        }
    }
}
