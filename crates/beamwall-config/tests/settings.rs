//! Settings: every fault at once with its line, inheritance against a naive version, and one meaning
//! for one tree.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_config::{Change, ConfigTree, ProcessSettings, Setting, TreePath};

const NODE: &str = "[node]\nname = \"n\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n\
    peers = \"127.0.0.1:3\"\n[platform]\naddress = \"127.0.0.1:4\"\n[cloud]\naddress = \"127.0.0.1:5\"\n";

#[test]
fn every_fault_is_reported_at_once_with_file_line_key_and_what_is_allowed() {
    let text = "[node]\nname = \"n\"\nzone = 7\nthreads = 0\n[listen]\ncallers = \"here\"\noperators = \"127.0.0.1:2\"\n\
        peers = \"127.0.0.1:2\"\nextra = 1\n[unknown]\nkey = 1\n";
    let faults = ProcessSettings::parse("node.toml", text).expect_err("faults").0;
    let found: Vec<(usize, &str)> = faults.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    let expected = [
        (0, "platform.address"),
        (0, "cloud.address"),
        (3, "node.zone"),
        (4, "node.threads"),
        (6, "listen.callers"),
        (9, "listen.extra"),
        (10, "unknown"),
    ];
    assert_eq!(found, expected);
    assert!(faults.iter().all(|fault| fault.place == "node.toml" && !fault.allowed.is_empty()));
}

#[test]
fn good_settings_are_read_and_equal_addresses_refused() {
    let settings = ProcessSettings::parse("node.toml", NODE).expect("valid");
    assert_eq!((settings.node.as_str(), settings.zone.as_str(), settings.threads), ("n", "a", 2));
    let same = NODE.replace("127.0.0.1:3", "127.0.0.1:1");
    let faults = ProcessSettings::parse("node.toml", &same).expect_err("a fault").0;
    assert_eq!(faults[0].key, "listen.peers");
}

#[test]
fn broken_toml_names_the_line() {
    let faults =
        ProcessSettings::parse("node.toml", "[node]\nname = \"n\nzone = 1\n").expect_err("a fault").0;
    assert_eq!(faults[0].line, 2);
}

fn path(text: &str) -> TreePath {
    text.parse().expect("a path")
}

/// A random tree of groups and tenants that set some weights.
fn documents(input: &mut Unstructured<'_>) -> Result<BTreeMap<TreePath, String>> {
    let mut documents = BTreeMap::from([(path("/"), "kind = \"group\"\n".to_owned())]);
    let mut paths = vec!["/".to_owned()];
    for number in 0..input.int_in_range(1..=25_usize)? {
        let parent = paths[input.int_in_range(0..=paths.len() - 1)?].clone();
        let own = format!("{}/n{number}", parent.trim_end_matches('/'));
        if own.matches('/').count() > 10 {
            continue;
        }
        let kind = if input.arbitrary()? { "group" } else { "tenant" };
        let mut text = format!("kind = \"{kind}\"\n[tenant]\n");
        if input.arbitrary()? {
            text.push_str(&format!("weight = {}\n", input.int_in_range(1..=1_000)?));
        }
        if input.arbitrary()? {
            text.push_str(&format!("max_concurrent = {}\n", input.int_in_range(1..=9)?));
        }
        documents.insert(path(&own), text);
        paths.push(own);
    }
    Ok(documents)
}

/// Obviously right: walk from the node to the root and take the first document that has the line.
fn naive(documents: &BTreeMap<TreePath, String>, node: &TreePath, key: &str, default: i64) -> i64 {
    let mut current = Some(node.clone());
    while let Some(path) = current {
        let line = documents[&path].lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
        if let Some(value) = line {
            return value.parse().expect("a number");
        }
        current = path.parent();
    }
    default
}

fn property(input: &mut Unstructured<'_>) -> Result<()> {
    let documents = documents(input)?;
    let (tree, resolved) = ConfigTree::from_documents(&documents).expect("valid");
    for node in documents.keys() {
        for (key, default) in [("weight", 1), ("max_concurrent", 1_000)] {
            let origin = tree.explain(node, &format!("tenant.{key}")).expect("known");
            assert_eq!(origin.value, Setting::Integer(naive(&documents, node, key, default)), "{node} {key}");
        }
    }
    // The same documents, put one by one in another order, mean the same.
    let mut stepwise = ConfigTree::default();
    let mut digest = 0;
    let mut order: Vec<&TreePath> = documents.keys().collect();
    order.sort_by_key(|path| (path.lineage().len(), std::cmp::Reverse((*path).clone())));
    for path in order {
        let change = Change { path: path.clone(), text: Some(documents[path].clone()) };
        let (next, resolved) = stepwise.with_changes(&[change]).expect("valid");
        stepwise = next;
        digest = resolved.digest;
    }
    assert_eq!(digest, resolved.digest);
    Ok(())
}

