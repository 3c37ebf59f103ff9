//! Conversion of heartbeat fields to and from messages.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use beamwall_engine_limits::{DepartureReport, LimitReport, RejectionReport, RequestRate};
use beamwall_engine_model::{
    EngineObservation, LastingObservation, ServiceStatistics, SlownessObservation, Workload,
};
use beamwall_gateway::load::OpenLoad;
use beamwall_gateway::usage::{PartialSum, WindowCounts};
use beamwall_model::{BackendId, ServiceName, TenantName};
use beamwall_peer::engine_message::{EngineDeparture, EngineLimit, EngineRejection};
use beamwall_peer::gateway_message::{
    BackendLoad, BackendSlowness, QuotaUse, SentUsageWindow, ServiceDemand, ServiceModel, UsageCount,
    UsageWindow,
};

use crate::gateway::reported_usage::SentWindow;

/// Encodes open work.
pub fn encode_loads(loads: Vec<(BackendId, OpenLoad)>) -> Vec<BackendLoad> {
    let encode = |(backend, load): (BackendId, OpenLoad)| BackendLoad {
        backend: backend.to_string(),
        requests: load.requests,
        prompt_tokens: load.prompt_tokens,
    };
    loads.into_iter().map(encode).collect()
}

/// Decodes open work.
pub fn decode_loads(loads: Vec<BackendLoad>) -> HashMap<BackendId, OpenLoad> {
    let decode = |load: BackendLoad| {
        let open = OpenLoad { requests: load.requests, prompt_tokens: load.prompt_tokens };
        (BackendId::new(&load.backend), open)
    };
    loads.into_iter().map(decode).collect()
}

/// Encodes the work admitted under quotas.
pub fn encode_quota_uses(uses: Vec<(TenantName, f64)>) -> Vec<QuotaUse> {
    let encode = |(tenant, passed): (TenantName, f64)| QuotaUse { tenant: tenant.to_string(), passed };
    uses.into_iter().map(encode).collect()
}

/// Decodes the work admitted under quotas.
pub fn decode_quota_uses(uses: &[QuotaUse]) -> HashMap<TenantName, f64> {
    uses.iter().map(|one| (TenantName::new(&one.tenant), one.passed)).collect()
}

/// Encodes demands.
pub fn encode_demands(demands: HashMap<ServiceName, Workload>) -> Vec<ServiceDemand> {
    let encode = |(service, work): (ServiceName, Workload)| ServiceDemand {
        service: service.to_string(),
        requests: work.requests as f32,
        tokens: work.tokens as f32,
        pairs: work.pairs as f32,
        events: work.events as f32,
    };
    demands.into_iter().map(encode).collect()
}

/// Decodes demands.
pub fn decode_demands(demands: &[ServiceDemand]) -> HashMap<ServiceName, Workload> {
    let decode = |demand: &ServiceDemand| {
        let work = Workload {
            requests: f64::from(demand.requests),
            tokens: f64::from(demand.tokens),
            pairs: f64::from(demand.pairs),
            events: f64::from(demand.events),
        };
        (ServiceName::new(&demand.service), work)
    };
    demands.iter().map(decode).collect()
}

/// Encodes service statistics. Single precision far exceeds the precision of the measurements.
pub fn encode_models(
    models: impl IntoIterator<Item = (ServiceName, ServiceStatistics)>,
) -> Vec<ServiceModel> {
    let encode = |(service, statistics): (ServiceName, ServiceStatistics)| ServiceModel {
        service: service.to_string(),
        sums: statistics.to_numbers().into_iter().map(|number| number as f32).collect(),
    };
    models.into_iter().map(encode).collect()
}

/// Decodes service statistics. Lists of sums that can't be parsed, for instance from another release, are
/// left out.
pub fn decode_models(models: &[ServiceModel]) -> HashMap<ServiceName, ServiceStatistics> {
    let decode = |model: &ServiceModel| {
        let sums: Vec<f64> = model.sums.iter().copied().map(f64::from).collect();
        let statistics = ServiceStatistics::from_numbers(&sums)?;
        Some((ServiceName::new(&model.service), statistics))
    };
    models.iter().filter_map(decode).collect()
}

/// Encodes observations of single back ends.
pub fn encode_slowness(observed: Vec<(BackendId, EngineObservation)>) -> Vec<BackendSlowness> {
    let encode = |(backend, observation): (BackendId, EngineObservation)| BackendSlowness {
        backend: backend.to_string(),
        logarithms: observation.recent.logarithms as f32,
        weight: observation.recent.weight as f32,
        lasting_logarithms: observation.lasting.logarithms as f32,
        lasting_weight: observation.lasting.weight as f32,
    };
    observed.into_iter().map(encode).collect()
}

