//! Evidence known to one node for one order: its own, that of nodes that report to it directly, that of
//! generations that have ended, and the sums of other zones.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

use beamwall_model::{GenerationSet, NodeId, ZoneName, generation_hash};

use crate::ended_evidence::EndedEvidence;
use crate::evidence::Evidence;
use crate::node_evidence::{EndedGeneration, EndedReport, NodeEvidence};
use crate::zone_evidence::ZoneEvidence;

/// What the latest known generation of a node reported.
#[derive(Debug)]
struct LatestGeneration {
    zone: ZoneName,
    generation: u64,
    counts: Evidence,
    /// Whether it was taken for ended since its last report.
    has_ended: bool,
}

impl LatestGeneration {
    fn new(zone: &ZoneName, node: &NodeId, generation: u64) -> Self {
        let counts = Evidence::of_generation(generation_hash(node, generation));
        Self { zone: zone.clone(), generation, counts, has_ended: false }
    }
}

/// Evidence for one order, by where it comes from.
#[derive(Debug)]
pub struct KnownEvidence {
    /// Counts of this node.
    pub own: Evidence,
    own_zone: ZoneName,
    /// Counts that nodes reported directly.
    nodes: HashMap<NodeId, LatestGeneration>,
    /// Nodes that reported directly while the deployment was small and are part of other zones' sums now.
    remote_nodes: HashSet<NodeId>,
    /// Counts of generations that have ended, of this node too.
    ended: EndedEvidence,
    zones: BTreeMap<ZoneName, ZoneEvidence>,
}

impl KnownEvidence {
    /// Evidence of a node of the given zone and generation; the set is empty if the generation is not known.
    pub fn new(own_zone: ZoneName, generation: GenerationSet) -> Self {
        Self {
            own: Evidence { generations: generation, ..Evidence::default() },
            own_zone,
            nodes: HashMap::new(),
            remote_nodes: HashSet::new(),
            ended: EndedEvidence::default(),
            zones: BTreeMap::new(),
        }
    }

    /// Merges what a generation of another node reported.
    pub fn merge_node(&mut self, zone: &ZoneName, node: &NodeId, generation: u64, reported: &NodeEvidence) {
        self.merge_counts(zone, node, generation, &reported.counts);
        if let Some(ended) = &reported.ended {
            let is_told = |zone: &ZoneName| *zone == self.own_zone || !self.zones.contains_key(zone);
            self.ended.merge_report(ended, is_told);
        }
    }

    fn merge_counts(&mut self, zone: &ZoneName, node: &NodeId, generation: u64, counts: &Evidence) {
        let latest =
            self.nodes.entry(node.clone()).or_insert_with(|| LatestGeneration::new(zone, node, generation));
        if generation < latest.generation {
            self.ended.merge(zone, generation_hash(node, generation), counts);
            return;
        }
        if generation > latest.generation {
            let before = std::mem::replace(latest, LatestGeneration::new(zone, node, generation));
            self.ended.merge(&before.zone, generation_hash(node, before.generation), &before.counts);
        }
        latest.counts.merge_max(counts);
        latest.has_ended = false;
    }

    /// Notes that a node is gone, so that its counts are told to those that restart. If it reports again, its
    /// counts go on.
    pub fn note_ended(&mut self, node: &NodeId) {
        let Some(latest) = self.nodes.get_mut(node).filter(|latest| !latest.has_ended) else { return };
        latest.has_ended = true;
        self.ended.merge(&latest.zone, generation_hash(node, latest.generation), &latest.counts);
    }

    /// Merges a sum of another zone.
    pub fn merge_zone(&mut self, zone: &ZoneName, reported: &Evidence) {
        self.zones.entry(zone.clone()).or_default().merge(reported);
    }

    /// Leaves what a node reported directly to the sums of its own zone.
    pub fn mark_remote(&mut self, node: &NodeId) {
        self.remote_nodes.insert(node.clone());
    }

    /// Returns what this node reports to a single peer: its counts, and which ended generations it knows.
    pub fn report(&self) -> NodeEvidence {
        self.report_with(Vec::new())
    }

    /// Returns what this node reports to all its peers: in addition, counts that one of them lacks.
    pub fn report_to_all(&mut self) -> NodeEvidence {
        let seed = self.own.generations.as_slice().first().copied().unwrap_or_default();
        let told = self.ended.take_requested(seed);
        self.report_with(told)
    }

    fn report_with(&self, told: Vec<EndedGeneration>) -> NodeEvidence {
        let counts = Evidence { generations: GenerationSet::default(), ..self.own.clone() };
        NodeEvidence { counts, ended: Some(EndedReport { known: self.ended.list(), told }) }
    }

    /// Counts of this zone: of this node, of those that report to it directly, and of ended generations.
    pub fn of_zone(&self) -> Evidence {
        let is_local = |known: &&LatestGeneration| known.zone == self.own_zone;
        let running: Vec<&Evidence> =
            self.local_nodes().filter(is_local).map(|known| &known.counts).chain([&self.own]).collect();
        let ended: Vec<&Evidence> = self.ended.of_zones(|zone| *zone == self.own_zone).collect();
        Evidence::sum(each_generation_once(running, ended).iter().map(AsRef::as_ref))
    }

    /// Counts of all nodes. Counts of a node that are also in the sum of a zone are taken once.
    pub fn of_all(&self) -> Evidence {
        let mut running: Vec<&Evidence> = vec![&self.own];
        running.extend(self.local_nodes().map(|known| &known.counts));
        // A sum that names no generations may include any remote node.
        let has_unnamed_sum = self.zones.values().any(ZoneEvidence::has_unnamed_sum);
        if !has_unnamed_sum {
            running.extend(self.remote_nodes().map(|known| &known.counts));
        }
        let is_counted = |zone: &ZoneName| *zone == self.own_zone || !has_unnamed_sum;
        let generations = each_generation_once(running, self.ended.of_zones(is_counted).collect());
        let mut direct: Vec<&Evidence> = generations.iter().map(AsRef::as_ref).collect();
        let zones: Vec<Evidence> = self.zones.values().map(|zone| zone.total(&mut direct)).collect();
        Evidence::sum(direct.into_iter().chain(&zones))
    }

    fn local_nodes(&self) -> impl Iterator<Item = &LatestGeneration> {
        self.nodes.iter().filter(|(node, _)| !self.remote_nodes.contains(*node)).map(|(_, known)| known)
    }

    fn remote_nodes(&self) -> impl Iterator<Item = &LatestGeneration> {
        self.nodes.iter().filter(|(node, _)| self.remote_nodes.contains(*node)).map(|(_, known)| known)
    }
}

/// Counts of all generations. One may be among both: a peer may know earlier than this node that it has
/// ended, or it was taken for ended and runs on. Of its counts the larger ones are taken.
fn each_generation_once<'a>(running: Vec<&'a Evidence>, ended: Vec<&'a Evidence>) -> Vec<Cow<'a, Evidence>> {
    let running_count = running.len();
    let mut each: Vec<Cow<'a, Evidence>> = running.into_iter().map(Cow::Borrowed).collect();
    for counts in ended {
        let same = each[..running_count].iter_mut().find(|known| known.shares_generations(counts));
        match same {
            Some(known) => known.to_mut().merge_max(counts),
            None => each.push(Cow::Borrowed(counts)),
        }
    }
    each
}
