//! What back ends that live tell of suspects: which terminations count no more, and which never did by themselves.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use beamwall_model::{BackendId, EngineVersion};
use beamwall_quarantine::limits::{
    EXPOSURES_KNOWN_AFTER, LATE_EXPOSURE, SURVIVAL_MARGIN, TRIAL_DELAYS_AFTER_OUTAGE,
};
use beamwall_quarantine::{
    BackEndExposures, Completion, CompletionBasis, Evidence, Fingerprint, HeldVersions, OpenSuspect,
    QuarantineRegistry, RequestStatus, SoundParts, Survival, Termination,
};
use beamwall_seeds::on_seeds;

const START_MS: u64 = 1_700_000_000_000;
const SUSPECT: Fingerprint = Fingerprint::new([7; 16]);

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn engine(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"))
}

/// Records terminations at these times after the start, each with the exposure.
fn note_terminations(registry: &QuarantineRegistry, terminations: &[(u64, u64)]) {
    for (number, (after_ms, exposure_ms)) in terminations.iter().enumerate() {
        let open = [OpenSuspect { suspect: SUSPECT, exposure_ms: *exposure_ms }];
        registry.note_termination_after(&engine(number), None, &open, START_MS + after_ms);
    }
}

/// Guards against: engines that write on go unheard until an answer is whole.
#[test]
fn an_engine_that_writes_for_longer_frees_a_suspect() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[(0, 400), (1_500, 700), (3_000, 300)]);
    assert!(registry.is_held(&SUSPECT));
    let later_ms = START_MS + 3_000 + ms(EXPOSURES_KNOWN_AFTER);
    let enough_ms = 700 + ms(SURVIVAL_MARGIN);
    assert!(!registry.note_survival(&SUSPECT, None, Survival::Writing(300), later_ms));
    assert!(registry.is_held(&SUSPECT));
    assert!(registry.note_survival(&SUSPECT, None, Survival::Writing(enough_ms), later_ms));
    assert!(!registry.is_held(&SUSPECT));
    assert!(
        !registry.note_survival(&SUSPECT, None, Survival::Writing(enough_ms), later_ms),
        "nothing is left"
    );
}

/// Guards against: an engine frees a suspect before all nodes have told for how long the ended ones had run it.
#[test]
fn nothing_is_disproved_before_the_exposures_are_known() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[(0, 10), (1_000, 10), (2_000, 10)]);
    let too_early_ms = START_MS + 2_000 + ms(EXPOSURES_KNOWN_AFTER) - 1;
    registry.note_survival(&SUSPECT, None, Survival::Writing(60_000), too_early_ms);
    let exposed = OpenSuspect { suspect: SUSPECT, exposure_ms: 90_000 };
    let late_word = BackEndExposures { backend: engine(2), suspects: vec![exposed] };
    let evidence = Evidence { exposures: vec![late_word], ..Evidence::default() };
    registry.merge_evidence(evidence, too_early_ms);
    assert!(!registry.note_survival(&SUSPECT, None, Survival::Writing(60_000), too_early_ms + 1));
    assert!(registry.is_suspected(&SUSPECT));
}

/// Guards against: a request that waits in an engine's queue vouches for one that ends engines as it begins.
#[test]
fn an_engine_that_may_not_have_begun_disproves_late_terminations_only() {
    let (early_ms, late_ms) = (100, ms(LATE_EXPOSURE));
    for (exposure_ms, is_freed) in [(early_ms, false), (late_ms, true)] {
        let registry = QuarantineRegistry::default();
        note_terminations(&registry, &[(0, exposure_ms), (2_000, exposure_ms), (4_000, exposure_ms)]);
        assert!(registry.is_held(&SUSPECT));
        let survival = Survival::Running(late_ms + ms(SURVIVAL_MARGIN));
        registry.note_survival(&SUSPECT, None, survival, START_MS + 5_000);
        assert_eq!(!registry.is_held(&SUSPECT), is_freed, "{exposure_ms} ms");
    }
}

/// Guards against: a suspect that ends engines some seconds after they begin is never held.
#[test]
fn late_terminations_at_three_moments_hold_a_suspect_that_no_engine_survives() {
    let registry = QuarantineRegistry::default();
    let exposure_ms = 5_000;
    let moments = [(0, exposure_ms), (300, 5_400), (2_000, exposure_ms), (2_100, 5_400)];
    note_terminations(&registry, &moments);
    assert!(!registry.is_held(&SUSPECT), "two moments");
    registry.note_survival(&SUSPECT, None, Survival::Writing(exposure_ms), START_MS + 3_000);
    note_terminations(&registry, &[moments.as_slice(), &[(4_000, exposure_ms)]].concat());
    assert!(registry.is_held(&SUSPECT));
}

