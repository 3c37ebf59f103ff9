//! Availability of the control store, as seen by this node.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{ControlStoreCallFailed, ControlStoreLost, ControlStoreRegained};
use prometheus::{IntCounterVec, Opts, Registry};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::log_text::shortened;

/// Consecutive failed calls after which the store counts as lost: a single watch may be cut.
const LOST_AFTER_FAILURES: u32 = 2;

/// Time after its last failed call from which a node counts as one that the store answers, unless it has failed
/// again: it may have made no call since.
const LOSS_REMEMBERED_FOR: Duration = Duration::from_secs(15);

/// Outcome of the calls for one subject.
#[derive(Debug, Default)]
struct Subject {
    has_answered: bool,
    failures_in_a_row: u32,
    failing_since: Option<Instant>,
    last_failure: Option<Instant>,
    last_failure_reason: Option<String>,
    /// When the store answered again after it had been lost.
    regained: Option<Instant>,
}

impl Subject {
    fn is_lost(&self) -> bool {
        self.failures_in_a_row >= LOST_AFTER_FAILURES
    }
}

/// Availability of the control store.
#[derive(Debug)]
pub struct StoreStatus {
    calls: IntCounterVec,
    has_failed: AtomicBool,
    /// Whether the last call for any subject was answered.
    is_answering: watch::Sender<bool>,
    subjects: Mutex<HashMap<String, Subject>>,
    /// When a call for any subject was last answered.
    last_answer: Mutex<Option<Instant>>,
}

impl StoreStatus {
    /// Starts without any calls made; registers the counter of calls.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let name =
            Opts::new("beamwall_gateway_store_calls_total", "calls to the store by subject and outcome");
        let calls = IntCounterVec::new(name, &["subject", "outcome"])?;
        registry.register(Box::new(calls.clone()))?;
        let (has_failed, is_answering) = (AtomicBool::default(), watch::Sender::new(true));
        Ok(Self {
            calls,
            has_failed,
            is_answering,
            subjects: Mutex::default(),
            last_answer: Mutex::default(),
        })
    }

    /// Whether the last call for any subject was answered, and its changes.
    pub fn is_answering(&self) -> watch::Receiver<bool> {
        self.is_answering.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Subject>> {
        self.subjects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether calls have failed lately, several of one subject in a row, and none has been answered since.
    pub fn is_lost(&self) -> bool {
        let last_answer = *self.last_answer.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: &Instant| Some(*at) > last_answer && at.elapsed() < LOSS_REMEMBERED_FOR;
        self.lock()
            .values()
            .any(|subject| subject.is_lost() && subject.last_failure.as_ref().is_some_and(is_recent))
    }

    /// Records a successful call for `subject_name`.
    pub fn note_answer(&self, subject_name: &str) {
        self.calls.with_label_values(&[subject_name, "answered"]).inc();
        self.note_answering(true);
        *self.last_answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        let mut subjects = self.lock();
        let subject = subjects.entry(subject_name.to_owned()).or_default();
        let was_lost = subject.is_lost();
        subject.has_answered = true;
        subject.failures_in_a_row = 0;
        let failing_since = subject.failing_since.take();
        if let Some(since) = failing_since.filter(|_| was_lost) {
            subject.regained = Some(Instant::now());
            let away_ms = since.elapsed().as_millis().to_string();
            emit(&ControlStoreRegained { what: subject_name.to_owned(), away_ms });
        }
    }

    fn note_answering(&self, answers: bool) {
        self.is_answering.send_if_modified(|known| std::mem::replace(known, answers) != answers);
    }

    /// Records a call for `subject_name` that failed after `took`.
    pub fn note_failure(&self, subject_name: &str, reason: &str, took: Duration) {
        emit(&ControlStoreCallFailed {
            what: subject_name.to_owned(),
            took_ms: took.as_millis().to_string(),
            reason: reason.to_owned(),
        });
        self.calls.with_label_values(&[subject_name, "failed"]).inc();
        self.note_answering(false);
        self.has_failed.store(true, Ordering::Relaxed);
        let mut subjects = self.lock();
        let subject = subjects.entry(subject_name.to_owned()).or_default();
        subject.failures_in_a_row += 1;
        subject.last_failure = Some(Instant::now());
        subject.last_failure_reason = Some(shortened(reason));
        subject.failing_since.get_or_insert_with(Instant::now);
        if subject.failures_in_a_row == LOST_AFTER_FAILURES {
            emit(&ControlStoreLost { what: subject_name.to_owned(), reason: reason.to_owned() });
        }
    }

    /// How the last failed call for each subject failed, as one text; empty if none did.
    pub fn last_failures(&self) -> String {
        let subjects = self.lock();
        let failures = subjects.iter().filter_map(|(name, subject)| {
            let reason = subject.last_failure_reason.as_ref()?;
            Some(format!("{name}: {reason}"))
        });
        let mut failures: Vec<String> = failures.collect();
        failures.sort_unstable();
        failures.join("; ")
    }

    /// Whether several calls for `subject_name` have failed in a row and none has been answered since.
    pub fn is_failing(&self, subject_name: &str) -> bool {
        self.lock().get(subject_name).is_some_and(Subject::is_lost)
    }

    /// Whether the store is lost for `subject_name`, or came back no longer than `ago` before.
    pub fn was_unavailable(&self, subject_name: &str, ago: Duration) -> bool {
        let subjects = self.lock();
        let Some(subject) = subjects.get(subject_name) else { return false };
        subject.is_lost() || subject.regained.is_some_and(|at| at.elapsed() <= ago)
    }

    /// Whether the state of this node is the newest available: the store has answered for all `subjects`, or
    /// it has failed, and the state received from peers is the best that can be had.
    pub fn has_settled(&self, subjects: &[&str]) -> bool {
        let known = self.lock();
        let has_answered = |subject: &&str| known.get(*subject).is_some_and(|known| known.has_answered);
        self.has_failed.load(Ordering::Relaxed) || subjects.iter().all(has_answered)
    }
}
