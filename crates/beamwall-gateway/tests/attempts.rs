//! Selection of the next attempt of a request, without a network: a retry from the budget together with a
//! back end, or neither.

mod support;

use std::time::Duration;

use beamwall_engine_limits::RestNotice;
use beamwall_gateway::ResponseHead;
use beamwall_gateway::attempt::{self, AttemptFailure, Execution, ResumePoint};
use beamwall_gateway::attempts::{Attempts, RetryBlocker};
use beamwall_gateway::failover::FailedAttempt;
use beamwall_gateway::forward::{Call, Forwarder, NoBackEnd, PermittedChoice};
use beamwall_model::BackendId;
use beamwall_rollout::{OrderId, OrderUpdate, RolloutOrder, Verdict};
use hyper::StatusCode;
use tokio::time::Instant;

use crate::support::forwarder::{forwarder, forwarder_with};

const SECOND: Duration = Duration::from_secs(1);

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
