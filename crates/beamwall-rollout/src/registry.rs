//! The `RolloutRegistry`: the rollout orders known to one node, with their stages and the evidence
//! counted by this and other nodes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{
    BackendId, EngineVersion, GenerationSet, NodeId, ServiceName, StoreRevision, ZoneName, generation_hash,
};
use tokio::time::Instant;

use crate::evidence::Evidence;
use crate::known_evidence::KnownEvidence;
use crate::node_evidence::NodeEvidence;
use crate::order::{OrderId, RolloutOrder};
use crate::stage::{Stage, Verdict};
use crate::traffic;

/// Time after which a stage that is not sent again expires, and no requests go to the new version. It is
/// shorter than any time allowed for rolling back a bad version, and longer than a stage takes through
/// relays to other zones.
const STAGE_TTL: Duration = Duration::from_millis(3_500);

/// Time after a success in which no requests go to other versions, since their back ends are being
/// stopped. Later versions may be started without an order, and are then used like any other.
const OLD_VERSION_STOP_TIME: Duration = Duration::from_secs(15);

/// A rollout order, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderUpdate {
    /// The order.
    pub order: RolloutOrder,
    /// The store's revision at which the order was last read: of two orders for one service, the one
    /// with the higher revision is valid.
    pub revision: StoreRevision,
    /// Time since the order was first seen.
    pub age: Duration,
    /// The verdict, as far as the sender knows it.
    pub verdict: Verdict,
    /// Whether the operator has withdrawn the order.
    pub is_withdrawn: bool,
}

/// A stage, as sent by the node that holds the lease and forwarded by others.
#[derive(Debug, Clone, PartialEq)]
pub struct StageUpdate {
    /// The order.
    pub order: OrderId,
    /// Epoch of the lease and sequence number within it; the higher pair is newer.
    pub sequence: (u64, u64),
    /// The stage at the time it was sent.
    pub stage: Stage,
    /// Time since the stage was sent.
    pub age: Duration,
}

/// The version that a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any version but the new one.
    Old,
    /// Some back ends of the new version.
    Canary,
    /// The new version, which receives all requests.
    New,
}

/// Restricts the back ends of a request during a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    order: OrderId,
    stage: Stage,
    /// The version that the request goes to.
    pub version_choice: VersionChoice,
}

impl VersionRule {
    /// Whether back ends of a version may receive the request.
    pub fn allows(&self, version: &EngineVersion) -> bool {
        (*version == self.order.target) != (self.version_choice == VersionChoice::Old)
    }

    /// Returns the fallback rule for the same request, for use when no back end of the new version can
    /// take it.
    pub fn without_new(&self) -> Self {
        Self { version_choice: VersionChoice::Old, ..self.clone() }
    }

    /// Selects the back ends of the new version that receive requests.
    pub fn active_back_ends<'a>(&self, new: &[&'a BackendId]) -> Vec<&'a BackendId> {
        traffic::active_back_ends(&self.order, self.stage, new)
    }
}

#[derive(Debug)]
struct KnownOrder {
    order: RolloutOrder,
    revision: StoreRevision,
    started_at: Instant,
    verdict: Verdict,
    /// When this node observed the success; `None` if the order had already succeeded when this node
    /// received it.
    succeeded: Option<Instant>,
    is_withdrawn: bool,
    sequence: (u64, u64),
    stage: Stage,
    staged_at: Instant,
    evidence: KnownEvidence,
}

impl KnownOrder {
    fn new(order_update: OrderUpdate, evidence: KnownEvidence, now: Instant) -> Self {
        Self {
            started_at: now.checked_sub(order_update.age).unwrap_or(now),
            order: order_update.order,
            revision: order_update.revision,
            verdict: order_update.verdict,
            succeeded: None,
            is_withdrawn: order_update.is_withdrawn,
            sequence: (0, 0),
            stage: Stage::NONE,
            staged_at: now,
            evidence,
        }
    }

