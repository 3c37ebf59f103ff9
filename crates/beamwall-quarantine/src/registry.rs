//! The `QuarantineBook` aggregate: all that one node knows of requests under which back ends end.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_model::{BackendId, to_ms};
use xxhash_rust::xxh3::Xxh3;

use crate::evidence::{Completion, Evidence, Termination, Trial};
use crate::fingerprint::Fingerprint;
use crate::hold_decision::{self, HoldState};
use crate::limits::{MAX_SUSPECTS, MAX_UNATTRIBUTED_TERMINATIONS, SUSPECT_RETENTION};
use crate::suspect::Suspect;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// It may be sent.
    Free,
    /// It is held, and a trial is due.
    TrialDue {
        /// The number of that trial.
        number: u32,
        /// Ends of back ends that tell against it.
        endings: usize,
        /// Whether its case is in doubt.
        is_in_doubt: bool,
    },
    /// It is held.
    Held {
        /// Ends of back ends that tell against it.
        endings: usize,
        /// The time until a trial is due, where its case is in doubt and there is one.
        retry_after: Option<Duration>,
    },
}

/// What changed among the held requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldChanges {
    /// Requests that are held from now on.
    pub held: Vec<(Fingerprint, HoldState)>,
    /// Requests that are not held any more.
    pub freed: Vec<Fingerprint>,
}

/// All that one node knows of requests under which back ends end. A request that is not in it costs one look into a map
/// that is empty nearly always.
#[derive(Debug, Default)]
pub struct QuarantineRegistry {
    state: Mutex<State>,
    view: ArcSwap<View>,
}

#[derive(Debug, Default)]
struct State {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Back ends that ended without an open request of this node, and when. Every node sees these by itself, so they are not
    /// told, and no part of the digest.
    unattributed: BTreeMap<BackendId, u64>,
    /// What this node saw itself and has not told yet.
    unsent: Evidence,
    /// Changes that were not reported yet.
    changes: HoldChanges,
}

/// The same for readers on the path of requests.
#[derive(Debug, Default)]
struct View {
    /// Requests against which something is told, and whether they are held.
    suspects: HashMap<Fingerprint, Option<HoldState>>,
    digest: u64,
    persistent_digest: u64,
}

impl View {
    /// Why and how long a request is held; `None` where it is not.
    fn held(&self, request: &Fingerprint) -> Option<&HoldState> {
        self.suspects.get(request)?.as_ref()
    }

    /// All requests that are held.
    fn all_held(&self) -> impl Iterator<Item = (&Fingerprint, &HoldState)> {
        self.suspects.iter().filter_map(|(request, held)| Some((request, held.as_ref()?)))
    }
}

impl QuarantineRegistry {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How a request stands.
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

    /// Whether a request is held, a trial being due or not.
    pub fn is_held(&self, request: &Fingerprint) -> bool {
        self.view.load().held(request).is_some()
    }

    /// Whether an end of a back end tells against a request.
    pub fn is_suspected(&self, request: &Fingerprint) -> bool {
        let is_known = self.view.load().suspects.contains_key(request);
        is_known
            && self
                .lock()
                .suspects
                .get(request)
                .is_some_and(|suspect| suspect.counted_terminations().next().is_some())
    }

    /// Requests that are held.
    pub fn held(&self) -> Vec<(Fingerprint, HoldState)> {
        self.view.load().all_held().map(|(request, held)| (*request, *held)).collect()
    }

    /// Requests in the book.
    pub fn suspects(&self) -> usize {
        self.view.load().suspects.len()
    }

    /// Notes the end of a back end that this node saw, and the requests that it had open there.
    pub fn note_termination(&self, backend: &BackendId, open: Vec<Fingerprint>, now_ms: u64) {
        let ending = Termination { backend: backend.clone(), at_ms: now_ms, open };
        self.note(Evidence { endings: vec![ending], ..Evidence::default() }, now_ms);
    }

    /// Notes the end of a back end of which no open request is known here: it tells how often they end for other reasons.
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

    /// Notes that a back end ran a request to an end; returns whether that frees it of a suspicion.
    pub fn note_completion(&self, request: &Fingerprint, now_ms: u64) -> bool {
        // Of one that nothing tells against now, the others need not hear each time that it ran.
        if !self.is_suspected(request) {
            return false;
        }
        let completion = Completion { request: *request, at_ms: now_ms };
        self.note(Evidence { completions: vec![completion], ..Evidence::default() }, now_ms)
    }

    /// Notes a trial that this node was granted.
    pub fn note_trial(&self, request: &Fingerprint, number: u32, now_ms: u64) {
        let trial = Trial { request: *request, number, at_ms: now_ms };
        self.note(Evidence { trials: vec![trial], ..Evidence::default() }, now_ms);
    }

