//! What is learnt from random requests, against engines whose speeds are known.

mod support;

use beamwall_engine_model::{
    EngineModels, FirstEvent, Reading, ServiceEstimates, ServiceStatistics, Workload,
};
use beamwall_model::{BackendId, ServiceName};
use support::{Requests, Truth};
use tokio::time::Instant;

/// Engines a fifth to five times as fast as today's, with other slots.
const SPEEDS: [(f64, u32); 5] = [(0.2, 8), (0.5, 128), (1.0, 24), (2.5, 48), (5.0, 16)];
/// Requests after which the model must be right.
const REQUESTS: usize = 200;
/// How far a learnt figure may be off, as a part of the truth.
const OFF: f64 = 0.15;

/// Observes random requests as a node does, refitting now and then.
fn observe(statistics: &mut ServiceStatistics, truth: &Truth, requests: &mut Requests, count: usize) {
    let mut known = statistics.estimates();
    for number in 0..count {
        if number % 10 == 0 {
            known = statistics.estimates();
        }
        let request = requests.first_event();
        let took_ms = requests.measured(truth.first_event_ms(request));
        statistics.note_first_event(request, took_ms, &known);
        let running = requests.running();
        let gap_ms = requests.measured(truth.event_gap_ms(running));
        statistics.note_event_gap(running, gap_ms, &known);
    }
}

fn assert_close(what: &str, learnt: Option<f64>, truth: f64, of: &Truth) {
    let learnt = learnt.unwrap_or_else(|| panic!("{what} is not known of {of:?}"));
    assert!((learnt / truth - 1.0).abs() < OFF, "{what}: learnt {learnt:.2}, truth {truth:.2} of {of:?}");
}

fn assert_learnt(estimates: &ServiceEstimates, truth: &Truth) {
    for tokens in [500, 2_000, 8_000, 20_000] {
        let reading = Reading::of_rest(0, tokens);
        let request = FirstEvent { reading, tokens_ahead: 0, running: truth.slots / 2 };
        let expected = truth.first_event_ms(request);
        assert_close("time to the first event", estimates.first_event_ms(request), expected, truth);
    }
    let waits = FirstEvent { reading: Reading::of_rest(0, 1_000), tokens_ahead: 8_000, running: 1 };
    assert_close("time behind others", estimates.first_event_ms(waits), truth.first_event_ms(waits), truth);
    for running in [1, truth.slots / 2, truth.slots] {
        let expected = truth.event_gap_ms(running);
        assert_close("time between events", estimates.event_gap_ms(running), expected, truth);
    }
    let reading = Reading::of_rest(0, 10_000);
    assert_close("reading", estimates.reading_ms(reading), truth.reading_ms(reading), truth);
}

#[test]
fn two_hundred_requests_tell_the_speed_of_any_engine() {
    for (seed, (factor, slots)) in (1..).zip(SPEEDS) {
        let truth = Truth::of_speed(factor, slots);
        let mut statistics = ServiceStatistics::default();
        observe(&mut statistics, &truth, &mut Requests::new(seed, slots), REQUESTS);
        assert_learnt(&statistics.estimates(), &truth);
    }
}

#[test]
fn nodes_that_saw_a_part_each_know_it_together() {
    let truth = Truth::of_speed(1.0, 24);
    let service = ServiceName::new("pool");
    let newcomer: EngineModels<u32> = EngineModels::default();
    for node in 0..4 {
        let mut statistics = ServiceStatistics::default();
        observe(&mut statistics, &truth, &mut Requests::new(u64::from(node) + 40, 24), REQUESTS / 4);
        let told = ServiceStatistics::from_numbers(&statistics.to_numbers()).expect("the sums");
        assert_eq!(told, statistics);
        newcomer.set_peer(&node, [(service.clone(), told)].into());
    }
    assert!(!newcomer.estimates(&service).is_known());
    assert_eq!(newcomer.refresh(Instant::now()), std::slice::from_ref(&service));
    assert_learnt(&newcomer.estimates(&service), &truth);
    assert!(newcomer.refresh(Instant::now()).is_empty(), "it is told once");
}

#[test]
fn a_change_of_speed_is_followed() {
    let mut statistics = ServiceStatistics::default();
    observe(&mut statistics, &Truth::of_speed(1.0, 24), &mut Requests::new(5, 24), 1_000);
    let slower = Truth::of_speed(0.5, 24);
    observe(&mut statistics, &slower, &mut Requests::new(6, 24), 2_000);
    assert_learnt(&statistics.estimates(), &slower);
}

#[test]
fn nothing_is_expected_before_enough_was_seen() {
    let mut statistics = ServiceStatistics::default();
    observe(&mut statistics, &Truth::of_speed(1.0, 24), &mut Requests::new(7, 24), 5);
    let estimates = statistics.estimates();
    assert!(!estimates.is_known());
    assert_eq!(estimates.first_event_ms(FirstEvent::default()), None);
    assert_eq!(estimates.occupancy(Workload::default()), None);
}

#[test]
fn numbers_that_are_no_sums_are_refused() {
    let numbers = ServiceStatistics::default().to_numbers();
    assert!(ServiceStatistics::from_numbers(&numbers[1..]).is_none());
    let broken = vec![f64::NAN; numbers.len()];
    assert!(ServiceStatistics::from_numbers(&broken).is_none());
}

#[test]
fn one_slow_engine_among_ten_is_found_and_forgiven() {
    let truth = Truth::of_speed(1.0, 24);
    let service = ServiceName::new("pool");
    let models: EngineModels<u32> = EngineModels::default();
    let mut requests = Requests::new(9, 24);
    let engines: Vec<BackendId> = (0..10).map(|number| BackendId::new(format!("i-{number}"))).collect();
    let start = Instant::now();
    // Fifty requests a second: each engine gets five.
    let at = |number: usize| start + std::time::Duration::from_millis(20 * number as u64);
    for number in 0..400 {
        let engine = &engines[number % engines.len()];
        let request = requests.first_event();
        let is_slow = number >= 300 && engine == &engines[3];
        let truth_ms = truth.first_event_ms(request) * if is_slow { 5.0 } else { 1.0 };
        models.note_first_event(&service, engine, request, requests.measured(truth_ms), at(number));
        let running = requests.running();
        let gap_ms = truth.event_gap_ms(running) * if is_slow { 5.0 } else { 1.0 };
        models.note_event_gap(&service, engine, running, requests.measured(gap_ms), at(number));
        if number % 10 == 0 {
            models.refresh(at(number));
        }
    }
    models.refresh(at(400));
    let slow = models.slowness(&engines[3]);
    assert!(slow > 2.0, "{slow}");
    for engine in engines.iter().filter(|engine| *engine != &engines[3]) {
        let usual = models.slowness(engine);
        assert!((0.6..1.5).contains(&usual), "{engine}: {usual}");
    }
    models.refresh(at(400) + std::time::Duration::from_secs(20));
    let later = models.slowness(&engines[3]);
    assert!(later < 1.2, "{later}");
}
