//! Tests of the quarantine registry: which requests are held, for how long, and that all nodes agree.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use beamwall_model::BackendId;
use beamwall_quarantine::limits::{
    HOLD_RETENTION, MAX_SUSPECTS, SUSPECT_RETENTION, TRIAL_DELAYS, TRIAL_DELAYS_IN_DOUBT,
};
use beamwall_quarantine::{
    Completion, CompletionBasis, Evidence, Fingerprint, FingerprintHasher, QuarantineRegistry, RequestStatus,
    TERMINATIONS_UNTIL_HELD, Termination, Trial,
};
use beamwall_seeds::on_seeds;

const START_MS: u64 = 1_700_000_000_000;
const SECOND_MS: u64 = 1_000;

fn request(name: &str) -> Fingerprint {
    FingerprintHasher::new(Some("alder"), "a.example", name).finish()
}

fn engine(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"))
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Records one engine termination per second, with each list of requests open; returns the time of the
/// last.
fn note_terminations(registry: &QuarantineRegistry, lists: &[&[&str]]) -> u64 {
    let mut now_ms = START_MS;
    for (number, names) in lists.iter().enumerate() {
        now_ms = START_MS + number as u64 * SECOND_MS;
        registry.note_termination(&engine(number), names.iter().map(|name| request(name)).collect(), now_ms);
    }
    now_ms
}

fn is_free(registry: &QuarantineRegistry, name: &str, now_ms: u64) -> bool {
    registry.request_status(&request(name), now_ms) == RequestStatus::Free
}

#[test]
fn a_request_is_held_after_the_third_termination() {
    let registry = QuarantineRegistry::default();
    let lists: [&[&str]; 3] = [&["bad", "a"], &["bad", "b"], &["bad", "c"]];
    assert_eq!(TERMINATIONS_UNTIL_HELD, lists.len());
    let now_ms = note_terminations(&registry, &lists[..2]);
    assert!(is_free(&registry, "bad", now_ms));
    let now_ms = note_terminations(&registry, &lists);
    assert_eq!(
        registry.request_status(&request("bad"), now_ms),
        RequestStatus::Held { endings: 3, retry_after: None }
    );
    assert!(["a", "b", "c", "d"].iter().all(|name| is_free(&registry, name, now_ms)));
}

#[test]
fn a_termination_reported_twice_counts_once() {
    let registry = QuarantineRegistry::default();
    for delay_ms in [0, 3, 1, 7] {
        registry.note_termination(&engine(1), vec![request("bad")], START_MS + delay_ms);
    }
    assert!(is_free(&registry, "bad", START_MS + 10));
}

#[test]
fn a_completion_clears_earlier_terminations() {
    let registry = QuarantineRegistry::default();
    let now_ms = note_terminations(&registry, &[&["a"], &["a"]]);
    assert!(registry.note_completion(&request("a"), None, now_ms + 1));
    assert!(!registry.note_completion(&request("a"), None, now_ms + 2), "no termination counts any more");
    registry.note_termination(&engine(7), vec![request("a")], now_ms + 10);
    registry.note_termination(&engine(8), vec![request("a")], now_ms + 20);
    assert!(is_free(&registry, "a", now_ms + 30));
    registry.note_termination(&engine(9), vec![request("a")], now_ms + 30);
    assert!(!is_free(&registry, "a", now_ms + 30));
    registry.note_completion(&request("a"), None, now_ms + 40);
    assert!(is_free(&registry, "a", now_ms + 40), "a completion releases a held request, too");
}

#[test]
fn terminations_explained_by_a_stronger_candidate_do_not_count() {
    let registry = QuarantineRegistry::default();
    // `beside` was resent repeatedly while `bad` terminated one engine after another.
    let lists: [&[&str]; 5] =
        [&["bad"], &["bad", "beside"], &["bad"], &["bad", "beside"], &["bad", "beside"]];
    let now_ms = note_terminations(&registry, &lists);
    assert!(!is_free(&registry, "bad", now_ms));
    assert!(is_free(&registry, "beside", now_ms));
}

#[test]
fn an_innocent_request_is_released_once_both_culprits_are_held() {
    let registry = QuarantineRegistry::default();
    let lists: [&[&str]; 8] = [
        &["first", "beside"],
        &["second", "beside"],
        &["first"],
        &["second", "beside"],
        &["first"],
        &["second"],
        &["first"],
        &["second"],
    ];
    let now_ms = note_terminations(&registry, &lists[..4]);
    assert!(
        !is_free(&registry, "beside", now_ms),
        "so far it is the only request open at three terminations"
    );
    let now_ms = note_terminations(&registry, &lists);
    assert!(!is_free(&registry, "first", now_ms) && !is_free(&registry, "second", now_ms));
    assert!(is_free(&registry, "beside", now_ms));
}

#[test]
fn requests_sharing_all_terminations_are_held_in_doubt_and_retried_soon() {
    let registry = QuarantineRegistry::default();
    let now_ms = note_terminations(&registry, &[&["bad", "beside"], &["bad", "beside"], &["bad", "beside"]]);
    let delay = TRIAL_DELAYS_IN_DOUBT[0];
    for name in ["bad", "beside"] {
        let held = RequestStatus::Held { endings: 3, retry_after: Some(delay) };
        assert_eq!(registry.request_status(&request(name), now_ms), held);
    }
    let due_ms = now_ms + ms(delay);
    assert!(matches!(
        registry.request_status(&request("bad"), due_ms),
        RequestStatus::TrialDue { number: 1, is_in_doubt: true, .. }
    ));
    // The trial of `bad` terminates another engine, so the culprit is clear.
    registry.note_trial(&request("bad"), 1, due_ms);
    assert!(
        matches!(registry.request_status(&request("bad"), due_ms), RequestStatus::Held { .. }),
        "one trial at a time"
    );
    registry.note_termination(&engine(9), vec![request("bad")], due_ms + 50);
    assert!(is_free(&registry, "beside", due_ms + 50));
    let held = RequestStatus::Held { endings: 4, retry_after: None };
    assert_eq!(registry.request_status(&request("bad"), due_ms + 50), held);
}

#[test]
fn observation_delays_do_not_decide_which_request_came_first() {
    let registry = QuarantineRegistry::default();
    let mut now_ms = START_MS;
    for number in 0..3 {
        now_ms += SECOND_MS;
        // One node observes the termination 6 ms before the other.
        registry.note_termination(&engine(number), vec![request("beside")], now_ms);
        registry.note_termination(&engine(number), vec![request("bad")], now_ms + 6);
    }
    for name in ["bad", "beside"] {
        let status = registry.request_status(&request(name), now_ms + 6);
        assert!(
            matches!(status, RequestStatus::Held { endings: 3, retry_after: Some(_) }),
            "{name}: {status:?}"
        );
    }
}

#[test]
fn a_clear_culprit_gets_two_trials() {
    let registry = QuarantineRegistry::default();
    let mut now_ms = note_terminations(&registry, &[&["bad"], &["bad"], &["bad"]]);
    for (number, delay) in (1..).zip(TRIAL_DELAYS) {
        assert!(!matches!(
            registry.request_status(&request("bad"), now_ms + ms(delay) - 1),
            RequestStatus::TrialDue { .. }
        ));
        now_ms += ms(delay);
        assert!(
            matches!(registry.request_status(&request("bad"), now_ms), RequestStatus::TrialDue { number: due, .. } if due == number)
        );
        registry.note_trial(&request("bad"), number, now_ms);
        registry.note_termination(&engine(100 + number as usize), vec![request("bad")], now_ms);
    }
    let much_later_ms = now_ms + ms(HOLD_RETENTION) - 1;
    assert!(matches!(registry.request_status(&request("bad"), much_later_ms), RequestStatus::Held { .. }));
    registry.remove_expired(now_ms + ms(HOLD_RETENTION) + 1);
    assert!(is_free(&registry, "bad", now_ms + ms(HOLD_RETENTION) + 1));
}

#[test]
fn a_suspect_expires() {
    let registry = QuarantineRegistry::default();
    let now_ms = note_terminations(&registry, &[&["a"], &["a"]]);
    let later_ms = now_ms + ms(SUSPECT_RETENTION) + 1;
    registry.remove_expired(later_ms);
    assert_eq!((registry.suspects(), registry.digest()), (0, 0));
    // Evidence about it that arrives late does not restore it.
    let old = Termination { backend: engine(1), version: None, at_ms: now_ms, open: vec![request("a")] };
    let evidence = Evidence { endings: vec![old], ..Evidence::default() };
    assert!(registry.merge_evidence(evidence, later_ms).is_empty());
    assert_eq!(registry.suspects(), 0);
}

#[test]
fn a_flood_of_suspects_does_not_evict_a_held_request() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[&["bad"], &["bad"], &["bad"]]);
    for number in 0..200 {
        let open = (0..100).map(|other| request(&format!("flood {number} {other}"))).collect();
        registry.note_termination(&engine(1_000 + number), open, START_MS + 10_000 + number as u64);
    }
    assert!(registry.suspects() <= MAX_SUSPECTS);
    assert!(!is_free(&registry, "bad", START_MS + 20_000));
}

