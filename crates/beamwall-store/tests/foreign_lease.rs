//! Leases whose object was written by another writer: the contender waits, and the epoch still increases.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_store::lease::TAKEOVER_WAIT;
use beamwall_store::object::ABSENT;
use beamwall_store::{Lease, Object, ObjectError, Version, VersionedObjects};
use bytes::Bytes;
use tokio::time::Instant;

fn next(version: Version) -> Version {
    Version::new(version.era, version.number + 1)
}

/// A store of one object in memory.
#[derive(Default)]
struct SingleObjectStore(Mutex<Option<(Version, Bytes)>>);

impl SingleObjectStore {
    fn write(&self, value: &str) {
        let mut stored = self.0.lock().expect("no panic");
        let version = stored.as_ref().map_or(Version::from(40), |(version, _)| next(*version));
        *stored = Some((version, Bytes::copy_from_slice(value.as_bytes())));
    }
}

#[async_trait]
impl VersionedObjects for SingleObjectStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        let stored = self.0.lock().expect("no panic").clone();
        Ok(stored.map(|(version, value)| Object { key: key.to_owned(), version, value }))
    }

    async fn put(&self, _: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        let mut stored = self.0.lock().expect("no panic");
        let current = stored.as_ref().map_or(ABSENT, |(version, _)| *version);
        if current != expected {
            return Err(ObjectError::Conflict(current));
        }
        let written = next(current);
        *stored = Some((written, value));
        Ok(written)
    }
}

/// Steps until the contender acquires the lease, and returns its epoch.
async fn acquire(lease: &mut Lease, state: &tokio::sync::watch::Receiver<beamwall_store::LeaseState>) -> u64 {
    let started = Instant::now();
    loop {
        // An object that cannot be parsed is not an error of the store.
        lease.step().await.expect("the store responds");
        if let Some(epoch) = state.borrow().held_epoch() {
            assert!(started.elapsed() >= TAKEOVER_WAIT, "the previous writer may still act");
            return epoch;
        }
        assert!(started.elapsed() < TAKEOVER_WAIT * 3, "the lease is never acquired");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_unparsable_lease_is_taken_with_an_unused_epoch() {
    for foreign in
        ["not a lease", "{\"holder\":7}", "", "[]", "{\"holder\":\"x\",\"epoch\":-1,\"renewal\":1}"]
    {
        let store = Arc::new(SingleObjectStore::default());
        store.write(foreign);
        let (mut lease, state) = Lease::with_store("duty", "one".into(), store.clone());
        // Each epoch takes a write, so none was higher than the version.
        assert!(acquire(&mut lease, &state).await >= 40, "{foreign}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_observed_epoch_is_never_reused() {
    let store = Arc::new(SingleObjectStore::default());
    store.write("{\"holder\":\"two\",\"epoch\":60,\"renewal\":1}");
    let (mut lease, state) = Lease::with_store("duty", "one".into(), store.clone());
    lease.step().await.expect("the store responds");
    store.write("{\"holder\":\"two\",\"epoch\":3,\"renewal\":1}");
    assert!(acquire(&mut lease, &state).await > 60);
}
