//! Weights of tenants in the fair shares of engine time.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_model::TenantName;
use beamwall_policy::{PolicyIndex, Shared, Tenant};

/// Weight of requests without a tenant and of tenants without a quota.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The weights under one policy version.
#[derive(Debug, Default)]
struct Weights {
    policy_version: u64,
    by_tenant: HashMap<TenantName, f64>,
}

impl Weights {
    /// Quotas are divided by the mean of those in the same unit, since they count tokens or requests, and since
    /// a tenant without a quota would have next to no share beside tens of thousands of tokens per second.
    fn of(policy: &PolicyIndex) -> Self {
        let tenants = || policy.policy().tenants.iter().map(Shared::content);
        let mean_rate = |counts_tokens: bool| {
            let of_unit =
                tenants().filter(|tenant| tenant.counts_tokens == counts_tokens && has_quota(tenant));
            let rates: Vec<f64> = of_unit.map(|tenant| tenant.rate_per_second).collect();
            rates.iter().sum::<f64>() / rates.len() as f64
        };
        let means = [mean_rate(false), mean_rate(true)];
        let with_quota = tenants().filter(|tenant| has_quota(tenant));
        let weight = |tenant: &Tenant| tenant.rate_per_second / means[usize::from(tenant.counts_tokens)];
        let by_tenant = with_quota.map(|tenant| (tenant.name.clone(), weight(&tenant))).collect();
        Self { policy_version: policy.version(), by_tenant }
    }
}

fn has_quota(tenant: &Tenant) -> bool {
    tenant.rate_per_second > 0.0
}

/// Weights of tenants, computed once for each policy version.
pub struct TenantWeights {
    policy: Arc<ArcSwap<PolicyIndex>>,
    weights: ArcSwap<Weights>,
}

impl TenantWeights {
    /// Weights under the policy in force.
    pub fn new(policy: Arc<ArcSwap<PolicyIndex>>) -> Self {
        Self { policy, weights: ArcSwap::default() }
    }

    /// The weight of a tenant: its quota relative to the mean quota, or 1 if it has none.
    pub fn weight(&self, tenant: Option<&TenantName>) -> f64 {
        let Some(tenant) = tenant else { return DEFAULT_WEIGHT };
        let policy = self.policy.load();
        if self.weights.load().policy_version != policy.version() {
            self.weights.store(Arc::new(Weights::of(&policy)));
        }
        self.weights.load().by_tenant.get(tenant).copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