#[test]
fn a_restored_registry_holds_the_same_requests() {
    let registry = QuarantineRegistry::default();
    let now_ms = note_terminations(&registry, &[&["bad", "a"], &["bad", "b"], &["bad"]]);
    registry.note_trial(&request("bad"), 1, now_ms + 5);
    let next = QuarantineRegistry::default();
    next.merge_evidence(Evidence::from_suspects(registry.persistent_suspects().iter()), now_ms + 10);
    assert_eq!(next.held(), registry.held());
    assert_eq!((next.suspects(), next.persistent_digest()), (1, registry.persistent_digest()));
}

/// Generates arbitrary evidence about a few requests and engines.
fn arbitrary_evidence(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Evidence> {
    let names = ["a", "b", "c", "d"];
    let at_ms = START_MS + u64::from(input.int_in_range(0..=20_000_u32)?);
    let named = request(names[input.int_in_range(0..=3)?]);
    let mut evidence = Evidence::default();
    match input.int_in_range(0..=5)? {
        0 => {
            let (version, basis) = (None, CompletionBasis::Completed);
            evidence.completions.push(Completion { request: named, version, at_ms, basis });
        }
        1 => evidence.trials.push(Trial { request: named, number: input.int_in_range(1..=2)?, at_ms }),
        _ => {
            let mut open = vec![named];
            for name in names {
                if input.arbitrary()? {
                    open.push(request(name));
                }
            }
            let backend = engine(input.int_in_range(0..=8)?);
            evidence.endings.push(Termination { backend, version: None, at_ms, open });
        }
    }
    Ok(evidence)
}

#[test]
fn nodes_agree_after_exchanging_all_evidence() {
    on_seeds(2_000, |input| {
        let books =
            [QuarantineRegistry::default(), QuarantineRegistry::default(), QuarantineRegistry::default()];
        for _ in 0..input.int_in_range(0..=30)? {
            let receiver = input.int_in_range(0..=2)?;
            let evidence = arbitrary_evidence(input)?;
            books[receiver].merge_evidence(evidence.clone(), START_MS);
            if input.arbitrary()? {
                books[(receiver + 1) % 3].merge_evidence(evidence, START_MS);
            }
        }
        // Two rounds: a node ignores completions and trials of a request until it knows a termination of
        // that request, which it may receive in the first round only.
        for _ in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    books[to].merge_evidence(books[from].all_evidence(), START_MS);
                }
            }
        }
        for other in &books[1..] {
            assert_eq!(books[0].digest(), other.digest());
            let sorted = |registry: &QuarantineRegistry| {
                let mut held = registry.held();
                held.sort_by_key(|(request, _)| *request);
                held
            };
            assert_eq!(sorted(&books[0]), sorted(other));
        }
        Ok(())
    });
}
