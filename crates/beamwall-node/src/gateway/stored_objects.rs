//! Reads what was kept in the store, at a start.

use std::time::Duration;

use beamwall_store::object::{Object, VersionedObjects};

/// Tries, and the pause between them: a store that is away for a moment costs nothing that was kept.
const MAX_ATTEMPTS: u32 = 5;
const READ_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Reads an object until there is an answer, a few times; `tell` is told why there was none. `None`: it does not exist, or
/// the store gave no answer.
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
