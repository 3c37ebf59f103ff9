//! Sudden loss of engines: who is admitted, and what callers get.

mod support;

use std::time::Duration;

use beamwall_seeds::on_seeds;
use support::{Groups, Outcome, Policy, Source, run, served_by_one_queue, share};

/// Part of what one queue that knows all would serve.
const SERVED_OF_BEST: f64 = 0.95;
/// Returns that may be rejected a second time.
const REJECTED_TWICE: f64 = 0.05;
const SEED: u64 = 7;

/// Interactive requests of 16 equal tenants that use `utilization` of so many engines.
fn sources(engines: usize, utilization: f64) -> Vec<Source> {
    let work = Duration::from_millis(60);
    let rate = engines as f64 * utilization / work.as_secs_f64() / 16.0;
    let source = Source {
        tenant: 0,
        rate,
        from_s: 0.0,
        until_s: 10.0,
        work,
        objective: Duration::from_secs(2),
        patience: Duration::from_secs(15),
    };
    (0..16).map(|tenant| Source { tenant, ..source }).collect()
}

/// Half of the engines are gone from the third second to the sixth.
fn halved(count: usize, engines: usize) -> Groups {
    Groups { remaining: engines / 2, loss_s: (3.0, 6.0), ..Groups::steady(count, engines) }
}

fn worth(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(Outcome::worth).sum()
}

fn served_in_time(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.in_time()).count()
}

/// Load: 90 % of 60 engines are used when half of them are gone for 3 s.
#[test]
fn what_is_admitted_while_engines_are_halved_begins_within_its_objective() {
    let outcomes = run(&sources(60, 0.9), halved(1, 60), Policy::Controller, SEED);
    let admitted: Vec<Outcome> = outcomes
        .into_iter()
        .filter(|outcome| outcome.admitted_first && outcome.started_ms.is_some())
        .collect();
    assert_eq!(share(&admitted, |outcome| outcome.in_time()), 1.0);
}

/// Load: 90 % of 60 engines are used when half of them are gone for 3 s, compared with admitting all and with
/// rejecting late ones without reservations.
#[test]
fn callers_get_more_than_without_admission_and_nearly_as_much_as_is_possible() {
    for (count, engines) in [(1, 6), (1, 60), (6, 64)] {
        let (sources, groups) = (sources(count * engines, 0.9), halved(count, engines));
        let with = |policy| run(&sources, groups, policy, SEED);
        let (controller, all, late) =
            (with(Policy::Controller), with(Policy::AdmitAll), with(Policy::RejectLate));
        let best = served_by_one_queue(&sources, groups, SEED);
        println!(
            "{count} x {engines}: worth {:.0} of {}, admitting all {:.0}, rejecting late ones {:.0}; in time {}, best {best}",
            worth(&controller),
            controller.len(),
            worth(&all),
            worth(&late),
            served_in_time(&controller),
        );
        assert!(worth(&controller) > worth(&all));
        assert!(worth(&controller) >= worth(&late));
        assert!(served_in_time(&controller) as f64 >= best as f64 * SERVED_OF_BEST);
    }
}

/// Load: the same loss, after which the engines come back as forecast.
#[test]
fn few_returns_are_rejected_a_second_time() {
    let outcomes = run(&sources(60, 0.9), halved(1, 60), Policy::Controller, SEED);
    let returned: Vec<Outcome> = outcomes.into_iter().filter(|outcome| outcome.returned).collect();
    let rejected_twice = share(&returned, |outcome| outcome.rejected_twice);
    println!("{} returns, {rejected_twice:.3} rejected a second time", returned.len());
    assert!(!returned.is_empty());
    assert!(rejected_twice < REJECTED_TWICE);
}

/// Failure: the placement node is replaced by one without state in the middle of the shortage. Callers lose at
/// most what a shortage without reservations costs them.
#[test]
fn a_placing_node_without_state_goes_on() {
    let groups = Groups { replaced_at_s: 4.5, ..halved(1, 60) };
    let outcomes = run(&sources(60, 0.9), groups, Policy::Controller, SEED);
    let admitted: Vec<Outcome> = outcomes
        .iter()
        .copied()
        .filter(|outcome| outcome.admitted_first && outcome.started_ms.is_some())
        .collect();
    assert_eq!(share(&admitted, |outcome| outcome.in_time()), 1.0);
    let best = served_by_one_queue(&sources(60, 0.9), groups, SEED);
    assert!(served_in_time(&outcomes) as f64 >= best as f64 * SERVED_OF_BEST);
}

