//! The `Directory` aggregate: all back ends at the newest revision of the store that is known here.
//!
//! The store's revisions are totally ordered, so of two directories the one of the higher revision is
//! right. A node learns from the store's watch or from a peer; it never goes back.
//!
//! Peers are told what changed since the revision that they hold, as far as it is still known, else the whole list: at 3,000
//! back ends the whole takes some 100 KB, a change some 60 bytes.
//!
//! A back end that starts again may keep its name and knows nothing of before. So what is known of back ends is kept by life,
//! and the list says which life of an instance is the newest.
//!
//! Entries of back ends that live lapse while the store is away, since they can't renew them, and are
//! listed again soon after its return. So what vanishes then without having announced it is still used
//! for a moment, as lapsed; it is no part of the revision, and peers are not told of it.
//!
//! A long list comes in pages. Until a node that starts knows the whole, it uses what it has read of it: else a fleet that
//! starts at once would serve nobody for seconds. That is no part of a revision either.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use beamwall_model::{BackendId, EngineVersion, InstanceName, ServiceName, ZoneName};
use xxhash_rust::xxh3::Xxh3;

use crate::directory_log::ChangeLog;
use crate::placement_groups::{EngineGroup, EngineGroups};
use crate::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};

/// A back end as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The identifier of this life, made of the next two; never used again.
    pub id: BackendId,
    /// The name by which it is listed.
    pub instance: InstanceName,
    /// When this life began, in milliseconds since 1970, where it tells that.
    pub born_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: EngineVersion,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving: no new requests.
    pub draining: bool,
    /// Whether it may be taken away at short notice.
    pub reclaimable: bool,
}

impl Backend {
    /// Whether `other` is an earlier life of the same instance.
    fn follows(&self, other: &Backend) -> bool {
        matches!((self.born_ms, other.born_ms), (Some(born), Some(before)) if born > before)
    }
}

/// All back ends at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Directory {
    revision: u64,
    digest: u64,
    backends: BackendsByInstance,
    expired: BackendsByInstance,
    /// What was read of the first list before all of it is known.
    partial_list: BackendsByInstance,
    /// The same by their lives; made anew with each change.
    by_id: Arc<HashMap<BackendId, Arc<Backend>>>,
    /// The back ends that take requests, by service; made anew with each change.
    usable: Arc<HashMap<ServiceName, EngineGroups>>,
    /// What changed lately, to be told to peers.
    recent: ChangeLog,
}

/// Back ends by the name under which they are listed: of each instance one life.
type BackendsByInstance = BTreeMap<InstanceName, Arc<Backend>>;

/// What a list that was read says of the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reconciliation {
    /// Both are the same.
    Confirmed,
    /// They differed; the one that was read is held now.
    Changed,
    /// The store gave an earlier revision than the one held, which stays.
    Outdated,
}

/// What it means when a back end is not listed any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalCause {
    /// It is gone.
    Gone,
    /// Its entry may have lapsed while the store was away.
    MaybeExpired,
}

impl Directory {
    /// The store's revision of the last change that is known here; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether back ends are known, or that there are none.
    pub fn is_known(&self) -> bool {
        self.is_fully_loaded() || !self.partial_list.is_empty()
    }

    /// Whether all back ends are known: a part of them serves callers, but says nothing of how many there are.
    pub fn is_fully_loaded(&self) -> bool {
        self.revision > 0
    }

