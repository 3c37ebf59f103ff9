//! Selection of the next attempt of a request, without a network: a retry from the budget together with a
//! back end, or neither.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_admission::{CapacityClaim, Rejection, RejectionReason};
use beamwall_engine_limits::RestNotice;
use beamwall_gateway::admission_metrics::AdmissionMetrics;
use beamwall_gateway::attempt::{self, AttemptFailure, Execution, ResumePoint};
use beamwall_gateway::attempts::{Attempts, RetryBlocker};
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::choice::Chooser;
use beamwall_gateway::demand::DemandTracker;
use beamwall_gateway::engine_gate::{EngineGate, PermitOutcome, PermitPort, PermitRequest};
use beamwall_gateway::failover::FailedAttempt;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::forward::{Call, Forwarder, NoBackEnd, PermittedChoice};
use beamwall_gateway::group_admission::GroupAdmission;
use beamwall_gateway::metrics::GatewayMetrics;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::ports::{MoveReply, MoveRequest};
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::refusal::Refusal;
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_gateway::usage::UsageLedger;
use beamwall_gateway::{
    CallHead, Choice, DelegationPeer, DelegationPort, Dialect, Directory, ForwardHead, OriginPort,
    PeerAnswer, PlacementOutcome, PlacementPort, PlacementQuery, Prompt, PromptPart, ResponseHead,
    StreamOrigins,
};
use beamwall_http::Pool;
use beamwall_model::{BackendId, ChoiceStrategy, NodeId, ServiceName};
use beamwall_quarantine::{Fingerprint, QuarantineRegistry};
use beamwall_rollout::{OrderId, OrderUpdate, RolloutOrder, RolloutRegistry, Verdict};
use beamwall_stream_origin::StreamKey;
use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Stubs: a dialect, a placement and a permit node that these tests don't use, and trials that are never granted.
struct StubPorts;

impl Dialect for StubPorts {
    fn read_call(&self, _: &HeaderMap) -> CallHead {
        CallHead::default()
    }
    fn forward_headers(&self, _: &HeaderMap, _: &ForwardHead<'_>) -> HeaderMap {
        HeaderMap::new()
    }
    fn read_response_head(&self, _: StatusCode, _: &HeaderMap) -> ResponseHead {
        ResponseHead::default()
    }
    fn delegated_headers(&self, _: &HeaderMap, _: Duration, _: u64) -> HeaderMap {
        HeaderMap::new()
    }
    fn probe_headers(&self) -> HeaderMap {
        HeaderMap::new()
    }
    fn response_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }
    fn move_request(&self, _: &MoveRequest<'_>) -> Request<Bytes> {
        Request::default()
    }
    fn read_move_reply(&self, _: StatusCode, _: &[u8]) -> MoveReply {
        MoveReply::RunEnded
    }
    fn release_request(&self, _: &str) -> Request<Bytes> {
        Request::default()
    }
    fn mark_refusal(&self, _: &mut HeaderMap, _: &str) {}
}

#[async_trait]
impl PlacementPort for StubPorts {
    async fn place(&self, _: &PlacementQuery) -> PlacementOutcome {
        PlacementOutcome::Unanswered
    }
}

#[async_trait]
impl PermitPort for StubPorts {
    async fn request_permit(&self, _: &PermitRequest) -> PermitOutcome {
        PermitOutcome::Unanswered
    }
    fn grants(&self, _: &BackendId) -> bool {
        false
    }
}

#[async_trait]
impl DelegationPort for StubPorts {
    async fn find_peer(&self, _: &ServiceName, _: &[NodeId]) -> Option<DelegationPeer> {
        None
    }
    fn note_unreachable(&self, _: &NodeId) {}
    fn is_own_token(&self, _: u64) -> bool {
        false
    }
}

#[async_trait]
impl OriginPort for StubPorts {
    async fn ask(&self, _: &StreamKey, _: &ServiceName, _: Duration) -> PeerAnswer {
        PeerAnswer::NoPeers
    }
}

#[async_trait]
impl TrialPort for StubPorts {
    async fn claim_trial(&self, _: &Fingerprint, _: u32, _: u64) -> bool {
        false
    }
}

