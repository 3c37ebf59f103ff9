//! Tests of tenant limits: the shares of all nodes sum to at most the limit for any reported demands.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_config::Tenant;
use beamwall_model::{ServiceClass, TenantName};
use beamwall_routing::tenant_limit::{Demand, Work, share};
use beamwall_routing::{LimitExceeded, TenantLimits};

fn tenant(calls_per_second: u64) -> Tenant {
    Tenant {
        name: TenantName::new("alder"),
        path: "/alder".parse().expect("a path"),
        class: ServiceClass::Interactive,
        weight: 1,
        tokens_per_second: 1_000,
        calls_per_second,
        max_concurrent: 2_000_000,
        services: Vec::new(),
    }
}

fn shares_sum_to_one(input: &mut Unstructured<'_>) -> Result<()> {
    let nodes = input.int_in_range(1..=12)?;
    let limit = f64::from(input.int_in_range(1..=100_000_u32)?);
    let demands: Vec<f64> =
        (0..nodes).map(|_| Ok(f64::from(input.int_in_range(0..=200_000_u32)?))).collect::<Result<_>>()?;
    let shares = demands.iter().enumerate().map(|(own, demand)| {
        let others: Vec<f64> = demands
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != own)
            .map(|(_, demand)| *demand)
            .collect();
        share(*demand, &others, limit)
    });
    let total: f64 = shares.sum();
    assert!((total - 1.0).abs() < 1e-9, "shares sum to {total}");
    Ok(())
}

#[test]
fn shares_sum_to_the_limit() {
    for seed in 1..100_u64 {
        arbtest(shares_sum_to_one).seed((seed << 32) | 0x200);
    }
}

#[test]
fn six_nodes_together_admit_no_more_than_the_limit() {
    let limit = 600;
    let alder = tenant(limit);
    let nodes: Vec<TenantLimits> = (0..6).map(|_| TenantLimits::default()).collect();
    for node in &nodes {
        node.set_shares(&HashMap::new(), HashMap::new(), 5);
    }
    let mut admitted = 0_u64;
    let seconds = 5;
    let mut reported: Vec<HashMap<TenantName, Demand>> = vec![HashMap::new(); 6];
    for _ in 0..seconds {
        for (number, node) in nodes.iter().enumerate() {
            // The first node receives far more requests than the others.
            let requested = if number == 0 { 2_000 } else { 50 };
            admitted += (0..requested).filter(|_| node.open(&alder, Work::Call).is_ok()).count() as u64;
        }
        std::thread::sleep(Duration::from_millis(300));
        for (number, node) in nodes.iter().enumerate() {
            reported[number] = node.close_period(Duration::from_millis(300)).into_iter().collect();
        }
        for (own, node) in nodes.iter().enumerate() {
            let mut peers: HashMap<TenantName, Vec<Demand>> = HashMap::new();
            for (_, demands) in reported.iter().enumerate().filter(|(number, _)| *number != own) {
                for (tenant, demand) in demands {
                    peers.entry(tenant.clone()).or_default().push(*demand);
                }
            }
            node.set_shares(&reported[own], peers, 5);
        }
    }
    // The bound is a burst of one second at the start plus the rate times the elapsed time; the factor 1.5
    // allows for sleeps that take longer than requested.
    let elapsed = 1.0 + 0.3 * f64::from(seconds) * 1.5;
    assert!(admitted as f64 <= limit as f64 * elapsed, "{admitted} admitted, limit {limit} a second");
    assert!(admitted >= limit / 2, "only {admitted} admitted");
}

#[test]
fn a_rejection_over_the_limit_carries_a_retry_delay() {
    let limits = TenantLimits::default();
    let alder = tenant(10);
    let refused = (0..200).find_map(|_| limits.open(&alder, Work::Call).err()).expect("a refusal");
    match refused {
        LimitExceeded::Rate(after) => assert!(after > Duration::ZERO && after <= Duration::from_secs(1)),
        other => panic!("{other:?}"),
    }
}
