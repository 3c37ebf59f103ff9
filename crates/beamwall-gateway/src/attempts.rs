//! The attempts of one request: how many there may be, and where the next one goes.

use std::time::Duration;

use beamwall_clock::running;
use beamwall_events::emit;
use beamwall_events::internal_events::AttemptFailed;
use beamwall_model::BackendId;
use beamwall_quarantine::Admission;
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, Ran};
use crate::failover::FailedAttempt;
use crate::forward::{Call, Forwarder};
use crate::placement::Choice;
use crate::refusal::Refusal;

/// Attempts that may fail before anything is sent, beyond those that the route allows.
const UNSENT_LIMIT: usize = 3;

/// Times that a request looks whether it can go back to the back end that it left.
const MOST_RETURNS: u32 = 3;
/// Pause before the second such look and each further one.
const RETURN_PAUSE: Duration = Duration::from_millis(300);

/// What another attempt lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The route, the request or the time that is left allows none.
    Attempt,
    /// The retry budget is spent.
    Retry,
    /// No back end would take it.
    BackEnd,
}

impl Missing {
    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Attempt => "attempt",
            Self::Retry => "retry",
            Self::BackEnd => "back_end",
        }
    }
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Back ends to which it was sent or could not be sent.
    pub tried: Vec<BackendId>,
    /// Times that it was sent, those that have ended or begun to answer.
    pub sent: u32,
    /// The last failure.
    pub last_failure: Option<AttemptFailure>,
    /// Whether any attempt may have run it.
    pub may_have_run: bool,
    /// The back end that was left for its silence alone.
    left: Option<Choice>,
    /// Times that the request looked whether it can go back there.
    returns: u32,
}

impl Attempts {
    /// Notes that an attempt began to answer.
    pub fn begin(&mut self) {
        self.sent += 1;
    }

    /// Notes an attempt that failed before it began to answer, and gives where the request goes next.
    pub async fn go_on(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        choice: &Choice,
        failed: FailedAttempt,
    ) -> Option<Choice> {
        let FailedAttempt { failure, next } = failed;
        if failure.begun {
            forwarder.record_run(call);
        }
        self.fail(forwarder, call, &choice.backend, failure);
        self.next_choice(forwarder, call, choice, next).await
    }

    fn fail(&mut self, forwarder: &Forwarder, call: &Call, backend: &BackendId, failure: AttemptFailure) {
        self.sent += u32::from(failure.sent);
        if failure.sent && failure.ran == Ran::No {
            forwarder.knowledge.health.note_refused(backend, Instant::now());
        }
        self.note(forwarder, call, backend, failure);
    }

    /// Notes and logs the failure of an attempt, also of one that had begun to answer.
    pub(crate) fn note(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        backend: &BackendId,
        failure: AttemptFailure,
    ) {
        if failure.answer_lost {
            forwarder.quarantine.note_lost(call.fingerprint, backend);
        }
        emit(&AttemptFailed {
            request: call.log_id(),
            fingerprint: call.fingerprint.to_string(),
            backend: backend.to_string(),
            ran: failure.ran.as_str().to_owned(),
            reason: failure.reason.clone(),
        });
        self.may_have_run |= failure.ran == Ran::Maybe;
        self.last_failure = Some(failure);
    }

    /// Whether the request may be sent once more where it has been `sent` so often: the route allows it, there is time, the
    /// request may run again, and back ends have not ended under it.
    fn allows_another(&self, forwarder: &Forwarder, call: &Call, sent: u32) -> bool {
        let limit = call.attempt_limit();
        let is_within_limit = sent < limit && self.tried.len() < UNSENT_LIMIT + limit as usize;
        is_within_limit && self.may_repeat(forwarder, call)
    }

    fn may_repeat(&self, forwarder: &Forwarder, call: &Call) -> bool {
        let is_held = call.admission == Admission::Normal && forwarder.quarantine.is_held(&call.fingerprint);
        let may_run_again = call.route.kind.is_idempotent() || !self.may_have_run;
        !is_held && may_run_again && !call.remaining().is_zero()
    }

    /// The first back end.
    pub async fn first_choice(&mut self, forwarder: &Forwarder, call: &Call) -> Option<Choice> {
        self.choose(forwarder, call, Vec::new()).await
    }

    /// Where a request goes whose attempt at `choice` is over: to the back end that is `reserved` where that one was silent, to one
    /// that was not tried, or back to the one that was left for its silence.
    pub(crate) async fn next_choice(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        choice: &Choice,
        reserved: Option<Choice>,
    ) -> Option<Choice> {
        if reserved.is_some() {
            self.left = Some(choice.clone());
            return reserved;
        }
        match self.reserve(forwarder, call, self.sent, Vec::new()).await {
            Ok(choice) => Some(choice),
            Err(_) => self.return_to_left(forwarder, call).await,
        }
    }

    /// Takes the right to another attempt, out of the retry budget from the second on, and a back end for it that is none of
    /// `avoided`; or neither. `sent`: how often the request has been sent.
    pub async fn reserve(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        sent: u32,
        avoided: Vec<BackendId>,
    ) -> Result<Choice, Missing> {
        if !self.allows_another(forwarder, call, sent) {
            return Err(Missing::Attempt);
        }
        let retry = match sent {
            0 => None,
            _ => Some(forwarder.retries.reserve(&call.service, Instant::now()).ok_or(Missing::Retry)?),
        };
        let choice = self.choose(forwarder, call, avoided).await.ok_or(Missing::BackEnd)?;
        if let Some(retry) = retry {
            retry.spend();
        }
        Ok(choice)
    }

    async fn choose(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        mut avoided: Vec<BackendId>,
    ) -> Option<Choice> {
        avoided.extend(self.tried.iter().cloned());
        let choice = forwarder.choose(call, &avoided).await?;
        self.tried.push(choice.backend.clone());
        Some(choice)
    }

    /// Goes back to the back end that was left for its silence where the one asked in its place did not take the request: it is no
    /// further one, and may be well again. Where it refuses too, or no retry is left, both may change soon.
    async fn return_to_left(&mut self, forwarder: &Forwarder, call: &Call) -> Option<Choice> {
        let left = self.left.clone()?;
        while self.returns < MOST_RETURNS {
            if self.returns > 0 {
                running::sleep(RETURN_PAUSE).await;
            }
            self.returns += 1;
            if !self.may_return(forwarder, call, &left.backend) {
                return None;
            }
            if let Some(retry) = forwarder.retries.reserve(&call.service, Instant::now()) {
                retry.spend();
                forwarder.note_chosen(call, &left);
                return Some(left);
            }
        }
        None
    }

    fn may_return(&self, forwarder: &Forwarder, call: &Call, left: &BackendId) -> bool {
        let was_refused = self.last_failure.as_ref().is_some_and(|failure| failure.ran == Ran::No);
        let directory = forwarder.directory.load();
        let is_usable = directory.get(left).is_some_and(|listed| !listed.draining);
        was_refused && is_usable && self.may_repeat(forwarder, call)
    }

    /// The final answer after the last failure.
    pub fn refusal(&self, call: &Call) -> Refusal {
        let reason = match &self.last_failure {
            Some(failure) => failure.reason.clone(),
            None => "no back end takes requests".to_owned(),
        };
        let timed_out = call.remaining().is_zero();
        match (self.may_have_run, timed_out) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::AnswerLost(reason),
            (false, true) => Refusal::TooLate,
            (false, false) => Refusal::NotRun(reason),
        }
    }
}
