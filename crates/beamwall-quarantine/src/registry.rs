//! The `QuarantineRegistry`: the suspected and held requests known to one node.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_model::{BackendId, EngineVersion, to_ms};
use xxhash_rust::xxh3::Xxh3;

use crate::evidence::{
    BackEndExposures, Completion, CompletionBasis, Evidence, OpenSuspect, Survival, Termination, Trial,
};
use crate::fingerprint::Fingerprint;
use crate::held_versions::HeldVersions;
use crate::hold_decision::{self, HoldState};
use crate::limits::{MAX_SUSPECTS, MAX_UNATTRIBUTED_TERMINATIONS, SUSPECT_RETENTION};
use crate::suspect::Suspect;

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// The request may be sent.
    Free,
    /// The request is held, and a trial is due.
    TrialDue {
        /// The trial's number.
        number: u32,
        /// Number of terminations that count against the request.
        endings: usize,
        /// Whether the request may be innocent.
        is_in_doubt: bool,
    },
    /// The request is held.
    Held {
        /// Number of terminations that count against the request.
        endings: usize,
        /// Time until the next trial, if the request is in doubt and a trial remains.
        retry_after: Option<Duration>,
    },
}

/// Changes in the set of held requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldChanges {
    /// Requests that are now held.
    pub held: Vec<(Fingerprint, HoldState)>,
    /// Requests that are no longer held.
    pub freed: Vec<Fingerprint>,
}

/// The suspected and held requests known to one node. The lookup of a request that is not suspected
/// reads one map, which is usually empty.
#[derive(Debug, Default)]
pub struct QuarantineRegistry {
    state: Mutex<State>,
    view: ArcSwap<View>,
}

#[derive(Debug, Default)]
struct State {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Back ends that terminated without an open request of this node, with the time. Every node
    /// observes these itself, so they are neither sent to peers nor part of the digest.
    unattributed: BTreeMap<BackendId, u64>,
    /// Evidence that this node observed and has not sent to its peers yet.
    unsent: Evidence,
    /// Changes that were not reported yet.
    changes: HoldChanges,
}

/// Read-only snapshot for the request path.
#[derive(Debug, Default)]
struct View {
    /// Suspected requests, with the hold state of those that are held.
    suspects: HashMap<Fingerprint, Option<HoldState>>,
    has_held: bool,
    digest: u64,
    persistent_digest: u64,
}

impl View {
    /// Returns the hold state of a request; `None` if it is not held.
    fn held(&self, request: &Fingerprint) -> Option<&HoldState> {
        self.suspects.get(request)?.as_ref()
    }

    /// Returns all held requests.
    fn all_held(&self) -> impl Iterator<Item = (&Fingerprint, &HoldState)> {
        self.suspects.iter().filter_map(|(request, held)| Some((request, held.as_ref()?)))
    }
}

impl QuarantineRegistry {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the status of a request.
    pub fn request_status(&self, request: &Fingerprint, now_ms: u64) -> RequestStatus {
        let view = self.view.load();
        let Some(held) = view.held(request) else { return RequestStatus::Free };
        match held.next_trial_ms {
            Some(due_ms) if now_ms >= due_ms => RequestStatus::TrialDue {
                number: held.trials + 1,
                endings: held.endings,
                is_in_doubt: held.is_in_doubt,
            },
            next => RequestStatus::Held {
                endings: held.endings,
                retry_after: next
                    .filter(|_| held.is_in_doubt)
                    .map(|due_ms| Duration::from_millis(due_ms - now_ms)),
            },
        }
    }

    /// Whether a request is held, regardless of whether a trial is due.
    pub fn is_held(&self, request: &Fingerprint) -> bool {
        self.view.load().held(request).is_some()
    }

    /// Whether anything is held.
    pub fn has_held(&self) -> bool {
        self.view.load().has_held
    }

    /// The versions for which a request is held; `None` if it is not held.
    pub fn held_versions(&self, request: &Fingerprint) -> Option<HeldVersions> {
        self.view.load().held(request).map(|held| held.held_versions.clone())
    }

