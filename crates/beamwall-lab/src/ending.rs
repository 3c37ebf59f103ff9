//! Requests under which a stand-in ends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

/// Time that a request runs under which a stand-in ends.
const RUN_BEFORE_END: Duration = Duration::from_millis(60);

/// Under which requests one stand-in ends, and whether it is due to.
#[derive(Debug, Default)]
pub struct Ending {
    /// Bytes in a request under each of which it ends.
    markers: Mutex<Vec<Vec<u8>>>,
    /// Milliseconds for which it writes a stream under which it ends.
    written_ms: AtomicU64,
    due: Notify,
}

impl Ending {
    /// Ends under each request that holds `marker`, as under those that hold earlier ones, soon after it has
    /// begun to run it.
    pub fn end_under(&self, marker: &[u8]) {
        if !marker.is_empty() {
            self.markers.lock().unwrap_or_else(PoisonError::into_inner).push(marker.to_vec());
        }
    }

    /// Whether it ends under a request with this content.
    pub fn ends_under(&self, content: &[u8]) -> bool {
        let markers = self.markers.lock().unwrap_or_else(PoisonError::into_inner);
        let holds = |marker: &Vec<u8>| content.windows(marker.len()).any(|bytes| bytes == marker.as_slice());
        markers.iter().any(holds)
    }

    /// Runs a request under which it ends, up to its end.
    pub async fn run_up_to_end(&self) {
        tokio::time::sleep(RUN_BEFORE_END).await;
    }

    /// Writes a stream under which it ends for a while before it does.
    pub fn write_before_end(&self, time: Duration) {
        self.written_ms.store(u64::try_from(time.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// For how long it writes a stream under which it ends; zero if it writes none of it.
    pub fn written_before_end(&self) -> Duration {
        Duration::from_millis(self.written_ms.load(Ordering::Relaxed))
    }

    /// Ends now, whatever it runs.
    pub fn end_now(&self) {
        self.due.notify_one();
    }

    /// Waits until it is due to end. Whoever owns the stand-in closes its listener then.
    pub async fn is_due(&self) {
        self.due.notified().await;
    }
}
