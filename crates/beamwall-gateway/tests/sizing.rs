//! The number of back ends needed for any workload.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_engine_model::{ServiceEstimates, Workload};
use beamwall_gateway::sizing::{
    self, AFTER_LOSS_UTILIZATION, NORMAL_UTILIZATION, Needed, Objectives, SUBSTITUTE_UTILIZATION,
    min_back_ends, normal_utilization,
};
use beamwall_seeds::on_seeds;

const SLOTS: u32 = 24;
const OBJECTIVES: Objectives = Objectives { first_event_ms: 600.0, pause_ms: Some(60.0) };

fn estimates() -> ServiceEstimates {
    support::typical_statistics().estimates()
}

fn random_work(random: &mut Unstructured<'_>) -> Result<Workload> {
    let requests = f64::from(random.int_in_range(1..=300_u32)?);
    let tokens_each = f64::from(random.int_in_range(10..=3_000_u32)?);
    Ok(Workload {
        requests,
        tokens: requests * tokens_each,
        pairs: requests * tokens_each * tokens_each / 2.0,
        events: requests * f64::from(random.int_in_range(1..=80_u32)?),
    })
}

#[test]
fn the_number_is_the_fewest_that_meet_the_objectives() {
    let estimates = estimates();
    on_seeds(2_000, |random| {
        let work = random_work(random)?;
        let count = min_back_ends(work, &estimates, SLOTS, OBJECTIVES, NORMAL_UTILIZATION).expect("known");
        let meets_objectives = |count: u32| {
            let one = estimates.occupancy(work / f64::from(count)).expect("known");
            one.running <= f64::from(SLOTS) * NORMAL_UTILIZATION.slots
                && one.prefill_share <= NORMAL_UTILIZATION.prefill
                && one.first_event_ms <= OBJECTIVES.first_event_ms
                && one.event_gap_ms <= 60.0
        };
        assert!(meets_objectives(count), "{count} for {work:?}");
        assert!(
            count == 1 || !meets_objectives(count - 1),
            "one less than {count} would suffice for {work:?}"
        );
        Ok(())
    });
}

#[test]
fn more_work_or_lower_utilization_never_needs_fewer() {
    let estimates = estimates();
    on_seeds(2_000, |random| {
        let work = random_work(random)?;
        // With the same mix of requests: the objective holds for 95% of all, and adding short ones to long
        // ones would make it easier to meet.
        let more = work * (1.0 + f64::from(random.int_in_range(0..=50_u32)?) / 10.0);
        let needed = sizing::needed(work, &estimates, SLOTS, OBJECTIVES).expect("known");
        assert!(needed.usual >= needed.standing_in && needed.standing_in >= needed.after_loss);
        for utilization in [NORMAL_UTILIZATION, SUBSTITUTE_UTILIZATION, AFTER_LOSS_UTILIZATION] {
            let count =
                |work| min_back_ends(work, &estimates, SLOTS, OBJECTIVES, utilization).expect("known");
            assert!(count(more) >= count(work));
        }
        Ok(())
    });
}

#[test]
fn no_work_needs_no_back_ends_and_unknown_engines_give_no_number() {
    assert_eq!(
        min_back_ends(Workload::default(), &estimates(), SLOTS, OBJECTIVES, NORMAL_UTILIZATION),
        Some(0)
    );
    let work = Workload { requests: 5.0, tokens: 1_000.0, pairs: 0.0, events: 10.0 };
    assert_eq!(sizing::needed(work, &ServiceEstimates::default(), SLOTS, OBJECTIVES), None);
}

/// An objective that even an idle engine misses must not cause orders for any number of engines.
#[test]
fn an_unattainable_objective_is_ignored() {
    let work = Workload { requests: 5.0, tokens: 5_000.0, pairs: 0.0, events: 50.0 };
    let impossible = Objectives { first_event_ms: 1.0, pause_ms: Some(1.0) };
    let free = Objectives { first_event_ms: f64::MAX, pause_ms: None };
    let count =
        |objectives| min_back_ends(work, &estimates(), SLOTS, objectives, NORMAL_UTILIZATION).expect("known");
    assert_eq!(count(impossible), count(free));
}