/// A node with `engines` engines and a budget of `retries` extra retries.
fn forwarder(engines: usize, retries: f64) -> Forwarder {
    forwarder_with(support::directory(engines, 8), retries)
}

fn forwarder_with(directory: Directory, retries: f64) -> Forwarder {
    let directory = Arc::new(ArcSwap::from_pointee(directory));
    let (pool, clock): (Pool, Arc<FleetClock>) = (Pool::new(SECOND), Arc::default());
    let registry: Arc<QuarantineRegistry> = Arc::default();
    let quarantine =
        Quarantine::new(registry, pool.clone(), directory.clone(), clock.clone(), Arc::new(StubPorts));
    let allowance =
        RetryAllowance { earned_percent: 100, saved_percent: 0, extra: retries, window: SECOND * 10 };
    Forwarder {
        node: "n1".into(),
        zone: "a".into(),
        dialect: Arc::new(StubPorts),
        pool,
        directory,
        backend_state: BackendState::default(),
        chooser: Chooser::new(ChoiceStrategy::ExpectedTime),
        placement: Arc::new(StubPorts),
        admission: None,
        gate: EngineGate::new(Box::new(StubPorts), 1, Arc::default()),
        reachability: Default::default(),
        delegation: Arc::new(StubPorts),
        demand: DemandTracker::default(),
        rollouts: RolloutRegistry::default(),
        origins: StreamOrigins::new(Arc::new(StubPorts)),
        quarantine: Arc::new(quarantine),
        move_on_reclaim: false,
        retries: RetryBudgets::new(allowance, 1),
        usage: UsageLedger::new(SECOND),
        clock,
        metrics: GatewayMetrics::new(&prometheus::Registry::new()).expect("they register"),
    }
}

fn call() -> Call {
    let call = support::call(0, None, 100);
    Call { service: "pool".into(), prompt: None, deadline: call.received + SECOND * 10, ..call }
}

fn refused_attempt() -> FailedAttempt {
    AttemptFailure {
        execution: Execution::NotExecuted,
        response_lost: false,
        ..AttemptFailure::may_have_run("refused")
    }
    .into()
}

fn retries_left(forwarder: &Forwarder) -> f64 {
    forwarder.retries.available_retries().iter().map(|(_, left)| left).sum()
}

/// Starts an attempt at one engine and tries to reserve another engine for a failover.
async fn fail_over(
    forwarder: &Forwarder,
    call: &Call,
) -> (Attempts, PermittedChoice, Result<PermittedChoice, RetryBlocker>) {
    let mut attempts = Attempts::default();
    let first = attempts.first_choice(forwarder, call).await.expect("an engine");
    let next = attempts.reserve(forwarder, call, 1, Vec::new()).await;
    (attempts, first, next)
}

#[tokio::test(start_paused = true)]
async fn a_request_fails_over_to_another_engine_within_its_budget() {
    let (forwarder, call) = (forwarder(2, 1.0), call());
    let (_, first, next) = fail_over(&forwarder, &call).await;
    assert_ne!(next.expect("the other engine").backend, first.backend);
    assert_eq!(retries_left(&forwarder), 0.0);
}

/// Guards against: retries are spent although no engine is available for them.
#[tokio::test(start_paused = true)]
async fn the_retry_is_returned_when_there_is_no_other_engine() {
    let (forwarder, call) = (forwarder(1, 1.0), call());
    let (mut attempts, _, next) = fail_over(&forwarder, &call).await;
    assert_eq!(next, Err(RetryBlocker::BackEnd));
    assert_eq!(retries_left(&forwarder), 1.0);
    let avoided = support::directory(1, 8).backends().map(|backend| backend.id.clone()).collect();
    assert_eq!(attempts.reserve(&forwarder, &call, 1, avoided).await, Err(RetryBlocker::BackEnd));
}

#[tokio::test(start_paused = true)]
async fn no_engine_is_reserved_without_retry_budget() {
    let (forwarder, call) = (forwarder(3, 0.0), call());
    while forwarder.retries.take(&call.service, Instant::now()) {}
    let (attempts, _, next) = fail_over(&forwarder, &call).await;
    assert_eq!(next, Err(RetryBlocker::Retry));
    assert_eq!(attempts.tried.len(), 1);
}

