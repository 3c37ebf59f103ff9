//! The `Directory` aggregate: all back ends at the newest store revision that this node knows.
//!
//! Store revisions are totally ordered, over the eras of the store as well, so of two directories the one with
//! the higher revision is correct. A node learns revisions from the store's watch or from a peer, and never goes
//! back to an earlier one.
//!
//! Peers are sent the changes since the revision that they hold, as long as these are still logged, and
//! otherwise the whole list. With 3,000 back ends the whole list takes about 100 KB, a change about 60 bytes.
//!
//! A back end that restarts may keep its instance name and has lost its previous state. State of back ends is
//! therefore keyed by generation, and the list says which generation of an instance is the newest.
//!
//! While the store is unavailable, live back ends can't renew their entries, so the entries expire; they are
//! listed again soon after the store recovers. Back ends that disappear during that time without having
//! announced it are therefore still used for a short time, marked as expired. Expired back ends are not part
//! of the revision and are not sent to peers. The same holds for back ends that are missing when a new era
//! begins: the store lost their entries, which they write again.
//!
//! A long list is read in pages. Until a starting node has read the whole list it uses the pages read so far;
//! otherwise a fleet that starts all at once would serve no requests for seconds. A partial list is not part
//! of a revision either.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use beamwall_model::{BackendId, EngineVersion, InstanceName, ServiceName, StoreRevision, ZoneName};
use xxhash_rust::xxh3::Xxh3;

use crate::directory_log::ChangeLog;
use crate::placement_groups::{EngineGroup, EngineGroups};
use crate::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};

/// A back end as listed in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Identifier of this generation, derived from the next two fields and never reused.
    pub id: BackendId,
    /// The instance name under which it is listed.
    pub instance: InstanceName,
    /// Start time of this generation in milliseconds since 1970, if the entry has one.
    pub born_ms: Option<u64>,
    /// The service that it serves.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// Its software version.
    pub version: EngineVersion,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Whether it may be reclaimed at short notice.
    pub reclaimable: bool,
    /// Time left until it is gone, in milliseconds when it was announced; `None` if it named none.
    pub leaves_in_ms: Option<u64>,
}

impl Backend {
    /// Whether `other` is an earlier generation of the same instance.
    fn follows(&self, other: &Backend) -> bool {
        matches!((self.born_ms, other.born_ms), (Some(born), Some(before)) if born > before)
    }
}

/// All back ends at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    revision: StoreRevision,
    digest: u64,
    backends: BackendsByInstance,
    expired: BackendsByInstance,
    /// Pages of the first list that were read before the whole list is known.
    partial_list: BackendsByInstance,
    /// The back ends of the three maps above by generation; rebuilt on each change.
    by_id: Arc<HashMap<BackendId, Arc<Backend>>>,
    /// The back ends that accept requests, by service; rebuilt on each change.
    usable: Arc<HashMap<ServiceName, EngineGroups>>,
    /// The versions of each service's back ends; rebuilt on each change.
    versions: Arc<BTreeSet<(ServiceName, EngineVersion)>>,
    /// Recent changes, to be sent to peers.
    recent: ChangeLog,
}

/// Back ends by instance name, one generation of each instance.
type BackendsByInstance = BTreeMap<InstanceName, Arc<Backend>>;

/// Result of comparing a list that was read from the store with the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reconciliation {
    /// Both are equal.
    Confirmed,
    /// They differed; the list that was read has replaced the current one.
    Changed,
    /// The store returned an earlier revision than the current one, which is kept.
    Outdated,
}

/// How to treat back ends that are no longer listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalCause {
    /// They are gone.
    Gone,
    /// Their entries may have expired while the store was unavailable, or been lost when it was restored.
    MaybeExpired,
}

impl Directory {
    /// The store revision of the last known change; the default before the first.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether any back ends are known, or the complete list is known to be empty.
    pub fn is_known(&self) -> bool {
        self.is_fully_loaded() || !self.partial_list.is_empty()
    }

    /// Whether the complete list is known. A partial list is enough to serve callers, but not to count the
    /// back ends.
    pub fn is_fully_loaded(&self) -> bool {
        self.revision > StoreRevision::default()
    }