#[test]
fn inheritance_agrees_with_a_walk_to_the_root() {
    for seed in 1..60_u64 {
        arbtest(property).seed((seed << 32) | 0x400);
    }
}

#[test]
fn an_edit_is_checked_against_the_whole_tree() {
    let base = BTreeMap::from([
        (path("/"), "kind = \"group\"\n".to_owned()),
        (path("/helper"), "kind = \"service\"\n".to_owned()),
        (path("/alder"), "kind = \"tenant\"\n[tenant]\nservices = [\"helper\"]\n".to_owned()),
    ]);
    let (tree, _) = ConfigTree::from_documents(&base).expect("valid");
    let delete = [Change { path: path("/helper"), text: None }];
    let faults = tree.with_changes(&delete).expect_err("a tenant still uses it").0;
    assert_eq!(faults[0].key, "tenant.services");
    let orphan = [Change { path: path("/a/b"), text: Some("kind = \"group\"\n".to_owned()) }];
    assert!(tree.with_changes(&orphan).is_err(), "a node needs its parent");
    let twice = [Change { path: path("/helper/alder"), text: Some("kind = \"tenant\"\n".to_owned()) }];
    assert!(tree.with_changes(&twice).is_err(), "a tenant name is used once");
}

#[test]
fn keys_are_found_by_digest_only() {
    use beamwall_config::{KeyDigest, KeyIndex};
    let mut index = KeyIndex::default();
    index.insert(KeyDigest::of("secret"), 1);
    assert_eq!(index.owner("secret"), Some(&1));
    assert_eq!(index.owner("Secret"), None);
    assert!(!format!("{:?}", KeyDigest::of("secret")).contains("secret"));
}

#[test]
fn the_operators_page_lists_exactly_the_known_keys() {
    use beamwall_config::gateway::GATEWAY_RULES;
    use beamwall_config::process::PROCESS_RULES;
    use beamwall_config::tree_rules::TREE_RULES;
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md"))
        .expect("the page");
    let listed = |from: &str, to: &str| -> Vec<String> {
        let section = page.split(from).nth(1).and_then(|rest| rest.split(to).next()).expect("the section");
        let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
        rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
    };
    let known = |rules: &[beamwall_config::rule::KeyRule]| -> Vec<String> {
        rules.iter().map(|rule| rule.key.to_owned()).collect()
    };
    assert_eq!(listed("## Settings of a node", "## Settings tree"), known(PROCESS_RULES));
    assert_eq!(listed("## Settings of a gateway", "## Logs"), known(GATEWAY_RULES));
    assert_eq!(listed("## Settings tree", "Tenants and services are named"), known(TREE_RULES));
}

#[test]
fn a_gateway_lists_every_fault_of_its_settings_at_once() {
    use beamwall_config::GatewaySettings;
    let text = "[node]\nname = \"n\"\nthreads = 0\n[listen]\ncallers = \"here\"\nreadiness = \"127.0.0.1:2\"\n\
        peers = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\n[usage]\nwindow_s = \"long\"\n[other]\nkey = 1\n";
    let faults = GatewaySettings::parse("gateway.toml", text).expect_err("faults").0;
    let found: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let expected =
        ["node.zone", "store.address", "node.threads", "listen.callers", "usage.window_s", "other"];
    assert_eq!(found, expected);
}

#[test]
fn a_gateway_refuses_one_address_for_two_listeners() {
    use beamwall_config::GatewaySettings;
    let text = "[node]\nname = \"n\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\n\
        readiness = \"127.0.0.1:1\"\npeers = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\n\
        [store]\naddress = \"127.0.0.1:9\"\n";
    let faults = GatewaySettings::parse("gateway.toml", text).expect_err("faults").0;
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].key, "listen.readiness");
    let whole = text.replace("readiness = \"127.0.0.1:1\"", "readiness = \"127.0.0.1:2\"");
    let settings = GatewaySettings::parse("gateway.toml", &whole).expect("valid");
    assert_eq!((settings.duties, settings.threads), (None, 1));
}
