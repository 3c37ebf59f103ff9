//! Leases: one holder at a time, a rising epoch, and a paused holder that knows its time is over.

use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{JsonClient, Pool};
use beamwall_lab::Running;
use beamwall_lab::object_store::{ObjectFaults, ObjectRates, ObjectStandIn};
use beamwall_lab::running::loopback;
use beamwall_store::lease::{LEASE_TTL, TAKEOVER_WAIT};
use beamwall_store::{CallBudget, Lease, ObjectStore};

async fn platform() -> (Arc<ObjectStandIn>, Running) {
    let stand_in = ObjectStandIn::new(ObjectRates::default());
    let running = Running::start(loopback(), stand_in.clone()).await.expect("it starts");
    (stand_in, running)
}

fn store(running: &Running) -> ObjectStore {
    let client = JsonClient::new(Pool::new(Duration::from_secs(1)), running.address, Duration::from_secs(1));
    ObjectStore::new(client, Arc::new(CallBudget::new(100, 100)))
}

#[tokio::test]
async fn one_contender_holds_and_the_other_sees_it() {
    let (_stand_in, running) = platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    let (mut second, second_state) = Lease::new("duty", "two".into(), store(&running));
    first.step().await.expect("platform answers");
    second.step().await.expect("platform answers");
    assert_eq!(first_state.borrow().held_epoch(), Some(1));
    assert_eq!(second_state.borrow().held_epoch(), None);
    assert_eq!(second_state.borrow().holder, "one");
}

#[tokio::test]
async fn a_holder_that_was_paused_finds_its_time_over_before_the_successor_acts() {
    let (_stand_in, running) = platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    let (mut second, second_state) = Lease::new("duty", "two".into(), store(&running));
    first.step().await.expect("platform answers");
    // The first is paused: it takes no step. The second looks at the lease until it may take it.
    let begun = tokio::time::Instant::now();
    while second_state.borrow().held_epoch().is_none() {
        second.step().await.expect("platform answers");
        if second_state.borrow().held_epoch().is_some() {
            assert_eq!(first_state.borrow().held_epoch(), None, "two may act at once");
        }
        assert!(begun.elapsed() < TAKEOVER_WAIT * 3);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(begun.elapsed() > LEASE_TTL);
    assert_eq!(second_state.borrow().held_epoch(), Some(2));
    first.step().await.expect("platform answers");
    assert_eq!(first_state.borrow().held_epoch(), None);
    assert_eq!(first_state.borrow().epoch, 2);
}

#[tokio::test]
async fn a_restarted_holder_of_the_same_name_waits_for_its_own_old_lease() {
    let (_stand_in, running) = platform().await;
    let (mut first, _) = Lease::new("duty", "one".into(), store(&running));
    first.step().await.expect("platform answers");
    let (mut restarted, state) = Lease::new("duty", "one".into(), store(&running));
    restarted.step().await.expect("platform answers");
    assert_eq!(state.borrow().held_epoch(), None, "orders of the earlier life may be in flight");
}

#[tokio::test]
async fn a_renewal_whose_answer_is_lost_keeps_the_lease() {
    let (stand_in, running) = platform().await;
    let (mut lease, state) = Lease::new("duty", "one".into(), store(&running));
    for _ in 0..5 {
        stand_in.set_faults(ObjectFaults { lose_write_answers: 1, ..ObjectFaults::default() });
        lease.step().await.expect("platform answers");
        assert_eq!(state.borrow().held_epoch(), Some(1));
    }
}

#[tokio::test]
async fn a_holder_that_was_suspended_holds_nothing_when_it_wakes() {
    let (_stand_in, running) = platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    first.step().await.expect("platform answers");
    assert_eq!(first_state.borrow().held_epoch(), Some(1));
    // The machine sleeps for a while, and its steady clock stands still.
    beamwall_clock::simulation::suspend_for(LEASE_TTL);
    assert_eq!(first_state.borrow().held_epoch(), None, "the term has run on");
    // What it writes first is no renewal: another may have held the lease meanwhile.
    first.step().await.expect("platform answers");
    assert_eq!(first_state.borrow().held_epoch(), None);
}