/// Guards against: a suspect that came to all engines at about the same time, and ends them some seconds later soon after one
/// another, is not held before it has done so three times.
#[test]
fn late_terminations_soon_after_one_another_hold_in_doubt_until_a_trial() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[(0, 3_500), (300, 3_510), (700, 3_490)]);
    let now_ms = START_MS + 700;
    let held = RequestStatus::Held { endings: 3, retry_after: Some(TRIAL_DELAYS_AFTER_OUTAGE[0]) };
    assert_eq!(registry.request_status(&SUSPECT, now_ms), held);
    let mut due_ms = now_ms;
    for (trial, delay) in TRIAL_DELAYS_AFTER_OUTAGE.iter().take(2).enumerate() {
        due_ms += ms(*delay);
        let status = registry.request_status(&SUSPECT, due_ms);
        assert!(matches!(status, RequestStatus::TrialDue { is_in_doubt: true, .. }), "{status:?}");
        registry.note_trial(&SUSPECT, trial as u32 + 1, due_ms);
        due_ms += 3_500;
        let open = [OpenSuspect { suspect: SUSPECT, exposure_ms: 3_500 }];
        registry.note_termination_after(&engine(3 + trial), None, &open, due_ms);
    }
    // Each trial has ended an engine, so the case is clear.
    let held = RequestStatus::Held { endings: 5, retry_after: None };
    assert_eq!(registry.request_status(&SUSPECT, due_ms), held);
}

/// Guards against: engines that lose their power together hold a suspect, for good, on which they had worked for seconds.
#[test]
fn late_terminations_at_one_moment_count_once() {
    let registry = QuarantineRegistry::default();
    let together: Vec<(u64, u64)> = (0..12).map(|number| (number * 20, 2_500 + number * 500)).collect();
    note_terminations(&registry, &together);
    assert!(!registry.is_held(&SUSPECT));
}

/// Guards against: a suspect that ends many engines at each of several moments passes, since only its latest terminations are
/// remembered.
#[test]
fn terminations_at_earlier_moments_are_not_displaced_by_many_at_one_moment() {
    let registry = QuarantineRegistry::default();
    let engines_at_once = 20;
    let moments = (0..3_u64).flat_map(|moment| (0..engines_at_once).map(move |_| (moment * 5_000, 3_500)));
    let terminations: Vec<(u64, u64)> = moments.collect();
    note_terminations(&registry, &terminations);
    assert!(registry.is_held(&SUSPECT));
}

/// Guards against: a caller is told for good not to send a request again, although one loss of power explains all.
#[test]
fn early_terminations_at_one_moment_hold_in_doubt_until_a_trial_soon_after() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[(0, 50), (20, 90), (40, 0)]);
    let now_ms = START_MS + 40;
    let held = RequestStatus::Held { endings: 3, retry_after: Some(TRIAL_DELAYS_AFTER_OUTAGE[0]) };
    assert_eq!(registry.request_status(&SUSPECT, now_ms), held);
    let due_ms = now_ms + ms(TRIAL_DELAYS_AFTER_OUTAGE[0]);
    let status = registry.request_status(&SUSPECT, due_ms);
    assert!(matches!(status, RequestStatus::TrialDue { number: 1, is_in_doubt: true, .. }), "{status:?}");
    // The trial ends another engine, so the case is clear.
    registry.note_trial(&SUSPECT, 1, due_ms);
    registry.note_termination(&engine(9), vec![SUSPECT], due_ms + 60);
    let held = RequestStatus::Held { endings: 4, retry_after: None };
    assert_eq!(registry.request_status(&SUSPECT, due_ms + 60), held);
}

/// Guards against: what was told of exposures is lost where a node starts with what the store or a peer keeps.
#[test]
fn exposures_are_kept_and_passed_on() {
    let registry = QuarantineRegistry::default();
    note_terminations(&registry, &[(0, 3_000), (2_000, 3_100), (4_000, 3_200)]);
    let now_ms = START_MS + 5_000;
    for evidence in [registry.all_evidence(), Evidence::from_suspects(registry.persistent_suspects().iter())]
    {
        let next = QuarantineRegistry::default();
        next.merge_evidence(evidence, now_ms);
        assert_eq!((next.held(), next.digest()), (registry.held(), registry.digest()));
    }
}

/// Guards against: a part is suspected although an engine wrote on it for longer a moment ago.
#[test]
fn a_part_outlives_shorter_exposures_for_a_minute() {
    let parts = SoundParts::default();
    parts.note_written([5].into_iter(), None, 4_000, START_MS);
    assert!(parts.outlives(5, None, 4_000 - ms(SURVIVAL_MARGIN), START_MS + 60_000));
    assert!(!parts.outlives(5, None, 4_001 - ms(SURVIVAL_MARGIN), START_MS));
    assert!(!parts.outlives(5, None, 0, START_MS + 60_001));
    assert!(!parts.is_sound(5, None, START_MS), "no answer was whole");
    parts.note_written([5].into_iter(), None, 1_000, START_MS + 1);
    assert!(parts.outlives(5, None, 3_000, START_MS + 2), "the longest time counts");
    parts.note_completed([5].into_iter(), None, START_MS + 3);
    assert!(parts.outlives(5, None, 1_000_000, START_MS + 4));
}

