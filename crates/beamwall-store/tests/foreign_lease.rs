//! A lease whose object another writer wrote: it is no lease of ours, and its epoch still rises.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_store::lease::TAKEOVER_WAIT;
use beamwall_store::object::ABSENT;
use beamwall_store::{Lease, Object, ObjectError, Version, VersionedObjects};
use bytes::Bytes;
use tokio::time::Instant;

/// One object in memory.
#[derive(Default)]
struct OneObject(Mutex<Option<(Version, Bytes)>>);

impl OneObject {
    fn write(&self, value: &str) {
        let mut held = self.0.lock().expect("no panic");
        let version = held.as_ref().map_or(40, |(version, _)| version + 1);
        *held = Some((version, Bytes::copy_from_slice(value.as_bytes())));
    }
}

#[async_trait]
impl VersionedObjects for OneObject {
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        let held = self.0.lock().expect("no panic").clone();
        Ok(held.map(|(version, value)| Object { key: key.to_owned(), version, value }))
    }

    async fn put(&self, _: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        let mut held = self.0.lock().expect("no panic");
        let current = held.as_ref().map_or(ABSENT, |(version, _)| *version);
        if current != expected {
            return Err(ObjectError::Conflict(current));
        }
        *held = Some((current + 1, value));
        Ok(current + 1)
    }
}

/// The epoch under which a contender holds the lease in the end.
async fn take(lease: &mut Lease, state: &tokio::sync::watch::Receiver<beamwall_store::LeaseState>) -> u64 {
    let begun = Instant::now();
    loop {
        // An object that can't be read is no failure of the store.
        lease.step().await.expect("the store answers");
        if let Some(epoch) = state.borrow().held_epoch() {
            assert!(begun.elapsed() >= TAKEOVER_WAIT, "whoever wrote it may act");
            return epoch;
        }
        assert!(begun.elapsed() < TAKEOVER_WAIT * 3, "it is never taken");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_cannot_be_read_is_taken_with_an_epoch_that_nobody_had() {
    for foreign in
        ["not a lease", "{\"holder\":7}", "", "[]", "{\"holder\":\"x\",\"epoch\":-1,\"renewal\":1}"]
    {
        let store = Arc::new(OneObject::default());
        store.write(foreign);
        let (mut lease, state) = Lease::over("duty", "one".into(), store.clone());
        // Each epoch took a write, so none was higher than the version.
        assert!(take(&mut lease, &state).await >= 40, "{foreign}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_epoch_that_was_seen_is_never_given_again() {
    let store = Arc::new(OneObject::default());
    store.write("{\"holder\":\"two\",\"epoch\":60,\"renewal\":1}");
    let (mut lease, state) = Lease::over("duty", "one".into(), store.clone());
    lease.step().await.expect("the store answers");
    store.write("{\"holder\":\"two\",\"epoch\":3,\"renewal\":1}");
    assert!(take(&mut lease, &state).await > 60);
}
