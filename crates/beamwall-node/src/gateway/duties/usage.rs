//! Usage reports: the counts of each window are fixed in the store, then reported.

use std::sync::Arc;
use std::time::Duration;

use beamwall_duties::{UsageTiming, WindowClock, WindowProgress};
use beamwall_events::emit;
use beamwall_events::internal_events::{FixedUsageUnreadable, UsageReported};
use beamwall_gateway::usage::WindowCounts;
use beamwall_gateway::{DutyError, DutyPort, Gateway};
use beamwall_store::object::ABSENT;
use beamwall_store::{Object, Settled, Version, VersionedObjects, put_settled};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::gateway::duties::checkpoint::DutyCheckpointer;
use crate::gateway::duties::{LeaseHold, describe};
use crate::gateway::exchange::PeerExchange;
use crate::gateway::reported_usage::SentWindow;

/// Time after a window's end until all nodes have reported their counts.
const USAGE_SETTLE_TIME: Duration = Duration::from_millis(1_700);
/// The same in a large deployment, where the counts of other zones pass through two relays.
const USAGE_SETTLE_TIME_LARGE: Duration = Duration::from_millis(2_600);
/// Time after a window's end to wait for the counts of silent nodes: they may be cut off and come back.
const SILENT_NODE_WAIT: Duration = Duration::from_millis(8_000);
/// Time after a window's end after which it is no longer reported.
const REPORT_DEADLINE: Duration = Duration::from_secs(30);
/// Number of windows whose fixed counts remain in the store.
const FIXED_WINDOWS: usize = 8;
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Key of the object that holds the fixed counts.
const USAGE_KEY: &str = "reports/usage";

/// Fixed counts, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct FixedUsage {
    windows: Vec<WindowCounts>,
}

impl FixedUsage {
    fn get(&self, window: u64) -> Option<&WindowCounts> {
        self.windows.iter().find(|fixed| fixed.window == window)
    }

    fn newest(&self) -> Option<u64> {
        self.windows.last().map(|fixed| fixed.window)
    }
}

/// Windows read, fixed and reported in one lease term.
#[derive(Debug, Default)]
pub(super) struct UsageProgress {
    fixed: Option<(Version, FixedUsage)>,
    reported_through: Option<u64>,
}

/// The duty of reporting usage.
pub(super) struct UsageDuty {
    window_length: Duration,
    checkpointer: Arc<DutyCheckpointer>,
    gateway: Arc<Gateway>,
    objects: Arc<dyn VersionedObjects>,
    port: Arc<dyn DutyPort>,
    exchange: Arc<PeerExchange>,
}

impl UsageDuty {
    /// Creates the duty, which resumes from the checkpoint.
    pub(super) fn new(
        window_length: Duration,
        checkpointer: Arc<DutyCheckpointer>,
        gateway: Arc<Gateway>,
        objects: Arc<dyn VersionedObjects>,
        port: Arc<dyn DutyPort>,
        exchange: Arc<PeerExchange>,
    ) -> Self {
        Self { window_length, checkpointer, gateway, objects, port, exchange }
    }

    /// Reports the oldest window that is due, if any.
    pub(super) async fn report_due(&self, progress: &mut UsageProgress, lease_hold: &LeaseHold) {
        if progress.fixed.is_none() {
            self.read_fixed(progress).await;
        }
        let Some((_, fixed)) = &progress.fixed else { return };
        let sent_before = self.exchange.reported_usage.sent_in_other_era(self.objects.era());
        progress.reported_through = progress.reported_through.max(sent_before);
        let window_progress = self.window_progress(progress.reported_through, fixed);
        self.checkpointer.note_first_open_window(window_progress.first_open());
        let Some(due) = self.due_window(&window_progress, fixed) else { return };
        let Some(counts) = self.fix(progress, due).await else { return };
        let Some(holder) = lease_hold.holder() else { return };
        let after = self.clock().time_since_end(due, self.window_length).unwrap_or_default();
        let silent_members = self.exchange.silent_members();
        self.exchange.reported_usage.note(SentWindow { window: due, era: self.objects.era() });
        self.exchange.heartbeat_trigger.notify_one();
        let result = self.port.report_usage(&holder, &counts).await;
        emit(&UsageReported {
            window: due.to_string(),
            requests: counts.counts.values().sum::<u64>().to_string(),
            epoch: holder.epoch.to_string(),
            after_ms: after.as_millis().to_string(),
            unheard: silent_members.to_string(),
            result: describe(&result),
        });
        if !matches!(result, Err(DutyError::Unanswered(_))) {
            progress.reported_through = Some(due);
        }
    }

