//! Evidence known to one node for one order: its own, that of nodes that report to it directly, and the sums
//! of other zones.

use std::collections::{BTreeMap, HashMap, HashSet};

use beamwall_model::{GenerationSet, NodeId, ZoneName, generation_hash};

use crate::evidence::Evidence;
use crate::zone_evidence::ZoneEvidence;

/// Evidence for one order, by where it comes from.
#[derive(Debug)]
pub struct KnownEvidence {
    /// Counts of this node.
    pub own: Evidence,
    /// Counts that nodes reported directly, by generation.
    nodes: HashMap<(NodeId, u64), Evidence>,
    /// Nodes that reported directly while the deployment was small and are part of other zones' sums now.
    remote_nodes: HashSet<NodeId>,
    zones: BTreeMap<ZoneName, ZoneEvidence>,
}

impl KnownEvidence {
    /// Evidence of a node of the given generation; the set is empty if the generation is not known.
    pub fn of_generation(generation: GenerationSet) -> Self {
        Self {
            own: Evidence { generations: generation, ..Evidence::default() },
            nodes: HashMap::new(),
            remote_nodes: HashSet::new(),
            zones: BTreeMap::new(),
        }
    }

    /// Merges the counts of one generation of another node.
    pub fn merge_node(&mut self, node: &NodeId, generation: u64, reported: &Evidence) {
        let known = self.nodes.entry((node.clone(), generation)).or_insert_with(|| {
            let generations = [generation_hash(node, generation)].into_iter().collect();
            Evidence { generations, ..Evidence::default() }
        });
        known.merge_max(reported);
    }

    /// Merges a sum of another zone.
    pub fn merge_zone(&mut self, zone: &ZoneName, reported: &Evidence) {
        self.zones.entry(zone.clone()).or_default().merge(reported);
    }

    /// Leaves what a node reported directly to the sums of its own zone.
    pub fn mark_remote(&mut self, node: &NodeId) {
        self.remote_nodes.insert(node.clone());
    }

    /// Counts of this node, to send to peers, which know its generation already.
    pub fn of_this_node(&self) -> Evidence {
        Evidence { generations: GenerationSet::default(), ..self.own.clone() }
    }

    /// Counts of this zone: of this node and of those that report to it directly.
    pub fn of_zone(&self) -> Evidence {
        Evidence::sum(std::iter::once(&self.own).chain(self.local_nodes()))
    }

    /// Counts of all nodes. Counts of a node that are also in the sum of a zone are taken once.
    pub fn of_all(&self) -> Evidence {
        let mut direct: Vec<&Evidence> = vec![&self.own];
        direct.extend(self.local_nodes());
        // A sum that names no generations may include any remote node.
        if !self.zones.values().any(ZoneEvidence::has_unnamed_sum) {
            direct.extend(self.remote_nodes());
        }
        let zones: Vec<Evidence> = self.zones.values().map(|zone| zone.total(&mut direct)).collect();
        Evidence::sum(direct.into_iter().chain(&zones))
    }

    fn local_nodes(&self) -> impl Iterator<Item = &Evidence> {
        self.nodes.iter().filter(|((node, _), _)| !self.remote_nodes.contains(node)).map(|(_, known)| known)
    }

    fn remote_nodes(&self) -> impl Iterator<Item = &Evidence> {
        self.nodes.iter().filter(|((node, _), _)| self.remote_nodes.contains(node)).map(|(_, known)| known)
    }
}
