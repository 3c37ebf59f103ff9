//! Pacing of large messages, and compression of values.

use std::time::Duration;

use beamwall_peer::{TransferPacer, compressed};
use tokio::time::Instant;

#[test]
fn messages_are_admitted_one_after_another_regardless_of_size() {
    // Half of 10 Mbit/s is 625,000 bytes per second.
    let pacer = TransferPacer::new(10);
    let start = Instant::now();
    assert_eq!(pacer.admit(125_000, start), Ok(()));
    assert_eq!(pacer.admit(125_000, start), Err(Duration::from_millis(200)));
    assert_eq!(pacer.admit(1_000, start), Err(Duration::from_millis(200)));
    assert_eq!(pacer.admit(125_000, start + Duration::from_millis(150)), Err(Duration::from_millis(50)));
    assert_eq!(pacer.admit(125_000, start + Duration::from_millis(200)), Ok(()));
}

/// Returns the bytes admitted in ten seconds if a message of `size` bytes is attempted each millisecond.
fn admitted_bytes_in_ten_seconds(link_mbps: u32, size: usize) -> usize {
    let pacer = TransferPacer::new(link_mbps);
    let start = Instant::now();
    let admitted = (0..10_000).filter(|ms| pacer.admit(size, start + Duration::from_millis(*ms)).is_ok());
    admitted.count() * size
}

#[test]
fn paced_messages_use_at_most_half_of_the_link() {
    for link_mbps in [1, 10, 200] {
        for size in [200, 1_400, 8_000, 100_000] {
            let admitted = admitted_bytes_in_ten_seconds(link_mbps, size) as f64;
            let half = f64::from(link_mbps) * 125_000.0 * 10.0 / 2.0;
            // At the end, 20 ms at half of the link's capacity and the last message may be in the backlog.
            assert!(
                admitted <= half * 1.002 + size as f64,
                "{admitted} of {half} at {link_mbps} Mbit/s, {size} bytes"
            );
            let asked = 10_000.0 * size as f64;
            assert!(
                admitted >= half.min(asked) * 0.99 - size as f64,
                "{admitted} of {half}: capacity was left unused"
            );
        }
    }
}

#[test]
fn a_fast_link_admits_a_burst() {
    let pacer = TransferPacer::new(200);
    let start = Instant::now();
    assert!((0..20).all(|_| pacer.admit(8_000, start).is_ok()));
}

#[test]
fn compressed_values_round_trip_and_damaged_bytes_are_rejected() {
    let value: Vec<String> = (0..1_000).map(|number| format!("route number {number}")).collect();
    let bytes = compressed::encode(&value).expect("bytes");
    assert!(bytes.len() < serde_json::to_vec(&value).expect("text").len() / 3);
    assert_eq!(compressed::decode::<Vec<String>>(&bytes).expect("the value"), value);
    assert!(compressed::decode::<Vec<String>>(&bytes[..bytes.len() / 2]).is_err());
    assert!(compressed::decode::<Vec<u64>>(&bytes).is_err());
}
