//! Retry budgets: a share of the requests, plus a node's share of the extra retries of all nodes.

use std::time::Duration;

use beamwall_gateway::reserved_retry::ReservedRetry;
use beamwall_gateway::retries::{RetryAllowance, RetryBudgets};
use beamwall_model::ServiceName;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);

/// Each request earns a fifth of a retry; nothing is saved beyond the extra.
fn earning() -> RetryAllowance {
    RetryAllowance { earned_percent: 20, saved_percent: 0, extra: 60.0, window: WINDOW }
}

fn take_all(budgets: &RetryBudgets, service: &ServiceName, now: Instant) -> usize {
    (0..1_000).take_while(|_| budgets.take(service, now)).count()
}

fn earn(budgets: &RetryBudgets, service: &ServiceName, requests: usize, now: Instant) {
    (0..requests).for_each(|_| budgets.earn(service, now));
}

/// Guards against: an empty budget grants every second reservation, since each refused one returns a retry.
#[test]
fn a_refused_reservation_returns_nothing() {
    let (budgets, service, now) = (RetryBudgets::new(earning(), 6), "one".into(), Instant::now());
    take_all(&budgets, &service, now);
    for _ in 0..100 {
        assert!(budgets.reserve(&service, now).is_none());
    }
    assert_eq!(take_all(&budgets, &service, now), 0);
}

#[test]
fn a_reservation_that_is_not_spent_is_returned_once() {
    let (budgets, service, now) = (RetryBudgets::new(earning(), 6), "one".into(), Instant::now());
    let reserved = budgets.reserve(&service, now).expect("one retry");
    assert!(budgets.reserve(&service, now).is_none());
    drop(reserved);
    budgets.reserve(&service, now).expect("it is back").spend();
    assert!(budgets.reserve(&service, now).is_none());
    let counts = budgets.counts()[0].1;
    assert_eq!((counts.granted, counts.refused, counts.returned), (2, 2, 1));
}

/// Guards against: a request that a peer has counted as well earns retries at both nodes.
#[test]
fn what_a_request_has_earned_is_given_back_as_far_as_it_is_not_spent() {
    let (budgets, service, now) = (RetryBudgets::new(earning(), 6), "one".into(), Instant::now());
    take_all(&budgets, &service, now);
    earn(&budgets, &service, 10, now);
    (0..5).for_each(|_| budgets.unearn(&service, now));
    assert_eq!(take_all(&budgets, &service, now), 1, "five of ten requests are left");
    (0..5).for_each(|_| budgets.unearn(&service, now));
    earn(&budgets, &service, 5, now);
    assert_eq!(take_all(&budgets, &service, now), 1, "what was spent is no debt");
}

/// What happens to a budget in a random play.
enum Step {
    Earn,
    Take,
    Reserve,
    Spend,
    Drop,
}

/// Guards against: some order of requests, reservations, spending and dropping grants more than was earned.
#[test]
fn in_any_order_no_more_is_spent_than_was_earned() {
    on_seeds(1_000, |random| {
        let allowance = RetryAllowance { earned_percent: 20, saved_percent: 10, extra: 30.0, window: WINDOW };
        let (budgets, service, now) = (RetryBudgets::new(allowance, 3), "one".into(), Instant::now());
        let (mut requests, mut spent, mut reserved) = (0_u32, 0_u32, Vec::new());
        for _ in 0..random.int_in_range(1..=400)? {
            let step = random.choose(&[Step::Earn, Step::Take, Step::Reserve, Step::Spend, Step::Drop])?;
            match step {
                Step::Earn => {
                    budgets.earn(&service, now);
                    requests += 1;
                }
                Step::Take => spent += u32::from(budgets.take(&service, now)),
                Step::Reserve => reserved.extend(budgets.reserve(&service, now)),
                Step::Spend => spent += u32::from(reserved.pop().map(ReservedRetry::spend).is_some()),
                Step::Drop => drop(reserved.pop()),
            }
            let earned = 1.0 + 0.2 * f64::from(requests);
            let out = f64::from(spent) + reserved.len() as f64;
            assert!(out <= earned + 1e-6, "{out} retries are out, {earned} were earned");
        }
        Ok(())
    });
}

