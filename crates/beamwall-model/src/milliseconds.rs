//! Milliseconds as whole numbers, as messages, objects and the platform tell times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A duration in milliseconds.
pub fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A time of day in milliseconds since 1970.
pub fn since_1970_ms(time: SystemTime) -> u64 {
    to_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}
