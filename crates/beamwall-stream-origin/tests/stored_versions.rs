//! What one node knows of the versions that the control store holds.

use beamwall_model::{EngineVersion, ServiceName};
use beamwall_stream_origin::StoredVersions;

fn version(service: &str, version: &str) -> (ServiceName, EngineVersion) {
    (ServiceName::new(service), EngineVersion::new(version))
}

fn holds(stored: &StoredVersions, (service, version): &(ServiceName, EngineVersion)) -> bool {
    stored.holds(service, version)
}

/// Guards against: a version of one service stands for another service's, or one that is missing for stored.
#[test]
fn versions_are_held_by_service() {
    let stored = StoredVersions::default();
    stored.note(0, [version("pool", "v1")].into_iter());
    assert!(holds(&stored, &version("pool", "v1")));
    assert!(!holds(&stored, &version("pool", "v2")));
    assert!(!holds(&stored, &version("app", "v1")));
    let listed = [version("pool", "v1"), version("pool", "v2")];
    assert!(!stored.holds_all(listed.iter().map(|(service, version)| (service, version))));
    stored.note(0, [version("pool", "v2")].into_iter());
    assert!(stored.holds_all(listed.iter().map(|(service, version)| (service, version))));
}

/// Guards against: a store that was restored to an earlier state counts as one that holds what was written later, or a peer's
/// late message brings that back.
#[test]
fn a_new_era_forgets_what_was_stored_before() {
    let stored = StoredVersions::default();
    stored.note(1, [version("pool", "v1")].into_iter());
    stored.note_era(2);
    assert!(!holds(&stored, &version("pool", "v1")));
    stored.note(1, [version("pool", "v1")].into_iter());
    assert!(!holds(&stored, &version("pool", "v1")));
    stored.note(3, [version("pool", "v2")].into_iter());
    assert!(holds(&stored, &version("pool", "v2")));
}

/// Guards against: versions that come and go are held for good, and one that returns after the store has dropped it counts as
/// stored.
#[test]
fn forgotten_versions_are_not_stored() {
    let stored = StoredVersions::default();
    stored.note(0, [version("pool", "v1"), version("pool", "v2"), version("app", "a1")].into_iter());
    stored.retain(|service, version| (service.as_str(), version.as_str()) == ("pool", "v2"));
    assert!(holds(&stored, &version("pool", "v2")));
    assert!(!holds(&stored, &version("pool", "v1")));
    assert!(!holds(&stored, &version("app", "a1")));
}
