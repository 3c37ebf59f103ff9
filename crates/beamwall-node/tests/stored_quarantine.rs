//! Held requests in the store: known to the next nodes, and one trial of each number for all nodes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_gateway::quarantine::TrialPort;
use beamwall_model::BackendId;
use beamwall_node::gateway::stored_quarantine::StoredQuarantine;
use beamwall_quarantine::{Fingerprint, FingerprintHasher, QuarantineRegistry};
use beamwall_store::object::{Object, ObjectError, Version, VersionedObjects};
use bytes::Bytes;

/// Objects in memory.
#[derive(Default)]
struct Objects(Mutex<HashMap<String, Object>>, AtomicU64);

impl Objects {
    /// Goes back to a state without any object, as the next era.
    fn restore_empty(&self) {
        self.0.lock().expect("no panic").clear();
        self.1.fetch_add(1, Ordering::Relaxed);
    }
}

#[async_trait]
impl VersionedObjects for Objects {
    async fn get(&self, key: &str) -> Result<Option<Object>, ObjectError> {
        Ok(self.0.lock().expect("no panic").get(key).cloned())
    }

    async fn put(&self, key: &str, expected: Version, value: Bytes) -> Result<Version, ObjectError> {
        let mut objects = self.0.lock().expect("no panic");
        let current = objects.get(key).map_or(0, |object| object.version.number);
        if current != expected.number {
            return Err(ObjectError::Conflict(current.into()));
        }
        let version = current + 1;
        objects.insert(key.to_owned(), Object { key: key.to_owned(), version: version.into(), value });
        Ok(version.into())
    }

    fn era(&self) -> u64 {
        self.1.load(Ordering::Relaxed)
    }
}

struct Node {
    book: Arc<QuarantineRegistry>,
    kept: StoredQuarantine,
}

fn node(objects: &Arc<Objects>) -> Node {
    let book: Arc<QuarantineRegistry> = Arc::default();
    let kept = StoredQuarantine::new(objects.clone(), book.clone(), Arc::default());
    Node { book, kept }
}

fn now_ms() -> u64 {
    beamwall_model::since_1970_ms(std::time::SystemTime::now())
}

fn request() -> Fingerprint {
    FingerprintHasher::new(Some("alder"), "a.example", "/chat").finish()
}

fn hold(node: &Node) {
    for engine in ["i-1", "i-2", "i-3"] {
        node.book.note_termination(&BackendId::new(engine), vec![request()], now_ms());
    }
    assert!(node.book.is_held(&request()));
}

#[tokio::test]
async fn the_next_nodes_know_what_was_held() {
    let objects: Arc<Objects> = Arc::default();
    let first = node(&objects);
    hold(&first);
    first.kept.write_if_due().await;
    let next = node(&objects);
    next.kept.restore().await;
    assert_eq!(next.book.held(), first.book.held());
}

#[tokio::test]
async fn of_all_nodes_one_gets_the_trial_of_a_number() {
    let objects: Arc<Objects> = Arc::default();
    let nodes = [node(&objects), node(&objects), node(&objects)];
    nodes.iter().for_each(hold);
    for number in 1..=2 {
        let mut granted = 0;
        // Each asks twice, later each time, and none hears of the others.
        for (turn, asking) in nodes.iter().chain(&nodes).enumerate() {
            let at_ms = now_ms() + turn as u64 * 10;
            granted += usize::from(asking.kept.claim_trial(&request(), number, at_ms).await);
        }
        assert_eq!(granted, 1, "trial {number}");
    }
    let later = node(&objects);
    later.kept.restore().await;
    assert!(!later.kept.claim_trial(&request(), 2, now_ms() + 100).await, "also in a next life");
}

#[tokio::test]
async fn what_another_writer_put_there_is_overwritten() {
    let objects: Arc<Objects> = Arc::default();
    let object = Object { key: String::new(), version: 7.into(), value: Bytes::from_static(b"[1, 2]") };
    objects.0.lock().expect("no panic").insert("reports/held-requests".to_owned(), object);
    let first = node(&objects);
    first.kept.restore().await;
    hold(&first);
    first.kept.write_if_due().await;
    let next = node(&objects);
    next.kept.restore().await;
    assert!(next.book.is_held(&request()));
}

/// Guards against: held requests count as written although the store has lost them.
#[tokio::test]
async fn what_is_held_is_written_again_to_a_store_that_was_restored() {
    let objects: Arc<Objects> = Arc::default();
    let first = node(&objects);
    hold(&first);
    first.kept.write_if_due().await;
    objects.restore_empty();
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    first.kept.write_if_due().await;
    let next = node(&objects);
    next.kept.restore().await;
    assert_eq!(next.book.held(), first.book.held());
}
