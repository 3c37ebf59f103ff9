//! A checkpoint rides on the renewal of a lease, so it must stay small however large the deployment.

use beamwall_duties::{DutyCheckpoint, KeptOrder};
use beamwall_gateway::scaling::OrderKey;
use beamwall_gateway::sizing::Needed;
use beamwall_gateway::usage::{UsageCheckpoint, WindowCounts};
use beamwall_peer::compressed;

/// Tenants, gateways and open windows of the planned size.
const TENANTS: u64 = 300;
const LIVES: u32 = 2_700;
const WINDOWS: u64 = 3;
const ZONES: u32 = 25;
/// The platform bounds an object; what is larger is not kept.
const LIMIT_BYTES: usize = 256 << 10;

fn checkpoint() -> DutyCheckpoint {
    let scatter = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    let counts = |window: u64| {
        (0..TENANTS).map(move |tenant| {
            (format!("tenant-{tenant}").as_str().into(), scatter(window * TENANTS + tenant))
        })
    };
    let windows = (0..WINDOWS)
        .map(|window| WindowCounts { window: 353_445_120 + window, counts: counts(window).collect() });
    let needed = Needed { usual: 10_000, standing_in: 5_000, after_loss: 4_000 };
    DutyCheckpoint {
        first_open_window: Some(353_445_120),
        usage: UsageCheckpoint {
            lives: (0..LIVES).map(|life| life.wrapping_mul(0x9e37_79b9)).collect(),
            windows: windows.collect(),
        },
        orders: (0..20).flat_map(orders).collect(),
        needs: (0..20).map(|service| (format!("service-{service}").as_str().into(), needed)).collect(),
    }
}

/// Orders of one service in all zones.
fn orders(service: u32) -> Vec<KeptOrder> {
    let name = format!("service-{service}").as_str().into();
    let kept = |number: u32| KeptOrder {
        key: OrderKey::new(&name, &format!("zone-{}", number / 2).as_str().into(), number.is_multiple_of(2)),
        wanted: Some(400 + number),
        is_exhausted: number.is_multiple_of(7),
    };
    (0..2 * ZONES).map(kept).collect()
}

#[test]
fn a_checkpoint_of_the_planned_size_can_be_kept_and_read_back() {
    let kept = compressed::encode(&checkpoint()).expect("it is written");
    println!("{} bytes, twice as many as text", kept.len());
    assert!(kept.len() * 2 <= LIMIT_BYTES);
    assert_eq!(compressed::decode::<DutyCheckpoint>(&kept).expect("it is read"), checkpoint());
}

/// Builds may differ: what a checkpoint does not tell is not known.
#[test]
fn a_checkpoint_of_another_build_is_read_as_far_as_it_goes() {
    let read: DutyCheckpoint =
        serde_json::from_str(r#"{"first_open_window": 7, "later": [1]}"#).expect("it is read");
    assert_eq!(read, DutyCheckpoint { first_open_window: Some(7), ..DutyCheckpoint::default() });
}
