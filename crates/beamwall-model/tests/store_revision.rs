//! The order of a store's revisions over its eras.

use beamwall_model::StoreRevision;

#[test]
fn every_revision_of_an_era_follows_all_of_the_earlier_ones() {
    let revisions = [
        StoreRevision::default(),
        StoreRevision::from(85),
        StoreRevision::new(1, 0),
        StoreRevision::new(1, 90),
        StoreRevision::new(2, 1),
    ];
    assert!(revisions.is_sorted_by(|left, right| left < right));
    assert_eq!(StoreRevision::new(2, 72).to_string(), "2/72");
    assert_eq!(StoreRevision::from(72).to_string(), "72");
    assert_eq!(StoreRevision::new(2, 72).previous(), StoreRevision::new(2, 71));
}