/// Guards against: a caller's stream is aborted because the engine that should take it over refused it,
/// although the first engine is healthy.
#[tokio::test(start_paused = true)]
async fn a_request_returns_to_the_silent_engine_when_the_other_refuses() {
    let (forwarder, call) = (forwarder(2, 5.0), call());
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    let (mut attempts, first, next) = fail_over(&forwarder, &call).await;
    let failed = FailedAttempt { failure: AttemptFailure::lost("silent"), next: next.ok() };
    let second = attempts
        .continue_after_failure(&forwarder, &call, &first, failed)
        .await
        .expect("the reserved engine");
    assert_ne!(second.backend, first.backend);
    let mut returned = 0;
    let mut next = attempts.continue_after_failure(&forwarder, &call, &second, refused_attempt()).await;
    while let Some(choice) = next {
        assert_eq!(
            choice.backend, first.backend,
            "there is no third engine, and the one that refused is not retried"
        );
        returned += 1;
        next = attempts.continue_after_failure(&forwarder, &call, &choice, refused_attempt()).await;
    }
    assert_eq!(returned, 3);
    assert_eq!(attempts.tried.len(), 2);
}

/// An engine that failed the attempt is not retried. Only silence is no evidence of a failure.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_return_to_an_engine_that_failed() {
    let (forwarder, call) = (forwarder(2, 5.0), call());
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    let mut attempts = Attempts::default();
    let first = attempts.first_choice(&forwarder, &call).await.expect("an engine");
    let lost = AttemptFailure::lost("reset").into();
    let second =
        attempts.continue_after_failure(&forwarder, &call, &first, lost).await.expect("the other engine");
    assert_eq!(attempts.continue_after_failure(&forwarder, &call, &second, refused_attempt()).await, None);
}

/// A call that continues a stream which engines of this version began.
fn continuing_call(version: &str) -> Call {
    Call { last_event: Some(3), stream_version: Some(version.into()), ..call() }
}

/// A rollout of the service to this version has ended so.
fn roll_out(forwarder: &Forwarder, target: &str, verdict: Verdict) {
    let id = OrderId { service: "pool".into(), target: target.into(), made: 1 };
    let order = RolloutOrder { id: id.clone(), interval: SECOND * 60 };
    let age = SECOND;
    let verdict_so_far = Verdict::Running;
    let update = OrderUpdate { order, revision: 1.into(), age, verdict: verdict_so_far, is_withdrawn: false };
    forwarder.rollouts.merge_order(update, Instant::now());
    forwarder.rollouts.merge_verdict(&id, verdict, Instant::now());
}

async fn engines_chosen(forwarder: &Forwarder, call: &Call) -> Vec<String> {
    let mut attempts = Attempts::of(call);
    let mut chosen = Vec::new();
    let mut next = attempts.first_choice(forwarder, call).await;
    while let Some(choice) = next {
        chosen.push(choice.backend.to_string());
        next = attempts.continue_after_failure(forwarder, call, &choice, refused_attempt()).await;
    }
    chosen
}

/// Guards against: a rollout moves a stream that goes on to another version than the one that began it.
#[tokio::test(start_paused = true)]
async fn a_rollout_does_not_move_a_stream_that_goes_on() {
    let forwarder = forwarder_with(support::directory_of_versions(&["v1", "v2", "v1", "v2"]), 5.0);
    roll_out(&forwarder, "v2", Verdict::Succeeded);
    let new = engines_chosen(&forwarder, &call()).await;
    assert!(!new.is_empty() && new.iter().all(|engine| ["e1", "e3"].contains(&engine.as_str())), "{new:?}");
    let old = engines_chosen(&forwarder, &continuing_call("v1")).await;
    assert!(!old.is_empty() && old.iter().all(|engine| ["e0", "e2"].contains(&engine.as_str())), "{old:?}");
}

