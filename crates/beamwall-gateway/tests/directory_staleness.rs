//! Evidence against the list of back ends triggers a read of it: soon, by few nodes, and with backoff if the
//! reads find no change.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, RemovalCause, StalenessEvidence, StalenessTracker};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Number of gateways in one large zone.
const NODES: u16 = 300;
/// Number of gateways that watch the store on behalf of the zone.
const SELECTED_NODES: u16 = 2;

fn backend(number: u8) -> Backend {
    Backend {
        id: format!("b{number}").as_str().into(),
        instance: format!("b{number}").as_str().into(),
        born_ms: None,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000 + u16::from(number)).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        reclaimable: false,
        leaves_in_ms: None,
    }
}

fn listed(revision: u64, numbers: &[u8]) -> Directory {
    let mut directory = Directory::default();
    let backends = numbers.iter().map(|number| backend(*number)).collect();
    assert!(directory.replace(DirectorySnapshot { revision: revision.into(), backends }, RemovalCause::Gone));
    directory
}

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number).into()
}

#[test]
fn a_back_end_unreachable_for_long_is_evidence_and_one_that_answers_is_not() {
    let (staleness, directory, now) = (StalenessTracker::default(), listed(5, &[1, 2]), Instant::now());
    for tenth in 0..30 {
        let now = now + SECOND * tenth / 10;
        staleness.note_connect_failure(&"b1".into(), now);
        staleness.note_connect_failure(&"b2".into(), now);
        staleness.note_response(&"b2".into());
        let expected = (tenth >= 20).then(|| StalenessEvidence::Unreachable("b1".into()));
        assert_eq!(staleness.reason(&directory, true, now), expected, "after {tenth} tenths of a second");
    }
}

#[test]
fn a_back_end_unlisted_or_not_tried_for_long_is_no_evidence() {
    let (staleness, directory, now) = (StalenessTracker::default(), listed(5, &[1]), Instant::now());
    for second in 0..4 {
        staleness.note_connect_failure(&"b1".into(), now + SECOND * second);
        staleness.note_connect_failure(&"gone".into(), now + SECOND * second);
    }
    assert_eq!(staleness.reason(&listed(6, &[2]), true, now + SECOND * 4), None);
    assert_eq!(staleness.reason(&directory, true, now + SECOND * 60), None);
    staleness.note_connect_failure(&"b1".into(), now + SECOND * 60);
    assert_eq!(
        staleness.reason(&directory, true, now + SECOND * 60),
        None,
        "earlier attempts no longer count"
    );
}

/// Reads that find no change are repeated at growing intervals, since a machine that vanished stays listed
/// for a while.
#[test]
fn reads_that_find_no_change_become_rare() {
    let (staleness, directory, start) = (StalenessTracker::default(), listed(5, &[1]), Instant::now());
    let mut read_count = 0;
    for tenth in 0..6_000 {
        let now = start + SECOND * tenth / 10;
        staleness.note_connect_failure(&"b1".into(), now);
        if staleness.reason(&directory, true, now).is_some() {
            staleness.note_reload(false, now);
            read_count += 1;
        }
    }
    assert!((8..=16).contains(&read_count), "{read_count} reads in ten minutes");
}

/// In a large zone the list of one node differs. Only this node and the selected nodes of the zone read the
/// list.
#[test]
fn only_selected_nodes_and_the_one_that_differs_read_the_list() {
    let (right, wrong, now) = (listed(5, &[1, 2]), listed(5, &[1]), Instant::now());
    let list_of = |node: u16| if node == NODES - 1 { &wrong } else { &right };
    let reads = |node: u16| {
        let staleness = StalenessTracker::default();
        for other in (0..NODES).filter(|other| *other != node) {
            staleness.note_peer(peer(other), 5.into(), list_of(other).digest(), now);
        }
        assert_eq!(
            staleness.reason(list_of(node), node < SELECTED_NODES, now),
            None,
            "changes may still be in transit"
        );
        staleness.reason(list_of(node), node < SELECTED_NODES, now + SECOND).is_some()
    };
    let reading: Vec<u16> = (0..NODES).filter(|node| reads(*node)).collect();
    assert_eq!(reading, [0, 1, NODES - 1]);
}

#[test]
fn peers_at_other_revisions_or_silent_for_long_are_ignored() {
    let (staleness, directory, now) = (StalenessTracker::default(), listed(5, &[1]), Instant::now());
    staleness.note_peer(peer(1), 4.into(), 99, now);
    staleness.note_peer(peer(2), 6.into(), 99, now);
    assert_eq!(staleness.reason(&directory, true, now + SECOND), None);
    staleness.note_peer(peer(3), 5.into(), 99, now);
    assert_eq!(staleness.reason(&directory, true, now + SECOND), Some(StalenessEvidence::PeersDisagree(1)));
    assert_eq!(staleness.reason(&directory, true, now + SECOND * 5), None);
}

#[test]
fn a_list_that_differs_from_the_store_is_read_once() {
    let (staleness, directory, now) = (StalenessTracker::default(), listed(5, &[1]), Instant::now());
    staleness.note_store_disagrees();
    assert_eq!(staleness.reason(&directory, true, now), Some(StalenessEvidence::StoreDisagrees));
    staleness.note_reload(true, now);
    assert_eq!(staleness.reason(&directory, true, now + SECOND * 9), None);
}

/// Guards against: a draining back end, which refuses connections as it terminates, is taken for a fault of
/// the list.
#[test]
fn a_draining_back_end_that_refuses_connections_is_no_evidence() {
    let (staleness, mut directory, now) = (StalenessTracker::default(), listed(5, &[1]), Instant::now());
    let leaving = DirectoryChange::Changed(Backend { draining: true, ..backend(1) });
    directory.apply(
        5.into(),
        DirectoryChanges { revision: 6.into(), changes: vec![leaving] },
        RemovalCause::Gone,
    );
    for second in 0..5 {
        staleness.note_connect_failure(&"b1".into(), now + SECOND * second);
    }
    assert_eq!(staleness.reason(&directory, true, now + SECOND * 5), None);
}
