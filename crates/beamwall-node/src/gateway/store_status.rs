//! Whether the store of decisions answers this node.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{ControlStoreLost, ControlStoreRegained};
use prometheus::{IntCounterVec, Opts, Registry};
use tokio::time::Instant;

/// Failed calls in a row after which the store counts as lost: single watches may be cut.
const FAILURES_TO_LOSE: u32 = 2;

/// Failures about one subject.
#[derive(Debug, Default)]
struct Failures {
    in_a_row: u32,
    since: Option<Instant>,
}

/// Whether the store of decisions answers this node.
#[derive(Debug)]
pub struct StoreStatus {
    calls: IntCounterVec,
    has_failed: AtomicBool,
    answered: Mutex<HashSet<String>>,
    failures: Mutex<HashMap<String, Failures>>,
    /// When the store answered again after it had been lost.
    regained: Mutex<HashMap<String, Instant>>,
}

impl StoreStatus {
    /// A store that has not been called yet; its calls are counted among the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let name =
            Opts::new("beamwall_gateway_store_calls_total", "calls to the store by subject and outcome");
        let calls = IntCounterVec::new(name, &["subject", "outcome"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(Self {
            calls,
            has_failed: AtomicBool::default(),
            answered: Mutex::default(),
            failures: Mutex::default(),
            regained: Mutex::default(),
        })
    }

    /// Notes an answer to a call about `what`.
    pub fn note_answer(&self, what: &str) {
        self.calls.with_label_values(&[what, "answered"]).inc();
        self.answered.lock().unwrap_or_else(PoisonError::into_inner).insert(what.to_owned());
        let ended = self.failures.lock().unwrap_or_else(PoisonError::into_inner).remove(what);
        if let Some(Failures { in_a_row, since: Some(since) }) = ended
            && in_a_row >= FAILURES_TO_LOSE
        {
            self.regained
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(what.to_owned(), Instant::now());
            let away_ms = since.elapsed().as_millis().to_string();
            emit(&ControlStoreRegained { what: what.to_owned(), away_ms });
        }
    }

    /// Notes a call about `what` that failed.
    pub fn note_failure(&self, what: &str, reason: &str) {
        self.calls.with_label_values(&[what, "failed"]).inc();
        self.has_failed.store(true, Ordering::Relaxed);
        let mut by_subject = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        let failures = by_subject.entry(what.to_owned()).or_default();
        failures.in_a_row += 1;
        failures.since.get_or_insert_with(Instant::now);
        if failures.in_a_row == FAILURES_TO_LOSE {
            emit(&ControlStoreLost { what: what.to_owned(), reason: reason.to_owned() });
        }
    }

    /// Whether the store is lost to this node, or was `ago` at most.
    pub fn was_away(&self, what: &str, ago: Duration) -> bool {
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        if failures.get(what).is_some_and(|failures| failures.in_a_row >= FAILURES_TO_LOSE) {
            return true;
        }
        let regained = self.regained.lock().unwrap_or_else(PoisonError::into_inner);
        regained.get(what).is_some_and(|at| at.elapsed() <= ago)
    }

    /// Whether what is known here is the newest that can be had: the store has told all `subjects`, or
    /// it has failed, and then what peers tell is as good as it gets.
    pub fn has_settled(&self, subjects: &[&str]) -> bool {
        let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        self.has_failed.load(Ordering::Relaxed) || subjects.iter().all(|subject| answered.contains(*subject))
    }
}
