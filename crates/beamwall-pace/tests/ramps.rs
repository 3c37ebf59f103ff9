//! A server joins others that are 40% busy. Its requests and response times are counted while its pace is found.
//!
//! Load: ten equal servers that each process one request after another, requests that arrive at random at any of many
//! senders, and a server that joins and is warm or cold for seconds. Time is simulated.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_pace::{PaceTracker, PacedCandidate, Selection, select};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Servers beside the one that joins.
const OTHERS: usize = 10;
/// Work of a request at a warm server, in milliseconds.
const WORK_MS: f64 = 8.0;
/// Part of their time for which the servers are busy.
const BUSY: f64 = 0.4;
/// Time within which a response is in time.
const OBJECTIVE_MS: f64 = 40.0;
/// Factor by which a cold server takes longer, and the time for which it is cold.
const COLD_FACTOR: f64 = 1.6;
const COLD_TIME: Duration = Duration::from_secs(4);
/// Length of the simulated time.
const DURATION: Duration = Duration::from_secs(6);
const TENTHS: usize = 60;
const SEEDS: u64 = 20;
/// Numbers of senders that ask one node for their choices.
const FLEETS: [usize; 4] = [3, 67, 300, 2_700];
/// Period of the reports by which senders that choose for themselves know of each other's requests.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// How the requests to the new server are limited.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// By a pace.
    Paced,
    /// Not at all: the cheapest server is chosen.
    Unlimited,
}

/// How the work queued at the new server is known.
#[derive(Clone, Copy, PartialEq)]
enum Knowledge {
    /// One node chooses for all senders.
    Exact,
    /// Senders choose for themselves and report what they sent.
    Reported,
}

/// What the new server experiences.
struct Outcome {
    /// Requests that it gets in each tenth of a second from its start.
    per_tenth: [f64; TENTHS],
    /// Part of its requests that were not in time.
    late: f64,
    /// Part of the requests of all servers that were not in time.
    late_everywhere: f64,
}

impl Outcome {
    /// Requests a second in a span of tenths.
    fn rate(&self, tenths: std::ops::Range<usize>) -> f64 {
        let count = tenths.len() as f64;
        self.per_tenth[tenths].iter().sum::<f64>() * 10.0 / count
    }
}

/// Requests a second of one of the servers if all get the same part.
fn fair_rate() -> f64 {
    BUSY * 1_000.0 / WORK_MS
}

/// Time until a server that is busy until `free_at` has processed what it has, in milliseconds.
fn queued_ms(free_at: Instant, now: Instant) -> f64 {
    free_at.saturating_duration_since(now).as_secs_f64() * 1_000.0
}

/// The tracker of a node that knows the list of servers before and after the last one joins.
fn tracker(strategy: Strategy, names: &[BackendId], now: Instant) -> PaceTracker {
    let tracker = if strategy == Strategy::Paced { PaceTracker::enabled() } else { PaceTracker::default() };
    tracker.set_listed(names[..OTHERS].iter(), |_| true, now);
    tracker.set_listed(names.iter(), |_| true, now);
    tracker
}

/// Plays a server that joins, whose work takes `factor` times as long. Each sender reports response times with its next
/// question, as it does for placements.
fn play(
    strategy: Strategy,
    knowledge: Knowledge,
    senders: usize,
    factor: fn(Duration) -> f64,
    seed: u64,
) -> Outcome {
    let start = Instant::now();
    let names: Vec<BackendId> = (0..=OTHERS).map(|number| BackendId::new(format!("s{number}"))).collect();
    let choosing = if knowledge == Knowledge::Exact { 1 } else { senders };
    let paces: Vec<PaceTracker> = (0..choosing).map(|_| tracker(strategy, &names, start)).collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut free_at = vec![start; names.len()];
    let mut expected_free_at = free_at.clone();
    let mut reported = (start, start);
    let mut unreported: HashMap<usize, Vec<f64>> = HashMap::new();
    let mut outcome = Outcome { per_tenth: [0.0; TENTHS], late: 0.0, late_everywhere: 0.0 };
    let (mut now, mut all) = (start, 0.0);
    loop {
        let pause_s = -random.random::<f64>().ln() / (fair_rate() * names.len() as f64);
        now += Duration::from_secs_f64(pause_s);
        let passed = now - start;
        if passed >= DURATION {
            break;
        }
        let sender = random.random_range(0..senders);
        let pace = &paces[sender % choosing];
        for ratio in unreported.remove(&sender).unwrap_or_default() {
            pace.note_response(&names[OTHERS], ratio, now);
        }
        let candidate = |(name, at): (&BackendId, &Instant)| PacedCandidate {
            share: pace.share(name, now),
            cost_ms: queued_ms(*at, now) + WORK_MS,
        };
        let mut candidates: Vec<PacedCandidate> =
            names.iter().zip(&expected_free_at).map(candidate).collect();
        if now - reported.0 >= REPORT_PERIOD {
            reported = (now, expected_free_at[OTHERS]);
        }
        if knowledge == Knowledge::Reported {
            candidates[OTHERS].cost_ms = queued_ms(reported.1, now) + WORK_MS;
        }
        let chosen = choose(&candidates, &mut random);
        let slowness = if chosen == OTHERS { factor(passed) } else { 1.0 };
        let add_work = |at: &mut Instant, work_ms: f64| {
            *at = (*at).max(now) + Duration::from_secs_f64(work_ms / 1_000.0);
        };
        add_work(&mut free_at[chosen], WORK_MS * slowness);
        add_work(&mut expected_free_at[chosen], WORK_MS);
        let took_ms = queued_ms(free_at[chosen], now);
        let late = f64::from(u8::from(took_ms > OBJECTIVE_MS));
        all += 1.0;
        outcome.late_everywhere += late;
        if chosen == OTHERS {
            outcome.per_tenth[passed.as_millis() as usize / 100] += 1.0;
            outcome.late += late;
            unreported.entry(sender).or_default().push(took_ms / candidates[chosen].cost_ms);
        }
    }
    outcome.late /= outcome.per_tenth.iter().sum::<f64>().max(1.0);
    outcome.late_everywhere /= all;
    outcome
}

