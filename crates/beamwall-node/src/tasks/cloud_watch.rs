//! Reads the machine list and waits for the cloud's notices.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::ReclaimNotice;
use beamwall_fleet::LeavingSource;
use beamwall_platform::Notice;
use tokio::time::Instant;

use crate::actors::fleet::{ApplyMachines, MarkLeaving};
use crate::shared::Shared;

/// Time between readings of the machine list.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// Longest wait of one call for notices.
const NOTICE_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// Reads the machine list until the node stops.
pub async fn run_list(shared: Arc<Shared>) {
    loop {
        if let Ok(machines) = shared.cloud.machines().await
            && shared.fleet_actor.ask(ApplyMachines(machines)).await.unwrap_or(false)
        {
            shared.urgent.notify_one();
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Waits for notices until the node stops.
pub async fn run_notices(shared: Arc<Shared>) {
    let mut sequence = 0;
    loop {
        match shared.cloud.notices(sequence, NOTICE_WAIT).await {
            Ok(notices) => {
                let newest = notices.iter().map(|notice| notice.sequence).max();
                sequence = newest.unwrap_or(sequence);
                take_notices(&shared, &notices).await;
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn take_notices(shared: &Arc<Shared>, notices: &[Notice]) {
    if notices.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut marks = Vec::new();
    for notice in notices {
        emit(&ReclaimNotice {
            machine: notice.machine.to_string(),
            deadline_ms: notice.deadline_ms.to_string(),
        });
        let deadline = now + Duration::from_millis(notice.deadline_ms);
        marks.push((notice.machine.clone(), LeavingSource::Notice, Some(deadline)));
    }
    if shared.fleet_actor.ask(MarkLeaving(marks)).await.unwrap_or(false) {
        shared.urgent.notify_one();
    }
}
