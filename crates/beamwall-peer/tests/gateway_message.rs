//! Sizes of messages between gateways.

use beamwall_peer::gateway_message::{UsageCount, UsageWindow, ZoneSummary};
use prost::Message;

/// Key and length of a field.
const FIELD_HEADER_BYTES: usize = 3;
const GENERATION_BYTES: usize = 4;

/// The summary of a zone that reports usage only, in three windows.
fn summary(gateways: u32, tenants: u64) -> ZoneSummary {
    let count = |tenant| UsageCount { tenant: format!("tenant-{tenant}"), requests: 1_000 + tenant };
    let window = |window| UsageWindow { window, counts: (0..tenants).map(count).collect() };
    ZoneSummary {
        zone: "zone-a".to_owned(),
        relay: "gateway-1".to_owned(),
        life: 1_700_000_000_001,
        nodes_heard: gateways,
        usage: (353_445_120..353_445_123).map(window).collect(),
        usage_lives: (0..gateways).map(|number| number.wrapping_mul(0x9e37_79b9)).collect(),
        ..ZoneSummary::default()
    }
}

/// Guards against generations that take as many bytes as counts by gateway would.
#[test]
fn the_generations_of_a_zone_add_four_bytes_each() {
    for (gateways, tenants) in [(9, 1), (100, 16), (108, 300)] {
        let naming = summary(gateways, tenants);
        let without = ZoneSummary { usage_lives: Vec::new(), ..naming.clone() };
        let added = naming.encoded_len() - without.encoded_len();
        println!("{gateways} gateways, {tenants} tenants: {} bytes and {added} more", without.encoded_len());
        assert!(added <= gateways as usize * GENERATION_BYTES + FIELD_HEADER_BYTES);
    }
}
