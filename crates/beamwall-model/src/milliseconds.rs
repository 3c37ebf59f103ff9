//! Times as whole milliseconds, as used in messages, stored objects and the API of the platform.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A duration in milliseconds; `u64::MAX` if it is longer.
pub fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A wall clock time in milliseconds since 1970; 0 for an earlier time.
pub fn since_1970_ms(time: SystemTime) -> u64 {
    to_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}