/// Many engines whose requests are placed by one node with knowledge of all of them need less headroom each:
/// with 60 engines, a limit of a third of their time would be three times the headroom that random arrivals
/// need.
#[test]
fn many_back_ends_may_have_higher_utilization_than_few() {
    for count in 1..=25 {
        assert_eq!(normal_utilization(count), NORMAL_UTILIZATION, "{count} back ends");
    }
    let mut before = NORMAL_UTILIZATION.prefill;
    for count in [30, 60, 100, 160, 1_000, 10_000] {
        let utilization = normal_utilization(count);
        assert!(
            utilization.prefill >= before && utilization.prefill <= 0.6,
            "{utilization:?} of {count} back ends"
        );
        before = utilization.prefill;
        // After the loss of a fifth of the back ends, the remaining ones are below full utilization.
        assert!(utilization.prefill / 0.8 < 0.8, "{utilization:?} of {count} back ends");
    }
}

/// Also where the allowed utilization depends on the number: the smallest sufficient number is chosen.
#[test]
fn the_normal_number_is_the_fewest_at_any_size() {
    let estimates = estimates();
    on_seeds(2_000, |random| {
        let work = random_work(random)? * f64::from(random.int_in_range(1..=20_u32)?);
        let needed = sizing::needed(work, &estimates, SLOTS, OBJECTIVES).expect("known");
        let meets_objectives = |count: u32| {
            let one = estimates.occupancy(work / f64::from(count)).expect("known");
            let utilization = normal_utilization(count);
            one.running <= f64::from(SLOTS) * utilization.slots
                && one.prefill_share <= utilization.prefill
                && one.first_event_ms <= OBJECTIVES.first_event_ms
                && one.event_gap_ms <= 60.0
        };
        assert!(meets_objectives(needed.usual), "{} for {work:?}", needed.usual);
        assert!(
            needed.usual == 1 || !meets_objectives(needed.usual - 1),
            "one less than {} would suffice",
            needed.usual
        );
        assert!(needed.usual >= needed.standing_in);
        Ok(())
    });
}

/// Guards against: engines in need count as whole ones, and the others are overrun before new ones are ordered.
#[test]
fn an_engine_in_need_is_worth_what_its_limit_allows() {
    assert_eq!(sizing::replacements(&[], 4.0), 0);
    assert_eq!(sizing::replacements(&[1.0, 1.0], 4.0), 2);
    assert_eq!(sizing::replacements(&[2.0, 2.0], 4.0), 1);
    assert_eq!(sizing::replacements(&[8.0], 4.0), 0);
    assert_eq!(sizing::replacements(&[1.0], 0.0), 0);
    let needed = Needed { usual: 3, standing_in: 2, after_loss: 1 };
    assert_eq!(needed.with_replacements(2), Needed { usual: 5, standing_in: 4, after_loss: 3 });
}

/// Guards against: a zone is reclaimed before the demand is known, and no substitutes are ordered. 61 back
/// ends at the normal utilization of 0.47 do the work of 42 at 0.7 and of 34 at 0.85.
#[test]
fn needs_follow_from_the_back_ends_found_while_the_work_is_unknown() {
    assert_eq!(Needed::of_found(61), Needed { usual: 61, standing_in: 42, after_loss: 34 });
    assert_eq!(Needed::of_found(0), Needed::default());
    for count in 1..2_000 {
        let needed = Needed::of_found(count);
        assert!(needed.after_loss <= needed.standing_in && needed.standing_in <= count, "{needed:?}");
        assert!(needed.after_loss > 0, "{needed:?}");
    }
}