/// Guards against: a part is no suspect, since an engine wrote on it for some time that then ended under it.
#[test]
fn a_part_outlives_nothing_once_its_writer_has_terminated() {
    let parts = SoundParts::default();
    parts.note_written([5].into_iter(), None, 4_000, START_MS);
    parts.note_terminated(5, None, 3_999);
    assert!(parts.outlives(5, None, 1_000, START_MS), "another engine wrote on it for longer");
    parts.note_terminated(6, None, 9_000);
    assert!(parts.outlives(5, None, 1_000, START_MS), "another part");
    parts.note_terminated(5, None, 4_000);
    assert!(!parts.outlives(5, None, 1_000, START_MS));
    parts.note_completed([5].into_iter(), None, START_MS);
    parts.note_terminated(5, None, 9_000);
    assert!(parts.is_sound(5, None, START_MS), "an answer was whole");
}

/// Notes, on a registry, early terminations of back ends of this version at three moments.
fn note_terminations_at(registry: &QuarantineRegistry, version: &str) {
    for number in 0..3 {
        let open = [OpenSuspect { suspect: SUSPECT, exposure_ms: 60 }];
        let version = Some(EngineVersion::new(version));
        registry.note_termination_after(&engine(number), version, &open, START_MS + 1_000 * number as u64);
    }
}

fn versions(names: &[&str]) -> HeldVersions {
    HeldVersions::These(names.iter().map(EngineVersion::new).collect())
}

/// Guards against: back ends of one software version that complete a request, or write on it for long, free it at back ends of
/// another version, which it terminates; or it is refused where only the first version serves, or a later one.
#[test]
fn a_suspect_that_a_version_survives_is_held_for_those_that_terminated() {
    let (old, new) = (EngineVersion::new("v1"), EngineVersion::new("v2"));
    let now_ms = START_MS + 5_000;
    let completed = |registry: &QuarantineRegistry| registry.note_completion(&SUSPECT, Some(&old), now_ms);
    let survived = |registry: &QuarantineRegistry| {
        registry.note_survival(&SUSPECT, Some(&old), Survival::Writing(4_000), now_ms)
    };
    for proves in [&completed as &dyn Fn(&QuarantineRegistry) -> bool, &survived] {
        let registry = QuarantineRegistry::default();
        note_terminations_at(&registry, new.as_str());
        assert_eq!(registry.held_versions(&SUSPECT), Some(HeldVersions::All));
        assert!(proves(&registry));
        assert_eq!(registry.held_versions(&SUSPECT), Some(versions(&["v2"])));
        assert!(!proves(&registry), "it is known");
        // A node that hears all of it from a peer or the store knows the same.
        let next = QuarantineRegistry::default();
        next.merge_evidence(registry.all_evidence(), now_ms);
        assert_eq!((next.held(), next.digest()), (registry.held(), registry.digest()));
        // The new version completes it, too, as after a trial.
        assert!(registry.note_completion(&SUSPECT, Some(&new), now_ms + 1));
        assert!(!registry.is_held(&SUSPECT));
    }
}

/// Guards against: a version is sent a request although a back end of it has terminated since others survived it; or the end of a
/// trial at a version for which it is held keeps it from the others.
#[test]
fn a_suspect_is_held_for_each_version_that_terminates() {
    let registry = QuarantineRegistry::default();
    note_terminations_at(&registry, "v2");
    registry.note_completion(&SUSPECT, Some(&EngineVersion::new("v1")), START_MS + 5_000);
    let open = [OpenSuspect::of_unknown_exposure(SUSPECT)];
    let note = |number, version: Option<&str>| {
        let at_ms = START_MS + 600 * number as u64;
        registry.note_termination_after(&engine(number), version.map(EngineVersion::new), &open, at_ms);
        registry.held_versions(&SUSPECT).expect("it is held")
    };
    assert_eq!(note(9, Some("v2")), versions(&["v2"]), "as in a trial");
    assert_eq!(note(10, Some("v1")), versions(&["v1", "v2"]));
    assert_eq!(note(11, Some("v3")), versions(&["v1", "v2", "v3"]));
    registry.note_completion(&SUSPECT, Some(&EngineVersion::new("v1")), START_MS + 7_000);
    assert_eq!(note(12, None), HeldVersions::All, "of an unknown version");
}

