//! Leases on control duties, with an increasing epoch.
//!
//! No wall clocks are compared between machines. The holder measures its term from the time at which it sent
//! the last successful renewal. A contender measures from the time at which it first observed the current
//! version, and waits longer than the term of the holder. A holder that was paused, or whose machine was
//! suspended, detects that its term has expired before it acts.
//!
//! If a process finds the lease held under its own name and address, the holder was an earlier process of the
//! same node, and it has ended, since this process now listens at the address. No process can act under that
//! term any more, so this process waits only for orders in flight. With the full wait, a holder that loses
//! power every few seconds would never acquire the lease again, since each restart begins the wait anew.
//!
//! A store that is restored from a copy has lost the lease, or holds it as it was. The holder within its term writes
//! it again. Any other node that knew the lease waits as for one that another node holds; and since nobody may
//! remember the epochs that were used, those of an era begin above all of the earlier eras.
//!
//! With each renewal the holder stores a checkpoint of its work under the lease. The next holder continues
//! from this checkpoint.

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

/// Term of a lease: time for which a holder may act after it sent a successful renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// Maximum time for which an order may be in flight after the process that sent it has ended.
pub const MAX_ORDER_FLIGHT_TIME: Duration = Duration::from_secs(2);
/// Time for which the lease of another node must be unchanged before a contender acquires it.
pub const TAKEOVER_WAIT: Duration = LEASE_TTL.saturating_add(MAX_ORDER_FLIGHT_TIME);
/// Maximum time between renewals.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Time between renewals while the checkpoint changes. It is a little longer than the heartbeat period of
/// 0.5 s, within which counts reach the holder.
const CHECKPOINT_PERIOD: Duration = Duration::from_millis(650);
/// Maximum time between polls of the lease of another node. A live holder renews its lease within this time.
const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time between checks whether the checkpoint has changed.
const CHANGE_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Epochs that one era of the store has room for. It exceeds the writes of a store over its whole life.
const EPOCHS_PER_ERA: u64 = 1 << 32;
/// A holder stops acting this long before its term expires.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// The key of the object that holds the lease of this name.
pub fn key_of(name: &str) -> String {
    format!("leases/{name}")
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaseRecord {
    holder: String,
    epoch: u64,
    renewal: u64,
    /// Address at which the holder listens, since two machines may have the same name. Earlier builds write
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    address: Option<SocketAddr>,
    /// Checkpoint stored by the holder for the next holder of the lease.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    checkpoint: String,
}

/// State that the holder of a lease stores with each renewal, and that its successor restores.
pub trait Checkpoint: Send + Sync + 'static {
    /// Encodes the current state for storage.
    fn saved_state(&self) -> String;
    /// A counter that changes whenever the state to be stored changes.
    fn change_count(&self) -> u64;
    /// Restores the state stored by the last holder. It is called before the write that acquires the lease,
    /// which may still fail.
    fn restore(&self, saved: &str);
}

/// The checkpoint of leases whose holders store no state.
struct NoCheckpoint;

impl Checkpoint for NoCheckpoint {
    fn saved_state(&self) -> String {
        String::new()
    }

    fn change_count(&self) -> u64 {
        0
    }

    fn restore(&self, _: &str) {}
}

/// The state of a lease as known to this node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseState {
    /// The last observed holder; empty if none was observed.
    pub holder: String,
    /// The last observed epoch.
    pub epoch: u64,
    /// End of the term of this node; `None` if it is not the holder.
    pub valid_until: Option<BootInstant>,
}

impl LeaseState {
    /// The epoch under which this node may act now; `None` if its term has expired or is about to.
    pub fn held_epoch(&self) -> Option<u64> {
        let until = self.valid_until?;
        (BootInstant::now() + SAFETY_MARGIN < until).then_some(self.epoch)
    }
}

/// A lease that this node holds or contends for.
pub struct Lease {
    key: String,
    node: NodeId,
    address: Option<SocketAddr>,
    checkpoint: Arc<dyn Checkpoint>,
    /// Change count of the checkpoint stored by the last write.
    saved_change_count: u64,
    store: Arc<dyn VersionedObjects>,
    state: watch::Sender<LeaseState>,
    observed: Option<(Version, BootInstant)>,
    /// The highest observed epoch. A used epoch is never used again, whatever another writer writes to the
    /// object.
    highest_epoch: u64,
    /// The version of the last write of this node. The next renewal expects it without reading the object.
    held_version: Option<Version>,
    renewal: u64,
}

