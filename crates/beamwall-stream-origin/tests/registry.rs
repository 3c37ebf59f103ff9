//! The origins of streams that one node knows.

use std::time::Duration;

use beamwall_stream_origin::registry::MAX_RECORDS;
use beamwall_stream_origin::{OriginLookup, OriginRecord, OriginRegistry, StreamKey, StreamOrigin};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn record(stream: &str, version: &str) -> OriginRecord {
    let origin = StreamOrigin { service: "pool".into(), version: version.into() };
    OriginRecord { key: StreamKey::of_stream(Some("alder"), stream), origin, valid_for: 10 * SECOND }
}

fn version_of(registry: &OriginRegistry, stream: &str, now: Instant) -> Option<String> {
    match registry.find(&StreamKey::of_stream(Some("alder"), stream), now) {
        OriginLookup::Known(known) => Some(known.origin.version.to_string()),
        OriginLookup::Ambiguous => Some("ambiguous".to_owned()),
        OriginLookup::Unknown => None,
    }
}

/// Guards against: a caller reads or changes what is known of another tenant's stream with the same identifier.
#[test]
fn the_streams_of_two_tenants_have_different_keys() {
    let keys = [
        StreamKey::of_stream(Some("alder"), "s1"),
        StreamKey::of_stream(Some("birch"), "s1"),
        StreamKey::of_stream(None, "s1"),
        StreamKey::of_stream(Some("alders"), "1"),
        StreamKey::of_stream(None, "alders1"),
    ];
    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[..number].contains(key), "{number}");
    }
    assert_eq!(keys[0], StreamKey::of_stream(Some("alder"), "s1"));
}

/// Guards against: of two streams that began under one identifier at two versions, one goes on at that of the other.
#[test]
fn an_identifier_of_two_streams_names_no_version() {
    let (registry, now) = (OriginRegistry::default(), Instant::now());
    registry.record(record("s1", "v1"), now);
    registry.merge(record("s1", "v2"), now + SECOND);
    assert_eq!(version_of(&registry, "s1", now + 2 * SECOND).as_deref(), Some("ambiguous"));
    registry.record(record("s1", "v1"), now + 2 * SECOND);
    assert_eq!(version_of(&registry, "s1", now + 3 * SECOND).as_deref(), Some("ambiguous"));
    registry.record(record("s1", "v2"), now + 12 * SECOND);
    assert_eq!(version_of(&registry, "s1", now + 13 * SECOND).as_deref(), Some("v2"));
}

/// Guards against: the nodes that hold a stream are not told of the second one under its identifier.
#[test]
fn both_origins_of_an_identifier_are_sent() {
    let (registry, holder, now) = (OriginRegistry::default(), OriginRegistry::default(), Instant::now());
    registry.record(record("s1", "v1"), now);
    registry.record(record("s1", "v2"), now);
    for record in registry.take_unsent(&"pool".into(), now) {
        holder.merge(record, now);
    }
    assert_eq!(version_of(&holder, "s1", now).as_deref(), Some("ambiguous"));
}

/// Guards against: the record of a stream that is taken up again and again expires while it lasts.
#[test]
fn a_stream_that_goes_on_is_known_for_longer_and_is_sent_again() {
    let (registry, now) = (OriginRegistry::default(), Instant::now());
    registry.record(record("s1", "v1"), now);
    assert_eq!(registry.take_unsent(&"pool".into(), now).len(), 1);
    assert!(registry.take_unsent(&"pool".into(), now).is_empty(), "it is sent once");
    registry.record(record("s1", "v1"), now + 8 * SECOND);
    assert_eq!(version_of(&registry, "s1", now + 15 * SECOND).as_deref(), Some("v1"));
    let again = registry.take_unsent(&"pool".into(), now + 9 * SECOND);
    assert_eq!(again.iter().map(|record| record.valid_for).collect::<Vec<_>>(), [9 * SECOND]);
}

#[test]
fn what_peers_sent_is_not_sent_again() {
    let (registry, now) = (OriginRegistry::default(), Instant::now());
    registry.merge(record("s1", "v1"), now);
    assert!(registry.unsent_services().is_empty());
    assert_eq!(version_of(&registry, "s1", now).as_deref(), Some("v1"));
}

#[test]
fn an_origin_is_forgotten_after_its_time() {
    let (registry, now) = (OriginRegistry::default(), Instant::now());
    registry.record(record("s1", "v1"), now);
    assert_eq!(version_of(&registry, "s1", now + 10 * SECOND), None);
    registry.remove_expired(now + 10 * SECOND);
    assert!(registry.is_empty() && registry.unsent_services().is_empty());
}

/// Guards against: callers that make up identifiers fill the memory.
#[test]
fn the_oldest_origins_are_dropped_beyond_the_limit() {
    let (registry, now) = (OriginRegistry::default(), Instant::now());
    for number in 0..MAX_RECORDS + 10 {
        registry.record(record(&format!("s{number}"), "v1"), now);
    }
    assert_eq!(registry.len(), MAX_RECORDS);
    assert_eq!(version_of(&registry, "s9", now), None);
    assert_eq!(version_of(&registry, "s10", now).as_deref(), Some("v1"));
    assert_eq!(registry.take_unsent(&"pool".into(), now).len(), MAX_RECORDS);
}
