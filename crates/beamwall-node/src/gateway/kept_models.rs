//! What was observed of services, kept in the store: when all gateways are killed at once, the next ones need not
//! learn it anew under the load that has gathered meanwhile.

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

use crate::gateway::kept_objects::read_at_start;

/// The object.
const KEY: &str = "reports/engine-models";
/// Time between two writes: engines seldom change, and each call to the store has its price.
const KEEP_PERIOD: Duration = Duration::from_secs(10);
/// Samples as which what is recalled counts: as many as tell an engine's speed, so that what is observed from then on
/// soon outweighs it.
const RECALLED_SAMPLES: f64 = 200.0;

/// The sums of each service, as [`ServiceStatistics::to_numbers`] lists them.
type KeptModels = BTreeMap<String, Vec<f64>>;

/// Keeps what was observed; run by the node that holds the lease on duties.
pub(super) struct ModelKeeper {
    gateway: Arc<Gateway>,
    objects: Arc<dyn VersionedObjects>,
    /// Version of the object, once it was read or written.
    version: Option<Version>,
    tried: Instant,
}

impl ModelKeeper {
    /// A keeper that first writes a period from now.
    pub(super) fn new(gateway: Arc<Gateway>, objects: Arc<dyn VersionedObjects>) -> Self {
        Self { gateway, objects, version: None, tried: Instant::now() }
    }

    /// Writes what is known when a period has passed. A failure is said and tried again a period later.
    pub(super) async fn keep_due(&mut self) {
        if self.tried.elapsed() < KEEP_PERIOD {
            return;
        }
        self.tried = Instant::now();
        let kept = self.known();
        if kept.is_empty() {
            return;
        }
        match self.write(&kept).await {
            Ok(version) => self.version = Some(version),
            Err(error) => {
                self.version = None;
                emit(&EngineModelsNotKept { reason: error.to_string() });
            }
        }
    }

    fn known(&self) -> KeptModels {
        let models = &self.gateway.forwarder.backend_state.models;
        let observed = models.merged_statistics(|_| true).into_iter();
        let known = observed.filter(|(service, _)| models.estimates(service).is_known());
        known.map(|(service, sums)| (service.to_string(), sums.to_numbers())).collect()
    }

    async fn write(&self, kept: &KeptModels) -> Result<Version, ObjectError> {
        let version = match self.version {
            Some(version) => version,
            None => self.objects.get(KEY).await?.map_or(ABSENT, |object| object.version),
        };
        let value = serde_json::to_vec(kept).map_err(|error| ObjectError::Unexpected(error.to_string()))?;
        self.objects.put(KEY, version, Bytes::from(value)).await
    }
}

/// Reads what was kept, at a start. Without it the node learns anew.
pub(super) async fn recall(gateway: Arc<Gateway>, objects: Arc<dyn VersionedObjects>) {
    let tell = |reason| emit(&EngineModelsNotKept { reason });
    if let Some(object) = read_at_start(objects.as_ref(), KEY, tell).await {
        take(&gateway, &object);
    }
}

fn take(gateway: &Gateway, object: &Object) {
    let kept: KeptModels = match serde_json::from_slice(&object.value) {
        Ok(kept) => kept,
        Err(error) => return emit(&EngineModelsNotKept { reason: error.to_string() }),
    };
    let read = |(service, numbers): (&String, &Vec<f64>)| {
        let sums = ServiceStatistics::from_numbers(numbers)?;
        Some((ServiceName::new(service), sums.limited_to(RECALLED_SAMPLES)))
    };
    let recalled = kept.iter().filter_map(read).collect();
    gateway.forwarder.backend_state.models.set_peer_statistics(&Reporter::Store, recalled);
    let services: Vec<&str> = kept.keys().map(String::as_str).collect();
    emit(&EngineModelsRecalled { services: services.join(","), version: object.version.to_string() });
}
