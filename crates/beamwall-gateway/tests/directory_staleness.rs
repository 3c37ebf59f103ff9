//! Evidence against the list of back ends triggers a read of it: soon, by few nodes, and with backoff if the
//! reads find no change.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, Doubt, ListDoubts, Vanishing};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Number of gateways in one large zone.
const NODES: u16 = 300;
/// Number of gateways that watch the store on behalf of the zone.
const WATCHERS: u16 = 2;

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
    }
}

fn listed(revision: u64, numbers: &[u8]) -> Directory {
    let mut directory = Directory::default();
    let backends = numbers.iter().map(|number| backend(*number)).collect();
    assert!(directory.replace(DirectorySnapshot { revision, backends }, Vanishing::Gone));
    directory
}

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number).into()
}

#[test]
fn a_back_end_unreachable_for_long_is_evidence_and_one_that_answers_is_not() {
    let (doubts, directory, now) = (ListDoubts::default(), listed(5, &[1, 2]), Instant::now());
    for tenth in 0..30 {
        let now = now + SECOND * tenth / 10;
        doubts.note_unreached(&"b1".into(), now);
        doubts.note_unreached(&"b2".into(), now);
        doubts.note_reached(&"b2".into());
        let expected = (tenth >= 20).then(|| Doubt::Unreached("b1".into()));
        assert_eq!(doubts.reason(&directory, true, now), expected, "after {tenth} tenths of a second");
    }
}

#[test]
fn a_back_end_unlisted_or_not_tried_for_long_is_no_evidence() {
    let (doubts, directory, now) = (ListDoubts::default(), listed(5, &[1]), Instant::now());
    for second in 0..4 {
        doubts.note_unreached(&"b1".into(), now + SECOND * second);
        doubts.note_unreached(&"gone".into(), now + SECOND * second);
    }
    assert_eq!(doubts.reason(&listed(6, &[2]), true, now + SECOND * 4), None);
    assert_eq!(doubts.reason(&directory, true, now + SECOND * 60), None);
    doubts.note_unreached(&"b1".into(), now + SECOND * 60);
    assert_eq!(doubts.reason(&directory, true, now + SECOND * 60), None, "earlier attempts no longer count");
}

/// Reads that find no change are repeated at growing intervals, since a machine that vanished stays listed
/// for a while.
#[test]
fn reads_that_find_no_change_become_rare() {
    let (doubts, directory, start) = (ListDoubts::default(), listed(5, &[1]), Instant::now());
    let mut read_count = 0;
    for tenth in 0..6_000 {
        let now = start + SECOND * tenth / 10;
        doubts.note_unreached(&"b1".into(), now);
        if doubts.reason(&directory, true, now).is_some() {
            doubts.note_read(false, now);
            read_count += 1;
        }
    }
    assert!((8..=16).contains(&read_count), "{read_count} reads in ten minutes");
}

/// In a large zone the list of one node differs. Only this node and the watchers of the zone read the list.
#[test]
fn only_watchers_and_the_node_that_differs_read_the_list() {
    let (right, wrong, now) = (listed(5, &[1, 2]), listed(5, &[1]), Instant::now());
    let list_of = |node: u16| if node == NODES - 1 { &wrong } else { &right };
    let reads = |node: u16| {
        let doubts = ListDoubts::default();
        for other in (0..NODES).filter(|other| *other != node) {
            doubts.note_peer(peer(other), 5, list_of(other).digest(), now);
        }
        assert_eq!(
            doubts.reason(list_of(node), node < WATCHERS, now),
            None,
            "changes may still be in transit"
        );
        doubts.reason(list_of(node), node < WATCHERS, now + SECOND).is_some()
    };
    let reading: Vec<u16> = (0..NODES).filter(|node| reads(*node)).collect();
    assert_eq!(reading, [0, 1, NODES - 1]);
}

#[test]
fn peers_at_other_revisions_or_silent_for_long_are_ignored() {
    let (doubts, directory, now) = (ListDoubts::default(), listed(5, &[1]), Instant::now());
    doubts.note_peer(peer(1), 4, 99, now);
    doubts.note_peer(peer(2), 6, 99, now);
    assert_eq!(doubts.reason(&directory, true, now + SECOND), None);
    doubts.note_peer(peer(3), 5, 99, now);
    assert_eq!(doubts.reason(&directory, true, now + SECOND), Some(Doubt::PeersDiffer(1)));
    assert_eq!(doubts.reason(&directory, true, now + SECOND * 5), None);
}

#[test]
fn a_list_that_differs_from_the_store_is_read_once() {
    let (doubts, directory, now) = (ListDoubts::default(), listed(5, &[1]), Instant::now());
    doubts.note_store_differs();
    assert_eq!(doubts.reason(&directory, true, now), Some(Doubt::StoreDiffers));
    doubts.note_read(true, now);
    assert_eq!(doubts.reason(&directory, true, now + SECOND * 9), None);
}

/// Guards against: a draining back end, which refuses connections as it terminates, is taken for a fault of
/// the list.
#[test]
fn a_draining_back_end_that_refuses_connections_is_no_evidence() {
    let (doubts, mut directory, now) = (ListDoubts::default(), listed(5, &[1]), Instant::now());
    let leaving = DirectoryChange::Changed(Backend { draining: true, ..backend(1) });
    directory.apply(5, DirectoryChanges { revision: 6, changes: vec![leaving] }, Vanishing::Gone);
    for second in 0..5 {
        doubts.note_unreached(&"b1".into(), now + SECOND * second);
    }
    assert_eq!(doubts.reason(&directory, true, now + SECOND * 5), None);
}
