//! Simulates one rollout in a fleet under traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_rollout::{
    Bounds, Evidence, OrderId, Rollout, RolloutOrder, Stage, Verdict, VersionCapacity, traffic,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Length of a simulation step.
const STEP_MS: u64 = 50;
/// Time between two evaluations on the deciding node.
const EVALUATION_INTERVAL_MS: u64 = 250;
/// Time after which a stage that is not sent again expires.
const STAGE_TTL_MS: u64 = 4_000;
/// Length of the order's interval.
const INTERVAL_MS: u64 = 12_000;
/// Length of a simulation run.
const END_MS: u64 = 24_000;
/// Number of bad answers that starts the time limit after which a version may receive no more requests.
const BAD_ANSWER_LIMIT: u64 = 50;
/// For each route, its share of the requests and the share of bad answers of any version.
const ROUTES: [(f64, f64); 5] = [(0.15, 0.01), (0.35, 0.01), (0.2, 0.02), (0.24, 0.01), (0.06, 0.14)];
/// Longest and usual duration of a stream that may not be moved.
const STREAM_MS: (u64, u64) = (600, 200);

/// Time after which the deciding node learns of a stream's end.
const REPORT_DELAY_MS: u64 = 300;

const BOUNDS: Bounds =
    Bounds { exposure_share: 0.1, exposure_slack: 50.0, rollback: Duration::from_millis(5_000) };

/// The size and load of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub gateways: usize,
    pub per_second: f64,
    pub back_ends: usize,
}

impl Fleet {
    pub const SMALL: Self = Self { gateways: 6, per_second: 42.0, back_ends: 9 };
    pub const MIDDLE: Self = Self { gateways: 70, per_second: 381.0, back_ends: 60 };
    pub const LARGE: Self = Self { gateways: 295, per_second: 900.0, back_ends: 160 };
}

/// How a version is bad.
#[derive(Debug, Clone, Copy)]
pub struct Defect {
    /// Fraction of the order's interval after which the defect appears.
    pub onset: f64,
    /// Additional share of bad answers.
    pub share: f64,
    /// The only affected route; `None` if all are affected.
    pub route: Option<usize>,
    /// Whether only back ends are affected that are loaded as much as the old ones.
    pub under_load: bool,
}

impl Defect {
    pub const NONE: Self = Self { onset: 0.0, share: 0.0, route: None, under_load: false };

    pub fn is_bad(&self) -> bool {
        self.share > 0.0
    }
}

/// A disruption during the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    Calm,
    /// A tenth of the back ends of both versions are down for four seconds.
    Crashes,
    /// A tenth of the back ends of both versions fail four in ten requests.
    Grey,
    /// The deciding node is killed, and another takes over five seconds later.
    HolderKilled,
    /// Half of the gateways receive no messages for five seconds.
    Cut,
}

impl Disruption {
    pub const ALL: [Self; 5] = [Self::Calm, Self::Crashes, Self::Grey, Self::HolderKilled, Self::Cut];
}

/// The result of a simulation run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub rolled_back: bool,
    pub succeeded: bool,
    pub succeeded_in_time: bool,
    /// Requests that the new version received by the order's end, as a fraction of those allowed for a
    /// bad version.
    pub exposed_part: f64,
    /// Whether the version received requests too long after it reached the limit of bad answers.
    pub used_after_rollback: bool,
}

/// The last state that a gateway received.
#[derive(Debug, Clone, Copy)]
struct GatewayState {
    stage: Stage,
    sent_ms: u64,
    verdict: Verdict,
}

/// One counted answer.
struct Answer {
    route: usize,
    back_end: BackendId,
    is_new: bool,
    is_bad: bool,
}

struct Simulation {
    fleet: Fleet,
    defect: Defect,
    disruption: Disruption,
    random: SmallRng,
    order: OrderId,
    old: Vec<BackendId>,
    new: Vec<BackendId>,
    /// Start time of each back end of the new version.
    starts_ms: Vec<u64>,
    disrupted: Vec<BackendId>,
    disruption_ms: u64,
    /// The last state that each gateway received.
    received: Vec<GatewayState>,
    /// Answers in transit to the deciding node, by the step in which they arrive.
    answers: BTreeMap<u64, Vec<Answer>>,
    requests_known: BTreeMap<u64, (u64, u64)>,
    old_ends_ms: Vec<u64>,
    bad_answers: Vec<u64>,
    sent_to_new: Vec<u64>,
    requests: u64,
}

