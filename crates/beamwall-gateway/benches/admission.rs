//! Cost of the quarantine checks for a request without suspicion, on arrival and after completion, by the
//! number of peers whose clocks are known.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_gateway::Directory;
use beamwall_gateway::fleet_clock::FleetClock;
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_http::Pool;
use beamwall_quarantine::{Fingerprint, FingerprintHasher};
use divan::Bencher;

/// From a single node to a zone of the planned size.
const PEERS: [usize; 3] = [0, 8, 107];

struct NoTrials;

#[async_trait]
impl TrialPort for NoTrials {
    async fn claim_trial(&self, _: &Fingerprint, _: u32, _: u64) -> bool {
        false
    }
}

fn main() {
    divan::main();
}

#[divan::bench(args = PEERS)]
fn unsuspected(bencher: Bencher<'_, '_>, peers: usize) {
    let clock: Arc<FleetClock> = Arc::default();
    for peer in 0..peers {
        clock.record_peer_time(&format!("n{peer}").as_str().into(), SystemTime::now(), beamwall_clock::now());
    }
    let pool = Pool::new(Duration::from_secs(1));
    let listed = Arc::<ArcSwap<Directory>>::default();
    let quarantine = Quarantine::new(Arc::default(), pool, listed, clock, Arc::new(NoTrials));
    let request = FingerprintHasher::new(None, "a.example", "/chat").finish();
    let runtime =
        tokio::runtime::Builder::new_current_thread().build().expect("a current-thread runtime can be built");
    bencher.bench_local(|| {
        let admission = runtime.block_on(quarantine.admit(&request));
        quarantine.note_completed(&request, None);
        admission.is_ok()
    });
}