    /// A number that is equal for equal contents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// All back ends, draining ones included.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values().map(Arc::as_ref)
    }

    /// One back end, listed or lapsed; `None` for a life that another has followed.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.by_id.get(id).map(Arc::as_ref)
    }

    /// Whether a life of a back end is listed, leaving ones left out.
    pub fn is_listed_available(&self, id: &BackendId) -> bool {
        self.get(id).is_some_and(|known| {
            let listed = self.backends.get(&known.instance);
            listed.is_some_and(|listed| listed.id == *id && !listed.draining)
        })
    }

    /// Back ends of a service that take new requests, lapsed ones included.
    pub fn usable<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Backend> + use<'a> {
        let groups = self.usable.get(service);
        groups.into_iter().flat_map(EngineGroups::engines).map(Arc::as_ref)
    }

    /// The same of one group.
    pub fn usable_in_group<'a>(
        &'a self,
        service: &ServiceName,
        group: EngineGroup,
    ) -> impl Iterator<Item = &'a Backend> + use<'a> {
        let groups = self.usable.get(service);
        groups.into_iter().flat_map(move |groups| groups.engines_of(group)).map(Arc::as_ref)
    }

    /// The groups of a service's back ends; `None` where it has none that takes requests.
    pub fn groups(&self, service: &ServiceName) -> Option<&EngineGroups> {
        self.usable.get(service)
    }

    /// Sorts the back ends anew.
    fn rebuild_indexes(&mut self) {
        let mut by_service: HashMap<ServiceName, Vec<Arc<Backend>>> = HashMap::new();
        let known = self.backends.values().chain(self.expired.values()).chain(self.partial_list.values());
        self.by_id = Arc::new(known.clone().map(|known| (known.id.clone(), known.clone())).collect());
        for backend in known.filter(|backend| !backend.draining) {
            by_service.entry(backend.service.clone()).or_default().push(backend.clone());
        }
        let groups = by_service.into_iter().map(|(service, engines)| (service, EngineGroups::new(engines)));
        self.usable = Arc::new(groups.collect());
    }

    /// Back ends whose entries lapsed and are not listed again yet.
    pub fn expired(&self) -> usize {
        self.expired.len()
    }

    /// Takes lapsed back ends for gone; returns whether there were any.
    pub fn drop_expired(&mut self) -> bool {
        let dropped = !std::mem::take(&mut self.expired).is_empty();
        self.rebuild_indexes();
        dropped
    }

    /// Uses what was read of the first list until the whole is known; returns whether it is used.
    pub fn use_partial_list(&mut self, read: Vec<Backend>) -> bool {
        if self.is_fully_loaded() {
            return false;
        }
        self.partial_list =
            read.into_iter().map(|backend| (backend.instance.clone(), Arc::new(backend))).collect();
        self.rebuild_indexes();
        true
    }

    /// Keeps what has vanished since `before` as lapsed, and forgets what is listed again.
    fn update_expired(&mut self, before: BackendsByInstance, removal_cause: RemovalCause) {
        if removal_cause == RemovalCause::MaybeExpired {
            self.expired.extend(before.into_iter().filter(|(_, backend)| !backend.draining));
        }
        let listed = &self.backends;
        self.expired.retain(|id, _| !listed.contains_key(id));
        self.rebuild_indexes();
    }

    /// The whole as a snapshot, for peers.
    pub fn snapshot(&self) -> DirectorySnapshot {
        DirectorySnapshot { revision: self.revision, backends: self.backends().cloned().collect() }
    }

    /// Whether a later life is listed than the one that an entry is of: an engine's last entry may be written after the first
    /// one of its next life.
    pub fn has_newer_generation(&self, backend: &Backend) -> bool {
        self.backends.get(&backend.instance).is_some_and(|known| known.follows(backend))
    }

    /// What changed after `held`, a revision that a peer holds; `None` where that is not known any more.
    pub fn changes_since(&self, held: u64) -> Option<DirectoryChanges> {
        self.recent.since(held)
    }

    /// Takes a snapshot if it is newer; returns whether it was taken.
    pub fn replace(&mut self, snapshot: DirectorySnapshot, removal_cause: RemovalCause) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.install_snapshot(snapshot, removal_cause);
        true
    }

    /// Takes a list that was read from the store at one moment, also where it has the revision of the list held and other contents:
    /// then what led to this revision left something out. Peers are not told what led there any more.
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

    fn install_snapshot(&mut self, snapshot: DirectorySnapshot, removal_cause: RemovalCause) {
        let known = &self.backends;
        let listed = snapshot.backends.into_iter().map(Arc::new).map(|backend| {
            let known = known.get(&backend.instance).filter(|known| known.follows(&backend));
            (backend.instance.clone(), known.cloned().unwrap_or(backend))
        });
        let listed = listed.collect();
        let before = std::mem::replace(&mut self.backends, listed);
        let changes = differences(&before, &self.backends);
        // What came and went between both revisions is not known, so only who holds just the earlier one can be told.
        self.recent
            .add(self.revision..=self.revision, DirectoryChanges { revision: snapshot.revision, changes });
        self.revision = snapshot.revision;
        self.partial_list.clear();
        self.update_expired(before, removal_cause);
        self.digest = digest_of(self.backends.values().map(Arc::as_ref));
    }

    /// Takes changes that a peer told to a node that held `base`; returns whether they were taken. They may leave out what came
    /// and went since, so only the list of just this revision may take them.
    pub fn apply_peer_changes(
        &mut self,
        base: u64,
        changes: DirectoryChanges,
        removal_cause: RemovalCause,
    ) -> bool {
        self.revision == base && self.apply(base, changes, removal_cause)
    }

    /// Takes changes that follow `base`; returns whether they were taken. Changes are refused when
    /// this directory is not at least at `base`, because some between would be missing, and when
    /// it is already beyond them. An empty answer counts, too: it says that nothing has changed up to
    /// its revision, from which the next will follow.
    pub fn apply(&mut self, base: u64, changes: DirectoryChanges, removal_cause: RemovalCause) -> bool {
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
        self.revision = changes.revision;
        let has_changed = !applied.is_empty();
        self.recent.add(
            base..=changes.revision - 1,
            DirectoryChanges { revision: changes.revision, changes: applied },
        );
        let was_incomplete = !std::mem::take(&mut self.partial_list).is_empty();
        // An answer of a quiet watch, each few seconds, changes nothing but the revision.
        if has_changed || was_incomplete {
            self.update_expired(removed, removal_cause);
        }
        true
    }
}

/// What turns one list into another.
fn differences(before: &BackendsByInstance, after: &BackendsByInstance) -> Vec<DirectoryChange> {
    let is_gone = |instance: &&InstanceName| !after.contains_key(*instance);
    let gone = before.keys().filter(is_gone).map(|instance| DirectoryChange::Gone(instance.clone()));
    let is_new = |backend: &&Arc<Backend>| before.get(&backend.instance) != Some(*backend);
    let changed = after.values().filter(is_new);
    gone.chain(changed.map(|backend| DirectoryChange::Changed(Backend::clone(backend)))).collect()
}

/// A number that is equal for lists of equal contents.
pub fn digest_of<'a>(backends: impl Iterator<Item = &'a Backend>) -> u64 {
    backends.fold(0, |sum, backend| sum ^ digest(backend))
}

/// A back end's part of the digest of its list, which is all parts combined by exclusive or.
fn digest(backend: &Backend) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(backend.id.as_str().as_bytes());
    hasher.update(&[0, u8::from(backend.draining)]);
    hasher.update(backend.address.to_string().as_bytes());
    hasher.digest()
}