/// Guards against: streams that go on take a version that was rolled back beyond what it may get.
#[tokio::test(start_paused = true)]
async fn a_version_that_was_rolled_back_continues_no_stream() {
    let forwarder = forwarder_with(support::directory_of_versions(&["v1", "v2"]), 5.0);
    roll_out(&forwarder, "v2", Verdict::RolledBack);
    assert!(engines_chosen(&forwarder, &continuing_call("v2")).await.is_empty());
    assert_eq!(engines_chosen(&forwarder, &continuing_call("v1")).await, ["e0"]);
}

/// Guards against: a stream returns to the engine that it left before its first event, although another version began it.
#[tokio::test(start_paused = true)]
async fn a_stream_does_not_return_to_a_silent_engine_of_another_version() {
    let forwarder = forwarder_with(support::directory_of_versions(&["v1", "v2"]), 5.0);
    let call = call();
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    let (mut attempts, first, next) = fail_over(&forwarder, &call).await;
    let failed = FailedAttempt { failure: AttemptFailure::lost("silent"), next: next.ok() };
    let second = attempts.continue_after_failure(&forwarder, &call, &first, failed).await.expect("an engine");
    let version = forwarder.directory.load().get(&second.backend).map(|listed| listed.version.clone());
    attempts.note_response_started(version.as_ref());
    assert_eq!(attempts.continue_after_failure(&forwarder, &call, &second, refused_attempt()).await, None);
}

/// An engine says in a response that it leaves.
fn announce_departure(forwarder: &Forwarder, backend: &BackendId) {
    let head = ResponseHead { is_leaving: true, ..ResponseHead::default() };
    forwarder.gate.note_response(backend, &head, Instant::now());
}

/// Guards against: a permit that was obtained before an engine announced its departure is spent afterwards.
#[tokio::test(start_paused = true)]
async fn a_permit_is_not_spent_at_an_engine_that_has_announced_its_departure() {
    let (forwarder, call) = (forwarder(1, 1.0), call());
    let PermittedChoice { choice, permit } =
        forwarder.choose(&call, &[], None).await.expect("the only engine");
    announce_departure(&forwarder, &choice.backend);
    let opened = attempt::open(&forwarder, &call, &choice, permit, ResumePoint::default(), SECOND).await;
    let failure = opened.err().expect("nothing is sent");
    assert!(!failure.sent);
    assert_eq!(failure.execution, Execution::NotExecuted);
    assert!(forwarder.choose(&call, &[], None).await.is_err(), "no engine is left");
}

/// Guards against: a request returns to the silent engine that it left, although that engine leaves.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_return_to_a_silent_engine_that_leaves() {
    let (forwarder, call) = (forwarder(2, 5.0), call());
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    let (mut attempts, first, next) = fail_over(&forwarder, &call).await;
    let failed = FailedAttempt { failure: AttemptFailure::lost("silent"), next: next.ok() };
    let second = attempts.continue_after_failure(&forwarder, &call, &first, failed).await.expect("an engine");
    announce_departure(&forwarder, &first.backend);
    let retries_before = retries_left(&forwarder);
    assert_eq!(attempts.continue_after_failure(&forwarder, &call, &second, refused_attempt()).await, None);
    assert_eq!(retries_left(&forwarder), retries_before);
}

/// An engine rejects a request and wants nothing from this node for so long.
fn ask_for_rest(forwarder: &Forwarder, backend: &BackendId, rest: Duration) {
    let head = ResponseHead { rest: RestNotice::Rest(rest), ..ResponseHead::default() };
    forwarder.gate.note_response(backend, &head, Instant::now());
}

