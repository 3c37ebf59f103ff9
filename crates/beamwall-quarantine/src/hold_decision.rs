//! Which requests are held, as a function of the evidence alone: nodes that have heard the same hold the same.
//!
//! At the end of a back end many requests are open, and those that ran beside the culprit are sent again as it is, so
//! they may be there when the next one ends. So
//!
//! - an end is explained by a request that was there at as many ends and at three of them earlier, or at more of them and at three no
//!   later; it does not count against the others;
//! - who shares all its ends with another held request is held in doubt, and soon tried again; so is everyone while most ends
//!   are explained by nobody, as when machines are taken back one after another.
//!
//! Who is held meets no further ends, while an innocent request that comes again meets those of other culprits. So what was found
//! against one that is held is not taken over by one that was known later. The first to be known may be an innocent request that met
//! several culprits; it is freed once each of its ends is one of a culprit that was also alone at others, and until then in doubt.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, HashMap, HashSet};

use beamwall_model::{BackendId, to_ms};

use crate::fingerprint::Fingerprint;
use crate::limits::{TERMINATIONS_UNTIL_CLEAR, TERMINATIONS_UNTIL_HELD, TRIAL_DELAYS, TRIAL_DELAYS_IN_DOUBT};
use crate::suspect::Suspect;

/// Why and how long a request is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldState {
    /// Ends of back ends that tell against it.
    pub endings: usize,
    /// Whether another request, or another reason, may have ended all of them.
    pub is_in_doubt: bool,
    /// Trials granted.
    pub trials: u32,
    /// When the next trial is due; `None`: there is none.
    pub next_trial_ms: Option<u64>,
}

/// A request at enough ends to be held.
struct Candidate<'a> {
    request: Fingerprint,
    suspect: &'a Suspect,
    endings: HashSet<&'a BackendId>,
    threshold_reached_ms: u64,
}

impl Candidate<'_> {
    /// Whether it explains ends at which `other` was, too.
    fn takes_precedence_over(&self, other: &Candidate<'_>) -> bool {
        match self.endings.len().cmp(&other.endings.len()) {
            Ordering::Greater => self.threshold_reached_ms <= other.threshold_reached_ms,
            Ordering::Equal => self.threshold_reached_ms < other.threshold_reached_ms,
            Ordering::Less => false,
        }
    }

    /// The number of its ends at which none of the others was.
    fn unshared_terminations(&self, others: &[&Candidate<'_>]) -> usize {
        let is_shared = |backend: &BackendId| {
            others.iter().any(|other| other.request != self.request && other.endings.contains(backend))
        };
        self.endings.iter().filter(|backend| !is_shared(backend)).count()
    }

    fn next_trial_ms(&self, is_in_doubt: bool) -> Option<u64> {
        let pauses = if is_in_doubt { TRIAL_DELAYS_IN_DOUBT } else { TRIAL_DELAYS };
        let pause = pauses.get(self.suspect.trials as usize)?;
        Some(self.suspect.last_activity_ms().saturating_add(to_ms(*pause)))
    }
}

/// The requests that are held; `ended` are further back ends that ended, of which no request is known.
pub fn held_requests(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    ended: &BTreeMap<BackendId, u64>,
) -> HashMap<Fingerprint, HoldState> {
    let times = termination_times(suspects);
    let to_candidate = |(request, suspect)| candidate(request, suspect, &times);
    let mut candidates: Vec<Candidate<'_>> = suspects.iter().filter_map(to_candidate).collect();
    // The strongest first, so that who is explained away explains nothing.
    candidates.sort_by_key(|one| (Reverse(one.endings.len()), one.threshold_reached_ms, one.request));
    let mut confirmed: Vec<&Candidate<'_>> = Vec::new();
    for candidate in &candidates {
        let explains = |backend: &BackendId, other: &&Candidate<'_>| {
            other.takes_precedence_over(candidate) && other.endings.contains(backend)
        };
        let is_own = |backend: &&&BackendId| !confirmed.iter().any(|other| explains(backend, other));
        if candidate.endings.iter().filter(is_own).count() >= TERMINATIONS_UNTIL_HELD {
            confirmed.push(candidate);
        }
    }
    let confirmed = without_explained_by_others(&confirmed);
    let has_other_causes = most_terminations_unexplained(suspects, ended, &confirmed);
    confirmed.iter().map(|one| (one.request, hold_state(one, &confirmed, has_other_causes))).collect()
}

/// The convicted but for those whose every end is explained by requests that were at more ends, and clearly end back ends themselves.
fn without_explained_by_others<'a>(confirmed: &[&'a Candidate<'a>]) -> Vec<&'a Candidate<'a>> {
    let is_clear = |one: &&&Candidate<'_>| one.unshared_terminations(confirmed) >= TERMINATIONS_UNTIL_CLEAR;
    let clear: Vec<&&Candidate<'_>> = confirmed.iter().filter(is_clear).collect();
    let is_explained = |one: &Candidate<'_>| {
        let stronger = || clear.iter().filter(|other| other.endings.len() > one.endings.len());
        one.endings.iter().all(|backend| stronger().any(|other| other.endings.contains(backend)))
    };
    confirmed.iter().copied().filter(|one| !is_explained(one)).collect()
}

/// Whether most of the ends in the book happened without any of the convicted requests, so that engines end for another reason.
fn most_terminations_unexplained(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    ended: &BTreeMap<BackendId, u64>,
    confirmed: &[&Candidate<'_>],
) -> bool {
    if confirmed.is_empty() {
        return false;
    }
    let under_suspects = suspects.values().flat_map(|suspect| suspect.endings.keys());
    let ended: HashSet<&BackendId> = under_suspects.chain(ended.keys()).collect();
    let is_explained = |backend: &&&BackendId| confirmed.iter().any(|one| one.endings.contains(**backend));
    let explained = ended.iter().filter(is_explained).count();
    ended.len() - explained > explained
}

/// When each back end ended: nodes see an end some milliseconds apart, which must not tell who was there earlier.
fn termination_times(suspects: &BTreeMap<Fingerprint, Suspect>) -> HashMap<&BackendId, u64> {
    let mut times = HashMap::new();
    for (backend, at_ms) in suspects.values().flat_map(|suspect| &suspect.endings) {
        let earliest = times.entry(backend).or_insert(*at_ms);
        *earliest = (*earliest).min(*at_ms);
    }
    times
}

fn candidate<'a>(
    request: &Fingerprint,
    suspect: &'a Suspect,
    times: &HashMap<&BackendId, u64>,
) -> Option<Candidate<'a>> {
    let endings: HashSet<&BackendId> = suspect.counted_terminations().map(|(backend, _)| backend).collect();
    let mut at: Vec<u64> = endings.iter().filter_map(|backend| times.get(backend)).copied().collect();
    at.sort_unstable();
    let threshold_reached_ms = *at.get(TERMINATIONS_UNTIL_HELD - 1)?;
    Some(Candidate { request: *request, suspect, endings, threshold_reached_ms })
}

fn hold_state(one: &Candidate<'_>, confirmed: &[&Candidate<'_>], has_other_causes: bool) -> HoldState {
    let is_in_doubt = has_other_causes || one.unshared_terminations(confirmed) == 0;
    HoldState {
        endings: one.endings.len(),
        is_in_doubt,
        trials: one.suspect.trials,
        next_trial_ms: one.next_trial_ms(is_in_doubt),
    }
}
