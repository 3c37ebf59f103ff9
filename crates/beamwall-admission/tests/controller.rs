//! Single decisions of the admission controller.

use std::time::Duration;

use beamwall_admission::controller::AdmissionController;
use beamwall_admission::reservations::MAX_RESERVATIONS;
use beamwall_admission::{CapacityClaim, CapacityRequest, Decision, RejectionReason};
use beamwall_quarantine::Fingerprint;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(800);
const REMAINING: Duration = Duration::from_secs(6);
const WORK: Duration = Duration::from_millis(50);

fn claim(tenant: &str, number: u64) -> CapacityClaim {
    let mut fingerprint = [0; 16];
    fingerprint[..8].copy_from_slice(&number.to_be_bytes());
    CapacityClaim {
        tenant: Some(tenant.into()),
        rank: 0,
        objective: OBJECTIVE,
        fingerprint: Fingerprint::new(fingerprint),
    }
}

/// A request that waits so long at the best of 10 engines.
fn request(claim: &CapacityClaim, wait: Duration) -> CapacityRequest<'_> {
    CapacityRequest {
        claim,
        weight: 1.0,
        expected: wait + WORK,
        wait,
        work: WORK,
        engines: 10,
        is_idle: wait.is_zero(),
        remaining: REMAINING,
        is_exempt: false,
    }
}

fn retry_after(decision: Decision) -> Duration {
    match decision {
        Decision::Rejected { rejection, .. } => rejection.retry_after,
        Decision::Admitted { .. } => panic!("it is admitted"),
    }
}

const TOO_LONG: Duration = Duration::from_millis(700);

/// Guards against: callers that were told to return find the engines taken by those who came meanwhile.
#[test]
fn a_return_at_its_time_goes_before_new_requests() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    let (first, other) = (claim("alder", 1), claim("alder", 2));
    let retry_after = retry_after(controller.decide(&request(&first, TOO_LONG), now));
    assert!(retry_after < OBJECTIVE, "the return can still be in time: {retry_after:?}");
    let then = now + retry_after;
    assert!(!controller.decide(&request(&other, TOO_LONG), then).is_admitted());
    let returned = controller.decide(&request(&first, TOO_LONG), then);
    assert_eq!(returned, Decision::Admitted { is_return: true });
}

/// Guards against: a promise is kept although the engines for it have gone, and all others come late.
#[test]
fn a_return_is_rejected_after_engines_have_gone() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    let claim = claim("alder", 1);
    let then = now + retry_after(controller.decide(&request(&claim, TOO_LONG), now));
    let fewer = CapacityRequest { engines: 5, ..request(&claim, TOO_LONG) };
    let decision = controller.decide(&fewer, then);
    assert!(matches!(decision, Decision::Rejected { is_return: true, .. }), "{decision:?}");
}

/// Guards against: a patient request of a low rank takes the time in which callers of others may return.
#[test]
fn a_patient_request_leaves_returns_to_others() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    let patient = CapacityClaim { rank: 5, objective: OBJECTIVE * 12, ..claim("birch", 1) };
    let long_wait = CapacityRequest { remaining: REMAINING * 5, ..request(&patient, OBJECTIVE * 11) };
    assert!(!controller.decide(&long_wait, now).is_admitted());
    let other = claim("alder", 2);
    let retry_after = retry_after(controller.decide(&request(&other, TOO_LONG), now));
    assert!(retry_after < OBJECTIVE / 2, "its return would be late: {retry_after:?}");
}

/// Guards against: a caller that doesn't wait uses up the returns of others and loses its own.
#[test]
fn a_caller_that_returns_too_early_keeps_its_reservation() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    let hasty = claim("alder", 1);
    let promised = now + retry_after(controller.decide(&request(&hasty, TOO_LONG), now));
    for number in 1..=20_u32 {
        let early = now + Duration::from_millis(5) * number;
        let again = early + retry_after(controller.decide(&request(&hasty, TOO_LONG), early));
        assert!(again <= promised + Duration::from_millis(50), "it is put off by {:?}", again - promised);
    }
    let patient = claim("alder", 2);
    let wait = retry_after(controller.decide(&request(&patient, TOO_LONG), now));
    assert!(wait < OBJECTIVE / 2, "the returns are used up: {wait:?}");
}