    /// Merges a verdict: the greater one in the order of [`Verdict`] replaces the other.
    fn advance_verdict(&mut self, verdict: Verdict, now: Instant) {
        if verdict > self.verdict {
            self.verdict = verdict;
            self.succeeded = (verdict == Verdict::Succeeded).then_some(now);
        }
    }

    fn is_past_stop_time(&self, now: Instant) -> bool {
        self.succeeded.is_none_or(|at| now.saturating_duration_since(at) > OLD_VERSION_STOP_TIME)
    }

    fn stage_now(&self, now: Instant) -> Stage {
        let elapsed = now.saturating_duration_since(self.staged_at);
        if elapsed > STAGE_TTL { Stage::NONE } else { self.stage.after(elapsed) }
    }

    fn rule(&self, request: Option<&str>, now: Instant) -> Option<VersionRule> {
        let all_to_new = Stage { share: 1.0, back_ends: usize::MAX, takes_all_in: Some(Duration::ZERO) };
        let (stage, version_choice) = match self.verdict {
            _ if self.is_withdrawn => return None,
            Verdict::Succeeded if self.is_past_stop_time(now) => return None,
            Verdict::Succeeded => (all_to_new, VersionChoice::New),
            Verdict::RolledBack => (Stage::NONE, VersionChoice::Old),
            Verdict::Running => {
                let stage = self.stage_now(now);
                let version_choice = match traffic::selects_new_version(&self.order.id, stage, request) {
                    true if stage.takes_all() => VersionChoice::New,
                    true => VersionChoice::Canary,
                    false => VersionChoice::Old,
                };
                (stage, version_choice)
            }
        };
        Some(VersionRule { order: self.order.id.clone(), stage, version_choice })
    }
}

/// The newest rollout order of each service, as known to one node.
#[derive(Debug)]
pub struct RolloutRegistry {
    known: Mutex<BTreeMap<ServiceName, KnownOrder>>,
    /// This node's generation; empty if it is not known.
    generation: GenerationSet,
    /// This node's zone.
    zone: ZoneName,
}

impl Default for RolloutRegistry {
    fn default() -> Self {
        Self { known: Mutex::default(), generation: GenerationSet::default(), zone: ZoneName::new("") }
    }
}

impl RolloutRegistry {
    /// Names the generation of the node that counts here, for sums that include its counts.
    #[must_use]
    pub fn for_generation(self, node: &NodeId, generation: u64) -> Self {
        Self { generation: [generation_hash(node, generation)].into_iter().collect(), ..self }
    }

