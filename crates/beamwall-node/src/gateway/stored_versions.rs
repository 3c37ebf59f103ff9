//! The versions that the engines of each service have had lately, in the control store: when all gateways are
//! killed at once, their successors still know whether a stream without a record can only be of one version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use beamwall_clock::Throttle;
use beamwall_events::emit;
use beamwall_events::internal_events::EngineVersionsNotKept;
use beamwall_gateway::Gateway;
use beamwall_model::{EngineVersion, ServiceName, to_ms};
use beamwall_store::lease;
use beamwall_store::object::{ABSENT, Object, ObjectError, VersionedObjects};
use beamwall_stream_origin::VersionAge;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::OnceCell;
use tokio::time::Instant;

use crate::gateway::duties::LEASE_NAME;
use crate::gateway::stored_objects::{ReadAtStart, read_at_start};

/// Key of the object.
const KEY: &str = "reports/engine-versions";
/// Minimum time between two writes of the node that holds the duties lease.
const WRITE_PERIOD: Duration = Duration::from_secs(1);

/// The object in the store. Times are in milliseconds since 1970.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
struct StoredVersions {
    /// Time since which there were no other versions.
    complete_since_ms: u64,
    /// When engines of each service and version were listed last; `None` if they still are.
    services: BTreeMap<String, BTreeMap<String, Option<u64>>>,
}

impl StoredVersions {
    /// What has to be written when it changes: which versions are remembered, and which are listed.
    fn listing(&self) -> BTreeSet<(&str, &str, bool)> {
        let mut listing = BTreeSet::new();
        for (service, versions) in &self.services {
            for (version, last_ms) in versions {
                listing.insert((service.as_str(), version.as_str(), last_ms.is_none()));
            }
        }
        listing
    }
}

/// Keeps the versions of one node's history in the store.
pub struct VersionStorage {
    objects: Arc<dyn VersionedObjects>,
    gateway: Arc<Gateway>,
    /// What this node wrote or read last, and the store's era in which it did: a later era may have lost it.
    written: Mutex<Option<(u64, StoredVersions)>>,
    write_throttle: Throttle,
    restored: OnceCell<()>,
}

impl VersionStorage {
    /// Stores the history of `gateway`.
    pub fn new(objects: Arc<dyn VersionedObjects>, gateway: Arc<Gateway>) -> Self {
        Self {
            objects,
            gateway,
            written: Mutex::default(),
            write_throttle: Throttle::default(),
            restored: OnceCell::new(),
        }
    }

    /// Restores the stored versions at the start, once; every caller waits until that is done. Without them, a
    /// stream that no peer knows is refused for as long as a stream may last.
    pub async fn restore(&self) {
        self.restored.get_or_init(|| self.read_stored()).await;
    }

    async fn read_stored(&self) {
        match read_at_start(self.objects.as_ref(), KEY, log_not_stored).await {
            ReadAtStart::Found(object) => self.merge(&parse(&object)),
            ReadAtStart::Absent if self.is_first_start().await => {
                self.gateway.forwarder.origins.history.note_first_start(Instant::now());
            }
            ReadAtStart::Absent | ReadAtStart::Unanswered => {}
        }
    }

    /// Whether no node has held the lease on duties yet: then none has listed engines, and no stream has begun.
    async fn is_first_start(&self) -> bool {
        let lease = read_at_start(self.objects.as_ref(), &lease::key_of(LEASE_NAME), log_not_stored).await;
        matches!(lease, ReadAtStart::Absent)
    }

    /// Writes the versions if others are listed than were written; used by the node that holds the duties
    /// lease. A failure is logged and retried a period later.
    pub async fn write_if_due(&self) {
        let Some(current) = self.current() else { return };
        if self.is_written(&current) || !self.write_throttle.admit(WRITE_PERIOD) {
            return;
        }
        if let Err(error) = self.write().await {
            log_not_stored(error.to_string());
        }
    }

    fn is_written(&self, current: &StoredVersions) -> bool {
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        let era = self.objects.era();
        written
            .as_ref()
            .is_some_and(|(written_in, written)| *written_in == era && written.listing() == current.listing())
    }

    /// Merges what the store holds into the history, and writes the result if it differs.
    async fn write(&self) -> Result<(), ObjectError> {
        let era = self.objects.era();
        let object = self.objects.get(KEY).await?;
        let stored = object.as_ref().map(parse);
        if let Some(stored) = &stored {
            self.merge(stored);
        }
        let Some(current) = self.current() else { return Ok(()) };
        if stored.is_none_or(|stored| stored.listing() != current.listing()) {
            let value =
                serde_json::to_vec(&current).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
            let version = object.map_or(ABSENT, |object| object.version);
            self.objects.put(KEY, version, Bytes::from(value)).await?;
        }
        *self.written.lock().unwrap_or_else(PoisonError::into_inner) = Some((era, current));
        Ok(())
    }

    /// The versions as this node knows them; `None` while it does not know all engines.
    fn current(&self) -> Option<StoredVersions> {
        let directory = self.gateway.forwarder.directory.load();
        let (remembered, complete_for) = self.gateway.forwarder.origins.history.remembered(Instant::now())?;
        let now_ms = self.gateway.forwarder.clock.now_ms();
        let mut services: BTreeMap<String, BTreeMap<String, Option<u64>>> = BTreeMap::new();
        for VersionAge { service, version, age } in remembered {
            let is_listed = directory.versions().any(|listed| listed == (&service, &version));
            let last_ms = (!is_listed).then(|| now_ms.saturating_sub(to_ms(age)));
            services.entry(service.to_string()).or_default().insert(version.to_string(), last_ms);
        }
        Some(StoredVersions { complete_since_ms: now_ms.saturating_sub(to_ms(complete_for)), services })
    }

    fn merge(&self, stored: &StoredVersions) {
        let now_ms = self.gateway.forwarder.clock.now_ms();
        let since = |at_ms: u64| Duration::from_millis(now_ms.saturating_sub(at_ms));
        let versions = stored.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, last_ms)| VersionAge {
                service: ServiceName::new(service),
                version: EngineVersion::new(version),
                age: last_ms.map_or(Duration::ZERO, since),
            })
        });
        let complete_for = since(stored.complete_since_ms);
        self.gateway.forwarder.origins.history.merge(versions, complete_for, Instant::now());
    }
}

fn log_not_stored(reason: String) {
    emit(&EngineVersionsNotKept { reason });
}

/// Parses the object. Content of another writer that can't be parsed is logged and will be overwritten.
fn parse(object: &Object) -> StoredVersions {
    serde_json::from_slice(&object.value).unwrap_or_else(|error| {
        log_not_stored(error.to_string());
        StoredVersions { complete_since_ms: u64::MAX, services: BTreeMap::new() }
    })
}
