//! One token bucket replicated at all nodes: bounds, reports, restarts and partitions.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_gateway::quota::{QuotaLimiter, QuotaMembership, Tolerance};
use beamwall_model::{NodeId, TenantName};
use beamwall_policy::Tenant;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const RATE: f64 = 1_000.0;

fn tenant() -> Tenant {
    support::tenant(RATE)
}

fn node(number: usize) -> NodeId {
    NodeId::new(format!("n{number}"))
}

/// A limiter whose bucket is full.
fn full_limiter(membership: QuotaMembership, start: Instant) -> QuotaLimiter {
    let limiter = QuotaLimiter::new(0.0, membership.known);
    limiter.set_membership(membership, &[tenant()], start);
    limiter.set_membership(membership, &[tenant()], start + Duration::from_secs(10));
    limiter
}

fn is_admitted(limiter: &QuotaLimiter, amount: f64, now: Instant) -> bool {
    limiter.charge(&tenant(), amount, now).is_ok()
}

fn single_node() -> QuotaMembership {
    QuotaMembership::full_mesh(1, 1)
}

#[test]
fn a_full_bucket_admits_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let limiter = full_limiter(single_node(), start);
    let now = start + Duration::from_secs(10);
    assert!(is_admitted(&limiter, 600.0, now));
    limiter.take_report();
    assert!(is_admitted(&limiter, 400.0, now));
    limiter.take_report();
    assert!(!is_admitted(&limiter, 100.0, now));
    assert!(is_admitted(&limiter, 100.0, now + Duration::from_millis(100)));
}

#[test]
fn refused_work_is_admitted_after_the_retry_delay() {
    let start = Instant::now();
    let limiter = full_limiter(single_node(), start);
    let now = start + Duration::from_secs(10);
    assert!(is_admitted(&limiter, 1_000.0, now));
    limiter.take_report();
    let refused = limiter.charge(&tenant(), 500.0, now).expect_err("beyond the quota");
    assert_eq!(refused.retry_after, Duration::from_millis(500));
    assert!(is_admitted(&limiter, 500.0, now + refused.retry_after));
}

#[test]
fn work_larger_than_the_burst_is_admitted_by_a_full_bucket_and_charged_in_full() {
    let start = Instant::now();
    let limiter = full_limiter(single_node(), start);
    let now = start + Duration::from_secs(10);
    assert!(is_admitted(&limiter, 3_000.0, now));
    limiter.take_report();
    assert!(!is_admitted(&limiter, 10.0, now + Duration::from_millis(1_900)));
    assert!(is_admitted(&limiter, 10.0, now + Duration::from_millis(2_100)));
}

#[test]
fn usage_reported_by_a_peer_is_debited() {
    let start = Instant::now();
    let limiter = full_limiter(QuotaMembership::full_mesh(2, 2), start);
    let now = start + Duration::from_secs(10);
    limiter.merge_node_usage(&node(1), 1, HashMap::from([("alder".into(), 0.0)]), now);
    limiter.merge_node_usage(&node(1), 1, HashMap::from([("alder".into(), 900.0)]), now);
    assert!(!is_admitted(&limiter, 200.0, now));
    assert!(is_admitted(&limiter, 100.0, now));
}

/// Guards against: a node that replaces a lost machine debits all work that its peers have admitted since
/// their start from its new account, and refuses requests for minutes.
#[test]
fn usage_before_the_start_is_not_debited_at_a_new_node() {
    let start = Instant::now();
    let limiter = full_limiter(QuotaMembership::full_mesh(2, 2), start);
    let now = start + Duration::from_secs(10);
    // A probe response carries no usage; the following heartbeat does.
    limiter.merge_node_usage(&node(1), 1, HashMap::new(), now);
    limiter.merge_node_usage(&node(1), 1, HashMap::from([("alder".into(), 300_000.0)]), now);
    assert!(is_admitted(&limiter, 500.0, now));
}

#[test]
fn a_peer_that_started_later_is_counted_from_its_start() {
    let start = Instant::now();
    let limiter = full_limiter(QuotaMembership::full_mesh(2, 2), start).with_generation(5);
    let now = start + Duration::from_secs(10);
    limiter.merge_node_usage(&node(1), 6, HashMap::from([("alder".into(), 900.0)]), now);
    assert!(!is_admitted(&limiter, 200.0, now));
}

