//! Leases on control duties, with a rising epoch.
//!
//! No wall clock is compared between machines. The holder counts its time from the moment it sent
//! the last renewal that succeeded; a contender counts from the moment it first saw the current
//! version and waits longer than the holder may count on. A holder that was paused, or whose machine was
//! suspended, finds its own time over before it acts.
//!
//! A process that finds the lease under its own name and address follows an earlier life of its own, which has ended: it
//! holds the address. Nobody can act in that life's term any more, so only its orders in flight are waited for. Without, a
//! holder that loses power every few seconds would never hold the lease again, since each life begins its wait anew.
//!
//! With each renewal the holder keeps a checkpoint of what it does under the lease. Whoever takes the lease next goes on from there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_clock::BootInstant;
use beamwall_model::NodeId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::object::{ABSENT, Object, ObjectError, Version, VersionedObjects};
use crate::settle::{Settled, put_settled};

/// Time a holder may act after sending a renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// Longest time for which an order may be in flight after its sender has ended.
pub const ORDERS_IN_FLIGHT: Duration = Duration::from_secs(2);
/// Time a contender waits on an unchanged lease of somebody else.
pub const TAKEOVER_WAIT: Duration = LEASE_TTL.saturating_add(ORDERS_IN_FLIGHT);
/// Longest time between renewals.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Time between renewals while there is more to keep: counts reach the holder within a heartbeat of 0.5 s.
const KEEP_PERIOD: Duration = Duration::from_millis(650);
/// Time between looks at somebody else's lease, which is renewed meanwhile if its holder lives.
const LOOK_PERIOD: Duration = Duration::from_secs(2);
/// Time between looks at whether there is more to keep.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// A holder stops this long before its time ends.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    epoch: u64,
    renewal: u64,
    /// Where the holder listens: two machines may bear the same name. Earlier builds tell none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    address: Option<SocketAddr>,
    /// What the holder keeps for whoever holds the lease next.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    checkpoint: String,
}

/// What the holder of a lease keeps with each renewal, and a successor goes on from.
pub trait Checkpoint: Send + Sync + 'static {
    /// What to keep now.
    fn to_keep(&self) -> String;
    /// A number that changes when there is more to keep.
    fn changes(&self) -> u64;
    /// Takes over what the last holder kept. This node is about to take the lease, and may still fail to.
    fn take_over(&self, kept: &str);
}

/// For leases whose holders keep nothing.
struct NothingKept;

impl Checkpoint for NothingKept {
    fn to_keep(&self) -> String {
        String::new()
    }

    fn changes(&self) -> u64 {
        0
    }

    fn take_over(&self, _: &str) {}
}

/// What this node knows of a lease.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseState {
    /// The holder last seen; empty when never held.
    pub holder: String,
    /// The epoch last seen.
    pub epoch: u64,
    /// Until when this node may act; `None` when it is not the holder.
    pub valid_until: Option<BootInstant>,
}

impl LeaseState {
    /// The epoch under which this node may act right now.
    pub fn held_epoch(&self) -> Option<u64> {
        let until = self.valid_until?;
        (BootInstant::now() + SAFETY_MARGIN < until).then_some(self.epoch)
    }
}

/// A lease that this node tries to hold.
pub struct Lease {
    key: String,
    node: NodeId,
    address: Option<SocketAddr>,
    checkpoint: Arc<dyn Checkpoint>,
    /// The changes of the checkpoint that the last write kept.
    kept_changes: u64,
    store: Arc<dyn VersionedObjects>,
    state: watch::Sender<LeaseState>,
    seen: Option<(Version, BootInstant)>,
    /// The highest epoch seen: one that was given is never given again, whatever another writer makes of the object.
    highest_epoch: u64,
    /// The version of this node's own last write, which the next renewal names without reading.
    held_version: Option<Version>,
    renewal: u64,
}

impl Lease {
    /// A lease under `leases/<name>`; the receiver follows its state.
    pub fn new(
        name: &str,
        node: NodeId,
        store: impl VersionedObjects,
    ) -> (Self, watch::Receiver<LeaseState>) {
        Self::over(name, node, Arc::new(store))
    }

    /// A lease in a store that others use, too.
    pub fn over(
        name: &str,
        node: NodeId,
        store: Arc<dyn VersionedObjects>,
    ) -> (Self, watch::Receiver<LeaseState>) {
        let (state, receiver) = watch::channel(LeaseState::default());
        let renewal = rand::random::<u32>().into();
        let key = format!("leases/{name}");
        let lease = Self {
            key,
            node,
            address: None,
            checkpoint: Arc::new(NothingKept),
            kept_changes: 0,
            store,
            state,
            seen: None,
            highest_epoch: 0,
            held_version: None,
            renewal,
        };
        (lease, receiver)
    }

    /// The same lease for a process that listens at an address, which no other process can have at the same time.
    pub fn at(self, address: SocketAddr) -> Self {
        Self { address: Some(address), ..self }
    }

    /// The same lease, under which the holder keeps a checkpoint.
    pub fn keeping(self, checkpoint: Arc<dyn Checkpoint>) -> Self {
        Self { checkpoint, ..self }
    }