impl Lease {
    /// Creates a lease stored at `leases/<name>`, and a receiver of its state.
    pub fn new(
        name: &str,
        node: NodeId,
        store: impl VersionedObjects,
    ) -> (Self, watch::Receiver<LeaseState>) {
        Self::with_store(name, node, Arc::new(store))
    }

    /// Creates a lease in a shared store.
    pub fn with_store(
        name: &str,
        node: NodeId,
        store: Arc<dyn VersionedObjects>,
    ) -> (Self, watch::Receiver<LeaseState>) {
        let (state, receiver) = watch::channel(LeaseState::default());
        let renewal = rand::random::<u32>().into();
        let key = key_of(name);
        let lease = Self {
            key,
            node,
            address: None,
            checkpoint: Arc::new(NoCheckpoint),
            saved_change_count: 0,
            store,
            state,
            observed: None,
            highest_epoch: 0,
            held_version: None,
            renewal,
        };
        (lease, receiver)
    }

    /// Sets the address at which this process listens. No other process can listen there at the same time.
    pub fn with_address(self, address: SocketAddr) -> Self {
        Self { address: Some(address), ..self }
    }

    /// Sets the checkpoint that is stored with each renewal.
    pub fn with_checkpoint(self, checkpoint: Arc<dyn Checkpoint>) -> Self {
        Self { checkpoint, ..self }
    }

