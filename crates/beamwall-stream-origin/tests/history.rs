//! Versions that engines have had lately: when a stream without a record can only be of one version.

use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use beamwall_stream_origin::{ServiceVersions, VersionAge, VersionHistory};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(60);

fn list(history: &VersionHistory, versions: &[&str], now: Instant) {
    let service = ServiceName::new("pool");
    let versions: Vec<EngineVersion> = versions.iter().map(EngineVersion::new).collect();
    history.note_listed(versions.iter().map(|version| (&service, version)), true, now);
}

fn within(history: &VersionHistory, now: Instant) -> ServiceVersions {
    history.within(&"pool".into(), SPAN, now)
}

fn one(version: &str) -> ServiceVersions {
    ServiceVersions::One(version.into())
}

/// Guards against: a node that has just started takes the version that it sees for the only one that there was.
#[test]
fn a_version_is_the_only_one_once_the_engines_were_known_for_long_enough() {
    let (history, now) = (VersionHistory::default(), Instant::now());
    assert_eq!(within(&history, now), ServiceVersions::Unknown);
    list(&history, &["v1"], now);
    assert_eq!(within(&history, now + 59 * SECOND), ServiceVersions::Unknown);
    assert_eq!(within(&history, now + 60 * SECOND), one("v1"));
    // It stays listed, however long nothing changes.
    assert_eq!(within(&history, now + 600 * SECOND), one("v1"));
    assert_eq!(history.within(&"other".into(), SPAN, now + 60 * SECOND), ServiceVersions::Unknown);
}

/// Guards against: streams of a version whose last engine has just gone are taken for those of the next one.
#[test]
fn a_version_counts_until_no_stream_of_it_can_last() {
    let (history, now) = (VersionHistory::default(), Instant::now());
    list(&history, &["v1"], now);
    list(&history, &["v1", "v2"], now + 100 * SECOND);
    list(&history, &["v2"], now + 101 * SECOND);
    assert_eq!(within(&history, now + 160 * SECOND), ServiceVersions::Several);
    assert_eq!(within(&history, now + 161 * SECOND), ServiceVersions::Several);
    let now = now + SECOND;
    assert_eq!(within(&history, now + 161 * SECOND), one("v2"));
    let within = |span| history.within(&"pool".into(), span, now + 161 * SECOND);
    assert_eq!((within(SPAN), within(2 * SPAN)), (one("v2"), ServiceVersions::Several));
}

/// Guards against: while a list is read page by page, the version on its first page counts as the only one.
#[test]
fn a_version_is_not_the_only_one_while_the_list_is_incomplete() {
    let (history, now) = (VersionHistory::default(), Instant::now());
    history.note_first_start(now);
    let (service, version) = (ServiceName::new("pool"), EngineVersion::new("v1"));
    history.note_listed([(&service, &version)].into_iter(), false, now);
    assert_eq!(within(&history, now), ServiceVersions::Unknown);
    list(&history, &["v1"], now);
    assert_eq!(within(&history, now), one("v1"));
}

#[test]
fn what_an_earlier_process_knew_makes_the_history_whole() {
    let (history, now) = (VersionHistory::default(), Instant::now());
    list(&history, &["v2"], now);
    let known = |version: &str, age| VersionAge { service: "pool".into(), version: version.into(), age };
    history.merge([known("v2", SECOND), known("v1", 90 * SECOND)].into_iter(), 100 * SECOND, now);
    assert_eq!(within(&history, now), one("v2"));
    history.merge([known("v1", 30 * SECOND)].into_iter(), Duration::ZERO, now);
    assert_eq!(within(&history, now), ServiceVersions::Several);
    let (versions, complete_for) = history.remembered(now).expect("the engines are listed");
    assert_eq!((versions.len(), complete_for), (2, 100 * SECOND));
}

#[test]
fn nodes_that_saw_different_versions_know_several_together() {
    let unknown = || ServiceVersions::Unknown;
    assert_eq!(one("v1").and(unknown()), one("v1"));
    assert_eq!(unknown().and(one("v1")), one("v1"));
    assert_eq!(one("v1").and(one("v1")), one("v1"));
    assert_eq!(one("v1").and(one("v2")), ServiceVersions::Several);
    assert_eq!(ServiceVersions::Several.and(one("v1")), ServiceVersions::Several);
    assert_eq!(unknown().and(unknown()), unknown());
}
