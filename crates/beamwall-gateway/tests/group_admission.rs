//! Requests that the placement nodes of their groups reject or admit, without a network.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_admission::{CapacityClaim, Rejection, RejectionReason};
use beamwall_gateway::admission_metrics::AdmissionMetrics;
use beamwall_gateway::attempts::Attempts;
use beamwall_gateway::candidates::BackendState;
use beamwall_gateway::forward::{Call, Forwarder, NoBackEnd};
use beamwall_gateway::group_admission::GroupAdmission;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_gateway::refusal::Refusal;
use beamwall_gateway::{Choice, PlacementOutcome, PlacementPort, PlacementQuery};
use beamwall_model::BackendId;
use beamwall_quarantine::Fingerprint;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::support::forwarder::forwarder;

const SECOND: Duration = Duration::from_secs(1);

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
        prompt: support::prompt(number, tokens),
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
