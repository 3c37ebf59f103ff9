//! Decides which requests are held. The decision depends on the evidence alone, so nodes with the same
//! evidence hold the same requests.
//!
//! Many requests are open when a back end terminates. Those that ran alongside the culprit are resent as
//! the culprit is, so they may be open at the next termination, too. Therefore
//!
//! - a termination is explained by a request that was open at as many terminations and reached three of
//!   them earlier, or was open at more of them and reached three no later; it does not count against the
//!   other requests;
//! - terminations after which other back ends wrote on, or that probably have one cause, are no evidence of their
//!   own ([`crate::common_cause`]);
//! - a request that shares all its terminations with another held request is held in doubt and retried soon,
//!   and so is one whose terminations one outage may explain. All held requests are in doubt while most
//!   terminations are explained by no held request, for example when machines are reclaimed one after another.
//!
//! A held request is not exposed to further terminations, while an innocent request that is resent is
//! exposed to those of other culprits. A termination attributed to a held request is therefore not
//! reattributed to a request that reached the threshold later. The first request to reach it may be an
//! innocent one that ran alongside several culprits. It is released once each of its terminations is
//! shared with a culprit that was also the only held request at other terminations, and is in doubt
//! until then.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use beamwall_model::{BackendId, to_ms};

use crate::common_cause::{CountedTermination, independent_times, may_be_outage};
use crate::fingerprint::Fingerprint;
use crate::held_versions::HeldVersions;
use crate::limits::{
    TERMINATIONS_UNTIL_CLEAR, TERMINATIONS_UNTIL_HELD, TRIAL_DELAYS, TRIAL_DELAYS_AFTER_OUTAGE,
    TRIAL_DELAYS_IN_DOUBT,
};
use crate::suspect::Suspect;

/// Why and for how long a request is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldState {
    /// Number of terminations that count against the request.
    pub endings: usize,
    /// Number of them that have no cause in common.
    pub independent_endings: usize,
    /// The shortest time for which one of these back ends ran the request, in milliseconds; 0 if unknown.
    pub shortest_exposure_ms: u64,
    /// The longest time for which one of these back ends ran the request, in milliseconds; 0 if unknown.
    pub longest_exposure_ms: u64,
    /// Whether another request, or another cause, may explain all of them.
    pub is_in_doubt: bool,
    /// Number of trials granted.
    pub trials: u32,
    /// When the next trial is due; `None` if there is no further trial.
    pub next_trial_ms: Option<u64>,
    /// The software versions to whose back ends it is not sent.
    pub held_versions: HeldVersions,
}

/// A request with enough terminations to be held.
struct Candidate<'a> {
    request: Fingerprint,
    suspect: &'a Suspect,
    terminations: HashMap<&'a BackendId, CountedTermination>,
    threshold_reached_ms: u64,
}

/// Whether and why a held request may be innocent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    /// It is the clear cause.
    None,
    /// Another held request was open at all of its terminations, or most terminations have other causes.
    OtherCause,
    /// One outage of back ends may explain all of its terminations.
    Outage,
}

impl Doubt {
    fn trial_delays(self) -> &'static [Duration] {
        match self {
            Self::None => &TRIAL_DELAYS,
            Self::OtherCause => &TRIAL_DELAYS_IN_DOUBT,
            Self::Outage => &TRIAL_DELAYS_AFTER_OUTAGE,
        }
    }
}

