//! Reads stored objects at the start of the node.

use std::time::Duration;

use beamwall_store::object::{Object, VersionedObjects};

/// Attempts, and the delay between them: a short outage of the store at the start does not lose the stored
/// state.
const MAX_ATTEMPTS: u32 = 5;
const READ_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What a node that starts has read of an object.
pub(super) enum ReadAtStart {
    /// The object.
    Found(Object),
    /// The store has no such object.
    Absent,
    /// The store did not answer.
    Unanswered,
}

impl ReadAtStart {
    /// The object, if there is one and the store answered.
    pub(super) fn found(self) -> Option<Object> {
        match self {
            Self::Found(object) => Some(object),
            Self::Absent | Self::Unanswered => None,
        }
    }
}

/// Reads an object, with several attempts; `on_error` receives the reason of each failed one.
pub(super) async fn read_at_start(
    objects: &dyn VersionedObjects,
    key: &str,
    on_error: impl Fn(String),
) -> ReadAtStart {
    for _ in 0..MAX_ATTEMPTS {
        match objects.get(key).await {
            Ok(Some(object)) => return ReadAtStart::Found(object),
            Ok(None) => return ReadAtStart::Absent,
            Err(error) => on_error(error.to_string()),
        }
        tokio::time::sleep(READ_RETRY_PAUSE).await;
    }
    ReadAtStart::Unanswered
}
