//! Lasting speeds of individual back ends, learnt from noisy samples with slow spells.
//!
//! Load: back ends of three lasting speeds, 0.7, 0.7 and 1.7 of the usual, each of which takes 2.5 times as
//! long for spells of 600 ms in 15 of 100 of the time. Time is simulated.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::time::Duration;

use beamwall_engine_model::{
    BackendKind, EngineModels, EngineObservation, FirstEventInputs, LastingObservation, SlownessObservation,
};
use beamwall_model::{BackendId, ServiceName};
use beamwall_seeds::on_seeds;
use support::{RequestGenerator, SimulatedEngine};
use tokio::time::Instant;

const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const SPELL_FACTOR: f64 = 2.5;
const SPELL_MS: u64 = 600;
/// Time between the starts of two spells of one back end: 15 of 100 of the time is slow.
const SPELL_PERIOD_MS: u64 = 4_000;
/// Time between two fits.
const REFRESH_MS: u64 = 500;
/// Concurrent requests of a back end.
const SLOTS: u32 = 24;

fn service() -> ServiceName {
    ServiceName::new("pool")
}

fn engine(number: usize) -> BackendId {
    BackendId::new(format!("i-{number}"))
}

fn list(models: &EngineModels<u32>, engines: usize) {
    let kind = |_| BackendKind { service: service(), reclaimable: false };
    models.set_listed((0..engines).map(|number| (engine(number), kind(number))));
}

/// Whether a back end has a slow spell. The spells of several back ends begin at different times.
fn is_in_spell(number: usize, at_ms: u64) -> bool {
    (at_ms + number as u64 * 1_370) % SPELL_PERIOD_MS < SPELL_MS
}

/// Back ends that are asked in turn, and the models that learn from them.
struct Fleet {
    models: EngineModels<u32>,
    requests: RequestGenerator,
    start: Instant,
    at_ms: u64,
}

impl Fleet {
    fn new(models: EngineModels<u32>, engines: usize) -> Self {
        Self::seeded(models, engines, 3)
    }

    fn seeded(models: EngineModels<u32>, engines: usize, seed: u64) -> Self {
        list(&models, engines);
        Self { models, requests: RequestGenerator::new(seed, SLOTS), start: Instant::now(), at_ms: 0 }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.at_ms)
    }

    /// Records one request: its first event and the time between events.
    fn ask(&mut self, number: usize, factor: f64) {
        let simulated = SimulatedEngine::of_speed(1.0, SLOTS);
        let inputs = self.requests.first_event();
        let took_ms = self.requests.with_noise(simulated.first_event_ms(inputs) * factor);
        self.models.record_first_event(&service(), &engine(number), inputs, took_ms, self.now());
        let running = self.requests.running();
        let gap_ms = self.requests.with_noise(simulated.event_gap_ms(running) * factor);
        self.models.record_event_gap(&service(), &engine(number), running, gap_ms, self.now());
    }

    /// Lets time pass by `step_ms` with fits on the way.
    fn advance(&mut self, step_ms: u64) {
        let due = (self.at_ms + step_ms) / REFRESH_MS > self.at_ms / REFRESH_MS;
        self.at_ms += step_ms;
        if due {
            self.models.refresh(self.now());
        }
    }

    /// Asks all back ends in turn, each 4 times a second, for a time.
    fn run(&mut self, engines: usize, duration_ms: u64, factor: impl Fn(usize, u64) -> f64) {
        let until_ms = self.at_ms + duration_ms;
        let mut turn = 0;
        while self.at_ms < until_ms {
            let number = turn % engines;
            self.ask(number, factor(number, self.at_ms));
            turn += 1;
            self.advance((250 / engines as u64).max(1));
        }
    }
}

fn with_spells(number: usize, at_ms: u64) -> f64 {
    let spell = if is_in_spell(number, at_ms) { SPELL_FACTOR } else { 1.0 };
    spell / SPEEDS[number % SPEEDS.len()]
}

