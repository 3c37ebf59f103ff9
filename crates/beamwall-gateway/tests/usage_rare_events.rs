//! Usage counts beside gateways of an earlier build.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use beamwall_gateway::usage::{PartialSum, UsageCheckpoint, UsageLedger, WindowCounts};
use beamwall_model::{ZoneName, generation_hash};

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
/// The window in which all requests of the forced orders of events start.
const WINDOW: u64 = 2;
/// Number of windows in a message.
const REPORTED_WINDOWS: usize = 3;

fn ledger(node: &str, generation: u64) -> UsageLedger {
    let zone = ZoneName::new(&node[..1]);
    UsageLedger::new(WINDOW_LENGTH).for_generation(&node.into(), generation).in_zone(&zone)
}

fn serve(ledger: &UsageLedger, count: u64) {
    for _ in 0..count {
        ledger.record(&"alder".into(), UNIX_EPOCH + WINDOW_LENGTH * WINDOW as u32);
    }
}

fn counted(count: u64) -> Vec<WindowCounts> {
    vec![WindowCounts { window: WINDOW, counts: BTreeMap::from([("alder".into(), count)]) }]
}

fn total(ledger: &UsageLedger) -> u64 {
    ledger.total(WINDOW).counts.values().sum()
}

/// A zone's sum as a relay of an earlier build tells it.
fn without_names(sum: PartialSum) -> PartialSum {
    PartialSum { generations: std::iter::empty().collect(), ..sum }
}

/// Guards against: the first holder of this build adds zones to an earlier build's checkpoint that includes them.
#[test]
fn a_checkpoint_of_an_earlier_build_includes_other_zones_once() {
    let served_in_a = ledger("a1", 1);
    serve(&served_in_a, 10);
    let served_in_b = ledger("b1", 2);
    serve(&served_in_b, 10);
    // A holder of an earlier build in zone a names the generations of its zone, and sums all zones.
    let lives = BTreeSet::from([generation_hash(&"a1".into(), 1)]);
    let stored = UsageCheckpoint { lives, windows: counted(20), ..UsageCheckpoint::default() };
    let successor = ledger("a2", 3);
    successor.restore_checkpoint(stored);
    successor.merge(&"a1".into(), 1, served_in_a.recent(REPORTED_WINDOWS));
    successor.merge_zone(&"b".into(), served_in_b.sum_of_nodes(REPORTED_WINDOWS));
    assert_eq!(total(&successor), 20);
}

/// Guards against: a sum of a relay of an earlier build, once stored, counts beside that of a relay of this build.
#[test]
fn a_stored_sum_of_an_earlier_relay_counts_once_beside_a_named_one() {
    let served_in_b = ledger("b1", 2);
    serve(&served_in_b, 10);
    let named = served_in_b.sum_of_nodes(REPORTED_WINDOWS);
    let holder = ledger("a1", 1);
    serve(&holder, 10);
    holder.merge_zone(&"b".into(), without_names(named.clone()));
    let successor = ledger("c1", 3);
    successor.restore_checkpoint(holder.to_checkpoint(0));
    successor.merge_zone(&"b".into(), named);
    assert_eq!(total(&successor), 20);
}

/// Guards against: a successor adds its own zone to a checkpoint that has it by a relay of an earlier build.
#[test]
fn a_stored_sum_of_an_earlier_relay_counts_once_beside_its_nodes() {
    let successor = ledger("b1", 2);
    serve(&successor, 10);
    let holder = ledger("a1", 1);
    serve(&holder, 10);
    holder.merge_zone(&"b".into(), without_names(successor.sum_of_nodes(REPORTED_WINDOWS)));
    successor.restore_checkpoint(holder.to_checkpoint(0));
    assert_eq!(total(&successor), 20);
}
