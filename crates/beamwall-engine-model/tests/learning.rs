//! Estimates learnt from random requests to simulated engines of known speed.

mod support;

use beamwall_engine_model::{
    EngineModels, FirstEventInputs, PrefillWork, ServiceEstimates, ServiceStatistics, Workload,
};
use beamwall_model::{BackendId, ServiceName};
use support::{RequestGenerator, SimulatedEngine};
use tokio::time::Instant;

/// Speed relative to the reference engine, a fifth to five times, and the number of slots.
const SPEEDS: [(f64, u32); 5] = [(0.2, 8), (0.5, 128), (1.0, 24), (2.5, 48), (5.0, 16)];
/// Requests after which the estimates must be accurate.
const REQUESTS: usize = 200;
/// Tolerated relative error of an estimate.
const TOLERANCE: f64 = 0.15;

/// Records random requests as a node does, refitting every ten requests.
fn observe(
    statistics: &mut ServiceStatistics,
    simulated: &SimulatedEngine,
    requests: &mut RequestGenerator,
    count: usize,
) {
    let mut known = statistics.estimates();
    for number in 0..count {
        if number % 10 == 0 {
            known = statistics.estimates();
        }
        let request = requests.first_event();
        let took_ms = requests.with_noise(simulated.first_event_ms(request));
        statistics.record_first_event(request, took_ms, &known);
        let running = requests.running();
        let gap_ms = requests.with_noise(simulated.event_gap_ms(running));
        statistics.record_event_gap(running, gap_ms, &known);
    }
}

fn assert_close(what: &str, estimate: Option<f64>, expected: f64, simulated: &SimulatedEngine) {
    let estimate = estimate.unwrap_or_else(|| panic!("no estimate of {what} for {simulated:?}"));
    assert!(
        (estimate / expected - 1.0).abs() < TOLERANCE,
        "{what}: estimate {estimate:.2}, expected {expected:.2} for {simulated:?}"
    );
}

fn assert_estimates_match(estimates: &ServiceEstimates, simulated: &SimulatedEngine) {
    for tokens in [500, 2_000, 8_000, 20_000] {
        let prefill = PrefillWork::of_uncached(0, tokens);
        let request = FirstEventInputs { prefill, tokens_ahead: 0, running: simulated.slots / 2 };
        let expected = simulated.first_event_ms(request);
        assert_close("time to the first event", estimates.first_event_ms(request), expected, simulated);
    }
    let waits =
        FirstEventInputs { prefill: PrefillWork::of_uncached(0, 1_000), tokens_ahead: 8_000, running: 1 };
    assert_close(
        "time to the first event behind other prompts",
        estimates.first_event_ms(waits),
        simulated.first_event_ms(waits),
        simulated,
    );
    for running in [1, simulated.slots / 2, simulated.slots] {
        let expected = simulated.event_gap_ms(running);
        assert_close("time between events", estimates.event_gap_ms(running), expected, simulated);
    }
    let prefill = PrefillWork::of_uncached(0, 10_000);
    assert_close("prefill", estimates.prefill_ms(prefill), simulated.prefill_ms(prefill), simulated);
}

#[test]
fn two_hundred_requests_suffice_to_estimate_any_engine_speed() {
    for (seed, (factor, slots)) in (1..).zip(SPEEDS) {
        let simulated = SimulatedEngine::of_speed(factor, slots);
        let mut statistics = ServiceStatistics::default();
        observe(&mut statistics, &simulated, &mut RequestGenerator::new(seed, slots), REQUESTS);
        assert_estimates_match(&statistics.estimates(), &simulated);
    }
}

#[test]
fn merged_statistics_of_several_nodes_give_one_model() {
    let simulated = SimulatedEngine::of_speed(1.0, 24);
    let service = ServiceName::new("pool");
    let new_node: EngineModels<u32> = EngineModels::default();
    for node in 0..4 {
        let mut statistics = ServiceStatistics::default();
        observe(
            &mut statistics,
            &simulated,
            &mut RequestGenerator::new(u64::from(node) + 40, 24),
            REQUESTS / 4,
        );
        let decoded = ServiceStatistics::from_numbers(&statistics.to_numbers()).expect("valid encoded sums");
        assert_eq!(decoded, statistics);
        new_node.set_peer_statistics(&node, [(service.clone(), decoded)].into());
    }
    assert!(!new_node.estimates(&service).is_known());
    assert_eq!(new_node.refresh(Instant::now()), std::slice::from_ref(&service));
    assert_estimates_match(&new_node.estimates(&service), &simulated);
    assert!(new_node.refresh(Instant::now()).is_empty(), "a known service is returned only once");
}

#[test]
fn estimates_follow_a_change_of_speed() {
    let mut statistics = ServiceStatistics::default();
    observe(&mut statistics, &SimulatedEngine::of_speed(1.0, 24), &mut RequestGenerator::new(5, 24), 1_000);
    let slower = SimulatedEngine::of_speed(0.5, 24);
    observe(&mut statistics, &slower, &mut RequestGenerator::new(6, 24), 2_000);
    assert_estimates_match(&statistics.estimates(), &slower);
}

#[test]
fn no_estimates_before_enough_samples() {
    let mut statistics = ServiceStatistics::default();
    observe(&mut statistics, &SimulatedEngine::of_speed(1.0, 24), &mut RequestGenerator::new(7, 24), 5);
    let estimates = statistics.estimates();
    assert!(!estimates.is_known());
    assert_eq!(estimates.first_event_ms(FirstEventInputs::default()), None);
    assert_eq!(estimates.occupancy(Workload::default()), None);
}

#[test]
fn invalid_encoded_sums_are_rejected() {
    let numbers = ServiceStatistics::default().to_numbers();
    assert!(ServiceStatistics::from_numbers(&numbers[1..]).is_none());
    let broken = vec![f64::NAN; numbers.len()];
    assert!(ServiceStatistics::from_numbers(&broken).is_none());
}

#[test]
fn one_slow_engine_among_ten_is_detected_and_decays() {
    let simulated = SimulatedEngine::of_speed(1.0, 24);
    let service = ServiceName::new("pool");
    let models: EngineModels<u32> = EngineModels::default();
    let mut requests = RequestGenerator::new(9, 24);
    let engines: Vec<BackendId> = (0..10).map(|number| BackendId::new(format!("i-{number}"))).collect();
    let start = Instant::now();
    // 50 requests a second: 5 to each engine.
    let at = |number: usize| start + std::time::Duration::from_millis(20 * number as u64);
    for number in 0..400 {
        let engine = &engines[number % engines.len()];
        let request = requests.first_event();
        let is_slow = number >= 300 && engine == &engines[3];
        let exact_ms = simulated.first_event_ms(request) * if is_slow { 5.0 } else { 1.0 };
        models.record_first_event(&service, engine, request, requests.with_noise(exact_ms), at(number));
        let running = requests.running();
        let gap_ms = simulated.event_gap_ms(running) * if is_slow { 5.0 } else { 1.0 };
        models.record_event_gap(&service, engine, running, requests.with_noise(gap_ms), at(number));
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
