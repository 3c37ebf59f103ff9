//! Leases in a store that was restored from a copy: it has lost the lease, or holds it as it was.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_store::era;
use beamwall_store::lease::{LEASE_TTL, TAKEOVER_WAIT};
use beamwall_store::object::ABSENT;
use beamwall_store::{Lease, LeaseState, Object, ObjectError, Version, VersionedObjects};
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

const STEP_PERIOD: Duration = Duration::from_millis(500);

type Stored = Option<(Version, Bytes)>;

#[derive(Default)]
struct State {
    era: u64,
    revision: u64,
    stored: Stored,
}

/// A store of one object in memory, which can be restored.
#[derive(Default)]
struct RestoredStore(Mutex<State>);

impl RestoredStore {
    fn in_era(era: u64) -> Arc<Self> {
        Arc::new(Self(Mutex::new(State { era, ..State::default() })))
    }

    fn copy(&self) -> (u64, Stored) {
        let state = self.0.lock().expect("no panic");
        (state.revision, state.stored.clone())
    }

    /// Goes back to a copy, as the next era.
    fn restore(&self, (revision, stored): (u64, Stored)) {
        let mut state = self.0.lock().expect("no panic");
        state.era += 1;
        state.revision = revision;
        state.stored = stored.map(|(version, value)| (Version::new(state.era, version.number), value));
    }
}

#[async_trait]
impl VersionedObjects for RestoredStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        let stored = self.0.lock().expect("no panic").stored.clone();
        Ok(stored.map(|(version, value)| Object { key: key.to_owned(), version, value }))
    }

    async fn put(&self, _: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        let mut state = self.0.lock().expect("no panic");
        era::check_write(expected, state.era, state.era)?;
        let current = state.stored.as_ref().map_or(ABSENT, |(version, _)| *version);
        if current != expected {
            return Err(ObjectError::Conflict(current));
        }
        state.revision += 1;
        let written = Version::new(state.era, state.revision);
        state.stored = Some((written, value));
        Ok(written)
    }

    fn era(&self) -> u64 {
        self.0.lock().expect("no panic").era
    }
}

fn lease(node: &str, store: &Arc<RestoredStore>) -> (Lease, watch::Receiver<LeaseState>) {
    Lease::with_store("duty", node.into(), store.clone())
}

/// Steps until the lease is held, and returns its epoch.
async fn acquire(lease: &mut Lease, state: &watch::Receiver<LeaseState>) -> u64 {
    let started = Instant::now();
    loop {
        lease.step().await.expect("the store responds");
        if let Some(epoch) = state.borrow().held_epoch() {
            return epoch;
        }
        assert!(started.elapsed() < TAKEOVER_WAIT * 3, "the lease is never acquired");
        tokio::time::sleep(STEP_PERIOD).await;
    }
}

/// Guards against: the holder loses its lease to the return of the store, or goes on with it beside another one.
#[tokio::test(start_paused = true)]
async fn the_holder_goes_on_under_its_epoch_within_its_term() {
    for has_older_lease in [false, true] {
        let store = RestoredStore::in_era(1);
        let (mut earlier, _) = lease("two", &store);
        let without = store.copy();
        earlier.step().await.expect("the store responds");
        let older = store.copy();
        let (mut holder, state) = lease("one", &store);
        let epoch = acquire(&mut holder, &state).await;
        store.restore(if has_older_lease { older } else { without });
        holder.step().await.expect("the store responds");
        tokio::time::sleep(LEASE_TTL / 2).await;
        holder.step().await.expect("the store responds");
        assert_eq!(state.borrow().held_epoch(), Some(epoch));
        let (mut contender, contender_state) = lease("three", &store);
        contender.step().await.expect("the store responds");
        assert_eq!(contender_state.borrow().holder, "one", "the store has the holder's lease again");
    }
}

/// Guards against: a contender takes a lease that the store lost while its holder may still act.
#[tokio::test(start_paused = true)]
async fn a_contender_that_knew_the_lease_waits_before_it_takes_one_that_was_lost() {
    let store = RestoredStore::in_era(1);
    let empty = store.copy();
    let (mut holder, held) = lease("one", &store);
    let epoch = acquire(&mut holder, &held).await;
    let (mut contender, state) = lease("two", &store);
    contender.step().await.expect("the store responds");
    store.restore(empty);
    let lost = Instant::now();
    let taken = acquire(&mut contender, &state).await;
    assert!(lost.elapsed() >= TAKEOVER_WAIT, "the holder may still act after {:?}", lost.elapsed());
    assert!(taken > epoch, "{taken} after {epoch}");
}

/// Guards against: a node that knows nothing of a lost lease uses an epoch again that an earlier holder used.
#[tokio::test(start_paused = true)]
async fn epochs_of_an_era_are_above_those_of_earlier_eras() {
    let store = RestoredStore::in_era(1);
    let empty = store.copy();
    let mut highest = 0;
    for node in ["one", "two", "three"] {
        let (mut holder, state) = lease(node, &store);
        let epoch = acquire(&mut holder, &state).await;
        assert!(epoch > highest, "{epoch} after {highest}");
        highest = epoch;
        let (mut successor, state) = lease("other", &store);
        let later = acquire(&mut successor, &state).await;
        assert!(later > highest, "{later} after {highest}");
        highest = later;
        store.restore(empty.clone());
    }
}

/// Guards against: the same where the copy holds the lease of a holder before the last.
#[tokio::test(start_paused = true)]
async fn an_older_lease_in_the_copy_does_not_lead_to_an_epoch_that_was_used() {
    let store = RestoredStore::in_era(1);
    let (mut first, state) = lease("one", &store);
    acquire(&mut first, &state).await;
    let copy = store.copy();
    let (mut second, state) = lease("two", &store);
    let used = acquire(&mut second, &state).await;
    store.restore(copy);
    let (mut stranger, state) = lease("three", &store);
    let taken = acquire(&mut stranger, &state).await;
    assert!(taken > used, "{taken} after {used}");
}

/// Guards against: a store that names no eras hands out other epochs than before.
#[tokio::test(start_paused = true)]
async fn a_store_without_eras_begins_with_the_first_epoch() {
    let store = RestoredStore::in_era(0);
    let (mut holder, state) = lease("one", &store);
    assert_eq!(acquire(&mut holder, &state).await, 1);
}
