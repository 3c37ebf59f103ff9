//! How recently the store has confirmed what this node holds of each resource that a few nodes watch for all.
//!
//! A node whose call the store answers holds the newest state at that moment. It reports this to its peers
//! together with the version that it holds, and a peer that holds the same or a newer one takes the
//! confirmation over and passes it on. A confirmation thus travels the way of the versions themselves, and its
//! age shows whether that way works, whatever interrupts it: a node that is refused by the store, a slow link,
//! a peer that is frozen.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_clock::Throttle;
use beamwall_events::emit;
use beamwall_events::internal_events::{ConfirmationOverdue, ConfirmationResumed};
use beamwall_model::StoreRevision;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum time between two announcements of confirmations. Changes of the list of back ends, of which there can
/// be many a second, are announced by themselves.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(500);
/// Age from which a confirmation is logged as overdue.
const OVERDUE_AFTER: Duration = Duration::from_secs(4);
/// Time between two checks for overdue confirmations.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// That a resource was held in its newest state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Revision of the store at that moment.
    pub revision: StoreRevision,
    /// The moment, by the clock that includes suspensions of the machine.
    pub at: Instant,
}

impl Confirmation {
    /// A confirmation given right now.
    pub fn now(revision: StoreRevision) -> Self {
        Self { revision, at: beamwall_clock::now() }
    }

    /// Time since the confirmation.
    pub fn age(&self) -> Duration {
        beamwall_clock::now().saturating_duration_since(self.at)
    }
}

/// The newest confirmations known to one node, by resource.
#[derive(Debug, Default)]
pub struct StoreFreshness {
    confirmed: Mutex<BTreeMap<&'static str, Confirmation>>,
    /// Limits how often confirmations are announced.
    announcements: Throttle,
    /// Notified when this node has a confirmation of its own for its peers, or has lost the store.
    pub has_news: Notify,
}

impl StoreFreshness {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Confirmation>> {
        self.confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store has confirmed to this node what it holds of a resource.
    pub fn note_answer(&self, resource: &'static str, revision: StoreRevision) {
        self.merge(resource, Confirmation::now(revision));
        if self.announcements.admit(ANNOUNCEMENT_PERIOD) {
            self.has_news.notify_one();
        }
    }

    /// Takes over a peer's confirmation of a state that this node holds, too.
    pub fn merge(&self, resource: &'static str, confirmation: Confirmation) {
        let mut confirmed = self.lock();
        let newest = confirmed.entry(resource).or_insert(confirmation);
        if confirmation.at > newest.at {
            *newest = confirmation;
        }
    }

    /// The newest confirmation of a resource; `None` before the first.
    pub fn newest(&self, resource: &str) -> Option<Confirmation> {
        self.lock().get(resource).copied()
    }

    /// The newest confirmations of all resources.
    pub fn all(&self) -> Vec<(&'static str, Confirmation)> {
        self.lock().iter().map(|(resource, confirmation)| (*resource, *confirmation)).collect()
    }
}

/// Logs resources whose confirmation is overdue, once each time, until the task is aborted.
pub async fn log_overdue(freshness: Arc<StoreFreshness>) {
    let mut overdue: BTreeMap<&'static str, Duration> = BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        for (resource, confirmation) in freshness.all() {
            let age = confirmation.age();
            if age < OVERDUE_AFTER {
                if let Some(longest) = overdue.remove(resource) {
                    let overdue_ms = longest.as_millis().to_string();
                    emit(&ConfirmationResumed { what: resource.to_owned(), overdue_ms });
                }
            } else if overdue.insert(resource, age).is_none() {
                let age_ms = age.as_millis().to_string();
                emit(&ConfirmationOverdue { what: resource.to_owned(), age_ms });
            }
        }
    }
}
