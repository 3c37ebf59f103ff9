//! Fair shares of engine time among tenants.

mod support;

use std::time::Duration;

use beamwall_admission::fair_shares::water_level;
use beamwall_seeds::on_seeds;
use support::{Groups, Policy, Source, run, share};

/// Part of its calm service that a tenant within its share keeps.
const KEPT_SERVICE: f64 = 0.95;
/// Tenants besides the ones that send too much.
const CALM_TENANTS: u32 = 12;
/// Tenants that send too much.
const GREEDY_TENANTS: u32 = 4;
/// Utilization of the engines on a calm day.
const CALM_UTILIZATION: f64 = 0.5;
const SECONDS: f64 = 6.0;

#[test]
fn unused_shares_pass_on() {
    assert_eq!(water_level(vec![(1.0, 1.0), (2.0, 1.0)], 4.0), f64::INFINITY);
    // One tenant asks for less than a third, the other two divide the rest.
    assert!((water_level(vec![(1.0, 1.0), (9.0, 1.0), (9.0, 1.0)], 7.0) - 3.0).abs() < 1e-9);
    // A tenant of twice the weight gets twice as much.
    assert!((water_level(vec![(9.0, 2.0), (9.0, 1.0)], 6.0) - 2.0).abs() < 1e-9);
}

/// Whatever the demands and weights, the shares together use the capacity and no more, and no tenant gets
/// more than it asked for.
#[test]
fn shares_never_exceed_the_capacity() {
    on_seeds(500, |random| {
        let tenants = random.int_in_range(0..=60_usize)?;
        let mut demands = Vec::new();
        for _ in 0..tenants {
            let demand = f64::from(random.int_in_range(0..=10_000_u32)?) / 100.0;
            let weight = f64::from(random.int_in_range(1..=1_000_u32)?) / 100.0;
            demands.push((demand, weight));
        }
        let capacity = f64::from(random.int_in_range(0..=20_000_u32)?) / 100.0;
        let level = water_level(demands.clone(), capacity);
        let used: f64 = demands.iter().map(|(demand, weight)| demand.min(weight * level)).sum();
        let asked: f64 = demands.iter().map(|(demand, _)| demand).sum();
        assert!((used - asked.min(capacity)).abs() < 1e-6, "{used} of {capacity} used, {asked} asked for");
        Ok(())
    });
}

/// Sources of `senders` gateways: 12 calm tenants and 4 that send `excess` times as much as they.
fn sources(senders: u32, engines: usize, excess: f64) -> Vec<Source> {
    let work = Duration::from_millis(60);
    let tenants = CALM_TENANTS + GREEDY_TENANTS;
    let calm_rate = engines as f64 * CALM_UTILIZATION / work.as_secs_f64() / f64::from(tenants);
    let of_tenant = |tenant: u32| {
        let rate = if tenant < CALM_TENANTS { calm_rate } else { calm_rate * excess };
        // Each tenant's requests come over its part of the senders.
        let own_senders = (senders / tenants).max(1);
        let source = Source {
            tenant,
            rate: rate / f64::from(own_senders),
            from_s: 0.0,
            until_s: SECONDS,
            work,
            objective: Duration::from_millis(800),
            patience: Duration::from_secs(5),
        };
        (0..own_senders).map(move |_| source)
    };
    (0..tenants).flat_map(of_tenant).collect()
}

fn calm_share_in_time(senders: u32, groups: Groups, excess: f64, policy: Policy) -> f64 {
    let sources = sources(senders, groups.count * groups.engines, excess);
    let outcomes = run(&sources, groups, policy, u64::from(senders));
    let calm: Vec<_> = outcomes.into_iter().filter(|outcome| outcome.tenant < CALM_TENANTS).collect();
    share(&calm, |outcome| outcome.in_time())
}

fn check_calm_tenants(senders: u32, count: usize, engines: usize) {
    let groups = Groups::steady(count, engines);
    let before = calm_share_in_time(senders, groups, 1.0, Policy::Controller);
    let beside = calm_share_in_time(senders, groups, 10.0, Policy::Controller);
    let baseline = calm_share_in_time(senders, groups, 10.0, Policy::AdmitAll);
    println!(
        "{senders} senders, {count} groups: {before:.3} calm, {beside:.3} beside others, {baseline:.3} admitting all"
    );
    assert!(beside >= before * KEPT_SERVICE, "{beside} beside others, {before} on a calm day");
    assert!(baseline < before * KEPT_SERVICE, "the load is not too much: {baseline}");
}

/// Load: 4 of 16 tenants send ten times their usual, over 6 gateways to 8 engines.
#[test]
fn a_tenant_within_its_share_keeps_its_service_with_6_senders() {
    check_calm_tenants(6, 1, 8);
}

/// Load: 4 of 16 tenants send ten times their usual, over 67 gateways to two groups of 45 engines.
#[test]
fn a_tenant_within_its_share_keeps_its_service_with_67_senders() {
    check_calm_tenants(67, 2, 45);
}

/// Load: 4 of 16 tenants send ten times their usual, over 300 gateways to 6 groups of 64 engines.
#[test]
fn a_tenant_within_its_share_keeps_its_service_with_300_senders() {
    check_calm_tenants(300, 6, 64);
}

/// Load: 4 of 16 tenants send ten times their usual, over 2,700 gateways to 157 groups of 64 engines.
#[test]
fn a_tenant_within_its_share_keeps_its_service_with_2700_senders() {
    check_calm_tenants(2_700, 157, 64);
}
