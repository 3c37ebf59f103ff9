//! Reads stored objects at the start of the node.

use std::time::Duration;

use beamwall_store::object::{Object, VersionedObjects};

/// Attempts, and the delay between them: a short outage of the store at the start does not lose the stored
/// state.
const MAX_ATTEMPTS: u32 = 5;
const READ_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reads an object, with several attempts; `on_error` receives the reason of each failed one. Returns `None`
/// if the object does not exist or the store did not answer.
pub(super) async fn read_at_start(
    objects: &dyn VersionedObjects,
    key: &str,
    on_error: impl Fn(String),
) -> Option<Object> {
    for _ in 0..MAX_ATTEMPTS {
        match objects.get(key).await {
            Ok(object) => return object,
            Err(error) => on_error(error.to_string()),
        }
        tokio::time::sleep(READ_RETRY_PAUSE).await;
    }
    None
}
