//! Messages of earlier builds, as bytes on file, read by this one, and messages of this one read by the recorded schema.
//!
//! While machines are replaced one after the other, builds run side by side. What an earlier build sends must keep its meaning: a field
//! number is never used again, and a new form stands beside the old one (docs/design/messages.md).
//!
//! Seen: a gateway that started while the store was busy, beside others of another build, served none of 15 requests. How: the list of
//! back ends had moved from one field to others of the same message. A reader of the new build found none in it and took that for an
//! empty list. Cause: no rule for the messages of other builds. Proof: the recorded list of the earlier build, read here.

mod recorded_schema;

use beamwall_engine_model::LastingObservation;
use std::time::Duration;

use beamwall_admission::{Rejection, RejectionReason};
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::{Backend, PlacementOutcome};
use beamwall_model::{BackendId, EngineVersion, InstanceName, ServiceName, StoreRevision, ZoneName};
use beamwall_node::gateway::directory_wire::{self, DirectoryUpdate};
use beamwall_node::gateway::heartbeat_wire;
use beamwall_node::gateway::placement_wire;
use beamwall_peer::gateway_message::{
    BackendLoad, BackendSlowness, DirectoryAnswer, DirectoryRequest, GatewayHeartbeat, GenerationUsage,
    PolicyAnswer, PolicyRequest, QuotaUse, ServiceDemand, ServiceModel, StoreConfirmation, UsageAnswer,
    UsageCount, UsageRequest, UsageWindow, VersionUpdate, ZoneSummary, ZoneUsage,
};
use beamwall_peer::message::{MemberUpdate, ProbeRequest};
use beamwall_peer::placement_message::{PlacementPart, PlacementReply, PlacementRequest};
use beamwall_peer::quarantine_message::{
    CompletionMessage, QuarantineRequest, QuarantineUpdate, TerminationMessage, TrialMessage,
};
use beamwall_peer::stream_origin_message::{StreamOriginRequest, StreamOriginUpdate};
use beamwall_peer::{Body, Envelope};
use beamwall_seeds::on_seeds;
use prost::Message;
use recorded_schema::earlier;

/// Messages of the build that told lists of back ends as compressed JSON: a name and the bytes in hexadecimal digits a line.
const RECORDED_BEFORE_NAMES: &str = include_str!("recorded/7105913.txt");
/// Messages of the first build that told them with names sent once.
const RECORDED_WITH_NAMES: &str = include_str!("recorded/32779df.txt");
/// Messages of the first build that told of requests under which back ends end.
const RECORDED_WITH_HELD_REQUESTS: &str = include_str!("recorded/08e9762.txt");
/// Messages of the first build that told a life with news of versions, and how slow a placed engine is.
const RECORDED_WITH_SLOWNESS: &str = include_str!("recorded/1d1d9e1.txt");

fn read(recorded: &str, name: &str) -> Vec<u8> {
    let lines = recorded.lines().filter_map(|line| line.split_once(' '));
    let found = lines.filter(|(line, _)| *line == name).map(|(_, digits)| digits).next();
    hex::decode(found.unwrap_or_else(|| panic!("{name} is recorded"))).expect("hexadecimal digits")
}

fn envelope(body: Body) -> Envelope {
    Envelope {
        sender: "node-1".to_owned(),
        incarnation: 7,
        zone: "a".to_owned(),
        address: "127.0.0.1:7001".to_owned(),
        revision: 12,
        digest: 0,
        ready: true,
        draining: false,
        question: 5,
        answers: 0,
        link_mbps: 100,
        store_lost: false,
        body: Some(body),
    }
}

fn loads() -> Vec<BackendLoad> {
    vec![BackendLoad { backend: "i-3".to_owned(), requests: 4, prompt_tokens: 900 }]
}

fn usage() -> Vec<UsageWindow> {
    let counts = vec![UsageCount { tenant: "alder".to_owned(), requests: 412 }];
    vec![UsageWindow { window: 353_445_120, counts }]
}

fn uses() -> Vec<QuotaUse> {
    vec![QuotaUse { tenant: "alder".to_owned(), passed: 1234.5 }]
}

fn demands() -> Vec<ServiceDemand> {
    let service = "pool".to_owned();
    vec![ServiceDemand { service, requests: 1.5, tokens: 2.5, pairs: 3.5, events: 4.5 }]
}