    /// Whether any termination counts against a request.
    pub fn is_suspected(&self, request: &Fingerprint) -> bool {
        self.is_suspected_at(request, None)
    }

    /// Whether any termination counts against a request which back ends of a version have not disproved.
    fn is_suspected_at(&self, request: &Fingerprint, version: Option<&EngineVersion>) -> bool {
        let is_known = self.view.load().suspects.contains_key(request);
        let has_any = |suspect: &Suspect| suspect.terminations_counted_at(version).next().is_some();
        is_known && self.lock().suspects.get(request).is_some_and(has_any)
    }

    /// Returns the held requests.
    pub fn held(&self) -> Vec<(Fingerprint, HoldState)> {
        self.view.load().all_held().map(|(request, held)| (*request, held.clone())).collect()
    }

    /// Number of suspects.
    pub fn suspects(&self) -> usize {
        self.view.load().suspects.len()
    }

    /// Records a back end termination that this node observed, with the requests that this node had open
    /// there.
    pub fn note_termination(&self, backend: &BackendId, open: Vec<Fingerprint>, now_ms: u64) {
        let open: Vec<OpenSuspect> = open.into_iter().map(OpenSuspect::of_unknown_exposure).collect();
        self.note_termination_after(backend, None, &open, now_ms);
    }

    /// Records a termination like [`Self::note_termination`], of a back end of a software version, if that is known, whose
    /// exposures to these suspects are known.
    pub fn note_termination_after(
        &self,
        backend: &BackendId,
        version: Option<EngineVersion>,
        open: &[OpenSuspect],
        now_ms: u64,
    ) {
        let suspects = open.iter().map(|open| open.suspect).collect();
        let termination = Termination { backend: backend.clone(), version, at_ms: now_ms, open: suspects };
        let mut evidence = Evidence { endings: vec![termination], ..Evidence::default() };
        let exposed: Vec<OpenSuspect> = open.iter().filter(|open| open.exposure_ms > 0).copied().collect();
        if !exposed.is_empty() {
            evidence.exposures.push(BackEndExposures { backend: backend.clone(), suspects: exposed });
        }
        self.note(evidence, now_ms);
    }

    /// Records that a back end of a version, if that is known, has survived a suspect so far; returns whether that disproves
    /// terminations that counted against it at this version.
    pub fn note_survival(
        &self,
        suspect: &Fingerprint,
        version: Option<&EngineVersion>,
        survival: Survival,
        now_ms: u64,
    ) -> bool {
        if !self.view.load().suspects.contains_key(suspect) {
            return false;
        }
        let disproved_until_ms = {
            let state = self.lock();
            state.suspects.get(suspect).and_then(|known| known.disproved_until_ms(survival, version, now_ms))
        };
        let Some(until_ms) = disproved_until_ms else { return false };
        let basis = CompletionBasis::Survived(survival);
        let disproof = Completion { request: *suspect, version: version.cloned(), at_ms: until_ms, basis };
        self.note(Evidence { completions: vec![disproof], ..Evidence::default() }, now_ms)
    }

    /// Records a termination without an open request of this node. These show how often back ends
    /// terminate for other reasons.
    pub fn note_unattributed_termination(&self, backend: &BackendId, now_ms: u64) {
        let mut state = self.lock();
        if state.unattributed.len() >= MAX_UNATTRIBUTED_TERMINATIONS
            || state.unattributed.contains_key(backend)
        {
            return;
        }
        state.unattributed.insert(backend.clone(), now_ms);
        if self.view.load().all_held().next().is_some() {
            self.publish(&mut state);
        }
    }