/// The cheapest candidate among those that the paces allow; equal ones share the requests.
fn choose(candidates: &[PacedCandidate], random: &mut SmallRng) -> usize {
    let all_allowed = match select(candidates, random.random()) {
        Selection::Only(position) => return position,
        Selection::All => true,
        Selection::Unpaced => false,
    };
    let is_allowed = |position: &usize| all_allowed || candidates[*position].share >= 1.0;
    let allowed = (0..candidates.len()).filter(is_allowed);
    let costs =
        allowed.map(|position| (position, candidates[position].cost_ms + 0.1 * random.random::<f64>()));
    costs.min_by(|left, right| left.1.total_cmp(&right.1)).expect("a candidate").0
}

/// The mean of a value over several seeds.
fn mean(
    strategy: Strategy,
    knowledge: Knowledge,
    senders: usize,
    factor: fn(Duration) -> f64,
    value: impl Fn(&Outcome) -> f64,
) -> f64 {
    let values = (0..SEEDS).map(|seed| value(&play(strategy, knowledge, senders, factor, seed)));
    values.sum::<f64>() / SEEDS as f64
}

fn warm(_: Duration) -> f64 {
    1.0
}

fn cold(passed: Duration) -> f64 {
    if passed < COLD_TIME { COLD_FACTOR } else { 1.0 }
}

/// Guards against: a new warm server stays idle for seconds.
#[test]
fn a_warm_server_has_nine_tenths_of_its_part_within_a_second() {
    for senders in FLEETS {
        let reached = mean(Strategy::Paced, Knowledge::Exact, senders, warm, |outcome| outcome.rate(10..15));
        assert!(reached >= 0.9 * fair_rate(), "{senders} senders: {reached:.1} of {:.1}", fair_rate());
    }
}

/// Guards against: a new server gets several times its part, since it looks idle to all.
#[test]
fn a_new_server_gets_a_small_part_at_first() {
    for senders in FLEETS {
        let first = mean(Strategy::Paced, Knowledge::Exact, senders, cold, |outcome| outcome.rate(0..2));
        assert!(first <= 0.35 * fair_rate(), "{senders} senders: {first:.1} of {:.1}", fair_rate());
    }
}

/// Guards against: a cold server gets more than it can serve within the objective.
#[test]
fn a_cold_server_gets_at_most_a_tenth_more_than_it_can_serve_in_time() {
    let able = 1_000.0 / (WORK_MS * COLD_FACTOR);
    for senders in FLEETS {
        let got = mean(Strategy::Paced, Knowledge::Exact, senders, cold, |outcome| outcome.rate(0..40));
        assert!(got <= 1.1 * able, "{senders} senders: {got:.1} of {able:.1}");
    }
}

/// Guards against: callers pay for the pace of one server by waiting at the others.
#[test]
fn no_more_requests_are_late_than_without_a_pace() {
    for senders in FLEETS {
        for factor in [warm, cold] {
            let late = |strategy| {
                mean(strategy, Knowledge::Exact, senders, factor, |outcome| outcome.late_everywhere)
            };
            let (paced, unlimited) = (late(Strategy::Paced), late(Strategy::Unlimited));
            assert!(
                paced <= unlimited + 0.002,
                "{senders} senders: {paced:.4}, {unlimited:.4} without a pace"
            );
        }
    }
}

/// Guards against: all senders take a new server for idle until the next report, and its first callers are late.
#[test]
fn senders_that_choose_for_themselves_do_not_flood_a_new_server() {
    for senders in [3, 67] {
        for factor in [warm, cold] {
            let late = |strategy| {
                mean(strategy, Knowledge::Reported, senders, factor, |outcome| outcome.late_everywhere)
            };
            let (paced, unlimited) = (late(Strategy::Paced), late(Strategy::Unlimited));
            assert!(paced <= unlimited / 2.0, "{senders} senders: {paced:.4}, {unlimited:.4} without a pace");
        }
    }
}
