//! Plain calls with an idempotency key: sent by the attempt that holds the claim, once.

use std::time::Duration;

use beamwall_http::PooledBody;
use beamwall_model::{AttemptId, Outcome};
use beamwall_routing::Route;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use tokio::time::Instant;

use crate::claim::{ClaimDecision, ClaimKey, RecordedAnswer, call_digest};
use crate::claim_ledger::{ClaimError, ClaimLedger};
use crate::dispatcher::Dispatcher;
use crate::plain_call::{CallError, PlainAnswer, PlainCall, not_run};

/// When to come back while claims cannot be written.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Largest answer kept for replay.
const REPLAY_LIMIT_BYTES: usize = 4_096;

/// A claim that this attempt holds.
struct HeldClaim<'a> {
    ledger: &'a ClaimLedger,
    key: ClaimKey,
    attempt: AttemptId,
}

impl HeldClaim<'_> {
    /// Gives the claim up: the call was not sent.
    fn release(self) {
        self.ledger.release(self.key, self.attempt);
    }

    /// Records the answer.
    fn complete(self, answer: RecordedAnswer) {
        self.ledger.complete(self.key, self.attempt, answer);
    }
}

impl Dispatcher {
    /// Takes the claim of the call's key and sends the call if it was granted.
    pub(crate) async fn call_with_claim(
        &self,
        call: &PlainCall<'_>,
        key: &str,
        ledger: &ClaimLedger,
        body_limit: usize,
    ) -> Result<PlainAnswer, CallError> {
        let key = ClaimKey::new(&call.tenant.name, &call.service.name, key);
        let claim = HeldClaim { ledger, key, attempt: self.identifiers.attempt() };
        let digest = call_digest(call.method.as_str(), call.path, &call.body);
        match ledger.take(&claim.key, &claim.attempt, &digest).await {
            Ok(ClaimDecision::Granted) => self.send_claimed(call, claim, body_limit).await,
            Ok(ClaimDecision::Replay(answer)) => Ok(PlainAnswer::Replayed(answer)),
            Ok(ClaimDecision::Taken) => Err(CallError::InProgress),
            Ok(ClaimDecision::OtherCall) => Err(CallError::KeyReused),
            Ok(ClaimDecision::Full) => Err(not_run("claim store is full", CLAIM_RETRY_AFTER)),
            Err(error) => self.call_without_claim(call, claim, &error).await,
        }
    }

    async fn send_claimed(
        &self,
        call: &PlainCall<'_>,
        claim: HeldClaim<'_>,
        body_limit: usize,
    ) -> Result<PlainAnswer, CallError> {
        match self.send_once(call, &claim.attempt).await {
            Ok((response, route)) => {
                let (answer, recorded) = read_answer(response, route, body_limit, call.deadline).await?;
                claim.complete(recorded);
                Ok(answer)
            }
            Err(error) => {
                if error.outcome() == Outcome::NotRun {
                    claim.release();
                }
                Err(error)
            }
        }
    }

    /// While claims cannot be written, the service says whether its back ends keep a key from
    /// taking effect twice themselves; if not, the call is refused, and a claim that may have been
    /// written is given up.
    async fn call_without_claim(
        &self,
        call: &PlainCall<'_>,
        claim: HeldClaim<'_>,
        error: &ClaimError,
    ) -> Result<PlainAnswer, CallError> {
        if call.service.serve_when_platform_away {
            let (response, route) = self.send_once(call, &claim.attempt).await?;
            return Ok(PlainAnswer::Fresh { response, route });
        }
        if matches!(error, ClaimError::Undecided(_)) {
            claim.release();
        }
        Err(not_run(&error.to_string(), CLAIM_RETRY_AFTER))
    }
}

/// Reads the whole answer, for the caller and for the record.
async fn read_answer(
    response: Response<PooledBody>,
    route: Route,
    body_limit: usize,
    deadline: Instant,
) -> Result<(PlainAnswer, RecordedAnswer), CallError> {
    let (head, body) = response.into_parts();
    let limit = deadline.saturating_duration_since(Instant::now());
    let body = beamwall_http::read_limited(body, body_limit, limit)
        .await
        .map_err(|error| CallError::Unknown(error.to_string()))?;
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let kept = (body.len() <= REPLAY_LIMIT_BYTES).then(|| String::from_utf8(body.to_vec()).ok()).flatten();
    let recorded = RecordedAnswer {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or("").to_owned(),
        body: kept,
    };
    let answer = PlainAnswer::Whole { status: head.status, headers: head.headers, body, route };
    Ok((answer, recorded))
}
