//! Occupancy of one back end under a workload.

mod support;

use beamwall_engine_model::{ServiceEstimates, ServiceStatistics, Workload};
use beamwall_seeds::on_seeds;
use support::{RequestGenerator, SimulatedEngine};

fn learnt(simulated: &SimulatedEngine) -> ServiceEstimates {
    let mut requests = RequestGenerator::new(3, simulated.slots);
    let mut statistics = ServiceStatistics::default();
    let unknown = ServiceEstimates::default();
    for _ in 0..300 {
        let request = requests.first_event();
        statistics.record_first_event(
            request,
            requests.with_noise(simulated.first_event_ms(request)),
            &unknown,
        );
        let running = requests.running();
        statistics.record_event_gap(running, requests.with_noise(simulated.event_gap_ms(running)), &unknown);
    }
    statistics.estimates()
}

#[test]
fn occupancy_never_rises_with_more_back_ends() {
    let estimates = learnt(&SimulatedEngine::of_speed(1.0, 24));
    on_seeds(2_000, |random| {
        let work = Workload {
            requests: f64::from(random.int_in_range(1..=500_u32)?),
            tokens: f64::from(random.int_in_range(0..=500_000_u32)?),
            pairs: f64::from(random.int_in_range(0..=1_000_000_u32)?) * 1e3,
            events: f64::from(random.int_in_range(0..=20_000_u32)?),
        };
        let back_ends = f64::from(random.int_in_range(1..=50_u32)?);
        let few = estimates.occupancy(work / back_ends).expect("enough samples");
        let more = estimates.occupancy(work / (back_ends + 1.0)).expect("enough samples");
        assert!(more.prefill_share <= few.prefill_share);
        assert!(more.running <= few.running);
        assert!(more.event_gap_ms <= few.event_gap_ms);
        Ok(())
    });
}

#[test]
fn occupancy_of_a_known_workload() {
    let simulated = SimulatedEngine::of_speed(1.0, 24);
    let estimates = learnt(&simulated);
    // 5 requests of 6,000 tokens and 50 events each per second: 100 ms of prefill and about 1.2 s of events
    // per request.
    let work = Workload { requests: 5.0, tokens: 30_000.0, pairs: 0.0, events: 250.0 };
    let occupancy = estimates.occupancy(work).expect("enough samples");
    assert!((0.45..0.55).contains(&occupancy.prefill_share), "{occupancy:?}");
    assert!((5.5..7.5).contains(&occupancy.running), "{occupancy:?}");
    assert!((21.0..24.0).contains(&occupancy.event_gap_ms), "{occupancy:?}");
    assert!(occupancy.first_event_ms > 200.0, "the 95th percentile includes queueing: {occupancy:?}");
    let too_much = estimates.occupancy(Workload { tokens: 70_000.0, ..work }).expect("enough samples");
    assert!(too_much.first_event_ms.is_infinite());
}
