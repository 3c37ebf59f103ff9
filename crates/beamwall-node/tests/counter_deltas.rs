//! Figures in heartbeats: each change arrives although heartbeats are lost, and what stays the same is seldom told.

use std::collections::BTreeMap;

use beamwall_node::gateway::counter_deltas::CounterDeltas;
use beamwall_seeds::on_seeds;

/// Heartbeats after a loss until a receiver knows all.
const CAUGHT_UP_AFTER: usize = 3;

#[test]
fn a_receiver_that_hears_again_knows_all_after_three_heartbeats() {
    on_seeds(2_000, |random| {
        let mut told = CounterDeltas::default();
        let mut counted = BTreeMap::new();
        let mut known = BTreeMap::new();
        let mut heard_in_a_row = 0;
        for _ in 0..40 {
            for _ in 0..random.int_in_range(0..=3)? {
                *counted.entry(random.int_in_range(0..=5_u8)?).or_insert(0_u64) += 1;
            }
            let heartbeat = told.next_report(counted.iter().map(|(key, count)| (*key, *count)).collect());
            if random.ratio(1, 3)? {
                heard_in_a_row = 0;
                continue;
            }
            known.extend(heartbeat);
            heard_in_a_row += 1;
            if heard_in_a_row >= CAUGHT_UP_AFTER {
                assert_eq!(known, counted);
            }
        }
        Ok(())
    });
}

#[test]
fn what_stays_the_same_is_told_in_every_third_heartbeat() {
    let mut told = CounterDeltas::default();
    let figures = || (0..16).map(|tenant| (tenant, 100)).collect::<Vec<_>>();
    let sizes: Vec<usize> = (0..9).map(|_| told.next_report(figures()).len()).collect();
    assert_eq!(sizes, [16, 16, 16, 16, 0, 0, 16, 0, 0]);
}