    /// Names the zone of the node that counts here, whose ended generations its sums include.
    #[must_use]
    pub fn in_zone(self, zone: &ZoneName) -> Self {
        Self { zone: zone.clone(), ..self }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, KnownOrder>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges an order from the store or a peer; returns whether it changed anything.
    pub fn merge_order(&self, order_update: OrderUpdate, now: Instant) -> bool {
        let mut registry = self.lock();
        let service = order_update.order.id.service.clone();
        let Some(known) = registry.get_mut(&service) else {
            registry.insert(service, self.known_order(order_update, now));
            return true;
        };
        if known.order.id != order_update.order.id {
            let is_newer = order_update.revision > known.revision;
            if is_newer {
                *known = self.known_order(order_update, now);
            }
            return is_newer;
        }
        let before = (known.verdict, known.is_withdrawn, known.order.interval);
        // The node that saw the order first has the best estimate of when it was placed.
        known.started_at = known.started_at.min(now.checked_sub(order_update.age).unwrap_or(now));
        known.advance_verdict(order_update.verdict, now);
        if order_update.revision >= known.revision {
            known.revision = order_update.revision;
            known.order.interval = order_update.order.interval;
            known.is_withdrawn = order_update.is_withdrawn;
        }
        before != (known.verdict, known.is_withdrawn, known.order.interval)
    }

    fn known_order(&self, order_update: OrderUpdate, now: Instant) -> KnownOrder {
        let evidence = KnownEvidence::new(self.zone.clone(), self.generation.clone());
        KnownOrder::new(order_update, evidence, now)
    }

    /// Marks orders as withdrawn that the store no longer lists.
    pub fn withdraw_unlisted(&self, listed: &[ServiceName], revision: StoreRevision) -> bool {
        let mut changed = false;
        for (service, known) in self.lock().iter_mut() {
            if !listed.contains(service) && known.revision < revision && !known.is_withdrawn {
                known.is_withdrawn = true;
                known.revision = revision;
                changed = true;
            }
        }
        changed
    }

    /// Merges a stage that the lease holder decided or that a peer forwarded.
    pub fn merge_stage(&self, stage_update: &StageUpdate, now: Instant) -> bool {
        let mut registry = self.lock();
        let Some(known) = registry.get_mut(&stage_update.order.service) else { return false };
        if known.order.id != stage_update.order || stage_update.sequence <= known.sequence {
            return false;
        }
        known.sequence = stage_update.sequence;
        known.stage = stage_update.stage;
        known.staged_at = now.checked_sub(stage_update.age).unwrap_or(now);
        true
    }

    /// Merges a verdict that this node reached or received.
    pub fn merge_verdict(&self, order: &OrderId, verdict: Verdict, now: Instant) -> bool {
        let mut registry = self.lock();
        let known = registry.get_mut(&order.service).filter(|known| known.order.id == *order);
        let Some(known) = known.filter(|known| known.verdict < verdict) else { return false };
        known.advance_verdict(verdict, now);
        true
    }

    /// Returns all orders, to send to peers.
    pub fn orders(&self, now: Instant) -> Vec<OrderUpdate> {
        let to_update = |known: &KnownOrder| OrderUpdate {
            order: known.order.clone(),
            revision: known.revision,
            age: now.saturating_duration_since(known.started_at),
            verdict: known.verdict,
            is_withdrawn: known.is_withdrawn,
        };
        self.lock().values().map(to_update).collect()
    }

    /// Returns the stages that have not expired, to send to peers.
    pub fn stages(&self, now: Instant) -> Vec<StageUpdate> {
        let registry = self.lock();
        let is_valid = |known: &&KnownOrder| {
            known.verdict == Verdict::Running && now.saturating_duration_since(known.staged_at) <= STAGE_TTL
        };
        let to_update = |known: &KnownOrder| StageUpdate {
            order: known.order.id.clone(),
            sequence: known.sequence,
            stage: known.stage,
            age: now.saturating_duration_since(known.staged_at),
        };
        registry.values().filter(is_valid).filter(|known| known.sequence > (0, 0)).map(to_update).collect()
    }

    /// Returns the rule for a request; `None` if it may go to any back end.
    pub fn rule(&self, service: &ServiceName, request: Option<&str>, now: Instant) -> Option<VersionRule> {
        self.lock().get(service)?.rule(request, now)
    }

    /// Whether a version of a service was rolled back, so that no requests may go to it.
    pub fn is_rolled_back(&self, service: &ServiceName, version: &EngineVersion) -> bool {
        self.lock().get(service).is_some_and(|known| {
            known.verdict == Verdict::RolledBack && !known.is_withdrawn && known.order.id.target == *version
        })
    }

    /// Whether a rollout of a service is running. Back ends of both versions are then needed, so neither
    /// are surplus.
    pub fn is_running(&self, service: &ServiceName) -> bool {
        let registry = self.lock();
        registry.get(service).is_some_and(|known| known.verdict == Verdict::Running && !known.is_withdrawn)
    }

    /// Counts a request to a service.
    pub fn note_request(&self, service: &ServiceName) {
        if let Some(known) = self.lock().get_mut(service) {
            known.evidence.own.requests += 1;
        }
    }

    /// Counts a request that is sent to a back end of the given version.
    pub fn note_sent(&self, service: &ServiceName, version: &EngineVersion) {
        if let Some(known) = self.lock().get_mut(service) {
            known.evidence.own.exposed += u64::from(known.order.id.target == *version);
        }
    }

    /// Counts an answer from a back end of the given version.
    pub fn note_answer(
        &self,
        service: &ServiceName,
        route: &str,
        back_end: &BackendId,
        version: &EngineVersion,
        is_bad: bool,
    ) {
        let mut registry = self.lock();
        let Some(known) = registry.get_mut(service) else { return };
        let is_new = known.order.id.target == *version;
        let answers = if is_new { &mut known.evidence.own.new } else { &mut known.evidence.own.old };
        answers.entry((route.to_owned(), back_end.clone())).or_default().note(is_bad);
    }

    /// Returns what this node counted for each running order, and what it knows of ended generations, to
    /// send to all peers. What a peer lacks is contained in one such report only.
    pub fn own_evidence(&self) -> Vec<(OrderId, NodeEvidence)> {
        self.collect(KnownEvidence::report_to_all)
    }

    /// Returns what this node counted for each running order, and which ended generations it knows, to send
    /// to a single peer.
    pub fn own_evidence_for_one_peer(&self) -> Vec<(OrderId, NodeEvidence)> {
        self.collect(|known| known.report())
    }

    /// Returns the counts of this node, of all nodes of its zone that report to it directly, and of their
    /// ended generations, to send to other zones. They name the generations that counted anything.
    pub fn evidence_of_nodes(&self) -> Vec<(OrderId, Evidence)> {
        self.collect(|known| known.of_zone())
    }

    /// Returns the counts of all nodes.
    pub fn evidence(&self, order: &OrderId) -> Evidence {
        let registry = self.lock();
        let known = registry.get(&order.service).filter(|known| known.order.id == *order);
        known.map_or_else(Evidence::default, |known| known.evidence.of_all())
    }

    fn collect<Reported>(&self, of: impl Fn(&mut KnownEvidence) -> Reported) -> Vec<(OrderId, Reported)> {
        let mut registry = self.lock();
        let running =
            registry.values_mut().filter(|known| known.verdict == Verdict::Running && !known.is_withdrawn);
        running.map(|known| (known.order.id.clone(), of(&mut known.evidence))).collect()
    }

    /// Merges what one generation of another node of this zone reported.
    pub fn merge_node_evidence(&self, node: &NodeId, generation: u64, reported: &[(OrderId, NodeEvidence)]) {
        self.merge_node_evidence_of_zone(&self.zone, node, generation, reported);
    }

    /// Merges what one generation of a node of any zone reported.
    pub fn merge_node_evidence_of_zone(
        &self,
        zone: &ZoneName,
        node: &NodeId,
        generation: u64,
        reported: &[(OrderId, NodeEvidence)],
    ) {
        self.merge_evidence(reported, |known, evidence| known.merge_node(zone, node, generation, evidence));
    }

    /// Notes that nodes have died or left, so that peers that restart are told what they counted.
    pub fn note_ended<'a>(&self, nodes: impl Iterator<Item = &'a NodeId>) {
        let mut registry = self.lock();
        for node in nodes {
            registry.values_mut().for_each(|known| known.evidence.note_ended(node));
        }
    }

    /// Merges the summed counts of another zone.
    pub fn merge_zone_evidence<Sum: AsRef<Evidence>>(&self, zone: &ZoneName, reported: &[(OrderId, Sum)]) {
        self.merge_evidence(reported, |known, sum| known.merge_zone(zone, sum.as_ref()));
    }

    /// Removes what a node of another zone reported directly from the sums of this zone's nodes: from now
    /// on its own zone's sums include it.
    pub fn remove_node_evidence(&self, node: &NodeId) {
        for known in self.lock().values_mut() {
            known.evidence.mark_remote(node);
        }
    }

    fn merge_evidence<Reported>(
        &self,
        reported: &[(OrderId, Reported)],
        merge: impl Fn(&mut KnownEvidence, &Reported),
    ) {
        let mut registry = self.lock();
        for (order, evidence) in reported {
            if let Some(known) = registry.get_mut(&order.service).filter(|known| known.order.id == *order) {
                merge(&mut known.evidence, evidence);
            }
        }
    }
}