fn models() -> Vec<ServiceModel> {
    vec![ServiceModel { service: "pool".to_owned(), sums: vec![1.0, 2.0, 3.0] }]
}

fn slowness() -> Vec<BackendSlowness> {
    let backend = "i-3".to_owned();
    vec![BackendSlowness { backend, logarithms: 0.5, weight: 2.0, ..BackendSlowness::default() }]
}

fn members() -> Vec<MemberUpdate> {
    vec![MemberUpdate {
        node: "node-2".to_owned(),
        zone: "b".to_owned(),
        address: "127.0.0.1:7002".to_owned(),
        incarnation: 9,
        state: 1,
        ..MemberUpdate::default()
    }]
}

fn beat() -> GatewayHeartbeat {
    GatewayHeartbeat {
        members: members(),
        wants_answer: true,
        policy_version: 12,
        directory_revision: 40,
        directory_digest: 0x0123_4567_89ab_cdef,
        quota_uses: uses(),
        loads: loads(),
        life: 1_700_000_000_000,
        usage: usage(),
        demands: demands(),
        models: models(),
        slowness: slowness(),
        ..GatewayHeartbeat::default()
    }
}

fn zone_sum() -> ZoneSummary {
    ZoneSummary {
        zone: "b".to_owned(),
        relay: "node-2".to_owned(),
        life: 1_700_000_000_001,
        nodes_heard: 9,
        quota_uses: uses(),
        loads: loads(),
        usage: usage(),
        demands: demands(),
        models: models(),
        slowness: slowness(),
        ..ZoneSummary::default()
    }
}

fn placement_request() -> PlacementRequest {
    PlacementRequest {
        service: "pool".to_owned(),
        prompt_tokens: 1460,
        output_tokens: 80,
        parts: vec![PlacementPart { id: 0x5c1e_07a2, tokens: 800 }],
        tried: vec!["i-1".to_owned()],
        unreachable: vec!["i-2".to_owned()],
        pause_objective_ms: Some(500),
        remaining_ms: 7900,
        group: 1,
        groups: 3,
        enough_ms: Some(300.0),
        observed: slowness(),
        ..PlacementRequest::default()
    }
}

fn placement_reply() -> PlacementReply {
    PlacementReply {
        backend: "i-3".to_owned(),
        cost_ms: 12.5,
        unread_tokens: 660,
        open_requests: 4,
        failure_share: 0.25,
        candidates: 9,
        unread_pairs: 70,
        tokens_ahead: 800,
        expected_ms: Some(150.5),
        ..PlacementReply::default()
    }
}

/// What every recorded build sends in the same form, with its name on file.
fn unchanged() -> Vec<(&'static str, Body)> {
    let versions = VersionUpdate {
        policy_version: 12,
        directory_revision: 40,
        directory_digest: 0x0123_4567_89ab_cdef,
        life: 0,
        directory_era: 0,
        policy_confirmed: None,
        directory_confirmed: None,
    };
    let policy_request = PolicyRequest { held_version: 12, held_digest: 0x0123_4567_89ab_cdef };
    let life = GenerationUsage { node: "node-2".to_owned(), life: 1_700_000_000_002, usage: usage() };
    let probe = ProbeRequest { node: "node-2".to_owned(), address: "127.0.0.1:7002".to_owned() };
    vec![
        ("beat", Body::GatewayBeat(beat())),
        ("versions", Body::VersionNews(versions)),
        ("zone_sum", Body::ZoneSummary(zone_sum())),
        ("policy_request", Body::PolicyRequest(policy_request)),
        ("policy_answer", Body::PolicyAnswer(PolicyAnswer { change: vec![1, 2, 3], busy_for_ms: 20 })),
        ("usage_request", Body::UsageRequest(UsageRequest::default())),
        ("usage_known", Body::UsageKnown(UsageAnswer { lives: vec![life], zones: Vec::new() })),
        ("placement_request", Body::PlacementRequest(placement_request())),
        ("placement_reply", Body::PlacementReply(placement_reply())),
        ("probe", Body::ProbeRequest(probe)),
    ]
}

