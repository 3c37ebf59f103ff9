//! Sets of node generations.

use beamwall_model::{GenerationSet, generation_hash};

fn set(hashes: &[u32]) -> GenerationSet {
    hashes.iter().copied().collect()
}

#[test]
fn a_set_is_sorted_and_holds_each_generation_once() {
    assert_eq!(set(&[7, 3, 7, 5]).as_slice(), [3, 5, 7]);
    assert_eq!(set(&[7, 3]), set(&[3, 7, 3]));
    assert!(GenerationSet::default().is_empty());
}

#[test]
fn a_set_contains_all_of_its_subsets_only() {
    assert!(set(&[1, 2, 3]).contains_all(&set(&[3, 1])));
    assert!(set(&[1, 2]).contains_all(&set(&[1, 2])));
    assert!(set(&[1]).contains_all(&GenerationSet::default()));
    assert!(!set(&[1, 2]).contains_all(&set(&[1, 2, 3])));
    assert!(!set(&[1, 2, 3]).contains_all(&set(&[1, 4])));
}

#[test]
fn generations_of_a_node_and_equal_generations_of_two_nodes_differ() {
    assert_ne!(generation_hash(&"n1".into(), 1), generation_hash(&"n1".into(), 2));
    assert_ne!(generation_hash(&"n1".into(), 1), generation_hash(&"n2".into(), 1));
    assert_eq!(generation_hash(&"n1".into(), 1), generation_hash(&"n1".into(), 1));
}
