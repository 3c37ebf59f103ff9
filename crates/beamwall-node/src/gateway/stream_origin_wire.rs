//! Conversion of the origins of streams to and from messages.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use beamwall_peer::stream_origin_message::{
    StoredServiceVersions, StoredVersionsUpdate, StreamOriginEntry, StreamOriginReply, StreamOriginUpdate,
};
use beamwall_stream_origin::{KnownOrigin, OriginRecord, ServiceVersions, StreamKey, StreamOrigin};

/// Longest time for which an origin from a peer is kept.
const MAX_VALID_FOR: Duration = Duration::from_secs(3_600);

/// Encodes origins; each name is sent once.
pub fn encode<'a>(records: impl Iterator<Item = &'a OriginRecord>) -> StreamOriginUpdate {
    let mut update = StreamOriginUpdate::default();
    for record in records {
        let entry = StreamOriginEntry {
            stream: record.key.as_bytes().to_vec(),
            service: index_of(&mut update.names, record.origin.service.as_str()),
            version: index_of(&mut update.names, record.origin.version.as_str()),
            valid_for_ms: u32::try_from(record.valid_for.as_millis()).unwrap_or(u32::MAX),
        };
        update.origins.push(entry);
    }
    update
}

fn index_of(names: &mut Vec<String>, name: &str) -> u32 {
    let position = names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    u32::try_from(position).unwrap_or(u32::MAX)
}

/// Decodes origins; entries without a valid key or name are skipped.
pub fn decode(update: &StreamOriginUpdate) -> Vec<OriginRecord> {
    let name = |index: u32| update.names.get(index as usize);
    let record = |entry: &StreamOriginEntry| {
        let service = ServiceName::new(name(entry.service)?);
        let version = EngineVersion::new(name(entry.version)?);
        let valid_for = Duration::from_millis(u64::from(entry.valid_for_ms)).min(MAX_VALID_FOR);
        Some(OriginRecord { key: key(&entry.stream)?, origin: StreamOrigin { service, version }, valid_for })
    };
    update.origins.iter().filter_map(record).collect()
}

/// Decodes the key of a stream; `None` if it has another length.
pub fn key(bytes: &[u8]) -> Option<StreamKey> {
    bytes.try_into().ok().map(StreamKey::new)
}

/// Encodes what this node knows of a stream, and of the versions of its service.
pub fn encode_reply(known: Option<KnownOrigin>, versions: ServiceVersions) -> StreamOriginReply {
    let mut reply = StreamOriginReply::default();
    if let Some(KnownOrigin { origin, age }) = known {
        reply.service = origin.service.to_string();
        reply.version = origin.version.to_string();
        reply.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    }
    match versions {
        ServiceVersions::One(version) => reply.only_version = version.to_string(),
        ServiceVersions::Several => reply.has_several_versions = true,
        ServiceVersions::Unknown => {}
    }
    reply
}

/// Decodes a peer's reply: the origin, if the peer holds it, and the versions of its service.
pub fn decode_reply(reply: &StreamOriginReply) -> (Option<KnownOrigin>, ServiceVersions) {
    let versions = if reply.has_several_versions {
        ServiceVersions::Several
    } else if reply.only_version.is_empty() {
        ServiceVersions::Unknown
    } else {
        ServiceVersions::One(EngineVersion::new(&reply.only_version))
    };
    let origin = StreamOrigin {
        service: ServiceName::new(&reply.service),
        version: EngineVersion::new(&reply.version),
    };
    let known = KnownOrigin { origin, age: Duration::from_millis(reply.age_ms) };
    ((!reply.service.is_empty()).then_some(known), versions)
}

/// Encodes versions that the control store holds in an era.
pub fn encode_stored(
    era: u64,
    versions: impl Iterator<Item = (ServiceName, EngineVersion)>,
) -> StoredVersionsUpdate {
    let mut by_service: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (service, version) in versions {
        by_service.entry(service.to_string()).or_default().push(version.to_string());
    }
    let encoded = |(service, versions)| StoredServiceVersions { service, versions };
    StoredVersionsUpdate { era, services: by_service.into_iter().map(encoded).collect() }
}

/// Decodes the versions that a peer knows to be stored.
pub fn decode_stored(
    update: &StoredVersionsUpdate,
) -> impl Iterator<Item = (ServiceName, EngineVersion)> + '_ {
    update.services.iter().flat_map(|of_service| {
        let named = |version: &String| (ServiceName::new(&of_service.service), EngineVersion::new(version));
        of_service.versions.iter().map(named)
    })
}
