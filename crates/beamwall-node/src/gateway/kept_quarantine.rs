//! Held requests, kept in the store: when all gateways are killed at once, the next ones need not learn them by the ends of more
//! back ends. Trials are granted there, too: the store's conditional write lets one node have each.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_events::emit;
use beamwall_events::internal_events::HeldRequestsNotKept;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::quarantine::TrialPort;
use beamwall_model::BackendId;
use beamwall_quarantine::fingerprint::FINGERPRINT_BYTES;
use beamwall_quarantine::{Completion, Ending, Evidence, Fingerprint, QuarantineBook, Trial};
use beamwall_store::object::{ABSENT, ObjectError, Version, VersionedObjects};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The object.
const KEY: &str = "reports/held-requests";
/// Least time between two writes of the node that holds the lease on duties.
const KEEP_PERIOD: Duration = Duration::from_secs(1);
/// Tries to read it at a start, and the pause between them.
const RECALL_TRIES: u32 = 5;
const RECALL_PAUSE: Duration = Duration::from_secs(1);

/// What is kept of one request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct KeptRequest {
    /// Back ends that ended under it, and when, in milliseconds since 1970.
    endings: BTreeMap<String, u64>,
    /// When it last ran to an end; 0: never.
    completed_ms: u64,
    /// Trials granted.
    trials: u32,
    /// When the last one was granted.
    trial_ms: u64,
}

/// What is kept of all, by their fingerprints in hexadecimal digits.
type KeptRequests = BTreeMap<String, KeptRequest>;

/// The object in the store.
pub struct KeptQuarantine {
    objects: Arc<dyn VersionedObjects>,
    book: Arc<QuarantineBook>,
    clock: Arc<FleetClock>,
    /// The digest of what was last written or read, and when it was tried.
    written: Mutex<(u64, Option<Instant>)>,
}

impl KeptQuarantine {
    /// What is kept of `book`.
    pub(super) fn new(
        objects: Arc<dyn VersionedObjects>,
        book: Arc<QuarantineBook>,
        clock: Arc<FleetClock>,
    ) -> Self {
        Self { objects, book, clock, written: Mutex::default() }
    }

    /// Writes what is held where it has changed; run by the node that holds the lease on duties. A failure is said and
    /// tried again a period later.
    pub(super) async fn keep_due(&self) {
        let digest = self.book.kept_digest();
        {
            let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
            let is_due = written.1.is_none_or(|tried| tried.elapsed() >= KEEP_PERIOD);
            if digest == written.0 || !is_due {
                return;
            }
            written.1 = Some(Instant::now());
        }
        match self.write(|_| true).await {
            Ok(_) => self.written.lock().unwrap_or_else(PoisonError::into_inner).0 = digest,
            Err(error) => emit(&HeldRequestsNotKept { reason: error.to_string() }),
        }
    }

    /// Reads what is kept, at a start. Without it the node hears of held requests from its peers.
    pub(super) async fn recall(&self) {
        for _ in 0..RECALL_TRIES {
            match self.read().await {
                Ok((_, kept)) => {
                    self.book.hear(decode(&kept), self.clock.now_ms());
                    return;
                }
                Err(error) => emit(&HeldRequestsNotKept { reason: error.to_string() }),
            }
            tokio::time::sleep(RECALL_PAUSE).await;
        }
    }

    async fn read(&self) -> Result<(Version, KeptRequests), ObjectError> {
        let Some(object) = self.objects.get(KEY).await? else { return Ok((ABSENT, KeptRequests::new())) };
        // What another writer put there is no evidence, and is overwritten.
        let kept = serde_json::from_slice(&object.value).unwrap_or_else(|error| {
            emit(&HeldRequestsNotKept { reason: error.to_string() });
            KeptRequests::new()
        });
        Ok((object.version, kept))
    }

    /// Writes what is held, with what the store knows of it, unless `change` finds that it shall not be.
    async fn write(&self, change: impl FnOnce(&mut KeptRequests) -> bool) -> Result<bool, ObjectError> {
        let (version, stored) = self.read().await?;
        // A trial may have been granted to a node that has not told of it.
        self.book.hear(decode(&stored), self.clock.now_ms());
        let mut kept = encode(&self.book.kept());
        if !change(&mut kept) {
            return Ok(false);
        }
        let value = serde_json::to_vec(&kept).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        self.objects.put(KEY, version, Bytes::from(value)).await.map(|_| true)
    }
}

#[async_trait]
impl TrialPort for KeptQuarantine {
    async fn take(&self, request: &Fingerprint, number: u32, now_ms: u64) -> bool {
        let name = hex::encode(request.as_bytes());
        let grant = |kept: &mut KeptRequests| match kept.get_mut(&name) {
            Some(known) if known.trials < number => {
                (known.trials, known.trial_ms) = (number, now_ms);
                true
            }
            _ => false,
        };
        match self.write(grant).await {
            Ok(is_granted) => is_granted,
            // Another node wrote first, and may have been granted the trial.
            Err(ObjectError::Conflict(_)) => false,
            Err(error) => {
                emit(&HeldRequestsNotKept { reason: error.to_string() });
                false
            }
        }
    }
}

fn encode(evidence: &Evidence) -> KeptRequests {
    let mut kept = KeptRequests::new();
    for ending in &evidence.endings {
        for request in &ending.open {
            let known = kept.entry(hex::encode(request.as_bytes())).or_default();
            known.endings.insert(ending.backend.to_string(), ending.at_ms);
        }
    }
    for completion in &evidence.completions {
        kept.entry(hex::encode(completion.request.as_bytes())).or_default().completed_ms = completion.at_ms;
    }
    for trial in &evidence.trials {
        let known = kept.entry(hex::encode(trial.request.as_bytes())).or_default();
        (known.trials, known.trial_ms) = (trial.number, trial.at_ms);
    }
    kept
}

/// What is kept as evidence; a name that is no fingerprint is passed over.
fn decode(kept: &KeptRequests) -> Evidence {
    let mut evidence = Evidence::default();
    for (name, known) in kept {
        let mut bytes = [0; FINGERPRINT_BYTES];
        if hex::decode_to_slice(name, &mut bytes).is_err() {
            continue;
        }
        let request = Fingerprint::new(bytes);
        let ending = |(backend, at_ms): (&String, &u64)| Ending {
            backend: BackendId::new(backend),
            at_ms: *at_ms,
            open: vec![request],
        };
        evidence.endings.extend(known.endings.iter().map(ending));
        if known.completed_ms > 0 {
            evidence.completions.push(Completion { request, at_ms: known.completed_ms });
        }
        if known.trials > 0 {
            evidence.trials.push(Trial { request, number: known.trials, at_ms: known.trial_ms });
        }
    }
    evidence
}
