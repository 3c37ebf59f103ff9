//! Held requests in the control store: when all gateways are killed at once, their successors need not learn
//! them from the termination of more back ends. Trials are granted there too: the store's conditional write
//! grants each one to a single node.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_clock::Throttle;
use beamwall_events::emit;
use beamwall_events::internal_events::HeldRequestsNotKept;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::quarantine::TrialPort;
use beamwall_quarantine::{Evidence, Fingerprint, QuarantineRegistry, Suspect};
use beamwall_store::object::{ABSENT, Object, ObjectError, VersionedObjects};
use bytes::Bytes;

use crate::gateway::stored_objects::read_at_start;

/// Key of the object.
const KEY: &str = "reports/held-requests";
/// Minimum time between two writes of the node that holds the duties lease.
const WRITE_PERIOD: Duration = Duration::from_secs(1);

/// Digest while no request was ever held.
const NEVER_HELD: u64 = 0;

/// The stored requests, by fingerprint in hexadecimal digits.
type StoredRequests = BTreeMap<String, Suspect>;

/// What was written, and the store's era in which it was: a later era may have lost it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Written {
    digest: u64,
    era: u64,
}

/// The object in the store.
pub struct StoredQuarantine {
    objects: Arc<dyn VersionedObjects>,
    registry: Arc<QuarantineRegistry>,
    clock: Arc<FleetClock>,
    /// The last write.
    written: Mutex<Written>,
    write_throttle: Throttle,
}

impl StoredQuarantine {
    /// Stores the held requests of `registry`.
    pub fn new(
        objects: Arc<dyn VersionedObjects>,
        registry: Arc<QuarantineRegistry>,
        clock: Arc<FleetClock>,
    ) -> Self {
        Self { objects, registry, clock, written: Mutex::default(), write_throttle: Throttle::default() }
    }

    /// Writes the held requests if they have changed; used by the node that holds the duties lease. A failure
    /// is logged and retried a period later.
    pub async fn write_if_due(&self) {
        let current = Written { digest: self.registry.persistent_digest(), era: self.objects.era() };
        if self.is_written(current) || !self.write_throttle.admit(WRITE_PERIOD) {
            return;
        }
        match self.write(|_| true).await {
            Ok(_) => *self.lock_written() = current,
            Err(error) => log_not_stored(error.to_string()),
        }
    }

    fn lock_written(&self) -> MutexGuard<'_, Written> {
        self.written.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the store holds this already. As long as no request was ever held, there is nothing to write.
    fn is_written(&self, current: Written) -> bool {
        let written = *self.lock_written();
        written.digest == current.digest && (written.era == current.era || current.digest == NEVER_HELD)
    }

    /// Restores the stored requests at the start. Without them the node receives the held requests from its
    /// peers.
    pub async fn restore(&self) {
        if let Some(object) = read_at_start(self.objects.as_ref(), KEY, log_not_stored).await.found() {
            self.registry.merge_evidence(decode(&parse_object(&object)), self.clock.now_ms());
        }
    }

    /// Merges the stored requests with the local ones and writes them, unless `change` returns false.
    async fn write(&self, change: impl FnOnce(&mut StoredRequests) -> bool) -> Result<bool, ObjectError> {
        let stored = self.objects.get(KEY).await?;
        if let Some(stored) = &stored {
            // A trial may have been granted to a node that has not announced it.
            self.registry.merge_evidence(decode(&parse_object(stored)), self.clock.now_ms());
        }
        let mut requests = encode(self.registry.persistent_suspects());
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
    async fn claim_trial(&self, request: &Fingerprint, number: u32, now_ms: u64) -> bool {
        let grant = |requests: &mut StoredRequests| match requests.get_mut(&request.to_hex()) {
            // A trial number is granted only once, however often it is requested.
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

/// Parses the object. Content of another writer that can't be parsed is logged and will be overwritten.
fn parse_object(object: &Object) -> StoredRequests {
    serde_json::from_slice(&object.value).unwrap_or_else(|error| {
        log_not_stored(error.to_string());
        StoredRequests::new()
    })
}

fn encode(requests: BTreeMap<Fingerprint, Suspect>) -> StoredRequests {
    requests.into_iter().map(|(request, suspect)| (request.to_hex(), suspect)).collect()
}

/// Converts stored requests to evidence; names that are not fingerprints are skipped.
fn decode(requests: &StoredRequests) -> Evidence {
    let named = requests.iter().filter_map(|(name, suspect)| Some((Fingerprint::from_hex(name)?, suspect)));
    let suspects: Vec<(Fingerprint, &Suspect)> = named.collect();
    Evidence::from_suspects(suspects.iter().map(|(request, suspect)| (request, *suspect)))
}