/// Simulates one rollout.
pub fn simulate(fleet: Fleet, defect: Defect, disruption: Disruption, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let ids = |prefix: &str| -> Vec<BackendId> {
        (0..fleet.back_ends).map(|number| BackendId::new(format!("{prefix}{seed}-{number}"))).collect()
    };
    let (old, new) = (ids("old"), ids("new"));
    let starts_ms = new.iter().map(|_| random.random_range(1_000..4_000)).collect();
    let all: Vec<BackendId> = old.iter().chain(&new).cloned().collect();
    let disrupted = all.sample(&mut random, all.len() / 10).cloned().collect();
    let disruption_ms = random.random_range(500..INTERVAL_MS);
    let initial = GatewayState { stage: Stage::NONE, sent_ms: 0, verdict: Verdict::Running };
    let mut simulation = Simulation {
        fleet,
        defect,
        disruption,
        order: OrderId { service: "pool".into(), target: "v2".into(), made: seed },
        old,
        new,
        starts_ms,
        disrupted,
        disruption_ms,
        received: vec![initial; fleet.gateways],
        answers: BTreeMap::new(),
        requests_known: BTreeMap::new(),
        old_ends_ms: Vec::new(),
        bad_answers: Vec::new(),
        sent_to_new: Vec::new(),
        requests: 0,
        random,
    };
    simulation.run()
}

