//! What the quarantine needs to know of back ends, and who grants trials.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_model::{BackendId, EngineVersion};
use beamwall_quarantine::Fingerprint;

use crate::directory::Directory;

/// Grants trials of held requests.
#[async_trait]
pub trait TrialPort: Send + Sync + 'static {
    /// Claims the trial with this number for a request. At most one process of all nodes succeeds.
    async fn claim_trial(&self, request: &Fingerprint, number: u32, now_ms: u64) -> bool;
}

/// The properties of a back end that are needed to attribute its termination to requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBackend {
    /// Identifier of the back end's generation.
    pub id: BackendId,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Its software version, if known.
    pub version: Option<EngineVersion>,
    /// Whether it has announced that it is leaving.
    pub is_leaving: bool,
}

/// Looks up the back ends that a node knows.
pub trait BackendLookup: Send + Sync + 'static {
    /// Returns a back end; `None` if it is not listed.
    fn find(&self, backend: &BackendId) -> Option<ListedBackend>;

    /// Returns the software versions of all back ends, as far as they are known.
    fn versions(&self) -> Vec<EngineVersion>;
}

impl BackendLookup for ArcSwap<Directory> {
    fn find(&self, backend: &BackendId) -> Option<ListedBackend> {
        let directory = self.load();
        let listed = directory.get(backend)?;
        Some(ListedBackend {
            id: listed.id.clone(),
            address: listed.address,
            version: Some(listed.version.clone()),
            is_leaving: listed.draining,
        })
    }

    fn versions(&self) -> Vec<EngineVersion> {
        let directory = self.load();
        let versions: BTreeSet<&EngineVersion> = directory.versions().map(|(_, version)| version).collect();
        versions.into_iter().cloned().collect()
    }
}
