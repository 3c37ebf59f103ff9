//! The operator's bounds on bad versions hold in simulated rollouts during which all or some nodes of a zone are
//! killed and start again, whatever the zone counted before.

mod zone_simulation;

use std::ops::Range;

use zone_simulation::{BOUNDS, Kill, Outcome, STEP_MS, Scenario, simulate};

/// Nodes of a zone of which some run on.
const NODES_OF_ZONE: usize = 4;
/// Additional share of bad answers of a slightly bad version.
const SLIGHT_DEFECT_SHARE: f64 = 0.05;
/// Part of the interval after which a version turns bad that nobody can find bad before its end.
const LAST_MOMENT: f64 = 0.99;
/// Part of the interval after which a version turns bad that is found bad while no evidence is hidden.
const LATE: f64 = 0.9;
/// Seeds of each scenario.
const RUNS: u64 = 10;

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
