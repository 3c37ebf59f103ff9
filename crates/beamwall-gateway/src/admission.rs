//! Admission control for model requests: a request that no back end can serve within its caller's timeout is
//! refused immediately, so that the caller does not wait in vain and no engine works on it.

use std::time::Duration;

use beamwall_engine_model::ServiceEstimates;

use crate::placement::Choice;

/// Number of standard errors by which the expected time must exceed the caller's timeout. A request is
/// refused only when the model's estimate is that certain.
const CONFIDENCE_STANDARD_ERRORS: f64 = 3.0;
/// Smallest `retry_after` given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request for which no back end would start its response within the caller's timeout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unservable {
    /// Expected time until the best back end would start its response.
    pub expected: Duration,
    /// Time after which its queue will be short enough to serve the request in time.
    pub retry_after: Duration,
}

/// Checks the best choice for a request that has `remaining` time left and should be answered within
/// `objective`. Returns `None` if the request may be sent.
pub fn check(
    choice: &Choice,
    estimates: &ServiceEstimates,
    remaining: Duration,
    objective: Duration,
) -> Option<Unservable> {
    let expected = confident_wait(choice, estimates).filter(|expected| *expected > remaining)?;
    Some(Unservable { expected, retry_after: expected.saturating_sub(objective).max(MIN_RETRY_AFTER) })
}

/// Whether [`check`] refuses a request with this choice and `remaining` time.
pub fn is_unservable(choice: &Choice, estimates: &ServiceEstimates, remaining: Duration) -> bool {
    confident_wait(choice, estimates).is_some_and(|expected| expected > remaining)
}

/// Lower confidence bound of the time until the back end starts its response; `None` while the model has no
/// estimate.
pub(crate) fn confident_wait(choice: &Choice, estimates: &ServiceEstimates) -> Option<Duration> {
    let error_ms = estimates.first_event_error_ms(choice.first_event())?;
    let lower_bound_ms = choice.expected_ms? - CONFIDENCE_STANDARD_ERRORS * error_ms;
    Some(Duration::from_secs_f64(lower_bound_ms.max(0.0) / 1_000.0))
}