/// Guards against: two nodes that both place for a second cost more than their shares of that time.
/// Load: 90 % of 60 engines are used, half of them are gone for 3 s, and two nodes place for one of these.
#[test]
fn two_nodes_that_both_place_an_overloaded_group_cost_less_than_a_twentieth_of_the_service() {
    let sources = sources(60, 0.9);
    let both = Groups { two_placing_s: (4.0, 5.0), ..halved(1, 60) };
    let outcomes = worth(&run(&sources, both, Policy::Controller, SEED));
    let one_places = worth(&run(&sources, halved(1, 60), Policy::Controller, SEED));
    assert!(outcomes >= one_places * SERVED_OF_BEST, "{outcomes:.0} of {one_places:.0}");
}

/// Guards against: callers are rejected although the queue of a short shortage would have been served.
/// Load: 80 % of 60 engines are used when half of them are gone for 3 s.
#[test]
fn callers_lose_little_to_admission_where_little_is_short() {
    for (count, engines) in [(1, 6), (1, 60), (6, 64)] {
        let sources = sources(count * engines, 0.8);
        let outcomes = worth(&run(&sources, halved(count, engines), Policy::Controller, SEED));
        let all = worth(&run(&sources, halved(count, engines), Policy::AdmitAll, SEED));
        println!("{count} groups of {engines} engines: worth {outcomes:.0}, admitting all {all:.0}");
        assert!(outcomes >= all * SERVED_OF_BEST);
    }
}

#[test]
fn two_nodes_that_both_place_cost_callers_little() {
    let groups =
        Groups { two_placing_s: (4.0, 5.0), remaining: 20, loss_s: (3.0, 6.0), ..Groups::steady(1, 60) };
    let outcomes = run(&sources(60, 0.7), groups, Policy::Controller, SEED);
    let all = run(&sources(60, 0.7), groups, Policy::AdmitAll, SEED);
    println!("two placement nodes: worth {:.0}, admitting all {:.0}", worth(&outcomes), worth(&all));
    assert!(worth(&outcomes) > worth(&all));
    let is_later = |outcome: &Outcome| outcome.arrived_s > 9.0;
    let later: Vec<Outcome> = outcomes.into_iter().filter(is_later).collect();
    assert_eq!(share(&later, Outcome::in_time), 1.0);
}

/// Load: any number of engines, of which any part is gone for 3 s, under any load of equal tenants. What is
/// admitted at its first try begins within its objective.
#[test]
fn what_is_admitted_begins_within_its_objective_under_any_load() {
    on_seeds(60, |random| {
        let engines = random.int_in_range(1..=40_usize)?;
        let remaining = random.int_in_range(1..=engines)?;
        let utilization = f64::from(random.int_in_range(5..=300_u32)?) / 100.0;
        let groups = Groups { remaining, loss_s: (3.0, 6.0), ..Groups::steady(1, engines) };
        let outcomes = run(&sources(engines, utilization), groups, Policy::Controller, SEED);
        let first: Vec<Outcome> = outcomes.into_iter().filter(|outcome| outcome.admitted_first).collect();
        assert_eq!(share(&first, |outcome| outcome.in_time()), 1.0, "{engines} {remaining} {utilization}");
        Ok(())
    });
}

/// Load: long prompts of a tenant within its share, beside short ones of 16 others that together send 1.8 times
/// what the engines can do, for 40 s.
#[test]
fn long_prompts_of_a_tenant_within_its_share_are_admitted_at_times() {
    let long_running = |source| Source { until_s: 40.0, ..source };
    let short: Vec<Source> = sources(8, 1.8).into_iter().map(long_running).collect();
    let long = Source { tenant: 99, rate: 0.25, work: Duration::from_millis(1_500), ..short[0] };
    let sources: Vec<Source> = short.into_iter().chain([long]).collect();
    let outcomes = run(&sources, Groups::steady(1, 8), Policy::Controller, SEED);
    let long: Vec<Outcome> = outcomes.into_iter().filter(|outcome| outcome.tenant == 99).collect();
    let served = share(&long, |outcome| outcome.started_ms.is_some());
    println!("{served:.2} of {} long prompts served", long.len());
    assert!(served > 0.0 && !long.is_empty());
}
