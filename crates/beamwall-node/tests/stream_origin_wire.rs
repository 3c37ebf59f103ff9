//! Origins of streams as messages between gateways.

use std::time::Duration;

use beamwall_node::gateway::stream_origin_wire::{decode, decode_reply, encode, encode_reply, key};
use beamwall_peer::stream_origin_message::{StreamOriginEntry, StreamOriginUpdate};
use beamwall_peer::{Body, Envelope};
use beamwall_stream_origin::{KnownOrigin, OriginRecord, ServiceVersions, StreamKey, StreamOrigin};
use prost::Message;

/// Longest message with one origin, by the plan of capacity.
const MAX_MESSAGE_BYTES: usize = 128;
/// Bytes that each further origin may add.
const MAX_FURTHER_BYTES: usize = 32;

fn record(stream: usize, version: &str) -> OriginRecord {
    let origin = StreamOrigin { service: "model-pool".into(), version: version.into() };
    let key = StreamKey::of_stream(Some("alder"), &format!("stream-{stream}"));
    OriginRecord { key, origin, valid_for: Duration::from_secs(45) }
}

fn message_bytes(records: &[OriginRecord]) -> usize {
    let envelope = Envelope {
        sender: "front-kakkanad-1".to_owned(),
        zone: "kakkanad".to_owned(),
        address: "10.1.0.26:8284".to_owned(),
        incarnation: 1_700_000_000_000,
        revision: 12,
        ready: true,
        link_mbps: 1_000,
        body: Some(Body::StreamOriginUpdate(encode(records.iter()))),
        ..Envelope::default()
    };
    envelope.encoded_len()
}

#[test]
fn origins_arrive_as_they_were_sent() {
    let records = [record(1, "v1"), record(2, "v1.1"), record(3, "v1")];
    let sent = encode(records.iter());
    assert_eq!(sent.names, ["model-pool", "v1", "v1.1"]);
    assert_eq!(decode(&sent), records);
}

#[test]
fn replies_tell_the_origin_and_the_versions_apart() {
    let known = KnownOrigin { origin: record(1, "v1").origin, age: Duration::from_millis(70) };
    for versions in [ServiceVersions::One("v1".into()), ServiceVersions::Several, ServiceVersions::Unknown] {
        let reply = encode_reply(Some(known.clone()), versions.clone());
        assert_eq!(decode_reply(&reply), (Some(known.clone()), versions.clone()));
        assert_eq!(decode_reply(&encode_reply(None, versions.clone())), (None, versions));
    }
}

/// Guards against: a message of another build, or a broken one, ends the gateway or adds records without a key or a name.
#[test]
fn entries_without_a_key_or_a_name_are_passed_over() {
    let entry =
        |stream: Vec<u8>, service, version| StreamOriginEntry { stream, service, version, valid_for_ms: 9 };
    let update = StreamOriginUpdate {
        names: vec!["pool".to_owned(), "v1".to_owned()],
        origins: vec![
            entry(vec![1; 15], 0, 1),
            entry(vec![1; 16], 2, 1),
            entry(vec![1; 16], 0, u32::MAX),
            entry(vec![2; 16], 0, 1),
        ],
        is_to_be_stored: false,
    };
    assert_eq!(decode(&update).len(), 1);
    assert_eq!((key(&[0; 17]), key(&[])), (None, None));
    let endless = StreamOriginUpdate { origins: vec![entry(vec![2; 16], 0, 1)], ..update };
    let forever = StreamOriginEntry { valid_for_ms: u32::MAX, ..endless.origins[0].clone() };
    let decoded = decode(&StreamOriginUpdate { origins: vec![forever], ..endless });
    assert!(decoded[0].valid_for <= Duration::from_secs(3_600));
}

/// Guards against: the messages outgrow what the plan of capacity counts on.
#[test]
fn origins_take_few_bytes() {
    let one = message_bytes(&[record(1, "v1.1")]);
    let many: Vec<OriginRecord> = (0..101).map(|number| record(number, "v1.1")).collect();
    let further = (message_bytes(&many) - one) / 100;
    println!("{one} bytes with one origin, {further} for each further one");
    assert!(one <= MAX_MESSAGE_BYTES && further <= MAX_FURTHER_BYTES, "{one} {further}");
}
