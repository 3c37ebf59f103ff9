//! Index of a policy for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use beamwall_model::ServiceName;

use crate::{Route, Service, Shared, Tenant, TrafficPolicy};

/// Shared reference to a tenant of one policy version.
pub type TenantRef = Arc<Tenant>;

/// One version of the policy, indexed by host, path, API key and service.
#[derive(Debug, Default)]
pub struct PolicyIndex {
    policy: Arc<TrafficPolicy>,
    /// Routes of each host, longest path prefix first.
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    tenants_by_key: HashMap<String, TenantRef>,
    services: HashMap<ServiceName, Arc<Service>>,
}

impl PolicyIndex {
    /// Builds the index of a policy.
    pub fn new(policy: impl Into<Arc<TrafficPolicy>>) -> Self {
        let policy = policy.into();
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &policy.routes {
            routes_by_host.entry(route.host.clone()).or_default().push(route.content());
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut tenants_by_key = HashMap::new();
        for tenant in policy.tenants.iter().map(Shared::content) {
            for key in &tenant.keys {
                tenants_by_key.insert(key.clone(), tenant.clone());
            }
        }
        let services =
            policy.services.iter().map(|service| (service.name.clone(), service.content())).collect();
        Self { policy, routes_by_host, tenants_by_key, services }
    }

    /// The indexed policy, as received.
    pub fn policy(&self) -> &Arc<TrafficPolicy> {
        &self.policy
    }

    /// The policy version; 0 before the first policy was received.
    pub fn version(&self) -> u64 {
        self.policy.version
    }

    /// Looks up the route of a request: the route of the host with the longest matching path prefix.
    /// `host` may include a port and is compared without regard to letter case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Looks up the tenant that an API key belongs to.
    pub fn tenant_by_key(&self, key: &str) -> Option<&TenantRef> {
        self.tenants_by_key.get(key)
    }

    /// Whether requests on routes that are not public need an API key.
    pub fn needs_keys(&self) -> bool {
        !self.policy.tenants.is_empty()
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(Arc::as_ref)
    }
}