/// Guards against: spells and wild samples are taken for the lasting speed, or the reverse.
#[test]
fn three_speeds_are_told_apart_despite_spells() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 12);
    fleet.run(12, 40_000, with_spells);
    let factor = |number| fleet.models.lasting_factor(&engine(number));
    for number in 0..12 {
        let expected = 1.7 / SPEEDS[number % 3];
        let measured = factor(number) / factor(2);
        assert!((measured / expected - 1.0).abs() < 0.12, "{number}: {measured:.3} instead of {expected:.3}");
    }
    let engines: Vec<BackendId> = (0..12).map(engine).collect();
    let mean_speed = fleet.models.mean_speed(&engines);
    // The mean speed relative to the geometric mean of the three.
    let expected = (0.7 + 0.7 + 1.7) / 3.0 / (0.7_f64 * 0.7 * 1.7).powf(1.0 / 3.0);
    assert!((mean_speed / expected - 1.0).abs() < 0.1, "{mean_speed:.3} instead of {expected:.3}");
    let spread = fleet.models.factor_spread(&service()).expect("listed back ends");
    assert!(spread.min < 0.7 && spread.median > 1.1 && spread.max < 1.6, "{spread:?}");
}

/// Guards against: back ends that are all equal are served differently when speeds are learnt.
#[test]
fn equal_back_ends_have_factors_of_one_and_the_same_estimates_as_without_learning() {
    for seed in 1..=100 {
        let mut learning = Fleet::seeded(EngineModels::learning_speeds(), 12, seed);
        let mut plain = Fleet::seeded(EngineModels::default(), 12, seed);
        for _ in 0..12 {
            learning.run(12, 5_000, |_, _| 1.0);
            plain.run(12, 5_000, |_, _| 1.0);
            for number in 0..12 {
                let factor = learning.models.lasting_factor(&engine(number));
                assert!((factor - 1.0).abs() <= 0.05, "seed {seed}, back end {number}: {factor:.3}");
                let slowness = |fleet: &Fleet| fleet.models.slowness(&engine(number));
                assert_eq!(slowness(&learning), slowness(&plain), "seed {seed}, back end {number}");
            }
        }
        let estimates = |fleet: &Fleet| fleet.models.estimates(&service()).as_ref().clone();
        assert_eq!(estimates(&learning), estimates(&plain), "seed {seed}");
    }
}

/// Guards against: factors and the service's estimates follow each other without end.
#[test]
fn factors_and_estimates_do_not_drift_over_a_long_run() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 6);
    let inputs = FirstEventInputs { tokens_ahead: 4_000, ..FirstEventInputs::default() };
    fleet.run(6, 60_000, with_spells);
    let after_a_minute = fleet.models.estimates(&service()).first_event_ms(inputs).expect("known");
    for _ in 0..30 {
        fleet.run(6, 60_000, with_spells);
        let logarithms = (0..6).map(|number| fleet.models.lasting_factor(&engine(number)).ln());
        let mean = logarithms.sum::<f64>() / 6.0;
        assert!(mean.abs() < 0.05, "mean logarithm {mean:.3}");
        let later = fleet.models.estimates(&service()).first_event_ms(inputs).expect("known");
        assert!((later / after_a_minute - 1.0).abs() < 0.15, "{later:.1} after {after_a_minute:.1} ms");
    }
}

/// Guards against: what was learnt of a back end is forgotten between two of its requests.
#[test]
fn a_back_end_asked_once_in_20_s_keeps_its_speed() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 7);
    let slow = |number: usize, _| if number == 6 { 2.0 } else { 1.0 };
    for round in 0..20 {
        fleet.ask(6, 2.0);
        fleet.run(6, 20_000, slow);
        let factor = fleet.models.lasting_factor(&engine(6));
        assert!(round < 12 || (1.5..2.3).contains(&factor), "after {round} requests: {factor:.2}");
    }
}

/// Guards against: a spell of a fast back end becomes its speed, is not noticed, or is not forgiven.
#[test]
fn a_spell_of_a_fast_back_end_is_found_and_forgiven_and_does_not_change_its_lasting_factor() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 9);
    let usual = |number: usize, _: u64| 1.0 / SPEEDS[number % 3];
    fleet.run(9, 30_000, usual);
    let (before, fast) = (fleet.models.lasting_factor(&engine(2)), engine(2));
    fleet.run(9, 2_000, |number, at| usual(number, at) * if number == 2 { 4.0 } else { 1.0 });
    fleet.models.refresh(fleet.now());
    let during = fleet.models.slowness(&fast);
    assert!(during > 2.0 * before, "{during:.2} in the spell, {before:.2} before");
    assert!(fleet.models.lasting_factor(&fast) < before * 1.25);
    fleet.run(9, 8_000, |number, at| if number == 2 { usual(2, at) } else { usual(number, at) });
    let after = fleet.models.slowness(&fast);
    assert!(after < before * 1.25, "{after:.2} 8 s after the spell, {before:.2} before");
}

