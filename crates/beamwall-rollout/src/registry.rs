//! The orders that one node knows, what it was told of them, and what it and others counted.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName, ZoneName};
use tokio::time::Instant;

use crate::evidence::Evidence;
use crate::order::{OrderId, RolloutOrder};
use crate::stage::{Stage, Verdict};
use crate::traffic;

/// Time after which a stage that is not told again is over: nothing goes to the new version then. Shorter than any time in which
/// a bad version must be rolled back, and longer than a told stage takes through relays to other zones.
const STAGE_TTL: Duration = Duration::from_millis(3_500);

/// Time after a success in which nothing goes to other versions: their back ends are stopped then. Later versions may come without
/// an order, and are used as any.
const OLD_VERSION_STOP_TIME: Duration = Duration::from_secs(15);

/// An order as nodes tell it.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderUpdate {
    /// The order.
    pub order: RolloutOrder,
    /// The store's revision at which it was read last: of two orders for one service the higher one holds.
    pub revision: u64,
    /// Time since it was first seen.
    pub age: Duration,
    /// What came of it, as far as the teller knows.
    pub verdict: Verdict,
    /// Whether the operator has taken it back.
    pub is_withdrawn: bool,
}

/// A stage as the node tells it that holds the lease, and others after it.
#[derive(Debug, Clone, PartialEq)]
pub struct StageUpdate {
    /// The order.
    pub order: OrderId,
    /// Epoch of the lease, and number of the telling under it: the higher one is newer.
    pub mark: (u64, u64),
    /// The stage as it was told.
    pub stage: Stage,
    /// Time since then.
    pub age: Duration,
}

/// To which version a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any but the new one.
    Old,
    /// Some back ends of the new one.
    Canary,
    /// The new one, which takes all.
    New,
}

/// Which back ends a request may go to during a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    order: OrderId,
    stage: Stage,
    /// The side.
    pub version_choice: VersionChoice,
}

impl VersionRule {
    /// Whether back ends of a version may take the request.
    pub fn allows(&self, version: &EngineVersion) -> bool {
        (*version == self.order.target) != (self.version_choice == VersionChoice::Old)
    }

    /// The rule for the same request where no back end of the new version can take it.
    pub fn without_new(&self) -> Self {
        Self { version_choice: VersionChoice::Old, ..self.clone() }
    }

    /// Of the new version's back ends those that take requests.
    pub fn active_back_ends<'a>(&self, new: &[&'a BackendId]) -> Vec<&'a BackendId> {
        traffic::active_back_ends(&self.order, self.stage, new)
    }
}

#[derive(Debug)]
struct KnownOrder {
    order: RolloutOrder,
    revision: u64,
    began: Instant,
    verdict: Verdict,
    /// When this node saw it succeed; `None` where it had before this node knew of it.
    succeeded: Option<Instant>,
    is_withdrawn: bool,
    mark: (u64, u64),
    stage: Stage,
    staged_at: Instant,
    own: Evidence,
    nodes: HashMap<(NodeId, u64), Evidence>,
    zones: HashMap<ZoneName, Evidence>,
}

impl KnownOrder {
    fn new(news: OrderUpdate, now: Instant) -> Self {
        Self {
            began: now.checked_sub(news.age).unwrap_or(now),
            order: news.order,
            revision: news.revision,
            verdict: news.verdict,
            succeeded: None,
            is_withdrawn: news.is_withdrawn,
            mark: (0, 0),
            stage: Stage::NONE,
            staged_at: now,
            own: Evidence::default(),
            nodes: HashMap::new(),
            zones: HashMap::new(),
        }
    }