#[test]
fn a_refund_is_credited_here_and_at_the_peers() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let (here, there) = (
        full_limiter(QuotaMembership::full_mesh(2, 2), start),
        full_limiter(QuotaMembership::full_mesh(2, 2), start),
    );
    let charge = here.charge(&tenant(), 800.0, now).expect("it fits").expect("it is charged");
    there.merge_node_usage(&node(0), 1, HashMap::new(), now);
    there.merge_node_usage(&node(0), 1, HashMap::from([("alder".into(), 0.0)]), now);
    there.merge_node_usage(&node(0), 1, here.take_report().into_iter().collect(), now);
    assert!(!is_admitted(&there, 500.0, now));
    here.refund(&charge);
    there.merge_node_usage(&node(0), 1, here.take_report().into_iter().collect(), now);
    assert!(is_admitted(&there, 500.0, now));
    assert!(is_admitted(&here, 500.0, now));
}

#[test]
fn a_node_that_reaches_a_third_of_the_nodes_admits_a_third_of_the_rate() {
    let start = Instant::now();
    let membership = QuotaMembership::full_mesh(1, 3);
    let limiter = full_limiter(membership, start);
    let mut now = start + Duration::from_secs(10);
    let mut admitted = 0.0;
    for _ in 0..1_000 {
        now += Duration::from_millis(10);
        admitted += if is_admitted(&limiter, 10.0, now) { 10.0 } else { 0.0 };
        limiter.take_report();
    }
    // Ten seconds at a third of the rate, and the burst.
    assert!((3_000.0..=4_400.0).contains(&admitted), "{admitted}");
}

/// With any number of nodes, requests of any size at any node and delayed reports, the admitted work in every
/// window stays within rate, burst, slack and one request per node.
#[test]
fn all_nodes_together_stay_within_the_quota() {
    on_seeds(1_000, |random| {
        let nodes = random.int_in_range(1..=6_usize)?;
        let membership = QuotaMembership::full_mesh(nodes, nodes);
        let start = Instant::now();
        let limiters: Vec<QuotaLimiter> = (0..nodes).map(|_| full_limiter(membership, start)).collect();
        for (number, limiter) in limiters.iter().enumerate() {
            for other in (0..nodes).filter(|other| *other != number) {
                limiter.merge_node_usage(&node(other), 1, HashMap::from([("alder".into(), 0.0)]), start);
            }
        }
        let mut now = start + Duration::from_secs(10);
        let measured_from = now;
        let mut admitted = 0.0;
        for step in 0..300 {
            now += Duration::from_millis(10);
            let amount = f64::from(random.int_in_range(1..=400_u32)?);
            let at = random.int_in_range(0..=nodes - 1)?;
            admitted += if is_admitted(&limiters[at], amount, now) { amount } else { 0.0 };
            if step % 5 == 0 {
                let reports: Vec<_> =
                    limiters.iter().map(|limiter| limiter.take_report().into_iter().collect()).collect();
                for (number, limiter) in limiters.iter().enumerate() {
                    for (other, usage) in reports.iter().enumerate().filter(|(other, _)| *other != number) {
                        limiter.merge_node_usage(&node(other), 1, HashMap::clone(usage), now);
                    }
                }
            }
            let bound = RATE * (now - measured_from).as_secs_f64() + RATE + 400.0 * nodes as f64;
            assert!(admitted <= bound, "{admitted} of {bound} with {nodes} nodes");
        }
        Ok(())
    });
}

/// A large deployment: nodes of one zone report directly, other zones through summaries.
fn zoned(zones: usize, nodes_per_zone: usize) -> QuotaMembership {
    let all = zones * nodes_per_zone;
    QuotaMembership { reachable: all, known: all, direct: nodes_per_zone }
}

fn tenant_usage(total: f64) -> HashMap<TenantName, f64> {
    HashMap::from([("alder".into(), total)])
}

#[test]
fn usage_of_a_zone_is_debited_once_whichever_relay_reports_it() {
    let start = Instant::now();
    let limiter = full_limiter(zoned(2, 1), start);
    let now = start + Duration::from_secs(10);
    let report_sum = |relay: usize, generation: u64, total: f64| {
        limiter.merge_zone_usage(&"east".into(), &node(relay), generation, tenant_usage(total), now);
    };
    // The relays started at different times, so they report different sums for the same work.
    report_sum(1, 1, 5_000.0);
    report_sum(2, 1, 70.0);
    report_sum(1, 1, 5_300.0);
    report_sum(2, 1, 370.0);
    assert!(!is_admitted(&limiter, 701.0, now), "the other zone admitted 300");
    // One relay restarts; the sums of the other are ahead of it.
    report_sum(1, 2, 0.0);
    report_sum(2, 1, 570.0);
    report_sum(1, 2, 200.0);
    assert!(!is_admitted(&limiter, 501.0, now), "the other zone admitted 500");
    assert!(is_admitted(&limiter, 500.0, now));
}