/// Guards against: a back end that was slow for long is avoided for ever after it has recovered.
#[test]
fn a_slow_back_end_without_requests_counts_as_usual_again_after_two_minutes() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 8);
    fleet.run(8, 60_000, |number, _| if number == 7 { 4.0 } else { 1.0 });
    assert!(fleet.models.lasting_factor(&engine(7)) > 2.5);
    fleet.run(7, 30_000, |_, _| 1.0);
    assert!(fleet.models.lasting_factor(&engine(7)) > 2.5, "not forgotten within seconds");
    fleet.run(7, 90_000, |_, _| 1.0);
    assert_eq!(fleet.models.lasting_factor(&engine(7)), 1.0);
}

/// Guards against: a back end that has changed for good is taken for what it was.
#[test]
fn a_lasting_change_is_followed_within_ten_seconds() {
    for (first, then) in [(1.0, 2.4), (2.4, 1.0)] {
        let mut fleet = Fleet::new(EngineModels::learning_speeds(), 8);
        fleet.run(8, 60_000, |number, _| if number == 3 { first } else { 1.0 });
        fleet.run(8, 10_000, |number, _| if number == 3 { then } else { 1.0 });
        let factor = fleet.models.lasting_factor(&engine(3)) / fleet.models.lasting_factor(&engine(0));
        assert!((factor / then - 1.0_f64).abs() < 0.25, "{factor:.2} ten seconds after it became {then}");
    }
}

/// Guards against: a new node that selects back ends, or one that takes over, starts without their speeds.
#[test]
fn a_new_placement_node_knows_the_speeds_from_heartbeats_also_after_the_old_one_has_ended() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 12);
    fleet.run(12, 30_000, with_spells);
    let heir: EngineModels<u32> = EngineModels::learning_speeds();
    list(&heir, 12);
    for _ in 0..3 {
        fleet.advance(1_000);
        heir.set_peer_slowness(&1, fleet.models.own_slowness(fleet.now()), fleet.now());
    }
    heir.remove_peer(&1);
    fleet.advance(5_000);
    heir.refresh(fleet.now());
    for number in 0..12 {
        let (known, inherited) =
            (fleet.models.lasting_factor(&engine(number)), heir.lasting_factor(&engine(number)));
        assert!((inherited / known - 1.0).abs() < 0.15, "{number}: {inherited:.2} instead of {known:.2}");
    }
    let told = heir.own_slowness(fleet.now());
    assert!(told.iter().all(|(_, observed)| observed.lasting.weight == 0.0), "inherited: not told again");
}

/// Guards against: a node that never uses a back end itself has no part of what others report to it.
#[test]
fn the_placement_node_learns_from_single_samples_of_many_nodes() {
    let placement_node: EngineModels<u32> = EngineModels::learning_speeds();
    list(&placement_node, 2);
    let start = Instant::now();
    for number in 0..40_u64 {
        let now = start + Duration::from_millis(400 * number);
        let lasting = LastingObservation { logarithms: 0.8, weight: 1.0 };
        let slow = EngineObservation { recent: SlownessObservation::default(), lasting };
        placement_node.add_report(vec![(engine(0), slow)], now);
        placement_node.refresh(now);
    }
    let ratio = placement_node.lasting_factor(&engine(0)) / placement_node.lasting_factor(&engine(1));
    assert!((ratio.ln() - 0.8).abs() < 0.1, "{ratio:.2}");
}

