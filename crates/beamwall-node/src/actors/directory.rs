//! Owner of the list of back ends: its revision only grows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::{BackendsLapsed, DirectoryChanged, LapsedBackendsDropped};
use beamwall_gateway::ports::{DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Backend, Directory, Gateway, Reconciliation, RemovalCause};
use beamwall_model::{BackendId, StoreRevision};
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use kameo::{Actor, Reply};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::store_status::StoreStatus;
use crate::gateway::watches::BACKENDS;

/// Time for which lapsed back ends are used. Those that live are listed again about two seconds after the
/// store's return; those that don't must not get requests for longer.
const LAPSED_FOR: Duration = Duration::from_millis(1_700);

/// Time for which back ends are used whose entries were lost when the store was restored: they write them again.
const LOST_FOR: Duration = Duration::from_secs(5);
/// Time for which a back end that was listed as leaving is remembered: a copy from which the store is restored may
/// call it ready again.
const LEAVING_REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// Owner of the list of back ends.
#[derive(Actor)]
pub struct DirectoryActor {
    directory: Directory,
    view: Arc<ArcSwap<Directory>>,
    gateway: Arc<Gateway>,
    status: Arc<StoreStatus>,
    news: Arc<Notify>,
    /// Back ends that were listed as leaving lately.
    leaving: HashMap<BackendId, Instant>,
}

impl DirectoryActor {
    /// An owner that publishes to `view` and tells `news` of changes; `status` says whether the store was away.
    pub fn new(
        view: Arc<ArcSwap<Directory>>,
        gateway: Arc<Gateway>,
        status: Arc<StoreStatus>,
        news: Arc<Notify>,
    ) -> Self {
        Self { directory: Directory::default(), view, gateway, status, news, leaving: HashMap::new() }
    }

    /// What it means that a back end is not listed any more.
    fn vanishing(&self) -> RemovalCause {
        if self.status.was_unavailable(BACKENDS, LAPSED_FOR) {
            RemovalCause::MaybeExpired
        } else {
            RemovalCause::Gone
        }
    }

    /// Publishes a newer list. Where entries have lapsed by it, they are dropped after a while.
    fn publish_newer(&mut self, source: String, before: &Before, actor: ActorRef<Self>) {
        let begins_era = self.directory.revision().era > before.era;
        if begins_era {
            self.report_left();
        }
        self.note_leaving();
        self.publish(source, before.digest);
        let lapsed = self.directory.expired();
        if lapsed > before.lapsed {
            let kept = if begins_era { LOST_FOR } else { LAPSED_FOR };
            emit(&BackendsLapsed { lapsed: lapsed.to_string(), kept_ms: kept.as_millis().to_string() });
            tokio::spawn(async move {
                tokio::time::sleep(kept).await;
                let _ = actor.tell(DropLapsed).await;
            });
        }
    }

    fn before(&self) -> Before {
        Before {
            digest: self.directory.digest(),
            lapsed: self.directory.expired(),
            era: self.directory.revision().era,
        }
    }

    /// Records the back ends that are listed as leaving.
    fn note_leaving(&mut self) {
        let now = Instant::now();
        self.leaving.retain(|_, at| now.duration_since(*at) < LEAVING_REMEMBERED_FOR);
        let leaving = self.directory.backends().filter(|backend| backend.draining);
        self.leaving.extend(leaving.map(|backend| (backend.id.clone(), now)));
    }

    /// Tells the gate of the back ends that were leaving before the store was restored: none of them stays.
    fn report_left(&self) {
        let availability = &self.gateway.forwarder.gate.availability;
        self.leaving.keys().for_each(|backend| availability.note_left(backend));
    }

    /// Lets requests use the list; returns the one before.
    fn show(&self) -> Arc<Directory> {
        let origins = &self.gateway.forwarder.origins;
        // First, since no stream may begin at a version of it that isn't stored.
        origins.check_stored_versions(&self.directory);
        let before = self.view.swap(Arc::new(self.directory.clone()));
        origins.note_directory(&self.directory);
        before
    }

    fn publish(&mut self, source: String, digest_before: u64) {
        let before = self.show();
        if self.gateway.forwarder.move_on_reclaim {
            let reclaims = &self.gateway.forwarder.backend_state.reclaims;
            reclaims.note_directory(&self.directory, Instant::now());
        }
        if self.directory.digest() == digest_before {
            return;
        }
        self.gateway.forwarder.quarantine.detect_restarts(&before, &self.directory);
        let draining = self.directory.backends().filter(|backend| backend.draining).count();
        emit(&DirectoryChanged {
            revision: self.directory.revision().to_string(),
            source,
            usable: (self.directory.backends().count() - draining).to_string(),
            draining: draining.to_string(),
        });
        self.gateway.forwarder.retain_listed(&self.directory);
        self.news.notify_one();
    }
}

