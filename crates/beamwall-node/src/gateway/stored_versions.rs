//! The versions that the engines of each service have had lately, in the control store: when all gateways are
//! killed at once, their successors still know whether a stream without a record can only be of one version.
//!
//! A stream begins only at a version that is known to be stored. Whichever node lists a new one first may write it: a few
//! do for all others, which hear of it from them, and write it themselves if they don't.

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
use crate::gateway::exchange::PeerExchange;
use crate::gateway::stored_objects::{ReadAtStart, read_at_start};

/// Key of the object.
const KEY: &str = "reports/engine-versions";
/// Minimum time between two writes of the node that holds the duties lease.
const WRITE_PERIOD: Duration = Duration::from_secs(1);
/// Name of the task for which the nodes are selected that write new versions at once, and their number in each zone.
const WRITING_TASK: &str = "engine-versions";
const WRITERS_PER_ZONE: usize = 1;
/// Time after which a node that has not heard that a new version is stored looks for itself. Nodes that start together don't
/// know each other yet, so half of it is random.
const UNHEARD_AFTER: Duration = Duration::from_secs(1);
/// Interval at which a node that waits for others checks whether a new version is stored.
const UNHEARD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which listed and stored versions are compared if no list is published: the store may lose versions.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed write of a new version.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

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
    /// The versions with their services.
    fn versions(&self) -> impl Iterator<Item = (ServiceName, EngineVersion)> + '_ {
        self.services.iter().flat_map(|(service, versions)| {
            versions.keys().map(move |version| (ServiceName::new(service), EngineVersion::new(version)))
        })
    }

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
    exchange: Arc<PeerExchange>,
    /// What this node wrote or read last, and the store's era in which it did: a later era may have lost it.
    written: Mutex<Option<(u64, StoredVersions)>>,
    write_throttle: Throttle,
    restored: OnceCell<()>,
}

impl VersionStorage {
    /// Stores the history of `gateway`, and tells peers through `exchange`.
    pub fn new(
        objects: Arc<dyn VersionedObjects>,
        gateway: Arc<Gateway>,
        exchange: Arc<PeerExchange>,
    ) -> Self {
        Self {
            objects,
            gateway,
            exchange,
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
            ReadAtStart::Found(object) => {
                let stored = parse(&object);
                self.merge(&stored);
                self.note_stored(self.objects.era(), &stored);
            }
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

    /// Writes each version that is listed and not stored yet, as soon as it is this node's turn, until the task is
    /// aborted.
    pub async fn write_new(&self) {
        self.restore().await;
        loop {
            self.wait_for_new().await;
            self.wait_for_turn().await;
            if !self.is_any_new() {
                continue;
            }
            match self.write().await {
                // Another node wrote at the same time, probably the same.
                Ok(()) | Err(ObjectError::Conflict(_)) => {}
                Err(error) => {
                    log_not_stored(error.to_string());
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn wait_for_new(&self) {
        let origins = &self.gateway.forwarder.origins;
        while !self.is_any_new() {
            let _ = tokio::time::timeout(COMPARE_INTERVAL, origins.versions_unstored.notified()).await;
        }
    }

    /// Waits until this node is selected to write, has not heard for a while that somebody else did, or need not write.
    async fn wait_for_turn(&self) {
        let until = Instant::now() + UNHEARD_AFTER.mul_f64(rand::random_range(0.5..1.0));
        while self.is_any_new() && !self.is_writer() && Instant::now() < until {
            tokio::time::sleep(UNHEARD_POLL_INTERVAL).await;
        }
    }

    fn is_writer(&self) -> bool {
        let selector = &self.exchange.selector;
        selector.knows_other_nodes() && selector.is_selected(WRITING_TASK, WRITERS_PER_ZONE)
    }

    /// Whether a version is listed that isn't known to be stored. Not before all engines are listed.
    fn is_any_new(&self) -> bool {
        let origins = &self.gateway.forwarder.origins;
        origins.stored_versions.note_era(self.objects.era());
        origins.stored_versions.retain(|service, version| origins.history.remembers(service, version));
        let holds_all = origins.check_stored_versions(&self.gateway.forwarder.directory.load());
        !holds_all && origins.history.remembered(Instant::now()).is_some()
    }

    /// Records that the store holds these versions, and tells the peers if this node writes for them.
    fn note_stored(&self, era: u64, stored: &StoredVersions) {
        let origins = &self.gateway.forwarder.origins;
        origins.stored_versions.note(era, stored.versions());
        origins.check_stored_versions(&self.gateway.forwarder.directory.load());
        if self.is_writer() {
            self.exchange.tell_stored_versions(era, stored.versions());
        }
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
        self.note_stored(era, &current);
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
