//! Which of another zone's open work each node of this zone is told.
//!
//! Open work at engines that are divided into groups matters to the node that places in a group. Told to all, the busiest of
//! 300 nodes beside 3,000 engines, a relay, carried 2.9 MB a second in all; with this and shorter heartbeats 1.4 to 1.8.
//! Work at all other back ends, among which each node chooses for itself, is told to all.

use std::collections::HashMap;

use beamwall_gateway::Directory;
use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_model::{BackendId, NodeId, ServiceName};
use beamwall_peer::gateway_message::BackendLoad;

/// Open work, by who is told.
#[derive(Debug, Default, PartialEq)]
pub struct ForwardedLoads {
    /// Told to all nodes.
    pub to_all: Vec<BackendLoad>,
    /// Told beside to a node that places.
    pub to_placement_nodes: HashMap<NodeId, Vec<BackendLoad>>,
}

impl ForwardedLoads {
    /// Sorts open work. `is_placed` tells whether a node chooses among a service's engines for all, and `placer` which of this
    /// zone's nodes does so in a group, if one does.
    pub fn split_by_receiver(
        loads: &[BackendLoad],
        directory: &Directory,
        is_placed: impl Fn(&ServiceName) -> bool,
        mut placement_node: impl FnMut(EngineGroup) -> Option<NodeId>,
    ) -> Self {
        let mut sorted = Self::default();
        for load in loads {
            let id = BackendId::new(&load.backend);
            match group_of(directory, &id, &is_placed) {
                None => sorted.to_all.push(load.clone()),
                Some(group) => {
                    if let Some(node) = placement_node(group) {
                        sorted.to_placement_nodes.entry(node).or_default().push(load.clone());
                    }
                }
            }
        }
        sorted
    }
}

/// The group of an engine whose service is placed and divided.
fn group_of(
    directory: &Directory,
    id: &BackendId,
    is_placed: impl Fn(&ServiceName) -> bool,
) -> Option<EngineGroup> {
    let backend = directory.get(id)?;
    let groups = directory.groups(&backend.service)?;
    (groups.is_divided() && is_placed(&backend.service)).then(|| groups.group_of(id))
}
