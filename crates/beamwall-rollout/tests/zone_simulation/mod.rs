//! Simulates rollouts during which all or some nodes of a zone are killed and start again. The operator's
//! bounds on bad versions hold whatever the zone counted before.
//!
//! Everything but the restart is at its best: stages, reports and summaries arrive without delay or loss, and
//! no back end fails. Where all nodes of a zone die together it is one registry; the lease holder is in the
//! first zone, which runs on.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use beamwall_model::{BackendId, NodeId};
use beamwall_rollout::{
    Bounds, Evidence, OrderId, OrderUpdate, Rollout, RolloutOrder, RolloutRegistry, StageUpdate, Verdict,
    VersionCapacity, VersionChoice,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

pub const BOUNDS: Bounds =
    Bounds { exposure_share: 0.1, exposure_slack: 50.0, rollback: Duration::from_millis(5_000) };
/// Nodes of each zone that report to other zones.
pub const RELAYS: usize = 2;
/// Time without a disruption after which the rules bind a machine (`contact_ms`).
pub const CONTACT_MS: u64 = 4_000;
/// Time after the kill of a zone in which it serves nothing.
pub const RESTART_MS: u64 = 1_000;
/// Time after a kill of all zones until a node holds the lease.
pub const WITHOUT_HOLDER_MS: u64 = 4_000;
/// Number of bad answers that starts the time limit for rolling back.
pub const BAD_ANSWER_LIMIT: usize = 50;
pub const STEP_MS: u64 = 50;
pub const EVALUATION_INTERVAL_MS: u64 = 250;
pub const SUMMARY_INTERVAL_MS: u64 = 500;
pub const ANSWER_MS: u64 = 300;
/// Time after the order's end until which a simulation runs.
pub const AFTER_END_MS: u64 = 20_000;
pub const REQUESTS_PER_STEP: u64 = 19;
pub const BACK_ENDS: usize = 60;
/// Share of bad answers of any version.
pub const USUAL_BAD_SHARE: f64 = 0.01;

/// Nodes of a zone that are killed at the same time and start again.
#[derive(Debug, Clone)]
pub struct Kill {
    pub zone: usize,
    pub nodes: Range<usize>,
    pub at_ms: u64,
}

/// One rollout of a bad version.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub interval_ms: u64,
    /// The zone of each request, in rotation: an index that appears twice receives twice the requests.
    pub zones_of_requests: Vec<usize>,
    /// Nodes of each zone.
    pub nodes_of_zone: usize,
    /// Zones, and which of their nodes are killed when.
    pub kills: Vec<Kill>,
    /// When the version turns bad.
    pub onset_ms: u64,
    /// Additional share of bad answers from then on.
    pub bad_share: f64,
    /// Whether the lease holder keeps the sums of each start of a zone apart, so that none hides another.
    pub keeps_starts_apart: bool,
    /// When all zones are killed, the lease holder included.
    pub all_killed_at_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests until the order's end.
    pub requests: u64,
    /// Requests until then that machines bound by the rules sent to the new version.
    pub exposed: u64,
    pub takes_all_at_ms: Option<u64>,
    pub rolled_back_at_ms: Option<u64>,
    pub succeeded_at_ms: Option<u64>,
    pub bad_answers_ms: Vec<u64>,
    pub sent_to_new_ms: Vec<u64>,
}

impl Outcome {
    pub fn allowed(&self) -> f64 {
        BOUNDS.exposure(self.requests as f64)
    }

    /// Time of the last request to the new version after its fiftieth bad answer.
    pub fn used_for_ms_after_limit(&self) -> u64 {
        let mut bad = self.bad_answers_ms.clone();
        bad.sort_unstable();
        let reached = bad.get(BAD_ANSWER_LIMIT - 1);
        reached
            .map_or(0, |at| self.sent_to_new_ms.iter().max().copied().unwrap_or_default().saturating_sub(*at))
    }
}

/// A node of a zone.
struct Node {
    name: NodeId,
    registry: RolloutRegistry,
    /// Generation of the present process.
    generation: u64,
    /// When it begins to serve.
    started_at_ms: u64,
}

/// An answer in transit.
struct Answer {
    zone: usize,
    node: usize,
    /// Start of the node that sent the request.
    node_started_at_ms: u64,
    back_end: BackendId,
    is_new: bool,
    is_bad: bool,
}

struct Simulation {
    scenario: Scenario,
    began: Instant,
    random: SmallRng,
    order: OrderId,
    old: Vec<BackendId>,
    new: Vec<BackendId>,
    /// Nodes by zone; the lease holder is the first one.
    zones: Vec<Vec<Node>>,
    /// Answers in transit by the time at which they arrive.
    answers: BTreeMap<u64, Vec<Answer>>,
    outcome: Outcome,
}