fn backend(instance: &str, born_ms: Option<u64>, version: &str) -> Backend {
    let name = InstanceName::new(instance);
    let is_first = instance == "i-3";
    Backend {
        id: BackendId::for_generation(&name, born_ms),
        instance: name,
        born_ms,
        service: ServiceName::new(if is_first { "pool" } else { "app" }),
        address: ([127, 0, 0, 1], if is_first { 8585 } else { 8586 }).into(),
        zone: ZoneName::new(if is_first { "a" } else { "b" }),
        version: EngineVersion::new(version),
        slots: if is_first { 128 } else { 6 },
        draining: !is_first,
        reclaimable: is_first,
        leaves_in_ms: None,
    }
}

fn directory_answer(recorded: &str, name: &str) -> DirectoryAnswer {
    let envelope = Envelope::decode(read(recorded, name).as_slice()).expect("it can be read");
    match envelope.body {
        Some(Body::DirectoryAnswer(answer)) => answer,
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_earlier_builds_send_keeps_its_meaning() {
    for recorded in
        [RECORDED_BEFORE_NAMES, RECORDED_WITH_NAMES, RECORDED_WITH_HELD_REQUESTS, RECORDED_WITH_SLOWNESS]
    {
        for (name, body) in unchanged() {
            let read = Envelope::decode(read(recorded, name).as_slice()).expect("it can be read");
            assert_eq!(read, envelope(body), "{name}");
        }
    }
}

#[test]
fn what_is_told_of_held_requests_keeps_its_meaning() {
    [RECORDED_WITH_HELD_REQUESTS, RECORDED_WITH_SLOWNESS].into_iter().for_each(check_held_requests);
}

fn check_held_requests(recorded: &str) {
    let read = |name| Envelope::decode(read(recorded, name).as_slice()).expect("it can be read");
    let news = QuarantineUpdate {
        endings: vec![TerminationMessage {
            backend: "i-3".to_owned(),
            at_ms: 1_700_000_000_003,
            open: (0..32).collect(),
            ..TerminationMessage::default()
        }],
        completions: vec![CompletionMessage {
            request: (0..16).collect(),
            at_ms: 1_700_000_000_004,
            ..CompletionMessage::default()
        }],
        trials: vec![TrialMessage { request: (16..32).collect(), number: 2, at_ms: 1_700_000_000_005 }],
        exposures: Vec::new(),
    };
    assert_eq!(read("quarantine_news"), envelope(Body::QuarantineNews(news)));
    assert_eq!(read("quarantine_request"), envelope(Body::QuarantineRequest(QuarantineRequest {})));
    let with_digest = GatewayHeartbeat { members_known: 3, time_ms: 9, quarantine_digest: 77, ..beat() };
    assert_eq!(read("beat_with_digest"), envelope(Body::GatewayBeat(with_digest)));
    let asks = DirectoryRequest { held_revision: 40, reads_names: true, held_era: 0 };
    assert_eq!(read("directory_request"), envelope(Body::DirectoryRequest(asks)));
}

#[test]
fn what_is_told_of_lives_and_slowness_keeps_its_meaning() {
    let read =
        |name| Envelope::decode(read(RECORDED_WITH_SLOWNESS, name).as_slice()).expect("it can be read");
    let Some(Body::VersionNews(versions)) = read("versions_with_life").body else { panic!("news") };
    assert_eq!((versions.policy_version, versions.life), (12, 1_700_000_000_000));
    let Some(Body::PlacementReply(reply)) = read("placement_reply_with_slowness").body else {
        panic!("an answer")
    };
    assert_eq!(reply, PlacementReply { slowness: 1.5, ..placement_reply() });
}

#[test]
fn what_earlier_builds_do_not_tell_is_harmless() {
    let read =
        |name| Envelope::decode(read(RECORDED_WITH_HELD_REQUESTS, name).as_slice()).expect("it can be read");
    let Some(Body::VersionNews(versions)) = read("versions").body else { panic!("news of versions") };
    assert_eq!(versions.life, 0, "no life is told");
    let Some(Body::PlacementReply(reply)) = read("placement_reply").body else { panic!("an answer") };
    assert_eq!(reply.slowness, 0.0, "no slowness is told");
}

/// Guards against: lasting speeds hide the slowness at the moment from earlier builds, or are read from them.
#[test]
fn earlier_builds_pass_over_lasting_speeds_and_tell_none() {
    let told = BackendSlowness { lasting_logarithms: -4.0, lasting_weight: 8.0, ..slowness().remove(0) };
    let beat = GatewayHeartbeat { slowness: vec![told.clone()], ..beat() };
    let bytes = envelope(Body::GatewayBeat(beat)).encode_to_vec();
    let read = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::GatewayBeat(read)) = read.body else { panic!() };
    let slow = &read.slowness[0];
    assert_eq!((slow.backend.as_str(), slow.logarithms, slow.weight), ("i-3", 0.5, 2.0));
    let decoded = heartbeat_wire::decode_slowness(std::slice::from_ref(&told));
    assert_eq!(heartbeat_wire::encode_slowness(decoded), vec![told]);
    let from_earlier = heartbeat_wire::decode_slowness(&slowness()).remove(0).1;
    assert_eq!(from_earlier.lasting, LastingObservation::default());
}

/// Guards against: a request of an earlier build, which claims nothing, is rejected by a placement node of this one.
#[test]
fn a_placement_request_of_an_earlier_build_has_no_objective_to_miss() {
    let read = read(RECORDED_WITH_SLOWNESS, "placement_request");
    let sender = Envelope::decode(read.as_slice()).expect("it can be read");
    let Some(Body::PlacementRequest(request)) = sender.body.clone() else { panic!("a request") };
    let query = placement_wire::decode_request(request, &sender);
    assert_eq!(query.claim, Default::default());
    assert!(query.claim.objective.is_zero(), "it is admitted in any case");
}

#[test]
fn a_rejected_placement_keeps_its_meaning() {
    for reason in [RejectionReason::OverFairShare, RejectionReason::NoCapacity] {
        let (expected, retry_after) = (Duration::from_millis(1_800), Duration::from_millis(420));
        let rejected = PlacementOutcome::Rejected(Rejection { reason, expected, retry_after });
        let bytes = placement_wire::encode_reply(rejected.clone()).encode_to_vec();
        let reply = PlacementReply::decode(bytes.as_slice()).expect("it can be read");
        assert!(reply.backend.is_empty(), "an earlier build reads it as a node that found no engine");
        assert_eq!(placement_wire::decode_reply(&reply, "node-2".into()), rejected);
    }
    let unanswered = placement_wire::decode_reply(&PlacementReply::default(), "node-2".into());
    assert_eq!(unanswered, PlacementOutcome::Unanswered);
}

/// Guards against: eras of the store that earlier builds do not know hide from them which list is told.
#[test]
fn earlier_builds_pass_over_the_eras_of_lists() {
    let told = GatewayHeartbeat { directory_era: 3, ..beat() };
    let bytes = envelope(Body::GatewayBeat(told)).encode_to_vec();
    let read = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::GatewayBeat(read)) = read.body else { panic!() };
    assert_eq!((read.policy_version, read.directory_revision, read.loads.len()), (12, 40, 1));
    let revision = StoreRevision::new(3, 40);
    let snapshot = DirectorySnapshot { revision, backends: vec![backend("i-3", None, "v1")] };
    let answer = directory_wire::encode(&DirectoryUpdate::Whole(snapshot.clone()));
    assert_eq!((answer.era, answer.revision), (3, 40));
    assert_eq!(directory_wire::decode(&answer), Ok(DirectoryUpdate::Whole(snapshot)));
}

