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

const BOUNDS: Bounds =
    Bounds { exposure_share: 0.1, exposure_slack: 50.0, rollback: Duration::from_millis(5_000) };
/// Nodes of each zone that report to other zones.
const RELAYS: usize = 2;
/// Nodes of a zone of which some run on.
const NODES_OF_ZONE: usize = 4;
/// Time without a disruption after which the rules bind a machine (`contact_ms`).
const CONTACT_MS: u64 = 4_000;
/// Time after the kill of a zone in which it serves nothing.
const RESTART_MS: u64 = 1_000;
/// Time after a kill of all zones until a node holds the lease.
const WITHOUT_HOLDER_MS: u64 = 4_000;
/// Number of bad answers that starts the time limit for rolling back.
const BAD_ANSWER_LIMIT: usize = 50;
const STEP_MS: u64 = 50;
const EVALUATION_INTERVAL_MS: u64 = 250;
const SUMMARY_INTERVAL_MS: u64 = 500;
const ANSWER_MS: u64 = 300;
/// Time after the order's end until which a simulation runs.
const AFTER_END_MS: u64 = 20_000;
const REQUESTS_PER_STEP: u64 = 19;
const BACK_ENDS: usize = 60;
/// Share of bad answers of any version.
const USUAL_BAD_SHARE: f64 = 0.01;
/// Additional share of bad answers of a slightly bad version.
const SLIGHT_DEFECT_SHARE: f64 = 0.05;
/// Part of the interval after which a version turns bad that nobody can find bad before its end.
const LAST_MOMENT: f64 = 0.99;
/// Part of the interval after which a version turns bad that is found bad while no evidence is hidden.
const LATE: f64 = 0.9;
/// Seeds of each scenario.
const RUNS: u64 = 10;

/// Nodes of a zone that are killed at the same time and start again.
#[derive(Debug, Clone)]
struct Kill {
    zone: usize,
    nodes: Range<usize>,
    at_ms: u64,
}

/// One rollout of a bad version.
#[derive(Debug, Clone)]
struct Scenario {
    interval_ms: u64,
    /// The zone of each request, in rotation: an index that appears twice receives twice the requests.
    zones_of_requests: Vec<usize>,
    /// Nodes of each zone.
    nodes_of_zone: usize,
    /// Zones, and which of their nodes are killed when.
    kills: Vec<Kill>,
    /// When the version turns bad.
    onset_ms: u64,
    /// Additional share of bad answers from then on.
    bad_share: f64,
    /// Whether the lease holder keeps the sums of each start of a zone apart, so that none hides another.
    keeps_starts_apart: bool,
    /// When all zones are killed, the lease holder included.
    all_killed_at_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests until the order's end.
    requests: u64,
    /// Requests until then that machines bound by the rules sent to the new version.
    exposed: u64,
    takes_all_at_ms: Option<u64>,
    rolled_back_at_ms: Option<u64>,
    succeeded_at_ms: Option<u64>,
    bad_answers_ms: Vec<u64>,
    sent_to_new_ms: Vec<u64>,
}

impl Outcome {
    fn allowed(&self) -> f64 {
        BOUNDS.exposure(self.requests as f64)
    }

