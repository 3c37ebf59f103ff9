//! Route choice: selects the back end of a request and states the reason.
//!
//! The load skew limit compares running and waiting requests, not resident tokens, so that a long
//! session does not count as load (finding of the reviewer in `PAPER-dp-attention-add-prefix-7d3f.md`). The
//! measurement is in docs/design/routing.md.

use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

use beamwall_config::{RoutingPolicy, Service};
use beamwall_fleet::{BackendView, FleetView};
use beamwall_model::{BackendId, ZoneName, rendezvous};
use quick_error::quick_error;

/// Assumed prefill rate of an engine that has not reported one, in tokens per second.
const ASSUMED_PREFILL_RATE: f64 = 4_000.0;
/// Time that each running or waiting request adds to the prediction, in milliseconds.
const REQUEST_COST_MS: f64 = 0.5;
/// Time that an engine in another zone adds to the prediction, in milliseconds.
const ZONE_COST_MS: f64 = 2.0;
/// Requests added to the skew limit, so that session affinity holds while the fleet is almost idle.
const SKEW_SLACK: f64 = 2.0;

quick_error! {
    /// Why no back end can take a request.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NoRoute {
        /// Every back end of the service is down, leaving, excluded or without the required model.
        NoneAvailable {
            display("no back end of the service is available")
        }
        /// Every back end has reached its request limit.
        AllFull {
            display("every back end of the service is full")
        }
    }
}

/// Reason for the choice of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteReason {
    /// It is the first engine in the session's rendezvous order.
    SessionAffinity,
    /// The session's first engine was full or above the skew limit; this is the next in its order.
    SessionSpill,
    /// It has the lowest predicted time to the first token.
    LowestPredictedWait,
    /// It has the fewest open requests; for plain services, this node's zone wins a tie.
    LeastOpenRequests,
    /// It is the next engine in round-robin order.
    RoundRobin,
}

impl RouteReason {
    /// Name used in response headers and in the output of `explain`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SessionAffinity => "session-affinity",
            Self::SessionSpill => "session-spill",
            Self::LowestPredictedWait => "lowest-predicted-wait",
            Self::LeastOpenRequests => "least-open-requests",
            Self::RoundRobin => "round-robin",
        }
    }
}

impl fmt::Display for RouteReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Inputs of a routing decision.
pub struct RouteQuery<'a> {
    /// Requested service.
    pub service: &'a Service,
    /// Session key sent by the caller.
    pub session: Option<&'a str>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// This node's zone.
    pub zone: &'a ZoneName,
    /// Sequence number of the request at this node, used by the round-robin policy.
    pub round_robin_index: usize,
    /// Back ends that already failed this request.
    pub excluded: &'a [BackendId],
    /// Returns the estimated number of prompt tokens that an engine has cached.
    pub cached_tokens: &'a dyn Fn(&BackendId) -> u32,
}

/// The chosen back end.
#[derive(Debug, Clone)]
pub struct Route {
    /// The back end.
    pub backend: Arc<BackendView>,
    /// Reason for the choice.
    pub reason: RouteReason,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: f64,
}

/// Back ends that accept work. The excluded ones are left out unless no other accepts work.
fn candidates<'a>(view: &'a FleetView, query: &RouteQuery<'_>) -> Vec<&'a Arc<BackendView>> {
    let backends = view.of_service(&query.service.name);
    let accepting: Vec<&Arc<BackendView>> =
        backends.iter().filter(|candidate| candidate.accepts_work()).collect();
    let not_excluded: Vec<&Arc<BackendView>> = accepting
        .iter()
        .copied()
        .filter(|candidate| !query.excluded.contains(&candidate.backend.id))
        .collect();
    if not_excluded.is_empty() { accepting } else { not_excluded }
}

/// Whether an engine has the service's model and version loaded. An engine that reports no model has not
/// received a load order yet and cannot serve.
fn has_model(candidate: &BackendView, service: &Service) -> bool {
    candidate
        .report
        .as_ref()
        .is_some_and(|report| report.model == service.model && report.version == service.version)
}

/// Predicted time to the first token at an engine, in milliseconds.
pub fn predict_ms(candidate: &BackendView, query: &RouteQuery<'_>) -> f64 {
    let reported = candidate.report.as_ref().map_or(0, |report| report.prefill_tokens_per_second);
    let rate = if reported > 0 { f64::from(reported) } else { ASSUMED_PREFILL_RATE };
    let cached = (query.cached_tokens)(&candidate.backend.id).min(query.prompt_tokens);
    let uncached = query.prompt_tokens - cached;
    let prefill = f64::from(candidate.queued_tokens().saturating_add(uncached)) / rate * 1_000.0;
    let requests = f64::from(candidate.requests()) * REQUEST_COST_MS;
    let zone = if candidate.backend.zone == *query.zone { 0.0 } else { ZONE_COST_MS };
    prefill + requests + zone
}

