//! Shared test fixtures: a service with known engine statistics, its directory, and a call.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod forwarder;

use std::sync::Arc;

use beamwall_engine_model::{
    EngineModels, FirstEventInputs, PrefillWork, ServiceEstimates, ServiceStatistics,
};
use beamwall_gateway::allowed_versions::AllowedVersions;
use beamwall_gateway::candidates::{BackendState, ChosenBy, Search};
use beamwall_gateway::choice::Candidate;
use beamwall_gateway::forward::Call;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, Directory, Prompt, PromptPart, RemovalCause, Reporter};
use beamwall_http::caller_budget::CallerConnection;
use beamwall_model::BackendId;
use beamwall_policy::{Route, RouteKind, Tenant, TenantRef};
use beamwall_quarantine::Admission;
use tokio::time::Instant;

/// Prompt tokens that the engines prefill per millisecond.
pub const TOKENS_PER_MS: f64 = 32.0;
/// Milliseconds of attention per million token pairs.
pub const PAIRS_MS_PER_MILLION: f64 = 1.2;
/// Milliseconds that each running request adds to another request's time to first event.
pub const RUNNING_MS: f64 = 2.0;
/// Milliseconds between two events when nothing else runs.
pub const EVENT_GAP_MS: f64 = 20.0;
/// Milliseconds that each running request adds to the event gap.
pub const EVENT_GAP_MS_EACH: f64 = 1.0;
/// Duration of a plain call in milliseconds, which is also what each running call adds.
pub const PLAIN_CALL_MS: f64 = 15.0;

/// Time to prefill a part of a prompt.
pub fn prefill_ms(prefill: PrefillWork) -> f64 {
    prefill.tokens as f64 / TOKENS_PER_MS + prefill.pairs as f64 / 1e6 * PAIRS_MS_PER_MILLION
}

/// Statistics observed at such engines, without noise.
pub fn typical_statistics() -> ServiceStatistics {
    statistics_with_running_ms(RUNNING_MS)
}

/// Statistics of engines at which each running request adds `running_ms` to another's time to first event.
pub fn statistics_with_running_ms(running_ms: f64) -> ServiceStatistics {
    let mut statistics = ServiceStatistics::default();
    let unknown = ServiceEstimates::default();
    for number in 0..300_u64 {
        let prefill = PrefillWork::of_uncached((number % 3) * 500, 1 + number * 7_919 % 20_000);
        let (tokens_ahead, running) = (number * 104_729 % 15_000, (number % 24) as u32);
        let inputs = FirstEventInputs { prefill, tokens_ahead, running };
        let ahead_ms = tokens_ahead as f64 / TOKENS_PER_MS;
        let took_ms = 5.0 + prefill_ms(prefill) + ahead_ms + f64::from(running) * running_ms;
        statistics.record_first_event(inputs, took_ms, &unknown);
        let gap_ms = EVENT_GAP_MS + f64::from(running) * EVENT_GAP_MS_EACH;
        statistics.record_event_gap(running, gap_ms, &unknown);
        statistics.record_plain_call(running, PLAIN_CALL_MS * f64::from(running + 1));
        statistics.record_stream(1_000.0);
    }
    statistics
}

/// Adds statistics of the service `pool`, as if reported by a peer.
pub fn add_peer_statistics(models: &EngineModels<Reporter>, statistics: ServiceStatistics) {
    models.set_peer_statistics(&Reporter::Node("teacher".into()), [("pool".into(), statistics)].into());
    models.refresh(Instant::now());
}

/// An engine of the service `pool` that reports no start time and accepts requests.
pub fn backend(instance: &str) -> Backend {
    Backend {
        id: instance.into(),
        instance: instance.into(),
        born_ms: None,
        service: "pool".into(),
        // Nothing listens on this port.
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in_ms: None,
    }
}

/// An engine whose process started at `born_ms`.
pub fn backend_started_at(instance: &str, born_ms: u64) -> Backend {
    let id = BackendId::for_generation(&instance.into(), Some(born_ms));
    Backend { id, born_ms: Some(born_ms), ..backend(instance) }
}

/// A directory of engines `e0`, `e1` and so on of the service `pool`, each with `slots` concurrent requests.
pub fn directory(engines: usize, slots: u32) -> Directory {
    let backend = |number: usize| Backend { slots, ..backend(&format!("e{number}")) };
    let mut directory = Directory::default();
    let backends = (0..engines).map(backend).collect();
    directory.replace(DirectorySnapshot { revision: 1.into(), backends }, RemovalCause::Gone);
    directory
}

/// A directory of engines `e0`, `e1` and so on of the service `pool`, one of each of `versions`.
pub fn directory_of_versions(versions: &[&str]) -> Directory {
    let of_version = |(number, version): (usize, &&str)| Backend {
        version: (*version).into(),
        ..backend(&format!("e{number}"))
    };
    let backends = versions.iter().enumerate().map(of_version).collect();
    let mut directory = Directory::default();
    directory.replace(DirectorySnapshot { revision: 1.into(), backends }, RemovalCause::Gone);
    directory
}

/// A tenant with a quota of this rate and burst; 0 for none.
pub fn tenant(rate_per_second: f64) -> Tenant {
    Tenant {
        name: "alder".into(),
        keys: Vec::new(),
        rank: None,
        rate_per_second,
        burst: rate_per_second,
        counts_tokens: true,
        plain_tokens: 200,
    }
}

/// A prompt of one part.
pub fn prompt(part: u64, tokens: u32) -> Prompt {
    Prompt { prompt_tokens: tokens, output_tokens: 10, parts: vec![PromptPart { id: part, tokens }] }
}

/// The engines of the service `pool` for a prompt, as its placement node knows them.
pub fn placement_candidates(state: &BackendState, directory: &Directory, prompt: &Prompt) -> Vec<Candidate> {
    let search = Search {
        service: &"pool".into(),
        zone: &"a".into(),
        prompt: Some(prompt),
        group: EngineGroup::WHOLE,
        rank: 0,
        avoided: &[],
        versions: &AllowedVersions::All,
        by: ChosenBy::PlacementNode,
    };
    state.candidates(directory, search)
}

/// A call on a route and of a tenant with these ranks.
pub fn call(route_rank: u8, tenant_rank: Option<u8>, prompt_tokens: u32) -> Call {
    let now = Instant::now();
    let tenant = Tenant { rank: tenant_rank, ..tenant(0.0) };
    let route = Route {
        name: "chat".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::ResumableStream,
        hold_limit_ms: 15_000,
        objective_ms: 600,
        gap_objective_ms: None,
        rank: route_rank,
        targets: Vec::new(),
        attempt_limit: 2,
        public: false,
    };
    Call {
        fingerprint: Default::default(),
        caller: CallerConnection::unlimited(),
        response_buffers: Arc::new(CallerConnection::unlimited().hold()),
        is_delegated: false,
        sends: Default::default(),
        admission: Admission::Normal,
        request_id: None,
        method: hyper::Method::POST,
        target: hyper::Uri::from_static("/"),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        route: Arc::new(route),
        service: "model".into(),
        tenant: Some(TenantRef::new(tenant)),
        prompt: Some(Prompt { prompt_tokens, output_tokens: 10, parts: Vec::new() }),
        last_event: None,
        resumes: None,
        stream_version: None,
        engine: None,
        received: now,
        suspended_before: beamwall_clock::suspended_time(),
        deadline: now,
        policy_version: 1,
    }
}
