//! Reads the machine list and waits for the cloud's notices.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::ReclaimNotice;
use beamwall_fleet::LeavingSource;
use beamwall_store::{Machine, Notice};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::actors::fleet::{ApplyMachines, MarkLeaving};
use crate::shared::Shared;

/// Time between readings of the machine list by the readers of a zone.
const READER_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between readings by the other nodes, unless a peer has read another list.
const OTHERS_PERIOD: Duration = Duration::from_secs(15);
/// The duty of reading the machine list and the notices for a zone.
const LIST_DUTY: &[u8] = b"machines";
/// Readers of a zone.
const READERS: usize = 2;
/// Longest wait of one call for notices.
const NOTICE_WAIT: Duration = Duration::from_secs(5);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// Reads the machine list until the node stops.
pub async fn run_list(shared: Arc<Shared>) {
    let mut read_at = None;
    loop {
        if is_due(&shared, read_at)
            && let Ok(machines) = shared.cloud.machines().await
        {
            read_at = Some(Instant::now());
            shared.machines_digest.store(digest(&machines), Ordering::Relaxed);
            if shared.fleet_actor.ask(ApplyMachines(machines)).await.unwrap_or(false) {
                shared.urgent.notify_one();
            }
        }
        tokio::time::sleep(READER_PERIOD).await;
    }
}

fn is_due(shared: &Shared, read_at: Option<Instant>) -> bool {
    let Some(read_at) = read_at else { return true };
    let own = shared.machines_digest.load(Ordering::Relaxed);
    let heard = shared.peer_machines_digest.load(Ordering::Relaxed);
    let differs = heard != 0 && heard != own;
    differs || read_at.elapsed() >= OTHERS_PERIOD || shared.is_chosen_in_zone(LIST_DUTY, READERS)
}

/// The digest that this node tells: its own when it is a reader of its zone.
pub fn told_digest(shared: &Shared) -> u64 {
    let is_reader = shared.is_chosen_in_zone(LIST_DUTY, READERS);
    if is_reader { shared.machines_digest.load(Ordering::Relaxed) } else { 0 }
}

/// Digest of a machine list: another one means that something changed.
fn digest(machines: &[Machine]) -> u64 {
    let mut hasher = Xxh3::new();
    for machine in machines {
        hasher.update(machine.id.as_str().as_bytes());
        hasher.update(&[machine.state as u8]);
    }
    hasher.digest().max(1)
}

/// Waits for notices until the node stops. The readers of each zone do; the others hear from them.
pub async fn run_notices(shared: Arc<Shared>) {
    let mut sequence = 0;
    loop {
        if !shared.is_chosen_in_zone(LIST_DUTY, READERS) {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
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
