//! Which servers may be chosen while some have a pace.

use std::time::Duration;

use beamwall_model::BackendId;
use beamwall_pace::{PaceTracker, PacedCandidate, Selection, select};
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

fn candidate(share: f64, cost_ms: f64) -> PacedCandidate {
    PacedCandidate { share, cost_ms }
}

/// Guards against: after a restart of all servers nobody serves.
#[test]
fn a_pace_excludes_nobody_where_all_have_one() {
    assert_eq!(select(&[candidate(0.1, 5.0), candidate(0.2, 9.0)], 0.99), Selection::All);
    assert_eq!(select(&[candidate(0.1, 5.0)], 0.99), Selection::All);
    assert_eq!(select(&[], 0.5), Selection::All);
}

/// Guards against: callers wait at busy servers although new ones are idle.
#[test]
fn a_pace_gives_way_where_the_others_are_busy() {
    let busy = [candidate(1.0, 900.0), candidate(0.1, 80.0)];
    assert_eq!(select(&busy, 0.99), Selection::All);
    let calm = [candidate(1.0, 100.0), candidate(0.1, 80.0)];
    assert_eq!(select(&calm, 0.99), Selection::Unpaced);
}

/// Guards against: a server that can't be reached is asked on purpose.
#[test]
fn a_paced_server_is_asked_for_its_share_unless_it_costs_far_more() {
    assert_eq!(select(&[candidate(1.0, 100.0), candidate(0.5, 110.0)], 0.2), Selection::Only(1));
    assert_eq!(select(&[candidate(1.0, 100.0), candidate(0.5, 110.0)], 0.3), Selection::Only(1));
    assert_eq!(select(&[candidate(1.0, 100.0), candidate(0.5, 110.0)], 0.4), Selection::Unpaced);
    assert_eq!(select(&[candidate(1.0, 100.0), candidate(0.5, 5_000.0)], 0.2), Selection::Unpaced);
}

/// Guards against: the few servers without a pace are flooded while most servers return together.
#[test]
fn most_servers_with_a_pace_get_their_shares_of_what_the_others_get() {
    let mut candidates = vec![candidate(0.1, 100.0); 9];
    candidates.push(candidate(1.0, 100.0));
    let paced =
        (0..1_000).filter(|part| select(&candidates, f64::from(*part) / 1_000.0) != Selection::Unpaced);
    assert_eq!(paced.count(), 474, "0.9 of 1.9");
}

#[test]
fn a_selection_names_only_a_paced_candidate_and_leaves_one_to_choose() {
    on_seeds(500, |input| {
        let count = input.int_in_range(0..=40)?;
        let mut candidates = Vec::new();
        for _ in 0..count {
            let share = f64::from(input.int_in_range(1..=10_u8)?) / 10.0;
            candidates.push(candidate(share, f64::from(input.int_in_range(0..=5_000_u16)?)));
        }
        let random = f64::from(input.int_in_range(0..=999_u16)?) / 1_000.0;
        match select(&candidates, random) {
            Selection::All => {}
            Selection::Unpaced => assert!(candidates.iter().any(|one| one.share >= 1.0)),
            Selection::Only(position) => assert!(candidates[position].share < 1.0),
        }
        Ok(())
    });
}

/// Guards against: a node that has just started takes all servers for new ones.
#[test]
fn only_servers_that_join_a_known_list_have_a_pace() {
    let (pace, now) = (PaceTracker::enabled(), Instant::now());
    let names: Vec<BackendId> = ["a", "b", "c"].map(BackendId::new).to_vec();
    assert!(pace.set_listed(names[..2].iter(), |_| true, now).is_empty());
    assert_eq!(pace.set_listed(names.iter(), |_| true, now), [names[2].clone()]);
    assert!(pace.share(&names[0], now) >= 1.0);
    assert!(pace.share(&names[2], now) < 0.2);
    assert_eq!(pace.paced(now), 1);
    pace.set_listed(names[..2].iter(), |server| *server != names[2], now);
    assert_eq!(pace.paced(now), 0, "a server that is gone has no pace");
}

/// Guards against: a pace that is never forgotten, or one that a failing server outgrows.
#[test]
fn a_pace_ends_and_a_failure_sets_it_back() {
    let (pace, start, server) = (PaceTracker::enabled(), Instant::now(), BackendId::new("a"));
    assert!(pace.note_returned(&server, start));
    let later = start + Duration::from_millis(700);
    assert!(pace.share(&server, later) > 0.6);
    pace.note_failure(&server, later);
    assert!(pace.share(&server, later) < 0.2);
    for tenth in 10..=95 {
        pace.note_response(&server, 3.0, start + Duration::from_millis(100 * tenth));
    }
    assert!(
        pace.share(&server, start + Duration::from_millis(9_500)) < 0.5,
        "a slow server keeps a small part"
    );
    assert!(pace.share(&server, start + Duration::from_secs(10)) >= 1.0, "it is judged by its speed then");
}

/// Guards against: a switch that is off changes the choice.
#[test]
fn a_disabled_tracker_sets_no_paces() {
    let (pace, now, server) = (PaceTracker::default(), Instant::now(), BackendId::new("a"));
    let other = BackendId::new("b");
    pace.set_listed([&other].into_iter(), |_| true, now);
    assert!(pace.set_listed([&server].into_iter(), |_| true, now).is_empty());
    assert!(!pace.note_returned(&server, now));
    assert!(pace.share(&server, now) >= 1.0);
}
