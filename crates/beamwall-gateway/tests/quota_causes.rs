//! A refusal tells whether the tenant's limit is used up or the node lacked knowledge of other nodes.
//!
//! Guards against: an operator cannot tell refusals of a tenant beyond its limit from refusals of work that
//! its limit covers.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use beamwall_gateway::quota::{QuotaLimiter, QuotaMembership, RefusalCause};
use beamwall_model::NodeId;
use beamwall_policy::Tenant;
use tokio::time::Instant;

const RATE: f64 = 1_000.0;
/// Time in which the bucket is full again.
const IDLE: Duration = Duration::from_secs(30);

fn tenant() -> Tenant {
    support::tenant(RATE)
}

/// A limiter whose bucket is full, and the time.
fn full_limiter(membership: QuotaMembership) -> (QuotaLimiter, Instant) {
    let start = Instant::now();
    let limiter = QuotaLimiter::new(0.0, membership.known);
    limiter.set_membership(membership, &[tenant()], start);
    limiter.set_membership(membership, &[tenant()], start + IDLE);
    (limiter, start + IDLE)
}

fn refusal_cause(limiter: &QuotaLimiter, amount: f64, now: Instant) -> RefusalCause {
    limiter.charge(&tenant(), amount, now).expect_err("beyond the quota").cause
}

#[test]
fn work_admitted_here_uses_the_limit_up() {
    let (limiter, now) = full_limiter(QuotaMembership::full_mesh(1, 1));
    assert!(limiter.charge(&tenant(), RATE, now).is_ok());
    assert_eq!(refusal_cause(&limiter, 10.0, now), RefusalCause::LimitUsed);
}

#[test]
fn work_reported_by_a_peer_uses_the_limit_up() {
    let (limiter, now) = full_limiter(QuotaMembership::full_mesh(2, 2));
    let peer = NodeId::new("n1");
    for total in [0.0, RATE] {
        limiter.merge_node_usage(&peer, 1, HashMap::from([("alder".into(), total)]), now);
    }
    assert_eq!(refusal_cause(&limiter, 10.0, now), RefusalCause::LimitUsed);
}

#[test]
fn work_that_peers_have_no_report_of_uses_the_share_up() {
    let (limiter, now) = full_limiter(QuotaMembership::full_mesh(4, 4));
    assert!(limiter.charge(&tenant(), 300.0, now).is_ok());
    assert_eq!(refusal_cause(&limiter, 300.0, now), RefusalCause::ShareUsed);
}

#[test]
fn work_of_a_zone_that_other_zones_have_no_report_of_uses_the_share_up() {
    let (limiter, now) = full_limiter(QuotaMembership { reachable: 4, known: 4, direct: 2 });
    assert!(limiter.charge(&tenant(), 400.0, now).is_ok());
    limiter.take_report();
    assert_eq!(refusal_cause(&limiter, 200.0, now), RefusalCause::ShareUsed);
}

#[test]
fn refill_of_unreachable_nodes_is_withheld() {
    let (limiter, now) = full_limiter(QuotaMembership::full_mesh(1, 1));
    assert!(limiter.charge(&tenant(), RATE, now).is_ok());
    limiter.take_report();
    limiter.set_membership(QuotaMembership::full_mesh(1, 4), &[tenant()], now);
    let later = now + Duration::from_millis(500);
    assert_eq!(refusal_cause(&limiter, 400.0, later), RefusalCause::Withheld);
    assert_eq!(refusal_cause(&limiter, 600.0, later), RefusalCause::LimitUsed);
}

#[test]
fn work_from_before_the_start_is_withheld_for_a_while() {
    let start = Instant::now();
    let limiter = QuotaLimiter::new(0.0, 1);
    limiter.set_membership(QuotaMembership::full_mesh(1, 1), &[tenant()], start);
    assert_eq!(refusal_cause(&limiter, 100.0, start), RefusalCause::Withheld);
    let (limiter, now) = full_limiter(QuotaMembership::full_mesh(1, 1));
    assert!(limiter.charge(&tenant(), RATE, now).is_ok());
    assert_eq!(refusal_cause(&limiter, 100.0, now), RefusalCause::LimitUsed);
}
