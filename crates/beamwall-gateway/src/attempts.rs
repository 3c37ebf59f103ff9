//! The attempts of one request: how many are allowed and which back end the next one uses.

use std::time::Duration;

use beamwall_admission::Rejection;
use beamwall_clock::process_clock;
use beamwall_events::emit;
use beamwall_events::internal_events::AttemptFailed;
use beamwall_model::{BackendId, EngineVersion};
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, Execution};
use crate::engine_availability::Unavailable;
use crate::engine_gate::Blocked;
use crate::failover::FailedAttempt;
use crate::forward::{Call, Forwarder, NoBackEnd, PermittedChoice};
use crate::placement::Choice;
use crate::refusal::Refusal;

/// Attempts that may fail before the request is sent, in addition to the route's attempt limit.
const MAX_UNSENT_ATTEMPTS: usize = 3;

/// How often a request tries to return to the back end that it abandoned.
const MAX_RETURNS: u32 = 3;
/// Delay before each try to return after the first.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Why no further attempt is possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryBlocker {
    /// The route's attempt limit, the request or the remaining time allows no further attempt.
    Attempt,
    /// The retry budget is exhausted.
    Retry,
    /// No back end is available.
    BackEnd,
    /// The limits that the available engines name are used up.
    EngineLimit,
    /// The available engines want no requests from this node for a while.
    EngineRest,
    /// The groups of engines have no capacity for the request.
    Capacity,
}

impl From<NoBackEnd> for RetryBlocker {
    fn from(reason: NoBackEnd) -> Self {
        match reason {
            NoBackEnd::Unavailable => Self::BackEnd,
            NoBackEnd::Blocked(Blocked::LimitReached(_)) => Self::EngineLimit,
            NoBackEnd::Blocked(Blocked::Unavailable(_)) => Self::EngineRest,
            NoBackEnd::Rejected(_) => Self::Capacity,
        }
    }
}

impl RetryBlocker {
    /// The value used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Attempt => "attempt",
            Self::Retry => "retry",
            Self::BackEnd => "back_end",
            Self::EngineLimit => "engine_limit",
            Self::EngineRest => "engine_rest",
            Self::Capacity => "capacity",
        }
    }
}

/// Which engines can take over a run that is moved.
pub(crate) struct MoveConstraints {
    /// Back ends that can't.
    pub(crate) avoided: Vec<BackendId>,
    /// The version that began the stream.
    pub(crate) version: Option<EngineVersion>,
}

/// State of one request's attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Back ends that the request was sent to or could not be sent to.
    pub tried: Vec<BackendId>,
    /// Number of times the request was sent, counting attempts that ended or began to respond.
    pub sent: u32,
    /// The last failure.
    pub last_failure: Option<AttemptFailure>,
    /// Whether any attempt may have executed the request.
    pub may_have_run: bool,
    /// Set if what engines say of themselves left no back end for the last choice.
    blocked: Option<Blocked>,
    /// Set if the groups of engines that were asked have no capacity for the request.
    rejected: Option<Rejection>,
    /// The back end that was abandoned only because it was silent.
    abandoned: Option<Choice>,
    /// Number of tries to return to it.
    returns: u32,
    /// The version that began the stream that goes on; `None` while the stream has no event.
    stream_version: Option<EngineVersion>,
}

impl Attempts {
    /// The attempts of a call, none of which was made yet.
    pub fn of(call: &Call) -> Self {
        Self { stream_version: call.stream_version.clone(), ..Self::default() }
    }

    /// Records that an attempt began to respond. All further attempts are bound to `version`, the one that
    /// sent the first event of a stream.
    pub fn note_response_started(&mut self, version: Option<&EngineVersion>) {
        self.sent += 1;
        if self.stream_version.is_none() {
            self.stream_version = version.cloned();
        }
    }

    /// Records an attempt that failed before it began to respond, and returns the choice for the next
    /// attempt.
    pub async fn continue_after_failure(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        choice: &Choice,
        failed: FailedAttempt,
    ) -> Option<PermittedChoice> {
        let FailedAttempt { failure, next } = failed;
        if failure.has_started {
            forwarder.record_usage(call);
        }
        self.record_failure(forwarder, call, &choice.backend, failure);
        self.next_choice(forwarder, call, choice, next).await
    }

