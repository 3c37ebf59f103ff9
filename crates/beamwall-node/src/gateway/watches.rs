//! Follows the store of decisions: one watch over the policy and one over the back ends.
//!
//! In a large zone a few nodes watch and tell the others; who does is chosen by rendezvous hash among
//! those alive, so that another takes over as soon as one is missed. Every node reads once at its start.
//!
//! A watch that fails is taken up again at the revision it had reached, so nothing between is
//! missed; when that history is gone, everything is read anew. Waits are short, because a watch
//! on a connection that died silently hears nothing until its time is over.

use std::sync::Arc;
use std::time::Duration;

use beamwall_gateway::ports::{DirectoryChanges, DirectorySnapshot, PolicyAnswer};
use beamwall_gateway::{ControlStore, ControlStoreError};
use kameo::actor::ActorRef;

use crate::actors::directory::{ApplyChanges, DirectoryActor, TakeSnapshot};
use crate::actors::policy::{OfferPolicy, PolicyActor};
use crate::gateway::chooser::ZoneChooser;
use crate::gateway::store_status::StoreStatus;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Nodes of a zone that watch each subject.
const WATCHERS_PER_ZONE: usize = 3;
/// First pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The source named in logs.
const SOURCE: &str = "store";
/// The policy as a subject of the store.
pub const POLICY: &str = "policy";
/// The back ends as a subject of the store.
pub const BACKENDS: &str = "back ends";

/// Pauses that grow while calls fail.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(FIRST_PAUSE)
    }

    async fn pause(&mut self) {
        tokio::time::sleep(self.0).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }

    fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }
}

/// Follows the policy until the task is ended.
pub async fn follow_policy(
    store: Arc<dyn ControlStore>,
    policy: ActorRef<PolicyActor>,
    status: Arc<StoreStatus>,
    chooser: ZoneChooser,
) {
    let mut backoff = Backoff::new();
    let mut reached: Option<u64> = None;
    loop {
        if reached.is_some() {
            chooser.wait_chosen(POLICY, WATCHERS_PER_ZONE).await;
        }
        let answer = match reached {
            None => store.policy().await,
            Some(revision) => store.watch_policy(revision, WATCH_WAIT).await,
        };
        match answer {
            Ok(PolicyAnswer { revision, policy: newer }) => {
                status.note_answer(POLICY);
                backoff.reset();
                reached = Some(revision);
                if let Some(newer) = newer {
                    let _ = policy.ask(OfferPolicy { policy: newer, source: SOURCE.to_owned() }).await;
                }
            }
            Err(error) => {
                reached = reached.filter(|_| may_resume(&error));
                status.note_failure(POLICY, &error.to_string());
                backoff.pause().await;
            }
        }
    }
}

/// Follows the back ends until the task is ended.
pub async fn follow_backends(
    store: Arc<dyn ControlStore>,
    directory: ActorRef<DirectoryActor>,
    status: Arc<StoreStatus>,
    chooser: ZoneChooser,
) {
    let mut backoff = Backoff::new();
    let mut reached: Option<u64> = None;
    loop {
        if reached.is_some() {
            chooser.wait_chosen(BACKENDS, WATCHERS_PER_ZONE).await;
        }
        let step = match reached {
            None => read_whole(store.as_ref(), &directory).await,
            Some(revision) => watch_on(store.as_ref(), &directory, revision).await,
        };
        match step {
            Ok(revision) => {
                status.note_answer(BACKENDS);
                backoff.reset();
                reached = Some(revision);
            }
            Err(error) => {
                reached = reached.filter(|_| may_resume(&error));
                status.note_failure(BACKENDS, &error.to_string());
                backoff.pause().await;
            }
        }
    }
}

async fn read_whole(
    store: &dyn ControlStore,
    directory: &ActorRef<DirectoryActor>,
) -> Result<u64, ControlStoreError> {
    let snapshot: DirectorySnapshot = store.backends().await?;
    let revision = snapshot.revision;
    let _ = directory.ask(TakeSnapshot { snapshot, source: SOURCE.to_owned() }).await;
    Ok(revision)
}

async fn watch_on(
    store: &dyn ControlStore,
    directory: &ActorRef<DirectoryActor>,
    revision: u64,
) -> Result<u64, ControlStoreError> {
    let changes: DirectoryChanges = store.watch_backends(revision, WATCH_WAIT).await?;
    let reached = changes.revision;
    let _ = directory.ask(ApplyChanges { base: revision, changes }).await;
    Ok(reached)
}

/// Whether a watch may be taken up again at the revision it had reached.
fn may_resume(error: &ControlStoreError) -> bool {
    matches!(error, ControlStoreError::Unavailable(_))
}
