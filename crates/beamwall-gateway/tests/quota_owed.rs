//! Requests that a tenant's limit covers are admitted also while the tenant is near or beyond its limit.
//!
//! Guards against: a tenant whose limit is lowered below its demand gets nothing but refusals for as long as
//! its demand lasts, although most of its bucket is left.

use arbtest::arbitrary::Unstructured;
use beamwall_gateway::quota::{QuotaLimiter, Tolerance};
use beamwall_policy::Tenant;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

#[path = "support/quota_fleet.rs"]
mod support;

use support::*;

/// Largest share of the owed requests that may be refused.
const MAX_OWED_REFUSED: f64 = 1.0 / 200.0;
/// Steps of one run.
const STEPS: usize = 300;
/// Step of the change in the middle of a run.
const CHANGE_STEP: usize = 150;
/// Steps for which a gateway keeps a request that would fit after its report.
const REPORT_WAIT_STEPS: usize = 3;
/// Steps until gateways that restart together reach each other.
const STEPS_ISOLATED: usize = 8;
/// Steps of one wave of demand.
const WAVE_STEPS: f64 = 100.0;
/// Change of demand by a wave, up and down.
const WAVE_DEPTH: f64 = 0.3;

/// What happens in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    None,
    /// The limit becomes 0.8 of the demand.
    LowerLimit,
    /// All gateways restart.
    RestartAll,
    /// A zone is partitioned for four seconds.
    CutZone,
    /// Demand follows waves throughout the run.
    Waves,
}

/// A token bucket without delays.
struct Bucket {
    level: f64,
    refilled: Instant,
}

impl Bucket {
    fn refill(&mut self, tenant: &Tenant, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + elapsed * tenant.rate_per_second).min(tenant.burst);
    }
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Outcome {
    /// Requests that the bucket of all admitted work covered.
    owed: u32,
    /// Owed requests that were refused.
    owed_refused: u32,
    /// Largest work in a window as a share of the bound.
    max_of_bound: f64,
}

struct Run {
    fleet: Fleet,
    actual: Bucket,
    waiting: Vec<(usize, usize, f64)>,
    outcome: Outcome,
}

impl Run {
    fn new(nodes: usize, zones: usize) -> Self {
        let mut fleet = Fleet::with_full_buckets_of(overdrawing_limiter, nodes, zones);
        fleet.urgent_zone_reports = true;
        let actual = Bucket { level: BURST, refilled: fleet.now };
        Self { fleet, actual, waiting: Vec::new(), outcome: Outcome::default() }
    }

    /// Charges a request that has waited for so many steps.
    fn attempt(&mut self, node: usize, amount: f64, waited: usize) {
        let (tenant, now) = (self.fleet.tenant.clone(), self.fleet.now);
        self.actual.refill(&tenant, now);
        let is_owed = self.actual.level >= amount;
        let refused = self.fleet.charge(node, amount);
        if let Err(refused) = refused
            && refused.fits_after_report
            && waited < REPORT_WAIT_STEPS
        {
            self.fleet.urgent.push(node);
            self.waiting.push((node, waited + 1, amount));
            return;
        }
        self.outcome.owed += u32::from(is_owed);
        match refused {
            Ok(()) => self.actual.level -= amount,
            Err(_) => self.outcome.owed_refused += u32::from(is_owed),
        }
    }

    fn step(&mut self, demand: f64, backlog: &mut f64, random: &mut Unstructured<'_>) -> Drawn<()> {
        for (node, waited, amount) in std::mem::take(&mut self.waiting) {
            self.attempt(node, amount, waited);
        }
        *backlog += demand * STEP.as_secs_f64();
        while *backlog > 0.0 {
            let amount = if random.ratio(1, 3)? { LONG } else { SHORT };
            *backlog -= amount;
            let node = random_node(random, self.fleet.limiters.len())?;
            self.attempt(node, amount, 0);
        }
        self.fleet.advance();
        Ok(())
    }

    fn change(&mut self, change: Change, step: usize) {
        match change {
            Change::LowerLimit if step == CHANGE_STEP => {
                self.fleet.tenant.rate_per_second *= 0.8;
                self.fleet.tenant.burst *= 0.8;
                self.fleet.update_membership();
            }
            Change::RestartAll if step == CHANGE_STEP => self.fleet.restart_all(),
            Change::RestartAll if (CHANGE_STEP..CHANGE_STEP + STEPS_ISOLATED).contains(&step) => return,
            Change::CutZone if step == CHANGE_STEP => self.fleet.cut_off_zone = Some(0),
            Change::CutZone if step == CHANGE_STEP + 40 => self.fleet.cut_off_zone = None,
            _ => {}
        }
        if change == Change::RestartAll && step == CHANGE_STEP {
            return;
        }
        if change != Change::None {
            self.fleet.update_membership();
        }
    }
}

fn overdrawing_limiter(nodes: usize) -> QuotaLimiter {
    let tolerance =
        Tolerance { sustained: OVERAGE * 0.05, in_window: OVERAGE, at_start: OVERAGE * 0.35, window: WINDOW };
    QuotaLimiter::new(SLACK / 2.0, nodes).with_tolerance(tolerance).with_overdraft(true)
}

/// Bytes of random data for one run, enough for all its requests.
const RANDOM_BYTES: usize = 100_000;

