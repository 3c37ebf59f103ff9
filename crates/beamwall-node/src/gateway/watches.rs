//! Follows the store of decisions: one watch over the policy and one over the back ends.
//!
//! In a large zone a few nodes watch and tell the others; who does is chosen by rendezvous hash among
//! those alive, so that another takes over as soon as one is missed. Every node reads once at its start.
//!
//! A watch that fails is taken up again at the revision it had reached, so nothing between is
//! missed; when that history is gone, everything is read anew. Waits are short, because a watch
//! on a connection that died silently hears nothing until its time is over.
//!
//! A watch that passes a change over never tells of it. So one node holds what is known against a cheaper reading now
//! and then, and what is doubted is read whole again.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{DirectoryDoubted, DirectoryReviewed, WatchMissedChange};
use beamwall_gateway::ports::{DirectorySnapshot, PolicyAnswer};
use beamwall_gateway::{ControlStore, ControlStoreError, Correction, Doubt, Gateway, ListDoubts};
use beamwall_policy::TrafficPolicy;
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::time::Instant;

use crate::actors::directory::{ApplyChanges, DirectoryActor, ReadingTaken, TakeReading};
use crate::actors::policy::{OfferPolicy, PolicyActor};
use crate::gateway::listing::{DirectoryReader, ListRead, ReadPurpose};
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_status::StoreStatus;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Nodes of a zone that watch each subject.
pub(super) const WATCHERS_PER_ZONE: usize = 2;
/// First pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time between two cheaper readings of a subject, by one node for all.
const VERIFY_PERIOD: Duration = Duration::from_secs(5);
/// Further time for each entry that such a reading brings: a long list takes the link of the node that reads it.
const VERIFY_PERIOD_PER_ENTRY: Duration = Duration::from_millis(10);
/// Time between two looks at whether the list of back ends is doubted.
const STALE_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait, for each node known, of those that don't watch for their zone: those that do read first and tell the others.
const NON_WATCHER_DELAY_PER_NODE: Duration = Duration::from_millis(20);
/// The shortest wait of those that don't watch.
const NON_WATCHER_DELAY: Duration = Duration::from_secs(2);
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