#[test]
fn a_zone_admits_its_share_before_it_reports_and_the_rest_afterwards() {
    let start = Instant::now();
    let limiter = full_limiter(zoned(4, 1), start);
    let now = start + Duration::from_secs(10);
    assert!(is_admitted(&limiter, 150.0, now));
    limiter.take_report();
    let refused = limiter.charge(&tenant(), 200.0, now).expect_err("beyond a quarter of the level");
    assert!(!refused.retry_after.is_zero() && !refused.fits_after_report);
    assert!(is_admitted(&limiter, 200.0, now + Duration::from_millis(1_300)));
}

/// Zones receive each other's reports a second late. Whatever requests arrive where, all zones together stay
/// within rate, burst and one request per zone.
#[test]
fn zones_with_delayed_reports_stay_within_the_quota() {
    on_seeds(1_000, |random| {
        let zones = random.int_in_range(2..=5_usize)?;
        let start = Instant::now();
        let limiters: Vec<QuotaLimiter> = (0..zones).map(|_| full_limiter(zoned(zones, 1), start)).collect();
        let report_all = |sums: &[f64], now: Instant| {
            for (number, limiter) in limiters.iter().enumerate() {
                for (other, sum) in sums.iter().enumerate().filter(|(other, _)| *other != number) {
                    limiter.merge_zone_usage(
                        &format!("z{other}").as_str().into(),
                        &node(other),
                        1,
                        tenant_usage(*sum),
                        now,
                    );
                }
            }
        };
        report_all(&vec![0.0; zones], start);
        let mut now = start + Duration::from_secs(10);
        let measured_from = now;
        let mut admitted = 0.0;
        let mut in_flight = vec![vec![0.0; zones]; 10];
        for _ in 0..80 {
            now += Duration::from_millis(100);
            report_all(&in_flight.remove(0), now);
            for _ in 0..random.int_in_range(0..=6)? {
                let at = random.int_in_range(0..=zones - 1)?;
                let amount = f64::from(random.int_in_range(1..=100_u32)?);
                admitted += if is_admitted(&limiters[at], amount, now) { amount } else { 0.0 };
                limiters[at].take_report();
            }
            in_flight.push(limiters.iter().map(|limiter| limiter.sum_of_nodes()[0].1).collect());
            let bound = RATE * (now - measured_from).as_secs_f64() + RATE + 100.0 * zones as f64;
            assert!(admitted <= bound, "{admitted} of {bound} in {zones} zones");
        }
        Ok(())
    });
}

const TOLERANCE: Tolerance = Tolerance { sustained: 0.05, in_window: 0.1, at_start: 0.035, window: WINDOW };
const WINDOW: Duration = Duration::from_secs(8);
/// Tolerated excess in one window, as a share of the quota.
const OVERAGE: f64 = 0.1;

/// Whatever requests arrive and whenever nodes restart, no window exceeds the quota and its tolerance.
#[test]
fn no_window_exceeds_the_tolerance_whichever_nodes_restart() {
    on_seeds(10, |random| {
        let nodes = random.int_in_range(1..=7_usize)?;
        let membership = QuotaMembership::full_mesh(nodes, nodes);
        let start = Instant::now();
        let new_limiter = || QuotaLimiter::new(0.0, nodes).with_tolerance(TOLERANCE);
        let mut limiters: Vec<QuotaLimiter> = (0..nodes).map(|_| new_limiter()).collect();
        limiters.iter().for_each(|limiter| limiter.set_membership(membership, &[tenant()], start));
        let mut now = start;
        let mut admitted: Vec<(Instant, f64)> = Vec::new();
        let mut generations = vec![1_u64; nodes];
        let restart_all = random.int_in_range(0..=200_usize)?;
        for step in 0..200 {
            now += Duration::from_millis(100);
            if step == restart_all {
                for (position, limiter) in limiters.iter_mut().enumerate() {
                    *limiter = new_limiter();
                    limiter.set_membership(membership, &[tenant()], now);
                    generations[position] += 1;
                }
            }
            for (position, limiter) in limiters.iter().enumerate() {
                let amount = f64::from(random.int_in_range(1..=60_u32)?);
                while limiter.charge(&tenant(), amount, now).is_ok() {
                    admitted.push((now, amount));
                    // Reports are delivered at once, so that the excess comes from the tolerance alone.
                    let reports = limiter.take_report();
                    let peers = limiters.iter().enumerate().filter(|(other, _)| *other != position);
                    for (_, peer) in peers {
                        let usage = reports.iter().cloned().collect();
                        peer.merge_node_usage(&node(position), generations[position], usage, now);
                    }
                }
            }
        }
        let bound = (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + OVERAGE) + 60.0 * nodes as f64;
        for (window_start, _) in &admitted {
            let in_window =
                admitted.iter().filter(|(at, _)| *at >= *window_start && *at < *window_start + WINDOW);
            let sum: f64 = in_window.map(|(_, amount)| amount).sum();
            assert!(sum <= bound, "{sum} of {bound} in a window");
        }
        Ok(())
    });
}

