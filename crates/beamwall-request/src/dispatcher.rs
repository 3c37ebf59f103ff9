//! What all requests of one node share, and the life of a model request from admission to its end.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_config::Service;
use beamwall_events::emit;
use beamwall_events::internal_events::RequestFailed;
use beamwall_fleet::{BackendView, FleetView};
use beamwall_http::Pool;
use beamwall_model::identifiers::IdentifierSource;
use beamwall_model::{BackendId, NodeId, Outcome, ServiceName, ZoneName};
use beamwall_quarantine::{Admission, Fingerprint};
use beamwall_routing::admission::AdmissionRequest;
use beamwall_routing::prefix::block_hashes;
use beamwall_routing::{AdmissionQueue, NoRoute, PrefixIndex, RetryBudget, Route, RouteQuery, choose_engine};
use tokio::time::Instant;

use crate::attempt::{AttemptEnd, AttemptInput};
use crate::end::End;
use crate::guard::RequestGuard;
use crate::metrics::{ClassMetrics, RequestMetrics};
use crate::model_request::{BYTES_PER_TOKEN, ModelRequest};
use crate::request_state::RequestState;

/// Pause before looking for a route again.
const ROUTE_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// When a caller may come back after no back end was available.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time an attempt waits for a slot once admitted.
const SLOT_WAIT: Duration = Duration::from_secs(5);

/// What all requests of one node share.
pub struct Dispatcher {
    /// This node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Connections to back ends.
    pub pool: Pool,
    /// Request and attempt identifiers.
    pub identifiers: IdentifierSource,
    /// The fleet as seen now.
    pub view: Arc<ArcSwap<FleetView>>,
    /// Keeps requests under which back ends end away from further ones.
    pub guard: Arc<dyn RequestGuard>,
    /// What engines are believed to have cached.
    pub prefixes: PrefixIndex,
    /// Metrics.
    pub metrics: RequestMetrics,
    queues: RwLock<HashMap<ServiceName, Arc<ServiceLane>>>,
    turn: AtomicUsize,
}

/// Queue and retry budget of one service.
pub struct ServiceLane {
    /// Admission.
    pub queue: Arc<AdmissionQueue>,
    /// Retries.
    pub retries: RetryBudget,
}

impl Dispatcher {
    /// A dispatcher of the back ends in `view`.
    pub fn new(
        node: NodeId,
        zone: ZoneName,
        pool: Pool,
        metrics: RequestMetrics,
        view: Arc<ArcSwap<FleetView>>,
        guard: Arc<dyn RequestGuard>,
    ) -> Self {
        Self {
            identifiers: IdentifierSource::new(&node),
            node,
            zone,
            pool,
            view,
            guard,
            prefixes: PrefixIndex::default(),
            metrics,
            queues: RwLock::default(),
            turn: AtomicUsize::new(0),
        }
    }

    /// The lane of a service.
    pub fn lane(&self, service: &ServiceName) -> Arc<ServiceLane> {
        let queues = self.queues.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = queues.get(service) {
            return lane.clone();
        }
        drop(queues);
        let mut queues = self.queues.write().unwrap_or_else(PoisonError::into_inner);
        let lane =
            || Arc::new(ServiceLane { queue: AdmissionQueue::new(0), retries: RetryBudget::default() });
        queues.entry(service.clone()).or_insert_with(lane).clone()
    }

    /// Takes a new view of the fleet and sets how many requests each service may have open here.
    pub fn set_view(&self, view: FleetView, services: &[&Service]) {
        let view = Arc::new(view);
        self.view.store(view.clone());
        for service in services {
            let capacity =
                view.of_service(&service.name).iter().map(|backend| free_slots(backend, service)).sum();
            self.lane(&service.name).queue.set_capacity(capacity);
        }
    }

    /// Runs a model request to its end. The state's readers see its tokens and its end.
    pub async fn run(&self, request: &ModelRequest, state: &Arc<RequestState>) {
        let metrics = self.metrics.of(&request.tenant.name, request.class);
        let end = tokio::select! {
            end = self.admit_and_attempt(request, state, &metrics) => end,
            () = state.until_abandoned() => End::unknown("caller disconnected"),
        };
        metrics.whole_request(request.accepted.elapsed());
        self.metrics.count_outcome(&request.tenant.name, request.class, end.outcome);
        if end.outcome != Outcome::Completed {
            emit(&RequestFailed {
                request: request.id.to_string(),
                outcome: end.outcome.to_string(),
                reason: end.reason.clone(),
            });
        }
        if end.outcome == Outcome::NotRun && state.usage().attempts > 0 && state.token_count() > 0 {
            self.metrics.break_invariant("not-run-after-tokens", request.id.to_string());
        }
        state.finish(end);
    }

    async fn admit_and_attempt(
        &self,
        request: &ModelRequest,
        state: &Arc<RequestState>,
        metrics: &ClassMetrics,
    ) -> End {
        let fingerprint = request.fingerprint();
        let guarded = match self.guard.admit(&fingerprint).await {
            Ok(admission) => GuardedRequest { fingerprint, admission },
            Err(held) => return End::held(held),
        };
        let lane = self.lane(&request.service.name);
        let admission = AdmissionRequest {
            tenant: request.tenant.name.clone(),
            weight: request.tenant.weight,
            class: request.class,
            tokens: request.work_tokens(),
            deadline: request.deadline,
        };
        if self.view.load().of_service(&request.service.name).iter().all(|backend| !backend.accepts_work()) {
            return End::not_run(NoRoute::NoneAvailable.to_string(), NO_BACKEND_RETRY_AFTER);
        }
        let _permit = match lane.queue.admit(&admission, request.service.max_waiting).await {
            Ok(permit) => permit,
            Err(refusal) => return End::not_run(refusal.to_string(), refusal.retry_after()),
        };
        metrics.queue_wait(request.accepted.elapsed());
        self.attempt_until_done(request, &guarded, state, &lane, metrics).await
    }

