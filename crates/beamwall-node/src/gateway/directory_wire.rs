//! Conversion of lists of back ends and their changes to and from messages.

use std::collections::HashMap;
use std::net::SocketAddr;

use beamwall_events::emit;
use beamwall_events::internal_events::PeerDirectoryUnusable;
use beamwall_gateway::Backend;
use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_model::{BackendId, EngineVersion, InstanceName, ServiceName, StoreRevision, ZoneName};
use beamwall_peer::compressed;
use beamwall_peer::gateway_message::{DirectoryAnswer, DirectoryRequest, ListedBackend};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why a list received from a peer can't be read.
    #[derive(Debug, PartialEq, Eq)]
    pub enum DirectoryWireError {
        /// A back end refers to a name index that is not in the message.
        Name(backend: String) {
            display("back end {} has a service, zone or version without a name", backend)
        }
        /// The JSON list of an earlier build can't be parsed.
        Json(reason: String) {
            display("a list as JSON: {}", reason)
        }
        /// The address of a back end can't be parsed.
        Address(backend: String) {
            display("back end {} has no readable address", backend)
        }
    }
}

/// A whole list, or the changes in it.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryUpdate {
    /// The changes that follow the receiver's revision.
    Changes(DirectoryChanges),
    /// The whole list.
    Whole(DirectorySnapshot),
}

/// String table of one message: each name is sent once.
#[derive(Default)]
struct Names {
    positions: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    fn position(&mut self, name: &str) -> u32 {
        if let Some(position) = self.positions.get(name) {
            return *position;
        }
        let position = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.positions.insert(name.to_owned(), position);
        position
    }
}

fn encode_backend(backend: &Backend, names: &mut Names) -> ListedBackend {
    ListedBackend {
        instance: backend.instance.to_string(),
        service: names.position(backend.service.as_str()),
        zone: names.position(backend.zone.as_str()),
        address: backend.address.to_string(),
        slots: backend.slots,
        draining: backend.draining,
        reclaimable: backend.reclaimable,
        born_ms: backend.born_ms,
        version: names.position(backend.version.as_str()),
        leaves_in_ms: backend.leaves_in_ms,
    }
}

/// Encodes a list or its changes.
pub fn encode(update: &DirectoryUpdate) -> DirectoryAnswer {
    let mut names = Names::default();
    let mut answer = DirectoryAnswer::default();
    match update {
        DirectoryUpdate::Whole(snapshot) => {
            (answer.era, answer.revision) = (snapshot.revision.era, snapshot.revision.number);
            answer.listed =
                snapshot.backends.iter().map(|backend| encode_backend(backend, &mut names)).collect();
        }
        DirectoryUpdate::Changes(changes) => {
            (answer.era, answer.revision) = (changes.revision.era, changes.revision.number);
            answer.is_change = true;
            for change in &changes.changes {
                match change {
                    DirectoryChange::Changed(backend) => {
                        answer.listed.push(encode_backend(backend, &mut names));
                    }
                    DirectoryChange::Gone(instance) => answer.gone.push(instance.to_string()),
                }
            }
        }
    }
    answer.names = names.names;
    answer
}

/// Encodes a list or its changes for the peer that requested them. Builds that read JSON only send no
/// revision and do not set `reads_names`. The first builds that read names do not set it either, so such
/// requesters receive both encodings.
pub fn encode_for(request: &DirectoryRequest, update: &DirectoryUpdate) -> DirectoryAnswer {
    let mut answer = encode(update);
    if let DirectoryUpdate::Whole(snapshot) = update
        && !request.reads_names
    {
        answer.compressed_json = encode_as_json(snapshot);
    }
    answer
}

/// A back end in the JSON of earlier builds: identified by its instance name, without start time and version.
#[derive(Debug, Serialize, Deserialize)]
struct JsonBackend {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    reclaimable: bool,
}

