//! Applies the paces of back ends that have just started or recovered, and tells them what the back ends do.

use beamwall_engine_limits::RestNotice;
use beamwall_events::emit;
use beamwall_events::internal_events::BackendPaced;
use beamwall_model::BackendId;
use beamwall_pace::{PaceCause, PaceTracker, PacedCandidate, Selection, select};
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::candidates::BackendState;
use crate::choice::{Candidate, Expectation, cost_ms};
use crate::directory::Directory;
use crate::placement::{Choice, PlacementQuery};

/// The candidates that the paces allow for one request.
pub fn apply(
    pace: &PaceTracker,
    mut candidates: Vec<Candidate>,
    expectation: &Expectation<'_>,
) -> Vec<Candidate> {
    let backends = candidates.iter().map(|candidate| &candidate.backend);
    let Some(shares) = pace.shares(backends, Instant::now()) else { return candidates };
    let with_cost = |(candidate, share): (&Candidate, &f64)| PacedCandidate {
        share: *share,
        cost_ms: cost_ms(candidate, expectation),
    };
    let paced: Vec<PacedCandidate> = candidates.iter().zip(&shares).map(with_cost).collect();
    match select(&paced, rand::random()) {
        Selection::All => candidates,
        Selection::Only(position) => vec![candidates.swap_remove(position)],
        Selection::Unpaced => {
            let mut shares = shares.into_iter();
            candidates.retain(|_| shares.next().is_some_and(|share| share >= 1.0));
            candidates
        }
    }
}

/// Records the back ends that start with a new list.
pub fn note_listed(pace: &PaceTracker, directory: &Directory) {
    if !directory.is_fully_loaded() {
        return;
    }
    let listed = directory.backends().map(|backend| &backend.id);
    let is_listed = |backend: &BackendId| directory.get(backend).is_some();
    for backend in pace.set_listed(listed, is_listed, Instant::now()) {
        report(&backend, PaceCause::Started);
    }
}

/// Records what the sender of a placement query observed.
pub fn note_reports(state: &BackendState, query: &PlacementQuery, now: Instant) {
    if !state.pace.is_enabled() {
        return;
    }
    for (backend, observed) in &query.observed {
        state.pace.note_response(backend, observed.recent.mean_ratio(), now);
    }
    for backend in query.unreachable.iter().filter(|backend| state.reports.is_confirmed(backend, now)) {
        note_returned(&state.pace, backend, now);
    }
}

/// Records that a back end's response started after `took_ms`.
pub fn note_response(pace: &PaceTracker, choice: &Choice, took_ms: f64) {
    if let Some(usual_ms) = choice.usual_ms() {
        pace.note_response(&choice.backend, took_ms / usual_ms.max(1.0), Instant::now());
    }
}

/// Records the result of an attempt, before it is recorded in the back end's health.
pub fn note_attempt(state: &BackendState, backend: &BackendId, failure: Option<&AttemptFailure>) {
    if !state.pace.is_enabled() {
        return;
    }
    let now = Instant::now();
    match failure {
        Some(_) => state.pace.note_failure(backend, now),
        None if state.health.view(backend, now).unreachable => note_returned(&state.pace, backend, now),
        None => {}
    }
}

/// Records that a back end wants no requests for a while: it returns after that.
pub fn note_rest(pace: &PaceTracker, backend: &BackendId, rest: &RestNotice) {
    if let RestNotice::Rest(rest) = rest {
        note_returned(pace, backend, Instant::now() + *rest);
    }
}

fn note_returned(pace: &PaceTracker, backend: &BackendId, at: Instant) {
    if pace.note_returned(backend, at) {
        report(backend, PaceCause::Returned);
    }
}

fn report(backend: &BackendId, cause: PaceCause) {
    emit(&BackendPaced { backend: backend.to_string(), cause: cause.as_str().to_owned() });
}
