//! Binds streams to the software version that began them, over all tries of their callers.
//!
//! A node records which version began each stream that may be resumed, and its peers hold copies
//! ([`beamwall_stream_origin`]). For a stream that a caller takes up again, the version is looked up here and
//! then at the peers. If nobody holds a record, the stream goes on only if all engines of its service have
//! been of one version for as long as it can have lasted. That is told only by nodes whose list of back ends is
//! current: a node that is cut off does not hear of new versions. A stream begins at no version that the control store
//! isn't known to hold, or gateways that have all started anew would take another one for the only one.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_events::emit;
use beamwall_events::internal_events::StreamOriginFound;
use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName};
use beamwall_policy::{Route, RouteKind};
use beamwall_stream_origin::{
    KnownOrigin, OriginLookup, OriginRecord, OriginRegistry, ServiceVersions, StoredVersions, StreamKey,
    StreamOrigin, VersionHistory,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::call::Call;
use crate::directory::{Backend, Directory};
use crate::ports::CallHead;

/// Time after the end of an answer in which its caller may take the stream up again.
const RETURN_TIME: Duration = Duration::from_secs(30);
/// Answers over which a stream may extend, each as long as its route allows.
const ANSWERS_PER_STREAM: u32 = 2;

/// What peers know of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerAnswer {
    /// A peer holds its origin.
    Known {
        /// The origin.
        origin: StreamOrigin,
        /// The peer.
        peer: NodeId,
        /// Time since the peer recorded it.
        age: Duration,
    },
    /// None of those that answered holds it.
    Unknown {
        /// The versions that these peers have seen.
        versions: ServiceVersions,
    },
    /// There are peers, and none answered.
    Unanswered,
    /// This node has no peers.
    NoPeers,
}

/// Asks the peers that may hold a stream's origin.
#[async_trait]
pub trait OriginPort: Send + Sync + 'static {
    /// Asks for the origin of a stream, and for the versions that the service's engines have had within
    /// `span`.
    async fn ask(&self, key: &StreamKey, service: &ServiceName, span: Duration) -> PeerAnswer;
    /// Whether this node's list of back ends is as new as that of any other node, as far as it can know.
    fn is_list_current(&self) -> bool;
}

/// A stream that a caller takes up again.
#[derive(Debug, Clone, Copy)]
pub struct ResumedStream<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service that the route chose.
    pub service: &'a ServiceName,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// The head of the request.
    pub head: &'a CallHead,
}

/// Why the version of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// No node knows it.
    NotRecorded,
    /// No peer answered.
    PeersSilent,
}

/// The origins of streams at one node.
pub struct StreamOrigins {
    /// Records of streams.
    pub registry: OriginRegistry,
    /// Versions of all services.
    pub history: VersionHistory,
    /// Versions that the control store holds.
    pub stored_versions: StoredVersions,
    /// Notified when versions are listed that it isn't known to hold.
    pub versions_unstored: Notify,
    /// Whether any such version is listed, as far as was compared.
    has_unstored_versions: AtomicBool,
    /// Notified when there are records to send to peers.
    pub unsent: Notify,
    /// Longest time that streams of a service recorded here may last.
    lifetimes: Mutex<HashMap<ServiceName, Duration>>,
    peers: Arc<dyn OriginPort>,
}

impl StreamOrigins {
    /// Asks peers through `peers`.
    pub fn new(peers: Arc<dyn OriginPort>) -> Self {
        Self {
            registry: OriginRegistry::default(),
            history: VersionHistory::default(),
            stored_versions: StoredVersions::default(),
            versions_unstored: Notify::new(),
            has_unstored_versions: AtomicBool::new(true),
            unsent: Notify::new(),
            lifetimes: Mutex::default(),
            peers,
        }
    }

    /// Records the versions that are listed now.
    pub fn note_directory(&self, directory: &Directory) {
        self.history.note_listed(directory.versions(), directory.is_fully_loaded(), Instant::now());
        if !self.check_stored_versions(directory) {
            self.versions_unstored.notify_one();
        }
        self.unsent.notify_one();
    }

    /// Compares the listed versions with those that the control store is known to hold; returns whether it holds all.
    pub fn check_stored_versions(&self, directory: &Directory) -> bool {
        let holds_all = self.stored_versions.holds_all(directory.versions());
        self.has_unstored_versions.store(!holds_all, Ordering::Relaxed);
        holds_all
    }

    /// The back ends at which no stream may begin, since the control store isn't known to hold their version. None where
    /// that is so for all usable ones: then there is no other to begin at.
    pub fn unstored_back_ends(&self, directory: &Directory, service: &ServiceName) -> Vec<BackendId> {
        if !self.has_unstored_versions.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let holds = |backend: &&Backend| self.stored_versions.holds(service, &backend.version);
        let (stored, unstored): (Vec<&Backend>, Vec<&Backend>) = directory.usable(service).partition(holds);
        if stored.is_empty() {
            return Vec::new();
        }
        unstored.into_iter().map(|backend| backend.id.clone()).collect()
    }