/// Guards against: an engine that rests is sent requests that were permitted before, or one good response ends its rest.
#[tokio::test(start_paused = true)]
async fn an_engine_that_rests_gets_nothing_until_its_rest_is_over() {
    let (forwarder, call) = (forwarder(1, 1.0), call());
    let PermittedChoice { choice, permit } =
        forwarder.choose(&call, &[], None).await.expect("the only engine");
    ask_for_rest(&forwarder, &choice.backend, SECOND * 3);
    let opened = attempt::open(&forwarder, &call, &choice, permit, ResumePoint::default(), SECOND).await;
    assert!(!opened.err().expect("nothing is sent").sent);
    forwarder.gate.note_response(&choice.backend, &ResponseHead::default(), Instant::now());
    tokio::time::advance(SECOND * 2).await;
    let blocked = forwarder.choose(&call, &[], None).await.err();
    let Some(NoBackEnd::Blocked(blocked)) = blocked else { panic!("{blocked:?}") };
    assert!(blocked.wait().is_some_and(|wait| wait >= SECOND && wait < SECOND * 2), "{blocked:?}");
    tokio::time::advance(SECOND * 2).await;
    assert!(forwarder.choose(&call, &[], None).await.is_ok());
}

/// Guards against: callers are told nothing of when resting engines take requests again, or wait for them.
#[tokio::test(start_paused = true)]
async fn the_refusal_names_what_is_left_of_the_shortest_rest() {
    let (forwarder, call) = (forwarder(2, 1.0), call());
    for (engine, rest) in ["e0", "e1"].into_iter().zip([SECOND * 3, SECOND * 2]) {
        ask_for_rest(&forwarder, &BackendId::new(engine), rest);
    }
    let mut attempts = Attempts::default();
    let started = Instant::now();
    assert!(attempts.first_choice(&forwarder, &call).await.is_none());
    assert_eq!(started.elapsed(), Duration::ZERO);
    let refusal = attempts.refusal(&call);
    assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = refusal.retry_after().expect("a time to return");
    assert!(retry_after >= SECOND * 2 && retry_after < SECOND * 3, "{retry_after:?}");
}

/// Guards against: a rest that an engine asked one node for keeps the other nodes' requests from it.
#[tokio::test(start_paused = true)]
async fn a_rest_concerns_the_node_that_was_asked_for_it() {
    let forwarder = forwarder(2, 1.0);
    let engine = BackendId::new("e0");
    ask_for_rest(&forwarder, &engine, SECOND * 3);
    assert_eq!(forwarder.gate.blocked(0), [engine]);
    assert!(forwarder.gate.blocked_for_peers(0).is_empty());
}

/// Guards against: a caller whose request was just turned away by the last engines is told to return at once, and is
/// turned away again.
#[tokio::test(start_paused = true)]
async fn the_refusal_names_the_rest_of_engines_that_this_call_was_sent_to() {
    let (forwarder, call) = (forwarder(1, 5.0), call());
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    let mut attempts = Attempts::default();
    let first = attempts.first_choice(&forwarder, &call).await.expect("the only engine");
    ask_for_rest(&forwarder, &first.backend, SECOND * 3);
    assert_eq!(attempts.continue_after_failure(&forwarder, &call, &first, refused_attempt()).await, None);
    let retry_after = attempts.refusal(&call).retry_after().expect("a time to return");
    assert!(retry_after >= SECOND * 3 && retry_after < SECOND * 5, "{retry_after:?}");
}

/// Guards against: a caller is told to wait for a resting engine although another one, which failed its request, may take
/// the next one.
#[tokio::test(start_paused = true)]
async fn the_refusal_names_no_rest_while_another_engine_takes_requests() {
    let (forwarder, call) = (forwarder(2, 5.0), call());
    (0..10).for_each(|_| forwarder.retries.earn(&call.service, Instant::now()));
    ask_for_rest(&forwarder, &BackendId::new("e0"), SECOND * 3);
    let mut attempts = Attempts::default();
    let first = attempts.first_choice(&forwarder, &call).await.expect("the other engine");
    assert_eq!(attempts.continue_after_failure(&forwarder, &call, &first, refused_attempt()).await, None);
    let retry_after = attempts.refusal(&call).retry_after().expect("a time to return");
    assert!(retry_after < SECOND, "{retry_after:?}");
}

/// A placement node that answers every query in the same way, but for the first one, and records the queries.
struct FixedPlacement {
    first: PlacementOutcome,
    outcome: PlacementOutcome,
    queries: Mutex<Vec<PlacementQuery>>,
}

