//! Conditional writes whose answer was lost are settled by reading back.
//!
//! Every value written carries an identifier of the write. After a lost answer the object is
//! read: when it holds the identifier the write took effect; when it still has the version the
//! write named, the same conditional write is sent again (at most one of the two can succeed);
//! otherwise another write won.

use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use tokio::time::Instant;

use crate::object::{Object, ObjectError, Version, VersionedObjects};

/// Pause between tries while the platform does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of a settled write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect; nobody has written between.
    Written(Version),
    /// The write took effect and its answer was lost. This is the object as read since: others may have written too.
    Found(Object),
    /// Another write won; the write did not and will not take effect.
    Lost,
}

impl Settled {
    /// The version of a write that took effect, for writers whose `is_mine` compares the whole value.
    pub fn written_version(self) -> Option<Version> {
        match self {
            Self::Written(version) => Some(version),
            Self::Found(object) => Some(object.version),
            Self::Lost => None,
        }
    }
}

quick_error! {
    /// Why a write could not be settled before the deadline.
    #[derive(Debug)]
    pub enum SettleError {
        /// Nothing that was sent can have taken effect.
        NotWritten(cause: ObjectError) {
            display("not written: {}", cause)
            source(cause)
        }
        /// A write was sent and whether it took effect is not known.
        Undecided(cause: ObjectError) {
            display("not known whether written: {}", cause)
            source(cause)
        }
    }
}

/// Writes `value` over version `expected` of `key` and settles a lost answer. `is_mine` tells
/// whether an object as read contains this write; it may hold more.
pub async fn put_settled<F>(
    store: &dyn VersionedObjects,
    key: &str,
    expected: Version,
    value: Bytes,
    deadline: Instant,
    is_own_write: F,
) -> Result<Settled, SettleError>
where
    F: Fn(&Object) -> bool,
{
    let mut may_have_written = false;
    loop {
        let failure = match store.put(key, expected, value.clone()).await {
            Ok(version) => return Ok(Settled::Written(version)),
            Err(ObjectError::Conflict(_)) if !may_have_written => return Ok(Settled::Lost),
            Err(error) => error,
        };
        may_have_written |= !matches!(failure, ObjectError::Unavailable(_));
        if may_have_written && let Some(settled) = read_back(store, key, expected, &is_own_write).await {
            return Ok(settled);
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            return Err(if may_have_written {
                SettleError::Undecided(failure)
            } else {
                SettleError::NotWritten(failure)
            });
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn read_back<F>(
    store: &dyn VersionedObjects,
    key: &str,
    expected: Version,
    is_own_write: &F,
) -> Option<Settled>
where
    F: Fn(&Object) -> bool,
{
    match store.get(key).await {
        Ok(Some(object)) if is_own_write(&object) => Some(Settled::Found(object)),
        Ok(Some(object)) if object.version != expected => Some(Settled::Lost),
        _ => None,
    }
}