    /// A digest that is equal for equal contents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All listed back ends, including draining ones.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().map(Arc::as_ref)
    }

    /// All back ends, listed or expired.
    pub fn known(&self) -> impl Iterator<Item = &Backend> {
        self.by_id.values().map(Arc::as_ref)
    }

    /// One back end, listed or expired; `None` for a generation that has been superseded.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.by_id.get(id).map(Arc::as_ref)
    }

    /// Whether this generation of a back end is listed and not draining.
    pub fn is_listed_available(&self, id: &BackendId) -> bool {
        self.get(id).is_some_and(|known| {
            let listed = self.backends.get(&known.instance);
            listed.is_some_and(|listed| listed.id == *id && !listed.draining)
        })
    }

    /// Back ends of a service that accept new requests, including expired ones.
    pub fn usable<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Backend> + use<'a> {
        let groups = self.usable.get(service);
        groups.into_iter().flat_map(EngineGroups::engines).map(Arc::as_ref)
    }

    /// Back ends of one group that accept new requests, including expired ones.
    pub fn usable_in_group<'a>(
        &'a self,
        service: &ServiceName,
        group: EngineGroup,
    ) -> impl Iterator<Item = &'a Backend> + use<'a> {
        let groups = self.usable.get(service);
        groups.into_iter().flat_map(move |groups| groups.engines_of(group)).map(Arc::as_ref)
    }

    /// The groups of a service's back ends; `None` if none of them accepts requests.
    pub fn groups(&self, service: &ServiceName) -> Option<&EngineGroups> {
        self.usable.get(service)
    }

    /// The versions of each service's back ends, including expired and draining ones.
    pub fn versions(&self) -> impl Iterator<Item = (&ServiceName, &EngineVersion)> {
        self.versions.iter().map(|(service, version)| (service, version))
    }

    /// Rebuilds the maps by generation and by service, and the versions.
    fn rebuild_indexes(&mut self) {
        let mut by_service: HashMap<ServiceName, Vec<Arc<Backend>>> = HashMap::new();
        let known = self.backends.values().chain(self.expired.values()).chain(self.partial_list.values());
        self.by_id = Arc::new(known.clone().map(|known| (known.id.clone(), known.clone())).collect());
        let versions = known.clone().map(|known| (known.service.clone(), known.version.clone()));
        self.versions = Arc::new(versions.collect());
        for backend in known.filter(|backend| !backend.draining) {
            by_service.entry(backend.service.clone()).or_default().push(backend.clone());
        }
        let groups = by_service.into_iter().map(|(service, engines)| (service, EngineGroups::new(engines)));
        self.usable = Arc::new(groups.collect());
    }

    /// Number of back ends whose entries expired and that are not listed again yet.
    pub fn expired(&self) -> usize {
        self.expired.len()
    }

    /// Drops the expired back ends; returns whether there were any.
    pub fn drop_expired(&mut self) -> bool {
        let dropped = !std::mem::take(&mut self.expired).is_empty();
        self.rebuild_indexes();
        dropped
    }

    /// Uses a partly read first list until the whole list is known; returns whether it is used.
    pub fn use_partial_list(&mut self, read: Vec<Backend>) -> bool {
        if self.is_fully_loaded() {
            return false;
        }
        self.partial_list =
            read.into_iter().map(|backend| (backend.instance.clone(), Arc::new(backend))).collect();
        self.rebuild_indexes();
        true
    }

    /// Keeps back ends that disappeared since `before` as expired, and removes those that are listed again.
    fn update_expired(&mut self, before: BackendsByInstance, removal_cause: RemovalCause) {
        if removal_cause == RemovalCause::MaybeExpired {
            self.expired.extend(before.into_iter().filter(|(_, backend)| !backend.draining));
        }
        let listed = &self.backends;
        self.expired.retain(|id, _| !listed.contains_key(id));
        self.rebuild_indexes();
    }

    /// The whole list as a snapshot, for peers.
    pub fn snapshot(&self) -> DirectorySnapshot {
        DirectorySnapshot { revision: self.revision, backends: self.backends().cloned().collect() }
    }

    /// Whether the list has a newer generation than the one of this entry. An engine's last entry may be
    /// written after the first entry of its next generation.
    pub fn has_newer_generation(&self, backend: &Backend) -> bool {
        self.backends.get(&backend.instance).is_some_and(|known| known.follows(backend))
    }

    /// Changes after `peer_revision`; `None` if they are no longer logged.
    pub fn changes_since(&self, peer_revision: StoreRevision) -> Option<DirectoryChanges> {
        self.recent.since(peer_revision)
    }

    /// Installs a snapshot if it is newer; returns whether it was installed.
    pub fn replace(&mut self, snapshot: DirectorySnapshot, removal_cause: RemovalCause) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.install_snapshot(snapshot, removal_cause);
        true
    }

    /// Installs a list that was read from the store at a single revision, even if it has the current revision
    /// but other contents: in that case the changes that led to the current revision were incomplete. These
    /// changes are no longer sent to peers.
    pub fn reconcile(&mut self, read: DirectorySnapshot, removal_cause: RemovalCause) -> Reconciliation {
        if read.revision < self.revision {
            return Reconciliation::Outdated;
        }
        let is_newer = read.revision > self.revision;
        let before = self.digest;
        self.install_snapshot(read, removal_cause);
        if !is_newer && self.digest != before {
            self.recent = ChangeLog::default();
        }
        if self.digest == before { Reconciliation::Confirmed } else { Reconciliation::Changed }
    }

    /// What it means that back ends are missing at a newer revision. At the beginning of an era the store may have
    /// lost their entries.
    fn removal_cause(&self, newer: StoreRevision, removal_cause: RemovalCause) -> RemovalCause {
        if newer.era > self.revision.era { RemovalCause::MaybeExpired } else { removal_cause }
    }

    fn install_snapshot(&mut self, snapshot: DirectorySnapshot, removal_cause: RemovalCause) {
        let known = &self.backends;
        let listed = snapshot.backends.into_iter().map(Arc::new).map(|backend| {
            let known = known.get(&backend.instance).filter(|known| known.follows(&backend));
            (backend.instance.clone(), known.cloned().unwrap_or(backend))
        });
        let listed = listed.collect();
        let before = std::mem::replace(&mut self.backends, listed);
        let changes = differences(&before, &self.backends);
        // Back ends that were added and removed again between both revisions are not known, so only a peer
        // that holds exactly the earlier revision can be sent these changes.
        self.recent
            .add(self.revision..=self.revision, DirectoryChanges { revision: snapshot.revision, changes });
        let removal_cause = self.removal_cause(snapshot.revision, removal_cause);
        self.revision = snapshot.revision;
        self.partial_list.clear();
        self.update_expired(before, removal_cause);
        self.digest = digest_of(self.backends.values().map(Arc::as_ref));
    }

    /// Applies changes that a peer sent to a node that held revision `base`; returns whether they were
    /// applied. They may omit back ends that were added and removed again since `base`, so they apply only to
    /// a list of exactly this revision.
    pub fn apply_peer_changes(
        &mut self,
        base: StoreRevision,
        changes: DirectoryChanges,
        removal_cause: RemovalCause,
    ) -> bool {
        self.revision == base && self.apply(base, changes, removal_cause)
    }

    /// Applies changes that follow `base`; returns whether they were applied. Changes are rejected if this
    /// directory is older than `base`, because intermediate changes would be missing, and if it is already at
    /// or past their revision. An empty set of changes counts, too: it means that nothing changed up to its
    /// revision, from which the next set will follow.
    pub fn apply(
        &mut self,
        base: StoreRevision,
        changes: DirectoryChanges,
        removal_cause: RemovalCause,
    ) -> bool {
        if self.revision < base || changes.revision <= self.revision {
            return false;
        }
        let mut removed = BackendsByInstance::new();
        let mut applied = Vec::new();
        for change in changes.changes {
            let before = match &change {
                DirectoryChange::Changed(backend) if self.has_newer_generation(backend) => continue,
                DirectoryChange::Changed(backend) => {
                    self.digest ^= digest(backend);
                    self.backends.insert(backend.instance.clone(), Arc::new(backend.clone()))
                }
                DirectoryChange::Gone(instance) => {
                    let before = self.backends.remove(instance);
                    removed.extend(before.clone().map(|before| (instance.clone(), before)));
                    before
                }
            };
            self.digest ^= before.map_or(0, |before| digest(&before));
            applied.push(change);
        }
        let removal_cause = self.removal_cause(changes.revision, removal_cause);
        self.revision = changes.revision;
        let has_changed = !applied.is_empty();
        // Within an era the changes apply to all revisions in between as well.
        let applies_through =
            if base.era == changes.revision.era { changes.revision.previous() } else { base };
        self.recent
            .add(base..=applies_through, DirectoryChanges { revision: changes.revision, changes: applied });
        let was_incomplete = !std::mem::take(&mut self.partial_list).is_empty();
        // A quiet watch responds every few seconds and changes nothing but the revision.
        if has_changed || was_incomplete {
            self.update_expired(removed, removal_cause);
        }
        true
    }
}

/// Changes that turn one list into another.
fn differences(before: &BackendsByInstance, after: &BackendsByInstance) -> Vec<DirectoryChange> {
    let is_gone = |instance: &&InstanceName| !after.contains_key(*instance);
    let gone = before.keys().filter(is_gone).map(|instance| DirectoryChange::Gone(instance.clone()));
    let is_new = |backend: &&Arc<Backend>| before.get(&backend.instance) != Some(*backend);
    let changed = after.values().filter(is_new);
    gone.chain(changed.map(|backend| DirectoryChange::Changed(Backend::clone(backend)))).collect()
}

/// A digest that is equal for lists of equal contents.
pub fn digest_of<'a>(backends: impl Iterator<Item = &'a Backend>) -> u64 {
    backends.fold(0, |sum, backend| sum ^ digest(backend))
}

/// A back end's part of the digest of its list. The digest is the exclusive or of all parts.
fn digest(backend: &Backend) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(backend.id.as_str().as_bytes());
    hasher.update(&[0, u8::from(backend.draining)]);
    hasher.update(backend.address.to_string().as_bytes());
    hasher.digest()
}
