//! The `Directory` aggregate: all back ends at the newest revision of the store that is known here.
//!
//! The store's revisions are totally ordered, so of two directories the one of the higher revision is
//! right. A node learns from the store's watch or from a peer; it never goes back.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use beamwall_model::{BackendId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};

/// A back end as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The identifier of this life; never used again.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving: no new requests.
    pub draining: bool,
    /// Whether it may be taken away at short notice.
    pub reclaimable: bool,
}

/// All back ends at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    revision: u64,
    digest: u64,
    backends: BTreeMap<BackendId, Backend>,
}

impl Directory {
    /// The store's revision of the last change that is known here; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A number that is equal for equal contents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All back ends, draining ones included.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// One back end.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Back ends of a service that take new requests.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().filter(move |backend| &backend.service == service && !backend.draining)
    }

    /// The whole as a snapshot, for peers.
    pub fn snapshot(&self) -> DirectorySnapshot {
        DirectorySnapshot { revision: self.revision, backends: self.backends.values().cloned().collect() }
    }

    /// Takes a snapshot if it is newer; returns whether it was taken.
    pub fn replace(&mut self, snapshot: DirectorySnapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.backends = snapshot.backends.into_iter().map(|backend| (backend.id.clone(), backend)).collect();
        self.digest = digest(&self.backends);
        true
    }

    /// Takes changes that follow `base`; returns whether they were taken. Changes are refused when
    /// this directory is not at least at `base`, because some between would be missing, and when
    /// it is already beyond them. An empty answer counts, too: it says that nothing has changed up to
    /// its revision, from which the next will follow.
    pub fn apply(&mut self, base: u64, changes: DirectoryChanges) -> bool {
        if self.revision < base || changes.revision <= self.revision {
            return false;
        }
        for change in changes.changes {
            match change {
                DirectoryChange::Changed(backend) => {
                    self.backends.insert(backend.id.clone(), backend);
                }
                DirectoryChange::Gone(id) => {
                    self.backends.remove(&id);
                }
            }
        }
        self.revision = changes.revision;
        self.digest = digest(&self.backends);
        true
    }
}

fn digest(backends: &BTreeMap<BackendId, Backend>) -> u64 {
    let mut hasher = Xxh3::new();
    for backend in backends.values() {
        hasher.update(backend.id.as_str().as_bytes());
        hasher.update(&[0, u8::from(backend.draining)]);
        hasher.update(backend.address.to_string().as_bytes());
    }
    hasher.digest()
}
