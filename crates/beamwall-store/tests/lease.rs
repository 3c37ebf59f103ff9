//! Leases: one holder at a time, an increasing epoch, and a paused holder that detects the expiry of its
//! term.

use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{JsonClient, Pool};
use beamwall_lab::Running;
use beamwall_lab::object_store::{ObjectFaults, ObjectRates, ObjectStandIn};
use beamwall_lab::running::loopback;
use beamwall_store::lease::{LEASE_TTL, MAX_ORDER_FLIGHT_TIME, TAKEOVER_WAIT};
use beamwall_store::{CallBudget, Checkpoint, Lease, LeaseState, ObjectStore};

async fn start_platform() -> (Arc<ObjectStandIn>, Running) {
    let stand_in = ObjectStandIn::new(ObjectRates::default());
    let running = Running::start(loopback(), stand_in.clone()).await.expect("the stand-in starts");
    (stand_in, running)
}

fn store(running: &Running) -> ObjectStore {
    let client = JsonClient::new(Pool::new(Duration::from_secs(1)), running.address, Duration::from_secs(1));
    ObjectStore::new(client, Arc::new(CallBudget::new(100, 100)))
}

#[tokio::test]
async fn one_contender_acquires_the_lease_and_the_other_observes_it() {
    let (_stand_in, running) = start_platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    let (mut second, second_state) = Lease::new("duty", "two".into(), store(&running));
    first.step().await.expect("the platform responds");
    second.step().await.expect("the platform responds");
    assert_eq!(first_state.borrow().held_epoch(), Some(1));
    assert_eq!(second_state.borrow().held_epoch(), None);
    assert_eq!(second_state.borrow().holder, "one");
}

