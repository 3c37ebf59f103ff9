//! Open work that a relay passes on: that at engines in groups to who places there, the rest to all.

use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, Directory, RemovalCause};
use beamwall_model::ServiceName;
use beamwall_node::gateway::forwarded_loads::ForwardedLoads;
use beamwall_peer::gateway_message::BackendLoad;

/// Engines of each of two services: three groups.
const ENGINES: usize = 160;

fn backend(service: &str, number: usize) -> Backend {
    Backend {
        id: format!("{service}-{number}").as_str().into(),
        instance: format!("{service}-{number}").as_str().into(),
        born_ms: None,
        service: service.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        reclaimable: false,
        leaves_in_ms: None,
    }
}

fn directory(engines: usize) -> Directory {
    let of = |service: &'static str| (0..engines).map(move |number| backend(service, number));
    let mut directory = Directory::default();
    let backends = of("model").chain(of("plain")).collect();
    directory.replace(DirectorySnapshot { revision: 1.into(), backends }, RemovalCause::Gone);
    directory
}

fn loads(directory: &Directory) -> Vec<BackendLoad> {
    let load =
        |backend: &Backend| BackendLoad { backend: backend.id.to_string(), requests: 1, prompt_tokens: 0 };
    directory.backends().map(load).collect()
}

fn is_model(service: &ServiceName) -> bool {
    service.as_str() == "model"
}

#[test]
fn who_places_in_a_group_is_told_of_its_engines_and_all_of_the_other_back_ends() {
    let directory = directory(ENGINES);
    let names = ["n0", "n1", "n2"];
    // Another zone's node places in the second group.
    let placer = |group: beamwall_gateway::placement_groups::EngineGroup| {
        (group.number != 1).then(|| names[group.number as usize].into())
    };
    let sorted = ForwardedLoads::split_by_receiver(&loads(&directory), &directory, is_model, placer);
    assert_eq!(sorted.to_all.len(), ENGINES);
    assert!(sorted.to_all.iter().all(|load| load.backend.starts_with("plain")));
    let of = |number: u32| {
        let group = beamwall_gateway::placement_groups::EngineGroup { number, count: 3 };
        directory.usable_in_group(&"model".into(), group).count()
    };
    assert_eq!(sorted.to_placement_nodes[&"n0".into()].len(), of(0));
    assert_eq!(sorted.to_placement_nodes[&"n2".into()].len(), of(2));
    assert_eq!(sorted.to_placement_nodes.len(), 2);
}

#[test]
fn work_at_engines_that_are_not_divided_is_told_to_all() {
    let directory = directory(12);
    let sorted = ForwardedLoads::split_by_receiver(&loads(&directory), &directory, is_model, |_| None);
    assert_eq!(sorted.to_all.len(), 24);
    let mut unknown = loads(&directory);
    unknown[0].backend = "not-listed-yet".to_owned();
    assert_eq!(ForwardedLoads::split_by_receiver(&unknown, &directory, is_model, |_| None).to_all.len(), 24);
}
