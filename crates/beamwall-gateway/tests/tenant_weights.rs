//! Weights of tenants in the fair shares, from their quotas.

use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_gateway::tenant_weights::TenantWeights;
use beamwall_model::TenantName;
use beamwall_policy::{PolicyIndex, Tenant, TrafficPolicy};

fn tenant(name: &str, rate_per_second: f64, counts_tokens: bool) -> Tenant {
    Tenant {
        name: name.into(),
        keys: Vec::new(),
        rank: None,
        rate_per_second,
        burst: 0.0,
        counts_tokens,
        plain_tokens: 0,
    }
}

fn policy(version: u64, tenants: Vec<Tenant>) -> PolicyIndex {
    let tenants = tenants.into_iter().map(Into::into).collect();
    PolicyIndex::new(TrafficPolicy { version, tenants, ..TrafficPolicy::default() })
}

/// Guards against: a tenant without a quota, or one whose quota counts requests, has no share beside one of
/// tens of thousands of tokens per second.
#[test]
fn a_weight_is_a_quota_relative_to_the_mean_of_its_unit() {
    let tenants = vec![
        tenant("large", 30_000.0, true),
        tenant("small", 10_000.0, true),
        tenant("requests", 5.0, false),
        tenant("unlimited", 0.0, true),
    ];
    let current = Arc::new(ArcSwap::from_pointee(policy(1, tenants)));
    let weights = TenantWeights::new(current.clone());
    let weight = |name: &str| weights.weight(Some(&TenantName::from(name)));
    assert_eq!((weight("large"), weight("small")), (1.5, 0.5));
    assert_eq!((weight("requests"), weight("unlimited"), weight("unknown")), (1.0, 1.0, 1.0));
    assert_eq!(weights.weight(None), 1.0);
    current.store(Arc::new(policy(2, vec![tenant("large", 7.0, true)])));
    assert_eq!(weight("large"), 1.0, "the new policy is in force");
}