/// Guards against: a tolerance makes nodes report at once while the tenant has more than half of its burst left.
#[test]
fn work_is_urgent_below_half_of_the_burst_whatever_the_tolerance() {
    let is_urgent = |amount: f64| {
        let start = Instant::now();
        let tolerance = Tolerance { sustained: 0.5, ..Tolerance::default() };
        let limiter = QuotaLimiter::new(0.0, 1).with_tolerance(tolerance);
        let membership = QuotaMembership::full_mesh(1, 1);
        limiter.set_membership(membership, &[tenant()], start);
        let now = start + Duration::from_secs(10);
        limiter.set_membership(membership, &[tenant()], now);
        limiter.charge(&tenant(), amount, now).expect("covered").expect("charged").is_urgent
    };
    assert!(!is_urgent(900.0), "600 of 1,500 are left");
    assert!(is_urgent(1_100.0), "400 are left");
}

#[test]
fn a_starting_node_has_its_share_of_the_startup_tolerance() {
    let start = Instant::now();
    let limiter = QuotaLimiter::new(0.0, 7).with_tolerance(TOLERANCE);
    limiter.set_membership(QuotaMembership::full_mesh(7, 7), &[tenant()], start);
    // A seventh of 3.5% of 9,000.
    assert!(!is_admitted(&limiter, 50.0, start));
    assert!(is_admitted(&limiter, 44.0, start));
}

/// Guards against: after a zone was partitioned, both sides refuse nearly everything for seconds, because
/// each debits all work admitted by the other although it was not credited with the other's share of the
/// rate.
#[test]
fn after_a_partition_both_sides_continue_with_the_remaining_quota() {
    let start = Instant::now();
    let sides = [
        full_limiter(QuotaMembership::full_mesh(2, 2), start),
        full_limiter(QuotaMembership::full_mesh(2, 2), start),
    ];
    let mut now = start + Duration::from_secs(10);
    let exchange_reports = |now: Instant| {
        for (number, peer) in [(0, 1), (1, 0)] {
            sides[peer].merge_node_usage(
                &node(number),
                1,
                sides[number].take_report().into_iter().collect(),
                now,
            );
        }
    };
    exchange_reports(now);
    // Partitioned for five seconds, with each side admitting as much as it may.
    sides.iter().for_each(|side| side.set_membership(QuotaMembership::full_mesh(1, 2), &[tenant()], now));
    for _ in 0..50 {
        now += Duration::from_millis(100);
        for side in &sides {
            while is_admitted(side, 10.0, now) {
                side.take_report();
            }
        }
    }
    sides.iter().for_each(|side| side.set_membership(QuotaMembership::full_mesh(2, 2), &[tenant()], now));
    exchange_reports(now);
    // Both sides have used the burst, so one burst is overdrawn; a second later the rate is admitted again.
    now += Duration::from_millis(1_200);
    let mut admitted = 0.0;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        for side in &sides {
            admitted += if is_admitted(side, 50.0, now) { 50.0 } else { 0.0 };
            exchange_reports(now);
        }
    }
    assert!((900.0..=1_300.0).contains(&admitted), "{admitted} in the second after the partition");
}

/// After a power failure all nodes start at once and reach each other a second later.
#[test]
fn nodes_that_start_together_keep_the_rate() {
    let mut now = Instant::now();
    let limiters: Vec<QuotaLimiter> =
        (0..4).map(|number| QuotaLimiter::new(0.0, 4).with_generation(10 + number as u64)).collect();
    limiters
        .iter()
        .for_each(|limiter| limiter.set_membership(QuotaMembership::full_mesh(1, 4), &[tenant()], now));
    let mut admitted = 0.0;
    for step in 0..40 {
        now += Duration::from_millis(100);
        for limiter in &limiters {
            let is_admitted = is_admitted(limiter, 25.0, now);
            admitted += if is_admitted && step >= 10 { 25.0 } else { 0.0 };
        }
        if step >= 10 {
            limiters.iter().for_each(|limiter| {
                limiter.set_membership(QuotaMembership::full_mesh(4, 4), &[tenant()], now)
            });
            let reports: Vec<HashMap<_, _>> =
                limiters.iter().map(|limiter| limiter.take_report().into_iter().collect()).collect();
            for (number, limiter) in limiters.iter().enumerate() {
                for (other, usage) in reports.iter().enumerate().filter(|(other, _)| *other != number) {
                    limiter.merge_node_usage(&node(other), 10 + other as u64, usage.clone(), now);
                }
            }
        }
    }
    assert!((2_500.0..=3_200.0).contains(&admitted), "{admitted} in the three seconds after the start");
}