    /// Renews or contends until the task is ended.
    pub async fn run(mut self) {
        loop {
            let _ = self.step().await;
            self.pause().await;
        }
    }

    /// Waits until the next step is due.
    pub async fn pause(&self) {
        let since = Instant::now();
        if self.current_epoch(BootInstant::now()).is_none() {
            return tokio::time::sleep(self.time_to_look()).await;
        }
        tokio::time::sleep(KEEP_PERIOD).await;
        while since.elapsed() < RENEW_PERIOD && self.checkpoint.changes() == self.kept_changes {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    /// Time until somebody else's lease is looked at again: by then it was renewed, or may be taken.
    fn time_to_look(&self) -> Duration {
        let Some((_, since)) = self.seen else { return RENEW_PERIOD };
        let waited = since.elapsed();
        let waits = [ORDERS_IN_FLIGHT, TAKEOVER_WAIT];
        let ends =
            waits.into_iter().filter_map(|wait| wait.checked_sub(waited)).filter(|left| !left.is_zero());
        ends.chain([LOOK_PERIOD]).min().unwrap_or(LOOK_PERIOD)
    }

    /// One look and, when due, one write.
    pub async fn step(&mut self) -> Result<(), ObjectError> {
        let sent = BootInstant::now();
        if let Some(version) = self.held_version.take()
            && let Some(epoch) = self.current_epoch(sent)
        {
            return self.write(version, epoch, sent).await;
        }
        let Some(object) = self.store.get(&self.key).await? else {
            return self.write(ABSENT, 1, sent).await;
        };
        let record = read_record(&object);
        if self.is_holder(&record) {
            return self.write(object.version, record.epoch, sent).await;
        }
        self.note_other(&object, &record);
        if self.unchanged_for() >= self.takeover_wait(&record) {
            let epoch = self.highest_epoch + 1;
            self.checkpoint.take_over(&record.checkpoint);
            return self.write(object.version, epoch, BootInstant::now()).await;
        }
        Ok(())
    }

    /// A record under this node's name counts as held only while this process remembers holding
    /// it: after a restart the name is the same and the earlier process may have orders in flight.
    fn is_holder(&self, record: &LeaseRecord) -> bool {
        let state = self.state.borrow();
        let current = state.valid_until.is_some_and(|until| BootInstant::now() < until);
        record.holder == self.node.as_str() && record.epoch == state.epoch && current
    }

    /// The epoch that this process holds, if its time is not over.
    fn current_epoch(&self, now: BootInstant) -> Option<u64> {
        let state = self.state.borrow();
        let until = state.valid_until?;
        (now < until).then_some(state.epoch)
    }

    /// Time for which a lease must be unchanged until this node may take it.
    fn takeover_wait(&self, record: &LeaseRecord) -> Duration {
        let is_own = record.holder == self.node.as_str() && record.address == self.address;
        if is_own { ORDERS_IN_FLIGHT } else { TAKEOVER_WAIT }
    }

    fn note_other(&mut self, object: &Object, record: &LeaseRecord) {
        self.highest_epoch = self.highest_epoch.max(record.epoch);
        if self.seen.is_none_or(|(version, _)| version != object.version) {
            self.seen = Some((object.version, BootInstant::now()));
        }
        let state = LeaseState { holder: record.holder.clone(), epoch: record.epoch, valid_until: None };
        self.state.send_if_modified(|current| {
            let changed = *current != state;
            *current = state;
            changed
        });
    }

    fn unchanged_for(&self) -> Duration {
        self.seen.map_or(Duration::ZERO, |(_, since)| since.elapsed())
    }

    async fn write(&mut self, expected: Version, epoch: u64, sent: BootInstant) -> Result<(), ObjectError> {
        self.renewal += 1;
        let changes = self.checkpoint.changes();
        let record = LeaseRecord {
            holder: self.node.to_string(),
            epoch,
            renewal: self.renewal,
            address: self.address,
            checkpoint: self.checkpoint.to_keep(),
        };
        let value =
            serde_json::to_vec(&record).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        let mine = |object: &Object| object.value.as_ref() == value.as_slice();
        let deadline = Instant::now() + LEASE_TTL.saturating_sub(sent.elapsed());
        let settled =
            put_settled(self.store.as_ref(), &self.key, expected, Bytes::from(value.clone()), deadline, mine)
                .await;
        if let Some(version) = settled.ok().and_then(Settled::version_of_whole) {
            self.highest_epoch = self.highest_epoch.max(epoch);
            self.seen = None;
            self.kept_changes = changes;
            self.held_version = Some(version);
            let valid_until = Some(sent + LEASE_TTL);
            self.state.send_replace(LeaseState { holder: record.holder, epoch, valid_until });
        }
        Ok(())
    }
}

/// A lease as written. One that can't be read was written by somebody else: it is waited for as any other, and counts as of the
/// highest epoch that there can have been, since each took a write and each write raises the version.
fn read_record(object: &Object) -> LeaseRecord {
    let unreadable = |_| LeaseRecord {
        holder: String::new(),
        epoch: object.version,
        renewal: 0,
        address: None,
        checkpoint: String::new(),
    };
    serde_json::from_slice(&object.value).unwrap_or_else(unreadable)
}