    /// Time of the last request to the new version after its fiftieth bad answer.
    fn used_for_ms_after_limit(&self) -> u64 {
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

fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
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
            revision: 10,
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

/// Where the requests come from, and which zones are killed halfway.
fn sites() -> [(&'static str, Vec<usize>, Vec<usize>); 3] {
    [
        ("one of three equal zones", vec![0, 1, 2], vec![1]),
        ("two of three equal zones", vec![0, 1, 2], vec![1, 2]),
        ("the zone of three quarters of the requests", vec![0, 1, 1, 1], vec![1]),
    ]
}

/// Scenarios in which zones restart halfway, by the part of the interval after which the version turns bad.
fn zone_restarts(onset: f64, keeps_starts_apart: bool) -> Vec<(String, Scenario)> {
    let mut scenarios = Vec::new();
    for interval_ms in [12_000, 60_000] {
        for (name, zones_of_requests, killed) in sites() {
            let kill_at_ms = interval_ms / 2;
            let scenario = Scenario {
                interval_ms,
                zones_of_requests,
                nodes_of_zone: 1,
                kills: killed.into_iter().map(|zone| Kill { zone, nodes: 0..1, at_ms: kill_at_ms }).collect(),
                onset_ms: (interval_ms as f64 * onset) as u64,
                bad_share: SLIGHT_DEFECT_SHARE,
                keeps_starts_apart,
                all_killed_at_ms: None,
            };
            scenarios.push((format!("{interval_ms} ms, {name}"), scenario));
        }
    }
    scenarios
}

/// Scenarios in which the zone of three quarters of the requests restarts in parts: the half with both relays,
/// one half after the other, and one node after another.
fn partial_restarts(interval_ms: u64, onset: f64) -> Vec<(String, Scenario)> {
    let half = NODES_OF_ZONE / 2;
    let parts: [(&str, Vec<Range<usize>>); 3] = [
        ("the half with both relays", std::iter::once(0..half).collect()),
        ("one half after the other", vec![0..half, half..NODES_OF_ZONE]),
        ("one node after another", (0..NODES_OF_ZONE).map(|node| node..node + 1).collect()),
    ];
    let scenario_of = |(name, parts): (&str, Vec<Range<usize>>)| {
        // The restarts end at three quarters of the interval.
        let pause_ms = interval_ms / 4 / parts.len() as u64 / STEP_MS * STEP_MS;
        let kill =
            |(number, nodes)| Kill { zone: 1, nodes, at_ms: interval_ms / 2 + pause_ms * number as u64 };
        let scenario = Scenario {
            interval_ms,
            zones_of_requests: vec![0, 1, 1, 1],
            nodes_of_zone: NODES_OF_ZONE,
            kills: parts.into_iter().enumerate().map(kill).collect(),
            onset_ms: (interval_ms as f64 * onset) as u64,
            bad_share: SLIGHT_DEFECT_SHARE,
            keeps_starts_apart: false,
            all_killed_at_ms: None,
        };
        (format!("{interval_ms} ms, {name}"), scenario)
    };
    parts.into_iter().map(scenario_of).collect()
}

/// Runs scenarios and returns descriptions of those whose runs exceed the exposure bound.
fn exceeded_exposure(scenarios: &[(String, Scenario)]) -> Vec<String> {
    let mut exceeded = Vec::new();
    for (name, scenario) in scenarios {
        let outcomes: Vec<Outcome> = (0..RUNS).map(|seed| simulate(scenario, seed)).collect();
        let part = |outcome: &Outcome| outcome.exposed as f64 / outcome.allowed();
        let most = outcomes.iter().map(part).fold(0.0, f64::max);
        let over = outcomes.iter().filter(|outcome| part(outcome) > 1.0).count();
        let takes_all_at_ms = outcomes.iter().filter_map(|outcome| outcome.takes_all_at_ms).min();
        let text = format!(
            "{name}: up to {most:.2} of the bound, above it in {over} of {RUNS} runs, all requests from {takes_all_at_ms:?} ms, seed 0: {} of {:.0}",
            outcomes[0].exposed,
            outcomes[0].allowed(),
        );
        println!("{text}");
        if over > 0 {
            exceeded.push(text);
        }
    }
    exceeded
}

/// Runs scenarios and returns descriptions of those in which the bad version is used too long or succeeds.
fn wrong_verdicts(scenarios: &[(String, Scenario)]) -> Vec<String> {
    let mut wrong = Vec::new();
    for (name, scenario) in scenarios {
        let outcomes: Vec<Outcome> = (0..RUNS).map(|seed| simulate(scenario, seed)).collect();
        let longest_ms = outcomes.iter().map(Outcome::used_for_ms_after_limit).max().unwrap_or_default();
        let rollback_ms = BOUNDS.rollback.as_millis() as u64;
        let too_long =
            outcomes.iter().filter(|outcome| outcome.used_for_ms_after_limit() > rollback_ms).count();
        let succeeded = outcomes.iter().filter(|outcome| outcome.succeeded_at_ms.is_some()).count();
        let rolled_back = outcomes.iter().filter(|outcome| outcome.rolled_back_at_ms.is_some()).count();
        let text = format!(
            "{name}: used up to {longest_ms} ms after the limit of bad answers, too long in {too_long} of {RUNS} runs, succeeded in {succeeded}, rolled back in {rolled_back}",
        );
        println!("{text}");
        if too_long + succeeded > 0 {
            wrong.push(text);
        }
    }
    wrong
}

/// Guards against more requests to a bad version than allowed because a restarted zone's requests are hidden.
#[test]
fn the_exposure_bound_holds_when_zones_restart() {
    let exceeded = exceeded_exposure(&zone_restarts(LAST_MOMENT, false));
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against a bad version that succeeds or is rolled back late because bad answers are hidden.
#[test]
fn a_bad_version_is_rolled_back_in_time_when_zones_restart() {
    let wrong = wrong_verdicts(&zone_restarts(LATE, false));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against bounds in the tests above that could not hold even if no evidence was hidden.
#[test]
fn bounds_hold_when_zones_restart_and_no_evidence_is_hidden() {
    let exceeded = exceeded_exposure(&zone_restarts(LAST_MOMENT, true));
    assert!(exceeded.is_empty(), "{exceeded:#?}");
    let wrong = wrong_verdicts(&zone_restarts(LATE, true));
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against more requests to a bad version than allowed because restarted nodes do not know what their
/// zone counted before.
#[test]
fn the_exposure_bound_holds_when_parts_of_a_zone_restart() {
    let exceeded = exceeded_exposure(&partial_restarts(12_000, LAST_MOMENT));
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against a bad version that succeeds or is rolled back late for the same reason.
#[test]
fn a_bad_version_is_rolled_back_in_time_when_parts_of_a_zone_restart() {
    let scenarios = [12_000, 60_000].into_iter().flat_map(|interval_ms| partial_restarts(interval_ms, LATE));
    let wrong = wrong_verdicts(&scenarios.collect::<Vec<_>>());
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a new version that receives all requests too early, with and without restarts, because the
/// lease holder reads a low request rate between two reports.
#[test]
fn the_exposure_bound_holds_in_a_minute_in_which_reports_arrive_at_every_second_reading() {
    let mut scenarios = partial_restarts(60_000, LAST_MOMENT);
    let (_, without_restart) = &scenarios[0];
    let without_restart = Scenario { kills: Vec::new(), ..without_restart.clone() };
    scenarios.push(("60000 ms, no restart".to_owned(), without_restart));
    let exceeded = exceeded_exposure(&scenarios);
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against more requests to a bad version than allowed when all evidence and the order's start are lost.
#[test]
fn the_exposure_bound_holds_when_all_zones_restart() {
    let mut scenarios = Vec::new();
    for interval_ms in [12_000, 60_000] {
        for killed_at_percent in [30, 60, 94] {
            let scenario = Scenario {
                interval_ms,
                zones_of_requests: vec![0, 1, 2],
                nodes_of_zone: 1,
                kills: Vec::new(),
                onset_ms: (interval_ms as f64 * LAST_MOMENT) as u64,
                bad_share: SLIGHT_DEFECT_SHARE,
                keeps_starts_apart: false,
                all_killed_at_ms: Some(interval_ms * killed_at_percent / 100 / STEP_MS * STEP_MS),
            };
            scenarios.push((format!("{interval_ms} ms, killed at {killed_at_percent} in 100"), scenario));
        }
    }
    let exceeded = exceeded_exposure(&scenarios);
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}