    /// Notes what this node saw; returns whether it was new.
    fn note(&self, evidence: Evidence, now_ms: u64) -> bool {
        let mut state = self.lock();
        let new = self.apply_evidence(&mut state, evidence, now_ms);
        let is_new = !new.is_empty();
        state.unsent.extend(new);
        is_new
    }

    /// Takes what others tell; returns what of it was new here.
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

    /// Forgets requests whose time in the book is over.
    pub fn remove_expired(&self, now_ms: u64) {
        let mut state = self.lock();
        let before = state.suspects.len() + state.unattributed.len();
        state.suspects.retain(|_, suspect| !suspect.is_expired(now_ms));
        state.unattributed.retain(|_, at_ms| now_ms <= at_ms.saturating_add(to_ms(SUSPECT_RETENTION)));
        if state.suspects.len() + state.unattributed.len() < before {
            self.publish(&mut state);
        }
    }

    /// What this node saw since this was last asked, to be told to all.
    pub fn take_unsent(&self) -> Evidence {
        std::mem::take(&mut self.lock().unsent)
    }

    /// What changed among the held requests since this was last asked.
    pub fn take_changes(&self) -> HoldChanges {
        std::mem::take(&mut self.lock().changes)
    }

    /// All that is known here.
    pub fn all_evidence(&self) -> Evidence {
        Evidence::from_suspects(self.lock().suspects.iter())
    }

    /// What is known of the held requests, to be kept where it outlives all nodes.
    pub fn persistent_suspects(&self) -> BTreeMap<Fingerprint, Suspect> {
        let view = self.view.load();
        let state = self.lock();
        let held = state.suspects.iter().filter(|(request, _)| view.held(request).is_some());
        held.map(|(request, suspect)| (*request, suspect.clone())).collect()
    }

    /// A number that is equal for equal contents; 0 for none.
    pub fn digest(&self) -> u64 {
        self.view.load().digest
    }

    /// The same for [`Self::persistent_suspects`].
    pub fn persistent_digest(&self) -> u64 {
        self.view.load().persistent_digest
    }

    /// Works out anew who is held.
    fn publish(&self, state: &mut State) {
        let held = hold_decision::held_requests(&state.suspects, &state.unattributed);
        let before = self.view.load();
        let newly = held.iter().filter(|(request, _)| before.held(request).is_none());
        state.changes.held.extend(newly.map(|(request, held)| (*request, *held)));
        let freed =
            before.all_held().map(|(request, _)| *request).filter(|request| !held.contains_key(request));
        state.changes.freed.extend(freed);
        let kept = state.suspects.iter().filter(|(request, _)| held.contains_key(request));
        let view = View {
            digest: digest(state.suspects.iter()),
            persistent_digest: digest(kept),
            suspects: state.suspects.keys().map(|request| (*request, held.get(request).copied())).collect(),
        };
        self.view.store(Arc::new(view));
    }
}

impl State {
    /// Takes news; returns what of it was new.
    fn add_evidence(&mut self, evidence: Evidence, now_ms: u64) -> Evidence {
        let mut new = Evidence::default();
        for Termination { backend, at_ms, open } in evidence.endings {
            let open: Vec<Fingerprint> = open
                .into_iter()
                .filter(|request| self.merge_termination(request, &backend, at_ms, now_ms))
                .collect();
            if !open.is_empty() {
                new.endings.push(Termination { backend, at_ms, open });
            }
        }
        // Nothing is noted of a request that was at no end: it would stay for no reason.
        for completion in evidence.completions {
            let suspect = self.suspects.get_mut(&completion.request);
            if suspect.is_some_and(|suspect| suspect.note_completion(completion.at_ms)) {
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

    fn merge_termination(
        &mut self,
        request: &Fingerprint,
        backend: &BackendId,
        at_ms: u64,
        now_ms: u64,
    ) -> bool {
        let mut suspect = self.suspects.get(request).cloned().unwrap_or_default();
        let is_new = suspect.note_termination(backend, at_ms) && !suspect.is_expired(now_ms);
        if is_new {
            self.suspects.insert(*request, suspect);
        }
        is_new
    }

    /// Drops the lightest suspects where there are too many.
    fn evict_excess(&mut self) {
        let too_many = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if too_many == 0 {
            return;
        }
        let mut weights: Vec<((usize, u64), Fingerprint)> =
            self.suspects.iter().map(|(request, suspect)| (suspect.retention_priority(), *request)).collect();
        weights.select_nth_unstable(too_many - 1);
        for (_, request) in &weights[..too_many] {
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
    hasher.update(&suspect.completed_ms.to_le_bytes());
    hasher.update(&suspect.trials.to_le_bytes());
    hasher.update(&suspect.trial_ms.to_le_bytes());
    hasher.digest()
}