pub fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let zones = scenario.zones_of_requests.iter().max().expect("zones") + 1;
    let ids = |prefix: &str| -> Vec<BackendId> {
        (0..BACK_ENDS).map(|number| BackendId::new(format!("{prefix}{number}"))).collect()
    };
    let mut simulation = Simulation {
        scenario: scenario.clone(),
        began: Instant::now(),
        random: SmallRng::seed_from_u64(seed),
        order: OrderId { service: "pool".into(), target: "new".into(), made: seed },
        old: ids("old"),
        new: ids("new"),
        zones: Vec::new(),
        answers: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    let nodes = |zone| (0..scenario.nodes_of_zone).map(move |node| (zone, node));
    let started = |zone| nodes(zone).map(|(zone, node)| simulation.node(zone, node, 0, 0, 0)).collect();
    simulation.zones = (0..zones).map(started).collect();
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn at(&self, now_ms: u64) -> Instant {
        self.began + Duration::from_millis(now_ms)
    }

    fn order(&self) -> RolloutOrder {
        RolloutOrder { id: self.order.clone(), interval: Duration::from_millis(self.scenario.interval_ms) }
    }

    /// A node whose process begins at `generation` in milliseconds and receives the order, of the given age.
    fn node(&self, zone: usize, node: usize, generation: u64, age_ms: u64, started_at_ms: u64) -> Node {
        let name = NodeId::new(format!("node-{node}-of-zone-{zone}"));
        let registry = RolloutRegistry::default().for_generation(&name, generation);
        let order_update = OrderUpdate {
            order: self.order(),
            revision: 10.into(),
            age: Duration::from_millis(age_ms),
            verdict: Verdict::Running,
            is_withdrawn: false,
        };
        registry.merge_order(order_update, self.at(generation));
        Node { name, registry, generation, started_at_ms }
    }

    /// Kills nodes. They receive the order from others, which know when it was placed.
    fn kill(&mut self, kill: &Kill) {
        for node in kill.nodes.clone() {
            let started_at_ms = kill.at_ms + RESTART_MS;
            self.zones[kill.zone][node] = self.node(kill.zone, node, kill.at_ms, kill.at_ms, started_at_ms);
        }
    }

    /// Kills all zones. They read the order from the store again, which does not tell when it was placed.
    fn kill_all(&mut self, now_ms: u64) {
        let started_at_ms = now_ms + RESTART_MS;
        for zone in 0..self.zones.len() {
            for node in 0..self.zones[zone].len() {
                self.zones[zone][node] = self.node(zone, node, started_at_ms, 0, started_at_ms);
            }
        }
    }

    fn run(&mut self) {
        let mut rollout = Rollout::new(self.order(), BOUNDS, self.began);
        for now_ms in (0..self.scenario.interval_ms + AFTER_END_MS).step_by(STEP_MS as usize) {
            let kills = self.scenario.kills.clone();
            kills.iter().filter(|kill| kill.at_ms == now_ms).for_each(|kill| self.kill(kill));
            if self.scenario.all_killed_at_ms == Some(now_ms) {
                self.kill_all(now_ms);
                rollout = Rollout::new(self.order(), BOUNDS, self.at(now_ms + RESTART_MS));
            }
            self.send_requests(now_ms);
            self.count_answers(now_ms);
            if now_ms.is_multiple_of(SUMMARY_INTERVAL_MS) {
                self.send_reports();
                self.send_summaries();
            }
            let is_without_holder = self
                .scenario
                .all_killed_at_ms
                .is_some_and(|at| (at..at + WITHOUT_HOLDER_MS).contains(&now_ms));
            if is_without_holder {
                continue;
            }
            if now_ms.is_multiple_of(EVALUATION_INTERVAL_MS) && !rollout.verdict().is_final() {
                self.evaluate(&mut rollout, now_ms);
            }
        }
    }

    /// The nodes of each zone report to each other.
    fn send_reports(&self) {
        for nodes in &self.zones {
            for sender in nodes {
                let reported = sender.registry.own_evidence();
                for receiver in nodes.iter().filter(|receiver| receiver.name != sender.name) {
                    receiver.registry.merge_node_evidence(&sender.name, sender.generation, &reported);
                }
            }
        }
    }

    fn send_summaries(&self) {
        for (zone, nodes) in self.zones.iter().enumerate().skip(1) {
            for relay in nodes.iter().take(RELAYS) {
                let summary: Vec<(OrderId, Evidence)> = relay.registry.evidence_of_nodes();
                let start_ms = if self.scenario.keeps_starts_apart { relay.started_at_ms } else { 0 };
                let name = format!("zone-{zone}-{start_ms}");
                self.holder().merge_zone_evidence(&name.as_str().into(), &summary);
            }
        }
    }

    fn holder(&self) -> &RolloutRegistry {
        &self.zones[0][0].registry
    }

    fn evaluate(&mut self, rollout: &mut Rollout, now_ms: u64) {
        let running_at_old = self.answers.values().flatten().filter(|answer| !answer.is_new).count() as u64;
        let capacity = VersionCapacity { new: BACK_ENDS, old: BACK_ENDS, running_at_old };
        let evidence = self.holder().evidence(&self.order);
        match rollout.evaluate(&evidence, capacity, self.at(now_ms)) {
            Verdict::Running => {}
            Verdict::RolledBack => self.outcome.rolled_back_at_ms = Some(now_ms),
            Verdict::Succeeded => self.outcome.succeeded_at_ms = Some(now_ms),
        }
        if rollout.stage().takes_all() && self.outcome.takes_all_at_ms.is_none() {
            self.outcome.takes_all_at_ms = Some(now_ms);
        }
        let stage_update = StageUpdate {
            order: self.order.clone(),
            sequence: (1, now_ms + 1),
            stage: rollout.stage(),
            age: Duration::ZERO,
        };
        for node in self.zones.iter().flatten() {
            node.registry.merge_stage(&stage_update, self.at(now_ms));
            node.registry.merge_verdict(&self.order, rollout.verdict(), self.at(now_ms));
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        for number in 0..REQUESTS_PER_STEP {
            let rotation = now_ms / STEP_MS * REQUESTS_PER_STEP + number;
            let zones = &self.scenario.zones_of_requests;
            let zone = zones[rotation as usize % zones.len()];
            let node = rotation as usize / zones.len() % self.zones[zone].len();
            if now_ms >= self.zones[zone][node].started_at_ms {
                self.send_request(zone, node, now_ms);
            }
        }
    }

    fn send_request(&mut self, zone: usize, node: usize, now_ms: u64) {
        let request = self.random.random::<u64>().to_string();
        let Node { registry, started_at_ms, .. } = &self.zones[zone][node];
        let service = &self.order.service;
        registry.note_request(service);
        let rule = registry.rule(service, Some(&request), self.at(now_ms));
        let is_new = rule.as_ref().is_some_and(|rule| rule.version_choice != VersionChoice::Old);
        let all_new: Vec<&BackendId> = self.new.iter().collect();
        let candidates = match &rule {
            Some(rule) if is_new => rule.active_back_ends(&all_new),
            _ => self.old.iter().collect(),
        };
        let back_end = (*candidates.choose(&mut self.random).expect("back ends")).clone();
        registry.note_sent(service, &if is_new { "new" } else { "old" }.into());
        let is_bad = self.random.random::<f64>() < self.bad_share(is_new, now_ms);
        let node_started_at_ms = *started_at_ms;
        let answer = Answer { zone, node, node_started_at_ms, back_end, is_new, is_bad };
        self.answers.entry(now_ms + ANSWER_MS).or_default().push(answer);
        let is_bound = node_started_at_ms == 0 || now_ms >= node_started_at_ms + CONTACT_MS;
        let is_before_end = now_ms < self.scenario.interval_ms;
        self.outcome.requests += u64::from(is_before_end);
        self.outcome.exposed += u64::from(is_before_end && is_new && is_bound);
        if is_new && is_bound {
            self.outcome.sent_to_new_ms.push(now_ms);
        }
    }

    fn bad_share(&self, is_new: bool, now_ms: u64) -> f64 {
        let is_degraded = is_new && now_ms >= self.scenario.onset_ms;
        let of_version = if is_degraded { self.scenario.bad_share } else { 0.0 };
        USUAL_BAD_SHARE + of_version
    }

    fn count_answers(&mut self, now_ms: u64) {
        for answer in self.answers.remove(&now_ms).unwrap_or_default() {
            if answer.is_new && answer.is_bad {
                self.outcome.bad_answers_ms.push(now_ms);
            }
            // A killed node counts no answers to what it sent.
            let node = &self.zones[answer.zone][answer.node];
            if node.started_at_ms == answer.node_started_at_ms {
                let version = if answer.is_new { "new" } else { "old" };
                let service = &self.order.service;
                node.registry.note_answer(service, "chat", &answer.back_end, &version.into(), answer.is_bad);
            }
        }
    }
}