impl Simulation {
    fn run(&mut self) -> Outcome {
        let began = Instant::now();
        let order = RolloutOrder { id: self.order.clone(), interval: Duration::from_millis(INTERVAL_MS) };
        let mut rollout = Rollout::new(order.clone(), BOUNDS, began);
        let mut evidence = Evidence::default();
        let mut in_flight: BTreeMap<u64, Vec<(usize, GatewayState)>> = BTreeMap::new();
        let mut outcome = Outcome::default();
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            for (gateway, received) in in_flight.remove(&now_ms).unwrap_or_default() {
                let known = &mut self.received[gateway];
                let verdict = known.verdict.max(received.verdict);
                *known = if received.sent_ms >= known.sent_ms { received } else { *known };
                known.verdict = verdict;
            }
            self.send_requests(now_ms);
            self.count(now_ms, &mut evidence);
            let is_killed = self.disruption == Disruption::HolderKilled
                && (self.disruption_ms..self.disruption_ms + 5_000).contains(&now_ms);
            if is_killed && !rollout.verdict().is_final() {
                // The next lease holder knows the order, when it was placed, and the counts so far.
                rollout = Rollout::new(order.clone(), BOUNDS, began);
                continue;
            }
            if !now_ms.is_multiple_of(EVALUATION_INTERVAL_MS) {
                continue;
            }
            let now = began + Duration::from_millis(now_ms);
            let verdict = rollout.evaluate(&evidence, self.capacity(now_ms), now);
            let received = GatewayState { stage: rollout.stage(), sent_ms: now_ms, verdict };
            for gateway in 0..self.fleet.gateways {
                let delay_ms = self.random.random_range(2..=24) * STEP_MS;
                if !self.is_partitioned(gateway, now_ms) {
                    in_flight.entry(now_ms + delay_ms).or_default().push((gateway, received));
                }
            }
            if verdict == Verdict::Succeeded && !outcome.succeeded {
                outcome.succeeded = true;
                outcome.succeeded_in_time = now_ms <= INTERVAL_MS;
            }
            outcome.rolled_back = verdict == Verdict::RolledBack;
        }
        self.finish_outcome(outcome)
    }

    fn finish_outcome(&self, mut outcome: Outcome) -> Outcome {
        let exposed = self.sent_to_new.iter().filter(|at| **at < INTERVAL_MS).count() as f64;
        outcome.exposed_part = exposed / BOUNDS.exposure(self.requests as f64);
        let mut bad = self.bad_answers.clone();
        bad.sort_unstable();
        if let Some(limit_reached_ms) = bad.get(BAD_ANSWER_LIMIT as usize - 1) {
            let limit = limit_reached_ms + BOUNDS.rollback.as_millis() as u64;
            outcome.used_after_rollback = self.sent_to_new.iter().any(|at| *at > limit);
        }
        outcome
    }

    fn is_partitioned(&self, gateway: usize, now_ms: u64) -> bool {
        self.disruption == Disruption::Cut
            && gateway.is_multiple_of(2)
            && (self.disruption_ms..self.disruption_ms + 5_000).contains(&now_ms)
    }

    fn usable_new(&self, now_ms: u64) -> Vec<&BackendId> {
        let started = self.new.iter().zip(&self.starts_ms).filter(|(_, starts)| **starts <= now_ms);
        started.map(|(id, _)| id).collect()
    }

    fn capacity(&self, now_ms: u64) -> VersionCapacity {
        VersionCapacity {
            new: self.usable_new(now_ms).len(),
            old: self.old.len(),
            running_at_old: self.old_ends_ms.iter().filter(|ends| **ends + REPORT_DELAY_MS > now_ms).count()
                as u64,
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        let mean = self.fleet.per_second * STEP_MS as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.random.random::<f64>() < mean.fract());
        let usable: Vec<BackendId> = self.usable_new(now_ms).into_iter().cloned().collect();
        let usable: Vec<&BackendId> = usable.iter().collect();
        for _ in 0..count {
            if now_ms < INTERVAL_MS {
                self.requests += 1;
            }
            let gateway = self.random.random_range(0..self.fleet.gateways);
            let received = self.received[gateway];
            let elapsed_ms = now_ms - received.sent_ms.min(now_ms);
            let is_valid = elapsed_ms <= STAGE_TTL_MS && received.verdict != Verdict::RolledBack;
            let stage = if received.verdict == Verdict::Succeeded {
                Stage { share: 1.0, back_ends: usize::MAX, takes_all_in: Some(Duration::ZERO) }
            } else if is_valid {
                received.stage.after(Duration::from_millis(elapsed_ms))
            } else {
                Stage::NONE
            };
            let request = self.random.random::<u64>().to_string();
            let active_back_ends = traffic::active_back_ends(&self.order, stage, &usable);
            let is_new = !active_back_ends.is_empty()
                && traffic::selects_new_version(&self.order, stage, Some(&request));
            let chosen =
                if is_new { active_back_ends.choose(&mut self.random).map(|id| (*id).clone()) } else { None };
            self.answer(now_ms, stage, chosen);
        }
    }

    fn answer(&mut self, now_ms: u64, stage: Stage, new: Option<BackendId>) {
        let route = self.draw_route();
        let takes_ms = self.random.random_range(1..=12) * STEP_MS;
        let id = match &new {
            Some(id) => id.clone(),
            None => self.old.choose(&mut self.random).expect("back ends").clone(),
        };
        let mut bad_share = ROUTES[route].1;
        if new.is_some() && self.is_bad_now(now_ms, stage, route) {
            bad_share += (1.0 - bad_share) * self.defect.share;
        }
        let is_disrupted = self.disrupted.contains(&id);
        let is_down = (self.disruption_ms..self.disruption_ms + 4_000).contains(&now_ms);
        match self.disruption {
            Disruption::Crashes if is_disrupted && is_down => bad_share = 1.0,
            Disruption::Grey if is_disrupted => bad_share += 0.4,
            _ => {}
        }
        let is_bad = self.random.random::<f64>() < bad_share;
        if new.is_some() {
            self.sent_to_new.push(now_ms);
            if is_bad {
                self.bad_answers.push(now_ms + takes_ms);
            }
        } else {
            let runs_ms = STREAM_MS.1 + self.random.random_range(0..=STREAM_MS.0 - STREAM_MS.1);
            self.old_ends_ms.retain(|ends| *ends + 700 > now_ms);
            self.old_ends_ms.push(now_ms + runs_ms);
        }
        // Nodes report to each other immediately while the new version receives all requests.
        let most = if stage.takes_all() { 7 } else { 24 };
        let report_delay_ms = self.random.random_range(2..=most) * STEP_MS;
        let exposed = u64::from(new.is_some());
        let counted = self.requests_known.entry(now_ms + report_delay_ms).or_default();
        *counted = (counted.0 + 1, counted.1 + exposed);
        let answer = Answer { route, back_end: id, is_new: new.is_some(), is_bad };
        self.answers.entry(now_ms + takes_ms + report_delay_ms).or_default().push(answer);
    }

    fn draw_route(&mut self) -> usize {
        let mut position = self.random.random::<f64>();
        for (route, (share, _)) in ROUTES.iter().enumerate() {
            if position < *share {
                return route;
            }
            position -= share;
        }
        0
    }

    fn is_bad_now(&self, now_ms: u64, stage: Stage, route: usize) -> bool {
        let has_begun = now_ms as f64 >= self.defect.onset * INTERVAL_MS as f64;
        let on_route = self.defect.route.is_none_or(|bad| bad == route);
        let active_back_ends = if stage.takes_all() { self.new.len() } else { stage.back_ends.max(1) };
        let load = stage.share_now() * self.old.len() as f64 / active_back_ends as f64;
        has_begun && on_route && (!self.defect.under_load || load >= 0.6)
    }

    fn count(&mut self, now_ms: u64, evidence: &mut Evidence) {
        if let Some((requests, exposed)) = self.requests_known.remove(&now_ms) {
            evidence.requests += requests;
            evidence.exposed += exposed;
        }
        for answer in self.answers.remove(&now_ms).unwrap_or_default() {
            let counted = if answer.is_new { &mut evidence.new } else { &mut evidence.old };
            let key = (format!("route-{}", answer.route), answer.back_end);
            counted.entry(key).or_default().note(answer.is_bad);
        }
    }
}
