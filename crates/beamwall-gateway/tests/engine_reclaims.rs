//! Engines that announced when they will be gone.

mod support;

use std::time::Duration;

use beamwall_gateway::engine_reclaims::EngineReclaims;
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, Directory, RemovalCause};
use tokio::time::Instant;

/// A list in which engine `e0` drains and has so much time left.
fn directory(revision: u64, leaves_in_ms: Option<u64>) -> Directory {
    let leaving = Backend { draining: true, leaves_in_ms, ..support::backend("e0") };
    let backends = vec![leaving, support::backend("e1")];
    let mut directory = Directory::default();
    directory.replace(DirectorySnapshot { revision: revision.into(), backends }, RemovalCause::Gone);
    directory
}

/// A list in which no engine drains.
fn ready_directory(revision: u64) -> Directory {
    let backends = vec![support::backend("e0"), support::backend("e1")];
    let mut directory = Directory::default();
    directory.replace(DirectorySnapshot { revision: revision.into(), backends }, RemovalCause::Gone);
    directory
}

/// Guards against: a node that publishes the same list again takes the engine to live longer than it does.
#[tokio::test(start_paused = true)]
async fn an_announcement_heard_again_does_not_move_the_end_back() {
    let (reclaims, began) = (EngineReclaims::default(), Instant::now());
    let mut announcements = reclaims.subscribe();
    reclaims.note_directory(&directory(1, Some(2_000)), began);
    assert!(announcements.has_changed().expect("it lives"));
    announcements.mark_unchanged();
    let gone_at = reclaims.gone_at(&"e0".into()).expect("announced");
    assert!(gone_at <= began + Duration::from_secs(2));
    reclaims.note_directory(&directory(2, Some(2_000)), began + Duration::from_secs(1));
    assert_eq!(reclaims.gone_at(&"e0".into()), Some(gone_at));
    assert!(!announcements.has_changed().expect("it lives"), "nobody is woken by the same announcement");
}

/// Guards against: announcements of engines that are gone are kept for ever.
#[tokio::test(start_paused = true)]
async fn only_listed_engines_that_named_a_time_are_kept() {
    let reclaims = EngineReclaims::default();
    reclaims.note_directory(&directory(1, None), Instant::now());
    assert_eq!(reclaims.gone_at(&"e0".into()), None);
    reclaims.note_directory(&directory(1, Some(500)), Instant::now());
    assert!(reclaims.gone_at(&"e0".into()).is_some());
    reclaims.retain(|backend| backend.as_str() != "e0");
    assert_eq!(reclaims.gone_at(&"e0".into()), None);
}

/// Guards against: an engine that took its announcement back, and is reclaimed later, counts as gone at the earlier
/// time, and nobody is woken.
#[tokio::test(start_paused = true)]
async fn a_cancelled_announcement_is_forgotten() {
    let (reclaims, began) = (EngineReclaims::default(), Instant::now());
    let mut announcements = reclaims.subscribe();
    reclaims.note_directory(&directory(1, Some(2_000)), began);
    announcements.mark_unchanged();
    reclaims.note_directory(&ready_directory(2), began);
    assert_eq!(reclaims.gone_at(&"e0".into()), None);
    let later = began + Duration::from_secs(60);
    reclaims.note_directory(&directory(3, Some(2_000)), later);
    assert!(reclaims.gone_at(&"e0".into()).is_some_and(|gone_at| gone_at > later));
    assert!(announcements.has_changed().expect("it lives"));
}