    fn record_failure(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        backend: &BackendId,
        failure: AttemptFailure,
    ) {
        self.sent += u32::from(failure.sent);
        if failure.sent && failure.execution == Execution::NotExecuted {
            forwarder.backend_state.health.note_refused(backend, Instant::now());
        }
        self.note(forwarder, call, backend, failure);
    }

    /// Records and logs a failed attempt, including one that had begun to respond.
    pub(crate) fn note(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        backend: &BackendId,
        failure: AttemptFailure,
    ) {
        if let Some(loss) = failure.loss() {
            let suspects: Vec<_> = call.suspects().collect();
            forwarder.quarantine.note_lost(&suspects, loss, backend);
        }
        emit(&AttemptFailed {
            request: call.log_id(),
            fingerprint: call.fingerprint.to_string(),
            parts: call.shared_part_names(),
            backend: backend.to_string(),
            ran: failure.execution.as_str().to_owned(),
            reason: failure.reason.clone(),
        });
        self.may_have_run |= failure.execution == Execution::MaybeExecuted;
        self.last_failure = Some(failure);
    }

    /// Whether a request that was sent `sent` times may be sent again: the route allows it, time remains,
    /// repeating the request is safe, and the request is not quarantined.
    fn allows_another(&self, forwarder: &Forwarder, call: &Call, sent: u32) -> bool {
        let limit = call.attempt_limit();
        let is_within_limit = sent < limit && self.tried.len() < MAX_UNSENT_ATTEMPTS + limit as usize;
        is_within_limit && self.may_resend(forwarder, call)
    }

    /// Which engines can take over the run; `None` if none may. Moving is no further run, so it neither needs
    /// an idempotent request nor counts towards the route's attempt limit.
    pub(crate) fn move_constraints(&self, forwarder: &Forwarder, call: &Call) -> Option<MoveConstraints> {
        let version = self.stream_version.clone();
        let may_move = !forwarder.is_held(call, version.as_ref()) && !call.remaining().is_zero();
        may_move.then(|| MoveConstraints { avoided: self.tried.clone(), version })
    }

    /// Records that the run goes on at `backend` after it was moved.
    pub(crate) fn note_moved(&mut self, backend: &BackendId) {
        if !self.tried.contains(backend) {
            self.tried.push(backend.clone());
        }
    }

    fn may_resend(&self, forwarder: &Forwarder, call: &Call) -> bool {
        let may_run_again = call.route.kind.is_idempotent() || !self.may_have_run;
        let is_held = forwarder.is_held(call, self.stream_version.as_ref());
        !is_held && may_run_again && !call.remaining().is_zero()
    }

    /// Chooses the back end of the first attempt.
    pub async fn first_choice(&mut self, forwarder: &Forwarder, call: &Call) -> Option<PermittedChoice> {
        self.choose(forwarder, call, Vec::new()).await.ok()
    }

    /// Returns the choice that follows an attempt at `choice`: the `reserved` back end if `choice` was
    /// silent, otherwise one that was not tried yet, otherwise the back end that was abandoned for being
    /// silent.
    pub(crate) async fn next_choice(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        choice: &Choice,
        reserved: Option<PermittedChoice>,
    ) -> Option<PermittedChoice> {
        if reserved.is_some() {
            self.abandoned = Some(choice.clone());
            return reserved;
        }
        match self.reserve(forwarder, call, self.sent, Vec::new()).await {
            Ok(choice) => Some(choice),
            Err(_) => self.return_to_abandoned(forwarder, call).await,
        }
    }

