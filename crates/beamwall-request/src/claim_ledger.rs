//! Group commit of claims: one task for each shard writes all waiting changes at once.
//!
//! Each shard has an owner among the nodes to which the others send their changes, so that writes
//! do not collide and one write carries many changes. Ownership is only for speed: every write is
//! conditional, and a node that gets no answer from the owner writes itself.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::AttemptId;
use beamwall_store::object::ABSENT;
use beamwall_store::{Object, ObjectStore, SettleError, Settled, Version, put_settled};
use bytes::Bytes;
use prometheus::IntCounter;
use quick_error::quick_error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claim::{ClaimChange, ClaimDecision, ClaimKey, ClaimShard, RecordedAnswer};

/// Shards, each one object of the platform.
pub const SHARDS: usize = 16;
/// Changes that wait for one shard.
const QUEUE_CAPACITY: usize = 4_096;
/// Changes in one write.
const BATCH_LIMIT: usize = 512;
/// Longest time a change may take.
const COMMIT_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between tries to record an answer or release a claim while the platform is away.
const BACKGROUND_PAUSE: Duration = Duration::from_secs(1);
/// Tries to record an answer or release a claim.
const BACKGROUND_TRIES: usize = 600;

quick_error! {
    /// Why a claim could not be made.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClaimError {
        /// The claim was not written.
        NotWritten(reason: String) {
            display("claim not written: {}", reason)
        }
        /// The claim may have been written.
        Undecided(reason: String) {
            display("claim may have been written: {}", reason)
        }
    }
}

/// What became of a change.
pub type Decision = Result<ClaimDecision, ClaimError>;

/// What became of a change that was sent to the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Forwarded {
    /// This node owns the shard.
    Own,
    /// The owner decided.
    Decided(Decision),
    /// The owner did not answer in time and may still write the change.
    NoAnswer,
}

/// Sends a change of a shard to the shard's owner.
pub type Forward =
    Box<dyn Fn(usize, ClaimChange) -> Pin<Box<dyn Future<Output = Forwarded> + Send>> + Send + Sync>;

struct Waiting {
    change: ClaimChange,
    decided: oneshot::Sender<Decision>,
}

/// The claims of the deployment, as reached from this node.
#[derive(Clone)]
pub struct ClaimLedger {
    shards: Arc<Vec<mpsc::Sender<Waiting>>>,
    forward: Arc<OnceLock<Forward>>,
}

impl ClaimLedger {
    /// Starts a task for each shard.
    pub fn start(store: &ObjectStore, claims: &IntCounter, writes: &IntCounter) -> Self {
        let start = |number| {
            let (sender, inbox) = mpsc::channel(QUEUE_CAPACITY);
            let task = ShardTask {
                key: format!("claims/{number:02}"),
                store: store.clone(),
                inbox,
                known: None,
                claims: claims.clone(),
                writes: writes.clone(),
            };
            tokio::spawn(task.run());
            sender
        };
        Self { shards: Arc::new((0..SHARDS).map(start).collect()), forward: Arc::default() }
    }

    /// Sets how changes reach the owners of their shards. Without it, this node writes all itself.
    pub fn set_forward(&self, forward: Forward) {
        let _ = self.forward.set(forward);
    }

    /// Takes a claim. After `Undecided` the caller must not send the call and must release.
    pub async fn take(&self, key: &ClaimKey, attempt: &AttemptId, call: &str) -> Decision {
        let change = ClaimChange::Take { key: key.clone(), attempt: attempt.clone(), call: call.to_owned() };
        self.change(change).await
    }

    /// Records an answer in the background.
    pub fn complete(&self, key: ClaimKey, attempt: AttemptId, answer: RecordedAnswer) {
        self.in_background(ClaimChange::Complete { key, attempt, answer });
    }

    /// Gives up a claim whose call was not sent, in the background.
    pub fn release(&self, key: ClaimKey, attempt: AttemptId) {
        self.in_background(ClaimChange::Release { key, attempt });
    }

    fn in_background(&self, change: ClaimChange) {
        let ledger = self.clone();
        tokio::spawn(async move {
            for _ in 0..BACKGROUND_TRIES {
                if ledger.change(change.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(BACKGROUND_PAUSE).await;
            }
        });
    }

    async fn change(&self, change: ClaimChange) -> Decision {
        let Some(forward) = self.forward.get() else { return self.change_here(change).await };
        match forward(change.key().shard(SHARDS), change.clone()).await {
            Forwarded::Own => self.change_here(change).await,
            Forwarded::Decided(decision) => decision,
            Forwarded::NoAnswer => match self.change_here(change).await {
                // The owner may still write what this node could not.
                Err(ClaimError::NotWritten(reason)) => Err(ClaimError::Undecided(reason)),
                decision => decision,
            },
        }
    }

    /// Makes a change from this node, as the owner of its shard or in the owner's place.
    pub async fn change_here(&self, change: ClaimChange) -> Decision {
        let (decided, decision) = oneshot::channel();
        let shard = &self.shards[change.key().shard(SHARDS)];
        if shard.try_send(Waiting { change, decided }).is_err() {
            return Err(ClaimError::NotWritten("too many claims wait".to_owned()));
        }
        decision.await.unwrap_or_else(|_| Err(ClaimError::Undecided("ledger stopped".to_owned())))
    }
}

struct ShardTask {
    key: String,
    store: ObjectStore,
    inbox: mpsc::Receiver<Waiting>,
    known: Option<(Version, ClaimShard)>,
    claims: IntCounter,
    writes: IntCounter,
}

enum CommitResult {
    Decided(Vec<ClaimDecision>),
    Again,
    Failed(ClaimError),
}

impl ShardTask {
    async fn run(mut self) {
        let mut batch = Vec::new();
        while self.inbox.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
            let waiting = std::mem::take(&mut batch);
            let result = self.commit(&waiting).await;
            answer(waiting, result);
        }
    }

