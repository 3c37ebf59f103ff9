//! Tests of policy changes: applying a change must give the same policy as the newer version itself.

mod support;

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_policy::{ChangeError, PolicyChange, PolicyHistory, Route, Shared, Tenant, TrafficPolicy};
use beamwall_seeds::on_seeds;

/// Names of routes and tenants in random policies; few, so that two versions have some in common.
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn route(name: &str, hold_limit_ms: u64) -> Route {
    Route { hold_limit_ms, ..support::route(name, &format!("/{name}/")) }
}

fn tenant(name: &str, rate_per_second: f64) -> Tenant {
    Tenant {
        name: name.into(),
        keys: vec![format!("key of {name}")],
        rank: None,
        rate_per_second,
        burst: rate_per_second,
        counts_tokens: true,
        plain_tokens: 200,
    }
}

/// Creates a policy with random routes and tenants, some of which occur more than once.
fn random_policy(version: u64, random: &mut Unstructured<'_>) -> Result<TrafficPolicy> {
    let mut policy = TrafficPolicy { version, ..TrafficPolicy::default() };
    for _ in 0..random.int_in_range(0..=8)? {
        let route = route(random.choose(&NAMES)?, random.int_in_range(1..=2)?);
        policy.routes.push(Shared::new(route));
    }
    for _ in 0..random.int_in_range(0..=4)? {
        // Rates with many decimals, as computed rates have, so that the test covers rounding in JSON.
        let rate = f64::from(random.int_in_range(1..=99_999_u32)?) / 7.0;
        policy.tenants.push(Shared::new(tenant(random.choose(&NAMES)?, rate)));
    }
    Ok(policy)
}

/// Content of a policy, independent of the order of its items.
fn sorted_items(policy: &TrafficPolicy) -> (u64, Vec<String>) {
    let routes = policy.routes.iter().map(|route| format!("{:?}", **route));
    let tenants = policy.tenants.iter().map(|tenant| format!("{:?}", **tenant));
    let mut sorted_items: Vec<String> = routes.chain(tenants).collect();
    sorted_items.sort();
    (policy.version, sorted_items)
}

#[test]
fn a_serialized_change_applied_to_its_base_gives_the_newer_version() {
    on_seeds(2_000, |random| {
        let base = random_policy(3, random)?;
        let newest = random_policy(9, random)?;
        let text = serde_json::to_string(&PolicyChange::between(&base, &newest)).expect("text");
        let change: PolicyChange = serde_json::from_str(&text).expect("a change");
        let result = change.apply(&base).expect("it applies");
        assert_eq!(sorted_items(&result), sorted_items(&newest));
        assert_eq!(result.digest(), newest.digest());
        Ok(())
    });
}

#[test]
fn a_change_applied_to_another_base_is_rejected() {
    let base = TrafficPolicy { version: 3, routes: vec![route("a", 1).into()], ..TrafficPolicy::default() };
    let newest = TrafficPolicy { version: 4, ..base.clone() };
    let change = PolicyChange::between(&base, &newest);
    let other = TrafficPolicy { version: 2, ..base.clone() };
    assert_eq!(change.apply(&other), Err(ChangeError::BaseMismatch(3, 2)));
    let differs = TrafficPolicy { routes: vec![route("b", 1).into()], ..base };
    assert_eq!(change.apply(&differs), Err(ChangeError::DigestMismatch(4)));
}

#[test]
fn a_change_of_one_route_does_not_grow_with_the_policy() {
    let many = |count: usize| (0..count).map(|number| Shared::new(route(&number.to_string(), 1))).collect();
    let size = |count| {
        let base = TrafficPolicy { version: 1, routes: many(count), ..TrafficPolicy::default() };
        let mut newest = TrafficPolicy { version: 2, ..base.clone() };
        newest.routes.push(route("added", 1).into());
        serde_json::to_string(&PolicyChange::between(&base, &newest)).expect("text").len()
    };
    // Digests and fingerprints have up to 20 digits, so the sizes may differ by a few bytes.
    assert!(size(5_000).abs_diff(size(10)) < 20, "{} and {}", size(10), size(5_000));
}

#[test]
fn the_history_returns_the_whole_policy_without_a_matching_base() {
    let history = PolicyHistory::default();
    assert!(history.change_from(0, 0).is_none());
    let version = |version| {
        Arc::new(TrafficPolicy {
            version,
            routes: vec![route("a", version).into()],
            ..TrafficPolicy::default()
        })
    };
    (1..=3).for_each(|number| history.push(version(number)));
    assert_eq!(history.newest_version(), Some(3));
    let from = |held: u64, digest| history.change_from(held, digest).expect("a change").base;
    assert_eq!(from(2, version(2).digest()), 2);
    assert_eq!(from(2, 77), 0, "another policy under the same number");
    assert_eq!(from(9, 77), 0, "a version that was never held");
}

#[test]
fn versions_share_equal_parts() {
    let earlier =
        TrafficPolicy { version: 1, routes: vec![route("a", 1).into()], ..TrafficPolicy::default() };
    let newer = TrafficPolicy {
        version: 2,
        routes: vec![route("b", 1).into(), route("a", 1).into()],
        ..TrafficPolicy::default()
    };
    let newer = newer.sharing_with(&earlier);
    assert!(Arc::ptr_eq(&newer.routes[1].content(), &earlier.routes[0].content()));
    assert_eq!(newer.routes[0].name, "b");
}
