//! The directory applies results of the store watch and snapshots of peers without missing or reverting a
//! change.

use std::collections::BTreeMap;

use arbtest::arbitrary::Unstructured;
use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, Reconciliation, RemovalCause};
use beamwall_model::{BackendId, StoreRevision};
use beamwall_seeds::on_seeds;

fn backend(number: u8, draining: bool) -> Backend {
    Backend {
        id: format!("b{number}").as_str().into(),
        instance: format!("b{number}").as_str().into(),
        born_ms: None,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000 + u16::from(number)).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining,
        reclaimable: false,
        leaves_in_ms: None,
    }
}

fn changes(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryChanges {
    DirectoryChanges { revision: revision.into(), changes }
}

fn listed(revision: u64, backends: Vec<Backend>) -> Directory {
    let mut directory = Directory::default();
    assert!(directory.replace(DirectorySnapshot { revision: revision.into(), backends }, RemovalCause::Gone));
    directory
}

#[test]
fn a_change_after_an_empty_watch_result_is_applied() {
    let mut directory = listed(46, vec![backend(1, false)]);
    // Objects of other kinds changed meanwhile, so the watch returned no changes at a higher revision.
    directory.apply(46.into(), changes(49, Vec::new()), RemovalCause::Gone);
    assert!(directory.apply(
        49.into(),
        changes(53, vec![DirectoryChange::Changed(backend(1, true))]),
        RemovalCause::Gone
    ));
    assert_eq!(directory.usable(&"model".into()).count(), 0);
}

#[test]
fn changes_after_a_revision_gap_are_refused() {
    let mut directory = listed(10, vec![backend(1, false)]);
    assert!(!directory.apply(
        12.into(),
        changes(13, vec![DirectoryChange::Gone("b1".into())]),
        RemovalCause::Gone
    ));
    assert_eq!(directory.revision(), 10);
}

#[test]
fn an_older_snapshot_from_a_peer_is_refused() {
    let mut directory = listed(10, vec![backend(1, true)]);
    assert!(!directory.replace(
        DirectorySnapshot { revision: 9.into(), backends: vec![backend(1, false)] },
        RemovalCause::Gone
    ));
    assert!(directory.backends().all(|known| known.draining));
}

/// Applies a random history through watch results of random length and snapshots at random revisions.
#[test]
fn any_mix_of_watch_results_and_snapshots_converges_to_the_history() {
    on_seeds(2_000, |random| {
        let history = draw_history(random)?;
        let last = history.len() as u64;
        let mut directory = Directory::default();
        let mut watched = 0;
        while watched < last {
            if random.arbitrary::<bool>()? {
                let at = random.int_in_range(1..=last)?;
                directory.replace(snapshot_at(&history, at), vanishing(random)?);
            } else {
                let until = random.int_in_range(watched + 1..=last)?;
                let vanishing = vanishing(random)?;
                directory.apply(watched.into(), changes_between(&history, watched, until), vanishing);
                watched = until;
            }
            let known: Vec<Backend> = directory.backends().cloned().collect();
            assert_eq!(known, snapshot_at(&history, directory.revision().number).backends);
            // Whichever entries have expired, no back end listed as draining is used.
            let service = "model".into();
            let leaving = |used: &Backend| known.iter().any(|one| one.id == used.id && one.draining);
            assert!(!directory.usable(&service).any(leaving));
        }
        assert_eq!(directory.revision(), last);
        Ok(())
    });
}

/// Each entry is the change of one revision; `None` is a change of an object of another kind.
type History = Vec<Option<DirectoryChange>>;

fn draw_history(random: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<History> {
    let length = random.int_in_range(1..=20)?;
    (0..length)
        .map(|_| {
            let number = random.int_in_range(1..=3)?;
            Ok(match random.int_in_range(0..=3)? {
                0 => None,
                1 => Some(DirectoryChange::Gone(backend(number, false).instance)),
                kind => Some(DirectoryChange::Changed(backend(number, kind == 2))),
            })
        })
        .collect()
}

fn snapshot_at(history: &History, revision: u64) -> DirectorySnapshot {
    let mut backends = BTreeMap::new();
    for change in history[..revision as usize].iter().flatten() {
        match change {
            DirectoryChange::Changed(backend) => backends.insert(backend.instance.clone(), backend.clone()),
            DirectoryChange::Gone(id) => backends.remove(id),
        };
    }
    DirectorySnapshot { revision: revision.into(), backends: backends.into_values().collect() }
}

fn changes_between(history: &History, from: u64, to: u64) -> DirectoryChanges {
    changes(to, history[from as usize..to as usize].iter().flatten().cloned().collect())
}

fn vanishing(random: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<RemovalCause> {
    Ok(if random.arbitrary()? { RemovalCause::Gone } else { RemovalCause::MaybeExpired })
}

/// Back ends can't renew their entries while the store is unavailable; they are listed again soon after its
/// return.
#[test]
fn entries_that_lapsed_are_used_until_they_are_listed_again_or_dropped() {
    let service = "model".into();
    let mut directory = listed(10, vec![backend(1, false), backend(2, true), backend(3, false)]);
    let gone = |number: u8| DirectoryChange::Gone(backend(number, false).instance);
    let all_gone = changes(20, vec![gone(1), gone(2), gone(3)]);
    assert!(directory.apply(10.into(), all_gone, RemovalCause::MaybeExpired));
    assert_eq!(directory.backends().count(), 0, "peers are sent only listed back ends");
    assert_eq!(directory.usable(&service).count(), 2, "one back end was draining");
    assert!(directory.get(&"b1".into()).is_some());
    let listed_again = changes(21, vec![DirectoryChange::Changed(backend(1, false))]);
    assert!(directory.apply(20.into(), listed_again, RemovalCause::MaybeExpired));
    assert_eq!((directory.usable(&service).count(), directory.expired()), (2, 1));
    assert!(directory.drop_expired());
    assert_eq!(directory.usable(&service).count(), 1);
    assert!(!directory.drop_expired());
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone() {
    let mut directory = listed(10, vec![backend(1, false)]);
    directory.apply(10.into(), changes(11, vec![DirectoryChange::Gone("b1".into())]), RemovalCause::Gone);
    assert!(directory.get(&"b1".into()).is_none());
}

/// A peer at any revision of the history gets either the changes up to the newest one or none at all.
#[test]
fn a_peer_that_applies_changes_converges_to_the_same_list() {
    let mut received = 0;
    on_seeds(2_000, |random| {
        let history = draw_history(random)?;
        let last = history.len() as u64;
        let mut directory = Directory::default();
        let mut watched = 0;
        while watched < last {
            let until = random.int_in_range(watched + 1..=last)?;
            if random.ratio(1, 4)? {
                directory.replace(snapshot_at(&history, until), RemovalCause::Gone);
            }
            directory.apply(watched.into(), changes_between(&history, watched, until), RemovalCause::Gone);
            watched = until;
            for held in 0..directory.revision().number {
                let Some(changes) = directory.changes_since(held.into()) else { continue };
                let mut peer = listed_at(&history, held);
                assert!(peer.apply(held.into(), changes, RemovalCause::Gone));
                assert_eq!(peer.snapshot(), directory.snapshot(), "from {held}");
                assert_eq!(peer.digest(), directory.digest());
                received += 1;
            }
        }
        Ok(())
    });
    assert!(received > 100, "{received} change lists applied");
}

fn listed_at(history: &History, revision: u64) -> Directory {
    let mut directory = Directory::default();
    directory.replace(snapshot_at(history, revision), RemovalCause::Gone);
    directory
}

#[test]
fn changes_from_long_ago_are_not_sent() {
    let mut directory = listed(1, vec![backend(1, false)]);
    for revision in 1..10_000 {
        let change = DirectoryChange::Changed(backend(1, revision % 2 == 0));
        directory.apply(revision.into(), changes(revision + 1, vec![change]), RemovalCause::Gone);
    }
    assert_eq!(directory.changes_since(1.into()), None);
    assert_eq!(directory.changes_since(9_990.into()).map(|changes| changes.changes.len()), Some(1));
    assert_eq!(directory.changes_since(10_000.into()), None);
}

/// The back end `b1` as started at `born_ms`, with a distinct address.
fn backend_started_at(born_ms: u64) -> Backend {
    let instance = "b1".into();
    let address = ([127, 0, 0, 2], 9_000 + born_ms as u16).into();
    Backend {
        id: BackendId::for_generation(&instance, Some(born_ms)),
        born_ms: Some(born_ms),
        address,
        ..backend(1, false)
    }
}

fn usable_ids(directory: &Directory) -> Vec<BackendId> {
    directory.usable(&"model".into()).map(|backend| backend.id.clone()).collect()
}

#[test]
fn a_restarted_back_end_with_the_same_name_is_a_different_one() {
    let mut directory = listed(10, vec![backend_started_at(1)]);
    let changed = |born_ms| vec![DirectoryChange::Changed(backend_started_at(born_ms))];
    assert!(directory.apply(10.into(), changes(11, changed(2)), RemovalCause::Gone));
    assert_eq!(usable_ids(&directory), [backend_started_at(2).id]);
    assert!(directory.get(&backend_started_at(1).id).is_none(), "the ended process gets no requests");
    assert_eq!(
        directory.get(&backend_started_at(2).id).map(|backend| backend.address),
        Some(backend_started_at(2).address)
    );
}

#[test]
fn entries_of_two_processes_in_the_wrong_order_lead_to_the_later_one() {
    let changed = |born_ms| DirectoryChange::Changed(backend_started_at(born_ms));
    let mut watched = listed(10, vec![backend_started_at(1)]);
    assert!(watched.apply(10.into(), changes(12, vec![changed(2), changed(1)]), RemovalCause::Gone));
    assert_eq!(usable_ids(&watched), [backend_started_at(2).id]);
    // A list with the last entry of the earlier process does not replace the newer one.
    assert!(watched.replace(
        DirectorySnapshot { revision: 13.into(), backends: vec![backend_started_at(1)] },
        RemovalCause::Gone
    ));
    assert_eq!(usable_ids(&watched), [backend_started_at(2).id]);
    let mut peer = listed(10, vec![backend_started_at(1)]);
    let received = watched.changes_since(12.into()).expect("known");
    assert!(peer.apply(10.into(), watched.changes_since(10.into()).expect("known"), RemovalCause::Gone));
    assert!(peer.apply(12.into(), received, RemovalCause::Gone) || peer.revision() == 13);
    assert_eq!(usable_ids(&peer), [backend_started_at(2).id]);
}

#[test]
fn outdated_changes_of_an_earlier_process_are_ignored_by_a_partitioned_node() {
    let mut directory = listed(10, vec![backend_started_at(1)]);
    directory.apply(
        10.into(),
        changes(15, vec![DirectoryChange::Changed(backend_started_at(2))]),
        RemovalCause::Gone,
    );
    let old =
        changes(12, vec![DirectoryChange::Changed(Backend { draining: true, ..backend_started_at(1) })]);
    assert!(!directory.apply(10.into(), old, RemovalCause::Gone));
    assert!(!directory.replace(
        DirectorySnapshot { revision: 12.into(), backends: vec![backend_started_at(1)] },
        RemovalCause::Gone
    ));
    assert_eq!(usable_ids(&directory), [backend_started_at(2).id]);
}

#[test]
fn pages_of_the_first_list_are_used_until_the_list_is_complete() {
    let mut directory = Directory::default();
    assert!(directory.use_partial_list(vec![backend(1, false)]));
    assert!(directory.use_partial_list(vec![backend(1, false), backend(2, true)]));
    let usable = |directory: &Directory| -> Vec<BackendId> {
        let mut usable: Vec<BackendId> =
            directory.usable(&"model".into()).map(|backend| backend.id.clone()).collect();
        usable.sort();
        usable
    };
    assert_eq!(usable(&directory), ["b1".into()]);
    assert_eq!(
        (directory.revision(), directory.digest()),
        (0.into(), 0),
        "peers are sent complete lists only"
    );
    assert!(directory.snapshot().backends.is_empty());
    // The first back end was gone by the time the complete list was read.
    let complete = DirectorySnapshot { revision: 7.into(), backends: vec![backend(3, false)] };
    assert!(directory.replace(complete, RemovalCause::Gone));
    assert_eq!(usable(&directory), ["b3".into()]);
    assert!(!directory.use_partial_list(vec![backend(1, false)]), "the complete list is known");
    assert_eq!(usable(&directory), ["b3".into()]);
}

/// A peer with an empty list receives everything, whichever pages were used here before the list was
/// complete.
#[test]
fn peers_receive_the_complete_list_after_its_pages_were_used() {
    let mut directory = Directory::default();
    directory.use_partial_list(vec![backend(1, false)]);
    let complete =
        DirectorySnapshot { revision: 7.into(), backends: vec![backend(1, false), backend(2, false)] };
    directory.replace(complete, RemovalCause::Gone);
    let mut peer = Directory::default();
    match directory.changes_since(0.into()) {
        Some(changes) => assert!(peer.apply(0.into(), changes, RemovalCause::Gone)),
        None => assert!(peer.replace(directory.snapshot(), RemovalCause::Gone)),
    }
    assert_eq!(peer.digest(), directory.digest());
}

/// Changes that a peer sends to a node with an empty list also form the complete list.
#[test]
fn changes_from_revision_zero_replace_the_pages_read_so_far() {
    let mut directory = Directory::default();
    directory.use_partial_list(vec![backend(1, false)]);
    assert!(directory.apply(0.into(), changes(7, Vec::new()), RemovalCause::Gone));
    assert_eq!(directory.usable(&"model".into()).count(), 0);
}

/// Guards against: back ends stay listed forever. Changes sent by a peer start at the requested revision and
/// omit back ends that were added and removed since.
#[test]
fn changes_sent_to_a_list_that_has_advanced_leave_no_stale_entries() {
    let mut peer = listed(10, vec![backend(1, false)]);
    // The peer reads the whole list and misses a back end that was added and removed in between.
    peer.replace(
        DirectorySnapshot { revision: 20.into(), backends: vec![backend(1, false)] },
        RemovalCause::Gone,
    );
    let mut own = listed(10, vec![backend(1, false)]);
    let received = peer.changes_since(own.revision()).expect("known");
    let came = DirectoryChange::Changed(backend(2, false));
    assert!(own.apply(10.into(), changes(15, vec![came]), RemovalCause::Gone));
    assert!(
        !own.apply_peer_changes(10.into(), received, RemovalCause::Gone),
        "the changes omit the removal of the other back end"
    );
    // Asked again for changes from the current revision, the peer has none.
    assert_eq!(peer.changes_since(own.revision()), None);
    assert!(own.replace(peer.snapshot(), RemovalCause::Gone));
    assert_eq!(own.snapshot(), peer.snapshot());
}

/// Guards against: a list that is wrong at the store's newest revision is never replaced.
#[test]
fn a_read_of_the_same_revision_replaces_a_list_that_differs() {
    let mut directory = listed(10, vec![backend(1, false)]);
    // A watch result had a later revision without the change that led to it.
    directory.apply(10.into(), changes(20, Vec::new()), RemovalCause::Gone);
    let read = DirectorySnapshot { revision: 20.into(), backends: vec![backend(2, false)] };
    assert!(
        !directory.clone().replace(read.clone(), RemovalCause::Gone),
        "a snapshot from a peer is applied only if it is newer"
    );
    assert_eq!(directory.reconcile(read.clone(), RemovalCause::Gone), Reconciliation::Changed);
    assert_eq!(directory.snapshot(), read);
    assert_eq!(directory.changes_since(10.into()), None, "the changes that led to it are not sent to peers");
    assert_eq!(directory.reconcile(read.clone(), RemovalCause::Gone), Reconciliation::Confirmed);
    let older = DirectorySnapshot { revision: 19.into(), backends: vec![backend(1, false)] };
    assert_eq!(directory.reconcile(older, RemovalCause::Gone), Reconciliation::Outdated);
    assert_eq!(directory.snapshot(), read);
}

/// Guards against: a list of a restored store counts as outdated since its revision is lower.
#[test]
fn a_list_of_a_later_era_replaces_one_of_a_higher_revision() {
    let later = StoreRevision::new(2, 69);
    let mut directory = listed(85, vec![backend(1, false), backend(2, false)]);
    let read = DirectorySnapshot { revision: later, backends: vec![backend(1, true), backend(2, false)] };
    assert_eq!(directory.reconcile(read, RemovalCause::Gone), Reconciliation::Changed);
    assert_eq!(directory.revision(), later);
    let former = DirectorySnapshot { revision: 90.into(), backends: vec![backend(1, false)] };
    assert!(!directory.replace(former.clone(), RemovalCause::Gone), "a peer holds the former list");
    assert_eq!(directory.reconcile(former, RemovalCause::Gone), Reconciliation::Outdated);
    assert!(!directory.apply(85.into(), changes(90, Vec::new()), RemovalCause::Gone));
}

/// Guards against: a peer that holds another revision is sent the changes that led into a new era.
#[test]
fn changes_into_a_new_era_apply_to_the_revision_that_they_follow_only() {
    let mut directory = listed(85, vec![backend(1, false)]);
    let later = DirectorySnapshot { revision: StoreRevision::new(2, 69), backends: vec![backend(1, true)] };
    assert!(directory.replace(later, RemovalCause::Gone));
    let told = directory.changes_since(85.into()).expect("the changes are logged");
    let mut peer = listed(85, vec![backend(1, false)]);
    assert!(peer.apply_peer_changes(85.into(), told, RemovalCause::Gone));
    assert_eq!((peer.revision(), peer.digest()), (directory.revision(), directory.digest()));
    for other in [StoreRevision::from(84), 86.into(), StoreRevision::new(2, 30), StoreRevision::new(2, 68)] {
        assert_eq!(directory.changes_since(other), None, "since {other}");
        assert_eq!(peer.changes_since(other), None, "since {other}, as a peer heard of it");
    }
}

/// Guards against: back ends whose entries a restored store lacks count as gone at once.
#[test]
fn back_ends_that_a_new_era_lacks_are_used_until_their_time_is_over() {
    let mut directory = listed(85, vec![backend(1, false), backend(2, true)]);
    let later = DirectorySnapshot { revision: StoreRevision::new(2, 9), backends: Vec::new() };
    assert!(directory.replace(later, RemovalCause::Gone));
    assert_eq!(directory.usable(&"model".into()).count(), 1, "the one that was leaving is not used");
    assert!(directory.drop_expired());
    assert_eq!(directory.usable(&"model".into()).count(), 0);
}