#[test]
fn a_node_that_has_just_started_may_retry_once() {
    let (budgets, now) = (RetryBudgets::new(earning(), 6), Instant::now());
    assert_eq!(take_all(&budgets, &"one".into(), now), 1);
    assert_eq!(take_all(&budgets, &"two".into(), now), 1, "each service has its own");
}

#[test]
fn retries_are_a_share_of_requests_and_saved_up_to_the_nodes_part() {
    let (budgets, service, now) = (RetryBudgets::new(earning(), 6), "one".into(), Instant::now());
    take_all(&budgets, &service, now);
    earn(&budgets, &service, 20, now);
    assert_eq!(take_all(&budgets, &service, now), 4);
    earn(&budgets, &service, 1_000, now);
    assert_eq!(take_all(&budgets, &service, now), 10);
}

/// Guards against: 77 nodes that each assumed to be one of six made 1,013 retries where 846 were allowed.
#[test]
fn the_extra_is_divided_among_the_known_nodes() {
    let (budgets, service, now) = (RetryBudgets::new(earning(), 6), "one".into(), Instant::now());
    take_all(&budgets, &service, now);
    budgets.divide_among(30);
    earn(&budgets, &service, 1_000, now);
    assert_eq!(take_all(&budgets, &service, now), 2);
}

/// Guards against: when a zone's engines failed, each of 77 nodes could resume only one or two of its twenty
/// streams there, because it could save no more than its share of the extra, however many retries it had left
/// unused before.
#[test]
fn a_share_of_the_last_window_is_saved_for_a_burst_of_failures() {
    let allowance = RetryAllowance { earned_percent: 10, saved_percent: 8, extra: 77.0, window: WINDOW };
    let (budgets, service, start) = (RetryBudgets::new(allowance, 77), "one".into(), Instant::now());
    earn(&budgets, &service, 200, start);
    assert_eq!(
        take_all(&budgets, &service, start + WINDOW / 2),
        16,
        "8% of 200 requests, and the share of the extra"
    );
    earn(&budgets, &service, 200, start + WINDOW / 2);
    let later = start + WINDOW * 2;
    assert_eq!(take_all(&budgets, &service, later), 1, "retries saved for an old window expire");
}

/// Whatever requests arrive and fail, the retries in each window stay within the earned share of its
/// requests, the saved share of the previous window's requests, and the extra.
#[test]
fn in_each_window_retries_stay_within_what_is_allowed() {
    on_seeds(1_000, |random| {
        let allowance = RetryAllowance { earned_percent: 10, saved_percent: 8, extra: 5.0, window: WINDOW };
        let (budgets, service) = (RetryBudgets::new(allowance, 1), "one".into());
        let start = Instant::now();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..200_u32 {
            let now = start + Duration::from_millis(200) * step;
            for _ in 0..random.int_in_range(0..=15)? {
                budgets.earn(&service, now);
                requests.push(now);
            }
            let wanted = random.int_in_range(0..=12_usize)?;
            let taken = (0..wanted).take_while(|_| budgets.take(&service, now)).count();
            retries.extend(std::iter::repeat_n(now, taken));
            let within =
                |times: &[Instant], from: Instant| times.iter().filter(|at| **at >= from).count() as f64;
            let Some(window_start) = now.checked_sub(WINDOW) else { continue };
            let before = window_start.checked_sub(WINDOW).unwrap_or(window_start);
            let in_window = within(&requests, window_start);
            let in_window_before = within(&requests, before) - in_window;
            let allowed = 0.10 * in_window + 0.08 * in_window_before.max(in_window) + 5.0 + 2.0;
            let made = within(&retries, window_start);
            assert!(made <= allowed, "{made} retries, {allowed} allowed");
        }
        Ok(())
    });
}