    /// Reserves a further attempt together with a back end that is not in `avoided`, or neither. From the
    /// second attempt on it is charged to the retry budget. `sent` is the number of times the request was
    /// sent.
    pub async fn reserve(
        &mut self,
        forwarder: &Forwarder,
        call: &Call,
        sent: u32,
        avoided: Vec<BackendId>,
    ) -> Result<PermittedChoice, RetryBlocker> {
        if !self.allows_another(forwarder, call, sent) {
            return Err(RetryBlocker::Attempt);
        }
        let retry = match sent {
            0 => None,
            _ => Some(forwarder.retries.reserve(&call.service, Instant::now()).ok_or(RetryBlocker::Retry)?),
        };
        let choice = self.choose(forwarder, call, avoided).await?;
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
    ) -> Result<PermittedChoice, NoBackEnd> {
        avoided.extend(self.tried.iter().cloned());
        let chosen = forwarder.choose(call, &avoided, self.stream_version.as_ref()).await;
        match &chosen {
            Ok(permitted) => self.tried.push(permitted.choice.backend.clone()),
            Err(NoBackEnd::Blocked(blocked)) => self.blocked = Some(*blocked),
            Err(NoBackEnd::Unavailable) => self.blocked = None,
            Err(NoBackEnd::Rejected(rejection)) => self.rejected = Some(*rejection),
        }
        chosen
    }

    /// Returns to the back end that was abandoned for being silent if its replacement refused the request.
    /// This is not an additional back end, and it may have recovered. While the replacement still refuses or
    /// the retry budget is empty, it tries again after a delay, since either may change soon.
    async fn return_to_abandoned(&mut self, forwarder: &Forwarder, call: &Call) -> Option<PermittedChoice> {
        let abandoned = self.abandoned.clone()?;
        let rank = call.rank(forwarder.call_prefill_ms(call));
        while self.returns < MAX_RETURNS {
            if self.returns > 0 {
                process_clock::sleep(RETURN_DELAY).await;
            }
            self.returns += 1;
            if !self.may_return(forwarder, call, &abandoned.backend) {
                return None;
            }
            let Some(retry) = forwarder.retries.reserve(&call.service, Instant::now()) else { continue };
            if let Ok(permit) = forwarder.admit(call, rank, &abandoned.backend).await {
                retry.spend();
                forwarder.note_chosen(call, &abandoned, 0);
                return Some(PermittedChoice { choice: abandoned, permit });
            }
        }
        None
    }

    fn may_return(&self, forwarder: &Forwarder, call: &Call, abandoned: &BackendId) -> bool {
        let was_refused =
            self.last_failure.as_ref().is_some_and(|failure| failure.execution == Execution::NotExecuted);
        let directory = forwarder.directory.load();
        let is_usable = directory.get(abandoned).is_some_and(|listed| {
            let is_of_version = self.stream_version.as_ref().is_none_or(|version| listed.version == *version);
            let is_held = forwarder.is_held(call, Some(&listed.version));
            !listed.draining && is_of_version && !is_held && forwarder.gate.check(abandoned).is_ok()
        });
        was_refused && is_usable && self.may_resend(forwarder, call)
    }

    /// The refusal that is returned to the caller after the last failure.
    pub fn refusal(&self, call: &Call) -> Refusal {
        let timed_out = call.remaining().is_zero();
        if let (Some(rejection), false) = (self.rejected, self.may_have_run) {
            return Refusal::Rejected(rejection);
        }
        if let (Some(blocked), false, false) = (self.blocked, self.may_have_run, timed_out) {
            match blocked {
                Blocked::LimitReached(limit) => return Refusal::LimitReached(limit),
                Blocked::Unavailable(Unavailable::Resting(left)) => return Refusal::EnginesRest(left),
                Blocked::Unavailable(Unavailable::Leaving) => {}
            }
        }
        let reason = match &self.last_failure {
            Some(failure) => failure.reason.clone(),
            None => match &self.stream_version {
                Some(version) => {
                    format!("no back end of version {version}, which began the stream, takes requests")
                }
                None => "no back end takes requests".to_owned(),
            },
        };
        let is_unreachable = self.last_failure.as_ref().is_some_and(|failure| failure.is_connect_failure);
        match (self.may_have_run, timed_out) {
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::ResponseLost(reason),
            (false, true) => Refusal::TooLate,
            (false, false) if self.sent == 0 && is_unreachable => Refusal::Unreachable(reason),
            (false, false) => Refusal::NotRun(reason),
        }
    }
}
