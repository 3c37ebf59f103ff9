//! Slowness observations of individual back ends that peers send.

use std::time::Duration;

use beamwall_engine_model::{EngineModels, SlownessObservation};
use beamwall_model::BackendId;
use tokio::time::Instant;

/// Guards against received observations being dropped too early: they counted only while above the threshold
/// for sending, so most had no effect at their receivers.
#[test]
fn peer_observation_of_a_slow_back_end_counts_until_it_decays() {
    let models: EngineModels<u32> = EngineModels::default();
    let (slow, start) = (BackendId::from("slow"), Instant::now());
    let observation = SlownessObservation { logarithms: 2.0 * 4.0_f64.ln(), weight: 2.0 };
    models.set_peer_slowness(&1, vec![(slow.clone(), observation)], start);
    models.refresh(start + Duration::from_millis(500));
    assert!(models.slowness(&slow) > 1.8, "{}", models.slowness(&slow));
    models.refresh(start + Duration::from_secs(20));
    assert!(models.slowness(&slow) < 1.1, "{}", models.slowness(&slow));
}

/// Single samples from several nodes have the same effect as several samples from one node.
#[test]
fn single_samples_of_many_peers_add_up() {
    let models: EngineModels<u32> = EngineModels::default();
    let (slow, now) = (BackendId::from("slow"), Instant::now());
    for peer in 0..6 {
        let observation = SlownessObservation { logarithms: 4.0_f64.ln(), weight: 1.0 };
        models.set_peer_slowness(&peer, vec![(slow.clone(), observation)], now);
    }
    models.refresh(now);
    assert!(models.slowness(&slow) > 2.5, "{}", models.slowness(&slow));
}