#[async_trait]
impl PlacementPort for FixedPlacement {
    async fn place(&self, query: &PlacementQuery) -> PlacementOutcome {
        let mut queries = self.queries.lock().expect("no test panics with it");
        queries.push(query.clone());
        if queries.len() == 1 { self.first.clone() } else { self.outcome.clone() }
    }
}

const REJECTION: Rejection = Rejection {
    reason: RejectionReason::OverFairShare,
    expected: Duration::from_millis(900),
    retry_after: Duration::from_millis(350),
};

/// A node that has asked for a placement which was rejected, with as many engines as make two groups.
fn forwarder_with_rejections() -> (Forwarder, Arc<FixedPlacement>) {
    let outcome = PlacementOutcome::Rejected(REJECTION);
    let placement = Arc::new(FixedPlacement { first: outcome.clone(), outcome, queries: Mutex::default() });
    (Forwarder { placement: placement.clone(), ..forwarder(80, 5.0) }, placement)
}

/// A call with a prompt, whose engine is chosen by placement nodes.
fn placed_call() -> Call {
    let call = support::call(0, None, 100);
    Call { service: "pool".into(), deadline: call.received + SECOND * 10, ..call }
}

/// Guards against: while capacity is short, a rejected request is sent to an engine of the sender's own choice,
/// or its caller waits.
#[tokio::test(start_paused = true)]
async fn a_request_that_all_groups_reject_is_refused_at_once() {
    let (forwarder, placement) = forwarder_with_rejections();
    let call = placed_call();
    let (started, mut attempts) = (Instant::now(), Attempts::of(&call));
    assert_eq!(attempts.first_choice(&forwarder, &call).await, None);
    assert_eq!(started.elapsed(), Duration::ZERO);
    assert_eq!(placement.queries.lock().expect("unused").len(), 2, "both groups were asked");
    let refusal = attempts.refusal(&call);
    assert_eq!(refusal, Refusal::Rejected(REJECTION));
    assert_eq!(
        (refusal.status(), refusal.retry_after()),
        (StatusCode::SERVICE_UNAVAILABLE, Some(REJECTION.retry_after))
    );
    assert!(refusal.returns_quota());
}

/// Guards against: a request goes to the engine that the first group named without placing it, since the second
/// group has no capacity, and the queue of that engine is taken for shorter than it is.
#[tokio::test(start_paused = true)]
async fn the_first_group_is_asked_to_place_a_request_that_the_second_rejects() {
    let choice = Choice {
        backend: "e0".into(),
        cost_ms: 500.0,
        expected_ms: Some(500.0),
        slowness: 1.0,
        prefill: Default::default(),
        tokens_ahead: 0,
        open_requests: 0,
        failure_share: 0.0,
        candidates: 1,
        chosen_by: "n2".into(),
    };
    let (first, outcome) = (PlacementOutcome::Chosen(choice), PlacementOutcome::Rejected(REJECTION));
    let placement = Arc::new(FixedPlacement { first, outcome, queries: Mutex::default() });
    let forwarder = Forwarder { placement: placement.clone(), ..forwarder(80, 5.0) };
    let chosen = forwarder.choose(&placed_call(), &[], None).await;
    assert_eq!(chosen, Err(NoBackEnd::Rejected(REJECTION)), "the first group has no capacity any more");
    let queries = placement.queries.lock().expect("unused");
    let asked: Vec<_> = queries.iter().map(|query| (query.group, query.enough_ms.is_some())).collect();
    assert_eq!(asked, [(asked[0].0, true), (asked[1].0, false), (asked[0].0, false)]);
    assert_ne!(asked[0].0, asked[1].0);
    let objectives: Vec<u128> = queries.iter().map(|query| query.claim.objective.as_millis()).collect();
    assert_eq!(objectives, [600, 600, 0], "the first group has admitted it");
}