    async fn commit(&mut self, batch: &[Waiting]) -> Result<Vec<ClaimDecision>, ClaimError> {
        let deadline = Instant::now() + COMMIT_LIMIT;
        loop {
            match self.commit_once(batch, deadline).await {
                CommitResult::Decided(decisions) => return Ok(decisions),
                CommitResult::Failed(error) => {
                    self.known = None;
                    return Err(error);
                }
                CommitResult::Again if Instant::now() >= deadline => {
                    self.known = None;
                    return Err(ClaimError::NotWritten("other nodes kept writing the shard".to_owned()));
                }
                CommitResult::Again => self.known = None,
            }
        }
    }

    async fn commit_once(&mut self, batch: &[Waiting], deadline: Instant) -> CommitResult {
        let is_fresh = self.known.is_none();
        let (version, shard) = match self.read_shard(deadline).await {
            Ok(known) => known,
            Err(error) => return CommitResult::Failed(error),
        };
        let now = unix_seconds();
        let mut next = shard.clone();
        next.expire(now);
        let decisions: Vec<ClaimDecision> =
            batch.iter().map(|waiting| next.apply(&waiting.change, now)).collect();
        if next == shard {
            // Nothing to write; a decision from remembered content must be checked first.
            return if is_fresh { CommitResult::Decided(decisions) } else { CommitResult::Again };
        }
        let Ok(value) = serde_json::to_vec(&next) else {
            return CommitResult::Failed(ClaimError::NotWritten("shard not writable".to_owned()));
        };
        let mine = |object: &Object| holds_all(object, batch, &decisions);
        let written = put_settled(&self.store, &self.key, version, Bytes::from(value), deadline, mine).await;
        self.known = match written {
            Ok(Settled::Written(version)) => Some((version, next)),
            // What others have claimed since must not be overwritten: it is read before the next write.
            Ok(Settled::Found(_)) => None,
            Ok(Settled::Lost) => return CommitResult::Again,
            Err(SettleError::NotWritten(cause)) => {
                return CommitResult::Failed(ClaimError::NotWritten(cause.to_string()));
            }
            Err(SettleError::Undecided(cause)) => {
                return CommitResult::Failed(ClaimError::Undecided(cause.to_string()));
            }
        };
        self.writes.inc();
        self.claims.inc_by(batch.len() as u64);
        CommitResult::Decided(decisions)
    }

    async fn read_shard(&mut self, deadline: Instant) -> Result<(Version, ClaimShard), ClaimError> {
        if let Some(known) = &self.known {
            return Ok(known.clone());
        }
        let not_written = |reason: String| ClaimError::NotWritten(reason);
        let read = tokio::time::timeout_at(deadline, self.store.get(&self.key)).await;
        let found = match read {
            Ok(Ok(found)) => found,
            Ok(Err(error)) => return Err(not_written(error.to_string())),
            Err(_) => return Err(not_written("platform did not answer".to_owned())),
        };
        let Some(object) = found else { return Ok((ABSENT, ClaimShard::default())) };
        let shard = serde_json::from_slice(&object.value).map_err(|error| not_written(error.to_string()))?;
        self.known = Some((object.version, shard));
        Ok(self.known.clone().unwrap_or_default())
    }
}

/// Whether a shard as read contains every claim that this write granted.
fn holds_all(object: &Object, batch: &[Waiting], decisions: &[ClaimDecision]) -> bool {
    let Ok(shard) = serde_json::from_slice::<ClaimShard>(&object.value) else { return false };
    batch.iter().zip(decisions).all(|(waiting, decision)| match &waiting.change {
        ClaimChange::Take { key, attempt, .. } if *decision == ClaimDecision::Granted => {
            shard.is_held_by(key, attempt)
        }
        ClaimChange::Take { .. } => true,
        // Completions and releases leave no trace that tells two writes apart: apply them again.
        ClaimChange::Complete { .. } | ClaimChange::Release { .. } => false,
    })
}

fn answer(batch: Vec<Waiting>, result: Result<Vec<ClaimDecision>, ClaimError>) {
    match result {
        Ok(decisions) => {
            for (waiting, decision) in batch.into_iter().zip(decisions) {
                let _ = waiting.decided.send(Ok(decision));
            }
        }
        Err(error) => {
            for waiting in batch {
                let _ = waiting.decided.send(Err(error.clone()));
            }
        }
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}
