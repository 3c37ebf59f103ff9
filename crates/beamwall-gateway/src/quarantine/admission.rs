//! Admits requests, refuses those that are held, and claims trials.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::TrialGranted;
use beamwall_model::EngineVersion;
use beamwall_quarantine::{Admission, Fingerprint, HeldRequest, HeldVersions, RequestStatus};

use crate::quarantine::Quarantine;

/// Minimum interval between two requests of this node for trials, each of which costs two calls to the store.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// `retry_after` of a request whose trial could not be granted at present.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Quarantine {
    /// Decides whether a request may be sent: neither it nor a shared part of its prompt is held, a trial is granted for
    /// each that is, or none is held for one of the versions that serve it, which `serving` returns.
    pub async fn admit_all(
        &self,
        suspects: impl Iterator<Item = Fingerprint>,
        serving: impl FnOnce() -> Vec<EngineVersion>,
    ) -> Result<Admission, HeldRequest> {
        // Fast path for almost all requests.
        if !self.registry.has_held() {
            return Ok(Admission::Normal);
        }
        let held: Vec<Fingerprint> = suspects.filter(|suspect| self.is_held(suspect)).collect();
        let Some(versions) = self.held_versions(held.iter().copied()) else { return Ok(Admission::Normal) };
        let (kept_away, serving): (Vec<_>, Vec<_>) =
            serving().into_iter().partition(|version| versions.contains(version));
        if !serving.is_empty() {
            let is_tried = !kept_away.is_empty() && self.try_claim_trials(&held).await;
            return Ok(if is_tried { Admission::Trial } else { Admission::Normal });
        }
        // A trial is claimed only if nothing else refuses the request.
        for suspect in &held {
            let status = self.registry.request_status(suspect, self.now_ms());
            if let RequestStatus::Held { endings, retry_after } = status {
                return Err(self.refuse(HeldRequest { held: *suspect, endings, retry_after }));
            }
        }
        let mut admission = Admission::Normal;
        for suspect in &held {
            if self.admit(suspect).await? == Admission::Trial {
                admission = Admission::Trial;
            }
        }
        Ok(admission)
    }

    /// Decides whether a request may be sent as far as a single suspect is concerned.
    pub async fn admit(&self, suspect: &Fingerprint) -> Result<Admission, HeldRequest> {
        // Fast path for almost all requests: computing the fleet time takes longer than everything else here.
        if !self.is_held(suspect) {
            return Ok(Admission::Normal);
        }
        let held = *suspect;
        match self.registry.request_status(suspect, self.now_ms()) {
            RequestStatus::Free => Ok(Admission::Normal),
            RequestStatus::Held { endings, retry_after } => {
                Err(self.refuse(HeldRequest { held, endings, retry_after }))
            }
            RequestStatus::TrialDue { number, endings, is_in_doubt } => {
                if self.try_claim_trial(suspect, number).await {
                    return Ok(Admission::Trial);
                }
                let retry_after = is_in_doubt.then_some(TRIAL_RETRY_AFTER);
                Err(self.refuse(HeldRequest { held, endings, retry_after }))
            }
        }
    }

    fn refuse(&self, held: HeldRequest) -> HeldRequest {
        self.hold_refusals.note(held.held);
        held
    }

    /// Requests that this node refused for something that was held and is free now.
    pub fn refused_by_freed_holds(&self) -> u64 {
        self.hold_refusals.of_freed()
    }

    /// Claims a trial of each of these, if one is due for all; returns whether it was granted for each.
    async fn try_claim_trials(&self, held: &[Fingerprint]) -> bool {
        let now_ms = self.now_ms();
        let mut due = Vec::new();
        for suspect in held {
            match self.registry.request_status(suspect, now_ms) {
                RequestStatus::TrialDue { number, .. } => due.push((suspect, number)),
                RequestStatus::Free | RequestStatus::Held { .. } => return false,
            }
        }
        for (suspect, number) in due {
            if !self.try_claim_trial(suspect, number).await {
                return false;
            }
        }
        true
    }

    async fn try_claim_trial(&self, request: &Fingerprint, number: u32) -> bool {
        let now_ms = self.now_ms();
        if !self.trial_throttle.admit(MIN_TRIAL_INTERVAL)
            || !self.trials.claim_trial(request, number, now_ms).await
        {
            return false;
        }
        emit(&TrialGranted { fingerprint: request.to_string(), number: number.to_string() });
        self.registry.note_trial(request, number, now_ms);
        self.peer_notify.notify_one();
        true
    }

    /// Whether a request or part is held now, so that it must not be sent again.
    pub fn is_held(&self, suspect: &Fingerprint) -> bool {
        self.registry.is_held(suspect)
    }

    /// The versions to whose back ends a request is not sent since some of these are held now; `None` if none is.
    pub fn held_versions(&self, suspects: impl Iterator<Item = Fingerprint>) -> Option<HeldVersions> {
        if !self.registry.has_held() {
            return None;
        }
        suspects.filter_map(|suspect| self.registry.held_versions(&suspect)).reduce(HeldVersions::and)
    }
}
