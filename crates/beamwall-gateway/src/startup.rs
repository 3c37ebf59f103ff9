//! Requests that come before a gateway knows its first policy and its first back ends.

use std::time::Duration;

/// Longest wait for both.
pub const LONGEST_WAIT: Duration = Duration::from_millis(200);

/// Waits until `is_known`, as long as a caller of this `patience` may be held without knowing whether it can be served.
pub async fn wait_known(_is_known: impl Fn() -> bool, _patience: Option<Duration>) {}