/// Chooses a model engine by the routing policy of the service.
pub fn choose_engine(view: &FleetView, query: &RouteQuery<'_>) -> Result<Route, NoRoute> {
    let all = candidates(view, query);
    let loaded: Vec<&Arc<BackendView>> =
        all.into_iter().filter(|candidate| has_model(candidate, query.service)).collect();
    if loaded.is_empty() {
        return Err(NoRoute::NoneAvailable);
    }
    let limit = u32::try_from(query.service.max_engine_requests).unwrap_or(u32::MAX);
    let free: Vec<&Arc<BackendView>> =
        loaded.iter().copied().filter(|candidate| candidate.requests() < limit).collect();
    if free.is_empty() {
        return Err(NoRoute::AllFull);
    }
    let (backend, reason) = match query.service.policy {
        RoutingPolicy::PredictedWait => choose_by_prediction(&loaded, &free, query),
        RoutingPolicy::LeastRequests => (engine_with_fewest_requests(&free), RouteReason::LeastOpenRequests),
        RoutingPolicy::RoundRobin => (free[query.round_robin_index % free.len()], RouteReason::RoundRobin),
    };
    Ok(Route { backend: backend.clone(), reason, predicted_ms: predict_ms(backend, query) })
}

fn choose_by_prediction<'a>(
    loaded: &[&'a Arc<BackendView>],
    free: &[&'a Arc<BackendView>],
    query: &RouteQuery<'_>,
) -> (&'a Arc<BackendView>, RouteReason) {
    let for_session = match query.session {
        Some(session) if query.service.affinity => choose_for_session(loaded, free, session, query),
        _ => None,
    };
    for_session.unwrap_or_else(|| (engine_with_lowest_wait(free, query), RouteReason::LowestPredictedWait))
}

/// Returns the engine with the fewest requests. `free` must not be empty.
fn engine_with_fewest_requests<'a>(free: &[&'a Arc<BackendView>]) -> &'a Arc<BackendView> {
    let mut best = free[0];
    for candidate in &free[1..] {
        if candidate.requests() < best.requests() {
            best = candidate;
        }
    }
    best
}

/// Returns the first engine in the session's rendezvous order that is within the skew limit.
fn choose_for_session<'a>(
    loaded: &[&'a Arc<BackendView>],
    free: &[&'a Arc<BackendView>],
    session: &str,
    query: &RouteQuery<'_>,
) -> Option<(&'a Arc<BackendView>, RouteReason)> {
    let total: f64 = loaded.iter().map(|candidate| f64::from(candidate.requests())).sum();
    let limit = total / loaded.len() as f64 * query.service.max_load_skew + SKEW_SLACK;
    let order = rendezvous::choose(session.as_bytes(), loaded, loaded.len(), |view| view.backend.id.as_str());
    for (position, candidate) in order.into_iter().enumerate() {
        let is_free = free.iter().any(|other| other.backend.id == candidate.backend.id);
        if is_free && f64::from(candidate.requests()) <= limit {
            let reason = if position == 0 { RouteReason::SessionAffinity } else { RouteReason::SessionSpill };
            return Some((candidate, reason));
        }
    }
    None
}

/// Returns the engine with the lowest predicted time to the first token; the smaller identifier wins a tie.
/// `free` must not be empty.
fn engine_with_lowest_wait<'a>(
    free: &[&'a Arc<BackendView>],
    query: &RouteQuery<'_>,
) -> &'a Arc<BackendView> {
    let mut best = free[0];
    let mut best_ms = predict_ms(best, query);
    for candidate in &free[1..] {
        let predicted = predict_ms(candidate, query);
        let order = predicted.partial_cmp(&best_ms).unwrap_or(Ordering::Equal);
        let tie = order == Ordering::Equal && candidate.backend.id < best.backend.id;
        if order == Ordering::Less || tie {
            best = candidate;
            best_ms = predicted;
        }
    }
    best
}

/// Chooses a back end of a plain service: the one with the fewest open requests of this node. This node's
/// zone wins a tie.
pub fn choose_backend(view: &FleetView, query: &RouteQuery<'_>) -> Result<Route, NoRoute> {
    let backends = view.of_service(&query.service.name);
    let mut best: Option<(u32, bool, &Arc<BackendView>)> = None;
    for candidate in backends.iter().filter(|candidate| candidate.accepts_work()) {
        if query.excluded.contains(&candidate.backend.id) {
            continue;
        }
        let rank = (candidate.load.open_requests(), candidate.backend.zone != *query.zone);
        if best.is_none_or(|(open, other_zone, _)| rank < (open, other_zone)) {
            best = Some((rank.0, rank.1, candidate));
        }
    }
    let (_, _, backend) = best.ok_or(NoRoute::NoneAvailable)?;
    Ok(Route { backend: backend.clone(), reason: RouteReason::LeastOpenRequests, predicted_ms: 0.0 })
}