    /// Records that a back end of a version, if that is known, completed a request; returns whether that clears the
    /// request of a suspicion at this version.
    pub fn note_completion(
        &self,
        request: &Fingerprint,
        version: Option<&EngineVersion>,
        now_ms: u64,
    ) -> bool {
        // Completions of requests without counted terminations are not sent to the peers.
        if !self.is_suspected_at(request, version) {
            return false;
        }
        let completion = Completion {
            request: *request,
            version: version.cloned(),
            at_ms: now_ms,
            basis: CompletionBasis::Completed,
        };
        self.note(Evidence { completions: vec![completion], ..Evidence::default() }, now_ms)
    }

    /// Records a trial that was granted to this node.
    pub fn note_trial(&self, request: &Fingerprint, number: u32, now_ms: u64) {
        let trial = Trial { request: *request, number, at_ms: now_ms };
        self.note(Evidence { trials: vec![trial], ..Evidence::default() }, now_ms);
    }

    /// Records a local observation; returns whether it was new.
    fn note(&self, evidence: Evidence, now_ms: u64) -> bool {
        let mut state = self.lock();
        let new = self.apply_evidence(&mut state, evidence, now_ms);
        let is_new = !new.is_empty();
        state.unsent.extend(new);
        is_new
    }

    /// Merges evidence received from a peer; returns the part that was new.
    pub fn merge_evidence(&self, evidence: Evidence, now_ms: u64) -> Evidence {
        self.apply_evidence(&mut self.lock(), evidence, now_ms)
    }

    fn apply_evidence(&self, state: &mut State, evidence: Evidence, now_ms: u64) -> Evidence {
        let new = state.add_evidence(evidence, now_ms);
        if !new.is_empty() {
            self.publish(state);
        }
        new
    }

    /// Removes expired suspects and terminations.
    pub fn remove_expired(&self, now_ms: u64) {
        let mut state = self.lock();
        let before = state.suspects.len() + state.unattributed.len();
        state.suspects.retain(|_, suspect| !suspect.is_expired(now_ms));
        state.unattributed.retain(|_, at_ms| now_ms <= at_ms.saturating_add(to_ms(SUSPECT_RETENTION)));
        if state.suspects.len() + state.unattributed.len() < before {
            self.publish(&mut state);
        }
    }

    /// Takes the local observations that were not sent to the peers yet.
    pub fn take_unsent(&self) -> Evidence {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Takes the changes in the set of held requests since the last call.
    pub fn take_changes(&self) -> HoldChanges {
        std::mem::take(&mut self.lock().changes)
    }

    /// Returns all evidence known to this node.
    pub fn all_evidence(&self) -> Evidence {
        Evidence::from_suspects(self.lock().suspects.iter())
    }

    /// Returns the suspects to persist: those that are held. The stored copy survives a restart of all
    /// nodes.
    pub fn persistent_suspects(&self) -> BTreeMap<Fingerprint, Suspect> {
        let view = self.view.load();
        let state = self.lock();
        let held = state.suspects.iter().filter(|(request, _)| view.held(request).is_some());
        held.map(|(request, suspect)| (*request, suspect.clone())).collect()
    }

    /// Digest of the suspects: equal for equal contents, and 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.view.load().digest
    }

    /// Digest of [`Self::persistent_suspects`].
    pub fn persistent_digest(&self) -> u64 {
        self.view.load().persistent_digest
    }

    /// Recomputes the held requests and publishes a new snapshot.
    fn publish(&self, state: &mut State) {
        let held = hold_decision::held_requests(&state.suspects, &state.unattributed);
        let before = self.view.load();
        let newly = held.iter().filter(|(request, _)| before.held(request).is_none());
        state.changes.held.extend(newly.map(|(request, held)| (*request, held.clone())));
        let freed =
            before.all_held().map(|(request, _)| *request).filter(|request| !held.contains_key(request));
        state.changes.freed.extend(freed);
        let persistent = state.suspects.iter().filter(|(request, _)| held.contains_key(request));
        let view = View {
            has_held: !held.is_empty(),
            digest: digest(state.suspects.iter()),
            persistent_digest: digest(persistent),
            suspects: state.suspects.keys().map(|request| (*request, held.get(request).cloned())).collect(),
        };
        self.view.store(Arc::new(view));
    }
}

