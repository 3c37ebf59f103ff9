//! Refusal of model requests that no engine can serve before their deadline.

mod support;

use std::time::Duration;

use beamwall_engine_model::{FirstEventInputs, PrefillWork, ServiceEstimates};
use beamwall_gateway::{Choice, admission};

const OBJECTIVE: Duration = Duration::from_millis(300);

/// The choice of an engine that has `tokens_ahead` tokens to prefill before this request.
fn choice(estimates: &ServiceEstimates, tokens_ahead: u64) -> Choice {
    let prefill = PrefillWork::of_uncached(0, 1_000);
    Choice {
        backend: "e0".into(),
        cost_ms: 0.0,
        expected_ms: estimates.first_event_ms(FirstEventInputs { prefill, tokens_ahead, running: 3 }),
        slowness: 1.0,
        prefill,
        tokens_ahead,
        open_requests: 3,
        failure_share: 0.0,
        candidates: 1,
        chosen_by: "n0".into(),
    }
}

#[test]
fn a_request_is_refused_when_the_best_engine_would_start_after_its_deadline() {
    let estimates = support::typical_statistics().estimates();
    let remaining = Duration::from_secs(2);
    let check = |tokens| admission::check(&choice(&estimates, tokens), &estimates, remaining, OBJECTIVE);
    assert_eq!(check(32_000), None, "one second of prefill is queued");
    let unservable = check(96_000).expect("three seconds of prefill are queued");
    assert!((2_900..3_100).contains(&unservable.expected.as_millis()), "{unservable:?}");
    assert_eq!(unservable.retry_after, unservable.expected - OBJECTIVE);
}

#[test]
fn nothing_is_refused_while_nothing_is_known() {
    let unknown = ServiceEstimates::default();
    let choice = choice(&unknown, 1_000_000);
    assert_eq!(admission::check(&choice, &unknown, Duration::ZERO, OBJECTIVE), None);
}