/// Guards against: what nodes of earlier releases tell, without a version, counts for none.
#[test]
fn what_is_told_without_a_version_counts_for_all() {
    let registry = QuarantineRegistry::default();
    note_terminations_at(&registry, "v2");
    assert!(registry.note_completion(&SUSPECT, None, START_MS + 5_000));
    assert!(!registry.is_held(&SUSPECT));
    for number in 10..13 {
        registry.note_termination(&engine(number), vec![SUSPECT], START_MS + 600 * number as u64);
    }
    assert!(registry.is_held(&SUSPECT));
    assert!(registry.note_completion(&SUSPECT, Some(&EngineVersion::new("v1")), START_MS + 9_000));
    assert!(!registry.is_held(&SUSPECT));
}

/// Guards against: a part that engines of one version write on is no suspect where those of another one terminate.
#[test]
fn a_part_is_sound_for_the_versions_that_wrote_on_it() {
    let parts = SoundParts::default();
    let (old, new) = (EngineVersion::new("v1"), EngineVersion::new("v2"));
    parts.note_completed([5].into_iter(), Some(&old), START_MS);
    assert!(parts.is_sound(5, Some(&old), START_MS) && !parts.is_sound(5, Some(&new), START_MS));
    assert!(!parts.outlives(5, Some(&new), 0, START_MS));
    parts.note_completed([6].into_iter(), None, START_MS);
    assert!(parts.is_sound(6, Some(&new), START_MS), "told without a version");
}

fn arbitrary_version(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Option<EngineVersion>> {
    Ok(*input.choose(&[None, Some("v1"), Some("v2")])?).map(|name| name.map(EngineVersion::new))
}

fn arbitrary_evidence(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Evidence> {
    let suspect = Fingerprint::new([input.int_in_range(0..=2)?; 16]);
    let backend = engine(input.int_in_range(0..=5)?);
    let at_ms = START_MS + u64::from(input.int_in_range(0..=8_000_u32)?);
    let mut evidence = Evidence::default();
    match input.int_in_range(0..=4)? {
        0 => evidence.completions.push(Completion {
            request: suspect,
            version: arbitrary_version(input)?,
            at_ms,
            basis: CompletionBasis::Completed,
        }),
        1 => {
            let exposure_ms = input.int_in_range(1..=6_000)?;
            let suspects = vec![OpenSuspect { suspect, exposure_ms }];
            evidence.exposures.push(BackEndExposures { backend, suspects });
        }
        _ => evidence.endings.push(Termination {
            backend,
            version: arbitrary_version(input)?,
            at_ms,
            open: vec![suspect],
        }),
    }
    Ok(evidence)
}

/// Guards against: nodes that heard the same in another order hold other requests.
#[test]
fn nodes_that_exchange_exposures_agree() {
    on_seeds(2_000, |input| {
        let nodes = [QuarantineRegistry::default(), QuarantineRegistry::default()];
        for _ in 0..input.int_in_range(0..=30)? {
            let receiver = usize::from(input.arbitrary::<bool>()?);
            nodes[receiver].merge_evidence(arbitrary_evidence(input)?, START_MS);
        }
        // Two rounds: completions and exposures of what a node does not know yet are ignored.
        for _ in 0..2 {
            nodes[0].merge_evidence(nodes[1].all_evidence(), START_MS);
            nodes[1].merge_evidence(nodes[0].all_evidence(), START_MS);
        }
        let sorted = |registry: &QuarantineRegistry| {
            let mut held = registry.held();
            held.sort_by_key(|(request, _)| *request);
            held
        };
        assert_eq!(nodes[0].digest(), nodes[1].digest());
        assert_eq!(sorted(&nodes[0]), sorted(&nodes[1]));
        Ok(())
    });
}

/// Guards against: nodes that heard of more terminations than are remembered, in different orders, remember different ones and
/// ask each other for all evidence again and again.
#[test]
fn nodes_that_hear_of_many_terminations_in_any_order_remember_the_same() {
    on_seeds(1_000, |input| {
        let mut times_ms = Vec::new();
        for _ in 0..input.int_in_range(17..=60)? {
            times_ms.push(START_MS + u64::from(input.int_in_range(0..=1_500_u32)?));
        }
        let terminations = times_ms.iter().enumerate().map(|(number, at_ms)| Termination {
            backend: engine(number),
            version: None,
            at_ms: *at_ms,
            open: vec![SUSPECT],
        });
        let mut heard: Vec<Termination> = terminations.collect();
        let mut digests = Vec::new();
        for _ in 0..2 {
            let node = QuarantineRegistry::default();
            for termination in &heard {
                let evidence = Evidence { endings: vec![termination.clone()], ..Evidence::default() };
                node.merge_evidence(evidence, START_MS);
            }
            digests.push(node.digest());
            for position in (1..heard.len()).rev() {
                heard.swap(position, input.int_in_range(0..=position)?);
            }
        }
        assert_eq!(digests[0], digests[1]);
        Ok(())
    });
}
