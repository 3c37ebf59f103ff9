//! Settles conditional writes: after a lost response, the object is read back to find out whether the write
//! took effect.
//!
//! Every value written contains an identifier of the write. If the object read back contains the identifier,
//! the write took effect. If the object still has the version that the write expected, the same conditional
//! write is sent again (at most one of the two can succeed). Otherwise another write won.

use std::time::Duration;

use bytes::Bytes;
use quick_error::quick_error;
use tokio::time::Instant;

use crate::object::{Object, ObjectError, Version, VersionedObjects};

/// Delay between attempts while the platform does not respond.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of a settled write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect and its response was received: the object has this version after it.
    Written(Version),
    /// The write took effect and its response was lost. The object was read afterwards and may contain later
    /// writes of others, too.
    Found(Object),
    /// Another write won; the write did not and will not take effect.
    Lost,
}

impl Settled {
    /// The version of a write that took effect. Only for writers whose `is_own_write` compares the complete
    /// value: otherwise the version of an object read back may be that of a later write.
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
        /// The write did not and will not take effect.
        NotWritten(cause: ObjectError) {
            display("not written: {}", cause)
            source(cause)
        }
        /// A write was sent, and it is unknown whether it took effect.
        Undecided(cause: ObjectError) {
            display("not known whether written: {}", cause)
            source(cause)
        }
    }
}

/// Writes `value` to `key` if the object has the version `expected`, and settles the write if its response is
/// lost. `is_own_write` returns whether an object read back contains this write; the object may contain other
/// writes as well.
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
