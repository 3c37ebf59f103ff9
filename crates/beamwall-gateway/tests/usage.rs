//! Usage counts of several lives of several nodes.

use std::time::{Duration, UNIX_EPOCH};

use beamwall_gateway::usage::UsageLedger;

const WINDOW: Duration = Duration::from_secs(5);

fn second(number: u64) -> std::time::SystemTime {
    UNIX_EPOCH + Duration::from_secs(number)
}

#[test]
fn requests_count_in_the_window_in_which_they_began() {
    let ledger = UsageLedger::new(WINDOW);
    ledger.record(&"alder".into(), second(14));
    ledger.record(&"alder".into(), second(15));
    ledger.record(&"birch".into(), second(19));
    assert_eq!(ledger.total(2).counts, [("alder".into(), 1)].into());
    assert_eq!(ledger.total(3).counts, [("alder".into(), 1), ("birch".into(), 1)].into());
    assert_eq!(ledger.window_at(second(17)), (3, Duration::from_secs(2)));
}

#[test]
fn counts_of_killed_lives_stay_and_repeated_tellings_count_once() {
    let (here, before, after) =
        (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    before.record(&"alder".into(), second(11));
    here.merge(&"n1".into(), 1, before.recent(3));
    here.merge(&"n1".into(), 1, before.recent(3));
    // The node is killed and counts anew in its next life.
    after.record(&"alder".into(), second(12));
    after.record(&"alder".into(), second(13));
    here.merge(&"n1".into(), 2, after.recent(3));
    // A telling of the earlier life that arrives late changes nothing.
    here.merge(&"n1".into(), 1, before.recent(3));
    assert_eq!(here.total(2).counts, [("alder".into(), 3)].into());
}

#[test]
fn a_node_that_starts_learns_what_ended_lives_counted() {
    let (killed, survivor, started) =
        (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    killed.record(&"alder".into(), second(11));
    survivor.merge(&"n1".into(), 1, killed.recent(3));
    for _ in 0..2 {
        // Twice: what is known counts once.
        for (node, life, counts) in survivor.lives(3) {
            started.merge(&node, life, counts);
        }
    }
    started.record(&"alder".into(), second(12));
    assert_eq!(started.total(2).counts, [("alder".into(), 2)].into());
    assert_eq!(started.sum_of_nodes(3), started.sum_of_nodes(1), "one window");
}

#[test]
fn lives_that_ended_long_ago_are_forgotten() {
    let ledger = UsageLedger::new(WINDOW);
    for life in 0..100 {
        let counted = UsageLedger::new(WINDOW);
        counted.record(&"alder".into(), second(life * 5));
        ledger.merge(&"n1".into(), life, counted.recent(3));
    }
    assert!(ledger.lives(3).len() < 20);
    assert_eq!(ledger.total(99).counts, [("alder".into(), 1)].into());
}

#[test]
fn old_windows_are_forgotten() {
    let ledger = UsageLedger::new(WINDOW);
    for number in 0..100 {
        ledger.record(&"alder".into(), second(number * 5));
    }
    assert!(ledger.recent(100).len() < 20);
    assert_eq!(ledger.recent(2).iter().map(|counts| counts.window).collect::<Vec<_>>(), [99, 98]);
    assert_eq!(ledger.total(99).counts, [("alder".into(), 1)].into());
}

#[test]
fn a_zone_counts_once_whichever_relay_tells_its_sum() {
    let (here, there) = (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    here.record(&"alder".into(), second(11));
    there.record(&"alder".into(), second(11));
    let one = there.sum_of_nodes(3);
    there.record(&"alder".into(), second(12));
    here.merge_zone(&"east".into(), there.sum_of_nodes(3));
    // The sum of a relay that has heard less arrives later.
    here.merge_zone(&"east".into(), one);
    assert_eq!(here.total(2).counts, [("alder".into(), 3)].into());
    // What other zones told is not told to them again.
    assert_eq!(here.sum_of_nodes(3)[0].counts, [("alder".into(), 1)].into());
}
