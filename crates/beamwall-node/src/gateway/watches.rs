//! Watches the control store: one watch for the policy and one for the back ends.
//!
//! In a large zone a few nodes watch and update the others. They are selected by rendezvous hash among the
//! live nodes that reach the store, so another node takes over as soon as one is found missing or reports that
//! its calls fail. A node that nobody has confirmed for some time to hold the newest state asks the store itself
//! (`watch_turns`). Every node reads once at its start.
//!
//! A watch that fails is resumed at the last revision, so no change is missed; if the store no longer has
//! that history, everything is read again.
//!
//! A call that is lost receives nothing until its timeout, also if the store is back right after it was sent.
//! While the store does not answer, calls are therefore short, and as soon as one call is lost, those that are
//! waiting for changes of other resources are replaced by short ones. The first answer ends this.
//!
//! When the store begins a new era, the nodes that watch read everything again at once; the others receive it from
//! them. A revision of an earlier era is never watched from: the store would tell what follows the same number in
//! its new era, and nothing of what came before.
//!
//! A watch that skipped a change never delivers it later. One node therefore verifies the current state
//! periodically with a cheaper read, and a list suspected to be stale is read again in full.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{DirectoryDoubted, DirectoryReviewed, WatchMissedChange};
use beamwall_gateway::ports::{DirectorySnapshot, PolicyAnswer};
use beamwall_gateway::{
    ControlStore, ControlStoreError, Gateway, Reconciliation, StalenessEvidence, StalenessTracker,
};
use beamwall_model::StoreRevision;
use beamwall_policy::TrafficPolicy;
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::actors::directory::{ApplyChanges, DirectoryActor, ReadingTaken, TakeReading};
use crate::actors::policy::{OfferPolicy, PolicyActor};
use crate::gateway::listing::{DirectoryReader, ListRead, ReadPurpose};
use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_freshness::StoreFreshness;
use crate::gateway::store_status::StoreStatus;
use crate::gateway::watch_turns::{Turn, WatchTurns};

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_millis(2_200);
/// Shortest wait of a watch call, as a share of the longest. Waits are random, so that watches that a change has
/// ended together do not go on in step: of several watching nodes, one then confirms what the others hold soon
/// after another.
const SHORTEST_WATCH_WAIT_SHARE: f64 = 0.6;
/// Age of the newest confirmation, apart from a heartbeat period, after which nodes that do not watch for their
/// zone ask the store for the policy or the back ends.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);
/// Wait of one watch call while the store does not answer, or of a node that does not watch for its zone.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Time after its last answer within which a node goes on from the revision of that answer. Later, the store may
/// have forgotten the changes since, and the node goes on from the newer revision that its peers have reported.
const CONTINUED_WITHIN: Duration = Duration::from_secs(8);
/// Number of nodes of a zone that watch each resource.
pub(super) const WATCHERS_PER_ZONE: usize = 2;
/// Time from the start of a failed call to the next call, after the first failure; it doubles with each further
/// one.
const FIRST_RETRY_PERIOD: Duration = Duration::from_millis(100);
/// Longest time from the start of a failed call to the next call, unless the failed call took longer.
const LONGEST_RETRY_PERIOD: Duration = Duration::from_millis(800);
/// Longest delay after a failed call that took longer than that. Its random part keeps nodes whose calls were
/// lost together from asking together.
const LONGEST_PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two verifications of a resource, by one node of the deployment.
const VERIFY_PERIOD: Duration = Duration::from_secs(5);
/// Additional time per entry: reading a long list occupies the link of the node that verifies.
const VERIFY_PERIOD_PER_ENTRY: Duration = Duration::from_millis(10);
/// Time between two checks whether the list of back ends is suspected to be stale.
const STALE_CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Upper bound, per known node, of the random additional delay of nodes that do not watch for their zone: the
/// watchers read first and update the others.
const NON_WATCHER_DELAY_PER_NODE: Duration = Duration::from_millis(20);
/// Minimum delay of nodes that do not watch for their zone.
const NON_WATCHER_DELAY: Duration = Duration::from_secs(2);
/// Source of the data in log events.
const SOURCE: &str = "store";
/// Name of the policy resource.
pub const POLICY: &str = "policy";
/// Name of the back ends resource.
pub const BACKENDS: &str = "back ends";
/// Name of the rollout orders resource.
pub const ROLLOUT_ORDERS: &str = "rollouts";