/// Random data from one drawn seed.
fn random_bytes(random: &mut Unstructured<'_>) -> Drawn<Vec<u8>> {
    let mut state = random.arbitrary::<u64>()? | 1;
    let next_byte = |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 24) as u8
    };
    Ok((0..RANDOM_BYTES).map(next_byte).collect())
}

type Drawn<T> = arbtest::arbitrary::Result<T>;

fn run(
    nodes: usize,
    zones: usize,
    demand: f64,
    change: Change,
    random: &mut Unstructured<'_>,
) -> Drawn<Outcome> {
    let mut run = Run::new(nodes, zones);
    let mut backlog = 0.0;
    for step in 0..STEPS {
        run.change(change, step);
        let phase = step as f64 / WAVE_STEPS * std::f64::consts::TAU;
        let wave = if change == Change::Waves { 1.0 + WAVE_DEPTH * phase.sin() } else { 1.0 };
        run.step(RATE * demand * wave, &mut backlog, random)?;
    }
    run.outcome.max_of_bound = run.fleet.max_in_window() / bound();
    Ok(run.outcome)
}

/// Largest work in a window as a share of the bound, of a tenant at its limit or below it that jumps to one
/// to five times its rate.
fn max_after_jump(nodes: usize, zones: usize, random: &mut Unstructured<'_>) -> Drawn<f64> {
    let mut run = Run::new(nodes, zones);
    let before = f64::from(random.int_in_range(5..=10_u32)?) / 10.0;
    let jump = f64::from(random.int_in_range(1..=5_u32)?);
    let jump_step = random.int_in_range(5..=90_usize)?;
    let mut backlog = 0.0;
    for step in 0..170 {
        let factor = if step < jump_step { before } else { jump };
        run.step(RATE * factor, &mut backlog, random)?;
    }
    Ok(run.fleet.max_in_window() / bound())
}

/// Nodes and zones.
const FLEETS: [(usize, usize); 4] = [(6, 1), (67, 1), (88, 3), (300, 25)];
/// Demands of a tenant within its limit, as multiples of its rate.
const WITHIN_LIMIT: &[f64] = &[0.9, 1.0];
/// Demands of a tenant beyond its limit.
const BEYOND_LIMIT: &[f64] = &[1.1, 3.0];
/// Runs of each fleet, demand and change.
const CASES: u32 = 4;

/// Runs all fleets with these demands and returns those in which too many owed requests were refused.
fn too_many_refused(demands: &[f64], change: Change) -> Vec<String> {
    let mut faults = Vec::new();
    for (nodes, zones) in FLEETS {
        for &demand in demands {
            let (mut refused, mut owed) = (0, 0);
            on_seeds(CASES, |random| {
                let bytes = random_bytes(random)?;
                let outcome = run(nodes, zones, demand, change, &mut Unstructured::new(&bytes))?;
                refused += outcome.owed_refused;
                owed += outcome.owed;
                assert!(outcome.max_of_bound <= 1.0, "{} of the bound", outcome.max_of_bound);
                Ok(())
            });
            if f64::from(refused) > MAX_OWED_REFUSED * f64::from(owed) {
                faults.push(format!("{nodes} nodes in {zones} zones at {demand}: {refused} of {owed}"));
            }
        }
    }
    faults
}

fn assert_few_refused(demands: &[f64], change: Change) {
    let faults = too_many_refused(demands, change);
    assert!(faults.is_empty(), "owed requests refused: {faults:#?}");
}

#[test]
fn few_owed_requests_are_refused_at_a_steady_rate_within_the_limit() {
    assert_few_refused(WITHIN_LIMIT, Change::None);
}

#[test]
fn few_owed_requests_are_refused_at_a_steady_rate_beyond_the_limit() {
    assert_few_refused(BEYOND_LIMIT, Change::None);
}

#[test]
fn few_owed_requests_are_refused_in_waves_around_the_limit() {
    assert_few_refused(WITHIN_LIMIT, Change::Waves);
}

#[test]
fn few_owed_requests_are_refused_in_waves_beyond_the_limit() {
    assert_few_refused(BEYOND_LIMIT, Change::Waves);
}

#[test]
fn few_owed_requests_are_refused_after_the_limit_was_lowered() {
    assert_few_refused(WITHIN_LIMIT, Change::LowerLimit);
    assert_few_refused(BEYOND_LIMIT, Change::LowerLimit);
}

#[test]
fn few_owed_requests_are_refused_around_a_restart_of_all_gateways() {
    assert_few_refused(WITHIN_LIMIT, Change::RestartAll);
    assert_few_refused(BEYOND_LIMIT, Change::RestartAll);
}

#[test]
fn few_owed_requests_are_refused_around_the_partition_of_a_zone() {
    assert_few_refused(WITHIN_LIMIT, Change::CutZone);
    assert_few_refused(BEYOND_LIMIT, Change::CutZone);
}

/// Guards against: accounts that may be overdrawn admit more than the bound when a tenant at its limit
/// suddenly asks for several times its rate.
#[test]
fn a_jump_from_the_limit_stays_within_the_bound() {
    for (nodes, zones, cases) in [(6, 1, 200), (67, 1, 60), (88, 3, 60), (300, 25, 15)] {
        on_seeds(cases, |random| {
            let bytes = random_bytes(random)?;
            let share = max_after_jump(nodes, zones, &mut Unstructured::new(&bytes))?;
            assert!(share <= 1.0, "{share} of the bound at {nodes} nodes");
            Ok(())
        });
    }
}