/// Something in the store that is followed: read whole once, then watched, and held against a cheaper reading now and then.
pub trait WatchedResource: Send + Sync + 'static {
    /// Its name in logs, and by which its watchers are chosen.
    const SUBJECT: &'static str;
    /// Pause after a change, so that those that follow at once come in one answer.
    const BATCH_DELAY: Duration;
    /// Time between two cheaper readings.
    const VERIFY_PERIOD: Duration;

    /// Reads it whole, or watches on from the revision reached; gives the revision reached then.
    fn read_or_watch(
        &self,
        last_revision: Option<u64>,
    ) -> impl Future<Output = Result<u64, ControlStoreError>> + Send;

    /// Takes what a cheaper reading brings that was not told; gives its revision, or `None` where there is nothing new.
    fn verify(&self) -> impl Future<Output = Result<Option<u64>, ControlStoreError>> + Send;

    /// Entries that such a reading brings.
    fn entries(&self) -> usize;

    /// Returns as soon as what is known should be read whole again.
    fn suspected_stale(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Follows a subject until the task is ended. After the first reading only the nodes chosen watch on.
pub async fn watch_resource<F: WatchedResource>(
    resource: Arc<F>,
    status: Arc<StoreStatus>,
    selector: NodeSelector,
) {
    let mut backoff = Backoff::new();
    let mut last_revision: Option<u64> = None;
    let mut suspected_stale = pin!(resource.suspected_stale());
    loop {
        let step_future = async {
            if last_revision.is_some() {
                selector.wait_until_selected(F::SUBJECT, WATCHERS_PER_ZONE).await;
            }
            resource.read_or_watch(last_revision).await
        };
        let answer = tokio::select! {
            answer = step_future => answer,
            () = &mut suspected_stale, if last_revision.is_some() => {
                suspected_stale.set(resource.suspected_stale());
                last_revision = None;
                continue;
            }
        };
        match answer {
            Ok(revision) => {
                status.note_answer(F::SUBJECT);
                backoff.reset();
                if last_revision.is_some_and(|before| before < revision) {
                    tokio::time::sleep(F::BATCH_DELAY).await;
                }
                last_revision = Some(revision);
            }
            Err(error) => {
                last_revision = last_revision.filter(|_| may_resume(&error));
                status.note_failure(F::SUBJECT, &error.to_string());
                backoff.pause().await;
            }
        }
    }
}

/// Holds a subject against cheaper readings until the task is ended, while this node is chosen to.
pub async fn verify_resource<F: WatchedResource>(resource: Arc<F>, selector: NodeSelector) {
    loop {
        let entries = u32::try_from(resource.entries()).unwrap_or(u32::MAX);
        let period = F::VERIFY_PERIOD + VERIFY_PERIOD_PER_ENTRY * entries;
        tokio::time::sleep(period).await;
        if !selector.is_selected_globally(F::SUBJECT) {
            continue;
        }
        // Where the store is away, the watch over the same subject tells of it.
        if let Ok(Some(revision)) = resource.verify().await {
            emit(&WatchMissedChange { what: F::SUBJECT.to_owned(), revision: revision.to_string() });
        }
    }
}

/// The policy in the store.
pub struct WatchedPolicy {
    /// The store.
    pub store: Arc<dyn ControlStore>,
    /// Takes newer policies.
    pub policy: ActorRef<PolicyActor>,
    /// Holds the policy in force.
    pub gateway: Arc<Gateway>,
}

impl WatchedResource for WatchedPolicy {
    const SUBJECT: &'static str = POLICY;
    const BATCH_DELAY: Duration = Duration::ZERO;
    const VERIFY_PERIOD: Duration = VERIFY_PERIOD;

    async fn read_or_watch(&self, last_revision: Option<u64>) -> Result<u64, ControlStoreError> {
        let PolicyAnswer { revision, policy } = match last_revision {
            None => self.store.policy().await?,
            Some(revision) => self.store.watch_policy(revision, WATCH_WAIT).await?,
        };
        self.offer(policy).await;
        Ok(revision)
    }

    async fn verify(&self) -> Result<Option<u64>, ControlStoreError> {
        let PolicyAnswer { revision, policy } = self.store.recent_policy().await?;
        let is_new = self.offer(policy).await;
        Ok(is_new.then_some(revision))
    }

    fn entries(&self) -> usize {
        let index = self.gateway.policy.load();
        let policy = index.policy();
        policy.routes.len() + policy.services.len() + policy.tenants.len()
    }
}

impl WatchedPolicy {
    /// Offers what was read; returns whether it is newer than what was in force.
    async fn offer(&self, policy: Option<TrafficPolicy>) -> bool {
        let Some(policy) = policy else { return false };
        let offer = OfferPolicy { policy, source: SOURCE.to_owned() };
        // The actor ends only with the node.
        self.policy.ask(offer).await.unwrap_or(false)
    }
}

/// The back ends in the store.
pub struct WatchedBackends {
    /// The store.
    pub store: Arc<dyn ControlStore>,
    /// Reads the whole list.
    pub reader: DirectoryReader,
    /// Takes lists and changes.
    pub directory_updates: ActorRef<DirectoryActor>,
    /// Knows what speaks against the list.
    pub gateway: Arc<Gateway>,
}

impl WatchedResource for WatchedBackends {
    const SUBJECT: &'static str = BACKENDS;
    const BATCH_DELAY: Duration = Duration::from_millis(60);
    const VERIFY_PERIOD: Duration = VERIFY_PERIOD;

    async fn read_or_watch(&self, last_revision: Option<u64>) -> Result<u64, ControlStoreError> {
        match last_revision {
            None => self.read_whole_list().await,
            Some(base) => {
                let watched = self.store.watch_backends(base, WATCH_WAIT).await?;
                self.reader.unreadable.note(&watched.unreadable);
                let changes = watched.changes;
                let revision = changes.revision;
                let source = SOURCE.to_owned();
                let _ = self.directory_updates.ask(ApplyChanges { base, changes, source }).await;
                Ok(revision)
            }
        }
    }

    async fn verify(&self) -> Result<Option<u64>, ControlStoreError> {
        let read = self.reader.recent_digest().await?;
        // It may be older than what is held, so it is no proof: the newest is read before anything is taken.
        if read != self.reader.current.load().digest() {
            self.doubts().note_store_differs();
        }
        Ok(None)
    }

    fn entries(&self) -> usize {
        self.reader.current.load().backends().count()
    }

    async fn suspected_stale(&self) {
        loop {
            tokio::time::sleep(STALE_CHECK_PERIOD).await;
            if self.doubt().is_none() {
                continue;
            }
            if !self.is_watcher() {
                tokio::time::sleep(self.non_watcher_delay()).await;
            }
            if let Some(doubt) = self.doubt() {
                let revision = self.reader.current.load().revision().to_string();
                emit(&DirectoryDoubted { reason: describe(&doubt), revision });
                return;
            }
        }
    }
}

impl WatchedBackends {
    fn doubts(&self) -> &ListDoubts {
        &self.gateway.forwarder.knowledge.doubts
    }

    fn is_watcher(&self) -> bool {
        self.reader.selector.is_selected(BACKENDS, WATCHERS_PER_ZONE)
    }

    fn doubt(&self) -> Option<Doubt> {
        self.doubts().reason(&self.reader.current.load(), self.is_watcher(), Instant::now())
    }

    /// Time for which a node that does not watch for its zone leaves a reading to those that do.
    fn non_watcher_delay(&self) -> Duration {
        let nodes = u32::try_from(self.reader.selector.other_nodes_known()).unwrap_or(u32::MAX);
        NON_WATCHER_DELAY + (NON_WATCHER_DELAY_PER_NODE * nodes).mul_f64(rand::rng().random())
    }

    /// Reads the whole list: for the first time, where it can't be followed on, or because it is doubted.
    async fn read_whole_list(&self) -> Result<u64, ControlStoreError> {
        let held = self.reader.current.load().revision();
        let purpose = if held == 0 { ReadPurpose::Initial } else { ReadPurpose::Reread };
        let read = match self.reader.read(purpose).await? {
            ListRead::FromPeer(revision) => return Ok(revision),
            ListRead::Whole(read) => read,
        };
        let revision = read.revision;
        let correction = self.apply_list(read).await;
        if purpose == ReadPurpose::Reread {
            self.doubts().note_read(correction == Correction::Changed, Instant::now());
            let outcome = format!("{correction:?}");
            emit(&DirectoryReviewed { outcome, held: held.to_string(), read: revision.to_string() });
        }
        Ok(revision)
    }

    async fn apply_list(&self, snapshot: DirectorySnapshot) -> Correction {
        let reading = TakeReading { snapshot, source: SOURCE.to_owned() };
        // The actor ends only with the node.
        let taken = self.directory_updates.ask(reading).await;
        taken.map_or(Correction::Outdated, |ReadingTaken(correction)| correction)
    }
}

fn describe(doubt: &Doubt) -> String {
    match doubt {
        Doubt::Unreached(backend) => format!("unreached: {backend}"),
        Doubt::PeersDiffer(peers) => format!("peers: {peers}"),
        Doubt::StoreDiffers => "store".to_owned(),
    }
}

/// Whether a watch may be taken up again at the revision it had reached.
fn may_resume(error: &ControlStoreError) -> bool {
    matches!(error, ControlStoreError::Unavailable(_))
}