/// Exponential delay between failed calls.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(FIRST_RETRY_PERIOD)
    }

    /// Pauses after a call that failed after `took`.
    async fn pause(&mut self, took: Duration) {
        let spread = LONGEST_PAUSE_AFTER_TIMEOUT.mul_f64(rand::rng().random());
        tokio::time::sleep(self.0.saturating_sub(took).max(spread)).await;
        self.0 = (self.0 * 2).min(LONGEST_RETRY_PERIOD);
    }

    fn reset(&mut self) {
        self.0 = FIRST_RETRY_PERIOD;
    }
}

/// A resource of the store that is read once, then watched, and periodically verified with a cheaper read.
pub trait WatchedResource: Send + Sync + 'static {
    /// Name in logs and metrics, and key for selecting the watching nodes.
    const SUBJECT: &'static str;
    /// Longest wait of one watch call.
    const WATCH_WAIT: Duration;
    /// Delay after a change, so that further changes right after it arrive in one answer.
    const BATCH_DELAY: Duration;
    /// Time between two verifications.
    const VERIFY_PERIOD: Duration;
    /// Age of the newest confirmation, apart from a heartbeat period, after which nodes that do not watch for
    /// their zone ask the store.
    const MAX_CONFIRMATION_AGE: Duration;

    /// Reads the whole resource, or waits up to `wait` for changes after `last_revision`; returns the new
    /// revision.
    fn read_or_watch(
        &self,
        last_revision: Option<StoreRevision>,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreRevision, ControlStoreError>> + Send;

    /// Verifies the resource with a cheaper read and applies missed changes; returns the revision read, or
    /// `None` if nothing was missed.
    fn verify(&self) -> impl Future<Output = Result<Option<StoreRevision>, ControlStoreError>> + Send;

    /// A revision of the store whose state this node holds by what peers have reported, if any.
    fn held_revision(&self, freshness: &StoreFreshness) -> Option<StoreRevision> {
        freshness.newest(Self::SUBJECT).map(|confirmation| confirmation.revision)
    }

    /// The newest era of the store that is known, and its changes.
    fn era(&self) -> watch::Receiver<u64>;

    /// Number of entries that a verification reads.
    fn entries(&self) -> usize;

    /// Returns as soon as the whole resource should be read again.
    fn suspected_stale(&self) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Watches a resource until the task is aborted. After the first read only selected nodes keep watching.
pub async fn watch_resource<F: WatchedResource>(
    resource: Arc<F>,
    status: Arc<StoreStatus>,
    freshness: Arc<StoreFreshness>,
    selector: NodeSelector,
) {
    let mut backoff = Backoff::new();
    let mut last_revision: Option<StoreRevision> = None;
    let mut last_answer = Instant::now();
    // The first reading, and that of a resource that may be stale, are not left to the watching nodes.
    let mut reads_itself = true;
    let mut suspected_stale = pin!(resource.suspected_stale());
    let mut is_answering = status.is_answering();
    let mut era = resource.era();
    let mut turns =
        WatchTurns::new(F::SUBJECT, WATCHERS_PER_ZONE, F::MAX_CONFIRMATION_AGE, selector, freshness.clone());
    loop {
        let is_answering_now = *is_answering.borrow_and_update();
        let step_future = async {
            let turn = if reads_itself { Turn::Watch } else { turns.next().await };
            let wait = if is_answering_now && turn == Turn::Watch {
                F::WATCH_WAIT.mul_f64(rand::rng().random_range(SHORTEST_WATCH_WAIT_SHARE..1.0))
            } else {
                SHORT_WATCH_WAIT
            };
            let from = last_revision.map(|last| match last_answer.elapsed() < CONTINUED_WITHIN {
                true => last,
                false => latest_held(last, resource.held_revision(&freshness)),
            });
            let started = Instant::now();
            (turn, started, resource.read_or_watch(from, wait).await)
        };
        let (turn, started, answer) = tokio::select! {
            timed_answer = step_future => timed_answer,
            () = &mut suspected_stale, if !reads_itself => {
                suspected_stale.set(resource.suspected_stale());
                (last_revision, reads_itself) = (None, true);
                continue;
            }
            () = era_ends(&mut era, last_revision) => {
                last_revision = None;
                continue;
            }
            () = stops_answering(&mut is_answering), if last_revision.is_some() => continue,
        };
        match answer {
            Ok(revision) => {
                status.note_answer(F::SUBJECT);
                freshness.note_answer(F::SUBJECT, revision);
                turns.note_answer(turn);
                last_answer = Instant::now();
                backoff.reset();
                if last_revision.is_some_and(|before| before < revision) {
                    tokio::time::sleep(F::BATCH_DELAY).await;
                }
                (last_revision, reads_itself) = (Some(revision), false);
            }
            Err(error) => {
                last_revision = last_revision.filter(|_| may_resume(&error));
                status.note_failure(F::SUBJECT, &error.to_string(), started.elapsed());
                if status.is_lost() {
                    freshness.has_news.notify_one();
                }
                if may_resume(&error) {
                    turns.note_failure();
                }
                backoff.pause(started.elapsed()).await;
            }
        }
    }
}

/// The later of two revisions that a node may watch from; a revision of another era is not comparable.
fn latest_held(last: StoreRevision, held: Option<StoreRevision>) -> StoreRevision {
    held.filter(|held| held.era == last.era).map_or(last, |held| held.max(last))
}

/// Returns when the era in which a resource was last read has ended.
async fn era_ends(era: &mut watch::Receiver<u64>, last_revision: Option<StoreRevision>) {
    if let Some(last) = last_revision
        && era.wait_for(|known| *known > last.era).await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

/// Returns when a call to the store fails while the store was answering before.
async fn stops_answering(is_answering: &mut watch::Receiver<bool>) {
    // The status exists as long as the node.
    while is_answering.changed().await.is_ok() {
        if !*is_answering.borrow_and_update() {
            return;
        }
    }
    std::future::pending().await
}

/// Verifies a resource periodically until the task is aborted, while this node is selected to do so.
pub async fn verify_resource<F: WatchedResource>(resource: Arc<F>, selector: NodeSelector) {
    loop {
        let entries = u32::try_from(resource.entries()).unwrap_or(u32::MAX);
        let period = F::VERIFY_PERIOD + VERIFY_PERIOD_PER_ENTRY * entries;
        tokio::time::sleep(period).await;
        if !selector.is_selected_globally(F::SUBJECT) {
            continue;
        }
        // If the store is unavailable, the watch of the same resource reports it.
        if let Ok(Some(revision)) = resource.verify().await {
            emit(&WatchMissedChange { what: F::SUBJECT.to_owned(), revision: revision.to_string() });
        }
    }
}

/// The policy in the store.
pub struct WatchedPolicy {
    /// The control store.
    pub store: Arc<dyn ControlStore>,
    /// Applies newer policies.
    pub policy: ActorRef<PolicyActor>,
    /// Holds the policy in effect.
    pub gateway: Arc<Gateway>,
}

impl WatchedResource for WatchedPolicy {
    const SUBJECT: &'static str = POLICY;
    const WATCH_WAIT: Duration = WATCH_WAIT;
    const BATCH_DELAY: Duration = Duration::ZERO;
    const VERIFY_PERIOD: Duration = VERIFY_PERIOD;
    const MAX_CONFIRMATION_AGE: Duration = MAX_CONFIRMATION_AGE;

    async fn read_or_watch(
        &self,
        last_revision: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<StoreRevision, ControlStoreError> {
        let PolicyAnswer { revision, policy } = match last_revision {
            None => self.store.policy().await?,
            Some(revision) => self.store.watch_policy(revision, wait).await?,
        };
        self.offer(policy).await;
        Ok(revision)
    }

    async fn verify(&self) -> Result<Option<StoreRevision>, ControlStoreError> {
        let PolicyAnswer { revision, policy } = self.store.recent_policy().await?;
        let is_new = self.offer(policy).await;
        Ok(is_new.then_some(revision))
    }

    fn era(&self) -> watch::Receiver<u64> {
        self.store.era()
    }

    fn entries(&self) -> usize {
        let index = self.gateway.policy.load();
        let policy = index.policy();
        policy.routes.len() + policy.services.len() + policy.tenants.len()
    }
}

impl WatchedPolicy {
    /// Offers the policy read from the store; returns whether it is newer than the one in effect.
    async fn offer(&self, policy: Option<TrafficPolicy>) -> bool {
        let Some(policy) = policy else { return false };
        let offer = OfferPolicy { policy, source: SOURCE.to_owned() };
        // The actor stops only together with the node.
        self.policy.ask(offer).await.unwrap_or(false)
    }
}

/// The list of back ends in the store.
pub struct WatchedBackends {
    /// The control store.
    pub store: Arc<dyn ControlStore>,
    /// Reads the whole list.
    pub reader: DirectoryReader,
    /// Applies lists and changes.
    pub directory_updates: ActorRef<DirectoryActor>,
    /// Holds the indications that the list may be stale.
    pub gateway: Arc<Gateway>,
}

impl WatchedResource for WatchedBackends {
    const SUBJECT: &'static str = BACKENDS;
    const WATCH_WAIT: Duration = WATCH_WAIT;
    const BATCH_DELAY: Duration = Duration::from_millis(60);
    const VERIFY_PERIOD: Duration = VERIFY_PERIOD;
    const MAX_CONFIRMATION_AGE: Duration = MAX_CONFIRMATION_AGE;

    async fn read_or_watch(
        &self,
        last_revision: Option<StoreRevision>,
        wait: Duration,
    ) -> Result<StoreRevision, ControlStoreError> {
        match last_revision {
            None => self.read_whole_list().await,
            Some(base) => {
                let watched = self.store.watch_backends(base, wait).await?;
                self.reader.unreadable.note(&watched.unreadable);
                let changes = watched.changes;
                let revision = changes.revision;
                let source = SOURCE.to_owned();
                let _ = self.directory_updates.ask(ApplyChanges { base, changes, source }).await;
                Ok(revision)
            }
        }
    }

    async fn verify(&self) -> Result<Option<StoreRevision>, ControlStoreError> {
        let read = self.reader.recent_digest().await?;
        // This read may be older than the list held here, so a difference proves nothing: the newest list is
        // read before anything is applied.
        if read != self.reader.current.load().digest() {
            self.staleness().note_store_disagrees();
        }
        Ok(None)
    }

    fn era(&self) -> watch::Receiver<u64> {
        self.store.era()
    }

    fn held_revision(&self, _: &StoreFreshness) -> Option<StoreRevision> {
        let list = self.reader.current.load();
        list.is_fully_loaded().then(|| list.revision())
    }

    fn entries(&self) -> usize {
        self.reader.current.load().backends().count()
    }

    async fn suspected_stale(&self) {
        loop {
            tokio::time::sleep(STALE_CHECK_PERIOD).await;
            if self.staleness_evidence().is_none() {
                continue;
            }
            if !self.is_watcher() {
                tokio::time::sleep(self.non_watcher_delay()).await;
            }
            if let Some(evidence) = self.staleness_evidence() {
                let revision = self.reader.current.load().revision().to_string();
                emit(&DirectoryDoubted { reason: describe(&evidence), revision });
                return;
            }
        }
    }
}

impl WatchedBackends {
    fn staleness(&self) -> &StalenessTracker {
        &self.gateway.forwarder.backend_state.staleness
    }

    fn is_watcher(&self) -> bool {
        self.reader.selector.is_watcher(BACKENDS, WATCHERS_PER_ZONE)
    }

    fn staleness_evidence(&self) -> Option<StalenessEvidence> {
        if *self.store.era().borrow() > self.reader.current.load().revision().era {
            return Some(StalenessEvidence::EarlierEra);
        }
        self.staleness().reason(&self.reader.current.load(), self.is_watcher(), Instant::now())
    }

    /// Delay for which a node that does not watch for its zone leaves the read to the watchers.
    fn non_watcher_delay(&self) -> Duration {
        let nodes = u32::try_from(self.reader.selector.other_nodes_known()).unwrap_or(u32::MAX);
        NON_WATCHER_DELAY + (NON_WATCHER_DELAY_PER_NODE * nodes).mul_f64(rand::rng().random())
    }

    /// Reads the whole list: initially, when the watch can't be resumed, or when the list is suspected to be
    /// stale.
    async fn read_whole_list(&self) -> Result<StoreRevision, ControlStoreError> {
        let held = self.reader.current.load().revision();
        let purpose =
            if held == StoreRevision::default() { ReadPurpose::Initial } else { ReadPurpose::Reread };
        let read = match self.reader.read(purpose).await? {
            ListRead::FromPeer(revision) => return Ok(revision),
            ListRead::Whole(read) => read,
        };
        let revision = read.revision;
        let reconciliation = self.apply_list(read).await;
        if purpose == ReadPurpose::Reread {
            self.staleness().note_reload(reconciliation == Reconciliation::Changed, Instant::now());
            let outcome = format!("{reconciliation:?}");
            emit(&DirectoryReviewed { outcome, held: held.to_string(), read: revision.to_string() });
        }
        Ok(revision)
    }

    async fn apply_list(&self, snapshot: DirectorySnapshot) -> Reconciliation {
        let reading = TakeReading { snapshot, source: SOURCE.to_owned() };
        // The actor stops only together with the node.
        let taken = self.directory_updates.ask(reading).await;
        taken.map_or(Reconciliation::Outdated, |ReadingTaken(reconciliation)| reconciliation)
    }
}

fn describe(evidence: &StalenessEvidence) -> String {
    match evidence {
        StalenessEvidence::Unreachable(backend) => format!("unreached: {backend}"),
        StalenessEvidence::PeersDisagree(peers) => format!("peers: {peers}"),
        StalenessEvidence::StoreDisagrees => "store".to_owned(),
        StalenessEvidence::EarlierEra => "earlier era".to_owned(),
    }
}

/// Whether a watch can be resumed at the last revision after this error.
fn may_resume(error: &ControlStoreError) -> bool {
    matches!(error, ControlStoreError::Unavailable(_))
}
