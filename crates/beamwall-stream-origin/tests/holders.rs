//! The nodes that hold a stream's origin are among those that any node asks for it.

use arbtest::arbitrary::Unstructured;
use beamwall_model::ZoneName;
use beamwall_seeds::on_seeds;
use beamwall_stream_origin::StreamKey;
use beamwall_stream_origin::holders::{Candidate, HOLDERS_ELSEWHERE, HOLDERS_IN_ZONE, holders, nodes_to_ask};

struct Fleet {
    zones: Vec<ZoneName>,
    nodes: Vec<(String, usize)>,
}

impl Fleet {
    fn draw(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Self> {
        let zones = input.int_in_range(1..=25)?;
        let nodes = input.int_in_range(zones..=zones * 12)?;
        Ok(Self {
            zones: (0..zones).map(|zone| ZoneName::new(format!("zone-{zone}"))).collect(),
            nodes: (0..nodes).map(|node| (format!("node-{node}"), node % zones)).collect(),
        })
    }

    fn candidates(&self, is_alive: impl Fn(&str) -> bool) -> Vec<Candidate<'_>> {
        let alive = self.nodes.iter().filter(|(node, _)| is_alive(node));
        alive.map(|(node, zone)| Candidate { node, zone: &self.zones[*zone] }).collect()
    }
}

fn key(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<StreamKey> {
    Ok(StreamKey::of_stream(None, &input.arbitrary::<u64>()?.to_string()))
}

/// Guards against: a caller that comes to another zone meets a node that does not ask those that know its stream.
#[test]
fn a_node_of_any_zone_asks_holders_of_a_stream() {
    on_seeds(300, |input| {
        let (fleet, key) = (Fleet::draw(input)?, key(input)?);
        let (origin, asking) = (input.choose(&fleet.zones)?, input.choose(&fleet.zones)?);
        let nodes = fleet.candidates(|_| true);
        let held = holders(&key, origin, &nodes);
        let asked = nodes_to_ask(&key, asking, &nodes);
        let zone_of = |node: &str| nodes.iter().find(|candidate| candidate.node == node).map(|one| one.zone);
        let of_other_zones = held.iter().filter(|node| zone_of(node) != Some(origin));
        assert!(of_other_zones.clone().all(|node| asked.contains(node)), "{held:?} {asked:?}");
        if origin == asking {
            assert!(held.iter().all(|node| asked.contains(node)), "{held:?} {asked:?}");
        }
        assert!(held.len() <= HOLDERS_IN_ZONE + HOLDERS_ELSEWHERE);
        Ok(())
    });
}

/// Guards against: the end of the node that began a stream, or the start of another, moves the choice to nodes that know nothing.
#[test]
fn holders_are_asked_after_a_node_has_left_and_another_has_joined() {
    on_seeds(300, |input| {
        let (fleet, key) = (Fleet::draw(input)?, key(input)?);
        let zone = input.choose(&fleet.zones)?;
        let (gone, joined) = (input.choose(&fleet.nodes)?.0.as_str(), input.choose(&fleet.nodes)?.0.as_str());
        let before = fleet.candidates(|node| node != joined);
        let after = fleet.candidates(|node| node != gone);
        let held = holders(&key, zone, &before);
        let asked = nodes_to_ask(&key, zone, &after);
        let live: Vec<&&str> = held.iter().filter(|node| **node != gone).collect();
        let missed = live.iter().filter(|node| !asked.contains(**node)).count();
        assert!(missed <= 2, "{live:?} {asked:?}");
        assert!(live.is_empty() || missed < live.len(), "{live:?} {asked:?}");
        Ok(())
    });
}
