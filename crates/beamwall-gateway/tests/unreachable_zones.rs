//! Detection of zones that this node cannot reach.

use std::collections::HashSet;
use std::time::Duration;

use beamwall_gateway::health::HealthTracker;
use beamwall_gateway::placement::UnreachableReports;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::unreachable_zones::UnreachableZones;
use beamwall_gateway::{Backend, Directory, RemovalCause};
use beamwall_model::ZoneName;
use tokio::time::Instant;

fn directory() -> Directory {
    let backend = |(id, zone): (&str, &str)| Backend {
        id: id.into(),
        instance: id.into(),
        born_ms: None,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in_ms: None,
    };
    let backends = [("e0", "east"), ("e1", "east"), ("w0", "west")].map(backend).to_vec();
    let mut directory = Directory::default();
    directory.replace(DirectorySnapshot { revision: 1.into(), backends }, RemovalCause::Gone);
    directory
}

fn zones(names: &[&str]) -> HashSet<ZoneName> {
    names.iter().copied().map(ZoneName::new).collect()
}

#[test]
fn a_zone_is_cut_off_when_its_nodes_are_silent_and_an_engine_cannot_be_reached() {
    let (unreachable_zones, health, reports) =
        (UnreachableZones::default(), HealthTracker::default(), UnreachableReports::default());
    let (directory, now) = (directory(), Instant::now());
    let update =
        |silent: &[&str], now| unreachable_zones.update(&zones(silent), &directory, &health, &reports, now);
    assert!(update(&["east"], now).is_empty(), "perhaps only its nodes are down");
    health.note_unreachable(&"w0".into(), now);
    assert!(update(&["east"], now).is_empty(), "a crashed engine in another zone is no evidence");
    health.note_unreachable(&"e0".into(), now);
    assert!(update(&[], now).is_empty(), "a single engine may have crashed");
    assert_eq!(update(&["east"], now), [ZoneName::new("east")]);
    assert!(unreachable_zones.contains(&"east".into()) && !unreachable_zones.contains(&"west".into()));
    // The engine gets no more requests, so there is no new evidence of it; the zone's silence decides.
    let later = now + Duration::from_secs(3);
    assert!(update(&["east"], later).is_empty(), "the zone is reported only once");
    assert!(unreachable_zones.contains(&"east".into()));
    update(&[], later);
    assert!(!unreachable_zones.contains(&"east".into()));
}