impl State {
    /// Merges evidence; returns the part that was new.
    fn add_evidence(&mut self, evidence: Evidence, now_ms: u64) -> Evidence {
        let mut new = Evidence::default();
        for termination in evidence.endings {
            let is_new = |request: &&Fingerprint| self.merge_termination(request, &termination, now_ms);
            let open: Vec<Fingerprint> = termination.open.iter().filter(is_new).copied().collect();
            if !open.is_empty() {
                new.endings.push(Termination { open, ..termination });
            }
        }
        for BackEndExposures { backend, suspects } in evidence.exposures {
            let is_new = |exposed: &OpenSuspect| {
                let known = self.suspects.get_mut(&exposed.suspect);
                known.is_some_and(|known| known.note_exposure(&backend, exposed.exposure_ms))
            };
            let suspects: Vec<OpenSuspect> = suspects.into_iter().filter(is_new).collect();
            if !suspects.is_empty() {
                new.exposures.push(BackEndExposures { backend, suspects });
            }
        }
        // Completions and trials of unknown requests are ignored: a suspect without terminations would
        // be stored without need.
        for completion in evidence.completions {
            let suspect = self.suspects.get_mut(&completion.request);
            if suspect
                .is_some_and(|suspect| suspect.note_completion(completion.version.as_ref(), completion.at_ms))
            {
                new.completions.push(completion);
            }
        }
        for trial in evidence.trials {
            let suspect = self.suspects.get_mut(&trial.request);
            if suspect.is_some_and(|suspect| suspect.note_trial(trial.number, trial.at_ms)) {
                new.trials.push(trial);
            }
        }
        self.evict_excess();
        new
    }

    fn merge_termination(&mut self, request: &Fingerprint, termination: &Termination, now_ms: u64) -> bool {
        let Termination { backend, version, at_ms, .. } = termination;
        let mut suspect = self.suspects.get(request).cloned().unwrap_or_default();
        let is_time_new = suspect.note_termination(backend, *at_ms);
        let is_version_new = version.as_ref().is_some_and(|version| suspect.note_version(backend, version));
        let is_new = (is_time_new || is_version_new) && !suspect.is_expired(now_ms);
        if is_new {
            self.suspects.insert(*request, suspect);
        }
        is_new
    }

    /// Evicts the suspects of lowest priority if there are more than [`MAX_SUSPECTS`].
    fn evict_excess(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let mut priorities: Vec<((usize, u64), Fingerprint)> =
            self.suspects.iter().map(|(request, suspect)| (suspect.retention_priority(), *request)).collect();
        priorities.select_nth_unstable(excess - 1);
        for (_, request) in &priorities[..excess] {
            self.suspects.remove(request);
        }
    }
}

fn digest<'a>(suspects: impl Iterator<Item = (&'a Fingerprint, &'a Suspect)>) -> u64 {
    suspects.fold(0, |sum, (request, suspect)| sum ^ digest_of_one(request, suspect))
}

fn digest_of_one(request: &Fingerprint, suspect: &Suspect) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(request.as_bytes());
    for (backend, at_ms) in &suspect.endings {
        hasher.update(backend.as_str().as_bytes());
        hasher.update(&at_ms.to_le_bytes());
    }
    for (backend, exposure_ms) in &suspect.exposures_ms {
        hasher.update(backend.as_str().as_bytes());
        hasher.update(&exposure_ms.to_le_bytes());
    }
    for (backend, version) in &suspect.versions {
        hasher.update(backend.as_str().as_bytes());
        hasher.update(version.as_str().as_bytes());
    }
    for (version, completed_ms) in &suspect.completed_by_version_ms {
        hasher.update(version.as_str().as_bytes());
        hasher.update(&completed_ms.to_le_bytes());
    }
    hasher.update(&suspect.completed_ms.to_le_bytes());
    hasher.update(&suspect.trials.to_le_bytes());
    hasher.update(&suspect.trial_ms.to_le_bytes());
    hasher.digest()
}