#[tokio::test]
async fn the_lease_of_a_paused_holder_expires_before_the_successor_acts() {
    let (_stand_in, running) = start_platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    let (mut second, second_state) = Lease::new("duty", "two".into(), store(&running));
    first.step().await.expect("the platform responds");
    // The first is paused and takes no step. The second polls the lease until it may acquire it.
    let started = tokio::time::Instant::now();
    while second_state.borrow().held_epoch().is_none() {
        second.step().await.expect("the platform responds");
        if second_state.borrow().held_epoch().is_some() {
            assert_eq!(first_state.borrow().held_epoch(), None, "both nodes may act at once");
        }
        assert!(started.elapsed() < TAKEOVER_WAIT * 3);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(started.elapsed() > LEASE_TTL);
    assert_eq!(second_state.borrow().held_epoch(), Some(2));
    first.step().await.expect("the platform responds");
    assert_eq!(first_state.borrow().held_epoch(), None);
    assert_eq!(first_state.borrow().epoch, 2);
}

#[tokio::test]
async fn a_restarted_holder_waits_for_its_previous_lease() {
    let (_stand_in, running) = start_platform().await;
    let (mut first, _) = Lease::new("duty", "one".into(), store(&running));
    first.step().await.expect("the platform responds");
    let (mut restarted, state) = Lease::new("duty", "one".into(), store(&running));
    restarted.step().await.expect("the platform responds");
    assert_eq!(state.borrow().held_epoch(), None, "orders of the earlier generation may be in flight");
}

#[tokio::test]
async fn a_renewal_whose_response_is_lost_keeps_the_lease() {
    let (stand_in, running) = start_platform().await;
    let (mut lease, state) = Lease::new("duty", "one".into(), store(&running));
    for _ in 0..5 {
        stand_in.set_faults(ObjectFaults { lose_write_answers: 1, ..ObjectFaults::default() });
        lease.step().await.expect("the platform responds");
        assert_eq!(state.borrow().held_epoch(), Some(1));
    }
}

#[tokio::test]
async fn the_lease_of_a_holder_expires_during_suspension() {
    let (_stand_in, running) = start_platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    first.step().await.expect("the platform responds");
    assert_eq!(first_state.borrow().held_epoch(), Some(1));
    // The machine is suspended, and its monotonic clock does not advance meanwhile.
    beamwall_clock::simulation::simulate_suspension(LEASE_TTL);
    assert_eq!(first_state.borrow().held_epoch(), None, "the term includes the suspension");
    // Its next step does not renew the lease: another node may have held it meanwhile.
    first.step().await.expect("the platform responds");
    assert_eq!(first_state.borrow().held_epoch(), None);
}

/// Number of steps of a node between two power losses.
const STEPS_PER_GENERATION: u32 = 4;
/// Time between two steps.
const STEP: Duration = Duration::from_secs(1);

/// Guards against a duty without a holder: after all nodes lost power twice, four seconds apart, no node held
/// the duty for nine seconds after the first loss, and calls due in that time were missed. A started node
/// waits from its first read of the lease, so each restart begins the wait anew. The restarted holder waited
/// as long as any other node, 3 s of it for a term that its earlier process could not use any more. With that
/// wait, no generation of this test acquired the lease.
#[tokio::test]
async fn a_holder_restarted_every_few_seconds_acquires_the_lease_in_each_generation() {
    let (_stand_in, running) = start_platform().await;
    let (mut first, first_state) = Lease::new("duty", "one".into(), store(&running));
    first.step().await.expect("the platform responds");
    let mut epoch = first_state.borrow().held_epoch().expect("the lease is held");
    drop(first);
    for generation in 0..3 {
        let (mut lease, state) = Lease::new("duty", "one".into(), store(&running));
        let mut held = None;
        for _ in 0..STEPS_PER_GENERATION {
            lease.step().await.expect("the platform responds");
            held = held.or(state.borrow().held_epoch());
            beamwall_clock::simulation::simulate_suspension(STEP);
        }
        let held = held.unwrap_or_else(|| panic!("generation {generation} never held the lease"));
        assert!(held > epoch, "each generation must get a new epoch");
        epoch = held;
    }
}

/// A checkpoint that records the state restored from the store.
#[derive(Default)]
struct TestCheckpoint {
    text: std::sync::Mutex<String>,
    restored: std::sync::Mutex<Option<String>>,
}

impl TestCheckpoint {
    fn with_text(text: &str) -> Arc<Self> {
        Arc::new(Self { text: std::sync::Mutex::new(text.to_owned()), ..Self::default() })
    }

    fn restored(&self) -> Option<String> {
        self.restored.lock().expect("no panic").clone()
    }
}

impl Checkpoint for TestCheckpoint {
    fn saved_state(&self) -> String {
        self.text.lock().expect("no panic").clone()
    }

    fn change_count(&self) -> u64 {
        self.saved_state().len() as u64
    }

    fn restore(&self, saved: &str) {
        *self.restored.lock().expect("no panic") = Some(saved.to_owned());
    }
}

/// Steps until the lease is acquired, on the simulated clock, and returns how long that took.
async fn steps_until_held(lease: &mut Lease, state: &tokio::sync::watch::Receiver<LeaseState>) -> Duration {
    let mut waited = Duration::ZERO;
    while state.borrow().held_epoch().is_none() {
        assert!(waited < TAKEOVER_WAIT * 3, "the lease is never acquired");
        beamwall_clock::simulation::simulate_suspension(STEP);
        waited += STEP;
        lease.step().await.expect("the platform responds");
    }
    waited
}

/// Guards against duties that start from nothing with each holder: a successor restores the checkpoint stored
/// with the last renewal.
#[tokio::test]
async fn a_successor_restores_the_checkpoint_of_the_last_renewal() {
    let (_stand_in, running) = start_platform().await;
    let (first, _) = Lease::new("duty", "one".into(), store(&running));
    let (second, state) = Lease::new("duty", "two".into(), store(&running));
    let (first_checkpoint, second_checkpoint) =
        (TestCheckpoint::with_text("early"), TestCheckpoint::with_text("of the second"));
    let (mut first, mut second) =
        (first.with_checkpoint(first_checkpoint.clone()), second.with_checkpoint(second_checkpoint.clone()));
    first.step().await.expect("the platform responds");
    second.step().await.expect("the platform responds");
    "late".clone_into(&mut first_checkpoint.text.lock().expect("no panic"));
    first.step().await.expect("the platform responds");
    assert_eq!(second_checkpoint.restored(), None, "the lease is held by the first node");
    steps_until_held(&mut second, &state).await;
    assert_eq!(second_checkpoint.restored().as_deref(), Some("late"));
}

/// Guards against two machines of the same name that act at once: only if the address is the same, too, has
/// the earlier process ended.
#[tokio::test]
async fn a_node_of_the_same_name_at_another_address_waits_the_full_takeover_time() {
    let (_stand_in, running) = start_platform().await;
    let loopback_port = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let (first, first_state) = Lease::new("duty", "one".into(), store(&running));
    let mut first = first.with_address(loopback_port(7_001));
    first.step().await.expect("the platform responds");
    let (other, state) = Lease::new("duty", "one".into(), store(&running));
    let mut other = other.with_address(loopback_port(7_002));
    other.step().await.expect("the platform responds");
    let waited = steps_until_held(&mut other, &state).await;
    assert!(waited >= TAKEOVER_WAIT, "{waited:?}");
    assert_eq!(first_state.borrow().held_epoch(), None, "the term of the first has expired by then");
    let (restarted, state) = Lease::new("duty", "one".into(), store(&running));
    let mut restarted = restarted.with_address(loopback_port(7_002));
    restarted.step().await.expect("the platform responds");
    let waited = steps_until_held(&mut restarted, &state).await;
    assert!((MAX_ORDER_FLIGHT_TIME..TAKEOVER_WAIT).contains(&waited), "{waited:?}");
}

/// An order of an earlier process may be executed up to two seconds after that process has ended. A new
/// process acquires the lease only after that, and with a higher epoch.
#[tokio::test]
async fn restarts_under_one_name_get_rising_epochs_and_wait_for_orders_in_flight() {
    let (_stand_in, running) = start_platform().await;
    let mut last = 0;
    for _ in 0..3 {
        let (mut lease, state) = Lease::new("duty", "one".into(), store(&running));
        lease.step().await.expect("the platform responds");
        if last > 0 {
            let waited = steps_until_held(&mut lease, &state).await;
            assert!(waited >= MAX_ORDER_FLIGHT_TIME, "{waited:?}");
        }
        let epoch = state.borrow().held_epoch().expect("the lease is held");
        assert!(epoch > last, "{epoch} after {last}");
        last = epoch;
    }
}
