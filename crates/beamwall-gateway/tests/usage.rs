//! Usage counts of several nodes over several generations of their processes.

use std::time::{Duration, UNIX_EPOCH};

use beamwall_gateway::usage::{PartialSum, UsageLedger, WindowCounts};

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
fn counts_of_killed_processes_stay_and_repeated_reports_count_once() {
    let (here, before, after) =
        (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    before.record(&"alder".into(), second(11));
    here.merge(&"n1".into(), 1, before.recent(3));
    here.merge(&"n1".into(), 1, before.recent(3));
    // The node is killed and counts from zero in its next generation.
    after.record(&"alder".into(), second(12));
    after.record(&"alder".into(), second(13));
    here.merge(&"n1".into(), 2, after.recent(3));
    // A late report of the earlier generation has no effect.
    here.merge(&"n1".into(), 1, before.recent(3));
    assert_eq!(here.total(2).counts, [("alder".into(), 3)].into());
}

#[test]
fn a_starting_node_learns_the_counts_of_ended_processes() {
    let (killed, survivor, started) =
        (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    killed.record(&"alder".into(), second(11));
    survivor.merge(&"n1".into(), 1, killed.recent(3));
    for _ in 0..2 {
        // Merging twice counts once.
        for (node, generation, counts) in survivor.generations(3) {
            started.merge(&node, generation, counts);
        }
    }
    started.record(&"alder".into(), second(12));
    assert_eq!(started.total(2).counts, [("alder".into(), 2)].into());
    assert_eq!(started.sum_of_nodes(3), started.sum_of_nodes(1), "all requests are in one window");
}

#[test]
fn counts_of_processes_that_ended_long_ago_are_removed() {
    let ledger = UsageLedger::new(WINDOW);
    for generation in 0..100 {
        let counted = UsageLedger::new(WINDOW);
        counted.record(&"alder".into(), second(generation * 5));
        ledger.merge(&"n1".into(), generation, counted.recent(3));
    }
    assert!(ledger.generations(3).len() < 20);
    assert_eq!(ledger.total(99).counts, [("alder".into(), 1)].into());
}

#[test]
fn old_windows_are_removed() {
    let ledger = UsageLedger::new(WINDOW);
    for number in 0..100 {
        ledger.record(&"alder".into(), second(number * 5));
    }
    assert!(ledger.recent(100).len() < 20);
    assert_eq!(ledger.recent(2).iter().map(|counts| counts.window).collect::<Vec<_>>(), [99, 98]);
    assert_eq!(ledger.total(99).counts, [("alder".into(), 1)].into());
}

#[test]
fn a_zone_counts_once_whichever_relay_reports_its_sum() {
    let (here, there) = (UsageLedger::new(WINDOW), UsageLedger::new(WINDOW));
    here.record(&"alder".into(), second(11));
    there.record(&"alder".into(), second(11));
    let one = there.sum_of_nodes(3);
    there.record(&"alder".into(), second(12));
    here.merge_zone(&"east".into(), there.sum_of_nodes(3));
    // A smaller sum, from a relay with fewer reports, arrives later.
    here.merge_zone(&"east".into(), one);
    assert_eq!(here.total(2).counts, [("alder".into(), 3)].into());
    // Sums received from other zones are not sent back to them.
    assert_eq!(here.sum_of_nodes(3).windows[0].counts, [("alder".into(), 1)].into());
}

/// Guards against: usage is lost when all nodes end. The stored counts and those of later generations are
/// added up.
#[test]
fn stored_counts_are_carried_over_when_all_processes_end() {
    let before = UsageLedger::new(WINDOW).for_generation(&"n1".into(), 1);
    let other = UsageLedger::new(WINDOW).for_generation(&"n2".into(), 1);
    before.record(&"alder".into(), second(10));
    other.record(&"alder".into(), second(11));
    before.merge(&"n2".into(), 1, other.recent(3));
    let stored = before.to_checkpoint(2);
    let after = UsageLedger::new(WINDOW).for_generation(&"n1".into(), 2);
    after.restore_checkpoint(stored);
    after.record(&"alder".into(), second(13));
    assert_eq!(after.total(2).counts, [("alder".into(), 3)].into());
    // Carried over once more, with a generation that is also known from a peer.
    let last = UsageLedger::new(WINDOW).for_generation(&"n3".into(), 1);
    last.merge(&"n2".into(), 1, other.recent(3));
    last.restore_checkpoint(after.to_checkpoint(2));
    last.record(&"birch".into(), second(14));
    assert_eq!(last.total(2).counts, [("alder".into(), 3), ("birch".into(), 1)].into());
}

/// A new lease holder that has received the reports of running processes counts none of them twice, even if
/// they continued to count after their counts were stored.
#[test]
fn stored_counts_of_running_processes_count_once() {
    let lease_holder = UsageLedger::new(WINDOW).for_generation(&"n1".into(), 1);
    let successor = UsageLedger::new(WINDOW).for_generation(&"n2".into(), 1);
    lease_holder.record(&"alder".into(), second(10));
    successor.record(&"alder".into(), second(10));
    lease_holder.merge(&"n2".into(), 1, successor.recent(3));
    let stored = lease_holder.to_checkpoint(2);
    lease_holder.record(&"alder".into(), second(11));
    successor.record(&"alder".into(), second(12));
    successor.merge(&"n1".into(), 1, lease_holder.recent(3));
    successor.restore_checkpoint(stored);
    assert_eq!(successor.total(2).counts, [("alder".into(), 4)].into());
}

/// Whichever nodes are killed and when, no request is counted twice, and none is lost that was reported
/// before the counts were stored.
#[test]
fn totals_are_at_least_the_stored_counts_and_at_most_the_requests_run() {
    beamwall_seeds::on_seeds(2_000, |random| {
        let mut generations = [0_u64; 3];
        let new = |node: usize, generation: u64| {
            UsageLedger::new(WINDOW).for_generation(&format!("n{node}").as_str().into(), generation)
        };
        let mut nodes: Vec<UsageLedger> = (0..3).map(|node| new(node, 0)).collect();
        let (mut ran, mut stored, mut stored_total) = (0, None, 0);
        for _ in 0..random.int_in_range(1..=40)? {
            let node = random.int_in_range(0..=2)?;
            match random.int_in_range(0..=5)? {
                0..=2 => {
                    nodes[node].record(&"alder".into(), second(12));
                    ran += 1;
                }
                3 => {
                    let report = nodes[node].recent(3);
                    for other in (0..3).filter(|other| *other != node) {
                        nodes[other].merge(
                            &format!("n{node}").as_str().into(),
                            generations[node],
                            report.clone(),
                        );
                    }
                }
                4 => {
                    // One node takes over the duty and stores its counts.
                    nodes[node].restore_checkpoint(stored.take().unwrap_or_default());
                    let total = nodes[node].total(2).counts.values().sum();
                    assert!(total >= stored_total, "total {total} is below the stored {stored_total}");
                    assert!(total <= ran, "total {total} exceeds the {ran} requests run");
                    (stored, stored_total) = (Some(nodes[node].to_checkpoint(0)), total);
                }
                _ => {
                    generations[node] += 1;
                    nodes[node] = new(node, generations[node]);
                }
            }
        }
        Ok(())
    });
}

/// Guards against: what a zone counts after all nodes were killed is hidden by the stored sums from before.
#[test]
fn what_zones_count_after_all_nodes_were_killed_comes_on_top() {
    let sum = |generation, requests| PartialSum {
        generations: [generation].into_iter().collect(),
        windows: vec![WindowCounts { window: 2, counts: [("alder".into(), requests)].into() }],
    };
    let before = UsageLedger::new(WINDOW).for_generation(&"n1".into(), 1);
    before.merge_zone(&"b".into(), sum(1, 10));
    let after = UsageLedger::new(WINDOW).for_generation(&"n1".into(), 2);
    after.restore_checkpoint(before.to_checkpoint(2));
    after.merge_zone(&"b".into(), sum(2, 4));
    assert_eq!(after.total(2).counts, [("alder".into(), 14)].into());
}
