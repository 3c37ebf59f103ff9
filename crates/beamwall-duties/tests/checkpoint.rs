//! A checkpoint is written with each lease renewal, so it must stay small however large the deployment.

use std::collections::BTreeSet;

use beamwall_duties::{DutyCheckpoint, SavedOrder};
use beamwall_gateway::scaling::OrderKey;
use beamwall_gateway::sizing::Needed;
use beamwall_gateway::usage::{CheckpointPart, UsageCheckpoint, WindowCounts};
use beamwall_peer::compressed;

/// Number of tenants, gateway generations, open windows and zones at the planned size.
const TENANTS: u64 = 300;
const GATEWAY_GENERATIONS: u32 = 2_700;
const WINDOWS: u64 = 3;
const ZONES: u32 = 25;
/// Object size limit of the platform's store; a larger checkpoint is not saved.
const LIMIT_BYTES: usize = 256 << 10;

/// A checkpoint in whose windows all gateways have been killed `kills` times.
fn checkpoint(kills: u32) -> DutyCheckpoint {
    let pseudorandom = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    let counts = |window: u64| {
        (0..TENANTS).map(move |tenant| {
            (format!("tenant-{tenant}").as_str().into(), pseudorandom(window * TENANTS + tenant))
        })
    };
    let windows = || {
        let window =
            |window: u64| WindowCounts { window: 353_445_120 + window, counts: counts(window).collect() };
        (0..WINDOWS).map(window).collect()
    };
    let generations =
        |count: u32| (0..count).map(|generation| generation.wrapping_mul(0x9e37_79b9)).collect();
    let needed = Needed { usual: 10_000, standing_in: 5_000, after_loss: 4_000 };
    DutyCheckpoint {
        first_open_window: Some(353_445_120),
        usage: UsageCheckpoint {
            lives: generations((kills + 1) * GATEWAY_GENERATIONS),
            windows: windows(),
            unreported: CheckpointPart {
                lives: generations(kills * GATEWAY_GENERATIONS),
                windows: if kills > 0 { windows() } else { Vec::new() },
            },
            own: CheckpointPart { lives: generations(1), windows: windows() },
            unnamed_zones: Some(BTreeSet::new()),
        },
        orders: (0..20).flat_map(orders).collect(),
        needs: (0..20).map(|service| (format!("service-{service}").as_str().into(), needed)).collect(),
    }
}

/// Orders of one service in all zones.
fn orders(service: u32) -> Vec<SavedOrder> {
    let name = format!("service-{service}").as_str().into();
    let saved = |number: u32| SavedOrder {
        key: OrderKey::new(&name, &format!("zone-{}", number / 2).as_str().into(), number.is_multiple_of(2)),
        wanted: Some(400 + number),
        is_exhausted: number.is_multiple_of(7),
    };
    (0..2 * ZONES).map(saved).collect()
}

#[test]
fn a_checkpoint_of_the_planned_size_fits_and_round_trips() {
    for kills in [0, 1] {
        let encoded = compressed::encode(&checkpoint(kills)).expect("checkpoint encodes");
        println!("checkpoint after {kills} kills: {} bytes, twice that as text", encoded.len());
        assert!(encoded.len() * 2 <= LIMIT_BYTES);
        let decoded = compressed::decode::<DutyCheckpoint>(&encoded).expect("checkpoint decodes");
        assert_eq!(decoded, checkpoint(kills));
    }
}

/// Builds may differ: fields missing from a checkpoint take their defaults, and unknown fields are ignored.
#[test]
fn a_checkpoint_of_another_build_is_read_with_defaults() {
    let read: DutyCheckpoint =
        serde_json::from_str(r#"{"first_open_window": 7, "later": [1]}"#).expect("checkpoint decodes");
    assert_eq!(read, DutyCheckpoint { first_open_window: Some(7), ..DutyCheckpoint::default() });
}
