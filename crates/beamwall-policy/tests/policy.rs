//! Tests of the policy index: route lookup, API keys and weighted splits.

mod support;

use beamwall_policy::{PolicyIndex, Route, Shared, Tenant, TrafficPolicy, WeightedService};
use beamwall_seeds::on_seeds;
use support::route;

fn shared(routes: Vec<Route>) -> Vec<Shared<Route>> {
    routes.into_iter().map(Shared::new).collect()
}

fn index(routes: Vec<Route>) -> PolicyIndex {
    PolicyIndex::new(TrafficPolicy { version: 3, routes: shared(routes), ..TrafficPolicy::default() })
}

fn matched_route<'a>(index: &'a PolicyIndex, host: &str, path: &str) -> Option<&'a str> {
    index.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let index = index(vec![route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")]);
    assert_eq!(matched_route(&index, "a.example", "/a/b/c"), Some("long"));
    assert_eq!(matched_route(&index, "A.Example:8080", "/a/x"), Some("short"));
    assert_eq!(matched_route(&index, "a.example", "/a"), None);
    assert_eq!(matched_route(&index, "b.example", "/a/"), None);
}

#[test]
fn a_split_follows_its_weights() {
    let weighted = |name: &str, weight| WeightedService { service: name.into(), weight };
    let split = Route { targets: vec![weighted("one", 90), weighted("two", 10)], ..route("r", "/") };
    let to_two =
        (0..1_000).filter(|request_hash| split.service_for(*request_hash) == Some(&"two".into())).count();
    assert_eq!(to_two, 100);
    let empty = Route { targets: Vec::new(), ..route("r", "/") };
    assert_eq!(empty.service_for(1), None);
    let zero_weight = Route { targets: vec![weighted("one", 0)], ..route("r", "/") };
    assert_eq!(zero_weight.service_for(7), Some(&"one".into()));
}

#[test]
fn any_lookup_agrees_with_a_linear_search() {
    on_seeds(2_000, |random| {
        let prefixes = ["/", "/a/", "/a/b/", "/b/", "/a/b/c/"];
        let mut routes = Vec::new();
        for prefix in prefixes {
            if random.arbitrary()? {
                routes.push(route(prefix, prefix));
            }
        }
        let path = *random.choose(&["/", "/a/", "/a/b/x", "/b", "/a/b/c/d", "/z/"])?;
        let expected = routes
            .iter()
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
            .map(|route| route.name.clone());
        assert_eq!(matched_route(&index(routes), "a.example", path).map(str::to_owned), expected);
        Ok(())
    });
}

#[test]
fn keys_resolve_to_their_tenant_and_a_policy_round_trips_through_json() {
    let tenant = Tenant {
        name: "alder".into(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        rank: Some(1),
        rate_per_second: 5.0,
        burst: 5.0,
        counts_tokens: true,
        plain_tokens: 200,
    };
    let policy = TrafficPolicy {
        version: 7,
        routes: shared(vec![route("r", "/")]),
        tenants: vec![tenant.into()],
        ..Default::default()
    };
    let text = serde_json::to_string(&policy).expect("text");
    let read: TrafficPolicy = serde_json::from_str(&text).expect("a policy");
    assert_eq!(read, policy);
    let index = PolicyIndex::new(read);
    assert!(index.needs_keys());
    assert_eq!(index.tenant_by_key("k2").map(|tenant| tenant.name.as_str()), Some("alder"));
    assert!(index.tenant_by_key("k3").is_none());
}