    async fn attempt_until_done(
        &self,
        request: &ModelRequest,
        guarded: &GuardedRequest,
        state: &Arc<RequestState>,
        lane: &ServiceLane,
        metrics: &ClassMetrics,
    ) -> End {
        lane.retries.earn(request.service.retry_budget_percent);
        let blocks = block_hashes(&request.prompt);
        let mut failed: Vec<BackendId> = Vec::new();
        let mut failures_without_progress = 0;
        let mut may_have_run = false;
        let mut planned: Option<Route> = None;
        loop {
            let route = match planned.take() {
                Some(route) => route,
                None => match self.find_route(request, &blocks, &failed, may_have_run).await {
                    Ok(route) => route,
                    Err(refusal) if may_have_run => return End::unknown(refusal.to_string()),
                    Err(refusal) => return End::not_run(refusal.to_string(), NO_BACKEND_RETRY_AFTER),
                },
            };
            let before = state.token_count();
            let fingerprint = &guarded.fingerprint;
            let input = AttemptInput { request, fingerprint, state, route: &route, blocks: &blocks, metrics };
            let sent_at = Instant::now();
            let result = self.attempt(&input).await;
            let progressed = state.token_count() > before;
            match result {
                AttemptEnd::Finished(reason) => {
                    self.guard.note_completed(&guarded.fingerprint);
                    return End::completed(reason);
                }
                AttemptEnd::DeadlinePassed => return End::unknown("the request's deadline passed"),
                AttemptEnd::Move(target) => {
                    may_have_run = true;
                    planned = Some(target);
                    continue;
                }
                AttemptEnd::NotReached => {}
                AttemptEnd::Refused => self.guard.note_refused(&route.backend.backend.id),
                AttemptEnd::Broken => {
                    may_have_run = true;
                    let backend = &route.backend.backend.id;
                    self.guard.note_lost(fingerprint, backend, sent_at.elapsed()).await;
                    if !guarded.may_go_on(self.guard.as_ref()) {
                        return End::unknown("back ends end under this request");
                    }
                }
            }
            failed.push(route.backend.backend.id.clone());
            failures_without_progress = if progressed { 0 } else { failures_without_progress + 1 };
            let exhausted = failures_without_progress >= request.service.max_attempts;
            if exhausted || !(progressed || lane.retries.take()) {
                return give_up(may_have_run);
            }
        }
    }

    /// Finds an engine. A request that an engine may have begun waits for one until its deadline;
    /// another one is refused at once when no engine is available.
    async fn find_route(
        &self,
        request: &ModelRequest,
        blocks: &[u64],
        failed: &[BackendId],
        may_have_run: bool,
    ) -> Result<Route, NoRoute> {
        let give_up_at =
            if may_have_run { request.deadline } else { request.deadline.min(Instant::now() + SLOT_WAIT) };
        loop {
            let refusal = match self.route(request, blocks, failed) {
                Ok(route) => return Ok(route),
                Err(refusal) => refusal,
            };
            let at_once = refusal == NoRoute::NoneAvailable && !may_have_run;
            if at_once || Instant::now() + ROUTE_RETRY_PAUSE >= give_up_at {
                return Err(refusal);
            }
            tokio::time::sleep(ROUTE_RETRY_PAUSE).await;
        }
    }

    /// Chooses an engine from the view as it is now.
    pub fn route(
        &self,
        request: &ModelRequest,
        blocks: &[u64],
        excluded: &[BackendId],
    ) -> Result<Route, NoRoute> {
        let cached = self.prefixes.cached_bytes(blocks);
        let cached_tokens = |engine: &BackendId| {
            let bytes = cached.get(engine).copied().unwrap_or(0);
            u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
        };
        let query = RouteQuery {
            service: &request.service,
            session: request.session.as_deref(),
            prompt_tokens: request.prompt_tokens(),
            zone: &self.zone,
            round_robin_index: self.turn.fetch_add(1, Ordering::Relaxed),
            excluded,
            cached_tokens: &cached_tokens,
        };
        choose_engine(&self.view.load(), &query)
    }
}

/// A request that was let pass, with what all its tries have in common.
pub(crate) struct GuardedRequest {
    /// Its fingerprint.
    pub(crate) fingerprint: Fingerprint,
    /// How it may be sent.
    pub(crate) admission: Admission,
}

impl GuardedRequest {
    /// Whether it may be sent once more after a back end may have run it: a trial is one attempt, and what has come to be held
    /// goes to no further one.
    pub(crate) fn may_go_on(&self, guard: &dyn RequestGuard) -> bool {
        self.admission == Admission::Normal && !guard.is_held(&self.fingerprint)
    }
}

fn give_up(may_have_run: bool) -> End {
    if may_have_run {
        End::unknown("attempts exhausted")
    } else {
        End::not_run("no engine could be reached", NO_BACKEND_RETRY_AFTER)
    }
}

/// Requests this node may have open at an engine: its limit less what others have there.
fn free_slots(backend: &Arc<BackendView>, service: &Service) -> usize {
    if !backend.accepts_work() {
        return 0;
    }
    let own = backend.load.open_requests();
    let others = backend.requests().saturating_sub(own) as usize;
    service.max_engine_requests.saturating_sub(others).max(1)
}