/// Guards against: a retry inside the system, or the continuation of a stream, is rejected after its engine has
/// gone, in the middle of a shortage.
#[tokio::test(start_paused = true)]
async fn retries_inside_the_system_and_continued_streams_claim_to_be_admitted() {
    let (forwarder, placement) = forwarder_with_rejections();
    let call = placed_call();
    let tried: Vec<BackendId> = vec!["e0".into()];
    let version = "v1".into();
    let choices = [(&tried[..0], None), (&tried[..], None), (&tried[..0], Some(&version))];
    for (tried, stream_version) in choices {
        let chosen = forwarder.choose(&call, tried, stream_version).await;
        assert_eq!(chosen, Err(NoBackEnd::Rejected(REJECTION)), "the stub rejects them all");
    }
    let queries = placement.queries.lock().expect("unused");
    let objectives: Vec<u128> = queries.iter().map(|query| query.claim.objective.as_millis()).collect();
    assert_eq!(objectives, [600, 600, 0, 0, 0, 0]);
}

/// A node that places the requests of its only group of `engines` engines, and admits by their capacity.
fn placing_node(engines: usize) -> Forwarder {
    let metrics = AdmissionMetrics::new(&prometheus::Registry::new()).expect("they register");
    let admission = Some(GroupAdmission::new(Arc::default(), metrics));
    let forwarder = Forwarder { admission, ..forwarder(engines, 5.0) };
    support::add_peer_statistics(&forwarder.backend_state.models, support::statistics_with_running_ms(0.0));
    forwarder
}

/// The query for a prompt that takes 100 ms to prefill, of a tenant.
fn placement_query(tenant: &str, number: u64, objective: Duration) -> PlacementQuery {
    let tokens = (100.0 * support::TOKENS_PER_MS) as u32;
    let mut fingerprint = [0; 16];
    fingerprint[..8].copy_from_slice(&number.to_be_bytes());
    PlacementQuery {
        sender: "n2".into(),
        service: "pool".into(),
        zone: "a".into(),
        group: EngineGroup::WHOLE,
        prompt: Prompt {
            prompt_tokens: tokens,
            output_tokens: 10,
            parts: vec![PromptPart { id: number, tokens }],
        },
        tried: Vec::new(),
        stream_version: None,
        unreachable: Vec::new(),
        observed: Vec::new(),
        pause_objective_ms: None,
        remaining: SECOND * 10,
        enough_ms: None,
        claim: CapacityClaim {
            tenant: Some(tenant.into()),
            rank: 0,
            objective,
            fingerprint: Fingerprint::new(fingerprint),
        },
    }
}

/// Load: 100 prompts of 100 ms arrive at once at 4 engines. As many as begin within the objective of 800 ms are
/// placed, the others are rejected with a time to return; without an objective all are placed.
#[tokio::test(start_paused = true)]
async fn a_placing_node_rejects_what_would_begin_after_its_objective() {
    let objective = Duration::from_millis(800);
    let place_all = |objective| {
        let forwarder = placing_node(4);
        let queries = (1..=100).map(|number| placement_query("alder", number, objective));
        queries.map(|query| forwarder.place(&query)).collect::<Vec<_>>()
    };
    let outcomes = place_all(objective);
    let chosen = outcomes.iter().filter(|outcome| matches!(outcome, PlacementOutcome::Chosen(_))).count();
    assert!((20..=32).contains(&chosen), "{chosen} are placed");
    for outcome in &outcomes {
        match outcome {
            PlacementOutcome::Chosen(choice) => assert!(choice.expected_ms.is_some_and(|ms| ms <= 800.0)),
            PlacementOutcome::Rejected(rejection) => {
                assert!(rejection.retry_after >= Duration::from_millis(50))
            }
            other => panic!("{other:?}"),
        }
    }
    let is_chosen = |outcome: &PlacementOutcome| matches!(outcome, PlacementOutcome::Chosen(_));
    assert!(place_all(Duration::ZERO).iter().all(is_chosen), "an earlier build names no objective");
}

/// Guards against: a placement node that has just started rejects requests by estimates that it does not have.
#[tokio::test(start_paused = true)]
async fn a_placing_node_without_a_trained_model_admits_all() {
    let forwarder = Forwarder { backend_state: BackendState::default(), ..placing_node(1) };
    for number in 1..=50 {
        let outcome = forwarder.place(&placement_query("alder", number, Duration::from_millis(1)));
        assert!(matches!(outcome, PlacementOutcome::Chosen(_)), "{outcome:?}");
    }
}
