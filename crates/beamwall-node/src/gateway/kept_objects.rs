//! Reads what was kept in the store, at a start.

use std::time::Duration;

use beamwall_store::object::{Object, VersionedObjects};

/// Tries, and the pause between them: a store that is away for a moment costs nothing that was kept.
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_secs(1);

/// Reads an object until there is an answer, a few times; `tell` is told why there was none. `None`: it does not exist, or
/// the store gave no answer.
pub(super) async fn read_at_start(
    objects: &dyn VersionedObjects,
    key: &str,
    tell: impl Fn(String),
) -> Option<Object> {
    for _ in 0..TRIES {
        match objects.get(key).await {
            Ok(object) => return object,
            Err(error) => tell(error.to_string()),
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}