fn encode_as_json(snapshot: &DirectorySnapshot) -> Vec<u8> {
    let backend = |backend: &Backend| JsonBackend {
        id: backend.instance.to_string(),
        service: backend.service.to_string(),
        address: backend.address,
        zone: backend.zone.to_string(),
        slots: backend.slots,
        draining: backend.draining,
        reclaimable: backend.reclaimable,
    };
    let backends: Vec<JsonBackend> = snapshot.backends.iter().map(backend).collect();
    compressed::encode(&backends).unwrap_or_else(|error| {
        // Builds that read names use the other encoding of the same list.
        emit(&PeerDirectoryUnusable { peer: String::new(), reason: error.to_string() });
        Vec::new()
    })
}

fn decode_json(bytes: &[u8]) -> Result<Vec<Backend>, DirectoryWireError> {
    let backends: Vec<JsonBackend> =
        compressed::decode(bytes).map_err(|error| DirectoryWireError::Json(error.to_string()))?;
    let backend = |json_listed: JsonBackend| {
        let instance = InstanceName::new(&json_listed.id);
        Backend {
            id: BackendId::for_generation(&instance, None),
            instance,
            born_ms: None,
            service: ServiceName::new(&json_listed.service),
            address: json_listed.address,
            zone: ZoneName::new(&json_listed.zone),
            version: EngineVersion::new(""),
            slots: json_listed.slots,
            draining: json_listed.draining,
            reclaimable: json_listed.reclaimable,
            leaves_in_ms: None,
        }
    };
    Ok(backends.into_iter().map(backend).collect())
}

/// Decodes a list or its changes.
pub fn decode(answer: &DirectoryAnswer) -> Result<DirectoryUpdate, DirectoryWireError> {
    let revision = StoreRevision::new(answer.era, answer.revision);
    let services: Vec<ServiceName> = answer.names.iter().map(ServiceName::new).collect();
    let zones: Vec<ZoneName> = answer.names.iter().map(ZoneName::new).collect();
    let versions: Vec<EngineVersion> = answer.names.iter().map(EngineVersion::new).collect();
    let backend = |listed: &ListedBackend| decode_backend(listed, &services, &zones, &versions);
    let listed = answer.listed.iter().map(backend);
    if !answer.is_change {
        let is_json_only = answer.listed.is_empty() && !answer.compressed_json.is_empty();
        let backends = match is_json_only {
            true => decode_json(&answer.compressed_json)?,
            false => listed.collect::<Result<_, _>>()?,
        };
        return Ok(DirectoryUpdate::Whole(DirectorySnapshot { revision, backends }));
    }
    let gone = answer.gone.iter().map(|name| Ok(DirectoryChange::Gone(InstanceName::new(name))));
    let changed = listed.map(|backend| backend.map(DirectoryChange::Changed));
    let changes = gone.chain(changed).collect::<Result<_, _>>()?;
    Ok(DirectoryUpdate::Changes(DirectoryChanges { revision, changes }))
}

fn decode_backend(
    listed: &ListedBackend,
    services: &[ServiceName],
    zones: &[ZoneName],
    versions: &[EngineVersion],
) -> Result<Backend, DirectoryWireError> {
    let no_name = || DirectoryWireError::Name(listed.instance.clone());
    let address = listed.address.parse().map_err(|_| DirectoryWireError::Address(listed.instance.clone()))?;
    let instance = InstanceName::new(&listed.instance);
    Ok(Backend {
        id: BackendId::for_generation(&instance, listed.born_ms),
        instance,
        born_ms: listed.born_ms,
        service: services.get(listed.service as usize).cloned().ok_or_else(no_name)?,
        address,
        zone: zones.get(listed.zone as usize).cloned().ok_or_else(no_name)?,
        version: versions.get(listed.version as usize).cloned().ok_or_else(no_name)?,
        slots: listed.slots,
        draining: listed.draining,
        reclaimable: listed.reclaimable,
        leaves_in_ms: listed.leaves_in_ms,
    })
}