    /// Takes a verdict; a later one in their order replaces an earlier one.
    fn raise_verdict(&mut self, verdict: Verdict, now: Instant) {
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
        let all = Stage { share: 1.0, back_ends: usize::MAX, takes_all_in: Some(Duration::ZERO) };
        let (stage, version_choice) = match self.verdict {
            _ if self.is_withdrawn => return None,
            Verdict::Succeeded if self.is_past_stop_time(now) => return None,
            Verdict::Succeeded => (all, VersionChoice::New),
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

/// The orders that one node knows: of each service the newest.
#[derive(Debug, Default)]
pub struct RolloutRegistry {
    known: Mutex<BTreeMap<ServiceName, KnownOrder>>,
}

impl RolloutRegistry {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, KnownOrder>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an order from the store or a peer; returns whether it says anything new.
    pub fn merge_order(&self, news: OrderUpdate, now: Instant) -> bool {
        let mut registry = self.lock();
        let service = news.order.id.service.clone();
        let Some(known) = registry.get_mut(&service) else {
            registry.insert(service, KnownOrder::new(news, now));
            return true;
        };
        if known.order.id != news.order.id {
            let is_newer = news.revision > known.revision;
            if is_newer {
                *known = KnownOrder::new(news, now);
            }
            return is_newer;
        }
        let before = (known.verdict, known.is_withdrawn, known.order.interval);
        // Whoever saw it first knows best when it was given.
        known.began = known.began.min(now.checked_sub(news.age).unwrap_or(now));
        known.raise_verdict(news.verdict, now);
        if news.revision >= known.revision {
            known.revision = news.revision;
            known.order.interval = news.order.interval;
            known.is_withdrawn = news.is_withdrawn;
        }
        before != (known.verdict, known.is_withdrawn, known.order.interval)
    }

    /// Takes orders that the store does not list any more as withdrawn.
    pub fn withdraw_unlisted(&self, listed: &[ServiceName], revision: u64) -> bool {
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

    /// Takes a stage that the holder of the lease decided, or that somebody heard of.
    pub fn merge_stage(&self, news: &StageUpdate, now: Instant) -> bool {
        let mut registry = self.lock();
        let Some(known) = registry.get_mut(&news.order.service) else { return false };
        if known.order.id != news.order || news.mark <= known.mark {
            return false;
        }
        known.mark = news.mark;
        known.stage = news.stage;
        known.staged_at = now.checked_sub(news.age).unwrap_or(now);
        true
    }

    /// Notes what this node found or was told.
    pub fn merge_verdict(&self, order: &OrderId, verdict: Verdict, now: Instant) -> bool {
        let mut registry = self.lock();
        let known = registry.get_mut(&order.service).filter(|known| known.order.id == *order);
        let Some(known) = known.filter(|known| known.verdict < verdict) else { return false };
        known.raise_verdict(verdict, now);
        true
    }

    /// All orders, to be told.
    pub fn orders(&self, now: Instant) -> Vec<OrderUpdate> {
        let news = |known: &KnownOrder| OrderUpdate {
            order: known.order.clone(),
            revision: known.revision,
            age: now.saturating_duration_since(known.began),
            verdict: known.verdict,
            is_withdrawn: known.is_withdrawn,
        };
        self.lock().values().map(news).collect()
    }

    /// The stages that hold, to be told.
    pub fn stages(&self, now: Instant) -> Vec<StageUpdate> {
        let registry = self.lock();
        let holds = |known: &&KnownOrder| {
            known.verdict == Verdict::Running && now.saturating_duration_since(known.staged_at) <= STAGE_TTL
        };
        let news = |known: &KnownOrder| StageUpdate {
            order: known.order.id.clone(),
            mark: known.mark,
            stage: known.stage,
            age: now.saturating_duration_since(known.staged_at),
        };
        registry.values().filter(holds).filter(|known| known.mark > (0, 0)).map(news).collect()
    }

    /// Which back ends a request may go to; `None`: any.
    pub fn rule(&self, service: &ServiceName, request: Option<&str>, now: Instant) -> Option<VersionRule> {
        self.lock().get(service)?.rule(request, now)
    }

    /// Whether a service's traffic is being moved: back ends of both versions run, and neither are spare ones.
    pub fn is_running(&self, service: &ServiceName) -> bool {
        let registry = self.lock();
        registry.get(service).is_some_and(|known| known.verdict == Verdict::Running && !known.is_withdrawn)
    }

    /// Counts a request to a service.
    pub fn note_request(&self, service: &ServiceName) {
        if let Some(known) = self.lock().get_mut(service) {
            known.own.requests += 1;
        }
    }

    /// Counts a request that is sent to a back end of a version.
    pub fn note_sent(&self, service: &ServiceName, version: &EngineVersion) {
        if let Some(known) = self.lock().get_mut(service) {
            known.own.exposed += u64::from(known.order.id.target == *version);
        }
    }

    /// Counts an answer of a back end of a version.
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
        let answers = if is_new { &mut known.own.new } else { &mut known.own.old };
        answers.entry((route.to_owned(), back_end.clone())).or_default().note(is_bad);
    }

    /// What this node counted of each order that runs, to be told.
    pub fn own_evidence(&self) -> Vec<(OrderId, Evidence)> {
        self.collect(|known| known.own.clone())
    }

    /// What this node and all that tell their own counted, to be told to other zones.
    pub fn evidence_of_nodes(&self) -> Vec<(OrderId, Evidence)> {
        self.collect(|known| sum(&known.own, known.nodes.values()))
    }

    /// What all nodes counted.
    pub fn evidence(&self, order: &OrderId) -> Evidence {
        let registry = self.lock();
        let known = registry.get(&order.service).filter(|known| known.order.id == *order);
        known.map_or_else(Evidence::default, |known| {
            sum(&known.own, known.nodes.values().chain(known.zones.values()))
        })
    }

    fn collect(&self, of: impl Fn(&KnownOrder) -> Evidence) -> Vec<(OrderId, Evidence)> {
        let registry = self.lock();
        let running =
            registry.values().filter(|known| known.verdict == Verdict::Running && !known.is_withdrawn);
        running.map(|known| (known.order.id.clone(), of(known))).collect()
    }

    /// Takes what one life of another node counted.
    pub fn merge_node_evidence(&self, node: &NodeId, life: u64, reported: &[(OrderId, Evidence)]) {
        self.merge_evidence(reported, |known| known.nodes.entry((node.clone(), life)).or_default());
    }

    /// Takes what the nodes of another zone counted.
    pub fn merge_zone_evidence(&self, zone: &ZoneName, reported: &[(OrderId, Evidence)]) {
        self.merge_evidence(reported, |known| known.zones.entry(zone.clone()).or_default());
    }

    /// Forgets what a node told by itself: it comes with its zone's sums from now on.
    pub fn remove_node_evidence(&self, node: &NodeId) {
        for known in self.lock().values_mut() {
            known.nodes.retain(|(reporter, _), _| reporter != node);
        }
    }

    fn merge_evidence(
        &self,
        reported: &[(OrderId, Evidence)],
        entry: impl Fn(&mut KnownOrder) -> &mut Evidence,
    ) {
        let mut registry = self.lock();
        for (order, evidence) in reported {
            if let Some(known) = registry.get_mut(&order.service).filter(|known| known.order.id == *order) {
                entry(known).merge_max(evidence);
            }
        }
    }
}

fn sum<'a>(own: &Evidence, others: impl Iterator<Item = &'a Evidence>) -> Evidence {
    let mut sum = own.clone();
    others.for_each(|other| sum.add(other));
    sum
}