    fn window_progress(&self, reported_through: Option<u64>, fixed: &FixedUsage) -> WindowProgress {
        WindowProgress {
            reported_through,
            newest_fixed: fixed.newest(),
            first: self.checkpointer.first_open_window(),
        }
    }

    fn due_window(&self, window_progress: &WindowProgress, fixed: &FixedUsage) -> Option<u64> {
        let timing = UsageTiming {
            window: self.window_length,
            settle_delay: if self.exchange.is_large_deployment() {
                USAGE_SETTLE_TIME_LARGE
            } else {
                USAGE_SETTLE_TIME
            },
            silent_node_wait: SILENT_NODE_WAIT,
            max_age: REPORT_DEADLINE,
        };
        let is_complete = self.exchange.silent_members() == 0;
        window_progress.due(&self.clock(), &timing, is_complete, |window| fixed.get(window).is_some())
    }

    fn clock(&self) -> WindowClock {
        let now = self.gateway.forwarder.clock.now();
        let (current, elapsed) = self.gateway.forwarder.usage.window_at(now);
        WindowClock { current, elapsed }
    }

    /// Reads the fixed counts. If another writer has overwritten them, it is unknown which windows were
    /// reported, so no window that has ended is reported: its counts might differ from those already
    /// reported.
    async fn read_fixed(&self, progress: &mut UsageProgress) {
        match self.objects.get(USAGE_KEY).await {
            Ok(None) => progress.fixed = Some((ABSENT, FixedUsage::default())),
            Ok(Some(object)) => {
                let fixed = serde_json::from_slice(&object.value).unwrap_or_else(|error| {
                    emit(&FixedUsageUnreadable { reason: format!("{error}") });
                    let ended = self.clock().current.saturating_sub(1);
                    progress.reported_through = Some(
                        progress.reported_through.map_or(ended, |last_reported| last_reported.max(ended)),
                    );
                    FixedUsage::default()
                });
                progress.fixed = Some((object.version, fixed));
            }
            // The store is unavailable: `StoreStatus` logs it, and the next check reads again.
            Err(_) => {}
        }
    }

    /// Returns the counts of a window as fixed in the store; fixes this node's counts if there are none.
    async fn fix(&self, progress: &mut UsageProgress, window: u64) -> Option<WindowCounts> {
        let (version, fixed) = progress.fixed.clone()?;
        if let Some(counts) = fixed.get(window) {
            return Some(counts.clone());
        }
        let counts = self.gateway.forwarder.usage.total(window);
        let mut next = fixed;
        next.windows.push(counts.clone());
        let surplus = next.windows.len().saturating_sub(FIXED_WINDOWS);
        next.windows.drain(..surplus);
        let value = serde_json::to_vec(&next).ok()?;
        let is_own_write = |object: &Object| parse_fixed(object).get(window) == Some(&counts);
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let bytes = Bytes::from(value);
        let written =
            put_settled(self.objects.as_ref(), USAGE_KEY, version, bytes, deadline, is_own_write).await;
        match written {
            Ok(Settled::Written(version)) => {
                progress.fixed = Some((version, next));
                Some(counts)
            }
            Ok(Settled::Found(object)) => {
                // Another lease holder may have fixed more windows since.
                progress.fixed = Some((object.version, parse_fixed(&object)));
                Some(counts)
            }
            // Another lease holder wrote, or the result is unknown: read again before the next attempt.
            Ok(Settled::Lost) | Err(_) => {
                progress.fixed = None;
                None
            }
        }
    }
}

fn parse_fixed(object: &Object) -> FixedUsage {
    serde_json::from_slice(&object.value).unwrap_or_default()
}
