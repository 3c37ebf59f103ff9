//! Whether a model request can still be served: one that can't is refused at once, so that its caller need not wait
//! for nothing and no engine works for it.

use std::time::Duration;

use beamwall_engine_model::ServiceEstimates;

use crate::placement::Choice;

/// Standard errors by which the expected time must be beyond the caller's patience: a request is refused only where
/// the model is sure.
const CONFIDENCE_STANDARD_ERRORS: f64 = 3.0;
/// Least time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that no back end begins to answer within its caller's patience.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unservable {
    /// Expected time until the best back end would begin to answer.
    pub expected: Duration,
    /// When its queue will have become short enough to serve in time.
    pub retry_after: Duration,
}

/// Looks at the best choice for a request that has `remaining` time left and should be answered within `objective`.
/// `None`: it may be sent.
pub fn check(
    choice: &Choice,
    estimates: &ServiceEstimates,
    remaining: Duration,
    objective: Duration,
) -> Option<Unservable> {
    let expected = confident_wait(choice, estimates).filter(|expected| *expected > remaining)?;
    Some(Unservable { expected, retry_after: expected.saturating_sub(objective).max(MIN_RETRY_AFTER) })
}

/// Whether [`check`] refuses such a request.
pub fn is_unservable(choice: &Choice, estimates: &ServiceEstimates, remaining: Duration) -> bool {
    confident_wait(choice, estimates).is_some_and(|expected| expected > remaining)
}

/// The time that surely passes until the back end begins to answer; `None` where nothing is sure.
fn confident_wait(choice: &Choice, estimates: &ServiceEstimates) -> Option<Duration> {
    let error_ms = estimates.first_event_error_ms(choice.first_event())?;
    let lower_bound_ms = choice.expected_ms? - CONFIDENCE_STANDARD_ERRORS * error_ms;
    Some(Duration::from_secs_f64(lower_bound_ms.max(0.0) / 1_000.0))
}
