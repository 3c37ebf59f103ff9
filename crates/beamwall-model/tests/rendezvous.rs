//! Weighted choice by rendezvous hashing.

use beamwall_model::rendezvous::choose_weighted;

/// The fraction of many keys for which `name` is the first choice.
fn first_choice_rate(candidates: &[(&str, f64)], name: &str) -> f64 {
    const KEYS: u32 = 4_000;
    let is_first = |key: &u32| choose_weighted(&key.to_be_bytes(), candidates, 1) == [name];
    f64::from((0..KEYS).filter(is_first).count() as u32) / f64::from(KEYS)
}

#[test]
fn a_candidate_is_chosen_by_its_share_of_all_weights() {
    let candidates = [("fast", 300.0), ("middle", 100.0), ("slow", 0.0)];
    assert!((first_choice_rate(&candidates, "fast") - 0.748).abs() < 0.03);
    assert!((first_choice_rate(&candidates, "middle") - 0.249).abs() < 0.03);
    assert!(first_choice_rate(&candidates, "slow") < 0.02, "an unknown weight counts as 1");
}

#[test]
fn only_keys_of_a_removed_candidate_move() {
    let all = [("a", 10.0), ("b", 20.0), ("c", 30.0)];
    let without_c = &all[..2];
    for key in 0..500_u32 {
        let before = choose_weighted(&key.to_be_bytes(), &all, 1);
        if before != ["c"] {
            assert_eq!(choose_weighted(&key.to_be_bytes(), without_c, 1), before);
        }
    }
}

#[test]
fn the_order_of_candidates_does_not_matter() {
    let (one, other) = ([("a", 1.0), ("b", 2.0), ("c", 1.0)], [("c", 1.0), ("a", 1.0), ("b", 2.0)]);
    for key in 0..100_u32 {
        assert_eq!(
            choose_weighted(&key.to_be_bytes(), &one, 2),
            choose_weighted(&key.to_be_bytes(), &other, 2)
        );
    }
}
