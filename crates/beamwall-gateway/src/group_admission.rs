//! Admission of model requests by the placement node of their group.
//!
//! Each group of engines has its own [`AdmissionController`]. Its state is soft: a node that begins to place the
//! requests of a group knows nothing of earlier ones, and learns the tenants' demand within a second or two.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_admission::{AdmissionController, CapacityRequest, Decision};
use beamwall_model::ServiceName;
use beamwall_policy::PolicyIndex;
use tokio::time::Instant;

use crate::admission_metrics::AdmissionMetrics;
use crate::placement_groups::EngineGroup;
use crate::tenant_weights::TenantWeights;

/// Time after its last request for which the state of a group is kept.
const GROUP_TTL: Duration = Duration::from_secs(30);

/// Identifies a group of the engines of a service.
type GroupKey = (ServiceName, EngineGroup);

struct GroupState {
    controller: AdmissionController,
    used: Instant,
}

/// Admission to the groups whose requests this node places.
pub struct GroupAdmission {
    groups: Mutex<HashMap<GroupKey, GroupState>>,
    weights: TenantWeights,
    metrics: AdmissionMetrics,
}

impl GroupAdmission {
    /// No request was seen yet. Weights of tenants are read from `policy`.
    pub fn new(policy: Arc<ArcSwap<PolicyIndex>>, metrics: AdmissionMetrics) -> Self {
        Self { groups: Mutex::default(), weights: TenantWeights::new(policy), metrics }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupKey, GroupState>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Weights of the tenants.
    pub const fn weights(&self) -> &TenantWeights {
        &self.weights
    }

    /// Decides about a request to a group.
    pub fn decide(
        &self,
        service: &ServiceName,
        group: EngineGroup,
        request: &CapacityRequest<'_>,
        now: Instant,
    ) -> Decision {
        let mut groups = self.lock();
        let key = (service.clone(), group);
        if !groups.contains_key(&key) {
            groups.retain(|_, state| now.saturating_duration_since(state.used) < GROUP_TTL);
        }
        let state = groups
            .entry(key)
            .or_insert_with(|| GroupState { controller: AdmissionController::new(now), used: now });
        state.used = now;
        let decision = state.controller.decide(request, now);
        self.metrics.note(service, &decision, &state.controller);
        decision
    }

    /// Records that an admitted request was placed at an engine of a group.
    pub fn note_placed(
        &self,
        service: &ServiceName,
        group: EngineGroup,
        request: &CapacityRequest<'_>,
        now: Instant,
    ) {
        if let Some(state) = self.lock().get_mut(&(service.clone(), group)) {
            state.controller.note_placed(request, now);
        }
    }

    /// Removes the state of groups whose service is gone.
    pub fn retain(&self, is_known: impl Fn(&ServiceName) -> bool) {
        self.lock().retain(|(service, _), _| is_known(service));
    }
}
