//! Held requests, kept in the store: when all gateways are killed at once, the next ones need not learn them by the ends of more
//! back ends. Trials are granted there, too: the store's conditional write lets one node have each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_clock::Throttle;
use beamwall_events::emit;
use beamwall_events::internal_events::HeldRequestsNotKept;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::quarantine::TrialPort;
use beamwall_quarantine::{Evidence, Fingerprint, QuarantineBook, Suspect};
use beamwall_store::object::{ABSENT, Object, ObjectError, VersionedObjects};
use bytes::Bytes;

use crate::gateway::stored_objects::read_at_start;

/// The object.
const KEY: &str = "reports/held-requests";
/// Least time between two writes of the node that holds the lease on duties.
const WRITE_PERIOD: Duration = Duration::from_secs(1);

/// What is kept of all, by their fingerprints in hexadecimal digits.
type StoredRequests = BTreeMap<String, Suspect>;

/// The object in the store.
pub struct StoredQuarantine {
    objects: Arc<dyn VersionedObjects>,
    book: Arc<QuarantineBook>,
    clock: Arc<FleetClock>,
    /// The digest of what was last written.
    written_digest: AtomicU64,
    write_throttle: Throttle,
}

impl StoredQuarantine {
    /// What is kept of `book`.
    pub fn new(
        objects: Arc<dyn VersionedObjects>,
        book: Arc<QuarantineBook>,
        clock: Arc<FleetClock>,
    ) -> Self {
        Self {
            objects,
            book,
            clock,
            written_digest: AtomicU64::default(),
            write_throttle: Throttle::default(),
        }
    }

    /// Writes what is held where it has changed; run by the node that holds the lease on duties. A failure is said and
    /// tried again a period later.
    pub async fn write_if_due(&self) {
        let digest = self.book.kept_digest();
        if digest == self.written_digest.load(Ordering::Relaxed) || !self.write_throttle.admit(WRITE_PERIOD) {
            return;
        }
        match self.write(|_| true).await {
            Ok(_) => self.written_digest.store(digest, Ordering::Relaxed),
            Err(error) => log_not_stored(error.to_string()),
        }
    }

    /// Reads what is kept, at a start. Without it the node hears of held requests from its peers.
    pub async fn restore(&self) {
        if let Some(object) = read_at_start(self.objects.as_ref(), KEY, log_not_stored).await {
            self.book.hear(decode(&read(&object)), self.clock.now_ms());
        }
    }

    /// Writes what is held, with what the store knows of it, unless `change` finds that it shall not be.
    async fn write(&self, change: impl FnOnce(&mut StoredRequests) -> bool) -> Result<bool, ObjectError> {
        let stored = self.objects.get(KEY).await?;
        if let Some(stored) = &stored {
            // A trial may have been granted to a node that has not told of it.
            self.book.hear(decode(&read(stored)), self.clock.now_ms());
        }
        let mut requests = encode(self.book.kept());
        if !change(&mut requests) {
            return Ok(false);
        }
        let value =
            serde_json::to_vec(&requests).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        self.objects
            .put(KEY, stored.map_or(ABSENT, |stored| stored.version), Bytes::from(value))
            .await
            .map(|_| true)
    }
}

#[async_trait]
impl TrialPort for StoredQuarantine {
    async fn take(&self, request: &Fingerprint, number: u32, now_ms: u64) -> bool {
        let grant = |requests: &mut StoredRequests| match requests.get_mut(&request.to_hex()) {
            // Of one number there is one trial, whenever it is asked for.
            Some(known) if known.trials < number => known.note_trial(number, now_ms),
            _ => false,
        };
        match self.write(grant).await {
            Ok(is_granted) => is_granted,
            // Another node wrote first, and may have been granted the trial.
            Err(ObjectError::Conflict(_)) => false,
            Err(error) => {
                log_not_stored(error.to_string());
                false
            }
        }
    }
}

fn log_not_stored(reason: String) {
    emit(&HeldRequestsNotKept { reason });
}

/// What an object holds. What another writer put there is no evidence, and is overwritten.
fn read(object: &Object) -> StoredRequests {
    serde_json::from_slice(&object.value).unwrap_or_else(|error| {
        log_not_stored(error.to_string());
        StoredRequests::new()
    })
}

fn encode(requests: BTreeMap<Fingerprint, Suspect>) -> StoredRequests {
    requests.into_iter().map(|(request, suspect)| (request.to_hex(), suspect)).collect()
}

/// What is kept as evidence; a name that is no fingerprint is passed over.
fn decode(requests: &StoredRequests) -> Evidence {
    let named = requests.iter().filter_map(|(name, suspect)| Some((Fingerprint::from_hex(name)?, suspect)));
    let suspects: Vec<(Fingerprint, &Suspect)> = named.collect();
    Evidence::of(suspects.iter().map(|(request, suspect)| (request, *suspect)))
}