    /// Renews or contends for the lease until the task is cancelled.
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
            return tokio::time::sleep(self.poll_delay()).await;
        }
        tokio::time::sleep(CHECKPOINT_PERIOD).await;
        while since.elapsed() < RENEW_PERIOD && self.checkpoint.change_count() == self.saved_change_count {
            tokio::time::sleep(CHANGE_POLL_PERIOD).await;
        }
    }

    /// Time until the lease of another node is polled again: the remaining time until this node may acquire
    /// it, but at most [`POLL_PERIOD`], within which a live holder renews it.
    fn poll_delay(&self) -> Duration {
        let Some((_, since)) = self.observed else { return RENEW_PERIOD };
        let unchanged = since.elapsed();
        let waits = [MAX_ORDER_FLIGHT_TIME, TAKEOVER_WAIT];
        let remaining_waits =
            waits.into_iter().filter_map(|wait| wait.checked_sub(unchanged)).filter(|left| !left.is_zero());
        remaining_waits.chain([POLL_PERIOD]).min().unwrap_or(POLL_PERIOD)
    }

    /// Reads the lease if this node does not hold it, and renews or acquires it if that is due.
    pub async fn step(&mut self) -> Result<(), ObjectError> {
        let sent = BootInstant::now();
        if let Some(version) = self.held_version.take()
            && let Some(epoch) = self.current_epoch(sent)
        {
            return self.write(version, epoch, sent).await;
        }
        let Some(object) = self.store.get(&self.key).await? else {
            return self.step_without_lease(sent).await;
        };
        let record = read_record(&object);
        if let Some(epoch) = self.epoch_to_renew(&record, sent) {
            return self.write(object.version, epoch, sent).await;
        }
        self.observe_record(&object, &record);
        if self.unchanged_for() >= self.takeover_wait(&record) {
            self.checkpoint.restore(&record.checkpoint);
            return self.write(object.version, self.next_epoch(), BootInstant::now()).await;
        }
        Ok(())
    }

    /// The store has no lease: nobody ever held it, or the store lost it.
    async fn step_without_lease(&mut self, sent: BootInstant) -> Result<(), ObjectError> {
        if let Some(epoch) = self.current_epoch(sent) {
            return self.write(ABSENT, epoch, sent).await;
        }
        if self.highest_epoch > 0 {
            self.observe_version(ABSENT);
            if self.unchanged_for() < TAKEOVER_WAIT {
                return Ok(());
            }
        }
        self.write(ABSENT, self.next_epoch(), BootInstant::now()).await
    }

    /// The epoch under which this process renews the lease that it read: its own, if it is the holder. A record of an
    /// earlier epoch is one that the store went back to; its holder had lost the lease before this process took it.
    fn epoch_to_renew(&self, record: &LeaseRecord, now: BootInstant) -> Option<u64> {
        let epoch = self.current_epoch(now)?;
        let is_own = record.holder == self.node.as_str() && record.epoch == epoch;
        (is_own || record.epoch < epoch).then_some(epoch)
    }

    /// An epoch that nobody used: above all that this node knows of, and above those of earlier eras.
    fn next_epoch(&self) -> u64 {
        (self.highest_epoch + 1).max(first_epoch(self.store.era()))
    }

    /// The epoch held by this process, unless its term has expired. The name of the node tells nothing: it is the same
    /// after a restart, while the earlier process may have orders in flight.
    fn current_epoch(&self, now: BootInstant) -> Option<u64> {
        let state = self.state.borrow();
        let until = state.valid_until?;
        (now < until).then_some(state.epoch)
    }

    /// Time for which a lease must be unchanged before this node may acquire it.
    fn takeover_wait(&self, record: &LeaseRecord) -> Duration {
        let is_own = record.holder == self.node.as_str() && record.address == self.address;
        if is_own { MAX_ORDER_FLIGHT_TIME } else { TAKEOVER_WAIT }
    }

    fn observe_record(&mut self, object: &Object, record: &LeaseRecord) {
        self.highest_epoch = self.highest_epoch.max(record.epoch);
        self.observe_version(object.version);
        let state = LeaseState { holder: record.holder.clone(), epoch: record.epoch, valid_until: None };
        self.state.send_if_modified(|current| {
            let changed = *current != state;
            *current = state;
            changed
        });
    }

    fn observe_version(&mut self, version: Version) {
        if self.observed.is_none_or(|(known, _)| known != version) {
            self.observed = Some((version, BootInstant::now()));
        }
    }

    fn unchanged_for(&self) -> Duration {
        self.observed.map_or(Duration::ZERO, |(_, since)| since.elapsed())
    }

    async fn write(&mut self, expected: Version, epoch: u64, sent: BootInstant) -> Result<(), ObjectError> {
        self.renewal += 1;
        let change_count = self.checkpoint.change_count();
        let record = LeaseRecord {
            holder: self.node.to_string(),
            epoch,
            renewal: self.renewal,
            address: self.address,
            checkpoint: self.checkpoint.saved_state(),
        };
        let value =
            serde_json::to_vec(&record).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        let is_own_write = |object: &Object| object.value.as_ref() == value.as_slice();
        let deadline = Instant::now() + LEASE_TTL.saturating_sub(sent.elapsed());
        let settled = put_settled(
            self.store.as_ref(),
            &self.key,
            expected,
            Bytes::from(value.clone()),
            deadline,
            is_own_write,
        )
        .await;
        if let Some(version) = settled.ok().and_then(Settled::written_version) {
            self.highest_epoch = self.highest_epoch.max(epoch);
            self.observed = None;
            self.saved_change_count = change_count;
            self.held_version = Some(version);
            let valid_until = Some(sent + LEASE_TTL);
            self.state.send_replace(LeaseState { holder: record.holder, epoch, valid_until });
        }
        Ok(())
    }
}

/// Parses a lease. An object that cannot be parsed was written by an unknown writer: it is treated as a lease
/// of another holder. Its epoch is taken to be the highest possible one of its era, since each new epoch takes a
/// write and each write increases the version.
fn read_record(object: &Object) -> LeaseRecord {
    let unreadable = |_| LeaseRecord {
        holder: String::new(),
        epoch: first_epoch(object.version.era) + object.version.number,
        renewal: 0,
        address: None,
        checkpoint: String::new(),
    };
    serde_json::from_slice(&object.value).unwrap_or_else(unreadable)
}

/// The first epoch that is taken in an era, unless a higher one was used before; 0 if the store names no era.
fn first_epoch(era: u64) -> u64 {
    era.saturating_mul(EPOCHS_PER_ERA)
}
