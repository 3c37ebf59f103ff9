//! Permits of an engine over many nodes, in simulated time: never more than tolerated in any window, and used
//! where there is demand.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use beamwall_engine_limits::{Allowance, Denials, Grant, PermitLedger, RequestRate};
use beamwall_model::BackendId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What an engine may get in a window: this many times its limit, and some more.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_MORE: f64 = 5.0;
/// Share of a limit that is used where there is demand.
const USED_SHARE: f64 = 0.8;
/// Length of a simulation.
const LENGTH: Duration = Duration::from_secs(40);
/// Time for which nodes may disagree about the permit node.
const DISAGREEMENT: Duration = Duration::from_secs(1);
const LIMITS: [f64; 4] = [0.3, 1.2, 7.5, 200.0];
const NODES: [usize; 3] = [3, 18, 300];
const CASES: u32 = 60;

fn engine() -> BackendId {
    BackendId::new("i-1")
}

/// Nodes that send to one engine. Each asks the permit node in its view.
struct Fleet {
    limit: RequestRate,
    denials: Vec<Denials>,
    ledgers: Vec<PermitLedger>,
    /// The permit node in the view of each node.
    views: Vec<usize>,
    /// The part of the limit that each permit node may grant.
    fraction: f64,
    sent: Vec<Instant>,
}

impl Fleet {
    fn new(nodes: usize, limit: f64) -> Self {
        Self {
            limit: RequestRate::new(limit).expect("a rate"),
            denials: (0..nodes).map(|_| Denials::default()).collect(),
            ledgers: (0..nodes).map(|_| PermitLedger::default()).collect(),
            views: vec![0; nodes],
            fraction: 1.0,
            sent: Vec::new(),
        }
    }

    /// A request of a rank comes to a node.
    fn request(&mut self, node: usize, rank: u8, now: Instant) {
        if self.denials[node].wait(&engine(), rank, now).is_some() {
            return;
        }
        let ledger = &self.ledgers[self.views[node]];
        match ledger.request(&engine(), Allowance::for_limit(self.limit), self.fraction, rank, now) {
            Grant::Granted => self.sent.push(now),
            Grant::Denied(wait) => self.denials[node].note(&engine(), rank, wait, now),
        }
    }

    /// A node no longer considers itself the permit node.
    fn resign(&self, node: usize) {
        self.ledgers[node].retain(|_| false);
    }