    /// Records the version that began or continues a call's stream.
    pub fn note_stream(&self, call: &Call, version: &EngineVersion) {
        let first_try = if call.last_event.is_some() { &call.resumes } else { &call.request_id };
        let Some(first_try) = first_try.as_ref().filter(|_| call.route.kind == RouteKind::ResumableStream)
        else {
            return;
        };
        let tenant = call.tenant.as_ref().map(|tenant| tenant.name.as_str());
        let origin = StreamOrigin { service: call.service.clone(), version: version.clone() };
        let valid_for = call.remaining() + RETURN_TIME;
        let record = OriginRecord { key: StreamKey::of_stream(tenant, first_try), origin, valid_for };
        self.note_lifetime(&call.service, lifetime(&call.route));
        self.registry.record(record, Instant::now());
        if self.are_records_needed(&call.service) {
            self.unsent.notify_one();
        }
    }

    fn note_lifetime(&self, service: &ServiceName, lifetime: Duration) {
        let mut lifetimes = self.lifetimes.lock().unwrap_or_else(PoisonError::into_inner);
        match lifetimes.get_mut(service) {
            Some(longest) => *longest = lifetime.max(*longest),
            None => drop(lifetimes.insert(service.clone(), lifetime)),
        }
    }

    /// The versions that a service's engines have had within `span`. That they were of one version only is known
    /// while this node's list of back ends is current.
    pub fn known_versions(&self, service: &ServiceName, span: Duration, now: Instant) -> ServiceVersions {
        match self.history.within(service, span, now) {
            ServiceVersions::One(_) if !self.peers.is_list_current() => ServiceVersions::Unknown,
            versions => versions,
        }
    }

    /// Whether peers need records of a service's streams: its engines have not been of one version for as
    /// long as a stream can last, or this node can't tell.
    fn are_records_needed(&self, service: &ServiceName) -> bool {
        let lifetimes = self.lifetimes.lock().unwrap_or_else(PoisonError::into_inner);
        let lifetime = lifetimes.get(service).copied().unwrap_or_default();
        let versions = self.known_versions(service, lifetime, Instant::now());
        !matches!(versions, ServiceVersions::One(_))
    }

    /// Waits until there are records that peers need and that were not sent yet, and takes them.
    pub async fn next_unsent(&self) -> Vec<OriginRecord> {
        loop {
            let unsent = self.take_unsent();
            if !unsent.is_empty() {
                return unsent;
            }
            self.unsent.notified().await;
        }
    }

    fn take_unsent(&self) -> Vec<OriginRecord> {
        let mut services = self.registry.unsent_services();
        services.retain(|service| self.are_records_needed(service));
        services.iter().flat_map(|service| self.registry.take_unsent(service, Instant::now())).collect()
    }

    /// The origin of a stream that a caller takes up again.
    pub async fn find(&self, stream: ResumedStream<'_>) -> Result<StreamOrigin, UnknownOrigin> {
        let found = self.look_up(stream).await?;
        emit(&StreamOriginFound {
            request: stream.head.request_id.clone().unwrap_or_default(),
            resumes: stream.head.resumes.clone().unwrap_or_default(),
            service: found.origin.service.to_string(),
            version: found.origin.version.to_string(),
            known_from: found.known_from,
            age_ms: found.age.as_millis().to_string(),
        });
        Ok(found.origin)
    }

    async fn look_up(&self, stream: ResumedStream<'_>) -> Result<FoundOrigin, UnknownOrigin> {
        let lifetime = lifetime(stream.route);
        let own = self.known_versions(stream.service, lifetime, Instant::now());
        // A caller that does not name its first try asks for a stream that nobody knows, and so for versions only.
        let first_try = stream.head.resumes.as_ref().or(stream.head.request_id.as_ref());
        let key = StreamKey::of_stream(stream.tenant, first_try.map_or("", String::as_str));
        match self.registry.find(&key, Instant::now()) {
            OriginLookup::Known(KnownOrigin { origin, age }) => {
                return Ok(FoundOrigin { origin, known_from: "own".to_owned(), age });
            }
            OriginLookup::Ambiguous => return Err(UnknownOrigin::NotRecorded),
            OriginLookup::Unknown => {}
        }
        match self.peers.ask(&key, stream.service, lifetime).await {
            PeerAnswer::Known { origin, peer, age } => {
                Ok(FoundOrigin { origin, known_from: peer.to_string(), age })
            }
            PeerAnswer::Unknown { versions } => self.found_by_versions(stream.service, own.and(versions)),
            PeerAnswer::NoPeers => self.found_by_versions(stream.service, own),
            PeerAnswer::Unanswered => Err(UnknownOrigin::PeersSilent),
        }
    }

    fn found_by_versions(
        &self,
        service: &ServiceName,
        versions: ServiceVersions,
    ) -> Result<FoundOrigin, UnknownOrigin> {
        let ServiceVersions::One(version) = versions else { return Err(UnknownOrigin::NotRecorded) };
        let origin = StreamOrigin { service: service.clone(), version };
        Ok(FoundOrigin { origin, known_from: "the only version".to_owned(), age: Duration::ZERO })
    }
}

/// An origin, and from whom it is known.
struct FoundOrigin {
    origin: StreamOrigin,
    known_from: String,
    age: Duration,
}

/// Longest time between a stream's first event and its caller's last return.
fn lifetime(route: &Route) -> Duration {
    Duration::from_millis(route.hold_limit_ms) * ANSWERS_PER_STREAM + RETURN_TIME
}
