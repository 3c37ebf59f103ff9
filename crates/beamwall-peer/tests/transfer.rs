//! Pacing of large answers.

use std::time::Duration;

use beamwall_peer::{TransferPacer, compressed};
use tokio::time::Instant;

#[test]
fn large_answers_pass_one_after_another_and_small_ones_always() {
    // 10 Mbit/s, of which half: 625,000 bytes a second.
    let pacer = TransferPacer::new(10);
    let start = Instant::now();
    assert_eq!(pacer.admit(125_000, start), Ok(()));
    assert_eq!(pacer.admit(125_000, start), Err(Duration::from_millis(200)));
    assert_eq!(pacer.admit(1_000, start), Ok(()));
    assert_eq!(pacer.admit(125_000, start + Duration::from_millis(150)), Err(Duration::from_millis(50)));
    assert_eq!(pacer.admit(125_000, start + Duration::from_millis(200)), Ok(()));
}

#[test]
fn a_compressed_value_comes_back_and_damaged_bytes_are_refused() {
    let value: Vec<String> = (0..1_000).map(|number| format!("route number {number}")).collect();
    let bytes = compressed::encode(&value).expect("bytes");
    assert!(bytes.len() < serde_json::to_vec(&value).expect("text").len() / 3);
    assert_eq!(compressed::decode::<Vec<String>>(&bytes).expect("the value"), value);
    assert!(compressed::decode::<Vec<String>>(&bytes[..bytes.len() / 2]).is_err());
    assert!(compressed::decode::<Vec<u64>>(&bytes).is_err());
}