/// Guards against: confirmations by the store, and the loss of it, hide from earlier builds what else is told.
#[test]
fn earlier_builds_pass_over_what_the_store_confirmed() {
    let confirmed = Some(StoreConfirmation { era: 3, revision: 41, age_ms: 900 });
    let told = GatewayHeartbeat {
        policy_confirmed: confirmed,
        directory_confirmed: confirmed,
        orders_confirmed: confirmed,
        ..beat()
    };
    let message = Envelope { store_lost: true, ..envelope(Body::GatewayBeat(told)) };
    let bytes = message.encode_to_vec();
    assert_eq!(Envelope::decode(bytes.as_slice()).as_ref(), Ok(&message));
    let read = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::GatewayBeat(read)) = read.body else { panic!() };
    assert_eq!((read.policy_version, read.directory_revision, read.loads.len()), (12, 40, 1));
}

#[test]
fn a_list_with_names_keeps_its_meaning() {
    let backends = vec![backend("i-3", Some(1_700_000_000_003), "v1"), backend("i-4", None, "v1")];
    let told = DirectoryUpdate::Whole(DirectorySnapshot { revision: 40.into(), backends });
    for recorded in [RECORDED_WITH_NAMES, RECORDED_WITH_SLOWNESS] {
        let whole = directory_wire::decode(&directory_answer(recorded, "directory_whole"));
        assert_eq!(whole, Ok(told.clone()));
    }
    let change = directory_answer(RECORDED_WITH_NAMES, "directory_change");
    assert_eq!((change.revision, change.is_change, change.gone.len(), change.listed.len()), (41, true, 1, 1));
    assert_eq!(directory_answer(RECORDED_WITH_NAMES, "directory_busy").busy_for_ms, 30);
}

