//! The directory follows a store's watch and peers' snapshots: nothing is missed, nothing goes back.

use std::collections::BTreeMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, Vanishing};

fn backend(number: u8, draining: bool) -> Backend {
    Backend {
        id: format!("b{number}").as_str().into(),
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000 + u16::from(number)).into(),
        zone: "a".into(),
        slots: 4,
        draining,
        reclaimable: false,
    }
}

fn changes(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryChanges {
    DirectoryChanges { revision, changes }
}

fn listed(revision: u64, backends: Vec<Backend>) -> Directory {
    let mut directory = Directory::default();
    assert!(directory.replace(DirectorySnapshot { revision, backends }, Vanishing::Gone));
    directory
}

#[test]
fn a_change_after_a_quiet_wait_is_taken() {
    let mut directory = listed(46, vec![backend(1, false)]);
    // Other kinds of object changed meanwhile: the wait ended without changes at a higher revision.
    directory.apply(46, changes(49, Vec::new()), Vanishing::Gone);
    assert!(directory.apply(
        49,
        changes(53, vec![DirectoryChange::Changed(backend(1, true))]),
        Vanishing::Gone
    ));
    assert_eq!(directory.usable(&"model".into()).count(), 0);
}

#[test]
fn changes_that_do_not_follow_are_refused() {
    let mut directory = listed(10, vec![backend(1, false)]);
    assert!(!directory.apply(12, changes(13, vec![DirectoryChange::Gone("b1".into())]), Vanishing::Gone));
    assert_eq!(directory.revision(), 10);
}

#[test]
fn an_older_snapshot_of_a_peer_is_refused() {
    let mut directory = listed(10, vec![backend(1, true)]);
    assert!(
        !directory
            .replace(DirectorySnapshot { revision: 9, backends: vec![backend(1, false)] }, Vanishing::Gone)
    );
    assert!(directory.backends().all(|known| known.draining));
}

/// One true history; a watch that follows it in random steps, and snapshots of random moments.
#[test]
fn any_mix_of_watch_answers_and_snapshots_ends_at_the_truth() {
    arbtest(|random| {
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
                directory.apply(watched, changes_between(&history, watched, until), vanishing);
                watched = until;
            }
            let known: Vec<Backend> = directory.backends().cloned().collect();
            assert_eq!(known, snapshot_at(&history, directory.revision()).backends);
            // Whatever has lapsed, nothing that is listed as leaving is used.
            let service = "model".into();
            let leaving = |used: &Backend| known.iter().any(|one| one.id == used.id && one.draining);
            assert!(!directory.usable(&service).any(leaving));
        }
        assert_eq!(directory.revision(), last);
        Ok(())
    });
}

/// Each entry is the change of one revision; `None` is a change of something else.
type History = Vec<Option<DirectoryChange>>;

fn draw_history(random: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<History> {
    let length = random.int_in_range(1..=20)?;
    (0..length)
        .map(|_| {
            let number = random.int_in_range(1..=3)?;
            Ok(match random.int_in_range(0..=3)? {
                0 => None,
                1 => Some(DirectoryChange::Gone(backend(number, false).id)),
                kind => Some(DirectoryChange::Changed(backend(number, kind == 2))),
            })
        })
        .collect()
}

fn snapshot_at(history: &History, revision: u64) -> DirectorySnapshot {
    let mut backends = BTreeMap::new();
    for change in history[..revision as usize].iter().flatten() {
        match change {
            DirectoryChange::Changed(backend) => backends.insert(backend.id.clone(), backend.clone()),
            DirectoryChange::Gone(id) => backends.remove(id),
        };
    }
    DirectorySnapshot { revision, backends: backends.into_values().collect() }
}

fn changes_between(history: &History, from: u64, to: u64) -> DirectoryChanges {
    changes(to, history[from as usize..to as usize].iter().flatten().cloned().collect())
}

fn vanishing(random: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vanishing> {
    Ok(if random.arbitrary()? { Vanishing::Gone } else { Vanishing::MayHaveLapsed })
}

/// Back ends can't renew their entries while the store is away; they are listed again soon after its return.
#[test]
fn entries_that_lapsed_are_used_until_they_are_listed_again_or_dropped() {
    let service = "model".into();
    let mut directory = listed(10, vec![backend(1, false), backend(2, true), backend(3, false)]);
    let gone = |number: u8| DirectoryChange::Gone(backend(number, false).id);
    let all_gone = changes(20, vec![gone(1), gone(2), gone(3)]);
    assert!(directory.apply(10, all_gone, Vanishing::MayHaveLapsed));
    assert_eq!(directory.backends().count(), 0, "peers are told what is listed");
    assert_eq!(directory.usable(&service).count(), 2, "one had said that it leaves");
    assert!(directory.get(&"b1".into()).is_some());
    let listed_again = changes(21, vec![DirectoryChange::Changed(backend(1, false))]);
    assert!(directory.apply(20, listed_again, Vanishing::MayHaveLapsed));
    assert_eq!((directory.usable(&service).count(), directory.lapsed()), (2, 1));
    assert!(directory.drop_lapsed());
    assert_eq!(directory.usable(&service).count(), 1);
    assert!(!directory.drop_lapsed());
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone() {
    let mut directory = listed(10, vec![backend(1, false)]);
    directory.apply(10, changes(11, vec![DirectoryChange::Gone("b1".into())]), Vanishing::Gone);
    assert!(directory.get(&"b1".into()).is_none());
}

/// A peer that holds any revision of the history gets what leads it to the newest, or nothing at all.
#[test]
fn a_peer_that_is_told_what_changed_ends_at_the_truth() {
    let mut told = 0;
    arbtest(|random| {
        let history = draw_history(random)?;
        let last = history.len() as u64;
        let mut directory = Directory::default();
        let mut watched = 0;
        while watched < last {
            let until = random.int_in_range(watched + 1..=last)?;
            if random.ratio(1, 4)? {
                directory.replace(snapshot_at(&history, until), Vanishing::Gone);
            }
            directory.apply(watched, changes_between(&history, watched, until), Vanishing::Gone);
            watched = until;
            for held in 0..directory.revision() {
                let Some(changes) = directory.changes_since(held) else { continue };
                let mut peer = listed_at(&history, held);
                assert!(peer.apply(held, changes, Vanishing::Gone));
                assert_eq!(peer.snapshot(), directory.snapshot(), "from {held}");
                assert_eq!(peer.digest(), directory.digest());
                told += 1;
            }
        }
        Ok(())
    });
    assert!(told > 100, "{told} told");
}

fn listed_at(history: &History, revision: u64) -> Directory {
    let mut directory = Directory::default();
    directory.replace(snapshot_at(history, revision), Vanishing::Gone);
    directory
}

#[test]
fn what_changed_long_ago_is_not_told() {
    let mut directory = listed(1, vec![backend(1, false)]);
    for revision in 1..10_000 {
        let change = DirectoryChange::Changed(backend(1, revision % 2 == 0));
        directory.apply(revision, changes(revision + 1, vec![change]), Vanishing::Gone);
    }
    assert_eq!(directory.changes_since(1), None);
    assert_eq!(directory.changes_since(9_990).map(|changes| changes.changes.len()), Some(1));
    assert_eq!(directory.changes_since(10_000), None);
}
