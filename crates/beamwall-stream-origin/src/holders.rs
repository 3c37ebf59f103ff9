//! Chooses the nodes that hold a stream's origin: a few of the zone in which it began, where its caller most
//! likely returns, and a few of the other zones, in case the zone is lost.
//!
//! The choice is by rendezvous hash over the members that a node sees, so it needs no agreement: a node that
//! joins or leaves changes one holder of a few streams, and the others still hold them.

use std::collections::BTreeMap;

use beamwall_model::{ZoneName, rendezvous};

use crate::key::StreamKey;

/// Holders in the zone in which a stream began. One of them may be the node that began it.
pub const HOLDERS_IN_ZONE: usize = 4;
/// Holders in all other zones together.
pub const HOLDERS_ELSEWHERE: usize = 3;
/// Nodes of each zone that hold origins for other zones. The number bounds the connections between zones.
pub const FOREIGN_HOLDERS_PER_ZONE: usize = 4;
/// Key of the rendezvous hash for these nodes.
const FOREIGN_HOLDERS_KEY: &[u8] = b"stream origins of other zones";

/// A node that may hold origins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub node: &'a str,
    /// Its zone.
    pub zone: &'a ZoneName,
}

/// The nodes to which a node of `zone` sends the origin of a stream that began there.
pub fn holders<'a>(key: &StreamKey, zone: &ZoneName, nodes: &[Candidate<'a>]) -> Vec<&'a str> {
    let mut elsewhere = foreign_holders(nodes);
    elsewhere.retain(|candidate| candidate.zone != zone);
    let mut chosen = in_zone(key, zone, nodes);
    chosen.extend(choose(key.as_bytes(), &elsewhere, HOLDERS_ELSEWHERE));
    chosen.into_iter().map(|candidate| candidate.node).collect()
}

/// The nodes that a node of `zone` asks for the origin of a stream that began in any zone. They include its
/// holders: of the foreign holders, at most [`FOREIGN_HOLDERS_PER_ZONE`] are of the zone in which it began.
pub fn nodes_to_ask<'a>(key: &StreamKey, zone: &ZoneName, nodes: &[Candidate<'a>]) -> Vec<&'a str> {
    let asked_elsewhere = HOLDERS_ELSEWHERE + FOREIGN_HOLDERS_PER_ZONE;
    let mut chosen = in_zone(key, zone, nodes);
    for candidate in choose(key.as_bytes(), &foreign_holders(nodes), asked_elsewhere) {
        if !chosen.contains(&candidate) {
            chosen.push(candidate);
        }
    }
    chosen.into_iter().map(|candidate| candidate.node).collect()
}

fn in_zone<'a>(key: &StreamKey, zone: &ZoneName, nodes: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let of_zone: Vec<Candidate<'a>> =
        nodes.iter().filter(|candidate| candidate.zone == zone).copied().collect();
    choose(key.as_bytes(), &of_zone, HOLDERS_IN_ZONE)
}

/// The nodes of each zone that hold origins for other zones.
fn foreign_holders<'a>(nodes: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut by_zone: BTreeMap<&ZoneName, Vec<Candidate<'a>>> = BTreeMap::new();
    for candidate in nodes {
        by_zone.entry(candidate.zone).or_default().push(*candidate);
    }
    let of_zone = |nodes: Vec<Candidate<'a>>| choose(FOREIGN_HOLDERS_KEY, &nodes, FOREIGN_HOLDERS_PER_ZONE);
    by_zone.into_values().flat_map(of_zone).collect()
}

fn choose<'a>(key: &[u8], nodes: &[Candidate<'a>], count: usize) -> Vec<Candidate<'a>> {
    rendezvous::choose(key, nodes, count, |candidate| candidate.node).into_iter().copied().collect()
}
