//! Service statistics stored in the control store: when all gateways are killed at once, their successors
//! need not learn them again under the load that has accumulated meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_engine_model::ServiceStatistics;
use beamwall_events::emit;
use beamwall_events::internal_events::{EngineModelsNotKept, EngineModelsRecalled};
use beamwall_gateway::{Gateway, Reporter};
use beamwall_model::ServiceName;
use beamwall_store::object::{ABSENT, Object, ObjectError, Version, VersionedObjects};
use bytes::Bytes;
use tokio::time::Instant;

use crate::gateway::stored_objects::read_at_start;

/// Key of the object.
const KEY: &str = "reports/engine-models";
/// Time between two writes: engines seldom change, and each call to the store has a cost.
const WRITE_PERIOD: Duration = Duration::from_secs(10);
/// Number of samples that restored statistics count as: enough to determine an engine's speed, and few enough
/// that new observations soon outweigh them.
const RESTORED_SAMPLES: f64 = 200.0;

/// The sums of each service, as listed by [`ServiceStatistics::to_numbers`].
type StoredModels = BTreeMap<String, Vec<f64>>;

/// Writes the statistics to the store; used by the node that holds the duties lease.
pub(super) struct ModelStorage {
    gateway: Arc<Gateway>,
    objects: Arc<dyn VersionedObjects>,
    /// Version of the object after the last read or write.
    version: Option<Version>,
    last_attempt: Instant,
}

impl ModelStorage {
    /// Creates a writer whose first write is one period from now.
    pub(super) fn new(gateway: Arc<Gateway>, objects: Arc<dyn VersionedObjects>) -> Self {
        Self { gateway, objects, version: None, last_attempt: Instant::now() }
    }

    /// Writes the statistics if a period has passed. A failure is logged and retried a period later.
    pub(super) async fn write_if_due(&mut self) {
        if self.last_attempt.elapsed() < WRITE_PERIOD {
            return;
        }
        self.last_attempt = Instant::now();
        let stored = self.known_models();
        if stored.is_empty() {
            return;
        }
        match self.write(&stored).await {
            Ok(version) => self.version = Some(version),
            Err(error) => {
                self.version = None;
                emit(&EngineModelsNotKept { reason: error.to_string() });
            }
        }
    }

    fn known_models(&self) -> StoredModels {
        let models = &self.gateway.forwarder.backend_state.models;
        let observed = models.merged_statistics(|_| true).into_iter();
        let known = observed.filter(|(service, _)| models.estimates(service).is_known());
        known.map(|(service, sums)| (service.to_string(), sums.to_numbers())).collect()
    }

    async fn write(&self, stored: &StoredModels) -> Result<Version, ObjectError> {
        let version = match self.version {
            Some(version) => version,
            None => self.objects.get(KEY).await?.map_or(ABSENT, |object| object.version),
        };
        let value = serde_json::to_vec(stored).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        self.objects.put(KEY, version, Bytes::from(value)).await
    }
}

/// Restores the stored statistics at the start. Without them the node learns them again.
pub(super) async fn restore(gateway: Arc<Gateway>, objects: Arc<dyn VersionedObjects>) {
    let on_error = |reason| emit(&EngineModelsNotKept { reason });
    if let Some(object) = read_at_start(objects.as_ref(), KEY, on_error).await.found() {
        apply_stored_models(&gateway, &object);
    }
}

fn apply_stored_models(gateway: &Gateway, object: &Object) {
    let stored: StoredModels = match serde_json::from_slice(&object.value) {
        Ok(stored) => stored,
        Err(error) => return emit(&EngineModelsNotKept { reason: error.to_string() }),
    };
    let read = |(service, numbers): (&String, &Vec<f64>)| {
        let sums = ServiceStatistics::from_numbers(numbers)?;
        Some((ServiceName::new(service), sums.limited_to(RESTORED_SAMPLES)))
    };
    let restored = stored.iter().filter_map(read).collect();
    gateway.forwarder.backend_state.models.set_peer_statistics(&Reporter::Store, restored);
    let services: Vec<&str> = stored.keys().map(String::as_str).collect();
    emit(&EngineModelsRecalled { services: services.join(","), version: object.version.to_string() });
}