#[test]
fn a_list_of_the_build_before_is_read_and_not_taken_for_an_empty_one() {
    let whole = directory_wire::decode(&directory_answer(RECORDED_BEFORE_NAMES, "directory_whole"));
    // That build told neither lives nor versions.
    let backends = vec![backend("i-3", None, ""), backend("i-4", None, "")];
    assert_eq!(whole, Ok(DirectoryUpdate::Whole(DirectorySnapshot { revision: 40.into(), backends })));
    assert_eq!(directory_answer(RECORDED_BEFORE_NAMES, "directory_busy").busy_for_ms, 30);
}

#[test]
fn who_does_not_say_that_it_reads_names_gets_both_forms() {
    let envelope = Envelope::decode(read(RECORDED_BEFORE_NAMES, "directory_request").as_slice());
    let Some(Body::DirectoryRequest(request)) = envelope.expect("it can be read").body else { panic!() };
    let backends = vec![backend("i-3", Some(1_700_000_000_003), "v1"), backend("i-4", None, "v1")];
    let told = DirectoryUpdate::Whole(DirectorySnapshot { revision: 40.into(), backends: backends.clone() });
    let answer = directory_wire::encode_for(&request, &told);
    let bytes = answer.encode_to_vec();
    let by_earlier = earlier::DirectoryWhole::decode(bytes.as_slice()).expect("it can be read");
    let read: Vec<earlier::Backend> =
        beamwall_peer::compressed::decode(&by_earlier.backends).expect("the earlier form");
    assert_eq!((by_earlier.revision, read.len()), (40, 2));
    // The name that the earlier build expects of an engine is that of the instance, without its life.
    assert_eq!((read[0].id.as_str(), read[0].service.as_str(), read[0].slots), ("i-3", "pool", 128));
    assert_eq!((read[1].draining, read[0].reclaimable, read[1].zone.as_str()), (true, true, "b"));
    assert_eq!(directory_wire::decode(&answer), Ok(told.clone()), "the new form stands beside it");
    let own = DirectoryRequest { reads_names: true, ..DirectoryRequest::default() };
    assert!(
        directory_wire::encode_for(&own, &told).compressed_json.is_empty(),
        "who says so gets the new form only"
    );
}

#[test]
fn what_this_build_sends_is_read_by_the_recorded_schema() {
    for (name, body) in unchanged() {
        let bytes = envelope(body).encode_to_vec();
        let read = earlier::Envelope::decode(bytes.as_slice()).expect("it can be read");
        assert_eq!((read.sender.as_str(), read.question, read.link_mbps), ("node-1", 5, 100), "{name}");
        assert_eq!(read.encode_to_vec(), bytes, "{name}: nothing is lost");
    }
    let newer = GatewayHeartbeat { members_known: 3, time_ms: 9, quarantine_digest: 77, ..beat() };
    let bytes = envelope(Body::GatewayBeat(newer)).encode_to_vec();
    let read = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::GatewayBeat(read)) = read.body else { panic!() };
    assert_eq!((read.policy_version, read.directory_revision, read.loads.len()), (12, 40, 1));
}

/// Guards against usage of a zone that another build reads as that of no gateways, or of known ones.
#[test]
fn usage_of_a_zone_is_read_with_and_without_the_generations_that_it_includes() {
    let naming = ZoneSummary { usage_lives: vec![7, 1 << 31], ..zone_sum() };
    let bytes = envelope(Body::ZoneSummary(naming)).encode_to_vec();
    let by_earlier = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::ZoneSummary(by_earlier)) = by_earlier.body else { panic!("a summary") };
    assert_eq!((by_earlier.usage.len(), by_earlier.quota_uses.len()), (usage().len(), uses().len()));
    let recorded = Envelope::decode(read(RECORDED_WITH_SLOWNESS, "zone_sum").as_slice());
    let Some(Body::ZoneSummary(recorded)) = recorded.expect("it can be read").body else {
        panic!("a summary")
    };
    assert_eq!((recorded.usage, recorded.usage_lives), (usage(), Vec::new()));
}

