//! Paces of back ends that join or return, as a node applies them to its choices.

mod support;

use std::time::Duration;

use beamwall_engine_limits::RestNotice;
use beamwall_gateway::choice::{Candidate, Expectation};
use beamwall_gateway::health::HealthView;
use beamwall_gateway::load::OpenLoad;
use beamwall_gateway::pacing;
use beamwall_model::BackendId;
use beamwall_pace::PaceTracker;
use tokio::time::Instant;

const SLOTS: u32 = 8;

fn candidate(backend: &str, requests: u32) -> Candidate {
    Candidate {
        backend: backend.into(),
        same_zone: true,
        slots: SLOTS,
        load: OpenLoad { requests, prompt_tokens: 0 },
        prefill: None,
        slowness: 1.0,
        health: HealthView::default(),
    }
}

/// Requests by which a share is estimated: its standard deviation is then about a thousandth.
const SAMPLES: u32 = 20_000;

/// How often a back end is the only one allowed, and how often it is not allowed at all.
fn shares(pace: &PaceTracker, candidates: &[Candidate], backend: &BackendId) -> (f64, f64) {
    let estimates = support::typical_statistics().estimates();
    let expectation = Expectation { estimates: &estimates, pause_objective_ms: None };
    let (mut only, mut excluded) = (0.0, 0.0);
    for _ in 0..SAMPLES {
        let allowed = pacing::apply(pace, candidates.to_vec(), &expectation);
        let is_allowed = allowed.iter().any(|candidate| candidate.backend == *backend);
        only += f64::from(u8::from(is_allowed && allowed.len() == 1)) / f64::from(SAMPLES);
        excluded += f64::from(u8::from(!is_allowed)) / f64::from(SAMPLES);
    }
    (only, excluded)
}

/// A tracker that knows a list of `before` engines and then one of `after`.
fn tracker(before: usize, after: usize) -> PaceTracker {
    let pace = PaceTracker::enabled();
    pacing::note_listed(&pace, &support::directory(before, SLOTS));
    pacing::note_listed(&pace, &support::directory(after, SLOTS));
    pace
}

/// Guards against: all requests go to a back end that has just joined, since nothing runs there.
#[tokio::test(start_paused = true)]
async fn a_back_end_that_joins_gets_a_tenth_of_its_part_at_first_and_all_of_it_after_a_second() {
    let pace = tracker(4, 5);
    let mut candidates: Vec<Candidate> = (0..4).map(|number| candidate(&format!("e{number}"), 2)).collect();
    candidates.push(candidate("e4", 0));
    let joined = BackendId::from("e4");
    let (only, excluded) = shares(&pace, &candidates, &joined);
    assert!((0.01..0.03).contains(&only), "{only} of all requests, a fifth is its part");
    assert!((only + excluded - 1.0).abs() < 1e-6);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(shares(&pace, &candidates, &joined), (0.0, 0.0));
}

/// Guards against: a node that starts while its list is read page by page takes the later pages for new back ends.
#[tokio::test(start_paused = true)]
async fn back_ends_of_the_first_whole_list_have_no_pace() {
    let pace = PaceTracker::enabled();
    pacing::note_listed(&pace, &Default::default());
    pacing::note_listed(&pace, &support::directory(5, SLOTS));
    assert_eq!(pace.paced(Instant::now()), 0);
}

/// Guards against: the callers wait at busy back ends while new ones are kept from them.
#[tokio::test(start_paused = true)]
async fn busy_back_ends_let_a_new_one_take_all() {
    let pace = tracker(1, 2);
    let candidates = [candidate("e0", 200), candidate("e1", 0)];
    let (_, excluded) = shares(&pace, &candidates, &"e1".into());
    assert_eq!(excluded, 0.0);
}

/// Guards against: all nodes return to a back end in the moment at which its rest ends.
#[tokio::test(start_paused = true)]
async fn a_back_end_that_rested_returns_at_its_pace() {
    let (pace, backend) = (tracker(2, 2), BackendId::from("e1"));
    pacing::note_rest(&pace, &backend, &RestNotice::Rest(Duration::from_secs(3)));
    pacing::note_rest(&pace, &"e0".into(), &RestNotice::NoRest);
    // The attempt that was rejected has failed, and responses to earlier ones still arrive.
    pace.note_failure(&backend, Instant::now());
    pace.note_response(&backend, 1.0, Instant::now());
    assert_eq!(pace.paced(Instant::now()), 1);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(pace.share(&backend, Instant::now()) < 0.2);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(pace.share(&backend, Instant::now()) >= 1.0);
}