impl Candidate<'_> {
    /// Whether this request explains terminations at which `other` was open, too.
    fn takes_precedence_over(&self, other: &Candidate<'_>) -> bool {
        match self.terminations.len().cmp(&other.terminations.len()) {
            Ordering::Greater => self.threshold_reached_ms <= other.threshold_reached_ms,
            Ordering::Equal => self.threshold_reached_ms < other.threshold_reached_ms,
            Ordering::Less => false,
        }
    }

    /// Number of its terminations at which none of `others` was open.
    fn unshared_terminations(&self, others: &[&Candidate<'_>]) -> usize {
        let is_shared = |backend: &BackendId| {
            others
                .iter()
                .any(|other| other.request != self.request && other.terminations.contains_key(backend))
        };
        self.terminations.keys().filter(|backend| !is_shared(backend)).count()
    }

    /// Number of its terminations that are evidence independently of one another, of those that `selects`.
    fn independent_terminations(&self, selects: impl Fn(&BackendId) -> bool) -> usize {
        let selected = self.terminations.iter().filter(|(backend, _)| selects(backend));
        independent_times(selected.map(|(_, termination)| *termination)).len()
    }

    fn exposures_ms(&self) -> impl Iterator<Item = u64> {
        self.terminations.values().map(|one| one.exposure_ms)
    }

    fn doubt(&self, confirmed: &[&Candidate<'_>], has_other_causes: bool) -> Doubt {
        if has_other_causes || self.unshared_terminations(confirmed) == 0 {
            Doubt::OtherCause
        } else if may_be_outage(self.terminations.values().copied()) {
            Doubt::Outage
        } else {
            Doubt::None
        }
    }

    fn next_trial_ms(&self, doubt: Doubt) -> Option<u64> {
        let delay = doubt.trial_delays().get(self.suspect.trials as usize)?;
        Some(self.suspect.last_activity_ms().saturating_add(to_ms(*delay)))
    }
}

/// Returns the requests to hold. `unattributed` lists further terminations, at which no known request
/// was open.
pub fn held_requests(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    unattributed: &BTreeMap<BackendId, u64>,
) -> HashMap<Fingerprint, HoldState> {
    let times = termination_times(suspects);
    let to_candidate = |(request, suspect)| candidate(request, suspect, &times);
    let mut candidates: Vec<Candidate<'_>> = suspects.iter().filter_map(to_candidate).collect();
    // Process the strongest candidates first, so that a request whose terminations are explained by
    // others explains none itself.
    candidates.sort_by_key(|one| (Reverse(one.terminations.len()), one.threshold_reached_ms, one.request));
    let mut confirmed: Vec<&Candidate<'_>> = Vec::new();
    for candidate in &candidates {
        let explains = |backend: &BackendId, other: &&Candidate<'_>| {
            other.takes_precedence_over(candidate) && other.terminations.contains_key(backend)
        };
        let is_unexplained = |backend: &BackendId| !confirmed.iter().any(|other| explains(backend, other));
        if candidate.independent_terminations(is_unexplained) >= TERMINATIONS_UNTIL_HELD {
            confirmed.push(candidate);
        }
    }
    let confirmed = without_explained_by_others(&confirmed);
    let has_other_causes = most_terminations_unexplained(suspects, unattributed, &confirmed);
    confirmed.iter().map(|one| (one.request, hold_state(one, &confirmed, has_other_causes))).collect()
}

/// Removes requests whose terminations are all explained by requests with more terminations that are
/// clear causes of terminations themselves.
fn without_explained_by_others<'a>(confirmed: &[&'a Candidate<'a>]) -> Vec<&'a Candidate<'a>> {
    let is_clear = |one: &&&Candidate<'_>| one.unshared_terminations(confirmed) >= TERMINATIONS_UNTIL_CLEAR;
    let clear: Vec<&&Candidate<'_>> = confirmed.iter().filter(is_clear).collect();
    let is_explained = |one: &Candidate<'_>| {
        let stronger = || clear.iter().filter(|other| other.terminations.len() > one.terminations.len());
        one.terminations
            .keys()
            .all(|backend| stronger().any(|other| other.terminations.contains_key(backend)))
    };
    confirmed.iter().copied().filter(|one| !is_explained(one)).collect()
}

/// Whether no held request was open at most of the recorded terminations, so that back ends terminate
/// for another reason.
fn most_terminations_unexplained(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    unattributed: &BTreeMap<BackendId, u64>,
    confirmed: &[&Candidate<'_>],
) -> bool {
    if confirmed.is_empty() {
        return false;
    }
    let under_suspects = suspects.values().flat_map(|suspect| suspect.endings.keys());
    let all_terminated: HashSet<&BackendId> = under_suspects.chain(unattributed.keys()).collect();
    let is_explained =
        |backend: &&&BackendId| confirmed.iter().any(|one| one.terminations.contains_key(**backend));
    let explained = all_terminated.iter().filter(is_explained).count();
    all_terminated.len() - explained > explained
}

/// Returns the earliest observed time of each termination. Nodes observe the same termination some
/// milliseconds apart, which must not decide which request reached the threshold first.
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
    let counted = suspect.counted_terminations().map(|(backend, one)| {
        (backend, CountedTermination { at_ms: times.get(backend).copied().unwrap_or(one.at_ms), ..one })
    });
    let terminations: HashMap<&BackendId, CountedTermination> = counted.collect();
    let independent_ms = independent_times(terminations.values().copied());
    let threshold_reached_ms = *independent_ms.get(TERMINATIONS_UNTIL_HELD - 1)?;
    Some(Candidate { request: *request, suspect, terminations, threshold_reached_ms })
}

fn hold_state(one: &Candidate<'_>, confirmed: &[&Candidate<'_>], has_other_causes: bool) -> HoldState {
    let doubt = one.doubt(confirmed, has_other_causes);
    HoldState {
        endings: one.terminations.len(),
        independent_endings: one.independent_terminations(|_| true),
        shortest_exposure_ms: one.exposures_ms().min().unwrap_or(0),
        longest_exposure_ms: one.exposures_ms().max().unwrap_or(0),
        is_in_doubt: doubt != Doubt::None,
        trials: one.suspect.trials,
        next_trial_ms: one.next_trial_ms(doubt),
        held_versions: one.suspect.held_versions(),
    }
}
