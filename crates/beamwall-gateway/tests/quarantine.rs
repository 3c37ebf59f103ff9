//! Quarantine, at one node, of requests that coincide with back end terminations.

mod support;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_engine_limits::KnownDepartures;
use beamwall_gateway::lost_responses::{LossKind, ResponseLoss};
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::{Backend, Directory, RemovalCause};
use beamwall_http::Pool;
use beamwall_model::BackendId;
use beamwall_quarantine::{Admission, Fingerprint, FingerprintHasher, QuarantineRegistry};
use tokio::time::Instant;

/// A trial port that never grants a trial.
struct NoTrials;

#[async_trait]
impl TrialPort for NoTrials {
    async fn claim_trial(&self, _: &Fingerprint, _: u32, _: u64) -> bool {
        false
    }
}

fn backend(name: &str, draining: bool) -> Backend {
    Backend { draining, ..support::backend(name) }
}

fn update_directory(directory: &ArcSwap<Directory>, revision: u64, backends: Vec<Backend>) {
    let mut listed = Directory::clone(&directory.load());
    assert!(listed.replace(DirectorySnapshot { revision: revision.into(), backends }, RemovalCause::Gone));
    directory.store(Arc::new(listed));
}

fn quarantine() -> (Arc<Quarantine>, Arc<ArcSwap<Directory>>) {
    let directory: Arc<ArcSwap<Directory>> = Arc::default();
    let registry: Arc<QuarantineRegistry> = Arc::default();
    let pool = Pool::new(Duration::from_millis(400));
    let quarantine = Quarantine::new(registry, pool, directory.clone(), Arc::default(), Arc::new(NoTrials));
    (Arc::new(quarantine), directory)
}

/// A connection that closed, of a request that was sent at an unknown time.
const LOSS: ResponseLoss = ResponseLoss { kind: LossKind::Closed, exposure: Duration::ZERO };

fn request() -> Fingerprint {
    FingerprintHasher::new(Some("alder"), "a.example", "/chat").finish()
}

#[tokio::test]
async fn engines_that_refuse_connections_after_losing_an_answer_count_as_terminated() {
    let (quarantine, directory) = quarantine();
    let names = ["i-1", "i-2", "i-3"];
    update_directory(&directory, 1, names.iter().map(|name| backend(name, false)).collect());
    for name in names {
        assert_eq!(quarantine.admit(&request()).await, Ok(Admission::Normal));
        quarantine.note_lost(&[request()], LOSS, &BackendId::new(name));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(quarantine.admit(&request()).await.is_err());
}

#[tokio::test]
async fn the_termination_of_a_draining_engine_is_not_blamed_on_requests() {
    let (quarantine, directory) = quarantine();
    let names = ["i-1", "i-2", "i-3", "i-4"];
    update_directory(&directory, 1, names.iter().map(|name| backend(name, false)).collect());
    // An engine starts draining before its response is lost, or before its termination is known.
    update_directory(&directory, 2, names.iter().map(|name| backend(name, *name < "i-3")).collect());
    for name in names {
        quarantine.note_lost(&[request()], LOSS, &BackendId::new(name));
    }
    update_directory(&directory, 3, names.iter().map(|name| backend(name, true)).collect());
    for name in names {
        quarantine.note_terminated(&BackendId::new(name));
    }
    assert_eq!(quarantine.registry.suspects(), 0);
    assert_eq!(quarantine.admit(&request()).await, Ok(Admission::Normal));
}

/// Guards against: the end of an engine that said in a response that it leaves is blamed on the requests that it ran.
#[tokio::test]
async fn the_termination_of_an_engine_that_announced_its_departure_is_not_blamed_on_requests() {
    let directory: Arc<ArcSwap<Directory>> = Arc::default();
    let departures: Arc<KnownDepartures> = Arc::default();
    let pool = Pool::new(Duration::from_millis(400));
    let quarantine =
        Quarantine::new(Arc::default(), pool, directory.clone(), Arc::default(), Arc::new(NoTrials))
            .with_departures(departures.clone());
    let quarantine = Arc::new(quarantine);
    let names = ["i-1", "i-2", "i-3"];
    update_directory(&directory, 1, names.iter().map(|name| backend(name, false)).collect());
    for name in names {
        departures.note(&BackendId::new(name), Instant::now());
        quarantine.note_lost(&[request()], LOSS, &BackendId::new(name));
        quarantine.note_terminated(&BackendId::new(name));
    }
    assert_eq!(quarantine.registry.suspects(), 0);
    assert_eq!(quarantine.admit(&request()).await, Ok(Admission::Normal));
}