/// Decodes observations of single back ends. Earlier builds tell nothing of lasting speeds.
pub fn decode_slowness(messages: &[BackendSlowness]) -> Vec<(BackendId, EngineObservation)> {
    let decode = |one: &BackendSlowness| {
        let recent =
            SlownessObservation { logarithms: f64::from(one.logarithms), weight: f64::from(one.weight) };
        let lasting = LastingObservation {
            logarithms: f64::from(one.lasting_logarithms),
            weight: f64::from(one.lasting_weight),
        };
        (BackendId::new(&one.backend), EngineObservation { recent, lasting })
    };
    messages.iter().map(decode).collect()
}

/// Encodes the limits of engines.
pub fn encode_engine_limits(reports: &[LimitReport]) -> Vec<EngineLimit> {
    reports.iter().map(encode_engine_limit).collect()
}

/// Encodes the limit of one engine.
pub fn encode_engine_limit(report: &LimitReport) -> EngineLimit {
    EngineLimit {
        backend: report.backend.to_string(),
        per_second: report.limit.map_or(0.0, RequestRate::per_second),
        age_ms: report.age.as_millis() as u64,
    }
}

/// Decodes the limits of engines. Limits that are no usable rate are left out.
pub fn decode_engine_limits(limits: &[EngineLimit]) -> Vec<LimitReport> {
    limits.iter().filter_map(decode_engine_limit).collect()
}

/// Decodes the limit of one engine; `None` if it is no usable rate.
pub fn decode_engine_limit(limit: &EngineLimit) -> Option<LimitReport> {
    let rate = if limit.per_second == 0.0 { None } else { Some(RequestRate::new(limit.per_second).ok()?) };
    let age = Duration::from_millis(limit.age_ms);
    Some(LimitReport { backend: BackendId::new(&limit.backend), limit: rate, age })
}

/// Encodes the rejections of brittle engines.
pub fn encode_rejections(reports: &[RejectionReport]) -> Vec<EngineRejection> {
    reports.iter().map(encode_rejection).collect()
}

/// Encodes one rejection.
pub fn encode_rejection(report: &RejectionReport) -> EngineRejection {
    EngineRejection {
        backend: report.backend.to_string(),
        tolerated: report.tolerated.per_second(),
        rate: report.rate.per_second(),
        age_ms: report.age.as_millis() as u64,
    }
}

/// Decodes the rejections of brittle engines. Those without usable rates are left out.
pub fn decode_rejections(rejections: &[EngineRejection]) -> Vec<RejectionReport> {
    rejections.iter().filter_map(decode_rejection).collect()
}

/// Decodes one rejection; `None` if it has no usable rates.
pub fn decode_rejection(rejection: &EngineRejection) -> Option<RejectionReport> {
    Some(RejectionReport {
        backend: BackendId::new(&rejection.backend),
        tolerated: RequestRate::new(rejection.tolerated).ok()?,
        rate: RequestRate::new(rejection.rate).ok()?,
        age: Duration::from_millis(rejection.age_ms),
    })
}

/// Encodes the engines that leave by their own word.
pub fn encode_departures(reports: &[DepartureReport]) -> Vec<EngineDeparture> {
    let encode = |report: &DepartureReport| EngineDeparture {
        backend: report.backend.to_string(),
        age_ms: report.age.as_millis() as u64,
    };
    reports.iter().map(encode).collect()
}

/// Decodes the engines that leave by their own word.
pub fn decode_departures(departures: &[EngineDeparture]) -> Vec<DepartureReport> {
    let decode = |departure: &EngineDeparture| DepartureReport {
        backend: BackendId::new(&departure.backend),
        age: Duration::from_millis(departure.age_ms),
    };
    departures.iter().map(decode).collect()
}

/// Encodes the newest usage window that was sent to the platform.
pub fn encode_sent_window(sent: Option<SentWindow>) -> Option<SentUsageWindow> {
    sent.map(|sent| SentUsageWindow { window: sent.window, era: sent.era })
}

/// Decodes the newest usage window that was sent to the platform.
pub fn decode_sent_window(sent: Option<SentUsageWindow>) -> Option<SentWindow> {
    sent.map(|sent| SentWindow { window: sent.window, era: sent.era })
}

/// Encodes usage windows.
pub fn encode_usage(windows: Vec<WindowCounts>) -> Vec<UsageWindow> {
    let count = |(tenant, requests): (TenantName, u64)| UsageCount { tenant: tenant.to_string(), requests };
    let encode = |window: WindowCounts| UsageWindow {
        window: window.window,
        counts: window.counts.into_iter().map(count).collect(),
    };
    windows.into_iter().map(encode).collect()
}

/// Decodes usage windows.
pub fn decode_usage(windows: Vec<UsageWindow>) -> Vec<WindowCounts> {
    let decode = |window: UsageWindow| {
        let counts: BTreeMap<TenantName, u64> =
            window.counts.into_iter().map(|count| (TenantName::new(&count.tenant), count.requests)).collect();
        WindowCounts { window: window.window, counts }
    };
    windows.into_iter().map(decode).collect()
}

/// Decodes usage that is summed over the generations with these hashes.
pub fn decode_sum(generations: Vec<u32>, windows: Vec<UsageWindow>) -> PartialSum {
    PartialSum { generations: generations.into_iter().collect(), windows: decode_usage(windows) }
}
