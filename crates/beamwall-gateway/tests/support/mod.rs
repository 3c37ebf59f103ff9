//! What the tests share: a service whose engines are known, and a request.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;

use beamwall_engine_model::{EngineModels, FirstEvent, Reading, ServiceEstimates, ServiceStatistics};
use beamwall_gateway::forward::Call;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, Directory, Prompt, Reporter, Vanishing};
use beamwall_model::BackendId;
use beamwall_policy::{Route, RouteKind, Tenant, TenantRef};
use beamwall_quarantine::Admission;
use tokio::time::Instant;

/// Prompt tokens that the engines read in a millisecond.
pub const TOKENS_PER_MS: f64 = 32.0;
/// Milliseconds in which they compare a million pairs of tokens.
pub const PAIRS_MS_PER_MILLION: f64 = 1.2;
/// Milliseconds that each running request adds to the start of another.
pub const RUNNING_MS: f64 = 2.0;
/// Milliseconds between two events where nothing else runs.
pub const EVENT_GAP_MS: f64 = 20.0;
/// Milliseconds that each running request adds to them.
pub const EVENT_GAP_MS_EACH: f64 = 1.0;
/// Milliseconds of a plain call, and what each running one adds.
pub const PLAIN_CALL_MS: f64 = 15.0;

/// Time to read a part of a prompt.
pub fn reading_ms(reading: Reading) -> f64 {
    reading.tokens as f64 / TOKENS_PER_MS + reading.pairs as f64 / 1e6 * PAIRS_MS_PER_MILLION
}

/// What was observed of such engines, without any noise.
pub fn observed() -> ServiceStatistics {
    observed_with(RUNNING_MS)
}

/// The same of engines at which each running request adds `running_ms` to the start of another.
pub fn observed_with(running_ms: f64) -> ServiceStatistics {
    let mut statistics = ServiceStatistics::default();
    let unknown = ServiceEstimates::default();
    for number in 0..300_u64 {
        let reading = Reading::of_rest((number % 3) * 500, 1 + number * 7_919 % 20_000);
        let (tokens_ahead, running) = (number * 104_729 % 15_000, (number % 24) as u32);
        let of = FirstEvent { reading, tokens_ahead, running };
        let ahead_ms = tokens_ahead as f64 / TOKENS_PER_MS;
        let took_ms = 5.0 + reading_ms(reading) + ahead_ms + f64::from(running) * running_ms;
        statistics.note_first_event(of, took_ms, &unknown);
        let gap_ms = EVENT_GAP_MS + f64::from(running) * EVENT_GAP_MS_EACH;
        statistics.note_event_gap(running, gap_ms, &unknown);
        statistics.note_plain_call(running, PLAIN_CALL_MS * f64::from(running + 1));
        statistics.note_stream(1_000.0);
    }
    statistics
}

/// Lets a node know the service `pool`.
pub fn teach(models: &EngineModels<Reporter>, observed: ServiceStatistics) {
    models.set_peer(&Reporter::Node("teacher".into()), [("pool".into(), observed)].into());
    models.refresh(Instant::now());
}

/// An engine of the service `pool` that tells no life and takes requests.
pub fn backend(instance: &str) -> Backend {
    Backend {
        id: instance.into(),
        instance: instance.into(),
        born_ms: None,
        service: "pool".into(),
        // Nothing listens there.
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
    }
}

/// A life of an engine that began at `born_ms`.
pub fn life(instance: &str, born_ms: u64) -> Backend {
    let id = BackendId::for_generation(&instance.into(), Some(born_ms));
    Backend { id, born_ms: Some(born_ms), ..backend(instance) }
}

/// A list of engines `e0`, `e1` and so on of the service `pool`, each of which works on `slots` requests at once.
pub fn directory(engines: usize, slots: u32) -> Directory {
    let backend = |number: usize| Backend { slots, ..backend(&format!("e{number}")) };
    let mut directory = Directory::default();
    let backends = (0..engines).map(backend).collect();
    directory.replace(DirectorySnapshot { revision: 1, backends }, Vanishing::Gone);
    directory
}

/// A request of a route and a tenant with these ranks.
pub fn call(route_rank: u8, tenant_rank: Option<u8>, prompt_tokens: u32) -> Call {
    let now = Instant::now();
    let tenant = Tenant {
        name: "alder".into(),
        keys: Vec::new(),
        rank: tenant_rank,
        rate_per_second: 0.0,
        burst: 0.0,
        counts_tokens: true,
        plain_tokens: 200,
    };
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
        admission: Admission::Usual,
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
        received: now,
        asleep_before: beamwall_clock::asleep(),
        deadline: now,
        policy_version: 1,
    }
}