/// Guards against: all callers rejected in one second return in one moment.
#[test]
fn returns_are_spaced_by_their_work() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    let claims = (1..=10).map(|number| claim("alder", number));
    let times: Vec<Duration> =
        claims.map(|claim| retry_after(controller.decide(&request(&claim, TOO_LONG), now))).collect();
    // Half of the 10 engines serve returns.
    let interval = WORK.div_f64(10.0 * 0.5);
    let is_spaced = |pair: &[Duration]| pair[1] >= pair[0] + interval - Duration::from_micros(1);
    assert!(times.windows(2).all(is_spaced), "{times:?}");
}

/// Load: one group rejects 50,000 different requests within a second.
#[test]
fn reservations_are_bounded() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    for number in 1..=50_000_u64 {
        let claim = claim("alder", number);
        let small = CapacityRequest { work: Duration::from_micros(10), ..request(&claim, TOO_LONG) };
        controller.decide(&small, now + Duration::from_micros(number * 20));
    }
    assert!(controller.reservations() <= MAX_RESERVATIONS, "{}", controller.reservations());
}

/// Guards against: 20,000 tenants, or as many made-up names, fill the memory of a placement node.
#[test]
fn tenants_are_bounded() {
    let (mut controller, now) = (AdmissionController::new(Instant::now()), Instant::now());
    for number in 1..=20_000_u64 {
        let claim = claim(&format!("t{number}"), number);
        controller.decide(&request(&claim, Duration::ZERO), now);
    }
    assert!(controller.shares().tenants() <= 4_097, "{}", controller.shares().tenants());
}

/// Whatever came before, a request is admitted while an engine is free, and so is a retry inside the system;
/// a rejected one is told a time that it can keep.
#[test]
fn requests_are_admitted_while_an_engine_is_free() {
    on_seeds(300, |random| {
        let (mut controller, mut now) = (AdmissionController::new(Instant::now()), Instant::now());
        for number in 1..=random.int_in_range(1..=200_u64)? {
            now += Duration::from_millis(random.int_in_range(0..=100)?);
            let tenant = format!("t{}", random.int_in_range(0..=5_u8)?);
            let claim = CapacityClaim { rank: random.int_in_range(0..=12)?, ..claim(&tenant, number) };
            let wait = Duration::from_millis(random.int_in_range(0..=3_000)?);
            let is_idle = random.arbitrary()?;
            let is_exempt = random.ratio(1, 5)?;
            let engines = random.int_in_range(0..=20)?;
            let request = CapacityRequest { is_idle, is_exempt, engines, ..request(&claim, wait) };
            match controller.decide(&request, now) {
                Decision::Admitted { .. } => controller.note_placed(&request, now),
                Decision::Rejected { rejection, .. } => {
                    assert!(!is_idle && !is_exempt);
                    assert!(rejection.retry_after >= Duration::from_millis(50), "{rejection:?}");
                    assert!(rejection.retry_after <= Duration::from_secs(60), "{rejection:?}");
                }
            }
        }
        Ok(())
    });
}

/// Load: nothing is short, and one tenant sends nearly all of it.
#[test]
fn nobody_is_rejected_while_the_wait_is_comfortable() {
    let (mut controller, mut now) = (AdmissionController::new(Instant::now()), Instant::now());
    for number in 1..=5_000_u64 {
        now += Duration::from_millis(1);
        let claim = claim(if number % 50 == 0 { "small" } else { "large" }, number);
        let request = request(&claim, Duration::from_millis(300));
        assert!(controller.decide(&request, now).is_admitted());
        controller.note_placed(&request, now);
    }
}

/// Load: one of two tenants sends 49 of 50 requests, and those of the other have to wait.
#[test]
fn the_tenant_beyond_its_share_is_rejected_first() {
    let (mut controller, mut now) = (AdmissionController::new(Instant::now()), Instant::now());
    let mut rejected_small = 0;
    let mut reasons = Vec::new();
    for number in 1..=3_000_u64 {
        now += Duration::from_millis(1);
        let is_small = number % 50 == 0;
        let claim = claim(if is_small { "small" } else { "large" }, number);
        let request = request(&claim, Duration::from_millis(500));
        match controller.decide(&request, now) {
            Decision::Admitted { .. } => controller.note_placed(&request, now),
            Decision::Rejected { .. } if is_small => rejected_small += 1,
            Decision::Rejected { rejection, .. } => reasons.push(rejection.reason),
        }
    }
    assert_eq!(rejected_small, 0);
    assert!(!reasons.is_empty());
    assert!(reasons.iter().all(|reason| *reason == RejectionReason::OverFairShare));
}
