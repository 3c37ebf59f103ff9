//! Heartbeats in the form of messages.

use std::collections::{BTreeMap, HashMap};

use beamwall_gateway::load::OpenLoad;
use beamwall_gateway::usage::WindowCounts;
use beamwall_model::{BackendId, ServiceName, TenantName};
use beamwall_peer::gateway_message::{BackendLoad, QuotaUse, ServiceDemand, UsageCount, UsageWindow};

/// Open work as told.
pub fn encode_loads(loads: Vec<(BackendId, OpenLoad)>) -> Vec<BackendLoad> {
    let encode = |(backend, load): (BackendId, OpenLoad)| BackendLoad {
        backend: backend.to_string(),
        requests: load.requests,
        prompt_tokens: load.prompt_tokens,
    };
    loads.into_iter().map(encode).collect()
}

/// Open work as heard.
pub fn decode_loads(loads: Vec<BackendLoad>) -> HashMap<BackendId, OpenLoad> {
    let decode = |load: BackendLoad| {
        let open = OpenLoad { requests: load.requests, prompt_tokens: load.prompt_tokens };
        (BackendId::new(&load.backend), open)
    };
    loads.into_iter().map(decode).collect()
}

/// Work let pass as told.
pub fn encode_quota_uses(uses: Vec<(TenantName, f64)>) -> Vec<QuotaUse> {
    let encode = |(tenant, passed): (TenantName, f64)| QuotaUse { tenant: tenant.to_string(), passed };
    uses.into_iter().map(encode).collect()
}

/// Work let pass as heard.
pub fn decode_quota_uses(uses: &[QuotaUse]) -> HashMap<TenantName, f64> {
    uses.iter().map(|one| (TenantName::new(&one.tenant), one.passed)).collect()
}

/// Demands as told.
pub fn encode_demands(demands: HashMap<ServiceName, f64>) -> Vec<ServiceDemand> {
    let encode = |(service, busy): (ServiceName, f64)| ServiceDemand {
        service: service.to_string(),
        busy: busy as f32,
    };
    demands.into_iter().map(encode).collect()
}

/// Demands as heard.
pub fn decode_demands(demands: &[ServiceDemand]) -> HashMap<ServiceName, f64> {
    demands.iter().map(|demand| (ServiceName::new(&demand.service), f64::from(demand.busy))).collect()
}

/// Usage as told.
pub fn encode_usage(windows: Vec<WindowCounts>) -> Vec<UsageWindow> {
    let count = |(tenant, requests): (TenantName, u64)| UsageCount { tenant: tenant.to_string(), requests };
    let encode = |window: WindowCounts| UsageWindow {
        window: window.window,
        counts: window.counts.into_iter().map(count).collect(),
    };
    windows.into_iter().map(encode).collect()
}

/// Usage as heard.
pub fn decode_usage(windows: Vec<UsageWindow>) -> Vec<WindowCounts> {
    let decode = |window: UsageWindow| {
        let counts: BTreeMap<TenantName, u64> =
            window.counts.into_iter().map(|count| (TenantName::new(&count.tenant), count.requests)).collect();
        WindowCounts { window: window.window, counts }
    };
    windows.into_iter().map(decode).collect()
}