/// Guards against a starting gateway whose question another build cannot read, or to which it answers what cannot be read.
#[test]
fn usage_that_a_starting_gateway_asks_for_is_read_by_both_builds() {
    let question = Body::UsageRequest(UsageRequest { reads_zone_sums: true });
    let bytes = envelope(question).encode_to_vec();
    let by_earlier = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    assert!(matches!(by_earlier.body, Some(earlier::Body::UsageRequest(_))));
    let recorded = Envelope::decode(read(RECORDED_WITH_SLOWNESS, "usage_request").as_slice());
    assert_eq!(
        recorded.expect("it can be read").body,
        Some(Body::UsageRequest(UsageRequest { reads_zone_sums: false }))
    );
    let zone = ZoneUsage { zone: "b".to_owned(), lives: vec![7], usage: usage() };
    let answer = Body::UsageKnown(UsageAnswer { lives: Vec::new(), zones: vec![zone] });
    let bytes = envelope(answer).encode_to_vec();
    let by_earlier = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::UsageKnown(by_earlier)) = by_earlier.body else { panic!("an answer") };
    assert!(by_earlier.lives.is_empty());
}

/// Guards against: an earlier build can't read a placement request for a stream that goes on, or takes the origin of a stream
/// for another message.
#[test]
fn what_is_sent_of_the_origins_of_streams_is_passed_over_by_the_recorded_schema() {
    let request = PlacementRequest { stream_version: "v1.1".to_owned(), ..placement_request() };
    let bytes = envelope(Body::PlacementRequest(request)).encode_to_vec();
    let by_earlier = earlier::Envelope::decode(bytes.as_slice()).expect("new fields are passed over");
    let Some(earlier::Body::PlacementRequest(by_earlier)) = by_earlier.body else { panic!("a request") };
    assert_eq!((by_earlier.service.as_str(), by_earlier.tried.len()), ("pool", 1));
    let update = StreamOriginUpdate { names: vec!["pool".to_owned()], ..StreamOriginUpdate::default() };
    let question = StreamOriginRequest { stream: vec![7; 16], service: "pool".to_owned(), span_ms: 60_000 };
    for body in [Body::StreamOriginUpdate(update), Body::StreamOriginRequest(question)] {
        let bytes = envelope(body).encode_to_vec();
        let by_earlier = earlier::Envelope::decode(bytes.as_slice()).expect("it can be read");
        assert_eq!((by_earlier.sender.as_str(), by_earlier.body), ("node-1", None));
    }
}

#[test]
fn prefixes_and_unknown_fields_end_nothing() {
    let names: Vec<&str> = unchanged().iter().map(|(name, _)| *name).collect();
    on_seeds(2_000, |input| {
        let name = *input.choose(&names)?;
        let whole = read(RECORDED_WITH_NAMES, name);
        let length = input.int_in_range(0..=whole.len())?;
        // Either it is read, or it is told as unreadable; both are passed over.
        let _ = Envelope::decode(&whole[..length]);
        // A field that no build knows, of a number above all that are in use, at the end.
        let mut newer = whole.clone();
        let key = (u64::from(input.int_in_range(200..=2_000_u32)?) << 3) | 2;
        let value: Vec<u8> = input.arbitrary()?;
        prost::encoding::encode_varint(key, &mut newer);
        prost::encoding::encode_varint(value.len() as u64, &mut newer);
        newer.extend(value);
        let read = Envelope::decode(newer.as_slice()).expect("unknown fields are passed over");
        assert_eq!(read, Envelope::decode(whole.as_slice()).expect("it can be read"));
        Ok(())
    });
}

#[test]
fn a_message_of_an_unknown_kind_has_no_body() {
    let mut bytes =
        Envelope { body: None, ..envelope(Body::UsageRequest(UsageRequest::default())) }.encode_to_vec();
    prost::encoding::encode_varint((199 << 3) | 2, &mut bytes);
    prost::encoding::encode_varint(0, &mut bytes);
    let read = Envelope::decode(bytes.as_slice()).expect("it can be read");
    assert_eq!((read.sender.as_str(), read.body), ("node-1", None));
}
