//! Owner of the list of back ends: its revision only grows.

use std::sync::Arc;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::DirectoryChanged;
use beamwall_gateway::ports::{DirectoryChanges, DirectorySnapshot};
use beamwall_gateway::{Directory, Gateway};
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::sync::Notify;

/// Owner of the list of back ends.
#[derive(Actor)]
pub struct DirectoryActor {
    directory: Directory,
    view: Arc<ArcSwap<Directory>>,
    gateway: Arc<Gateway>,
    news: Arc<Notify>,
}

impl DirectoryActor {
    /// An owner that publishes to `view` and tells `news` of changes.
    pub fn new(view: Arc<ArcSwap<Directory>>, gateway: Arc<Gateway>, news: Arc<Notify>) -> Self {
        Self { directory: Directory::default(), view, gateway, news }
    }

    fn publish(&mut self, source: String, digest_before: u64) {
        self.view.store(Arc::new(self.directory.clone()));
        if self.directory.digest() == digest_before {
            return;
        }
        let draining = self.directory.backends().filter(|backend| backend.draining).count();
        emit(&DirectoryChanged {
            revision: self.directory.revision().to_string(),
            source,
            usable: (self.directory.backends().count() - draining).to_string(),
            draining: draining.to_string(),
        });
        self.gateway.forwarder.knowledge.follow(&self.directory);
        self.news.notify_one();
    }
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
    async fn handle(&mut self, message: TakeSnapshot, _: &mut Context<Self, Self::Reply>) -> bool {
        let before = self.directory.digest();
        let taken = self.directory.replace(message.snapshot);
        if taken {
            self.publish(message.source, before);
        }
        taken
    }
}

/// The watch saw changes after the revision `base`.
pub struct ApplyChanges {
    /// The revision that the watch started from.
    pub base: u64,
    /// The changes.
    pub changes: DirectoryChanges,
}

impl Message<ApplyChanges> for DirectoryActor {
    type Reply = bool;

    /// Applies the changes; answers whether they were new.
    async fn handle(&mut self, message: ApplyChanges, _: &mut Context<Self, Self::Reply>) -> bool {
        let before = self.directory.digest();
        let taken = self.directory.apply(message.base, message.changes);
        if taken {
            self.publish("store".to_owned(), before);
        }
        taken
    }
}
