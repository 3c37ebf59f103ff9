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

use beamwall_gateway::ports::PolicyAnswer;
use beamwall_gateway::{ControlStore, ControlStoreError};
use kameo::actor::ActorRef;

use crate::actors::directory::{ApplyChanges, DirectoryActor, TakeSnapshot};
use crate::actors::policy::{OfferPolicy, PolicyActor};
use crate::gateway::chooser::ZoneChooser;
use crate::gateway::listing::{Listed, Listing};
use crate::gateway::store_status::StoreStatus;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Nodes of a zone that watch each subject.
pub(super) const WATCHERS_PER_ZONE: usize = 2;
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

/// Something in the store that is followed: read whole once, then watched.
pub trait Followed: Send + Sync + 'static {
    /// Its name in logs, and by which its watchers are chosen.
    const SUBJECT: &'static str;
    /// Pause after a change, so that those that follow at once come in one answer.
    const GATHERING_TIME: Duration;

    /// Reads it whole, or watches on from the revision reached; gives the revision reached then.
    fn step(
        &self,
        reached: Option<u64>,
    ) -> impl std::future::Future<Output = Result<u64, ControlStoreError>> + Send;
}

/// Follows a subject until the task is ended. After the first reading only the nodes chosen watch on.
pub async fn follow<F: Followed>(followed: F, status: Arc<StoreStatus>, chooser: ZoneChooser) {
    let mut backoff = Backoff::new();
    let mut reached: Option<u64> = None;
    loop {
        if reached.is_some() {
            chooser.wait_chosen(F::SUBJECT, WATCHERS_PER_ZONE).await;
        }
        match followed.step(reached).await {
            Ok(revision) => {
                status.note_answer(F::SUBJECT);
                backoff.reset();
                if reached.is_some_and(|before| before < revision) {
                    tokio::time::sleep(F::GATHERING_TIME).await;
                }
                reached = Some(revision);
            }
            Err(error) => {
                reached = reached.filter(|_| may_resume(&error));
                status.note_failure(F::SUBJECT, &error.to_string());
                backoff.pause().await;
            }
        }
    }
}

/// The policy in the store.
pub struct FollowedPolicy {
    /// The store.
    pub store: Arc<dyn ControlStore>,
    /// Takes newer policies.
    pub policy: ActorRef<PolicyActor>,
}

impl Followed for FollowedPolicy {
    const SUBJECT: &'static str = POLICY;
    const GATHERING_TIME: Duration = Duration::ZERO;

    async fn step(&self, reached: Option<u64>) -> Result<u64, ControlStoreError> {
        let PolicyAnswer { revision, policy } = match reached {
            None => self.store.policy().await?,
            Some(revision) => self.store.watch_policy(revision, WATCH_WAIT).await?,
        };
        if let Some(policy) = policy {
            let _ = self.policy.ask(OfferPolicy { policy, source: SOURCE.to_owned() }).await;
        }
        Ok(revision)
    }
}

/// The back ends in the store.
pub struct FollowedBackends {
    /// The store.
    pub store: Arc<dyn ControlStore>,
    /// Reads the whole list.
    pub listing: Listing,
    /// Takes lists and changes.
    pub directory: ActorRef<DirectoryActor>,
}

impl Followed for FollowedBackends {
    const SUBJECT: &'static str = BACKENDS;
    const GATHERING_TIME: Duration = Duration::from_millis(60);

    async fn step(&self, reached: Option<u64>) -> Result<u64, ControlStoreError> {
        match reached {
            None => match self.listing.read().await? {
                Listed::Whole(snapshot) => {
                    let revision = snapshot.revision;
                    let _ = self.directory.ask(TakeSnapshot { snapshot, source: SOURCE.to_owned() }).await;
                    Ok(revision)
                }
                Listed::ToldByPeer(revision) => Ok(revision),
            },
            Some(base) => {
                let watched = self.store.watch_backends(base, WATCH_WAIT).await?;
                self.listing.unreadable.note(&watched.unreadable);
                let changes = watched.changes;
                let revision = changes.revision;
                let source = SOURCE.to_owned();
                let _ = self.directory.ask(ApplyChanges { base, changes, source }).await;
                Ok(revision)
            }
        }
    }
}

/// Whether a watch may be taken up again at the revision it had reached.
fn may_resume(error: &ControlStoreError) -> bool {
    matches!(error, ControlStoreError::Unavailable(_))
}