/// What the list was before a change.
struct Before {
    digest: u64,
    lapsed: usize,
    era: u64,
}

/// The whole list was read or heard of.
pub struct TakeSnapshot {
    /// The list.
    pub snapshot: DirectorySnapshot,
    /// Where it came from, for logs.
    pub source: String,
}

impl Message<TakeSnapshot> for DirectoryActor {
    type Reply = bool;

    /// Takes the list if it is newer; answers whether it was.
    async fn handle(&mut self, message: TakeSnapshot, context: &mut Context<Self, Self::Reply>) -> bool {
        let before = self.before();
        let taken = self.directory.replace(message.snapshot, self.vanishing());
        if taken {
            self.publish_newer(message.source, &before, context.actor_ref().clone());
        }
        taken
    }
}

/// The whole list was read from the store at one moment.
pub struct TakeReading {
    /// The list.
    pub snapshot: DirectorySnapshot,
    /// Where it came from, for logs.
    pub source: String,
}

/// What a reading says of the list that was held.
#[derive(Debug, Clone, Copy, Reply)]
pub struct ReadingTaken(pub Reconciliation);

impl Message<TakeReading> for DirectoryActor {
    type Reply = ReadingTaken;

    /// Takes the list, also in place of another one of the same revision; answers what it says of that.
    async fn handle(
        &mut self,
        message: TakeReading,
        context: &mut Context<Self, Self::Reply>,
    ) -> ReadingTaken {
        let before = self.before();
        let correction = self.directory.reconcile(message.snapshot, self.vanishing());
        if correction != Reconciliation::Outdated {
            self.publish_newer(message.source, &before, context.actor_ref().clone());
        }
        ReadingTaken(correction)
    }
}

/// Some pages of the list were read, and the whole is not known yet.
pub struct UseMeanwhile {
    /// The back ends read so far.
    pub read: Vec<Backend>,
}

impl Message<UseMeanwhile> for DirectoryActor {
    type Reply = ();

    /// Uses them until the whole list is known. Peers are not told of them.
    async fn handle(&mut self, message: UseMeanwhile, _: &mut Context<Self, Self::Reply>) {
        if self.directory.use_partial_list(message.read) {
            self.show();
            self.gateway.forwarder.retain_listed(&self.directory);
        }
    }
}

/// A watch told what changed after the revision `base`.
pub struct ApplyChanges {
    /// The revision from which the changes lead on.
    pub base: StoreRevision,
    /// The changes.
    pub changes: DirectoryChanges,
    /// Where they came from, for logs.
    pub source: String,
}

impl Message<ApplyChanges> for DirectoryActor {
    type Reply = bool;

    /// Applies the changes; answers whether they were new.
    async fn handle(&mut self, message: ApplyChanges, context: &mut Context<Self, Self::Reply>) -> bool {
        let before = self.before();
        let taken = self.directory.apply(message.base, message.changes, self.vanishing());
        if taken {
            self.publish_newer(message.source, &before, context.actor_ref().clone());
        }
        taken
    }
}

/// A peer told what changed since the revision that was held when it was asked.
pub struct ApplyTold {
    /// That revision.
    pub held: StoreRevision,
    /// The changes.
    pub changes: DirectoryChanges,
    /// The peer, for logs.
    pub source: String,
}

impl Message<ApplyTold> for DirectoryActor {
    type Reply = bool;

    /// Applies the changes if just that revision is still held; answers whether they were taken.
    async fn handle(&mut self, message: ApplyTold, context: &mut Context<Self, Self::Reply>) -> bool {
        let before = self.before();
        let taken = self.directory.apply_peer_changes(message.held, message.changes, self.vanishing());
        if taken {
            self.publish_newer(message.source, &before, context.actor_ref().clone());
        }
        taken
    }
}

/// The time of lapsed back ends is over.
struct DropLapsed;

impl Message<DropLapsed> for DirectoryActor {
    type Reply = ();

    /// Takes those that are not listed again for gone.
    async fn handle(&mut self, _: DropLapsed, _: &mut Context<Self, Self::Reply>) {
        let lapsed = self.directory.expired();
        if self.directory.drop_expired() {
            emit(&LapsedBackendsDropped { dropped: lapsed.to_string() });
            self.show();
            self.gateway.forwarder.retain_listed(&self.directory);
        }
    }
}