/// Guards against: heartbeats that grow with the number of back ends.
#[test]
fn heartbeats_tell_few_lasting_speeds_and_all_of_them_in_turn() {
    const ENGINES: usize = 200;
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), ENGINES);
    fleet.run(ENGINES, 12_000, |number, _| 1.0 / SPEEDS[number % 3]);
    let mut told = std::collections::HashSet::new();
    let mut last = 0;
    for beat in 0..40 {
        fleet.advance(1_000);
        let lasting = fleet.models.own_slowness(fleet.now()).into_iter();
        let beat_told: Vec<BackendId> = lasting
            .filter(|(_, observed)| observed.lasting.weight > 0.0)
            .map(|(backend, _)| backend)
            .collect();
        assert!(beat_told.len() <= 16, "{} at once", beat_told.len());
        last = beat_told.len();
        told.extend(beat_told);
        assert!(beat < 30 || last <= 8, "{last} in calm");
    }
    assert_eq!(told.len(), ENGINES);
    assert!(last > 0, "repeated for nodes that start later");
    let mut equal = Fleet::new(EngineModels::learning_speeds(), 20);
    equal.run(20, 30_000, |_, _| 1.0);
    let lasting = |(_, observed): &(BackendId, EngineObservation)| observed.lasting.weight > 0.0;
    assert_eq!(equal.models.own_slowness(equal.now()).iter().filter(|one| lasting(one)).count(), 0);
}

/// Guards against: a new back end is taken to be as fast as the mean though all of its kind are slow.
#[test]
fn an_unknown_back_end_starts_from_what_is_known_of_its_kind() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 10);
    let kind = |number: usize| BackendKind { service: service(), reclaimable: number >= 5 };
    let list = |models: &EngineModels<u32>, count: usize| {
        models.set_listed((0..count).map(|number| (engine(number), kind(number))));
    };
    list(&fleet.models, 10);
    fleet.run(10, 20_000, |number, _| if number >= 5 { 2.0 } else { 1.0 });
    list(&fleet.models, 11);
    fleet.models.refresh(fleet.now());
    let ratio = fleet.models.lasting_factor(&engine(10)) / fleet.models.lasting_factor(&engine(0));
    assert!((ratio / 2.0 - 1.0).abs() < 0.15, "{ratio:.2}");
    fleet.run(11, 10_000, |number, _| if (5..10).contains(&number) { 2.0 } else { 1.0 });
    let ratio = fleet.models.lasting_factor(&engine(10)) / fleet.models.lasting_factor(&engine(0));
    assert!((ratio - 1.0).abs() < 0.15, "its own samples replace the prior: {ratio:.2}");
}

/// Guards against: a restarted back end inherits the speed of its earlier generation.
#[test]
fn an_unlisted_back_end_is_forgotten() {
    let mut fleet = Fleet::new(EngineModels::learning_speeds(), 4);
    fleet.run(4, 20_000, |number, _| if number == 3 { 3.0 } else { 1.0 });
    assert!(fleet.models.lasting_factor(&engine(3)) > 1.5);
    list(&fleet.models, 3);
    list(&fleet.models, 4);
    fleet.models.refresh(fleet.now());
    assert_eq!(fleet.models.lasting_factor(&engine(3)), 1.0);
}

/// Guards against: malformed or hostile observations make a factor useless.
#[test]
fn factors_stay_finite_and_centred_whatever_is_observed() {
    on_seeds(500, |random| {
        let models: EngineModels<u32> = EngineModels::learning_speeds();
        let count = random.int_in_range(1..=6_usize)?;
        list(&models, count);
        let mut now = Instant::now();
        for _ in 0..random.int_in_range(0..=60_u32)? {
            now += Duration::from_millis(u64::from(random.int_in_range(0..=20_000_u32)?));
            let number = |raw: u32| match raw {
                0 => f64::NAN,
                1 => f64::INFINITY,
                2 => -1e30,
                raw => f64::from(raw) / 100.0 - 5.0,
            };
            let logarithms = number(random.int_in_range(0..=1_000_u32)?);
            let weight = number(random.int_in_range(0..=1_000_u32)?);
            let lasting = LastingObservation { logarithms, weight };
            let observed = EngineObservation { lasting, ..EngineObservation::default() };
            let backend = engine(random.int_in_range(0..=6_usize)?);
            if random.int_in_range(0..=1_u32)? == 0 {
                models.add_report(vec![(backend, observed)], now);
            } else {
                models.set_peer_slowness(&random.int_in_range(0..=2_u32)?, vec![(backend, observed)], now);
            }
            models.refresh(now);
        }
        let logarithms: Vec<f64> =
            (0..count).map(|number| models.lasting_factor(&engine(number)).ln()).collect();
        assert!(logarithms.iter().all(|one| one.is_finite() && one.abs() <= 2.0 * 10_f64.ln()));
        let mean = logarithms.iter().sum::<f64>() / count as f64;
        assert!(mean.abs() <= 0.1, "{logarithms:?}");
        Ok(())
    });
}