    fn most_in_window(&self) -> usize {
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.sent.iter().enumerate() {
            while at.duration_since(self.sent[first]) >= WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    fn assert_within_limit(&self) {
        let limit = self.limit.per_second();
        let allowed = TOLERATED_FACTOR * limit * WINDOW.as_secs_f64() + TOLERATED_MORE;
        let most = self.most_in_window();
        assert!(most as f64 <= allowed, "{most} in a window at {limit} a second, {allowed} allowed");
    }
}

/// Which nodes callers come to.
#[derive(Debug, Clone, Copy)]
enum Callers {
    Everywhere,
    AtOne,
    Moving,
}

impl Callers {
    fn node(self, random: &mut StdRng, nodes: usize, since: Duration) -> usize {
        match self {
            Self::Everywhere => random.random_range(0..nodes),
            Self::AtOne => nodes - 1,
            Self::Moving => (since.as_secs() as usize / 3) % nodes,
        }
    }
}

/// Three times as many requests as the limit come, at random times; `act` runs before each.
fn play(
    source: &mut Unstructured<'_>,
    fleet: &mut Fleet,
    callers: Callers,
    mut act: impl FnMut(&mut Fleet, Duration),
) -> arbtest::arbitrary::Result<()> {
    let mut random = StdRng::seed_from_u64(source.arbitrary()?);
    let start = Instant::now();
    let mean_gap = Duration::from_secs_f64(1.0 / (3.0 * fleet.limit.per_second()));
    let mut since = Duration::ZERO;
    while since < LENGTH {
        let share: f64 = random.random_range(0.001..1.0);
        since += mean_gap.mul_f64(-share.ln());
        act(fleet, since);
        let node = callers.node(&mut random, fleet.views.len(), since);
        let rank = random.random_range(0..=9);
        fleet.request(node, rank, start + since);
    }
    Ok(())
}

fn any_fleet(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<(Fleet, Callers)> {
    let fleet = Fleet::new(*source.choose(&NODES)?, *source.choose(&LIMITS)?);
    let callers = *source.choose(&[Callers::Everywhere, Callers::AtOne, Callers::Moving])?;
    Ok((fleet, callers))
}

/// Guards against: many nodes together send more than an engine's limit, or keep to it by sending nothing.
#[test]
fn one_permit_node_keeps_to_the_limit_and_uses_it() {
    beamwall_seeds::on_seeds(CASES, |source| {
        let (mut fleet, callers) = any_fleet(source)?;
        play(source, &mut fleet, callers, |_, _| {})?;
        fleet.assert_within_limit();
        let owed = USED_SHARE * fleet.limit.requests_in(LENGTH - DISAGREEMENT) - 1.0;
        let used = fleet.sent.len() as f64;
        assert!(used >= owed, "{used} sent at {}, {owed} owed, {callers:?}", fleet.limit);
        Ok(())
    });
}

/// Guards against: each new permit node begins with a full bucket, or the old one returns with a full one.
#[test]
fn permit_nodes_that_follow_each_other_keep_to_the_limit_together() {
    beamwall_seeds::on_seeds(CASES, |source| {
        let (mut fleet, callers) = any_fleet(source)?;
        let nodes = fleet.views.len();
        let period = Duration::from_millis(source.int_in_range(1_500..=9_000)?);
        play(source, &mut fleet, callers, |fleet, since| {
            // Half of the nodes learn of each change later than the others.
            for node in 0..nodes {
                let delay = if node % 2 == 0 { Duration::ZERO } else { DISAGREEMENT };
                let turn = since.saturating_sub(delay).div_duration_f64(period) as usize;
                fleet.views[node] = turn % 2;
            }
            for candidate in 0..2 {
                if !fleet.views.contains(&candidate) {
                    fleet.resign(candidate);
                }
            }
        })?;
        fleet.assert_within_limit();
        Ok(())
    });
}

/// Guards against: the sides of a partition send the whole limit each.
#[test]
fn both_sides_of_a_partition_keep_to_the_limit_together() {
    beamwall_seeds::on_seeds(CASES, |source| {
        let (mut fleet, callers) = any_fleet(source)?;
        fleet.fraction = 0.5;
        for (node, view) in fleet.views.iter_mut().enumerate() {
            *view = node % 2;
        }
        play(source, &mut fleet, callers, |_, _| {})?;
        fleet.assert_within_limit();
        Ok(())
    });
}

/// Guards against: permits saved up under a high limit are used after the engine has named a lower one.
#[test]
fn a_lower_limit_holds_at_once() {
    let (ledger, start) = (PermitLedger::default(), Instant::now());
    let rate = |per_second| Allowance::for_limit(RequestRate::new(per_second).expect("a rate"));
    ledger.request(&engine(), rate(200.0), 1.0, 0, start);
    let later = start + WINDOW;
    assert_eq!(ledger.request(&engine(), rate(200.0), 1.0, 0, later), Grant::Granted);
    let granted =
        (0..100).filter(|_| ledger.request(&engine(), rate(1.2), 1.0, 0, later) == Grant::Granted).count();
    assert!(granted as f64 <= TOLERATED_MORE, "{granted} at once");
}

/// Guards against: the least urgent requests use up a limit before the most urgent ones.
#[test]
fn urgent_requests_come_first() {
    let (ledger, start) = (PermitLedger::default(), Instant::now());
    let rate = Allowance::for_limit(RequestRate::new(1.0).expect("a rate"));
    ledger.request(&engine(), rate, 1.0, 9, start);
    let later = start + WINDOW;
    while ledger.request(&engine(), rate, 1.0, 9, later) == Grant::Granted {}
    assert_eq!(ledger.request(&engine(), rate, 1.0, 0, later), Grant::Granted);
}

/// Guards against: a denial of the least urgent request keeps a node from asking for its most urgent ones.
#[test]
fn a_denial_holds_for_its_rank_and_less_urgent_ones() {
    let (denials, start) = (Denials::default(), Instant::now());
    denials.note(&engine(), 5, WINDOW, start);
    assert_eq!(denials.wait(&engine(), 4, start), None);
    assert_eq!(denials.wait(&engine(), 5, start), Some(WINDOW));
    assert_eq!(denials.denied(9, start), vec![engine()]);
    assert!(denials.denied(0, start).is_empty());
    assert!(denials.denied(9, start + WINDOW).is_empty());
}
